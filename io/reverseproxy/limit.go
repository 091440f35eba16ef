package reverseproxy

import (
	"context"
	"maps"
	"slices"
	"time"

	"cardamomward/core/coldstart"
	"cardamomward/core/id"
	"cardamomward/core/leaving"
	"cardamomward/core/registry"
	"cardamomward/core/upstreamlimit"
)

const (
	// maxLimitWait bounds how long a request of a running program waits while the limits of all upstreams are used up.
	maxLimitWait = 400 * time.Millisecond
	// limitWaitShare is the fraction of a request's remaining time that it may wait, so that a refused caller has time to retry.
	limitWaitShare = 0.3
	// maxRepeatedChoices bounds how often an upstream is chosen again whose use has changed; further ones are excluded.
	maxRepeatedChoices = 2
)

// acquireUpstream returns the upstream with the least cost that admits the request, or an error response if there is none.
// While all limits are used up, requests of running programs wait for a short time; others are refused at once.
func (p *Proxy) acquireUpstream(ctx context.Context, req *proxiedRequest) (*registry.Instance, *errorResponse) {
	startedAt := p.Now()
	maxWait := min(maxLimitWait, time.Duration(limitWaitShare*float64(req.deadline.Sub(startedAt))))
	if req.Program == "" || req.isFirstTurn() {
		maxWait = 0
	}
	for {
		instance, retryAfter := p.tryAcquireUpstream(ctx, req)
		if instance != nil {
			return instance, nil
		}
		if retryAfter == 0 {
			return nil, p.noUpstreamResponse(req)
		}
		if p.Now().Add(retryAfter).Sub(startedAt) > maxWait {
			return nil, p.limitedResponse(req, retryAfter)
		}
		timer := time.NewTimer(retryAfter)
		select {
		case <-ctx.Done():
			timer.Stop()

			return nil, failedUpstreamResponse(req, "caller-gone")
		case <-timer.C:
		}
	}
}

// isFirstTurn reports whether the request is the first turn of a program and no upstream has begun it.
func (req *proxiedRequest) isFirstTurn() bool {
	return req.turn.Request != nil && !req.beginResult.ContinuesProgram && req.attempts.Executed == 0
}

// tryAcquireUpstream returns the upstream with the least cost that admits the request now, or nil and after how long to ask
// again; that is zero if no upstream is available.
func (p *Proxy) tryAcquireUpstream(ctx context.Context, req *proxiedRequest) (*registry.Instance, time.Duration) {
	excluded := maps.Clone(req.excludedUpstreams)
	var limited []id.Upstream
	retryAfter := time.Duration(0)
	choicesLeft := maxRepeatedChoices
	isStayingFull := false
	needsPlace := req.isFirstTurn() && p.isAnyLimitExhausted(req)
	for {
		instance, use := p.chooseUpstream(req, excluded)
		if instance == nil {
			p.logLimited(req, limited, "")

			return nil, retryAfter
		}
		if use == leaving.LastResort && isStayingFull {
			// An upstream that stays can serve the request once it has a free slot, so the last resort is not used.
			p.logLimited(req, limited, "")

			return nil, retryDelay
		}
		if needsPlace && p.Loads.RunningRequests(instance.ID) >= instance.Concurrency {
			limited = append(limited, instance.ID)
			if !p.LearnsCosts {
				p.logLimited(req, limited, "")

				return nil, retryDelay
			}
			// The choice by outstanding work compares a sample, so others may have a free slot.
			excluded = addExcluded(excluded, instance.ID)
			isStayingFull = isStayingFull || use == leaving.Unrestricted
			retryAfter = retryDelay

			continue
		}
		ok, wait := p.Limits.AdmitToUpstream(ctx, instance, req.service.ColdStart)
		if ok && p.Shutdowns.UpstreamUse(instance) == use {
			p.logLimited(req, limited, instance.ID)

			return instance, 0
		}
		if ok && choicesLeft > 0 {
			// The upstream has announced its shutdown, or its drain timeout has expired, while its admission was awaited.
			choicesLeft--

			continue
		}
		excluded = addExcluded(excluded, instance.ID)
		if ok {
			continue
		}
		limited = append(limited, instance.ID)
		retryAfter = shorterWait(retryAfter, wait)
	}
}

// shorterWait returns the shorter of the times until an upstream is asked again; zero retryAfter means that none is known yet.
func shorterWait(retryAfter, wait time.Duration) time.Duration {
	if retryAfter == 0 {
		return wait
	}

	return min(retryAfter, wait)
}

// addExcluded adds an upstream to those that are excluded, which may be nil.
func addExcluded(excluded map[id.Upstream]struct{}, upstream id.Upstream) map[id.Upstream]struct{} {
	if excluded == nil {
		excluded = make(map[id.Upstream]struct{})
	}
	excluded[upstream] = struct{}{}

	return excluded
}

// isAnyLimitExhausted reports whether the limit of an upstream of the request's service has no room now. Programs then start
// only if the upstream with the least cost serves them at once, so that those that have begun are finished in time.
func (p *Proxy) isAnyLimitExhausted(req *proxiedRequest) bool {
	return slices.ContainsFunc(p.eligibleUpstreams(req), func(instance *registry.Instance) bool {
		return p.Limits.AdmissionDelay(instance) > 0
	})
}

// logLimited logs the upstreams whose limits turned the request away, and the one that was chosen instead.
func (p *Proxy) logLimited(req *proxiedRequest, limited []id.Upstream, chosen id.Upstream) {
	if len(limited) == 0 {
		return
	}
	p.Metrics.countSend("limited")
	p.Logger.Info("send-limited", "request", req.ID, "limited", limited, "upstream", chosen)
}

// limitedResponse returns the error response of a request that the limits of all upstreams turn away.
func (p *Proxy) limitedResponse(req *proxiedRequest, retryAfter time.Duration) *errorResponse {
	if req.attempts.Executed > 0 {
		return failedUpstreamResponse(req, "answer-lost")
	}

	return notExecutedResponse("upstream-limits", max(retryDelay, retryAfter))
}

// recordLimit records what a response says of the limit of its upstream, and of how long it stays cold.
func (p *Proxy) recordLimit(req *proxiedRequest, sent *sentRequest) {
	if sent.responseHead.ColdRemaining > 0 {
		p.Limits.RecordCold(sent.instance, sent.responseHead.ColdRemaining, req.service.ColdStart, coldstart.FromResponse)
	}
	limit := sent.responseHead.Limit
	if !limit.IsClear {
		return
	}
	p.Limits.RecordUpstreamLimit(upstreamlimit.Statement{
		Upstream: sent.instance.ID, Incarnation: sent.instance.Incarnation, IsLimited: limit.IsLimited, Rate: limit.RequestsPerSecond,
		ReceivedAt: p.Now(),
	})
}
