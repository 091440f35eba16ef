package owner

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"cardamomward/core/apierror"
	"cardamomward/core/id"
	"cardamomward/core/projection"
	"cardamomward/core/record/recordpb"
	"cardamomward/core/settings"
	"cardamomward/io/peer/peerpb"
	"cardamomward/io/serviceclient"
)

const (
	// outcomePatience bounds how long an outcome is offered to the log again.
	outcomePatience = 5 * time.Minute
	// outcomePause is the pause between two offers.
	outcomePause = 500 * time.Millisecond
	// maxUnsent bounds the intents in doubt that this host remembers not to have sent.
	maxUnsent = 10_000
)

// flight is the one call under an idempotency key that this host has under way; all its callers get the same answer.
type flight struct {
	request id.Fingerprint
	// answered is closed once reply or err is set.
	answered chan struct{}
	reply    *peerpb.CallServiceReply
	err      error
}

// land sets the answer for all callers of the flight; a later one is dropped.
func (f *flight) land(reply *peerpb.CallServiceReply, err error) {
	select {
	case <-f.answered:
	default:
		f.reply, f.err = reply, err
		close(f.answered)
	}
}

// callOnce runs a call that must not be repeated. It goes on to its end when the caller goes away.
func (o *Owner) callOnce(
	ctx context.Context, svc *settings.Service, req *peerpb.CallServiceRequest,
) (*peerpb.CallServiceReply, error) {
	if req.GetIdempotencyKey() == "" {
		return nil, apierror.New(apierror.InvalidRequest, "service %s must not run a call twice: send an Idempotency-Key", svc.ID)
	}
	key := projection.CallKey{
		Workspace: id.Workspace(req.GetCaller().GetWorkspace()),
		Service:   svc.ID,
		Key:       req.GetIdempotencyKey(),
	}
	if reply, ok := o.known(key, fingerprint(req)); ok {
		return reply, nil
	}
	l, leave, err := o.enter(id.CallSlot(key.Workspace, key.Key), time.Now())
	if err != nil {
		return nil, o.perhapsRan(key, err)
	}
	f, first := o.join(key, fingerprint(req))
	if !first {
		leave()

		return o.follow(ctx, f, req, true)
	}
	err = o.Pool.Submit(func() {
		defer leave()
		defer o.part(key)
		o.fly(ctx, l, svc, req, key, f)
	})
	if err != nil {
		f.land(nil, apierror.New(apierror.Overloaded, "host %s has no room for more calls", o.Host).WithRetryAfter(overloadRetry))
		o.part(key)
		leave()
	}

	return o.follow(ctx, f, req, false)
}

// known returns the outcome of a call that the log holds; it is final, whoever owns the slot.
func (o *Owner) known(key projection.CallKey, request id.Fingerprint) (*peerpb.CallServiceReply, bool) {
	call, ok := o.earlier(key)
	if !ok || call.Fingerprint != request || call.Outcome == nil || call.Outcome.GetUnknown() {
		return nil, false
	}

	return o.replayed(call, call.Outcome), true
}

// perhapsRan corrects a refusal of a call under whose key an earlier one may have run.
func (o *Owner) perhapsRan(key projection.CallKey, err error) error {
	refused := apierror.From(err)
	if _, ok := o.earlier(key); !ok || refused.Kind != apierror.LogUnavailable {
		return err
	}

	return refused.WithExecution(apierror.ExecutionUnknown)
}

// join returns the flight under a key and whether this call is the one to run it.
func (o *Owner) join(key projection.CallKey, request id.Fingerprint) (f *flight, first bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if f, ok := o.flights[key]; ok {
		return f, false
	}
	if o.flights == nil {
		o.flights = make(map[projection.CallKey]*flight)
	}
	f = &flight{request: request, answered: make(chan struct{})}
	o.flights[key] = f

	return f, true
}

func (o *Owner) part(key projection.CallKey) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.flights, key)
}

// follow waits for the answer of a flight.
func (o *Owner) follow(
	ctx context.Context, f *flight, req *peerpb.CallServiceRequest, replayed bool,
) (*peerpb.CallServiceReply, error) {
	if f.request != fingerprint(req) {
		return nil, keyReused()
	}
	select {
	case <-f.answered:
	case <-ctx.Done():
		select {
		case <-f.answered:
		default:
			return nil, gaveUp(ctx, apierror.ExecutionUnknown)
		}
	}
	if f.err != nil || !replayed {
		return f.reply, f.err
	}
	reply := &peerpb.CallServiceReply{
		Status: f.reply.GetStatus(), ContentType: f.reply.GetContentType(), Body: f.reply.GetBody(),
		Upstream: f.reply.GetUpstream(), Owner: f.reply.GetOwner(), Replayed: true,
	}

	return reply, nil
}

// givenUp refuses a call whose first caller went away before it was sent; others under its key may come back.
func givenUp() error {
	return apierror.New(apierror.Cancelled, "the call was given up before it was sent").WithRetryAfter(time.Second)
}

func keyReused() error {
	return apierror.New(apierror.IdempotencyKeyReused, "the idempotency key was used for another request; use a new key")
}

func fingerprint(req *peerpb.CallServiceRequest) id.Fingerprint {
	var digest xxhash.Digest
	digest.Reset()
	digest.WriteString(req.GetPath()) //nolint:errcheck // never fails
	digest.Write([]byte{0})           //nolint:errcheck // never fails
	digest.Write(req.GetBody())       //nolint:errcheck // never fails

	return id.Fingerprint(digest.Sum64())
}

func (o *Owner) earlier(key projection.CallKey) (projection.Call, bool) {
	var call projection.Call
	var ok bool
	o.Journal.View(func(p *projection.Programs) { call, ok = p.Call(key) })

	return call, ok
}

// fly makes the intent durable, sends the call and keeps its outcome; an earlier intent is not sent again.
func (o *Owner) fly(
	ctx context.Context, l lease, svc *settings.Service, req *peerpb.CallServiceRequest, key projection.CallKey, f *flight,
) {
	call, exists := o.earlier(key)
	if !exists {
		if err := o.intend(ctx, l, svc, req, key); err != nil {
			f.land(nil, err)

			return
		}
		call, exists = o.earlier(key)
	}
	switch {
	case !exists:
		f.land(nil, apierror.New(apierror.LogUnavailable, "the call's intent was lost, so it was not sent").WithRetryAfter(logRetry))
	case call.Fingerprint != f.request:
		f.land(nil, keyReused())
	case o.takeUnsent(key, call):
		o.sendOnce(ctx, l, svc, req, call, f)
	default:
		o.repeat(ctx, l, svc, call, f)
	}
}

// intend makes the intent durable. Until takeUnsent, this host knows that it has not sent the call.
func (o *Owner) intend(
	ctx context.Context, l lease, svc *settings.Service, req *peerpb.CallServiceRequest, key projection.CallKey,
) error {
	if ctx.Err() != nil {
		return givenUp()
	}
	upstreams := o.ordered(svc)
	if len(upstreams) == 0 {
		return noUpstream(svc)
	}
	if !o.noteUnsent(key, l.epoch) {
		return apierror.New(apierror.LogUnavailable, "too many calls wait for the log").WithRetryAfter(logRetry)
	}
	intent := o.record(l)
	intent.Body = &recordpb.Record_Intent{Intent: &recordpb.Intent{
		Program:     req.GetProgram(),
		Workspace:   string(key.Workspace),
		Service:     string(key.Service),
		Key:         key.Key,
		Fingerprint: uint64(fingerprint(req)),
		Upstream:    string(upstreams[0].ID),
	}}
	err := o.commit(ctx, intent)
	if err == nil {
		return nil
	}
	refused := apierror.From(err)
	switch {
	case refused.Kind == apierror.IdempotencyKeyReused:
		// An intent stands under the key: this host's own, whose append had lost its answer, or an earlier owner's.
		return nil
	case refused.Execution == apierror.ExecutionUnknown:
		// Nothing was sent. If the intent is in the log after all, this host may still send the call under it.
		return apierror.New(apierror.LogUnavailable,
			"the log did not confirm the call's intent, so it was not sent; come back with the same key").WithRetryAfter(logRetry)
	default:
		o.forgetUnsent(key)

		return refused
	}
}

// noteUnsent remembers that this host has an intent on its way under which nothing was sent.
func (o *Owner) noteUnsent(key projection.CallKey, epoch id.Epoch) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.unsent == nil {
		o.unsent = make(map[projection.CallKey]id.Epoch)
	}
	if _, ok := o.unsent[key]; !ok && len(o.unsent) >= maxUnsent {
		return false
	}
	o.unsent[key] = epoch

	return true
}

func (o *Owner) forgetUnsent(key projection.CallKey) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.unsent, key)
}

// takeUnsent reports whether the intent is this host's own and unsent; it says so only once.
func (o *Owner) takeUnsent(key projection.CallKey, call projection.Call) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	epoch, ok := o.unsent[key]
	delete(o.unsent, key)

	return ok && call.Epoch == epoch && call.Outcome == nil
}

// sendOnce sends a call under its intent. Another upstream is tried only where surely nothing has reached the first.
func (o *Owner) sendOnce(
	ctx context.Context, l lease, svc *settings.Service, req *peerpb.CallServiceRequest, call projection.Call, f *flight,
) {
	if ctx.Err() != nil {
		f.land(nil, givenUp())
		o.keepOutcome(l, call, &recordpb.Outcome{NotRun: true}, nil)

		return
	}
	// From here on the call runs to its end, also for a caller that goes away.
	sendCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), svc.Timeout)
	defer cancel()
	var err error = serviceclient.ErrNotSent.New("no upstream takes calls")
	for i, upstream := range o.ordered(svc) {
		if i >= maxSends || !serviceclient.IsNotSent(err) || sendCtx.Err() != nil {
			break
		}
		var got serviceclient.Response
		got, err = o.do(sendCtx, upstream, req)
		if err == nil {
			o.answered(l, call, upstream, got, f)

			return
		}
		o.Logger.Info("service-call-failed", "service", svc.ID, "upstream", upstream.ID, "error", err)
	}
	if serviceclient.IsNotSent(err) {
		f.land(nil, apierror.New(apierror.UpstreamFailed, "no upstream of service %s could be reached: %v", svc.ID, err).
			WithRetryAfter(noUpstreamRetry))
		o.keepOutcome(l, call, &recordpb.Outcome{NotRun: true}, nil)

		return
	}
	// An intent without an outcome says the same as a record of an unknown one.
	f.land(nil, outcomeUnknown(svc, err))
}

// answered keeps the answer and passes it on; while the log can't be reached, callers don't wait for it.
func (o *Owner) answered(l lease, call projection.Call, upstream settings.Upstream, got serviceclient.Response, f *flight) {
	outcome := outcomeOf(got)
	reply := &peerpb.CallServiceReply{
		Status: outcome.GetStatus(), ContentType: outcome.GetContentType(), Body: outcome.GetBody(),
		Upstream: string(upstream.ID), Owner: string(o.Host),
	}
	o.keepOutcome(l, call, outcome, func() { f.land(reply, nil) })
}

func outcomeOf(answer serviceclient.Response) *recordpb.Outcome {
	return &recordpb.Outcome{Status: int32(answer.Status), ContentType: answer.ContentType, Body: answer.Body}
}

func outcomeUnknown(svc *settings.Service, cause error) error {
	return apierror.New(apierror.OutcomeUnknown,
		"service %s may have run the call and did not answer (%v); it will not be sent again", svc.ID, cause).WithExecution(apierror.ExecutionUnknown)
}

// keepOutcome offers an outcome to the log until it is there; tried is called after the first offer.
func (o *Owner) keepOutcome(l lease, call projection.Call, outcome *recordpb.Outcome, tried func()) {
	outcome.Workspace, outcome.Service, outcome.Key = string(call.Workspace), string(call.Service), call.Key
	outcome.Intent = uint64(call.Position)
	ctx, cancel := context.WithTimeout(context.Background(), outcomePatience)
	defer cancel()
	for {
		rec := o.record(l)
		rec.Body = &recordpb.Record_Outcome{Outcome: outcome}
		err := o.commit(ctx, rec)
		if tried != nil {
			tried()
			tried = nil
		}
		if err == nil || o.settled(call) {
			return
		}
		if apierror.From(err).Execution != apierror.ExecutionUnknown || ctx.Err() != nil {
			o.Logger.Error(err, "outcome-not-kept", "service", call.Service)

			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(outcomePause):
		}
	}
}

// settled reports whether an outcome of the call's intent is in the log.
func (o *Owner) settled(call projection.Call) bool {
	current, ok := o.earlier(call.CallKey)

	return !ok || current.Position != call.Position || current.Outcome != nil
}

// repeat answers a call whose intent is already in the log, without sending it.
func (o *Owner) repeat(ctx context.Context, l lease, svc *settings.Service, earlier projection.Call, f *flight) {
	if outcome := earlier.Outcome; outcome != nil && !outcome.GetUnknown() {
		f.land(o.replayed(earlier, outcome), nil)

		return
	}
	askCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), svc.Timeout)
	defer cancel()
	got, err := o.ask(askCtx, svc, earlier)
	if err != nil {
		f.land(nil, err)

		return
	}
	outcome := outcomeOf(got)
	reply := o.replayed(earlier, outcome)
	o.keepOutcome(l, earlier, outcome, func() { f.land(reply, nil) })
}

func (o *Owner) replayed(call projection.Call, outcome *recordpb.Outcome) *peerpb.CallServiceReply {
	return &peerpb.CallServiceReply{
		Status:      outcome.GetStatus(),
		ContentType: outcome.GetContentType(),
		Body:        outcome.GetBody(),
		Replayed:    true,
		Upstream:    string(call.Upstream),
		Owner:       string(o.Host),
	}
}
