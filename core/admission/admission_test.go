package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/admission"
)

var start = time.Unix(1_000_000, 0)

// newMeasuredController returns a controller that has dispatched ten calls per second for 30 s, of two seconds each.
func newMeasuredController() (*admission.Controller, time.Time) {
	c := &admission.Controller{}
	now := start
	for range 300 {
		now = now.Add(100 * time.Millisecond)
		c.RecordDispatch(now)
		c.RecordDuration(2 * time.Second)
	}

	return c, now
}

func TestAdmit(t *testing.T) {
	tests := []struct {
		name     string
		call     admission.Call
		backlog  admission.Backlog
		admitted bool
	}{
		{"empty queue", admission.Call{TimeToDeadline: time.Second}, admission.Backlog{}, true},
		{"served in time", admission.Call{TimeToDeadline: 30 * time.Second}, admission.Backlog{Routine: 200}, true},
		{"served after the deadline", admission.Call{TimeToDeadline: 30 * time.Second}, admission.Backlog{Routine: 400}, false},
		{"continuing", admission.Call{TimeToDeadline: 30 * time.Second, ContinuesProgram: true}, admission.Backlog{Routine: 400}, true},
		{"urgent overtakes routine", admission.Call{TimeToDeadline: 30 * time.Second, Urgent: true}, admission.Backlog{Routine: 400}, true},
		{"no deadline", admission.Call{}, admission.Backlog{Routine: 100_000}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, now := newMeasuredController()
			retryAfter, ok := c.Admit(now, test.call, test.backlog)
			require.Equal(t, test.admitted, ok)
			require.Equal(t, !ok, retryAfter > 0)
		})
	}
}

func TestAdmitAcceptsRetryAfterReturnedDelay(t *testing.T) {
	c, now := newMeasuredController()
	call := admission.Call{TimeToDeadline: 30 * time.Second}
	queued := 400
	retryAfter, ok := c.Admit(now, call, admission.Backlog{Routine: queued})
	require.False(t, ok)
	for range int(retryAfter / (100 * time.Millisecond)) {
		now = now.Add(100 * time.Millisecond)
		c.RecordDispatch(now)
		queued--
	}
	_, ok = c.Admit(now, call, admission.Backlog{Routine: queued})
	require.True(t, ok)
}

func TestAdmitAcceptsAllCallsBeforeFirstWindow(t *testing.T) {
	c := &admission.Controller{}
	_, ok := c.Admit(start, admission.Call{TimeToDeadline: time.Second}, admission.Backlog{Routine: 1000})
	require.True(t, ok)
}

func BenchmarkAdmit(b *testing.B) {
	c, now := newMeasuredController()
	b.ReportAllocs()
	for range b.N {
		c.Admit(now, admission.Call{TimeToDeadline: time.Minute}, admission.Backlog{Routine: 2200})
	}
}
