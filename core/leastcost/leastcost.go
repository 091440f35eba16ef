package leastcost

import (
	"github.com/cespare/xxhash/v2"

	"cardamomward/core/id"
	"cardamomward/core/registry"
)

// Request describes the request for which an upstream is chosen.
type Request struct {
	// AffinityKey groups related requests; it breaks ties between upstreams of equal cost.
	AffinityKey string
	// IsModelCall is set for model calls; the fields below apply only to them.
	IsModelCall bool
	// SharedPromptTokens counts the prompt prefix that other affinity keys share, OwnPromptTokens the rest.
	SharedPromptTokens id.Tokens
	OwnPromptTokens    id.Tokens
	// LastUpstream is where this affinity key last ran; CachedOwnTokens are the own prompt tokens that it caches.
	LastUpstream    id.Upstream
	CachedOwnTokens id.Tokens
	// ExpectedOutputTokens is the estimate of the tokens that the request generates.
	ExpectedOutputTokens id.Tokens
	// FailureDomain is the preferred one, empty without a preference; only ChooseByWork uses it.
	FailureDomain id.FailureDomain
	// ExpectedServiceMS is the estimate of the time of a request to a plain service; only ChooseByWork uses it.
	ExpectedServiceMS float64
}

// UpstreamState is the host's view of an upstream.
type UpstreamState struct {
	// RunningRequests counts the requests of all hosts that run or wait at the upstream.
	RunningRequests int
	// UnitLatencyMS is the time in milliseconds for one token, or for one request to a plain service, without other load.
	UnitLatencyMS float64
	// FailureScore is the decayed count of its failures.
	FailureScore float64
	// AdmissionDelayMS is the estimated time in milliseconds until its limit admits a request; zero if it has none.
	AdmissionDelayMS float64
	// FailureDomainCostMS is the cost of its failure domain in milliseconds: zero if it is that of the host.
	FailureDomainCostMS float64
	// IsCold is set while its caches are empty after a start; AdmissionDelayMS then counts for every request.
	IsCold bool
	// CachesSharedPrefix is set if it probably caches the request's shared prompt tokens.
	CachesSharedPrefix bool
}

const (
	// SlowdownPerRequest is the fraction of UnitLatencyMS that each concurrent request adds to the time for one token.
	SlowdownPerRequest = 0.025
	// prefillToDecodeRatio is the time to read a prompt token relative to the time to generate a token.
	prefillToDecodeRatio = 1.0 / 300
	// prefillInterference is the fraction of a request's prefill time that it adds to each concurrent request.
	prefillInterference = 0.7
	// failurePenaltyMS is the cost of one failure in milliseconds.
	failurePenaltyMS = 150.0
)

// ChooseUpstream returns the candidate with the least cost that is not excluded, or nil if there is none.
//
// The cost in milliseconds is the time that the request takes at the upstream plus the delay it causes to the requests
// that run there: prefill of uncached prompt tokens, decoding among concurrent requests, and queueing. The delay by an
// upstream's limit counts unless the upstream caches the request's own prompt.
func ChooseUpstream(candidates []*registry.Instance, request Request, stateOf func(*registry.Instance) UpstreamState, excluded map[id.Upstream]struct{}) *registry.Instance {
	var best *registry.Instance
	var bestCost float64
	for _, candidate := range candidates {
		if _, skip := excluded[candidate.ID]; skip {
			continue
		}
		cost := EstimateCostMS(candidate, request, stateOf(candidate))
		if best == nil || isPreferred(candidate, cost, best, bestCost, request.AffinityKey) {
			best, bestCost = candidate, cost
		}
	}

	return best
}

// isPreferred reports whether a candidate goes before another one: at a lower cost, or by the rendezvous hash at the same cost.
func isPreferred(candidate *registry.Instance, cost float64, other *registry.Instance, otherCost float64, affinityKey string) bool {
	return cost < otherCost || (cost == otherCost && rendezvousScore(candidate.ID, affinityKey) > rendezvousScore(other.ID, affinityKey))
}

// Cost is the estimated cost of a request at an upstream, by component in milliseconds.
type Cost struct {
	FailuresMS       float64
	FailureDomainMS  float64
	AdmissionDelayMS float64
	PrefillMS        float64
	// DecodeMS is the time to generate the output, or that of the whole request to a plain service.
	DecodeMS float64
	// InterferenceMS is the delay that the request and the running ones cause each other; EstimateCost includes it in the other
	// components.
	InterferenceMS float64
	QueueingMS     float64
	// PreemptionMS is the cost of the preemptions that the request causes; only EstimateWorkCost estimates it.
	PreemptionMS float64
}

// TotalMS returns the sum of the components.
func (c Cost) TotalMS() float64 {
	return c.FailuresMS + c.FailureDomainMS + c.AdmissionDelayMS + c.PrefillMS + (c.DecodeMS + c.InterferenceMS) + c.QueueingMS + c.PreemptionMS
}

// EstimateCostMS returns the estimated cost of a request at an upstream in milliseconds.
func EstimateCostMS(candidate *registry.Instance, request Request, state UpstreamState) float64 {
	return EstimateCost(candidate, request, state).TotalMS()
}

// EstimateCost returns the estimated cost of a request at an upstream by component.
func EstimateCost(candidate *registry.Instance, request Request, state UpstreamState) Cost {
	concurrency := float64(max(1, candidate.Concurrency))
	runningRequests := float64(state.RunningRequests)
	cost := Cost{FailuresMS: failurePenaltyMS * state.FailureScore, FailureDomainMS: state.FailureDomainCostMS}
	if candidate.ID != request.LastUpstream || state.IsCold {
		cost.AdmissionDelayMS = state.AdmissionDelayMS
	}
	if !request.IsModelCall {
		cost.DecodeMS = state.UnitLatencyMS * (1 + runningRequests/concurrency)
		cost.QueueingMS = queueingDelayMS(runningRequests, concurrency, state.UnitLatencyMS)

		return cost
	}
	concurrentRequests := min(runningRequests, concurrency)
	prefillMS := float64(request.uncachedTokens(candidate.ID, state)) * prefillToDecodeRatio * state.UnitLatencyMS
	decodeMS := float64(request.ExpectedOutputTokens) * state.UnitLatencyMS
	cost.PrefillMS = prefillMS * (1 + prefillInterference*concurrentRequests)
	cost.DecodeMS = decodeMS * (1 + 2*SlowdownPerRequest*concurrentRequests)
	cost.QueueingMS = queueingDelayMS(runningRequests, concurrency, decodeMS)

	return cost
}

// queueingDelayMS estimates the time in milliseconds until the upstream can start another request.
func queueingDelayMS(runningRequests, concurrency, serviceMS float64) float64 {
	return max(0, runningRequests-concurrency+1) / concurrency * serviceMS * 2
}

// uncachedTokens returns the prompt tokens that an upstream has to read: all of them if it is cold.
func (r Request) uncachedTokens(upstream id.Upstream, state UpstreamState) id.Tokens {
	if state.IsCold {
		return r.OwnPromptTokens + r.SharedPromptTokens
	}
	uncached := r.OwnPromptTokens
	if upstream == r.LastUpstream {
		uncached = max(0, r.OwnPromptTokens-r.CachedOwnTokens)
	}
	if !state.CachesSharedPrefix && upstream != r.LastUpstream {
		uncached += r.SharedPromptTokens
	}

	return uncached
}

// rendezvousScore returns the rendezvous hash of an upstream for an affinity key.
func rendezvousScore(upstream id.Upstream, affinityKey string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	digest.WriteString(string(upstream)) //nolint:errcheck // a hash never fails
	digest.WriteString("\x00")           //nolint:errcheck // a hash never fails
	digest.WriteString(affinityKey)      //nolint:errcheck // a hash never fails

	return digest.Sum64()
}
