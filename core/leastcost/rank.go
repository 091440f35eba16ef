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
	State    UpstreamState
}

// RankUpstreams returns the candidates that are not excluded, in the order in which ChooseUpstream prefers them.
func RankUpstreams(candidates []*registry.Instance, request Request, stateOf func(*registry.Instance) UpstreamState, excluded map[id.Upstream]struct{}) []RankedUpstream {
	ranked := make([]RankedUpstream, 0, len(candidates))
	for _, candidate := range candidates {
		if _, skip := excluded[candidate.ID]; skip {
			continue
		}
		state := stateOf(candidate)
		ranked = append(ranked, RankedUpstream{Instance: candidate, State: state, Cost: EstimateCost(candidate, request, state)})
	}
	slices.SortStableFunc(ranked, func(a, b RankedUpstream) int {
		if isPreferred(a.Instance, a.Cost.TotalMS(), b.Instance, b.Cost.TotalMS(), request.AffinityKey) {
			return -1
		}
		if isPreferred(b.Instance, b.Cost.TotalMS(), a.Instance, a.Cost.TotalMS(), request.AffinityKey) {
			return 1
		}

		return 0
	})

	return ranked
}
