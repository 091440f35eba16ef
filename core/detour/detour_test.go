package detour_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/detour"
)

var start = time.Unix(1_000, 0)

func TestOneFailureIsNoReason(t *testing.T) {
	var way detour.Way
	way.Note(start, true)
	way.Note(start.Add(time.Second), false)
	require.False(t, way.Blocked(start.Add(time.Second)))
	require.False(t, way.Probe(start.Add(time.Second)))
}

func TestFailuresBesideAnswersAreNoReason(t *testing.T) {
	var way detour.Way
	for i := range 100 {
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		way.Note(now, i%2 == 0)
		require.False(t, way.Blocked(now))
	}
}

func TestStoreThatTurnsAHostAwayIsProbedUntilItAnswers(t *testing.T) {
	var way detour.Way
	way.Note(start, true)
	probes := 0
	for i := range 90 { // 9 s, a call each 0.1 s
		now := start.Add(time.Duration(i+1) * 100 * time.Millisecond)
		if !way.Blocked(now) {
			way.Note(now, false)

			continue
		}
		if way.Probe(now) {
			probes++
			way.Note(now, false)
		}
	}
	require.InDelta(t, 30, probes, 3)
	end := start.Add(10 * time.Second)
	require.True(t, way.Blocked(end))
	way.Note(end, true)
	require.False(t, way.Blocked(end))
	require.Equal(t, end, way.Answered())
}
