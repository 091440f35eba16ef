package executor

import (
	"context"
	"errors"
	"time"

	"github.com/joomcode/errorx"
	"github.com/panjf2000/ants/v2"

	"cardamomward/core/apierror"
	"cardamomward/core/id"
	"cardamomward/core/poison"
	"cardamomward/core/prompt"
	"cardamomward/core/settings"
	"cardamomward/io/engineclient"
)

const (
	// maxTurnAttempts bounds the upstreams that a turn is tried at.
	maxTurnAttempts = 3
	// overloadedRetryAfter is the retry delay told to callers while all workers are busy.
	overloadedRetryAfter = time.Second
	// maxResumesWithoutChunk bounds the consecutive resumes of a stream that return no new chunk.
	maxResumesWithoutChunk = 2
	// cancelTimeout bounds the request that cancels a turn at an engine.
	cancelTimeout = time.Second
)

// completeTurn runs a turn on a worker of the pool, at one upstream after another, until one completes it.
func (e *Executor) completeTurn(
	ctx context.Context, t *turn, promptTokens id.Tokens, onText func(string) error,
) (*turnResult, error) {
	var result *turnResult
	var err error
	done := make(chan struct{})
	submitErr := e.WorkerPool.Submit(func() {
		defer close(done)
		result, err = e.tryUpstreams(ctx, t, promptTokens, onText)
	})
	if errors.Is(submitErr, ants.ErrPoolOverload) {
		return nil, apierror.New(apierror.Overloaded, "host %s has no free worker for another call", e.Host).WithRetryAfter(overloadedRetryAfter)
	}
	if submitErr != nil {
		return nil, submitErr
	}
	<-done

	return result, err
}

// tryUpstreams runs a turn at up to maxTurnAttempts upstreams. A turn is not retried once a part of its text was passed to
// onText.
func (e *Executor) tryUpstreams(
	ctx context.Context, t *turn, promptTokens id.Tokens, onText func(string) error,
) (*turnResult, error) {
	call := ModelCall{
		Service:           t.service.ID,
		QueueItem:         t.queueItem(promptTokens),
		Prefixes:          prompt.PrefixHashes(t.messages),
		PrefixTokens:      prompt.PrefixTokens(t.messages),
		ContinuesProgram:  len(t.program.Turns) > 0,
		PromptTokens:      promptTokens,
		ExcludedUpstreams: make(map[id.Upstream]bool),
	}
	execution := apierror.NotExecuted
	for attempt := range maxTurnAttempts {
		acquired, err := e.acquireUpstream(ctx, t, call, attempt)
		if err != nil {
			return nil, acquireError(ctx, err, execution)
		}
		result, err := e.runAtUpstream(ctx, t, acquired.upstream, onText)
		acquired.release(result.promptTokens - result.cachedTokens + result.completionTokens)
		if err == nil {
			e.recordSuccess()
			e.clearCrashes(ctx, t, acquired.poisonStatus)
			e.recordCachedPrefixes(acquired.upstream, t, call.Prefixes, result)

			return result, nil
		}
		if ctx.Err() != nil {
			return nil, abandonedError(ctx, apierror.ExecutionUnknown)
		}
		if !errorx.IsOfType(err, engineclient.ErrNotStarted) {
			execution = apierror.ExecutionUnknown
		}
		engineclient.CountStreamFailure(err)
		acquired.upstream.RecordFailure(time.Now())
		e.Logger.Info("upstream-failed", "upstream", acquired.upstream.ID(), "program", t.program.ID, "error", err)
		e.reportCrash(ctx, t, acquired, result, err)
		if result.textSent {
			return nil, apierror.New(apierror.UpstreamFailed, "the answer's stream was interrupted and could not be resumed: %v", err).
				WithExecution(apierror.ExecutionUnknown).WithRetryAfter(time.Second)
		}
		call.ExcludedUpstreams[acquired.upstream.ID()] = true
	}

	return nil, apierror.New(apierror.UpstreamFailed, "%d upstreams of service %s have failed", maxTurnAttempts, t.service.ID).
		WithExecution(execution).WithRetryAfter(time.Second)
}

// acquiredUpstream is the upstream that one attempt of a turn runs at; release must be called when the attempt ends.
type acquiredUpstream struct {
	upstream     *engineclient.Upstream
	poisonStatus poison.Status
	release      func(served id.Tokens)
}

// acquireUpstream picks an upstream for an attempt. A suspected poison request gets an upstream of its own, and a
// confirmed one is refused.
func (e *Executor) acquireUpstream(ctx context.Context, t *turn, call ModelCall, attempt int) (*acquiredUpstream, error) {
	status := e.poisonStatus(t.fingerprint)
	if status == poison.Confirmed {
		return nil, quarantinedError()
	}
	if attempt > 0 && !e.awaitRetry(ctx, attempt-1) {
		return nil, apierror.New(apierror.UpstreamFailed, "the call is not retried, since the retry budget is exhausted or the time left is too short").WithRetryAfter(time.Second)
	}
	if status == poison.Suspect {
		u, release, err := e.acquireIsolated(ctx, call)

		return &acquiredUpstream{upstream: u, poisonStatus: status, release: func(id.Tokens) { release() }}, err
	}
	u, err := e.Dispatcher.Acquire(ctx, call)

	return &acquiredUpstream{
		upstream: u, poisonStatus: status, release: func(served id.Tokens) { e.Dispatcher.Release(call, u, served) },
	}, err
}

// acquireError returns the error of a turn for which no upstream could be acquired. It carries the execution state, since an earlier
// attempt may have run at another upstream.
func acquireError(ctx context.Context, err error, execution apierror.Execution) error {
	if ctx.Err() != nil {
		return abandonedError(ctx, execution)
	}
	apiErr := apierror.From(err)
	if apiErr.Kind == apierror.Quarantined {
		return apiErr
	}

	return apiErr.WithExecution(execution)
}

// runAtUpstream runs a turn at one upstream and resumes its stream after connection failures.
func (e *Executor) runAtUpstream(ctx context.Context, t *turn, u *engineclient.Upstream, onText func(string) error) (*turnResult, error) {
	result := &turnResult{upstream: u.ID(), engineRun: u.EngineRun()}
	requestID := id.NewRandom()
	nextChunk := 0
	opts := engineclient.StreamOptions{
		ExpectedPrefill: u.EstimatePrefill(prompt.EstimateTotalTokens(t.messages)),
		OnAccepted:      func(run string) { result.engineRun = run },
		OnChunk: func(chunk *engineclient.Chunk) error {
			nextChunk = chunk.Index + 1

			return result.addChunk(chunk, onText)
		},
	}
	err := u.Chat(ctx, t.chatRequest(requestID), opts)
	resumesWithoutChunk := 0
	for isResumable(err) && resumesWithoutChunk < maxResumesWithoutChunk && ctx.Err() == nil {
		engineclient.CountStreamFailure(err)
		nextBefore := nextChunk
		err = u.Resume(ctx, requestID, nextChunk, opts)
		resumesWithoutChunk++
		if nextChunk > nextBefore {
			resumesWithoutChunk = 0
		}
	}
	if err == nil && result.finishReason == "" {
		err = engineclient.ErrTruncated.New("the answer has no finish reason")
	}
	if err != nil {
		e.cancelRequest(ctx, u, requestID)
	}

	return result, err
}

// addChunk adds a chunk to the result and passes its text to onText.
func (r *turnResult) addChunk(chunk *engineclient.Chunk, onText func(string) error) error {
	if chunk.Usage != nil {
		r.promptTokens = chunk.Usage.PromptTokens
		r.cachedTokens = chunk.Usage.Details.CachedTokens
		r.completionTokens = chunk.Usage.CompletionTokens
	}
	for _, choice := range chunk.Choices {
		if choice.FinishReason != nil {
			r.finishReason = *choice.FinishReason
		}
		if choice.Delta.Content == "" {
			continue
		}
		r.text.WriteString(choice.Delta.Content)
		r.textSent = true
		if err := onText(choice.Delta.Content); err != nil {
			return err
		}
	}

	return nil
}

// isResumable reports whether a stream can be resumed after an error. A stalled stream is not resumed: its connection
// works, and the engine makes no progress.
func isResumable(err error) bool {
	return errorx.IsOfType(err, engineclient.ErrTruncated) || errorx.IsOfType(err, engineclient.ErrSilent) || errorx.IsOfType(err, engineclient.ErrWrongRequest)
}

// cancelRequest cancels a failed or abandoned request at its engine.
func (e *Executor) cancelRequest(ctx context.Context, u *engineclient.Upstream, requestID string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	if err := u.Cancel(ctx, requestID); err != nil {
		e.Logger.V(1).Info("cancel-failed", "upstream", u.ID(), "error", err)
	}
}

// Request priorities of engines.
const (
	enginePriorityRoutine = 0
	enginePriorityUrgent  = 10
)

// chatRequest builds the engine request from the fields of the turn only; headers of the caller are not forwarded.
func (t *turn) chatRequest(requestID string) *engineclient.ChatRequest {
	priority := enginePriorityRoutine
	if t.workspace.Priority == settings.PriorityUrgent {
		priority = enginePriorityUrgent
	}

	return &engineclient.ChatRequest{
		Model:      string(t.service.Model),
		Messages:   t.messages,
		Stream:     true,
		MaxTokens:  t.maxTokens,
		Priority:   priority,
		RequestID:  requestID,
		CacheOwner: string(t.program.ID),
		Sampling:   t.sampling,
	}
}

// recordCachedPrefixes records that the upstream now caches the prompt and the answer.
func (e *Executor) recordCachedPrefixes(u *engineclient.Upstream, t *turn, prefixes []prompt.PrefixHash, result *turnResult) {
	tokens := make([]id.Tokens, 0, len(prefixes)+1)
	for _, m := range t.messages {
		tokens = append(tokens, prompt.EstimateTokens(m))
	}
	answer := prompt.Message{Role: roleAssistant, Content: result.text.String()}
	var last prompt.PrefixHash
	if len(prefixes) > 0 {
		last = prefixes[len(prefixes)-1]
	}
	u.RecordCachedPrefixes(append(prefixes, last.Extend(answer)), append(tokens, prompt.EstimateTokens(answer)))
}
