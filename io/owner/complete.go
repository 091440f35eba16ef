package owner

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
	// maxAttempts bounds the upstreams that a turn is tried at.
	maxAttempts = 3
	// overloadRetry is when to come back while all workers are busy.
	overloadRetry = time.Second
	// maxResumes bounds how often in a row a stream is resumed without a new chunk.
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
		return nil, apierror.New(apierror.Overloaded, "host %s has no room for more calls", o.Host).WithRetryAfter(overloadRetry)
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
		Chain:        prompt.PrefixHashes(t.messages),
		Lengths:      prompt.PrefixTokens(t.messages),
		Continues:    len(t.state.Turns) > 0,
		PromptTokens: promptTokens,
		Exclude:      make(map[id.Upstream]bool),
	}
	ran := apierror.NotExecuted
	for n := range maxAttempts {
		p, err := o.place(ctx, t, call, n)
		if err != nil {
			return nil, whyNotPlaced(ctx, err, ran)
		}
		got, err := o.attempt(ctx, t, p.upstream, visit)
		p.release(got.prompt - got.cached + got.completion)
		if err == nil {
			o.succeeded()
			o.completed(ctx, t, p.standing)
			o.stored(p.upstream, t, call.Chain, got)

			return got, nil
		}
		if ctx.Err() != nil {
			return nil, gaveUp(ctx, apierror.ExecutionUnknown)
		}
		if !errorx.IsOfType(err, engineclient.ErrNotStarted) {
			ran = apierror.ExecutionUnknown
		}
		engineclient.CountStreamFailure(err)
		p.upstream.RecordFailure(time.Now())
		o.Logger.Info("upstream-failed", "upstream", p.upstream.ID(), "program", t.state.ID, "error", err)
		o.blame(ctx, t, p, got, err)
		if got.begun {
			return nil, apierror.New(apierror.UpstreamFailed, "the answer was cut off and could not be resumed: %v", err).
				WithExecution(apierror.ExecutionUnknown).WithRetryAfter(time.Second)
		}
		call.Exclude[p.upstream.ID()] = true
	}

	return nil, apierror.New(apierror.UpstreamFailed, "%d upstreams of service %s have failed", maxAttempts, t.service.ID).
		WithExecution(ran).WithRetryAfter(time.Second)
}

// placed is an upstream that runs a call until release.
type placed struct {
	upstream *engineclient.Upstream
	standing poison.Status
	release  func(served id.Tokens)
}

// place finds an upstream for a call; a suspect gets one of its own, and a request that kills upstreams none.
func (o *Owner) place(ctx context.Context, t *turn, call Call, attempt int) (*placed, error) {
	standing := o.standing(t.request)
	if standing == poison.Confirmed {
		return nil, quarantined()
	}
	if attempt > 0 && !o.mayRetry(ctx, attempt-1) {
		return nil, apierror.New(apierror.UpstreamFailed, "too many calls fail for this one to be tried again").WithRetryAfter(time.Second)
	}
	if standing == poison.Suspect {
		u, release, err := o.isolate(ctx, call)

		return &placed{upstream: u, standing: standing, release: func(id.Tokens) { release() }}, err
	}
	u, err := o.Dispatcher.Acquire(ctx, call)

	return &placed{
		upstream: u, standing: standing, release: func(served id.Tokens) { o.Dispatcher.Release(call, u, served) },
	}, err
}

// whyNotPlaced says what became of a call that got no upstream; one that was tried before may have run there.
func whyNotPlaced(ctx context.Context, err error, ran apierror.Execution) error {
	if ctx.Err() != nil {
		return gaveUp(ctx, ran)
	}
	refused := apierror.From(err)
	if refused.Kind == apierror.Quarantined {
		return refused
	}

	return refused.WithExecution(ran)
}

// attempt runs a turn at one upstream.
func (o *Owner) attempt(ctx context.Context, t *turn, u *engineclient.Upstream, visit func(string) error) (*answer, error) {
	got := &answer{upstream: u.ID(), run: u.EngineRun()}
	requestID := id.NewRandom()
	next := 0
	opts := engineclient.StreamOptions{
		ExpectedPrefill: u.EstimatePrefill(prompt.EstimateTotalTokens(t.messages)),
		OnAccepted:      func(run string) { got.run = run },
		OnChunk: func(chunk *engineclient.Chunk) error {
			next = chunk.Index + 1

			return got.add(chunk, visit)
		},
	}
	err := u.Chat(ctx, t.chat(requestID), opts)
	idle := 0
	for resumable(err) && idle < maxResumes && ctx.Err() == nil {
		engineclient.CountStreamFailure(err)
		before := next
		err = u.Resume(ctx, requestID, next, opts)
		idle++
		if next > before {
			idle = 0
		}
	}
	if err == nil && got.finishReason == "" {
		err = engineclient.ErrTruncated.New("the answer has no finish reason")
	}
	if err != nil {
		o.cancel(ctx, u, requestID)
	}

	return got, err
}

// add takes a chunk into the answer and passes its text on.
func (a *answer) add(chunk *engineclient.Chunk, visit func(string) error) error {
	if chunk.Usage != nil {
		a.prompt = chunk.Usage.PromptTokens
		a.cached = chunk.Usage.Details.CachedTokens
		a.completion = chunk.Usage.CompletionTokens
	}
	for _, choice := range chunk.Choices {
		if choice.FinishReason != nil {
			a.finishReason = *choice.FinishReason
		}
		if choice.Delta.Content == "" {
			continue
		}
		a.text.WriteString(choice.Delta.Content)
		a.begun = true
		if err := visit(choice.Delta.Content); err != nil {
			return err
		}
	}

	return nil
}

// resumable reports whether the engine may still have the rest of the answer. A stream that only stalled is not
// resumed: its connection works, and the engine makes no progress.
func resumable(err error) bool {
	return errorx.IsOfType(err, engineclient.ErrTruncated) || errorx.IsOfType(err, engineclient.ErrSilent) || errorx.IsOfType(err, engineclient.ErrWrongRequest)
}

// cancel frees what an engine still does for a request that has failed or was given up on.
func (o *Owner) cancel(ctx context.Context, u *engineclient.Upstream, requestID string) {
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
func (t *turn) chat(requestID string) *engineclient.ChatRequest {
	priority := priorityRoutine
	if t.workspace.Priority == settings.PriorityUrgent {
		priority = priorityUrgent
	}

	return &engineclient.ChatRequest{
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
func (o *Owner) stored(u *engineclient.Upstream, t *turn, chain []prompt.PrefixHash, got *answer) {
	tokens := make([]id.Tokens, 0, len(chain)+1)
	for _, m := range t.messages {
		tokens = append(tokens, prompt.EstimateTokens(m))
	}
	full := prompt.Message{Role: roleAssistant, Content: got.text.String()}
	var last prompt.PrefixHash
	if len(chain) > 0 {
		last = chain[len(chain)-1]
	}
	u.RecordCachedPrefixes(append(chain, last.Extend(full)), append(tokens, prompt.EstimateTokens(full)))
}
