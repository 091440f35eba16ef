package upstreamstats_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/id"
	"cardamomward/core/upstreamstats"
)

var start = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

func TestMillisPerUnitFallsBackToServiceAverage(t *testing.T) {
	var p upstreamstats.Tracker
	require.InDelta(t, 9, p.MillisPerUnit(start, "s", "a", 9), 0)
	for range 50 {
		p.RecordLatency(start, "s", "slow", 5)
		p.RecordLatency(start, "s", "quick", 1)
	}
	require.InDelta(t, 5, p.MillisPerUnit(start, "s", "slow", 9), 0.1)
	require.InDelta(t, 1, p.MillisPerUnit(start, "s", "quick", 9), 0.1)
	unknown := p.MillisPerUnit(start, "s", "new", 9)
	require.Greater(t, unknown, 1.0)
	require.Less(t, unknown, 5.0)
	require.InDelta(t, unknown, p.MillisPerUnit(start.Add(10*time.Second), "s", "slow", 9), 0, "an old sample is not believed")
}

func TestFailureScoreDecays(t *testing.T) {
	var p upstreamstats.Tracker
	require.Zero(t, p.FailureScore(start, "a"))
	p.RecordFailure(start, "a")
	p.RecordFailure(start, "a")
	require.InDelta(t, 2, p.FailureScore(start, "a"), 0.01)
	require.InDelta(t, 1, p.FailureScore(start.Add(3*time.Second), "a"), 0.01)
}

func TestUnlistedUpstreamsAreRemoved(t *testing.T) {
	var p upstreamstats.Tracker
	p.RecordFailure(start, "a")
	p.RemoveUnlisted(func(id.Upstream) bool { return false })
	require.Zero(t, p.FailureScore(start, "a"))
}
