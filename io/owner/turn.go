package owner

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"time"

	"cardamomward/core/apierror"
	"cardamomward/core/fairqueue"
	"cardamomward/core/id"
	"cardamomward/core/poison"
	"cardamomward/core/projection"
	"cardamomward/core/prompt"
	"cardamomward/core/record/recordpb"
	"cardamomward/core/settings"
	"cardamomward/io/engine"
	"cardamomward/io/peer/peerpb"
)

// turn is a model turn on its way.
type turn struct {
	req       *peerpb.TurnRequest
	state     view
	service   *settings.Service
	workspace *settings.Workspace
	input     []prompt.Message
	messages  []prompt.Message
	maxTokens id.Tokens
	request   id.Fingerprint
	sampling  engine.Sampling
}

// answer is what an engine made of a turn.
type answer struct {
	text         strings.Builder
	finishReason string
	upstream     id.Upstream
	// run is the upstream's process that took the request.
	run string
	// begun says that a part of the text has been passed on.
	begun      bool
	prompt     id.Tokens
	cached     id.Tokens
	completion id.Tokens
}

// RunTurn runs a program's next turn, or repeats the answer of one that is already in its history.
func (o *Owner) RunTurn(
	ctx context.Context, req *peerpb.TurnRequest, visit func(string) error,
) (*peerpb.TurnOutcome, error) {
	program := id.Program(req.GetProgram())
	l, leave, err := o.enter(id.ProgramSlot(program), time.Now())
	if err != nil {
		return nil, err
	}
	defer leave()
	a, done := o.use(program)
	defer done()
	select {
	case a.turn <- struct{}{}:
		defer func() { <-a.turn }()
	case <-ctx.Done():
		return nil, gaveUp(ctx, apierror.NotExecuted)
	}
	t, replayed, err := o.prepare(req)
	if err != nil {
		return nil, err
	}
	if replayed != nil {
		return o.replay(t, replayed, visit)
	}

	return o.run(ctx, l, t, visit)
}

// prepare checks a turn against the program's history; a turn that the history holds is returned.
func (o *Owner) prepare(req *peerpb.TurnRequest) (*turn, *recordpb.Turn, error) {
	state, err := o.lookup(req.GetCaller(), id.Program(req.GetProgram()))
	if err != nil {
		return nil, nil, err
	}
	t := &turn{req: req, state: state}
	next := uint32(len(state.Turns)) + 1
	if n := req.GetNumber(); n > 0 && n < next {
		return t, state.Turns[n-1], sameTurn(req, state.Turns[:n])
	} else if n > next {
		return nil, nil, apierror.New(apierror.TurnConflict, "turn %d cannot run before turn %d", n, next)
	}
	if state.State != projection.ProgramOpen || state.root.State != projection.ProgramOpen {
		return nil, nil, apierror.New(apierror.ProgramEnded, "the program has ended: %s", state.EndReason)
	}
	if err := o.resolve(t); err != nil {
		return nil, nil, err
	}

	return t, nil, nil
}

// sameTurn refuses a repeated turn whose messages differ from those that were kept.
func sameTurn(req *peerpb.TurnRequest, turns []*recordpb.Turn) error {
	kept := turns[len(turns)-1]
	messages, err := newMessages(req, historyOf(turns[:len(turns)-1]))
	if err != nil {
		return err
	}
	same := slices.EqualFunc(messages, kept.GetInput(), func(m prompt.Message, k *recordpb.Message) bool {
		return m.Role == k.GetRole() && m.Content == k.GetContent()
	})
	if !same {
		return apierror.New(apierror.TurnConflict, "turn %d was kept with other messages; read the history", kept.GetNumber())
	}

	return nil
}

// resolve finds the service and builds the prompt.
func (o *Owner) resolve(t *turn) error {
	fleet, workspace, err := o.workspace(t.state.Workspace)
	if err != nil {
		return err
	}
	service, ok := fleet.ServiceForModel(workspace, id.Model(t.req.GetModel()))
	if !ok {
		return apierror.New(apierror.NotFound, "workspace %s has no model %q", workspace.ID, t.req.GetModel())
	}
	t.workspace, t.service = workspace, service
	history := historyOf(t.state.Turns)
	t.input, err = newMessages(t.req, history)
	if err != nil {
		return err
	}
	t.messages = slices.Concat(history, t.input)
	t.request = prompt.Fingerprint(workspace.ID, t.messages)
	if o.standing(t.request) == poison.Confirmed {
		return quarantined()
	}
	if err := json.Unmarshal(t.req.GetSampling(), &t.sampling); len(t.req.GetSampling()) > 0 && err != nil {
		return apierror.New(apierror.InvalidRequest, "the sampling options are not valid: %v", err)
	}
	t.maxTokens = service.MaxTokens
	if asked := id.Tokens(t.req.GetMaxTokens()); asked > 0 {
		t.maxTokens = min(t.maxTokens, asked)
	}

	return nil
}

func historyOf(turns []*recordpb.Turn) []prompt.Message {
	var history []prompt.Message
	for _, turn := range turns {
		for _, m := range turn.GetInput() {
			history = append(history, prompt.Message{Role: m.GetRole(), Content: m.GetContent()})
		}
		history = append(history, prompt.Message{Role: turn.GetAnswer().GetRole(), Content: turn.GetAnswer().GetContent()})
	}

	return history
}

// newMessages returns the messages that a turn adds to the history.
func newMessages(req *peerpb.TurnRequest, history []prompt.Message) ([]prompt.Message, error) {
	messages := make([]prompt.Message, 0, len(req.GetMessages()))
	answers := false
	for _, m := range req.GetMessages() {
		messages = append(messages, prompt.Message{Role: m.GetRole(), Content: m.GetContent()})
		answers = answers || m.GetRole() == roleAssistant
	}
	switch {
	case !req.GetWhole():
	case prompt.HasPrefix(messages, history):
		messages = messages[len(history):]
	case answers:
		return nil, apierror.New(apierror.HistoryMismatch,
			"the messages contain answers that differ from the program's history; send only new messages, or open another program")
	}
	if len(messages) == 0 {
		return nil, apierror.New(apierror.InvalidRequest, "the turn adds no message to the program's history")
	}

	return messages, nil
}

// roleAssistant is the role of a model's answers.
const roleAssistant = "assistant"

// run reserves the turn's tokens, runs it at an upstream and keeps it before it answers.
func (o *Owner) run(ctx context.Context, l lease, t *turn, visit func(string) error) (*peerpb.TurnOutcome, error) {
	promptTokens := prompt.EstimateTotalTokens(t.messages)
	release, err := o.reserve(ctx, l, t.state.root.ID, promptTokens+t.maxTokens)
	if err != nil {
		return nil, err
	}
	defer release()
	ctx, cancel := context.WithTimeout(ctx, t.service.Timeout)
	defer cancel()
	got, err := o.complete(ctx, t, promptTokens, visit)
	if err != nil {
		return nil, err
	}
	body := t.body(got)
	rec := o.record(l)
	rec.Body = &recordpb.Record_Turn{Turn: body}
	if err := o.commit(ctx, rec); err != nil {
		return nil, notKept(err)
	}
	o.Logger.Info("turn-kept", "program", t.state.ID, "workspace", t.workspace.ID, "turn", body.GetNumber(),
		"upstream", got.upstream, "prompt-tokens", got.prompt, "cached-tokens", got.cached,
		"completion-tokens", got.completion)

	return o.outcome(t, body, false)
}

// notKept says of a turn whose record is void that an engine ran it, though nothing of it is kept.
func notKept(err error) error {
	refused := apierror.From(err)
	if refused.Execution == apierror.NotExecuted {
		return refused.WithExecution(apierror.Executed)
	}

	return refused
}

func (t *turn) body(got *answer) *recordpb.Turn {
	body := &recordpb.Turn{
		Program:          string(t.state.ID),
		Number:           uint32(len(t.state.Turns)) + 1,
		Answer:           &recordpb.Message{Role: roleAssistant, Content: got.text.String()},
		PromptTokens:     int64(got.prompt),
		CachedTokens:     int64(got.cached),
		CompletionTokens: int64(got.completion),
		Upstream:         string(got.upstream),
		FinishReason:     got.finishReason,
	}
	for _, m := range t.input {
		body.Input = append(body.Input, &recordpb.Message{Role: m.Role, Content: m.Content})
	}

	return body
}

// replay answers with a turn that the history already holds.
func (o *Owner) replay(t *turn, kept *recordpb.Turn, visit func(string) error) (*peerpb.TurnOutcome, error) {
	if err := visit(kept.GetAnswer().GetContent()); err != nil {
		return nil, err
	}

	return o.outcome(t, kept, true)
}

func (o *Owner) outcome(t *turn, kept *recordpb.Turn, replayed bool) (*peerpb.TurnOutcome, error) {
	state, err := o.lookup(t.req.GetCaller(), t.state.ID)
	if err != nil {
		return nil, err
	}
	left := state.root.Budget - state.root.Used

	return &peerpb.TurnOutcome{
		Reply:      turnReply(kept),
		Owner:      string(o.Host),
		BudgetLeft: int64(max(0, left)),
		Replayed:   replayed,
	}, nil
}

// item describes the turn to the queue.
func (t *turn) item(promptTokens id.Tokens) fairqueue.Item {
	return fairqueue.Item{
		Workspace:       t.workspace.ID,
		Weight:          t.workspace.Weight,
		Program:         t.state.root.ID,
		Urgent:          t.workspace.Priority == settings.PriorityUrgent,
		EstimatedTokens: promptTokens + t.maxTokens,
		AttainedTokens:  t.state.root.Used,
	}
}

// gaveUp says why a request was given up on.
func gaveUp(ctx context.Context, ran apierror.Execution) error {
	cause := context.Cause(ctx)
	if refused := apierror.From(cause); refused.Kind != apierror.Internal {
		return refused.WithExecution(ran)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return apierror.New(apierror.DeadlineExceeded, "the request's time is over").WithExecution(ran).WithRetryAfter(time.Second)
	}

	return apierror.New(apierror.Cancelled, "the caller has gone").WithExecution(ran)
}
