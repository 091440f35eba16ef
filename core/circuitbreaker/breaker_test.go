package circuitbreaker_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/circuitbreaker"
)

var start = time.Unix(1_000, 0)

func TestBreakerStaysClosedAfterOneFailure(t *testing.T) {
	var breaker circuitbreaker.Breaker
	breaker.RecordResult(start, true)
	breaker.RecordResult(start.Add(time.Second), false)
	require.False(t, breaker.IsOpen(start.Add(time.Second)))
	require.False(t, breaker.TryProbe(start.Add(time.Second)))
}

func TestBreakerStaysClosedWhileSomeCallsAreAnswered(t *testing.T) {
	var breaker circuitbreaker.Breaker
	for i := range 100 {
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		breaker.RecordResult(now, i%2 == 0)
		require.False(t, breaker.IsOpen(now))
	}
}

func TestOpenBreakerProbesUntilCallIsAnswered(t *testing.T) {
	var breaker circuitbreaker.Breaker
	breaker.RecordResult(start, true)
	probes := 0
	for i := range 90 { // 9 s, one call every 0.1 s
		now := start.Add(time.Duration(i+1) * 100 * time.Millisecond)
		if !breaker.IsOpen(now) {
			breaker.RecordResult(now, false)

			continue
		}
		if breaker.TryProbe(now) {
			probes++
			breaker.RecordResult(now, false)
		}
	}
	require.InDelta(t, 30, probes, 3)
	end := start.Add(10 * time.Second)
	require.True(t, breaker.IsOpen(end))
	breaker.RecordResult(end, true)
	require.False(t, breaker.IsOpen(end))
	require.Equal(t, end, breaker.LastSuccess())
}
