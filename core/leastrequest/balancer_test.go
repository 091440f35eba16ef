package leastrequest_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/id"
	"cardamomward/core/leastrequest"
)

func TestRankSpreadsCallsEvenly(t *testing.T) {
	var b leastrequest.Balancer
	now := time.Unix(1000, 0)
	upstreams := []id.Upstream{"a", "b", "c"}
	served := make(map[id.Upstream]int)
	for range 300 {
		first := b.Rank(now, upstreams)[0]
		b.StartCall(first)
		b.FinishCall(now, first, true)
		served[first]++
	}
	require.Equal(t, map[id.Upstream]int{"a": 100, "b": 100, "c": 100}, served)
}

func TestRankPrefersUpstreamWithFewestRunningCalls(t *testing.T) {
	var b leastrequest.Balancer
	now := time.Unix(1000, 0)
	b.StartCall("a")
	require.Equal(t, id.Upstream("b"), b.Rank(now, []id.Upstream{"a", "b"})[0])
}

func TestRankPutsFailedUpstreamLastUntilBackoffEnds(t *testing.T) {
	var b leastrequest.Balancer
	now := time.Unix(1000, 0)
	upstreams := []id.Upstream{"a", "b"}
	b.StartCall("a")
	b.FinishCall(now, "a", false)
	b.StartCall("b")
	require.Equal(t, []id.Upstream{"b", "a"}, b.Rank(now, upstreams))
	require.False(t, b.IsHealthy(now, "a"))
	require.Equal(t, []id.Upstream{"a", "b"}, b.Rank(now.Add(500*time.Millisecond), upstreams))

	b.StartCall("a")
	b.FinishCall(now, "a", false)
	require.False(t, b.IsHealthy(now.Add(900*time.Millisecond), "a"), "the backoff doubles")
	b.StartCall("a")
	b.FinishCall(now, "a", true)
	require.True(t, b.IsHealthy(now, "a"))
}
