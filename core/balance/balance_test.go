package balance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/balance"
	"cardamomward/core/id"
)

func TestCallsAreSpreadEvenly(t *testing.T) {
	var b balance.Balancer
	now := time.Unix(1000, 0)
	upstreams := []id.Upstream{"a", "b", "c"}
	served := make(map[id.Upstream]int)
	for range 300 {
		first := b.Order(now, upstreams)[0]
		b.Begin(first)
		b.End(now, first, true)
		served[first]++
	}
	require.Equal(t, map[id.Upstream]int{"a": 100, "b": 100, "c": 100}, served)
}

func TestBusyUpstreamIsPassedOver(t *testing.T) {
	var b balance.Balancer
	now := time.Unix(1000, 0)
	b.Begin("a")
	require.Equal(t, id.Upstream("b"), b.Order(now, []id.Upstream{"a", "b"})[0])
}

func TestFailedUpstreamComesLastUntilItsPauseIsOver(t *testing.T) {
	var b balance.Balancer
	now := time.Unix(1000, 0)
	upstreams := []id.Upstream{"a", "b"}
	b.Begin("a")
	b.End(now, "a", false)
	b.Begin("b")
	require.Equal(t, []id.Upstream{"b", "a"}, b.Order(now, upstreams))
	require.False(t, b.Healthy(now, "a"))
	require.Equal(t, []id.Upstream{"a", "b"}, b.Order(now.Add(500*time.Millisecond), upstreams))

	b.Begin("a")
	b.End(now, "a", false)
	require.False(t, b.Healthy(now.Add(900*time.Millisecond), "a"), "the pause doubles")
	b.Begin("a")
	b.End(now, "a", true)
	require.True(t, b.Healthy(now, "a"))
}
