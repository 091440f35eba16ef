package upstreamstats_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/id"
	"cardamomward/core/upstreamstats"
)

var start = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

func TestMillisPerUnitFallsBackToServiceAverage(t *testing.T) {
	var tracker upstreamstats.Tracker
	require.InDelta(t, 9, tracker.MillisPerUnit(start, "s", "a", 9), 0)
	for range 50 {
		tracker.RecordLatency(start, "s", "slow", 5)
		tracker.RecordLatency(start, "s", "quick", 1)
	}
	require.InDelta(t, 5, tracker.MillisPerUnit(start, "s", "slow", 9), 0.1)
	require.InDelta(t, 1, tracker.MillisPerUnit(start, "s", "quick", 9), 0.1)
	unknown := tracker.MillisPerUnit(start, "s", "new", 9)
	require.Greater(t, unknown, 1.0)
	require.Less(t, unknown, 5.0)
	require.InDelta(t, unknown, tracker.MillisPerUnit(start.Add(10*time.Second), "s", "slow", 9), 0, "an expired sample is not used")
}

func TestFailureScoreDecays(t *testing.T) {
	var tracker upstreamstats.Tracker
	require.Zero(t, tracker.FailureScore(start, "a"))
	tracker.RecordFailure(start, "a")
	tracker.RecordFailure(start, "a")
	require.InDelta(t, 2, tracker.FailureScore(start, "a"), 0.01)
	require.InDelta(t, 1, tracker.FailureScore(start.Add(3*time.Second), "a"), 0.01)
}

func TestUnlistedUpstreamsAreRemoved(t *testing.T) {
	var tracker upstreamstats.Tracker
	tracker.RecordFailure(start, "a")
	tracker.RemoveUnlisted(func(id.Upstream) bool { return false })
	require.Zero(t, tracker.FailureScore(start, "a"))
}

func TestReportedErrorsAreBoundedToTheHighest(t *testing.T) {
	var tracker upstreamstats.Tracker
	for i := range 200 {
		for range 1 + i/100 {
			tracker.RecordError(start, id.Upstream(fmt.Sprint("engine-", i)))
		}
	}
	reported := tracker.Errors(start)
	require.Len(t, reported, 32)
	for upstream, score := range reported {
		require.InDelta(t, 2, score, 0.01, upstream)
	}
}

func TestErrorsCountAsFailuresAndAreReportedUntilTheyDecay(t *testing.T) {
	var tracker upstreamstats.Tracker
	tracker.RecordFailure(start, "lost")
	tracker.RecordError(start, "a")
	tracker.RecordError(start, "a")
	require.InDelta(t, 2, tracker.FailureScore(start, "a"), 0.01)
	reported := tracker.Errors(start.Add(3 * time.Second))
	require.Len(t, reported, 1, "lost connections may be the host's own fault and are not reported")
	require.InDelta(t, 1, reported["a"], 0.01)
	require.Empty(t, tracker.Errors(start.Add(12*time.Second)))
}
