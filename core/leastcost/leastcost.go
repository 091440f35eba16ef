package leastcost

import (
	"github.com/cespare/xxhash/v2"

	"cardamomward/core/id"
	"cardamomward/core/registry"
)

// Request is what a request asks of an upstream.
type Request struct {
	// AffinityKey names the requests that belong together; it decides between equal upstreams.
	AffinityKey string
	// IsModelCall is set for model calls; the fields below are for them.
	IsModelCall bool
	// SharedPromptTokens is the part of the prompt that other lines have in common, Own the rest.
	SharedPromptTokens id.Tokens
	OwnPromptTokens    id.Tokens
	// LastUpstream is the upstream where the line last ran, and Kept the tokens of its own part that lie there.
	LastUpstream    id.Upstream
	CachedOwnTokens id.Tokens
	// ExpectedOutputTokens is how many tokens the request is expected to generate.
	ExpectedOutputTokens id.Tokens
}

// UpstreamState is what the host knows of an upstream.
type UpstreamState struct {
	// RunningRequests counts the requests that run or wait there, from all hosts.
	RunningRequests int
	// UnitLatencyMS is the time for a token, or for a request to a plain service, in milliseconds when nothing else runs.
	UnitLatencyMS float64
	// FailureScore counts the failures that stand against it.
	FailureScore float64
	// CachesSharedPrefix is set where it is taken to keep the request's shared part.
	CachesSharedPrefix bool
}

const (
	// SlowdownPerRequest is how much each request beside slows an engine's tokens, as a part of the pace.
	SlowdownPerRequest = 0.025
	// readPerToken is the time to read a token of a prompt, as a part of the time to generate one.
	readPerToken = 1.0 / 300
	// disturbance is how much of a request's reading each request beside waits for.
	disturbance = 0.7
	// failureCost is what a failure that stands against an upstream counts, in milliseconds.
	failureCost = 150.0
)

// ChooseUpstream returns the upstream with the least cost among those that are not excluded, or nil where there is none.
//
// The cost is the time that the request takes there and that it costs those beside it, in milliseconds: reading what the
// upstream does not keep, generating among those that run, and waiting for a place.
func ChooseUpstream(candidates []*registry.Instance, work Request, condition func(*registry.Instance) UpstreamState, excluded map[id.Upstream]struct{}) *registry.Instance {
	var best *registry.Instance
	var bestCost float64
	for _, candidate := range candidates {
		if _, skip := excluded[candidate.ID]; skip {
			continue
		}
		cost := EstimateCostMS(candidate, work, condition(candidate))
		if best == nil || cost < bestCost || (cost == bestCost && weight(candidate.ID, work.AffinityKey) > weight(best.ID, work.AffinityKey)) {
			best, bestCost = candidate, cost
		}
	}

	return best
}

// EstimateCostMS returns the cost of a request at an upstream, in milliseconds.
func EstimateCostMS(candidate *registry.Instance, work Request, c UpstreamState) float64 {
	places := float64(max(1, candidate.Slots))
	running := float64(c.RunningRequests)
	cost := failureCost * c.FailureScore
	if !work.IsModelCall {
		return cost + c.UnitLatencyMS*(1+running/places) + waiting(running, places, c.UnitLatencyMS)
	}
	beside := min(running, places)
	reading := float64(work.missing(candidate.ID, c.CachesSharedPrefix)) * readPerToken * c.UnitLatencyMS
	generating := float64(work.ExpectedOutputTokens) * c.UnitLatencyMS
	cost += reading * (1 + disturbance*beside)
	cost += generating * (1 + 2*SlowdownPerRequest*beside)

	return cost + waiting(running, places, generating)
}

// waiting is how long until a place is free.
func waiting(running, places, service float64) float64 {
	return max(0, running-places+1) / places * service * 2
}

// missing returns the tokens that an upstream must read.
func (w Request) missing(upstream id.Upstream, keepsShared bool) id.Tokens {
	missing := w.OwnPromptTokens
	if upstream == w.LastUpstream {
		missing = max(0, w.OwnPromptTokens-w.CachedOwnTokens)
	}
	if !keepsShared && upstream != w.LastUpstream {
		missing += w.SharedPromptTokens
	}

	return missing
}

func weight(upstream id.Upstream, line string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	digest.WriteString(string(upstream)) //nolint:errcheck // a hash never fails
	digest.WriteString("\x00")           //nolint:errcheck // a hash never fails
	digest.WriteString(line)             //nolint:errcheck // a hash never fails

	return digest.Sum64()
}
