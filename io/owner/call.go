package owner

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

// CallService sends a call to a plain service; one that must not be repeated is sent at most once for its key.
func (o *Owner) CallService(ctx context.Context, req *peerpb.CallServiceRequest) (*peerpb.CallServiceReply, error) {
	fleet, workspace, err := o.workspace(id.Workspace(req.GetCaller().GetWorkspace()))
	if err != nil {
		return nil, err
	}
	svc, ok := fleet.Services[id.Service(req.GetService())]
	if !ok || svc.Kind != settings.KindPlain || !workspace.Allows(svc.ID) {
		return nil, apierror.New(apierror.NotFound, "workspace %s has no service %q", workspace.ID, req.GetService())
	}
	if err := o.checkProgram(ctx, req); err != nil {
		return nil, err
	}
	if !svc.Idempotent {
		return o.callOnce(ctx, svc, req)
	}
	ctx, cancel := context.WithTimeout(ctx, svc.Timeout)
	defer cancel()

	return o.send(ctx, svc, req)
}

// programWait is how long a call waits for the fold to show the program that it names.
const programWait = time.Second

// checkProgram checks that the program named with a call is the workspace's and open.
func (o *Owner) checkProgram(ctx context.Context, req *peerpb.CallServiceRequest) error {
	if req.GetProgram() == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, programWait)
	defer cancel()
	for {
		changed := o.Journal.Changed()
		state, err := o.lookup(req.GetCaller(), id.Program(req.GetProgram()))
		if err == nil && (state.State != projection.ProgramOpen || state.root.State != projection.ProgramOpen) {
			return apierror.New(apierror.ProgramEnded, "the program has ended: %s", state.EndReason)
		}
		if err == nil {
			return nil
		}
		// Another host may have opened the program a moment ago.
		select {
		case <-changed:
		case <-ctx.Done():
			return err
		}
	}
}

// ask finds out from the upstream what became of an intent without an outcome.
func (o *Owner) ask(ctx context.Context, svc *settings.Service, earlier projection.Call) (serviceclient.Response, error) {
	if !svc.KnowsOutcomes {
		return serviceclient.Response{}, outcomeUnknown(svc, errorx.IllegalState.New("the service cannot be asked what became of it"))
	}
	for _, upstream := range svc.Upstreams {
		if upstream.ID != earlier.Upstream {
			continue
		}
		answer, ok, err := o.client(upstream).FetchOutcome(ctx, upstreamKey(earlier.Workspace, earlier.Key))
		if err == nil && ok {
			return answer, nil
		}
	}

	return serviceclient.Response{}, outcomeUnknown(svc, errorx.IllegalState.New("the service does not know what became of it"))
}

// maxSends bounds how often an idempotent call is sent.
const maxSends = 3

// send sends an idempotent call, at another upstream after a failure.
func (o *Owner) send(
	ctx context.Context, svc *settings.Service, req *peerpb.CallServiceRequest,
) (*peerpb.CallServiceReply, error) {
	upstreams := o.ordered(svc)
	if len(upstreams) == 0 {
		return nil, noUpstream(svc)
	}
	var lastErr error
	for i, upstream := range upstreams {
		if i >= maxSends || ctx.Err() != nil || (i > 0 && !o.mayRetry(ctx, i-1)) {
			break
		}
		answer, err := o.do(ctx, upstream, req)
		if err != nil {
			lastErr = err

			continue
		}
		o.succeeded()

		return &peerpb.CallServiceReply{
			Status:      int32(answer.Status),
			ContentType: answer.ContentType,
			Body:        answer.Body,
			Upstream:    string(upstream.ID),
			Owner:       string(o.Host),
		}, nil
	}

	if ctx.Err() != nil {
		return nil, gaveUp(ctx, apierror.ExecutionUnknown)
	}

	return nil, apierror.New(apierror.UpstreamFailed, "service %s did not answer: %v", svc.ID, lastErr).
		WithExecution(apierror.ExecutionUnknown).WithRetryAfter(time.Second)
}

// mayRetry takes one retry out of the budget and waits before it; attempt counts the retries of the call from zero.
func (o *Owner) mayRetry(ctx context.Context, attempt int) bool {
	var left time.Duration
	if deadline, ok := ctx.Deadline(); ok {
		left = time.Until(deadline)
	}
	o.mu.Lock()
	wait, ok := o.retries.TryAcquire(attempt, left)
	o.mu.Unlock()
	if ok {
		pause(ctx, wait)
	}

	return ok && ctx.Err() == nil
}

// succeeded pays into the budget of retries.
func (o *Owner) succeeded() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.retries.RecordSuccess()
}

func noUpstream(svc *settings.Service) error {
	return apierror.New(apierror.NoUpstream, "service %s has no upstream that takes calls", svc.ID).WithRetryAfter(noUpstreamRetry)
}

// do sends a call to one upstream and notes whether it answered.
func (o *Owner) do(ctx context.Context, upstream settings.Upstream, req *peerpb.CallServiceRequest) (serviceclient.Response, error) {
	o.mu.Lock()
	o.balancer.StartCall(upstream.ID)
	o.mu.Unlock()
	answer, err := o.client(upstream).Do(ctx, o.serviceCall(req))
	o.mu.Lock()
	defer o.mu.Unlock()
	// A caller that went away says nothing about the upstream.
	left := err != nil && errors.Is(ctx.Err(), context.Canceled)
	o.balancer.FinishCall(time.Now(), upstream.ID, left || (err == nil && answer.Status != http.StatusServiceUnavailable))

	return answer, err
}

func (o *Owner) serviceCall(req *peerpb.CallServiceRequest) serviceclient.Request {
	return serviceclient.Request{
		Path:           req.GetPath(),
		ContentType:    req.GetContentType(),
		Body:           req.GetBody(),
		IdempotencyKey: upstreamKey(id.Workspace(req.GetCaller().GetWorkspace()), req.GetIdempotencyKey()),
	}
}

// upstreamKey returns the idempotency key that a service sees: those of two workspaces never meet.
func upstreamKey(workspace id.Workspace, key string) string {
	if key == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(string(workspace) + "\x00" + key))

	return hex.EncodeToString(sum[:16])
}

func (o *Owner) client(upstream settings.Upstream) *serviceclient.Client {
	return &serviceclient.Client{Address: upstream.Address, HTTPClient: o.ServiceHTTP}
}

// ordered returns the upstreams that take new calls, best first.
func (o *Owner) ordered(svc *settings.Service) []settings.Upstream {
	byID := make(map[id.Upstream]settings.Upstream, len(svc.Upstreams))
	ids := make([]id.Upstream, 0, len(svc.Upstreams))
	for _, u := range svc.Upstreams {
		if !u.Leaving {
			byID[u.ID] = u
			ids = append(ids, u.ID)
		}
	}
	o.mu.Lock()
	ids = o.balancer.Rank(time.Now(), ids)
	o.mu.Unlock()
	upstreams := make([]settings.Upstream, len(ids))
	for i, name := range ids {
		upstreams[i] = byID[name]
	}

	return upstreams
}
