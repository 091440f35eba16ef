package routing_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"cardamomward/core/id"
	"cardamomward/core/routing"
)

func config() *routing.Config {
	routes := []*routing.Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/"},
	}

	return routing.NewConfig(3, routing.Limits{}, routes, nil, []*routing.Workspace{{Name: "w", Keys: []string{"k1", "k2"}}})
}

func TestMatchReturnsLongestPrefixOfHost(t *testing.T) {
	c := config()
	for _, tt := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"A.example:8080", "/x/y", "short"},
		{"b.example", "/x/y/1", "other"},
		{"a.example", "/z/", ""},
		{"c.example", "/x/1", ""},
	} {
		matched, ok := c.Match(tt.host, tt.path)
		require.Equal(t, tt.want != "", ok, tt)
		if ok {
			require.Equal(t, tt.want, matched.Name, tt)
		}
	}
}

func TestAuthenticateFindsWorkspaceByKey(t *testing.T) {
	c := config()
	w, ok := c.Authenticate("k2")
	require.True(t, ok)
	require.Equal(t, id.Workspace("w"), w.Name)
	_, ok = c.Authenticate("")
	require.False(t, ok)
	_, ok = c.Authenticate("k3")
	require.False(t, ok)
}

func TestPickServiceSplitsAffinityKeysByWeight(t *testing.T) {
	r := &routing.Route{Services: []routing.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	counts := map[id.Service]int{}
	for i := range 10_000 {
		affinityKey := fmt.Sprint(i)
		counts[r.PickService(affinityKey)]++
		require.Equal(t, r.PickService(affinityKey), r.PickService(affinityKey), "an affinity key always gets the same service")
	}
	require.InDelta(t, 1000, counts["b"], 150)
}

func TestIsRetryable(t *testing.T) {
	require.True(t, (&routing.Route{Kind: routing.Safe}).IsRetryable())
	require.False(t, (&routing.Route{Kind: routing.Unsafe, Resumable: true}).IsRetryable())
	require.False(t, (&routing.Route{Kind: routing.Stream}).IsRetryable())
	require.True(t, (&routing.Route{Kind: routing.Stream, Resumable: true}).IsRetryable())
}
