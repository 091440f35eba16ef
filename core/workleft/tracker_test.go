package workleft_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/id"
	"cardamomward/core/workleft"
)

var start = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

var turn = workleft.Work{PrefillMillis: 100, OutputTokens: 400, MillisPerToken: 2, PromptTokens: 3000}

func TestOwnWorkShrinksAsTokensArriveAndEndsWithTheRequest(t *testing.T) {
	var tracker workleft.Tracker
	request := tracker.Begin(start, "s", "a", turn)
	require.InDelta(t, 900, tracker.Own(start, "a").WorkMillis, 0)
	require.InDelta(t, 840, tracker.Own(start.Add(60*time.Millisecond), "a").WorkMillis, 1e-9)
	tracker.Progress(request, 300)
	require.InDelta(t, 200, tracker.Own(start, "a").WorkMillis, 0, "neither the prompt nor the output that arrived counts")
	require.Equal(t, 1, tracker.Own(start, "a").Running)
	require.Zero(t, tracker.Own(start, "b"))
	require.Equal(t, tracker.Own(start, "a"), tracker.OwnTotal(start))
	tracker.End(request)
	tracker.End(request)
	tracker.End(nil)
	tracker.Progress(nil, 1)
	require.Zero(t, tracker.Own(start, "a"))
}

func TestWorkIsLeftWhileARequestExceedsItsEstimate(t *testing.T) {
	var tracker workleft.Tracker
	request := tracker.Begin(start, "s", "a", turn)
	tracker.Progress(request, 5000)
	require.InDelta(t, 200, tracker.Own(start, "a").WorkMillis, 0, "a request longer than expected counts as done")
	require.Equal(t, id.Tokens(8000), tracker.Own(start, "a").ReservedTokens, "the memory of its output does not count")
	tracker.Begin(start, "s", "plain", workleft.Work{PrefillMillis: 100})
	require.InDelta(t, 25, tracker.Own(start.Add(time.Hour), "plain").WorkMillis, 1e-9)
}

func TestReservedTokensHoldPromptAndExpectedOutput(t *testing.T) {
	var tracker workleft.Tracker
	tracker.Begin(start, "s", "a", turn)
	tracker.SetPeer(start, "h", map[id.Upstream]workleft.Load{"a": {Running: 1, WorkMillis: 1, ReservedTokens: 500}})
	tracker.SumPeers(start, time.Second)
	require.Equal(t, id.Tokens(3400+500), tracker.Total(start, "s", "a").ReservedTokens)
}

func TestReportsOfPeersAgeAndExpire(t *testing.T) {
	var tracker workleft.Tracker
	tracker.SetPeer(start, "h", map[id.Upstream]workleft.Load{"a": {Running: 2, WorkMillis: 1000}})
	for _, tt := range []struct {
		age  time.Duration
		want float64
	}{{0, 1000}, {100 * time.Millisecond, 800}, {time.Second, 500}, {3 * time.Second, 0}} {
		tracker.SumPeers(start.Add(tt.age), 2*time.Second)
		require.InDelta(t, tt.want, tracker.Total(start, "s", "a").WorkMillis, 1e-9, tt.age)
	}
	tracker.SumPeers(start, 2*time.Second)
	require.Zero(t, tracker.Total(start, "s", "a").Running, "an expired report is kept")
}

func TestRequestsOfPeersWithoutReportedWorkCountWithTheMean(t *testing.T) {
	var tracker workleft.Tracker
	tracker.End(tracker.Begin(start, "s", "a", turn))
	tracker.SetPeer(start, "old", map[id.Upstream]workleft.Load{"a": {Running: 3}})
	tracker.SetPeer(start, "new", map[id.Upstream]workleft.Load{"a": {Running: 1, WorkMillis: 50}})
	tracker.SumPeers(start, time.Second)
	total := tracker.Total(start, "s", "a")
	require.Equal(t, 4, total.Running)
	require.InDelta(t, 3*900+50, total.WorkMillis, 1e-9)
	require.Positive(t, tracker.MeanMillis("unknown"))
}
