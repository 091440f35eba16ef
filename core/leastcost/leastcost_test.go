package leastcost_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"cardamomward/core/id"
	"cardamomward/core/leastcost"
	"cardamomward/core/registry"
)

func newEngines(n int) []*registry.Instance {
	list := make([]*registry.Instance, 0, n)
	for i := range n {
		list = append(list, &registry.Instance{ID: id.Upstream(fmt.Sprintf("u%d", i)), Concurrency: 16})
	}

	return list
}

// newTurnRequest returns the third turn of a session: 12,600 shared prompt tokens and 2,500 own ones, most of which are
// cached where the session last ran.
func newTurnRequest(last id.Upstream) leastcost.Request {
	return leastcost.Request{AffinityKey: "l", IsModelCall: true, SharedPromptTokens: 12_600, OwnPromptTokens: 2_500, LastUpstream: last, CachedOwnTokens: 1_700, ExpectedOutputTokens: 250}
}

func newStates(running map[id.Upstream]int, cachesSharedPrefix bool) func(*registry.Instance) leastcost.UpstreamState {
	return func(instance *registry.Instance) leastcost.UpstreamState {
		return leastcost.UpstreamState{RunningRequests: running[instance.ID], UnitLatencyMS: 1.2, CachesSharedPrefix: cachesSharedPrefix}
	}
}

func TestChooseUpstreamPrefersCachedPromptUnlessOverloaded(t *testing.T) {
	for _, tt := range []struct {
		name    string
		running map[id.Upstream]int
		want    id.Upstream
	}{
		{"evenly loaded", map[id.Upstream]int{"u0": 8, "u1": 8, "u2": 8}, "u1"},
		{"slightly busier", map[id.Upstream]int{"u0": 8, "u1": 9, "u2": 8}, "u1"},
		{"full", map[id.Upstream]int{"u0": 5, "u1": 24, "u2": 8}, "u0"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			chosen := leastcost.ChooseUpstream(newEngines(3), newTurnRequest("u1"), newStates(tt.running, true), nil)
			require.Equal(t, tt.want, chosen.ID)
		})
	}
}

func TestChooseUpstreamPrefersCachedSharedPrefixForNewKeys(t *testing.T) {
	request := newTurnRequest("")
	stateOf := func(instance *registry.Instance) leastcost.UpstreamState {
		return leastcost.UpstreamState{RunningRequests: map[id.Upstream]int{"u0": 2, "u1": 4}[instance.ID], UnitLatencyMS: 1.2, CachesSharedPrefix: instance.ID == "u1"}
	}
	require.Equal(t, id.Upstream("u1"), leastcost.ChooseUpstream(newEngines(2), request, stateOf, nil).ID)
}

func TestChooseUpstreamLeavesLimitedUpstreamsToTheirOwnKeys(t *testing.T) {
	limited := func(instance *registry.Instance) leastcost.UpstreamState {
		state := leastcost.UpstreamState{UnitLatencyMS: 1.2, CachesSharedPrefix: true}
		if instance.ID == "u0" {
			state.AdmissionDelayMS = 200
		}

		return state
	}
	require.Equal(t, id.Upstream("u0"), leastcost.ChooseUpstream(newEngines(2), newTurnRequest("u0"), limited, nil).ID)
	for i := range 20 {
		request := newTurnRequest("")
		request.AffinityKey = fmt.Sprint(i)
		require.Equal(t, id.Upstream("u1"), leastcost.ChooseUpstream(newEngines(2), request, limited, nil).ID)
	}
}

func TestChooseUpstreamAvoidsSlowAndFailingUpstreams(t *testing.T) {
	slow := func(instance *registry.Instance) leastcost.UpstreamState {
		state := leastcost.UpstreamState{UnitLatencyMS: 1.2, CachesSharedPrefix: true}
		if instance.ID == "u0" {
			state.UnitLatencyMS = 6
		}

		return state
	}
	failing := func(instance *registry.Instance) leastcost.UpstreamState {
		state := leastcost.UpstreamState{UnitLatencyMS: 10}
		if instance.ID == "u0" {
			state.FailureScore = 1
		}

		return state
	}
	for i := range 20 {
		request := newTurnRequest("")
		request.AffinityKey = fmt.Sprint(i)
		require.NotEqual(t, id.Upstream("u0"), leastcost.ChooseUpstream(newEngines(3), request, slow, nil).ID)
		require.NotEqual(t, id.Upstream("u0"), leastcost.ChooseUpstream(newEngines(3), leastcost.Request{AffinityKey: request.AffinityKey}, failing, nil).ID)
	}
}

func TestChooseUpstreamStaysInFailureDomainUntilItsCostIsExceeded(t *testing.T) {
	running := map[id.Upstream]int{"u0": 4}
	remote := func(instance *registry.Instance) leastcost.UpstreamState {
		state := leastcost.UpstreamState{UnitLatencyMS: 1.2, CachesSharedPrefix: true, RunningRequests: running[instance.ID]}
		if instance.ID != "u0" {
			state.FailureDomainCostMS = 150
		}

		return state
	}
	for i := range 20 {
		request := newTurnRequest("")
		request.AffinityKey = fmt.Sprint(i)
		require.Equal(t, id.Upstream("u0"), leastcost.ChooseUpstream(newEngines(3), request, remote, nil).ID)
	}
	running["u0"] = 14
	require.NotEqual(t, id.Upstream("u0"), leastcost.ChooseUpstream(newEngines(3), newTurnRequest(""), remote, nil).ID, "a busy upstream of the domain is left")
}

func TestChooseUpstreamSpreadsKeysOverEqualUpstreams(t *testing.T) {
	counts := map[id.Upstream]int{}
	for i := range 3000 {
		counts[leastcost.ChooseUpstream(newEngines(3), leastcost.Request{AffinityKey: fmt.Sprint(i)}, newStates(nil, false), nil).ID]++
	}
	for _, count := range counts {
		require.InDelta(t, 1000, count, 120)
	}
}

func TestColdUpstreamCostsWholePromptAndAdmissionDelay(t *testing.T) {
	candidate := newEngines(2)[1]
	request := newTurnRequest(candidate.ID)
	request.OwnPromptTokens, request.CachedOwnTokens, request.SharedPromptTokens = 6000, 6000, 12_600
	warm := leastcost.UpstreamState{UnitLatencyMS: 10, CachesSharedPrefix: true}
	cold := warm
	cold.IsCold, cold.AdmissionDelayMS = true, 200
	difference := leastcost.EstimateCostMS(candidate, request, cold) - leastcost.EstimateCostMS(candidate, request, warm)
	require.InDelta(t, 200+18_600*10.0/300, difference, 0.001)
}

func TestChooseUpstreamSkipsExcludedUpstreams(t *testing.T) {
	excluded := map[id.Upstream]struct{}{"u0": {}, "u1": {}}
	require.Equal(t, id.Upstream("u2"), leastcost.ChooseUpstream(newEngines(3), newTurnRequest("u1"), newStates(nil, true), excluded).ID)
	excluded["u2"] = struct{}{}
	require.Nil(t, leastcost.ChooseUpstream(newEngines(3), newTurnRequest("u1"), newStates(nil, true), excluded))
}

func benchmarkChooseUpstream(b *testing.B, n int) {
	list := newEngines(n)
	request, stateOf := newTurnRequest("u1"), newStates(map[id.Upstream]int{"u1": 5}, true)
	b.ReportAllocs()
	for b.Loop() {
		leastcost.ChooseUpstream(list, request, stateOf, nil)
	}
}

func BenchmarkChoose44(b *testing.B)    { benchmarkChooseUpstream(b, 44) }
func BenchmarkChoose10000(b *testing.B) { benchmarkChooseUpstream(b, 10_000) }
