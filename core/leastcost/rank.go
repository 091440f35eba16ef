package leastcost

import (
	"slices"

	"cardamomward/core/id"
	"cardamomward/core/registry"
)

// RankedUpstream is a candidate with its cost and the state from which the cost was estimated.
type RankedUpstream struct {
	Instance *registry.Instance
	Cost     Cost
	// State has only its UpstreamState unless RankByWork has set it.
	State WorkState
}

// RankUpstreams returns the candidates that are not excluded, in the order in which ChooseUpstream prefers them.
func RankUpstreams(candidates []*registry.Instance, request Request, stateOf func(*registry.Instance) UpstreamState, excluded map[id.Upstream]struct{}) []RankedUpstream {
	estimate := func(candidate *registry.Instance) (Cost, WorkState) {
		state := stateOf(candidate)

		return EstimateCost(candidate, request, state), WorkState{UpstreamState: state}
	}

	return rank(candidates, excluded, estimate, func(a, b *RankedUpstream) bool {
		return isPreferred(a.Instance, a.Cost.TotalMS(), b.Instance, b.Cost.TotalMS(), request.AffinityKey)
	})
}

// RankByWork returns all candidates that are not excluded in the order of their costs, of which ChooseByWork compares a sample.
func RankByWork(candidates []*registry.Instance, request Request, stateOf func(*registry.Instance) WorkState, excluded map[id.Upstream]struct{}) []RankedUpstream {
	estimate := func(candidate *registry.Instance) (Cost, WorkState) {
		state := stateOf(candidate)

		return EstimateWorkCost(candidate, request, state), state
	}

	return rank(candidates, excluded, estimate, func(a, b *RankedUpstream) bool { return a.Cost.TotalMS() < b.Cost.TotalMS() })
}

// rank estimates the candidates that are not excluded and sorts them; those of which neither is preferred keep their order.
func rank(candidates []*registry.Instance, excluded map[id.Upstream]struct{}, estimate func(*registry.Instance) (Cost, WorkState), isPreferred func(a, b *RankedUpstream) bool) []RankedUpstream {
	ranked := make([]RankedUpstream, 0, len(candidates))
	for _, candidate := range candidates {
		if _, skip := excluded[candidate.ID]; skip {
			continue
		}
		cost, state := estimate(candidate)
		ranked = append(ranked, RankedUpstream{Instance: candidate, Cost: cost, State: state})
	}
	slices.SortStableFunc(ranked, func(a, b RankedUpstream) int {
		if isPreferred(&a, &b) {
			return -1
		}
		if isPreferred(&b, &a) {
			return 1
		}

		return 0
	})

	return ranked
}
