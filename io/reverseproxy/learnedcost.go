package reverseproxy

import (
	"math/rand/v2"
	"net/http"
	"time"

	"cardamomward/core/costestimate"
	"cardamomward/core/id"
	"cardamomward/core/leastcost"
	"cardamomward/core/registry"
	"cardamomward/core/upstreamstats"
	"cardamomward/core/workleft"
)

const (
	// defaultServiceMS is the assumed time of a request to a plain service in milliseconds until there are samples.
	defaultServiceMS = 20.0
	// progressInterval is the least interval at which the tokens of a stream are recorded, which takes a lock.
	progressInterval = 100 * time.Millisecond
	// minOutputLeft is the least output that is expected of a stream that is resumed.
	minOutputLeft = 16
)

// WorkTracker tracks the outstanding work of the requests of all hosts at each upstream.
type WorkTracker interface {
	// BeginWork adds a request of this host; EndWork removes it.
	BeginWork(instance *registry.Instance, work workleft.Work) *workleft.Request
	// RecordWorkProgress records that output tokens of a request have arrived.
	RecordWorkProgress(request *workleft.Request, tokens id.Tokens)
	EndWork(request *workleft.Request)
	// UpstreamWork returns the load at an upstream, with the memory of its cached prompt parts of a given size each.
	UpstreamWork(instance *registry.Instance, tokensPerPart id.Tokens) workleft.Load
}

// learnedCosts holds the estimators of requests and the speeds of upstreams; Proxy.statsMu guards it.
type learnedCosts struct {
	// outputs estimates output tokens, and serviceTimes the milliseconds of requests to plain services.
	outputs, serviceTimes costestimate.Estimator
	speeds                upstreamstats.SpeedTracker
	random                *rand.Rand
	// tokensPerPart is the size of the last shared prompt part.
	tokensPerPart id.Tokens
}

// streamProgress collects the tokens of a stream that are not recorded yet.
type streamProgress struct {
	tokens id.Tokens
	since  time.Time
}

// kind returns the kind of the request for estimates.
func (req *proxiedRequest) kind() costestimate.Kind {
	isFirstTurn := req.turn.Request != nil && !req.beginResult.ContinuesProgram

	return costestimate.Kind{Route: req.route.Name, Workspace: req.workspaceName(), IsFirstTurn: isFirstTurn}
}

// estimateFunc is Estimator.Estimate, or Estimator.Preview for explanations, which must not change the estimator.
type estimateFunc func(estimator *costestimate.Estimator, now time.Time, kind costestimate.Kind, hint, fallback float64) costestimate.Estimate

// learnedRequest returns the request's parameters for the choice by outstanding work; the caller holds statsMu.
func (p *Proxy) learnedRequest(req *proxiedRequest, now time.Time, estimate estimateFunc) leastcost.Request {
	request := req.balancerRequest()
	if p.FailureDomainCost > 0 {
		request.FailureDomain = p.FailureDomain
	}
	if !request.IsModelCall {
		request.ExpectedServiceMS = estimate(&p.learned.serviceTimes, now, req.kind(), 0, defaultServiceMS).Mean

		return request
	}
	expected := estimate(&p.learned.outputs, now, req.kind(), req.LengthHint, float64(request.ExpectedOutputTokens)).Mean
	if req.MaxTokens > 0 {
		expected = min(expected, float64(req.MaxTokens))
	}
	request.ExpectedOutputTokens = max(id.Tokens(expected)-req.outputTokens, minOutputLeft)

	return request
}

// unitLatencyMS returns the time of an upstream for a token, or for plain services relative to the mean of the service.
func (p *Proxy) unitLatencyMS(req *proxiedRequest, instance *registry.Instance, now time.Time) float64 {
	fallback := 1.0
	if req.service.Engine != nil {
		fallback = defaultUnitLatencyMS
	}

	return p.learned.speeds.MillisPerUnit(now, instance.Service, instance.ID, fallback)
}

// chooseByWork returns the candidate for a request by learned costs and outstanding work, or nil if all are excluded.
func (p *Proxy) chooseByWork(req *proxiedRequest, candidates []*registry.Instance, excluded map[id.Upstream]struct{}) *registry.Instance {
	_, shared := req.sharedPromptPart()
	now := p.Now()
	p.statsMu.Lock()
	defer p.statsMu.Unlock()
	if p.learned.random == nil {
		p.learned.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	request := p.learnedRequest(req, now, (*costestimate.Estimator).Estimate)
	if shared {
		p.learned.tokensPerPart = request.SharedPromptTokens
	}

	return leastcost.ChooseByWork(candidates, request, p.workStates(req, now, p.learned.tokensPerPart), excluded, p.learned.random)
}

// workStates returns a function that returns what is known of an upstream for the choice by outstanding work, with cached prompt
// parts of a given size each; the caller holds statsMu.
func (p *Proxy) workStates(req *proxiedRequest, now time.Time, tokensPerPart id.Tokens) func(*registry.Instance) leastcost.WorkState {
	part, shared := req.sharedPromptPart()

	return func(instance *registry.Instance) leastcost.WorkState {
		isCold, coldDelay := p.Limits.ColdDelay(instance, req.service.ColdStart)
		load := p.Work.UpstreamWork(instance, tokensPerPart)
		state := leastcost.WorkState{
			UpstreamState: leastcost.UpstreamState{
				RunningRequests:     load.Running,
				UnitLatencyMS:       p.unitLatencyMS(req, instance, now),
				FailureScore:        p.stats.FailureScore(now, instance.ID) + p.Loads.PeerErrors(instance.ID),
				AdmissionDelayMS:    max(coldDelay, p.Limits.AdmissionDelay(instance)).Seconds() * 1000,
				IsCold:              isCold,
				FailureDomainCostMS: p.failureDomainCostMS(instance),
				CachesSharedPrefix:  shared && p.Loads.CachesPromptPart(instance.ID, part),
			},
			WorkMillis: load.WorkMillis, ReservedTokens: load.ReservedTokens,
		}
		if req.service.Engine != nil {
			state.CapacityTokens = req.service.Engine.CacheTokens
		}

		return state
	}
}

// beginWork adds a request that is about to be sent to the work at its upstream; it returns nil if costs are not learned.
func (p *Proxy) beginWork(req *proxiedRequest, instance *registry.Instance) *workleft.Request {
	if !p.LearnsCosts {
		return nil
	}
	part, shared := req.sharedPromptPart()
	isCached := shared && p.Loads.CachesPromptPart(instance.ID, part)
	now := p.Now()
	p.statsMu.Lock()
	request, unitMS := p.learnedRequest(req, now, (*costestimate.Estimator).Estimate), p.unitLatencyMS(req, instance, now)
	p.statsMu.Unlock()
	work := workleft.Work{PrefillMillis: request.ExpectedServiceMS * unitMS}
	if request.IsModelCall {
		isCold, _ := p.Limits.ColdDelay(instance, req.service.ColdStart)
		state := leastcost.UpstreamState{UnitLatencyMS: unitMS, CachesSharedPrefix: isCached, IsCold: isCold}
		work = workleft.Work{
			PrefillMillis: request.PrefillMillis(instance.ID, state), OutputTokens: float64(request.ExpectedOutputTokens),
			MillisPerToken: unitMS, PromptTokens: request.OwnPromptTokens,
		}
	}
	req.progress = streamProgress{}

	return p.Work.BeginWork(instance, work)
}

// recordProgress counts the tokens of an event that was forwarded, and records them at intervals.
func (p *Proxy) recordProgress(req *proxiedRequest, sent *sentRequest) {
	if sent.work == nil || req.service.Engine == nil {
		return
	}
	now := p.Now()
	if req.progress.since.IsZero() {
		// The first event ends the prefill and shows no speed of decoding.
		req.progress.since = now
		p.Work.RecordWorkProgress(sent.work, req.service.Engine.TokensPerEvent)

		return
	}
	req.progress.tokens += req.service.Engine.TokensPerEvent
	elapsed := now.Sub(req.progress.since)
	if elapsed < progressInterval {
		return
	}
	p.Work.RecordWorkProgress(sent.work, req.progress.tokens)
	others := float64(max(0, p.Loads.RunningRequests(sent.instance.ID)-1))
	slowdown := 1 + leastcost.SlowdownPerRequest*min(others, float64(max(1, sent.instance.Concurrency)))
	p.statsMu.Lock()
	p.learned.speeds.Record(now, sent.instance.Service, sent.instance.ID, float64(req.progress.tokens), elapsed.Seconds()*1000/slowdown)
	p.statsMu.Unlock()
	req.progress = streamProgress{since: now}
}

// learnOutput learns from the output of a stream that is complete. One that the caller has resumed has only a part of it.
func (p *Proxy) learnOutput(req *proxiedRequest) {
	if !p.LearnsCosts || req.service.Engine == nil || req.LastEventID != "" {
		return
	}
	p.statsMu.Lock()
	defer p.statsMu.Unlock()
	p.learned.outputs.Record(p.Now(), req.kind(), req.LengthHint, float64(req.outputTokens))
}

// learnServiceTime learns from the time of a request to a plain service, corrected for the other requests there.
func (p *Proxy) learnServiceTime(req *proxiedRequest, sent *sentRequest, duration time.Duration) {
	if !p.LearnsCosts || req.service.Engine != nil || sent.Status >= http.StatusBadRequest {
		return
	}
	others := float64(max(0, p.Loads.RunningRequests(sent.instance.ID)-1))
	ms := duration.Seconds() * 1000 / (1 + others/float64(max(1, sent.instance.Concurrency)))
	now := p.Now()
	p.statsMu.Lock()
	defer p.statsMu.Unlock()
	expected := p.learned.serviceTimes.Estimate(now, req.kind(), 0, ms).Mean
	p.learned.serviceTimes.Record(now, req.kind(), 0, ms)
	p.learned.speeds.Record(now, sent.instance.Service, sent.instance.ID, expected, ms)
}

// endWork removes a request from the work at its upstream.
func (p *Proxy) endWork(work *workleft.Request) {
	if work != nil {
		p.Work.EndWork(work)
	}
}
