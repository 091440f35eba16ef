package owner

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"

	"cardamomward/core/fold"
	"cardamomward/core/id"
	"cardamomward/core/record/recordpb"
	"cardamomward/core/refusal"
	"cardamomward/core/settings"
	"cardamomward/io/peer/peerpb"
	"cardamomward/io/service"
)

// CallService sends a call to a plain service; one that must not be repeated is sent at most once for its key.
func (o *Owner) CallService(ctx context.Context, req *peerpb.CallServiceRequest) (*peerpb.CallServiceReply, error) {
	fleet, workspace, err := o.workspace(id.Workspace(req.GetCaller().GetWorkspace()))
	if err != nil {
		return nil, err
	}
	svc, ok := fleet.Services[id.Service(req.GetService())]
	if !ok || svc.Kind != settings.KindPlain || !workspace.Allows(svc.ID) {
		return nil, refusal.New(refusal.NotFound, "workspace %s has no service %q", workspace.ID, req.GetService())
	}
	ctx, cancel := context.WithTimeout(ctx, svc.Timeout)
	defer cancel()
	if svc.Idempotent {
		return o.send(ctx, svc, req)
	}

	return o.callOnce(ctx, svc, req)
}

// callOnce makes the intent durable before the send; an earlier intent is never sent again.
func (o *Owner) callOnce(
	ctx context.Context, svc *settings.Service, req *peerpb.CallServiceRequest,
) (*peerpb.CallServiceReply, error) {
	if req.GetIdempotencyKey() == "" {
		return nil, refusal.New(refusal.InvalidRequest, "service %s must not run a call twice: send an Idempotency-Key", svc.ID)
	}
	key := fold.CallKey{
		Workspace: id.Workspace(req.GetCaller().GetWorkspace()),
		Service:   svc.ID,
		Key:       req.GetIdempotencyKey(),
	}
	l, leave, err := o.enter(id.CallSlot(key.Workspace, key.Key), time.Now())
	if err != nil {
		return nil, err
	}
	defer leave()
	if !o.beginCall(key) {
		return nil, refusal.New(refusal.KeyReused, "a call with this idempotency key is under way").WithRetry(time.Second)
	}
	defer o.endCall(key)
	var earlier fold.Call
	var exists bool
	o.Journal.View(func(p *fold.Programs) { earlier, exists = p.Call(key) })
	if exists {
		return o.repeat(ctx, l, svc, req, earlier)
	}

	return o.sendOnce(ctx, l, svc, req, key)
}

func (o *Owner) beginCall(key fold.CallKey) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.calls == nil {
		o.calls = make(map[fold.CallKey]struct{})
	}
	if _, ok := o.calls[key]; ok {
		return false
	}
	o.calls[key] = struct{}{}

	return true
}

func (o *Owner) endCall(key fold.CallKey) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.calls, key)
}

func fingerprint(req *peerpb.CallServiceRequest) id.Fingerprint {
	var digest xxhash.Digest
	digest.Reset()
	digest.WriteString(req.GetPath()) //nolint:errcheck // never fails
	digest.Write([]byte{0})           //nolint:errcheck // never fails
	digest.Write(req.GetBody())       //nolint:errcheck // never fails

	return id.Fingerprint(digest.Sum64())
}

func (o *Owner) sendOnce(
	ctx context.Context, l lease, svc *settings.Service, req *peerpb.CallServiceRequest, key fold.CallKey,
) (*peerpb.CallServiceReply, error) {
	upstream, ok := pick(svc)
	if !ok {
		return nil, refusal.New(refusal.NoUpstream, "service %s has no upstream", svc.ID).WithRetry(noUpstreamRetry)
	}
	intent := o.record(l)
	intent.Body = &recordpb.Record_Intent{Intent: &recordpb.Intent{
		Program:     req.GetProgram(),
		Workspace:   string(key.Workspace),
		Service:     string(key.Service),
		Key:         key.Key,
		Fingerprint: uint64(fingerprint(req)),
		Upstream:    string(upstream.ID),
	}}
	if err := o.commitOr(ctx, intent, func(v fold.Verdict) { o.freeIntent(l, key, v) }); err != nil {
		// Nothing was sent. An intent that still becomes valid is never sent by anyone, and then taken back.
		refused := refusal.From(err)
		if refused.Ran == refusal.Unknown {
			return nil, refusal.New(refusal.LogUnavailable,
				"the log did not confirm the call's intent, so it was not sent; use a new idempotency key").WithRetry(logRetry)
		}

		return nil, refused
	}
	answer, err := o.client(upstream).Do(ctx, o.serviceCall(req))
	reply := &peerpb.CallServiceReply{Upstream: string(upstream.ID), Owner: string(o.Host)}
	outcome := outcomeOf(key, answer, err)
	if commitErr := o.commitOutcome(ctx, l, outcome); commitErr != nil {
		o.Logger.Error(commitErr, "outcome-not-kept", "service", svc.ID)
	}
	if err != nil {
		return nil, outcomeUnknown(svc, err)
	}
	reply.Status, reply.ContentType, reply.Body = outcome.GetStatus(), outcome.GetContentType(), outcome.GetBody()

	return reply, nil
}

// freeIntent takes an intent back that became valid after this host had refused its call.
func (o *Owner) freeIntent(l lease, key fold.CallKey, verdict fold.Verdict) {
	if !verdict.Valid() {
		return
	}
	err := o.commitOutcome(context.Background(), l, &recordpb.Outcome{
		Workspace: string(key.Workspace),
		Service:   string(key.Service),
		Key:       key.Key,
		NeverSent: uint64(verdict.Position),
	})
	if err != nil {
		o.Logger.Error(err, "intent-not-taken-back", "service", key.Service)
	}
}

func outcomeUnknown(svc *settings.Service, cause error) error {
	return refusal.New(refusal.OutcomeUnknown,
		"service %s may have run the call and did not answer (%v); it will not be sent again", svc.ID, cause).WithRan(refusal.Unknown)
}

func outcomeOf(key fold.CallKey, answer service.Answer, err error) *recordpb.Outcome {
	outcome := &recordpb.Outcome{Workspace: string(key.Workspace), Service: string(key.Service), Key: key.Key}
	if err != nil {
		outcome.Unknown = true

		return outcome
	}
	outcome.Status = int32(answer.Status)
	outcome.ContentType = answer.ContentType
	outcome.Body = answer.Body

	return outcome
}

func (o *Owner) commitOutcome(ctx context.Context, l lease, outcome *recordpb.Outcome) error {
	rec := o.record(l)
	rec.Body = &recordpb.Record_Outcome{Outcome: outcome}

	return o.commit(ctx, rec)
}

// repeat answers a call whose intent is already in the log, without sending it.
func (o *Owner) repeat(
	ctx context.Context, l lease, svc *settings.Service, req *peerpb.CallServiceRequest, earlier fold.Call,
) (*peerpb.CallServiceReply, error) {
	if earlier.Fingerprint != fingerprint(req) {
		return nil, refusal.New(refusal.KeyReused, "the idempotency key was used for another request; use a new key")
	}
	outcome := earlier.Outcome
	if outcome == nil || outcome.GetUnknown() {
		answer, err := o.ask(ctx, svc, earlier)
		if err != nil {
			return nil, err
		}
		outcome = outcomeOf(earlier.CallKey, answer, nil)
		if err := o.commitOutcome(ctx, l, outcome); err != nil {
			o.Logger.Error(err, "outcome-not-kept", "service", svc.ID)
		}
	}

	return &peerpb.CallServiceReply{
		Status:      outcome.GetStatus(),
		ContentType: outcome.GetContentType(),
		Body:        outcome.GetBody(),
		Replayed:    true,
		Upstream:    string(earlier.Upstream),
		Owner:       string(o.Host),
	}, nil
}

// ask finds out from the upstream what became of an intent without an outcome.
func (o *Owner) ask(ctx context.Context, svc *settings.Service, earlier fold.Call) (service.Answer, error) {
	if !svc.KnowsOutcomes {
		return service.Answer{}, outcomeUnknown(svc, errorx.IllegalState.New("the service cannot be asked what became of it"))
	}
	for _, upstream := range svc.Upstreams {
		if upstream.ID != earlier.Upstream {
			continue
		}
		answer, ok, err := o.client(upstream).Outcome(ctx, upstreamKey(earlier.Workspace, earlier.Key))
		if err == nil && ok {
			return answer, nil
		}
	}

	return service.Answer{}, outcomeUnknown(svc, errorx.IllegalState.New("the service does not know what became of it"))
}

// maxSends bounds how often an idempotent call is sent.
const maxSends = 3

// send sends an idempotent call, at another upstream after a failure.
func (o *Owner) send(
	ctx context.Context, svc *settings.Service, req *peerpb.CallServiceRequest,
) (*peerpb.CallServiceReply, error) {
	var lastErr error = errorx.IllegalState.New("it has no upstream")
	for i, upstream := range live(svc) {
		if i >= maxSends || ctx.Err() != nil {
			break
		}
		answer, err := o.client(upstream).Do(ctx, o.serviceCall(req))
		if err != nil {
			lastErr = err

			continue
		}

		return &peerpb.CallServiceReply{
			Status:      int32(answer.Status),
			ContentType: answer.ContentType,
			Body:        answer.Body,
			Upstream:    string(upstream.ID),
			Owner:       string(o.Host),
		}, nil
	}

	return nil, refusal.New(refusal.UpstreamFailed, "service %s did not answer: %v", svc.ID, lastErr).
		WithRan(refusal.Unknown).WithRetry(time.Second)
}

func (o *Owner) serviceCall(req *peerpb.CallServiceRequest) service.Call {
	return service.Call{
		Path:        req.GetPath(),
		ContentType: req.GetContentType(),
		Body:        req.GetBody(),
		Key:         upstreamKey(id.Workspace(req.GetCaller().GetWorkspace()), req.GetIdempotencyKey()),
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

func (o *Owner) client(upstream settings.Upstream) *service.Client {
	return &service.Client{Address: upstream.Address, HTTP: o.ServiceHTTP}
}

// live returns the upstreams that take new calls.
func live(svc *settings.Service) []settings.Upstream {
	var upstreams []settings.Upstream
	for _, u := range svc.Upstreams {
		if !u.Leaving {
			upstreams = append(upstreams, u)
		}
	}

	return upstreams
}

func pick(svc *settings.Service) (settings.Upstream, bool) {
	upstreams := live(svc)
	if len(upstreams) == 0 {
		return settings.Upstream{}, false
	}

	return upstreams[0], true
}
