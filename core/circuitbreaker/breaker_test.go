package circuitbreaker_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/circuitbreaker"
)

var start = time.Unix(1_000, 0)

func TestOneFailureIsNoReason(t *testing.T) {
	var way circuitbreaker.Breaker
	way.RecordResult(start, true)
	way.RecordResult(start.Add(time.Second), false)
	require.False(t, way.IsOpen(start.Add(time.Second)))
	require.False(t, way.TryProbe(start.Add(time.Second)))
}

func TestFailuresBesideAnswersAreNoReason(t *testing.T) {
	var way circuitbreaker.Breaker
	for i := range 100 {
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		way.RecordResult(now, i%2 == 0)
		require.False(t, way.IsOpen(now))
	}
}

func TestStoreThatTurnsAHostAwayIsProbedUntilItAnswers(t *testing.T) {
	var way circuitbreaker.Breaker
	way.RecordResult(start, true)
	probes := 0
	for i := range 90 { // 9 s, a call each 0.1 s
		now := start.Add(time.Duration(i+1) * 100 * time.Millisecond)
		if !way.IsOpen(now) {
			way.RecordResult(now, false)

			continue
		}
		if way.TryProbe(now) {
			probes++
			way.RecordResult(now, false)
		}
	}
	require.InDelta(t, 30, probes, 3)
	end := start.Add(10 * time.Second)
	require.True(t, way.IsOpen(end))
	way.RecordResult(end, true)
	require.False(t, way.IsOpen(end))
	require.Equal(t, end, way.LastSuccess())
}
