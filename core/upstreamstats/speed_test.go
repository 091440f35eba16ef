package upstreamstats_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/id"
	"cardamomward/core/upstreamstats"
)

// runAt records a token every 10 ms for a duration, at a time per token.
func runAt(tracker *upstreamstats.SpeedTracker, from time.Time, duration time.Duration, upstream id.Upstream, millisPerToken float64) time.Time {
	to := from.Add(duration)
	for now := from; now.Before(to); now = now.Add(10 * time.Millisecond) {
		tracker.Record(now, "s", upstream, 4, 4*millisPerToken)
	}

	return to
}

func TestSpeedIsLearnedWithinAFewSeconds(t *testing.T) {
	var tracker upstreamstats.SpeedTracker
	require.InDelta(t, 9, tracker.MillisPerUnit(start, "s", "slow", 9), 0)
	now := start
	for range 20 {
		runAt(&tracker, now, 250*time.Millisecond, "slow", 1.2/0.55)
		now = runAt(&tracker, now, 250*time.Millisecond, "quick", 1.2)
	}
	ratio := tracker.MillisPerUnit(now, "s", "slow", 9) / tracker.MillisPerUnit(now, "s", "quick", 9)
	require.InDelta(t, 1/0.55, ratio, 0.35, "an upstream at 0.55 of the speed does not get its proportion")
	require.Greater(t, tracker.MillisPerUnit(now, "s", "new", 9), 1.2)
}

func TestNoiseBurstDoesNotChangeTheSpeed(t *testing.T) {
	var tracker upstreamstats.SpeedTracker
	now := runAt(&tracker, start, 5*time.Second, "a", 1.2)
	before := tracker.MillisPerUnit(now, "s", "a", 9)
	now = runAt(&tracker, now, 500*time.Millisecond, "a", 3)
	require.InEpsilon(t, before, tracker.MillisPerUnit(now, "s", "a", 9), 0.15)
	now = runAt(&tracker, now, time.Second, "a", 1.2)
	require.InEpsilon(t, before, tracker.MillisPerUnit(now, "s", "a", 9), 0.15)
	now = runAt(&tracker, now, 4*time.Second, "a", 3)
	require.Greater(t, tracker.MillisPerUnit(now, "s", "a", 9), 1.5*before, "a lasting change is not learned")
}

func TestFirstSamplesDuringABurstAreBounded(t *testing.T) {
	var tracker upstreamstats.SpeedTracker
	now := runAt(&tracker, start, 5*time.Second, "a", 1.2)
	now = runAt(&tracker, now, 510*time.Millisecond, "b", 3)
	require.Less(t, tracker.MillisPerUnit(now, "s", "b", 9), 2.0, "two samples exclude an upstream")
	now = runAt(&tracker, now, 4*time.Second, "b", 100)
	require.LessOrEqual(t, tracker.MillisPerUnit(now, "s", "b", 9), 2.5*tracker.MillisPerUnit(now, "s", "new", 9), "an upstream is excluded")
}

func TestOldSpeedIsForgotten(t *testing.T) {
	var tracker upstreamstats.SpeedTracker
	now := runAt(&tracker, start, 5*time.Second, "a", 1.2)
	now = runAt(&tracker, now, 5*time.Second, "b", 2)
	require.Greater(t, tracker.MillisPerUnit(now, "s", "b", 9), tracker.MillisPerUnit(now, "s", "a", 9))
	later := now.Add(time.Minute)
	require.InDelta(t, tracker.MillisPerUnit(later, "s", "b", 9), tracker.MillisPerUnit(later, "s", "a", 9), 0)
	tracker.RemoveUnlisted(func(upstream id.Upstream) bool { return upstream == "a" })
	require.InDelta(t, tracker.MillisPerUnit(now, "s", "new", 9), tracker.MillisPerUnit(now, "s", "b", 9), 0)
}
