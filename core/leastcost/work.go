package leastcost

import (
	"math/rand/v2"

	"cardamomward/core/id"
	"cardamomward/core/registry"
)

// WorkState is the state of an upstream for the choice by outstanding work.
type WorkState struct {
	UpstreamState

	// WorkMillis is the time that the upstream needs for the requests of all hosts that run or wait there.
	WorkMillis float64
	// ReservedTokens is the engine memory that those requests and the cached shared parts take, and CapacityTokens all that the
	// engine has; zero if unknown.
	ReservedTokens id.Tokens
	CapacityTokens id.Tokens
}

// sampleSize is the number of random candidates of a choice by outstanding work. Hosts with the same old view would all choose the
// one upstream with the least work if they compared more of them: with views of 0.2 to 2 s, p95 of programs is worse with 4 and
// 8 candidates than with 2, and worst with all of them.
const sampleSize = 2

// ChooseByWork returns the candidate with the least cost by outstanding work among two random ones and the request's last
// upstream, or nil if all are excluded. If the request prefers a failure domain, two of that domain and two others are
// compared. It reads the state of these candidates alone.
func ChooseByWork(candidates []*registry.Instance, request Request, stateOf func(*registry.Instance) WorkState, excluded map[id.Upstream]struct{}, random *rand.Rand) *registry.Instance {
	return chooseFromSample(candidates, request, stateOf, excluded, random, sampleSize)
}

// chooseFromSample is ChooseByWork with a sample of any size.
func chooseFromSample(candidates []*registry.Instance, request Request, stateOf func(*registry.Instance) WorkState, excluded map[id.Upstream]struct{}, random *rand.Rand, size int) *registry.Instance {
	var best *registry.Instance
	var bestCost float64
	consider := func(candidate *registry.Instance) bool {
		if _, skip := excluded[candidate.ID]; skip {
			return false
		}
		if cost := EstimateWorkCostMS(candidate, request, stateOf(candidate)); best == nil || cost < bestCost {
			best, bestCost = candidate, cost
		}

		return true
	}
	if len(candidates) == 0 {
		return nil
	}
	// A step that has no common divisor with the number of candidates visits each of them once, in an order that needs no memory.
	position, step := random.IntN(len(candidates)), coprimeStep(len(candidates), random)
	sampledNear, sampledFar := 0, 0
	for range candidates {
		candidate := candidates[position]
		sampled := &sampledFar
		if request.FailureDomain != "" && candidate.FailureDomain == request.FailureDomain {
			sampled = &sampledNear
		}
		if (*sampled < size || candidate.ID == request.LastUpstream) && consider(candidate) {
			*sampled++
		}
		position = (position + step) % len(candidates)
	}

	return best
}

// coprimeStep returns a random step below n that has no common divisor with n.
func coprimeStep(n int, random *rand.Rand) int {
	for n > 2 {
		step := 1 + random.IntN(n-1)
		a, b := n, step
		for b != 0 {
			a, b = b, a%b
		}
		if a == 1 {
			return step
		}
	}

	return 1
}

// EstimateWorkCostMS returns the estimated cost of a request at an upstream in milliseconds by the outstanding work there.
func EstimateWorkCostMS(candidate *registry.Instance, request Request, state WorkState) float64 {
	return EstimateWorkCost(candidate, request, state).TotalMS()
}

// EstimateWorkCost returns the estimated cost of a request at an upstream by the outstanding work there, by component: the
// time of the request, the delay that it and the others cause each other while they run at the same time, the time in the
// queue, and the cost of preemptions.
func EstimateWorkCost(candidate *registry.Instance, request Request, state WorkState) Cost {
	concurrency := float64(max(1, candidate.Concurrency))
	running := float64(state.RunningRequests)
	cost := Cost{FailuresMS: failurePenaltyMS * state.FailureScore, FailureDomainMS: state.FailureDomainCostMS}
	if candidate.ID != request.LastUpstream || state.IsCold {
		cost.AdmissionDelayMS = state.AdmissionDelayMS
	}
	if running >= concurrency {
		// The requests beyond the concurrency have their share of the outstanding work, which all slots work off; the request
		// delays others behind it as well.
		cost.QueueingMS = 2 * (running - concurrency + 1) / running * state.WorkMillis / concurrency
	}
	if !request.IsModelCall {
		cost.DecodeMS = request.ExpectedServiceMS * state.UnitLatencyMS
		cost.InterferenceMS = min(state.WorkMillis, running*cost.DecodeMS) / concurrency

		return cost
	}
	concurrent := min(running, concurrency)
	cost.PrefillMS = request.PrefillMillis(candidate.ID, state.UpstreamState) * (1 + prefillInterference*concurrent)
	cost.DecodeMS = float64(request.ExpectedOutputTokens) * state.UnitLatencyMS
	// Two requests delay each other only while both run, which is at most the shorter of their times.
	cost.InterferenceMS = 2 * SlowdownPerRequest * min(state.WorkMillis, concurrent*cost.DecodeMS)
	cost.PreemptionMS = preemptionCostMS(request, state)

	return cost
}

// PrefillMillis returns the time in which an upstream reads the tokens of the request's prompt that it does not cache.
func (r Request) PrefillMillis(upstream id.Upstream, state UpstreamState) float64 {
	return float64(r.uncachedTokens(upstream, state)) * prefillToDecodeRatio * state.UnitLatencyMS
}

// preemptionCostMS returns the cost of the preemptions that the request causes: the tokens that exceed the engine's memory are
// read again, while all others wait.
func preemptionCostMS(request Request, state WorkState) float64 {
	if state.CapacityTokens <= 0 {
		return 0
	}
	needed := request.OwnPromptTokens + request.ExpectedOutputTokens
	if !state.CachesSharedPrefix {
		needed += request.SharedPromptTokens
	}
	excess := state.ReservedTokens + needed - state.CapacityTokens
	if excess <= 0 {
		return 0
	}
	// At least the request itself is preempted and read again.
	return float64(max(excess, needed)) * prefillToDecodeRatio * state.UnitLatencyMS * (1 + prefillInterference*float64(state.RunningRequests))
}
