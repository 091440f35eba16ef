package reverseproxy

import (
	"slices"
	"time"

	"cardamomward/core/affinity"
	"cardamomward/core/id"
	"cardamomward/core/leastcost"
	"cardamomward/core/leaving"
	"cardamomward/core/registry"
	"cardamomward/core/traffic"
)

const (
	// expectedOutputShare is the fraction of max_tokens that a turn generates on average.
	expectedOutputShare = 0.45
	// defaultUnitLatencyMS is the assumed latency of a token, or of a request to a plain service, in milliseconds, until
	// there are samples.
	defaultUnitLatencyMS = 1.2
	// minSampleTokens is the least number of generated tokens that makes a latency sample of an engine.
	minSampleTokens = 60
)

// sharedPromptPart returns the first part of the prompt, which requests with other affinity keys may share, and false if
// the prompt has fewer than two parts.
func (req *proxiedRequest) sharedPromptPart() (affinity.PromptPartHash, bool) {
	if len(req.PromptParts) < 2 {
		return 0, false
	}

	return affinity.HashPromptPart(req.PromptParts[0].ID), true
}

// balancerRequest returns the request's parameters for load balancing.
func (req *proxiedRequest) balancerRequest() leastcost.Request {
	request := leastcost.Request{AffinityKey: req.ResolveAffinityKey(), IsModelCall: req.service.Engine != nil}
	if !request.IsModelCall {
		return request
	}
	request.OwnPromptTokens = req.ownPromptTokens()
	request.SharedPromptTokens = req.PromptTokens - request.OwnPromptTokens
	request.LastUpstream, request.CachedOwnTokens = req.beginResult.LastLocation.Upstream, req.beginResult.LastLocation.CachedTokens
	request.ExpectedOutputTokens = id.Tokens(expectedOutputShare * float64(req.MaxTokens))

	return request
}

// ownPromptTokens returns the tokens of the prompt after its shared part.
func (req *proxiedRequest) ownPromptTokens() id.Tokens {
	if len(req.PromptParts) < 2 {
		return req.PromptTokens
	}

	return max(0, req.PromptTokens-req.PromptParts[0].Tokens)
}

// chooseUpstream returns the available upstream with the least estimated cost, or nil if all are excluded, and the use on which it was
// chosen. One that has announced its shutdown is chosen only if there is no other.
func (p *Proxy) chooseUpstream(req *proxiedRequest, excluded map[id.Upstream]struct{}) (*registry.Instance, leaving.Use) {
	eligible := p.eligibleUpstreams(req)
	isLeaving := func(instance *registry.Instance) bool {
		return p.Shutdowns.UpstreamUse(instance) != leaving.Unrestricted
	}
	if !slices.ContainsFunc(eligible, isLeaving) {
		return p.chooseAmong(req, eligible, excluded), leaving.Unrestricted
	}
	staying := slices.DeleteFunc(slices.Clone(eligible), isLeaving)
	if chosen := p.chooseAmong(req, staying, excluded); chosen != nil {
		return chosen, leaving.Unrestricted
	}

	return p.chooseAmong(req, eligible, excluded), leaving.LastResort
}

// chooseAmong returns the candidate with the least estimated cost, or nil if all are excluded.
func (p *Proxy) chooseAmong(req *proxiedRequest, candidates []*registry.Instance, excluded map[id.Upstream]struct{}) *registry.Instance {
	if p.LearnsCosts {
		return p.chooseByWork(req, candidates, excluded)
	}
	p.statsMu.Lock()
	defer p.statsMu.Unlock()

	return leastcost.ChooseUpstream(candidates, req.balancerRequest(), p.upstreamStates(req), excluded)
}

// upstreamStates returns a function that returns what is known of an upstream for the request; the caller holds statsMu.
func (p *Proxy) upstreamStates(req *proxiedRequest) func(*registry.Instance) leastcost.UpstreamState {
	part, shared := req.sharedPromptPart()
	now := p.Now()

	return func(instance *registry.Instance) leastcost.UpstreamState {
		isCold, coldDelay := p.Limits.ColdDelay(instance, req.service.ColdStart)

		return leastcost.UpstreamState{
			RunningRequests:    p.Loads.RunningRequests(instance.ID),
			UnitLatencyMS:      p.stats.MillisPerUnit(now, instance.Service, instance.ID, defaultUnitLatencyMS),
			FailureScore:       p.stats.FailureScore(now, instance.ID) + p.Loads.PeerErrors(instance.ID),
			CachesSharedPrefix: shared && p.Loads.CachesPromptPart(instance.ID, part),
			AdmissionDelayMS:   max(coldDelay, p.Limits.AdmissionDelay(instance)).Seconds() * 1000,
			IsCold:             isCold,

			FailureDomainCostMS: p.failureDomainCostMS(instance),
		}
	}
}

// failureDomainCostMS returns the cost in milliseconds of an upstream in another failure domain than the host's.
func (p *Proxy) failureDomainCostMS(instance *registry.Instance) float64 {
	if traffic.CrossingBetween(p.FailureDomain, instance.FailureDomain) != traffic.Across {
		return 0
	}

	return p.FailureDomainCost.Seconds() * 1000
}

// RemoveUnlistedStats removes the statistics of upstreams that are not registered any more.
func (p *Proxy) RemoveUnlistedStats() {
	p.statsMu.Lock()
	defer p.statsMu.Unlock()
	isListed := func(upstream id.Upstream) bool {
		_, listed := p.Discovery.GetUpstream(upstream)

		return listed
	}
	p.stats.RemoveUnlisted(isListed)
	p.learned.speeds.RemoveUnlisted(isListed)
}

// recordFailure adds a failure to an upstream's statistics.
func (p *Proxy) recordFailure(instance *registry.Instance) {
	p.statsMu.Lock()
	defer p.statsMu.Unlock()
	p.stats.RecordFailure(p.Now(), instance.ID)
}

// recordError adds a server error to an upstream's statistics. Without it an upstream that fails all requests looks fast and idle,
// and attracts most of the load.
func (p *Proxy) recordError(instance *registry.Instance) {
	p.statsMu.Lock()
	defer p.statsMu.Unlock()
	p.stats.RecordError(p.Now(), instance.ID)
}

// UpstreamErrors returns the error scores of upstreams that have lately returned server errors to this host.
func (p *Proxy) UpstreamErrors() map[id.Upstream]float64 {
	p.statsMu.Lock()
	defer p.statsMu.Unlock()

	return p.stats.Errors(p.Now())
}

// recordLatency adds a latency sample of an upstream: the time per token since the first event for engines, else the time
// of the whole request. The sample is corrected for the slowdown by other running requests.
func (p *Proxy) recordLatency(req *proxiedRequest, instance *registry.Instance, duration time.Duration, tokens id.Tokens) {
	running := float64(max(0, p.Loads.RunningRequests(instance.ID)-1))
	concurrency := float64(max(1, instance.Concurrency))
	ms := duration.Seconds() * 1000
	switch {
	case req.service.Engine == nil:
		ms /= 1 + running/concurrency
	case tokens < minSampleTokens:
		return
	default:
		ms /= float64(tokens) * (1 + leastcost.SlowdownPerRequest*min(running, concurrency))
	}
	p.statsMu.Lock()
	defer p.statsMu.Unlock()
	p.stats.RecordLatency(p.Now(), instance.Service, instance.ID, ms)
}
