package reverseproxy

import (
	"context"
	"time"

	"cardamomward/core/id"
	"cardamomward/core/registry"
	"cardamomward/core/streamorigin"
)

const (
	// maxConfirmationWait bounds how long a resumption waits for a read of the registrations. A refresh takes some ms, but processes
	// that have served for less than 250 ms may not have registered, and refreshes are 250 ms apart.
	maxConfirmationWait = time.Second
	// confirmationWaitShare is the fraction of a request's remaining time that it may wait, so that a refused caller has time to
	// retry.
	confirmationWaitShare = 0.25
	// confirmationPoll is the interval at which a waiting resumption checks what has been read.
	confirmationPoll = 20 * time.Millisecond
)

// ReportReader requests what upstreams report about their processes.
type ReportReader interface {
	// Read returns the report of the upstream at an address, within a fraction of the time that the caller has left.
	Read(ctx context.Context, address string, timeLeft time.Duration) streamorigin.Report
}

// resumption holds the state of the resumption of a request's stream.
type resumption struct {
	// arrivedAt is the arrival time of the caller's resumption, or the time at which the stream broke that the host resumes itself.
	arrivedAt time.Time
	// verifiedAt is the time at which the process of the candidate was verified.
	verifiedAt time.Time
	// isUncertain is set once an upstream was not used because its version, or that of the stream, was not certain.
	isUncertain bool
}

// acquireVerifiedUpstream returns an upstream that admits the request, or an error response if there is none. If the request resumes
// a stream, the process of the upstream and that of the origin are verified first.
func (p *Proxy) acquireVerifiedUpstream(ctx context.Context, req *proxiedRequest) (*registry.Instance, *errorResponse) {
	for {
		instance, errResp := p.acquireUpstream(ctx, req)
		if errResp != nil || req.origin == nil {
			return instance, errResp
		}
		decision := p.verifyResumption(ctx, req, instance)
		p.Metrics.countResumption(decision.String())
		if decision == streamorigin.Continue {
			return instance, nil
		}
		if ctx.Err() != nil {
			return nil, failedUpstreamResponse(req, "caller-gone")
		}
		req.resumption.isUncertain = true
		req.excludedUpstreams = addExcluded(req.excludedUpstreams, instance.ID)
		if decision == streamorigin.Refuse {
			return nil, p.noUpstreamResponse(req)
		}
	}
}

// verifyResumption decides whether a candidate may continue the request's stream. While the registrations are being read, it waits for
// a read that may confirm what reports do not.
func (p *Proxy) verifyResumption(ctx context.Context, req *proxiedRequest, candidate *registry.Instance) streamorigin.Decision {
	startedAt := p.Now()
	evidence := p.gatherEvidence(ctx, req, candidate)
	decision := evidence.Decide()
	if decision != streamorigin.Continue && p.mayConfirmLater(evidence) && p.awaitConfirmation(ctx, req, evidence) {
		evidence = p.gatherEvidence(ctx, req, candidate)
		decision = evidence.Decide()
	}
	p.Logger.Info("resumption-verified", "request", req.ID, "upstream", candidate.ID, "incarnation", candidate.Incarnation, "decision", decision.String(),
		"candidate", evidence.Candidate.String(), "origin", evidence.Origin.String(), "read", evidence.IsCandidateRead,
		"confirmed", evidence.IsOriginConfirmed, "sole", evidence.HasSoleVersion, "took", p.Now().Sub(startedAt).Round(time.Microsecond))

	return decision
}

// gatherEvidence returns what is known of the candidate's process and of the one where the stream began. No report is requested where
// the registrations have been read late enough.
func (p *Proxy) gatherEvidence(ctx context.Context, req *proxiedRequest, candidate *registry.Instance) streamorigin.Evidence {
	evidence := streamorigin.Evidence{
		IsOriginConfirmed: p.Discovery.ConfirmOrigin(*req.origin, time.Time{}),
		HasSoleVersion:    p.Discovery.HasSoleVersion(req.origin.Service, req.origin.Version, streamorigin.SoleVersionPeriod(req.routeTimeout())),
	}
	if req.origin.Upstream == "" {
		// The stream may have begun at any version that has served.
		isSole := evidence.IsOriginConfirmed && evidence.HasSoleVersion
		evidence.IsOriginConfirmed, evidence.HasSoleVersion = isSole, isSole
	}
	req.resumption.verifiedAt = p.Now()
	current, isRegistered := p.Discovery.GetUpstream(candidate.ID)
	isCurrent := isRegistered && current.Incarnation == candidate.Incarnation && current.Address == candidate.Address
	evidence.IsCandidateRead = isCurrent && p.Discovery.HasReadSince(req.resumption.arrivedAt)
	if !evidence.IsCandidateRead {
		report := p.Reports.Read(ctx, candidate.Address, req.deadline.Sub(p.Now()))
		evidence.Candidate = report.Evaluate(p.Now(), candidate.Incarnation)
		req.resumption.verifiedAt = report.RequestedAt
	}
	if !evidence.IsOriginConfirmed {
		evidence.Origin = p.readOriginProcess(ctx, req, req.origin.Upstream)
	}

	return evidence
}

// readOriginProcess returns which process of the upstream serves where the stream began. Upstreams of evacuated failure domains are not
// called.
func (p *Proxy) readOriginProcess(ctx context.Context, req *proxiedRequest, upstream id.Upstream) streamorigin.ProcessState {
	instance, ok := p.Discovery.GetUpstream(upstream)
	if !ok || p.Discovery.IsEvacuated(instance.FailureDomain) {
		return streamorigin.ProcessUnknown
	}

	return p.Reports.Read(ctx, instance.Address, req.deadline.Sub(p.Now())).Evaluate(p.Now(), req.origin.Incarnation)
}

// mayConfirmLater reports whether a later read of the registrations may confirm what is not certain: where the stream began, or the
// process of a candidate that has no report. Another candidate comes before a wait for one that does not respond.
func (p *Proxy) mayConfirmLater(evidence streamorigin.Evidence) bool {
	isCandidateSettled := evidence.Candidate == streamorigin.ProcessUnknown || evidence.Candidate == streamorigin.ProcessRestarted

	return p.Discovery.IsReading() && (evidence.IsCandidateRead || !isCandidateSettled)
}

// awaitConfirmation waits until a read of the registrations may have changed the evidence, and returns false if there was none in time.
func (p *Proxy) awaitConfirmation(ctx context.Context, req *proxiedRequest, evidence streamorigin.Evidence) bool {
	timeLeft := req.deadline.Sub(p.Now())
	ctx, cancel := context.WithTimeout(ctx, min(maxConfirmationWait, time.Duration(confirmationWaitShare*float64(timeLeft))))
	defer cancel()
	ticker := time.NewTicker(confirmationPoll)
	defer ticker.Stop()
	isConfirmed := func() bool {
		if evidence.Decide() == streamorigin.Refuse {
			return p.Discovery.ConfirmOrigin(*req.origin, time.Time{})
		}

		return p.Discovery.HasReadSince(req.resumption.arrivedAt)
	}
	for !isConfirmed() {
		p.Discovery.RefreshUpstreams()
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}

	return true
}

// isVerificationOutdated reports whether the upstream was verified so long ago that it may have restarted since, as after a freeze of
// this host.
func (p *Proxy) isVerificationOutdated(req *proxiedRequest) bool {
	return req.origin != nil && streamorigin.IsOutdated(p.Now(), req.resumption.verifiedAt)
}
