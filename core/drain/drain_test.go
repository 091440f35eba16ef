package drain_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/drain"
)

var start = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func TestRequestIsTakenOnlyIfItCanEndInTime(t *testing.T) {
	const endsAt = 7.5
	for name, tt := range map[string]struct {
		now  float64
		req  drain.Request
		want bool
	}{
		"deadline before the end":               {4, drain.Request{Deadline: at(7)}, true},
		"deadline at the end":                   {4.5, drain.Request{Deadline: at(7.5)}, true},
		"deadline after the end":                {5, drain.Request{Deadline: at(8)}, false},
		"repeatable, nothing known":             {5, drain.Request{Deadline: at(8), IsRepeatable: true}, false},
		"repeatable and short":                  {5, drain.Request{Deadline: at(8), IsRepeatable: true, IsDurationKnown: true, ExpectedDuration: time.Second}, true},
		"repeatable and just short enough":      {5, drain.Request{Deadline: at(8), IsRepeatable: true, IsDurationKnown: true, ExpectedDuration: 2500 * time.Millisecond}, true},
		"repeatable and too long":               {5, drain.Request{Deadline: at(8), IsRepeatable: true, IsDurationKnown: true, ExpectedDuration: 2501 * time.Millisecond}, false},
		"not repeatable, although mostly short": {5, drain.Request{Deadline: at(8), IsDurationKnown: true, ExpectedDuration: time.Second}, false},
		"after the end":                         {8, drain.Request{Deadline: at(9), IsRepeatable: true, IsDurationKnown: true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tt.want, drain.CanFinish(at(tt.now), at(endsAt), tt.req))
		})
	}
}

func TestLimitIsAboveLongestRecentDuration(t *testing.T) {
	var durations drain.Durations[string]
	_, isKnown := durations.Limit(at(0), "chat")
	require.False(t, isKnown)
	durations.Record(at(0), "chat", time.Second)
	for range 6 {
		durations.Record(at(1), "chat", time.Millisecond)
	}
	_, isKnown = durations.Limit(at(1), "chat")
	require.False(t, isKnown, "seven requests are too few")
	durations.Record(at(20), "chat", time.Millisecond)
	limit, isKnown := durations.Limit(at(20), "chat")
	require.True(t, isKnown)
	require.Equal(t, 2*time.Second, limit)
	_, isKnown = durations.Limit(at(20), "look")
	require.False(t, isKnown)
	limit, isKnown = durations.Limit(at(59), "chat")
	require.True(t, isKnown)
	require.Equal(t, 2*time.Second, limit)
}

func TestOldDurationsAreForgotten(t *testing.T) {
	var durations drain.Durations[string]
	for range 100 {
		durations.Record(at(0), "chat", time.Second)
	}
	for range 100 {
		durations.Record(at(31), "chat", time.Millisecond)
	}
	limit, isKnown := durations.Limit(at(62), "chat")
	require.True(t, isKnown)
	require.Equal(t, 2*time.Millisecond, limit)
	_, isKnown = durations.Limit(at(200), "chat")
	require.False(t, isKnown)
}
