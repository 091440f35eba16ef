package leastcost_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"cardamomward/core/id"
	"cardamomward/core/leastcost"
	"cardamomward/core/registry"
)

// newWorkStates returns states with 10 requests and 3 s of work at each upstream, changed by a function.
func newWorkStates(change func(upstream id.Upstream, state *leastcost.WorkState)) func(*registry.Instance) leastcost.WorkState {
	return func(instance *registry.Instance) leastcost.WorkState {
		state := leastcost.WorkState{WorkMillis: 3000}
		state.RunningRequests, state.UnitLatencyMS, state.CachesSharedPrefix = 10, 1.2, true
		change(instance.ID, &state)

		return state
	}
}

// countChoices returns how often each upstream is chosen for a request.
func countChoices(engines []*registry.Instance, request leastcost.Request, stateOf func(*registry.Instance) leastcost.WorkState, excluded map[id.Upstream]struct{}) map[id.Upstream]int {
	random := rand.New(rand.NewPCG(1, 2))
	counts := make(map[id.Upstream]int)
	for range 2000 {
		if chosen := leastcost.ChooseByWork(engines, request, stateOf, excluded, random); chosen != nil {
			counts[chosen.ID]++
		}
	}

	return counts
}

func TestChooseByWorkPrefersLessWorkOverFewerRequests(t *testing.T) {
	stateOf := newWorkStates(func(upstream id.Upstream, state *leastcost.WorkState) {
		if upstream == "u0" {
			state.RunningRequests, state.WorkMillis = 6, 9000
		}
	})
	long := newTurnRequest("")
	long.ExpectedOutputTokens = 1000
	require.Equal(t, map[id.Upstream]int{"u1": 2000}, countChoices(newEngines(2), long, stateOf, nil), "six long requests count for less than ten that end soon")
}

func TestChooseByWorkReturnsToTheCachedPromptUnlessQueued(t *testing.T) {
	work := 3000.0
	running := 10
	stateOf := newWorkStates(func(upstream id.Upstream, state *leastcost.WorkState) {
		if upstream == "u7" {
			state.RunningRequests, state.WorkMillis = running, work
		}
	})
	request := newTurnRequest("u7")
	require.Equal(t, 2000, countChoices(newEngines(20), request, stateOf, nil)["u7"], "the last upstream is not always compared")
	running, work = 30, 9000
	require.Zero(t, countChoices(newEngines(20), request, stateOf, nil)["u7"], "an affinity key waits in a queue")
}

func TestChooseByWorkAvoidsQueues(t *testing.T) {
	stateOf := newWorkStates(func(upstream id.Upstream, state *leastcost.WorkState) {
		state.RunningRequests, state.WorkMillis = 15, 20_000
		if upstream == "u0" {
			state.RunningRequests, state.WorkMillis = 24, 4000
		}
	})
	require.Zero(t, countChoices(newEngines(2), newTurnRequest(""), stateOf, nil)["u0"], "a request waits though another upstream has a free slot")
}

func TestChooseByWorkSpreadsOverEqualUpstreams(t *testing.T) {
	counts := countChoices(newEngines(10), newTurnRequest(""), newWorkStates(func(id.Upstream, *leastcost.WorkState) {}), nil)
	require.Len(t, counts, 10)
	for upstream, count := range counts {
		require.InDelta(t, 200, count, 70, upstream)
	}
}

func TestHostsWithTheSameViewDoNotAllChooseTheSameUpstream(t *testing.T) {
	stateOf := newWorkStates(func(upstream id.Upstream, state *leastcost.WorkState) {
		if upstream == "u3" {
			state.RunningRequests, state.WorkMillis = 0, 0
		}
	})
	require.InDelta(t, 400, countChoices(newEngines(10), newTurnRequest(""), stateOf, nil)["u3"], 100, "an upstream that seems idle gets all requests at once")
}

func TestChooseByWorkAvoidsUpstreamsWhoseMemoryWouldBeExceeded(t *testing.T) {
	reserved := id.Tokens(390_000)
	stateOf := newWorkStates(func(upstream id.Upstream, state *leastcost.WorkState) {
		state.CapacityTokens = 400_000
		if upstream == "u0" {
			state.ReservedTokens, state.WorkMillis, state.RunningRequests = reserved, 2000, 8
		}
	})
	require.Equal(t, 2000, countChoices(newEngines(2), newTurnRequest(""), stateOf, nil)["u0"], "memory that suffices has a cost")
	reserved = 399_000
	require.Zero(t, countChoices(newEngines(2), newTurnRequest(""), stateOf, nil)["u0"], "a preemption has no cost")
	notCached := newWorkStates(func(upstream id.Upstream, state *leastcost.WorkState) {
		stateOf(&registry.Instance{ID: upstream})
		state.CapacityTokens, state.CachesSharedPrefix = 400_000, false
		if upstream == "u0" {
			state.ReservedTokens, state.WorkMillis, state.RunningRequests = 390_000, 2000, 8
		}
	})
	require.Zero(t, countChoices(newEngines(2), newTurnRequest(""), notCached, nil)["u0"], "a shared part that is not cached yet takes no memory")
	unknown := newWorkStates(func(upstream id.Upstream, state *leastcost.WorkState) {
		if upstream == "u0" {
			state.ReservedTokens, state.WorkMillis, state.RunningRequests = 399_000, 2000, 8
		}
	})
	require.Equal(t, 2000, countChoices(newEngines(2), newTurnRequest(""), unknown, nil)["u0"], "an unknown capacity is exceeded")
}

func TestChooseByWorkComparesUpstreamsOfThePreferredDomain(t *testing.T) {
	engines := newEngines(30)
	for i, engine := range engines {
		engine.FailureDomain = id.FailureDomain(fmt.Sprint("zone-", i%3))
	}
	stateOf := newWorkStates(func(id.Upstream, *leastcost.WorkState) {})
	withCost := func(instance *registry.Instance) leastcost.WorkState {
		state := stateOf(instance)
		if instance.FailureDomain != "zone-0" {
			state.FailureDomainCostMS = 20
		}

		return state
	}
	request := newTurnRequest("")
	request.FailureDomain = "zone-0"
	near := 0
	for upstream, count := range countChoices(engines, request, withCost, nil) {
		for _, engine := range engines {
			if engine.ID == upstream && engine.FailureDomain == "zone-0" {
				near += count
			}
		}
	}
	require.Equal(t, 2000, near, "a random sample without upstreams of the domain sends bytes to another")
}

func TestChooseByWorkSkipsExcludedUpstreams(t *testing.T) {
	stateOf := newWorkStates(func(id.Upstream, *leastcost.WorkState) {})
	excluded := map[id.Upstream]struct{}{"u0": {}, "u1": {}}
	require.Equal(t, map[id.Upstream]int{"u2": 2000}, countChoices(newEngines(3), newTurnRequest("u1"), stateOf, excluded))
	excluded["u2"] = struct{}{}
	require.Empty(t, countChoices(newEngines(3), newTurnRequest("u1"), stateOf, excluded))
	require.Empty(t, countChoices(nil, newTurnRequest("u1"), stateOf, nil))
}

func TestChooseByWorkOfPlainServicesUsesExpectedTimeAndFailures(t *testing.T) {
	request := leastcost.Request{AffinityKey: "k", ExpectedServiceMS: 40}
	slow := func(instance *registry.Instance) leastcost.WorkState {
		state := leastcost.WorkState{}
		state.UnitLatencyMS = 1
		if instance.ID == "u0" {
			state.RunningRequests, state.WorkMillis = 4, 160
		}

		return state
	}
	require.Zero(t, countChoices(newEngines(2), request, slow, nil)["u0"])
	failing := func(instance *registry.Instance) leastcost.WorkState {
		state := leastcost.WorkState{}
		state.UnitLatencyMS = 1
		if instance.ID == "u0" {
			state.FailureScore = 1
		}

		return state
	}
	require.Zero(t, countChoices(newEngines(2), request, failing, nil)["u0"])
}

func BenchmarkChooseByWork44(b *testing.B) {
	engines := newEngines(44)
	stateOf := newWorkStates(func(id.Upstream, *leastcost.WorkState) {})
	random := rand.New(rand.NewPCG(1, 2))
	request := newTurnRequest("u1")
	b.ReportAllocs()
	for b.Loop() {
		leastcost.ChooseByWork(engines, request, stateOf, nil, random)
	}
}
