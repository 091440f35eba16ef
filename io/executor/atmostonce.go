package executor

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
	// outcomeCommitTimeout bounds the attempts to append an outcome to the log.
	outcomeCommitTimeout = 5 * time.Minute
	// outcomeRetryInterval is the pause between two attempts.
	outcomeRetryInterval = 500 * time.Millisecond
	// maxUnsentIntents bounds the unconfirmed intents that this host remembers as not sent.
	maxUnsentIntents = 10_000
)

// inflightCall is the call in progress under an idempotency key; all its callers get the same reply.
type inflightCall struct {
	fingerprint id.Fingerprint
	// done is closed once reply or err is set.
	done  chan struct{}
	reply *peerpb.CallServiceReply
	err   error
}

// finish sets the reply or error for all callers; later calls have no effect.
func (c *inflightCall) finish(reply *peerpb.CallServiceReply, err error) {
	select {
	case <-c.done:
	default:
		c.reply, c.err = reply, err
		close(c.done)
	}
}

// callAtMostOnce executes a call to a service that is not idempotent. The call continues if its caller disconnects.
func (e *Executor) callAtMostOnce(
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
	if reply, ok := e.loggedReply(key, requestFingerprint(req)); ok {
		return reply, nil
	}
	fence, releaseSlot, err := e.acquireSlot(id.CallSlot(key.Workspace, key.Key), time.Now())
	if err != nil {
		return nil, e.withPossibleExecution(key, err)
	}
	call, first := e.joinInflight(key, requestFingerprint(req))
	if !first {
		releaseSlot()

		return e.awaitInflight(ctx, call, req, true)
	}
	err = e.WorkerPool.Submit(func() {
		defer releaseSlot()
		defer e.removeInflight(key)
		e.executeAtMostOnce(ctx, fence, svc, req, key, call)
	})
	if err != nil {
		call.finish(nil, apierror.New(apierror.Overloaded, "host %s has no free worker for another call", e.Host).WithRetryAfter(overloadedRetryAfter))
		e.removeInflight(key)
		releaseSlot()
	}

	return e.awaitInflight(ctx, call, req, false)
}

// loggedReply returns the reply of a call whose outcome is in the log. The outcome is final, so any host may return it.
func (e *Executor) loggedReply(key projection.CallKey, fingerprint id.Fingerprint) (*peerpb.CallServiceReply, bool) {
	call, ok := e.lookupCall(key)
	if !ok || call.Fingerprint != fingerprint || call.Outcome == nil || call.Outcome.GetUnknown() {
		return nil, false
	}

	return e.newReplayReply(call, call.Outcome), true
}

// withPossibleExecution marks a LogUnavailable error as possibly executed if an earlier call used the key.
func (e *Executor) withPossibleExecution(key projection.CallKey, err error) error {
	apiErr := apierror.From(err)
	if _, ok := e.lookupCall(key); !ok || apiErr.Kind != apierror.LogUnavailable {
		return err
	}

	return apiErr.WithExecution(apierror.ExecutionUnknown)
}

// joinInflight returns the call in progress under a key and whether it is new and the caller must execute it.
func (e *Executor) joinInflight(key projection.CallKey, fingerprint id.Fingerprint) (call *inflightCall, first bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if call, ok := e.inflightCalls[key]; ok {
		return call, false
	}
	if e.inflightCalls == nil {
		e.inflightCalls = make(map[projection.CallKey]*inflightCall)
	}
	call = &inflightCall{fingerprint: fingerprint, done: make(chan struct{})}
	e.inflightCalls[key] = call

	return call, true
}

func (e *Executor) removeInflight(key projection.CallKey) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.inflightCalls, key)
}

// awaitInflight waits for the reply of a call in progress.
func (e *Executor) awaitInflight(
	ctx context.Context, call *inflightCall, req *peerpb.CallServiceRequest, replayed bool,
) (*peerpb.CallServiceReply, error) {
	if call.fingerprint != requestFingerprint(req) {
		return nil, keyReusedError()
	}
	select {
	case <-call.done:
	case <-ctx.Done():
		select {
		case <-call.done:
		default:
			return nil, abandonedError(ctx, apierror.ExecutionUnknown)
		}
	}
	if call.err != nil || !replayed {
		return call.reply, call.err
	}
	reply := &peerpb.CallServiceReply{
		Status: call.reply.GetStatus(), ContentType: call.reply.GetContentType(), Body: call.reply.GetBody(),
		Upstream: call.reply.GetUpstream(), Owner: call.reply.GetOwner(), Replayed: true,
	}

	return reply, nil
}

// cancelledBeforeSendError refuses a call whose first caller disconnected before it was sent; other callers with the
// same key may retry it.
func cancelledBeforeSendError() error {
	return apierror.New(apierror.Cancelled, "the call was cancelled before it was sent").WithRetryAfter(time.Second)
}

func keyReusedError() error {
	return apierror.New(apierror.IdempotencyKeyReused, "the idempotency key was used for another request; use a new key")
}

// requestFingerprint returns a hash of the path and body of a call.
func requestFingerprint(req *peerpb.CallServiceRequest) id.Fingerprint {
	var digest xxhash.Digest
	digest.Reset()
	digest.WriteString(req.GetPath()) //nolint:errcheck // never fails
	digest.Write([]byte{0})           //nolint:errcheck // never fails
	digest.Write(req.GetBody())       //nolint:errcheck // never fails

	return id.Fingerprint(digest.Sum64())
}

func (e *Executor) lookupCall(key projection.CallKey) (projection.Call, bool) {
	var call projection.Call
	var ok bool
	e.Journal.View(func(p *projection.Programs) { call, ok = p.Call(key) })

	return call, ok
}

// executeAtMostOnce commits the intent to the log, sends the call and commits its outcome. A call whose intent was
// already in the log is not sent again.
func (e *Executor) executeAtMostOnce(
	ctx context.Context, fence slotFence, svc *settings.Service, req *peerpb.CallServiceRequest, key projection.CallKey, inflight *inflightCall,
) {
	call, hasIntent := e.lookupCall(key)
	if !hasIntent {
		if err := e.commitIntent(ctx, fence, svc, req, key); err != nil {
			inflight.finish(nil, err)

			return
		}
		call, hasIntent = e.lookupCall(key)
	}
	switch {
	case !hasIntent:
		inflight.finish(nil, apierror.New(apierror.LogUnavailable, "the intent of the call is missing from the log, so the call was not sent").WithRetryAfter(logUnavailableRetryAfter))
	case call.Fingerprint != inflight.fingerprint:
		inflight.finish(nil, keyReusedError())
	case e.takeUnsentIntent(key, call):
		e.sendOnce(ctx, fence, svc, req, call, inflight)
	default:
		e.replayOrQuery(ctx, fence, svc, call, inflight)
	}
}

// commitIntent appends the intent to the log. Until takeUnsentIntent, this host knows that it has not sent the call.
func (e *Executor) commitIntent(
	ctx context.Context, fence slotFence, svc *settings.Service, req *peerpb.CallServiceRequest, key projection.CallKey,
) error {
	if ctx.Err() != nil {
		return cancelledBeforeSendError()
	}
	upstreams := e.rankUpstreams(svc)
	if len(upstreams) == 0 {
		return noUpstreamError(svc)
	}
	if !e.addUnsentIntent(key, fence.epoch) {
		return apierror.New(apierror.LogUnavailable, "too many calls wait for the log to confirm their intents").WithRetryAfter(logUnavailableRetryAfter)
	}
	intent := e.newRecord(fence)
	intent.Body = &recordpb.Record_Intent{Intent: &recordpb.Intent{
		Program:     req.GetProgram(),
		Workspace:   string(key.Workspace),
		Service:     string(key.Service),
		Key:         key.Key,
		Fingerprint: uint64(requestFingerprint(req)),
		Upstream:    string(upstreams[0].ID),
	}}
	err := e.commitRecord(ctx, intent)
	if err == nil {
		return nil
	}
	apiErr := apierror.From(err)
	switch {
	case apiErr.Kind == apierror.IdempotencyKeyReused:
		// The log has an intent of this key: from this host, if the reply to its append was lost, or from an earlier owner.
		return nil
	case apiErr.Execution == apierror.ExecutionUnknown:
		// Nothing was sent. If the intent did reach the log, this host may still send the call under it.
		return apierror.New(apierror.LogUnavailable,
			"the log did not confirm the call's intent, so it was not sent; retry with the same key").WithRetryAfter(logUnavailableRetryAfter)
	default:
		e.removeUnsentIntent(key)

		return apiErr
	}
}

// addUnsentIntent remembers that this host has not sent the call of an intent; it reports false if too many are
// remembered.
func (e *Executor) addUnsentIntent(key projection.CallKey, epoch id.Epoch) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.unsentIntents == nil {
		e.unsentIntents = make(map[projection.CallKey]id.Epoch)
	}
	if _, ok := e.unsentIntents[key]; !ok && len(e.unsentIntents) >= maxUnsentIntents {
		return false
	}
	e.unsentIntents[key] = epoch

	return true
}

func (e *Executor) removeUnsentIntent(key projection.CallKey) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.unsentIntents, key)
}

// takeUnsentIntent reports whether the intent was appended by this host and its call not sent. It forgets the intent, so
// that the call is sent only once.
func (e *Executor) takeUnsentIntent(key projection.CallKey, call projection.Call) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	epoch, ok := e.unsentIntents[key]
	delete(e.unsentIntents, key)

	return ok && call.Epoch == epoch && call.Outcome == nil
}

// refusalBeforeSend returns why a call is not to be sent under its intent: its caller has disconnected, or its program has ended. This
// host has read the log up to the intent, and may not have read the end of the program when it received the call.
func (e *Executor) refusalBeforeSend(ctx context.Context, req *peerpb.CallServiceRequest) error {
	if ctx.Err() != nil {
		return cancelledBeforeSendError()
	}
	if req.GetProgram() == "" {
		return nil
	}
	// The program was known when the call was received; one whose state has to be read again is not refused.
	if isKnown, err := e.checkProgramOpen(req); isKnown {
		return err
	}

	return nil
}

// sendOnce sends the call of an intent. Another upstream is tried only if no part of the request has reached the first.
func (e *Executor) sendOnce(
	ctx context.Context, fence slotFence, svc *settings.Service, req *peerpb.CallServiceRequest, call projection.Call, inflight *inflightCall,
) {
	if err := e.refusalBeforeSend(ctx, req); err != nil {
		inflight.finish(nil, err)
		e.commitOutcome(fence, call, &recordpb.Outcome{NotRun: true}, nil)

		return
	}
	// From here on the call continues even if its caller disconnects.
	sendCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), svc.Timeout)
	defer cancel()
	var err error = serviceclient.ErrNotSent.New("no upstream accepts calls")
	for i, upstream := range e.rankUpstreams(svc) {
		if i >= maxSendAttempts || !serviceclient.IsNotSent(err) || sendCtx.Err() != nil {
			break
		}
		var response serviceclient.Response
		response, err = e.sendToUpstream(sendCtx, upstream, req)
		if err == nil {
			e.finishWithResponse(fence, call, upstream, response, inflight)

			return
		}
		e.Logger.Info("service-call-failed", "service", svc.ID, "upstream", upstream.ID, "error", err)
	}
	if serviceclient.IsNotSent(err) {
		inflight.finish(nil, apierror.New(apierror.UpstreamFailed, "no upstream of service %s could be reached: %v", svc.ID, err).
			WithRetryAfter(noUpstreamRetryAfter))
		e.commitOutcome(fence, call, &recordpb.Outcome{NotRun: true}, nil)

		return
	}
	// No record is needed: an intent without an outcome already means that the outcome is unknown.
	inflight.finish(nil, outcomeUnknownError(svc, err))
}

// finishWithResponse commits the response to the log and returns it to the callers. They wait for the first attempt only,
// so that they get the response during a log outage.
func (e *Executor) finishWithResponse(fence slotFence, call projection.Call, upstream settings.Upstream, response serviceclient.Response, inflight *inflightCall) {
	outcome := newOutcome(response)
	reply := &peerpb.CallServiceReply{
		Status: outcome.GetStatus(), ContentType: outcome.GetContentType(), Body: outcome.GetBody(),
		Upstream: string(upstream.ID), Owner: string(e.Host),
	}
	e.commitOutcome(fence, call, outcome, func() { inflight.finish(reply, nil) })
}

func newOutcome(response serviceclient.Response) *recordpb.Outcome {
	return &recordpb.Outcome{Status: int32(response.Status), ContentType: response.ContentType, Body: response.Body}
}

func outcomeUnknownError(svc *settings.Service, cause error) error {
	return apierror.New(apierror.OutcomeUnknown,
		"service %s may have run the call and did not answer (%v); it will not be sent again", svc.ID, cause).WithExecution(apierror.ExecutionUnknown)
}

// commitOutcome appends an outcome to the log and retries until it is there; onFirstAttempt runs after the first attempt.
func (e *Executor) commitOutcome(fence slotFence, call projection.Call, outcome *recordpb.Outcome, onFirstAttempt func()) {
	outcome.Workspace, outcome.Service, outcome.Key = string(call.Workspace), string(call.Service), call.Key
	outcome.Intent = uint64(call.Position)
	ctx, cancel := context.WithTimeout(context.Background(), outcomeCommitTimeout)
	defer cancel()
	for {
		rec := e.newRecord(fence)
		rec.Body = &recordpb.Record_Outcome{Outcome: outcome}
		err := e.commitRecord(ctx, rec)
		if onFirstAttempt != nil {
			onFirstAttempt()
			onFirstAttempt = nil
		}
		if err == nil || e.hasOutcome(call) {
			return
		}
		if apierror.From(err).Execution != apierror.ExecutionUnknown || ctx.Err() != nil {
			e.Logger.Error(err, "outcome-not-kept", "service", call.Service)

			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(outcomeRetryInterval):
		}
	}
}

// hasOutcome reports whether the log has an outcome for the intent of a call.
func (e *Executor) hasOutcome(call projection.Call) bool {
	current, ok := e.lookupCall(call.CallKey)

	return !ok || current.Position != call.Position || current.Outcome != nil
}

// replayOrQuery replies to a call whose intent was already in the log with its logged outcome, or with the outcome that
// the service reports. It does not send the call.
func (e *Executor) replayOrQuery(ctx context.Context, fence slotFence, svc *settings.Service, call projection.Call, inflight *inflightCall) {
	if outcome := call.Outcome; outcome != nil && !outcome.GetUnknown() {
		inflight.finish(e.newReplayReply(call, outcome), nil)

		return
	}
	queryCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), svc.Timeout)
	defer cancel()
	response, err := e.queryOutcome(queryCtx, svc, call)
	if err != nil {
		inflight.finish(nil, err)

		return
	}
	outcome := newOutcome(response)
	reply := e.newReplayReply(call, outcome)
	e.commitOutcome(fence, call, outcome, func() { inflight.finish(reply, nil) })
}

func (e *Executor) newReplayReply(call projection.Call, outcome *recordpb.Outcome) *peerpb.CallServiceReply {
	return &peerpb.CallServiceReply{
		Status:      outcome.GetStatus(),
		ContentType: outcome.GetContentType(),
		Body:        outcome.GetBody(),
		Replayed:    true,
		Upstream:    string(call.Upstream),
		Owner:       string(e.Host),
	}
}
