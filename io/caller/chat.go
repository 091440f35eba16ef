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
	"cardamomward/io/engineclient"
	"cardamomward/io/httpx"
	"cardamomward/io/peer"
	"cardamomward/io/peer/peerpb"
)

// handleChat runs a turn of the program named in the header. Without the header it opens a program for this call only.
func (s *Server) handleChat(ctx context.Context, c *app.RequestContext) {
	s.serveTurn(ctx, c, id.Program(c.GetHeader(HeaderProgram)), true)
}

// handleTurn runs a turn whose request contains only the new messages.
func (s *Server) handleTurn(ctx context.Context, c *app.RequestContext) {
	s.serveTurn(ctx, c, id.Program(c.Param("program")), false)
}

func (s *Server) serveTurn(ctx context.Context, c *app.RequestContext, program id.Program, wholeTranscript bool) {
	chat, req, err := decodeTurnRequest(c, wholeTranscript)
	if err == nil {
		err = s.checkModel(c, id.Model(chat.Model))
	}
	if err == nil {
		err = s.enforceRateLimit(ctx, c)
	}
	if err != nil {
		httpx.WriteError(c, err)

		return
	}
	implicitProgram := program == ""
	if implicitProgram {
		opened, err := s.openProgram(ctx, &peerpb.OpenProgramRequest{Caller: callerOf(c), Name: "single call"})
		if err != nil {
			httpx.WriteError(c, err)

			return
		}
		program = id.Program(opened.GetProgram())
		defer s.endImplicitProgram(ctx, c, program)
	}
	req.Program = string(program)
	response := &chatResponse{c: c, program: program, id: "chatcmpl-" + id.NewRandom(), model: chat.Model, created: time.Now().Unix(), stream: chat.Stream}
	outcome, err := s.runTurn(ctx, req, response)
	if err != nil {
		response.writeError(err)

		return
	}
	response.writeResult(outcome)
}

// checkModel returns an error for a model that the workspace may not use, before a program is opened for it.
func (s *Server) checkModel(c *app.RequestContext, model id.Model) error {
	fleet, _ := s.Control.Settings()
	workspace, ok := fleet.Workspaces[id.Workspace(callerOf(c).GetWorkspace())]
	if !ok {
		return nil
	}
	if _, ok := fleet.ServiceForModel(workspace, model); !ok {
		return apierror.New(apierror.NotFound, "workspace %s has no model %q; see GET /v1/models", workspace.ID, model)
	}

	return nil
}

// runTurn runs a turn at the owner of its program's slot. If the slot changes owners before any text was sent to the
// caller, it retries at the new owner.
func (s *Server) runTurn(ctx context.Context, req *peerpb.TurnRequest, response *chatResponse) (*peerpb.TurnOutcome, error) {
	slot := id.ProgramSlot(id.Program(req.GetProgram()))

	return callOwner(ctx, s.Locator, slot, func(ctx context.Context, owner peer.SlotOwner) (*peerpb.TurnOutcome, error) {
		outcome, err := owner.RunTurn(ctx, req, response.writeDelta)
		if err != nil && response.started {
			// Text was sent to the caller already, so a retry would send it twice.
			return nil, apierror.From(err).WithExecution(apierror.ExecutionUnknown)
		}

		return outcome, err
	})
}

// endImplicitProgram ends the program that was opened for a single call.
func (s *Server) endImplicitProgram(ctx context.Context, c *app.RequestContext, program id.Program) {
	req := &peerpb.EndProgramRequest{Caller: callerOf(c), Program: string(program)}
	_, err := callOwner(context.WithoutCancel(ctx), s.Locator, id.ProgramSlot(program),
		func(ctx context.Context, owner peer.SlotOwner) (*peerpb.ProgramReply, error) {
			return owner.EndProgram(ctx, req)
		})
	if err != nil {
		s.Logger.Error(err, "single-call-not-ended", "program", program)
	}
}

// decodeChatRequest decodes and validates a chat-completions request.
func decodeChatRequest(c *app.RequestContext) (*ChatRequest, error) {
	var chat ChatRequest
	if err := httpx.DecodeJSON(c.Request.Body(), &chat); err != nil {
		return nil, err
	}
	if message := chat.validationError(); message != "" {
		return nil, apierror.New(apierror.InvalidRequest, "%s", message)
	}

	return &chat, nil
}

// validationError returns what is invalid in a request and what is allowed, or "" for a valid request.
func (r *ChatRequest) validationError() string {
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
	case isSet(r.Tools), isSet(r.ToolChoice), isSet(r.Functions):
		return "tools and functions are not supported; describe them in a message and leave the fields out"
	}
	for i, m := range r.Messages {
		switch m.Role {
		case "system", "developer", "user", "assistant", "tool":
		default:
			return fmt.Sprintf("messages[%d].role is %q, allowed are system, developer, user, assistant and tool", i, m.Role)
		}
		if isSet(m.ToolCalls) {
			return fmt.Sprintf("messages[%d].tool_calls is not supported; leave it out", i)
		}
	}

	return ""
}

// isSet reports whether an optional field has a value other than its default.
func isSet(field json.RawMessage) bool {
	text := string(field)

	return text != "" && text != "null" && text != "[]" && text != `"none"` && text != `"auto"`
}

func decodeTurnRequest(c *app.RequestContext, wholeTranscript bool) (*ChatRequest, *peerpb.TurnRequest, error) {
	chat, err := decodeChatRequest(c)
	if err != nil {
		return nil, nil, err
	}
	sampling, err := json.Marshal(chat.Sampling)
	if err != nil {
		return nil, nil, err
	}
	req := &peerpb.TurnRequest{
		Caller:    callerOf(c),
		Model:     chat.Model,
		MaxTokens: int64(max(chat.MaxTokens, chat.MaxCompletionTokens)),
		Sampling:  sampling,
		Whole:     wholeTranscript,
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

// chatResponse writes a response in the chat-completions protocol, streamed or as one body.
type chatResponse struct {
	c       *app.RequestContext
	program id.Program
	id      string
	model   string
	created int64
	stream  bool
	writer  *sse.Writer
	started bool
}

// writeDelta sends text as a chunk of a streamed response. A response that is not streamed is sent by writeResult.
func (r *chatResponse) writeDelta(text string) error {
	if !r.stream {
		return nil
	}
	if !r.started {
		r.started = true
		r.c.Response.Header.Set(HeaderProgram, string(r.program))
		r.writer = sse.NewWriter(r.c)
		if err := r.writeChunk(engineclient.Delta{Role: "assistant"}, nil, nil); err != nil {
			return err
		}
	}

	return r.writeChunk(engineclient.Delta{Content: text}, nil, nil)
}

func (r *chatResponse) writeChunk(delta engineclient.Delta, reason *string, usage *engineclient.Usage) error {
	data, err := json.Marshal(chunk{
		ID:      r.id,
		Object:  "chat.completion.chunk",
		Created: r.created,
		Model:   r.model,
		Choices: []engineclient.ChunkChoice{{Delta: delta, FinishReason: reason}},
		Usage:   usage,
	})
	if err != nil {
		return err
	}

	return r.writer.WriteEvent("", "", data)
}

// chunk is one event of a streamed response to a caller.
type chunk struct {
	ID      string                     `json:"id"`
	Object  string                     `json:"object"`
	Created int64                      `json:"created"`
	Model   string                     `json:"model"`
	Choices []engineclient.ChunkChoice `json:"choices"`
	Usage   *engineclient.Usage        `json:"usage,omitempty"`
}

// writeError responds with an error. In a stream that has started, it sends an error event without the end marker.
func (r *chatResponse) writeError(err error) {
	if !r.started {
		httpx.WriteError(r.c, err)

		return
	}
	data, marshalErr := json.Marshal(apierror.From(err).Body())
	if marshalErr != nil {
		return
	}
	r.writer.WriteEvent("", "error", data) //nolint:errcheck // the caller may have disconnected
}

// writeResult completes the response after the turn was stored.
func (r *chatResponse) writeResult(outcome *peerpb.TurnOutcome) {
	reply := outcome.GetReply()
	usage := engineclient.Usage{
		PromptTokens:     id.Tokens(reply.GetPromptTokens()),
		CompletionTokens: id.Tokens(reply.GetCompletionTokens()),
		TotalTokens:      id.Tokens(reply.GetPromptTokens() + reply.GetCompletionTokens()),
		Details:          engineclient.UsageDetails{CachedTokens: id.Tokens(reply.GetCachedTokens())},
	}
	reason := reply.GetFinishReason()
	if r.started {
		if r.writeChunk(engineclient.Delta{}, &reason, &usage) == nil {
			r.writer.WriteEvent("", "", []byte("[DONE]")) //nolint:errcheck // the caller may have disconnected
		}

		return
	}
	header := &r.c.Response.Header
	header.Set(HeaderProgram, string(r.program))
	header.Set(HeaderTurn, strconv.FormatUint(uint64(reply.GetNumber()), 10))
	header.Set(HeaderHost, outcome.GetOwner())
	header.Set(HeaderUpstream, reply.GetUpstream())
	header.Set(HeaderBudgetLeft, strconv.FormatInt(outcome.GetBudgetLeft(), 10))
	if outcome.GetReplayed() {
		header.Set(HeaderReplayed, "true")
	}
	httpx.WriteJSON(r.c, 200, engineclient.Completion{
		ID:      r.id,
		Object:  "chat.completion",
		Created: r.created,
		Model:   r.model,
		Choices: []engineclient.Choice{{
			Message:      prompt.Message{Role: "assistant", Content: reply.GetAnswer().GetContent()},
			FinishReason: reason,
		}},
		Usage: usage,
	})
}
