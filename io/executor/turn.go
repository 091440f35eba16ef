package executor

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
	"cardamomward/io/engineclient"
	"cardamomward/io/peer/peerpb"
)

// turn is a turn in progress.
type turn struct {
	req         *peerpb.TurnRequest
	program     programView
	service     *settings.Service
	workspace   *settings.Workspace
	input       []prompt.Message
	messages    []prompt.Message
	maxTokens   id.Tokens
	fingerprint id.Fingerprint
	sampling    engineclient.Sampling
}

// turnResult is the answer of an engine to a turn, as far as it was received.
type turnResult struct {
	text         strings.Builder
	finishReason string
	upstream     id.Upstream
	// engineRun identifies the engine process that received the request.
	engineRun string
	// textSent reports whether text has been passed to the caller.
	textSent         bool
	promptTokens     id.Tokens
	cachedTokens     id.Tokens
	completionTokens id.Tokens
}

// RunTurn runs the next turn of a program, or returns the recorded answer of an earlier turn. It passes the text of the
// answer to onText as it arrives; an error of onText ends the turn.
func (e *Executor) RunTurn(
	ctx context.Context, req *peerpb.TurnRequest, onText func(string) error,
) (*peerpb.TurnOutcome, error) {
	program := id.Program(req.GetProgram())
	fence, releaseSlot, err := e.acquireSlot(id.ProgramSlot(program), time.Now())
	if err != nil {
		return nil, err
	}
	defer releaseSlot()
	active, releaseProgram := e.useProgram(program)
	defer releaseProgram()
	select {
	case active.turnLock <- struct{}{}:
		defer func() { <-active.turnLock }()
	case <-ctx.Done():
		return nil, abandonedError(ctx, apierror.NotExecuted)
	}
	t, recorded, err := e.prepareTurn(req)
	if err != nil {
		return nil, err
	}
	if recorded != nil {
		return e.replayTurn(t, recorded, onText)
	}

	return e.runTurn(ctx, fence, t, onText)
}

// prepareTurn checks a request against the history of its program. If the history contains the turn, it returns its record.
func (e *Executor) prepareTurn(req *peerpb.TurnRequest) (*turn, *recordpb.Turn, error) {
	program, err := e.lookupProgram(req.GetCaller(), id.Program(req.GetProgram()))
	if err != nil {
		return nil, nil, err
	}
	t := &turn{req: req, program: program}
	nextNumber := uint32(len(program.Turns)) + 1
	if number := req.GetNumber(); number > 0 && number < nextNumber {
		return t, program.Turns[number-1], checkSameTurn(req, program.Turns[:number])
	} else if number > nextNumber {
		return nil, nil, apierror.New(apierror.TurnConflict, "turn %d cannot run before turn %d", number, nextNumber)
	}
	if program.State != projection.ProgramOpen || program.root.State != projection.ProgramOpen {
		return nil, nil, apierror.New(apierror.ProgramEnded, "the program has ended: %s", program.EndReason)
	}
	if err := e.resolveTurn(t); err != nil {
		return nil, nil, err
	}

	return t, nil, nil
}

// checkSameTurn returns TurnConflict if the messages of a repeated turn differ from the recorded ones.
func checkSameTurn(req *peerpb.TurnRequest, turns []*recordpb.Turn) error {
	recorded := turns[len(turns)-1]
	messages, err := extractNewMessages(req, historyMessages(turns[:len(turns)-1]))
	if err != nil {
		return err
	}
	same := slices.EqualFunc(messages, recorded.GetInput(), func(m prompt.Message, k *recordpb.Message) bool {
		return m.Role == k.GetRole() && m.Content == k.GetContent()
	})
	if !same {
		return apierror.New(apierror.TurnConflict, "turn %d is recorded with other messages; read the history", recorded.GetNumber())
	}

	return nil
}

// resolveTurn looks up the service of the model, builds the prompt and sets the token limit.
func (e *Executor) resolveTurn(t *turn) error {
	fleet, workspace, err := e.lookupWorkspace(t.program.Workspace)
	if err != nil {
		return err
	}
	service, ok := fleet.ServiceForModel(workspace, id.Model(t.req.GetModel()))
	if !ok {
		return apierror.New(apierror.NotFound, "workspace %s has no model %q", workspace.ID, t.req.GetModel())
	}
	t.workspace, t.service = workspace, service
	history := historyMessages(t.program.Turns)
	t.input, err = extractNewMessages(t.req, history)
	if err != nil {
		return err
	}
	t.messages = slices.Concat(history, t.input)
	t.fingerprint = prompt.Fingerprint(workspace.ID, t.messages)
	if e.poisonStatus(t.fingerprint) == poison.Confirmed {
		return quarantinedError()
	}
	if err := json.Unmarshal(t.req.GetSampling(), &t.sampling); len(t.req.GetSampling()) > 0 && err != nil {
		return apierror.New(apierror.InvalidRequest, "the sampling options are not valid: %v", err)
	}
	t.maxTokens = service.MaxTokens
	if requested := id.Tokens(t.req.GetMaxTokens()); requested > 0 {
		t.maxTokens = min(t.maxTokens, requested)
	}

	return nil
}

// historyMessages returns the messages of recorded turns: the input and the answer of each.
func historyMessages(turns []*recordpb.Turn) []prompt.Message {
	var history []prompt.Message
	for _, turn := range turns {
		for _, m := range turn.GetInput() {
			history = append(history, prompt.Message{Role: m.GetRole(), Content: m.GetContent()})
		}
		history = append(history, prompt.Message{Role: turn.GetAnswer().GetRole(), Content: turn.GetAnswer().GetContent()})
	}

	return history
}

// extractNewMessages returns the messages that a request adds to the history.
func extractNewMessages(req *peerpb.TurnRequest, history []prompt.Message) ([]prompt.Message, error) {
	messages := make([]prompt.Message, 0, len(req.GetMessages()))
	hasAnswers := false
	for _, m := range req.GetMessages() {
		messages = append(messages, prompt.Message{Role: m.GetRole(), Content: m.GetContent()})
		hasAnswers = hasAnswers || m.GetRole() == roleAssistant
	}
	switch {
	case !req.GetWhole():
	case prompt.HasPrefix(messages, history):
		messages = messages[len(history):]
	case hasAnswers:
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

// runTurn reserves the tokens of a turn, runs it at an upstream and commits its record before it returns the answer.
func (e *Executor) runTurn(ctx context.Context, fence slotFence, t *turn, onText func(string) error) (*peerpb.TurnOutcome, error) {
	promptTokens := prompt.EstimateTotalTokens(t.messages)
	release, err := e.reserveTokens(ctx, fence, t.program.root.ID, promptTokens+t.maxTokens)
	if err != nil {
		return nil, err
	}
	defer release()
	ctx, cancel := context.WithTimeout(ctx, t.service.Timeout)
	defer cancel()
	result, err := e.completeTurn(ctx, t, promptTokens, onText)
	if err != nil {
		return nil, err
	}
	turnRecord := t.toRecord(result)
	rec := e.newRecord(fence)
	rec.Body = &recordpb.Record_Turn{Turn: turnRecord}
	if err := e.commitRecord(ctx, rec); err != nil {
		return nil, uncommittedTurnError(err)
	}
	e.Logger.Info("turn-kept", "program", t.program.ID, "workspace", t.workspace.ID, "turn", turnRecord.GetNumber(),
		"upstream", result.upstream, "prompt-tokens", result.promptTokens, "cached-tokens", result.cachedTokens,
		"completion-tokens", result.completionTokens)

	return e.newTurnOutcome(t, turnRecord, false)
}

// uncommittedTurnError marks the error of a turn whose record was rejected as executed, since an engine has run the turn.
func uncommittedTurnError(err error) error {
	apiErr := apierror.From(err)
	if apiErr.Execution == apierror.NotExecuted {
		return apiErr.WithExecution(apierror.Executed)
	}

	return apiErr
}

func (t *turn) toRecord(result *turnResult) *recordpb.Turn {
	rec := &recordpb.Turn{
		Program:          string(t.program.ID),
		Number:           uint32(len(t.program.Turns)) + 1,
		Answer:           &recordpb.Message{Role: roleAssistant, Content: result.text.String()},
		PromptTokens:     int64(result.promptTokens),
		CachedTokens:     int64(result.cachedTokens),
		CompletionTokens: int64(result.completionTokens),
		Upstream:         string(result.upstream),
		FinishReason:     result.finishReason,
	}
	for _, m := range t.input {
		rec.Input = append(rec.Input, &recordpb.Message{Role: m.Role, Content: m.Content})
	}

	return rec
}

// replayTurn returns the answer of a recorded turn.
func (e *Executor) replayTurn(t *turn, recorded *recordpb.Turn, onText func(string) error) (*peerpb.TurnOutcome, error) {
	if err := onText(recorded.GetAnswer().GetContent()); err != nil {
		return nil, err
	}

	return e.newTurnOutcome(t, recorded, true)
}

func (e *Executor) newTurnOutcome(t *turn, recorded *recordpb.Turn, replayed bool) (*peerpb.TurnOutcome, error) {
	program, err := e.lookupProgram(t.req.GetCaller(), t.program.ID)
	if err != nil {
		return nil, err
	}
	tokensLeft := program.root.Budget - program.root.Used

	return &peerpb.TurnOutcome{
		Reply:      newTurnReply(recorded),
		Owner:      string(e.Host),
		BudgetLeft: int64(max(0, tokensLeft)),
		Replayed:   replayed,
	}, nil
}

// queueItem returns the queue entry's properties: workspace, weight, priority and estimated cost.
func (t *turn) queueItem(promptTokens id.Tokens) fairqueue.Item {
	return fairqueue.Item{
		Workspace:       t.workspace.ID,
		Weight:          t.workspace.Weight,
		Program:         t.program.root.ID,
		Urgent:          t.workspace.Priority == settings.PriorityUrgent,
		EstimatedTokens: promptTokens + t.maxTokens,
		AttainedTokens:  t.program.root.Used,
	}
}

// abandonedError returns the error of a request whose context has ended.
func abandonedError(ctx context.Context, execution apierror.Execution) error {
	cause := context.Cause(ctx)
	if apiErr := apierror.From(cause); apiErr.Kind != apierror.Internal {
		return apiErr.WithExecution(execution)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return apierror.New(apierror.DeadlineExceeded, "the request's time is over").WithExecution(execution).WithRetryAfter(time.Second)
	}

	return apierror.New(apierror.Cancelled, "the caller has gone").WithExecution(execution)
}
