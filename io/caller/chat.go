package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"cardamomward/core/apierror"
	"cardamomward/core/id"
	"cardamomward/core/prompt"
	"cardamomward/io/engine"
	"cardamomward/io/httpx"
	"cardamomward/io/peer"
	"cardamomward/io/peer/peerpb"
)

// chat runs a turn of the program named in the header; without one the call is a program of its own.
func (s *Server) chat(ctx context.Context, c *app.RequestContext) {
	s.model(ctx, c, id.Program(c.GetHeader(HeaderProgram)), true)
}

// turn runs a turn whose messages are only the new ones.
func (s *Server) turn(ctx context.Context, c *app.RequestContext) {
	s.model(ctx, c, id.Program(c.Param("program")), false)
}

func (s *Server) model(ctx context.Context, c *app.RequestContext, program id.Program, whole bool) {
	chat, req, err := turnRequest(c, whole)
	if err == nil {
		err = s.checkModel(c, id.Model(chat.Model))
	}
	if err == nil {
		err = s.admit(ctx, c)
	}
	if err != nil {
		httpx.Refuse(c, err)

		return
	}
	single := program == ""
	if single {
		opened, err := s.openAt(ctx, &peerpb.OpenProgramRequest{Caller: caller(c), Name: "single call"})
		if err != nil {
			httpx.Refuse(c, err)

			return
		}
		program = id.Program(opened.GetProgram())
		defer s.endSingle(ctx, c, program)
	}
	req.Program = string(program)
	answer := &chatAnswer{c: c, program: program, id: "chatcmpl-" + id.NewRandom(), model: chat.Model, created: time.Now().Unix(), stream: chat.Stream}
	outcome, err := s.runTurn(ctx, req, answer)
	if err != nil {
		answer.refuse(err)

		return
	}
	answer.finish(outcome)
}

// checkModel refuses a model that the workspace may not use before anything is opened for it.
func (s *Server) checkModel(c *app.RequestContext, model id.Model) error {
	fleet, _ := s.Control.Settings()
	workspace, ok := fleet.Workspaces[id.Workspace(caller(c).GetWorkspace())]
	if !ok {
		return nil
	}
	if _, ok := fleet.ServiceForModel(workspace, model); !ok {
		return apierror.New(apierror.NotFound, "workspace %s has no model %q; see GET /v1/models", workspace.ID, model)
	}

	return nil
}

// runTurn runs a turn at its owner and, where its slot moved before any text came, again at the next one.
func (s *Server) runTurn(ctx context.Context, req *peerpb.TurnRequest, answer *chatAnswer) (*peerpb.TurnOutcome, error) {
	slot := id.ProgramSlot(id.Program(req.GetProgram()))

	return atOwner(ctx, s.Locator, slot, func(ctx context.Context, owner peer.SlotOwner) (*peerpb.TurnOutcome, error) {
		outcome, err := owner.RunTurn(ctx, req, answer.delta)
		if err != nil && answer.begun {
			// Some text is out already, so the turn must not be tried again behind the caller's back.
			return nil, apierror.From(err).WithExecution(apierror.ExecutionUnknown)
		}

		return outcome, err
	})
}

// endSingle ends the program of a call that came without one.
func (s *Server) endSingle(ctx context.Context, c *app.RequestContext, program id.Program) {
	req := &peerpb.EndProgramRequest{Caller: caller(c), Program: string(program)}
	_, err := atOwner(context.WithoutCancel(ctx), s.Locator, id.ProgramSlot(program),
		func(ctx context.Context, owner peer.SlotOwner) (*peerpb.ProgramReply, error) {
			return owner.EndProgram(ctx, req)
		})
	if err != nil {
		s.Logger.Error(err, "single-call-not-ended", "program", program)
	}
}

// chatRequest reads and checks a chat-completions request.
func chatRequest(c *app.RequestContext) (*ChatRequest, error) {
	var chat ChatRequest
	if err := httpx.Decode(c.Request.Body(), &chat); err != nil {
		return nil, err
	}
	if problem := chat.problem(); problem != "" {
		return nil, apierror.New(apierror.InvalidRequest, "%s", problem)
	}

	return &chat, nil
}

// problem returns what is wrong with a request and what is allowed, or "".
func (r *ChatRequest) problem() string {
	switch {
	case r.Model == "":
		return "model is missing; name a model that the workspace may use"
	case len(r.Messages) == 0:
		return "messages is missing or empty; send at least one message"
	case r.MaxTokens < 0 || r.MaxCompletionTokens < 0:
		return "max_tokens is negative; send a positive number or leave it out"
	case r.N > 1:
		return "n is larger than 1; only one answer a turn is supported"
	case r.Logprobs:
		return "logprobs is not supported; leave it out"
	case given(r.Tools), given(r.ToolChoice), given(r.Functions):
		return "tools and functions are not supported; describe them in a message and leave the fields out"
	}
	for i, m := range r.Messages {
		switch m.Role {
		case "system", "developer", "user", "assistant", "tool":
		default:
			return fmt.Sprintf("messages[%d].role is %q, allowed are system, developer, user, assistant and tool", i, m.Role)
		}
		if given(m.ToolCalls) {
			return fmt.Sprintf("messages[%d].tool_calls is not supported; leave it out", i)
		}
	}

	return ""
}

// given reports whether an optional field holds anything.
func given(field json.RawMessage) bool {
	text := string(field)

	return text != "" && text != "null" && text != "[]" && text != `"none"` && text != `"auto"`
}

func turnRequest(c *app.RequestContext, whole bool) (*ChatRequest, *peerpb.TurnRequest, error) {
	chat, err := chatRequest(c)
	if err != nil {
		return nil, nil, err
	}
	sampling, err := json.Marshal(chat.Sampling)
	if err != nil {
		return nil, nil, err
	}
	req := &peerpb.TurnRequest{
		Caller:    caller(c),
		Model:     chat.Model,
		MaxTokens: int64(max(chat.MaxTokens, chat.MaxCompletionTokens)),
		Sampling:  sampling,
		Whole:     whole,
	}
	for _, m := range chat.Messages {
		req.Messages = append(req.Messages, &peerpb.Message{Role: m.Role, Content: string(m.Content)})
	}
	if text := string(c.GetHeader(HeaderTurn)); text != "" {
		number, err := strconv.ParseUint(text, 10, 32)
		if err != nil || number == 0 {
			return nil, nil, apierror.New(apierror.InvalidRequest, "%s is a turn's number from 1 on, not %q", HeaderTurn, text)
		}
		req.Number = uint32(number)
	}

	return chat, req, nil
}

// chatAnswer writes an answer in the chat-completions protocol, streamed or whole.
type chatAnswer struct {
	c       *app.RequestContext
	program id.Program
	id      string
	model   string
	created int64
	stream  bool
	writer  *sse.Writer
	begun   bool
}

// delta passes a piece of a streamed answer on; a whole answer is sent once it is kept.
func (a *chatAnswer) delta(text string) error {
	if !a.stream {
		return nil
	}
	if !a.begun {
		a.begun = true
		a.c.Response.Header.Set(HeaderProgram, string(a.program))
		a.writer = sse.NewWriter(a.c)
		if err := a.event(engine.Delta{Role: "assistant"}, nil, nil); err != nil {
			return err
		}
	}

	return a.event(engine.Delta{Content: text}, nil, nil)
}

func (a *chatAnswer) event(delta engine.Delta, reason *string, usage *engine.Usage) error {
	data, err := json.Marshal(chunk{
		ID:      a.id,
		Object:  "chat.completion.chunk",
		Created: a.created,
		Model:   a.model,
		Choices: []engine.ChunkChoice{{Delta: delta, FinishReason: reason}},
		Usage:   usage,
	})
	if err != nil {
		return err
	}

	return a.writer.WriteEvent("", "", data)
}

// chunk is a streamed piece as callers see it.
type chunk struct {
	ID      string               `json:"id"`
	Object  string               `json:"object"`
	Created int64                `json:"created"`
	Model   string               `json:"model"`
	Choices []engine.ChunkChoice `json:"choices"`
	Usage   *engine.Usage        `json:"usage,omitempty"`
}

// refuse answers with an error; a stream that has begun ends with it and without the end marker.
func (a *chatAnswer) refuse(err error) {
	if !a.begun {
		httpx.Refuse(a.c, err)

		return
	}
	data, marshalErr := json.Marshal(apierror.From(err).Body())
	if marshalErr != nil {
		return
	}
	a.writer.WriteEvent("", "error", data) //nolint:errcheck // the caller may be gone
}

// finish sends what remains once the turn is kept.
func (a *chatAnswer) finish(outcome *peerpb.TurnOutcome) {
	reply := outcome.GetReply()
	usage := engine.Usage{
		PromptTokens:     id.Tokens(reply.GetPromptTokens()),
		CompletionTokens: id.Tokens(reply.GetCompletionTokens()),
		TotalTokens:      id.Tokens(reply.GetPromptTokens() + reply.GetCompletionTokens()),
		Details:          engine.UsageDetails{CachedTokens: id.Tokens(reply.GetCachedTokens())},
	}
	reason := reply.GetFinishReason()
	if a.begun {
		if a.event(engine.Delta{}, &reason, &usage) == nil {
			a.writer.WriteEvent("", "", []byte("[DONE]")) //nolint:errcheck // the caller may be gone
		}

		return
	}
	header := &a.c.Response.Header
	header.Set(HeaderProgram, string(a.program))
	header.Set(HeaderTurn, strconv.FormatUint(uint64(reply.GetNumber()), 10))
	header.Set(HeaderHost, outcome.GetOwner())
	header.Set(HeaderUpstream, reply.GetUpstream())
	header.Set(HeaderBudgetLeft, strconv.FormatInt(outcome.GetBudgetLeft(), 10))
	if outcome.GetReplayed() {
		header.Set(HeaderReplayed, "true")
	}
	httpx.JSON(a.c, 200, engine.Completion{
		ID:      a.id,
		Object:  "chat.completion",
		Created: a.created,
		Model:   a.model,
		Choices: []engine.Choice{{
			Message:      prompt.Message{Role: "assistant", Content: reply.GetAnswer().GetContent()},
			FinishReason: reason,
		}},
		Usage: usage,
	})
}
