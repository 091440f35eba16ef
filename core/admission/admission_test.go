package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/admission"
)

var start = time.Unix(1_000_000, 0)

// serving returns a gate that has served ten calls a second for half a minute, each in two seconds.
func serving() (*admission.Controller, time.Time) {
	g := &admission.Controller{}
	now := start
	for range 300 {
		now = now.Add(100 * time.Millisecond)
		g.RecordDispatch(now)
		g.RecordDuration(2 * time.Second)
	}

	return g, now
}

func TestAdmit(t *testing.T) {
	tests := []struct {
		name    string
		call    admission.Call
		backlog admission.Backlog
		ok      bool
	}{
		{"nobody waits", admission.Call{TimeToDeadline: time.Second}, admission.Backlog{}, true},
		{"served in time", admission.Call{TimeToDeadline: 30 * time.Second}, admission.Backlog{Routine: 200}, true},
		{"too late", admission.Call{TimeToDeadline: 30 * time.Second}, admission.Backlog{Routine: 400}, false},
		{"continuing", admission.Call{TimeToDeadline: 30 * time.Second, ContinuesProgram: true}, admission.Backlog{Routine: 400}, true},
		{"urgent passes routine", admission.Call{TimeToDeadline: 30 * time.Second, Urgent: true}, admission.Backlog{Routine: 400}, true},
		{"no deadline", admission.Call{}, admission.Backlog{Routine: 100_000}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g, now := serving()
			after, ok := g.Admit(now, test.call, test.backlog)
			require.Equal(t, test.ok, ok)
			require.Equal(t, !ok, after > 0)
		})
	}
}

func TestTheTimeToComeBackIsTrue(t *testing.T) {
	g, now := serving()
	call := admission.Call{TimeToDeadline: 30 * time.Second}
	waiting := 400
	after, ok := g.Admit(now, call, admission.Backlog{Routine: waiting})
	require.False(t, ok)
	for range int(after / (100 * time.Millisecond)) {
		now = now.Add(100 * time.Millisecond)
		g.RecordDispatch(now)
		waiting--
	}
	_, ok = g.Admit(now, call, admission.Backlog{Routine: waiting})
	require.True(t, ok)
}

func TestAdmitsBeforeAnythingWasSeen(t *testing.T) {
	g := &admission.Controller{}
	_, ok := g.Admit(start, admission.Call{TimeToDeadline: time.Second}, admission.Backlog{Routine: 1000})
	require.True(t, ok)
}

func BenchmarkAdmit(b *testing.B) {
	g, now := serving()
	b.ReportAllocs()
	for range b.N {
		g.Admit(now, admission.Call{TimeToDeadline: time.Minute}, admission.Backlog{Routine: 2200})
	}
}
