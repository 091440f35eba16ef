package executor

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"cardamomward/core/apierror"
	"cardamomward/core/id"
	"cardamomward/core/projection"
	"cardamomward/core/settings"
	"cardamomward/io/peer/peerpb"
	"cardamomward/io/serviceclient"
)

// CallService sends a call to a plain service. A call to a service that is not idempotent is sent at most once for each
// idempotency key.
func (e *Executor) CallService(ctx context.Context, req *peerpb.CallServiceRequest) (*peerpb.CallServiceReply, error) {
	fleet, workspace, err := e.lookupWorkspace(id.Workspace(req.GetCaller().GetWorkspace()))
	if err != nil {
		return nil, err
	}
	svc, ok := fleet.Services[id.Service(req.GetService())]
	if !ok || svc.Kind != settings.KindPlain || !workspace.Allows(svc.ID) {
		return nil, apierror.New(apierror.NotFound, "workspace %s has no service %q", workspace.ID, req.GetService())
	}
	if err := e.awaitOpenProgram(ctx, req); err != nil {
		return nil, err
	}
	if !svc.Idempotent {
		return e.callAtMostOnce(ctx, svc, req)
	}
	ctx, cancel := context.WithTimeout(ctx, svc.Timeout)
	defer cancel()

	return e.sendIdempotent(ctx, svc, req)
}

// programLookupTimeout bounds the wait until the projection contains the program named in a call.
const programLookupTimeout = time.Second

// awaitOpenProgram checks that the program named in a call belongs to the workspace and is open. It waits up to
// programLookupTimeout for a program that the projection does not contain yet.
func (e *Executor) awaitOpenProgram(ctx context.Context, req *peerpb.CallServiceRequest) error {
	if req.GetProgram() == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, programLookupTimeout)
	defer cancel()
	for {
		changed := e.Journal.Changed()
		isKnown, err := e.checkProgramOpen(req)
		if isKnown {
			return err
		}
		// Another host may just have opened the program, and this host has not read the record yet.
		select {
		case <-changed:
		case <-ctx.Done():
			return err
		}
	}
}

// checkProgramOpen returns an error unless the program named in a call is open, and whether the projection contains the program.
func (e *Executor) checkProgramOpen(req *peerpb.CallServiceRequest) (isKnown bool, err error) {
	view, err := e.lookupProgram(req.GetCaller(), id.Program(req.GetProgram()))
	if err != nil {
		return false, err
	}
	if view.State != projection.ProgramOpen || view.root.State != projection.ProgramOpen {
		return true, apierror.New(apierror.ProgramEnded, "the program has ended: %s", view.EndReason)
	}

	return true, nil
}

// queryOutcome asks the upstream for the outcome of a call whose intent has no outcome in the log.
func (e *Executor) queryOutcome(ctx context.Context, svc *settings.Service, call projection.Call) (serviceclient.Response, error) {
	if !svc.KnowsOutcomes {
		return serviceclient.Response{}, outcomeUnknownError(svc, errorx.IllegalState.New("the service cannot be queried for outcomes"))
	}
	for _, upstream := range svc.Upstreams {
		if upstream.ID != call.Upstream {
			continue
		}
		response, ok, err := e.serviceClient(upstream).FetchOutcome(ctx, upstreamIdempotencyKey(call.Workspace, call.Key))
		if err == nil && ok {
			return response, nil
		}
	}

	return serviceclient.Response{}, outcomeUnknownError(svc, errorx.IllegalState.New("the service does not know the outcome of the call"))
}

// maxSendAttempts bounds the upstreams that a service call is sent to.
const maxSendAttempts = 3

// sendIdempotent sends an idempotent call and retries it at other upstreams while the retry budget allows.
func (e *Executor) sendIdempotent(
	ctx context.Context, svc *settings.Service, req *peerpb.CallServiceRequest,
) (*peerpb.CallServiceReply, error) {
	upstreams := e.rankUpstreams(svc)
	if len(upstreams) == 0 {
		return nil, noUpstreamError(svc)
	}
	var lastErr error
	for i, upstream := range upstreams {
		if i >= maxSendAttempts || ctx.Err() != nil || (i > 0 && !e.awaitRetry(ctx, i-1)) {
			break
		}
		response, err := e.sendToUpstream(ctx, upstream, req)
		if err != nil {
			lastErr = err

			continue
		}
		e.recordSuccess()

		return &peerpb.CallServiceReply{
			Status:      int32(response.Status),
			ContentType: response.ContentType,
			Body:        response.Body,
			Upstream:    string(upstream.ID),
			Owner:       string(e.Host),
		}, nil
	}

	if ctx.Err() != nil {
		return nil, abandonedError(ctx, apierror.ExecutionUnknown)
	}

	return nil, apierror.New(apierror.UpstreamFailed, "service %s did not answer: %v", svc.ID, lastErr).
		WithExecution(apierror.ExecutionUnknown).WithRetryAfter(time.Second)
}

// awaitRetry takes a retry from the retry budget and waits for its backoff. It reports false if the budget is empty or
// the context ends. attempt counts the retries of the call from zero.
func (e *Executor) awaitRetry(ctx context.Context, attempt int) bool {
	var timeLeft time.Duration
	if deadline, ok := ctx.Deadline(); ok {
		timeLeft = time.Until(deadline)
	}
	e.mu.Lock()
	backoff, ok := e.retryBudget.TryAcquire(attempt, timeLeft)
	e.mu.Unlock()
	if ok {
		sleep(ctx, backoff)
	}

	return ok && ctx.Err() == nil
}

// recordSuccess credits the retry budget with a success.
func (e *Executor) recordSuccess() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.retryBudget.RecordSuccess()
}

func noUpstreamError(svc *settings.Service) error {
	return apierror.New(apierror.NoUpstream, "service %s has no upstream that accepts calls", svc.ID).WithRetryAfter(noUpstreamRetryAfter)
}

// sendToUpstream sends a call to one upstream and records the result in the load balancer.
func (e *Executor) sendToUpstream(ctx context.Context, upstream settings.Upstream, req *peerpb.CallServiceRequest) (serviceclient.Response, error) {
	e.mu.Lock()
	e.balancer.StartCall(upstream.ID)
	e.mu.Unlock()
	response, err := e.serviceClient(upstream).Do(ctx, e.newServiceCall(req))
	e.mu.Lock()
	defer e.mu.Unlock()
	// A call that its caller cancelled does not count as a failure of the upstream.
	callerGone := err != nil && errors.Is(ctx.Err(), context.Canceled)
	e.balancer.FinishCall(time.Now(), upstream.ID, callerGone || (err == nil && response.Status != http.StatusServiceUnavailable))

	return response, err
}

func (e *Executor) newServiceCall(req *peerpb.CallServiceRequest) serviceclient.Request {
	return serviceclient.Request{
		Path:           req.GetPath(),
		ContentType:    req.GetContentType(),
		Body:           req.GetBody(),
		IdempotencyKey: upstreamIdempotencyKey(id.Workspace(req.GetCaller().GetWorkspace()), req.GetIdempotencyKey()),
	}
}

// upstreamIdempotencyKey returns the idempotency key that is sent to a service: a hash of the workspace and the caller's
// key, so that equal keys of two workspaces differ.
func upstreamIdempotencyKey(workspace id.Workspace, key string) string {
	if key == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(string(workspace) + "\x00" + key))

	return hex.EncodeToString(sum[:16])
}

func (e *Executor) serviceClient(upstream settings.Upstream) *serviceclient.Client {
	return &serviceclient.Client{Address: upstream.Address, HTTPClient: e.ServiceHTTPClient}
}

// rankUpstreams returns the upstreams that accept new calls, best first.
func (e *Executor) rankUpstreams(svc *settings.Service) []settings.Upstream {
	byID := make(map[id.Upstream]settings.Upstream, len(svc.Upstreams))
	ids := make([]id.Upstream, 0, len(svc.Upstreams))
	for _, u := range svc.Upstreams {
		if !u.Leaving {
			byID[u.ID] = u
			ids = append(ids, u.ID)
		}
	}
	e.mu.Lock()
	ids = e.balancer.Rank(time.Now(), ids)
	e.mu.Unlock()
	upstreams := make([]settings.Upstream, len(ids))
	for i, name := range ids {
		upstreams[i] = byID[name]
	}

	return upstreams
}
