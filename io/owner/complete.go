package owner

import (
	"context"
	"errors"
	"time"

	"github.com/joomcode/errorx"
	"github.com/panjf2000/ants/v2"

	"cardamomward/core/id"
	"cardamomward/core/prompt"
	"cardamomward/core/refusal"
	"cardamomward/core/settings"
	"cardamomward/io/engine"
)

const (
	// maxAttempts bounds the upstreams that a turn is tried at.
	maxAttempts = 3
	// overloadRetry is when to come back while all workers are busy.
	overloadRetry = time.Second
	// maxResumes bounds how often one stream is resumed.
	maxResumes = 2
	// cancelTimeout bounds the cancellation of a request at an engine.
	cancelTimeout = time.Second
)

// complete runs a turn at upstreams, on one of the pool's workers, until one has answered in full.
func (o *Owner) complete(
	ctx context.Context, t *turn, promptTokens id.Tokens, visit func(string) error,
) (*answer, error) {
	var got *answer
	var err error
	done := make(chan struct{})
	submitErr := o.Pool.Submit(func() {
		defer close(done)
		got, err = o.attempts(ctx, t, promptTokens, visit)
	})
	if errors.Is(submitErr, ants.ErrPoolOverload) {
		return nil, refusal.New(refusal.Overloaded, "host %s has no room for more calls", o.Host).WithRetry(overloadRetry)
	}
	if submitErr != nil {
		return nil, submitErr
	}
	<-done

	return got, err
}

func (o *Owner) attempts(
	ctx context.Context, t *turn, promptTokens id.Tokens, visit func(string) error,
) (*answer, error) {
	call := Call{
		Service:      t.service.ID,
		Item:         t.item(promptTokens),
		Chain:        prompt.Chain(t.messages),
		Lengths:      prompt.Lengths(t.messages),
		Continues:    len(t.state.Turns) > 0,
		PromptTokens: promptTokens,
		Exclude:      make(map[id.Upstream]bool),
	}
	for range maxAttempts {
		u, err := o.Dispatcher.Acquire(ctx, call)
		if err != nil {
			if ctx.Err() != nil {
				return nil, gaveUp(ctx, refusal.NotRun)
			}

			return nil, err
		}
		runID := u.Run()
		got, begun, err := o.attempt(ctx, t, u, visit)
		o.Dispatcher.Release(call, u, got.prompt-got.cached+got.completion)
		if err == nil {
			o.stored(u, t, call.Chain, got)

			return got, nil
		}
		if ctx.Err() != nil {
			return nil, gaveUp(ctx, refusal.Unknown)
		}
		u.Failed(time.Now())
		o.Logger.Info("upstream-failed", "upstream", u.ID(), "program", t.state.ID, "error", err)
		o.blame(ctx, t, u, runID)
		if begun {
			return nil, refusal.New(refusal.UpstreamFailed, "the answer was cut off and could not be resumed: %v", err).
				WithRan(refusal.Unknown).WithRetry(time.Second)
		}
		if o.Control.Quarantined(t.request) {
			return nil, refusal.New(refusal.Quarantined, "this request has crashed the upstreams that ran it").WithRan(refusal.Unknown)
		}
		call.Exclude[u.ID()] = true
	}

	return nil, refusal.New(refusal.UpstreamFailed, "%d upstreams of service %s have failed", maxAttempts, t.service.ID).
		WithRan(refusal.Unknown).WithRetry(time.Second)
}

// attempt runs a turn at one upstream; begun says that a part of the answer has reached the caller.
func (o *Owner) attempt(
	ctx context.Context, t *turn, u *engine.Upstream, visit func(string) error,
) (got *answer, begun bool, err error) {
	got = &answer{upstream: u.ID()}
	requestID := id.Random()
	next := 0
	onChunk := func(chunk *engine.Chunk) error {
		next = chunk.Index + 1
		for _, choice := range chunk.Choices {
			if choice.FinishReason != nil {
				got.finishReason = *choice.FinishReason
			}
			if choice.Delta.Content == "" {
				continue
			}
			got.text.WriteString(choice.Delta.Content)
			begun = true
			if err := visit(choice.Delta.Content); err != nil {
				return err
			}
		}
		if chunk.Usage != nil {
			got.prompt = chunk.Usage.PromptTokens
			got.cached = chunk.Usage.Details.CachedTokens
			got.completion = chunk.Usage.CompletionTokens
		}

		return nil
	}
	err = u.Chat(ctx, t.chat(requestID), onChunk)
	for range maxResumes {
		if !resumable(err) || ctx.Err() != nil {
			break
		}
		err = u.Resume(ctx, requestID, next, onChunk)
	}
	if err == nil && got.finishReason == "" {
		err = engine.ErrCut.New("the answer has no finish reason")
	}
	if err != nil {
		o.cancel(ctx, u, requestID)
	}

	return got, begun, err
}

func resumable(err error) bool {
	return errorx.IsOfType(err, engine.ErrCut) || errorx.IsOfType(err, engine.ErrStalled) || errorx.IsOfType(err, engine.ErrCrossed)
}

// cancel frees what an engine still does for a request that has failed or was given up on.
func (o *Owner) cancel(ctx context.Context, u *engine.Upstream, requestID string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	if err := u.Cancel(ctx, requestID); err != nil {
		o.Logger.V(1).Info("cancel-failed", "upstream", u.ID(), "error", err)
	}
}

// Priorities that engines honour.
const (
	priorityRoutine = 0
	priorityUrgent  = 10
)

// chat builds the request from the turn's own fields alone: nothing of the caller's headers reaches an engine.
func (t *turn) chat(requestID string) *engine.ChatRequest {
	priority := priorityRoutine
	if t.workspace.Priority == settings.Urgent {
		priority = priorityUrgent
	}

	return &engine.ChatRequest{
		Model:      string(t.service.Model),
		Messages:   t.messages,
		Stream:     true,
		MaxTokens:  t.maxTokens,
		Priority:   priority,
		RequestID:  requestID,
		CacheOwner: string(t.state.ID),
		Sampling:   t.sampling,
	}
}

// stored notes what the upstream has cached by now.
func (o *Owner) stored(u *engine.Upstream, t *turn, chain []prompt.Prefix, got *answer) {
	tokens := make([]id.Tokens, 0, len(chain)+1)
	for _, m := range t.messages {
		tokens = append(tokens, prompt.Estimate(m))
	}
	full := prompt.Message{Role: roleAssistant, Content: got.text.String()}
	var last prompt.Prefix
	if len(chain) > 0 {
		last = chain[len(chain)-1]
	}
	u.Stored(append(chain, last.Extend(full)), append(tokens, prompt.Estimate(full)))
}

// blame counts a crash against the request if the engine's process is gone.
func (o *Owner) blame(ctx context.Context, t *turn, u *engine.Upstream, runID string) {
	loadCtx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	load, err := u.Load(loadCtx)
	if err == nil && load.Run == runID {
		return
	}
	if err := o.Control.ReportCrash(ctx, t.request, u.ID(), runID); err != nil {
		o.Logger.Error(err, "crash-report-failed", "upstream", u.ID())
	}
}
