package reverseproxy

import (
	"context"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"cardamomward/core/id"
	"cardamomward/core/registry"
	"cardamomward/core/retrypolicy"
	"cardamomward/core/workleft"
	"cardamomward/io/upstreamclient"
	"cardamomward/platform"
)

// sentRequest is a request to an upstream whose response header has arrived.
type sentRequest struct {
	*upstreamclient.Exchange

	instance     *registry.Instance
	workspace    id.Workspace
	responseHead platform.ResponseHead
	// work is the request's part of the work at the upstream; nil if costs are not learned.
	work *workleft.Request
}

// baseEnginePriority is the engine priority of priority 0, the highest; the others follow in order, up to 9.
const baseEnginePriority = 3

// enginePriority returns the priority that the engine gets for the request, or -1 for plain services.
func (req *proxiedRequest) enginePriority() int {
	if req.service.Engine == nil {
		return -1
	}

	return min(9, baseEnginePriority+req.priority())
}

// sendWithRetries sends the request to one upstream after another until one responds, or returns an error response if
// none does.
func (p *Proxy) sendWithRetries(ctx context.Context, req *proxiedRequest) (*sentRequest, *errorResponse) {
	for {
		instance, errResp := p.acquireVerifiedUpstream(ctx, req)
		if errResp != nil {
			return nil, errResp
		}
		sent, outcome := p.sendOnce(ctx, req, instance)
		req.attempts.Record(outcome)
		p.Metrics.countSend(outcome.String())
		if outcome == retrypolicy.Answered {
			return sent, nil
		}
		if ctx.Err() != nil {
			return nil, failedUpstreamResponse(req, "caller-gone")
		}
		reason := endReason("")
		if outcome == retrypolicy.Lost {
			reason = p.diagnoseLoss(ctx, req, instance)
		}
		if !p.shouldRetry(req, instance, outcome, reason) {
			return nil, p.noUpstreamResponse(req)
		}
	}
}

// isBeforeDeadline reports whether the request's deadline has not passed. A response that ends early because of the
// deadline does not count as a failure of the upstream.
func (p *Proxy) isBeforeDeadline(req *proxiedRequest) bool { return p.Now().Before(req.deadline) }

// noUpstreamResponse returns the error response of a request that no upstream answered.
func (p *Proxy) noUpstreamResponse(req *proxiedRequest) *errorResponse {
	if req.attempts.Executed > 0 {
		return failedUpstreamResponse(req, "answer-lost")
	}
	if !p.Now().Before(req.deadline) {
		return notExecutedResponse("deadline", retryDelay)
	}
	if p.isEvacuated(req) {
		return notExecutedResponse("evacuated", retryDelay)
	}

	if req.resumption.isUncertain {
		return notExecutedResponse("uncertain-version", retryDelay)
	}

	return notExecutedResponse("no-upstream", retryDelay)
}

// failedUpstreamResponse returns the error response after a failure of the upstream: a 502 if the request may have been
// executed, else a 503, which promises that it was not.
func failedUpstreamResponse(req *proxiedRequest, reason string) *errorResponse {
	if req.attempts.Executed == 0 {
		return notExecutedResponse(reason, retryDelay)
	}

	return &errorResponse{status: http.StatusBadGateway, reason: reason}
}

// stallTimeout is the silence of an upstream after which a retryable request probes whether it can be reached.
const stallTimeout = 700 * time.Millisecond

// sendOnce sends the request to one upstream.
func (p *Proxy) sendOnce(ctx context.Context, req *proxiedRequest, instance *registry.Instance) (*sentRequest, retrypolicy.Outcome) {
	now := p.Now()
	if req.excludedUpstreams == nil {
		req.excludedUpstreams = make(map[id.Upstream]struct{})
	}
	req.excludedUpstreams[instance.ID] = struct{}{}
	req.triedUpstreams = append(req.triedUpstreams, instance.ID)
	options := platform.UpstreamRequestOptions{
		Upstream: instance.ID, Workspace: req.workspaceName(), Timeout: req.deadline.Sub(now),
		Priority: req.enginePriority(), LastEventID: req.resumeEventID(),
	}
	bodyBytes := len(req.beginResult.PriorTranscript) + len(req.Body)
	head := platform.AppendRequestHead(make([]byte, 0, headCapacity+bodyBytes), req.Request, options, bodyBytes)
	head = append(head, req.beginResult.PriorTranscript...)
	p.addRunning(instance, req.workspaceName(), 1)
	work := p.beginWork(req, instance)
	if part, ok := req.sharedPromptPart(); ok {
		p.Loads.RecordPromptPartRead(instance.ID, part)
	}
	probeAfter := time.Duration(0)
	if req.route.IsRetryable() {
		probeAfter = stallTimeout
	}
	exchange, err := p.UpstreamClient.Send(ctx, now, upstreamclient.Request{
		Address: instance.Address, Method: req.Method, Head: head, Body: req.Body, Deadline: req.deadline, ProbeAfter: probeAfter,
		ID: req.ID, MayWrite: func() bool {
			return !p.Discovery.IsEvacuated(instance.FailureDomain) && !p.isVerificationOutdated(req)
		},
		ResponseID: func(status int, header http.Header) string {
			return platform.DecodeResponseHead(status, header).RequestID
		},
	})
	if err != nil {
		p.addRunning(instance, req.workspaceName(), -1)
		p.endWork(work)
		if ctx.Err() == nil && p.isBeforeDeadline(req) && !errorx.IsOfType(err, upstreamclient.ErrWithheld) {
			p.recordFailure(instance)
		}
		p.Logger.Info("send-failed", "request", req.ID, "upstream", instance.ID, "error", err)
		if errorx.IsOfType(err, upstreamclient.ErrNotSent) {
			return nil, retrypolicy.NotSent
		}

		return nil, retrypolicy.Lost
	}
	sent := &sentRequest{
		Exchange: exchange, work: work, instance: instance, workspace: req.workspaceName(), responseHead: platform.DecodeResponseHead(exchange.Status, exchange.Header),
	}
	p.recordLimit(req, sent)
	if sent.responseHead.IsLeaving {
		p.Shutdowns.RecordLeaving(instance)
	}
	if outcome := sent.classifyOutcome(); outcome != retrypolicy.Answered {
		p.Logger.Info("send-refused", "request", req.ID, "upstream", instance.ID, "status", exchange.Status)
		p.abortExchange(sent)
		p.recordFailure(instance)

		return nil, outcome
	}

	if sent.isServerError() {
		p.recordError(instance)
	}

	return sent, retrypolicy.Answered
}

// isServerError reports whether the upstream failed to process the request. A response at the deadline says nothing of the
// upstream.
func (sent *sentRequest) isServerError() bool {
	return sent.Status >= http.StatusInternalServerError && sent.Status != http.StatusGatewayTimeout
}

// headCapacity is the initial buffer capacity for a request's header, in bytes.
const headCapacity = 1024

// resumeEventID returns the id of the event to resume the stream after: the last one forwarded, else the one from the caller.
func (req *proxiedRequest) resumeEventID() string {
	if req.lastSentEventID != "" {
		return req.lastSentEventID
	}

	return req.LastEventID
}

// classifyOutcome returns the outcome according to the response header; a response without an upstream's signature counts
// as lost.
func (sent *sentRequest) classifyOutcome() retrypolicy.Outcome {
	switch {
	case sent.responseHead.NotExecuted:
		return retrypolicy.NotExecuted
	case sent.responseHead.IsSigned:
		return retrypolicy.Answered
	default:
		return retrypolicy.Lost
	}
}

// addRunning changes the numbers of running requests at an upstream and of a workspace.
func (p *Proxy) addRunning(instance *registry.Instance, workspace id.Workspace, delta int) {
	p.Loads.AddRunningRequests(instance.ID, delta)
	if p.Overload != nil {
		p.Overload.Loads.AddWorkspaceRequests(workspace, instance.Service, delta)
	}
}

// abortExchange ends an exchange whose response is not read to its end.
func (p *Proxy) abortExchange(sent *sentRequest) {
	sent.Abort()
	p.addRunning(sent.instance, sent.workspace, -1)
	p.endWork(sent.work)
}

// finishExchange ends an exchange whose response was read to its end.
func (p *Proxy) finishExchange(sent *sentRequest) {
	sent.Finish(p.Now())
	p.addRunning(sent.instance, sent.workspace, -1)
	p.endWork(sent.work)
}
