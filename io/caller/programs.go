package caller

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"cardamomward/core/id"
	"cardamomward/core/prompt"
	"cardamomward/core/settings"
	"cardamomward/io/httpx"
	"cardamomward/io/peer"
	"cardamomward/io/peer/peerpb"
)

func (s *Server) handleFindHost(_ context.Context, c *app.RequestContext) {
	resp, err := s.Locator.FindHost(id.Program(c.Query("program")), time.Now())
	if err != nil {
		httpx.WriteError(c, err)

		return
	}
	httpx.WriteJSON(c, 200, resp)
}

func (s *Server) handleOpenProgram(ctx context.Context, c *app.RequestContext) {
	var req OpenRequest
	if err := httpx.DecodeJSON(c.Request.Body(), &req); err != nil {
		httpx.WriteError(c, err)

		return
	}
	if err := s.enforceRateLimit(ctx, c); err != nil {
		httpx.WriteError(c, err)

		return
	}
	reply, err := s.openProgram(ctx, &peerpb.OpenProgramRequest{
		Caller: callerOf(c), Name: req.Name, Parent: string(req.Parent), BudgetTokens: int64(req.BudgetTokens),
	})
	s.writeProgram(c, reply, err)
}

// openProgram opens a program with a parent at the parent's owner, and any other program at this host.
func (s *Server) openProgram(ctx context.Context, req *peerpb.OpenProgramRequest) (*peerpb.ProgramReply, error) {
	open := func(ctx context.Context, owner peer.SlotOwner) (*peerpb.ProgramReply, error) {
		return owner.OpenProgram(ctx, req)
	}
	if req.GetParent() != "" {
		return callOwner(ctx, s.Locator, id.ProgramSlot(id.Program(req.GetParent())), open)
	}

	return open(ctx, s.Locator.LocalOwner())
}

func (s *Server) handleGetProgram(ctx context.Context, c *app.RequestContext) {
	s.serveProgram(ctx, c, false)
}

func (s *Server) handleProgramHistory(ctx context.Context, c *app.RequestContext) {
	s.serveProgram(ctx, c, true)
}

func (s *Server) serveProgram(ctx context.Context, c *app.RequestContext, includeHistory bool) {
	program := id.Program(c.Param("program"))
	req := &peerpb.GetProgramRequest{Caller: callerOf(c), Program: string(program), History: includeHistory}
	reply, err := callOwner(ctx, s.Locator, id.ProgramSlot(program),
		func(ctx context.Context, owner peer.SlotOwner) (*peerpb.ProgramReply, error) {
			return owner.GetProgram(ctx, req)
		})
	s.writeProgram(c, reply, err)
}

func (s *Server) handleEndProgram(ctx context.Context, c *app.RequestContext) {
	program := id.Program(c.Param("program"))
	req := &peerpb.EndProgramRequest{Caller: callerOf(c), Program: string(program)}
	reply, err := callOwner(ctx, s.Locator, id.ProgramSlot(program),
		func(ctx context.Context, owner peer.SlotOwner) (*peerpb.ProgramReply, error) {
			return owner.EndProgram(ctx, req)
		})
	s.writeProgram(c, reply, err)
}

func (s *Server) writeProgram(c *app.RequestContext, reply *peerpb.ProgramReply, err error) {
	if err != nil {
		httpx.WriteError(c, err)

		return
	}
	program := ProgramFromReply(reply)
	if location, err := s.Locator.FindHost(program.ID, time.Now()); err == nil {
		program.Address = location.Address
	}
	httpx.WriteJSON(c, 200, program)
}

// ProgramFromReply converts an owner's reply to the callers' JSON type.
func ProgramFromReply(reply *peerpb.ProgramReply) Program {
	program := Program{
		ID:             id.Program(reply.GetProgram()),
		Parent:         id.Program(reply.GetParent()),
		Name:           reply.GetName(),
		State:          reply.GetState(),
		EndReason:      reply.GetEndReason(),
		TurnCount:      id.Turn(reply.GetTurns()),
		BudgetTokens:   id.Tokens(reply.GetBudgetTokens()),
		UsedTokens:     id.Tokens(reply.GetUsedTokens()),
		ReservedTokens: id.Tokens(reply.GetReservedTokens()),
		Host:           id.Host(reply.GetOwner()),
	}
	for _, turn := range reply.GetHistory() {
		program.History = append(program.History, turnFromReply(turn))
	}

	return program
}

func turnFromReply(turn *peerpb.TurnReply) TurnRecord {
	rec := TurnRecord{
		Turn:             id.Turn(turn.GetNumber()),
		Answer:           prompt.Message{Role: turn.GetAnswer().GetRole(), Content: turn.GetAnswer().GetContent()},
		PromptTokens:     id.Tokens(turn.GetPromptTokens()),
		CachedTokens:     id.Tokens(turn.GetCachedTokens()),
		CompletionTokens: id.Tokens(turn.GetCompletionTokens()),
		FinishReason:     turn.GetFinishReason(),
	}
	for _, m := range turn.GetInput() {
		rec.Input = append(rec.Input, prompt.Message{Role: m.GetRole(), Content: m.GetContent()})
	}

	return rec
}

// handleListModels responds with the models that the workspace may use.
func (s *Server) handleListModels(_ context.Context, c *app.RequestContext) {
	fleet, _ := s.Control.Settings()
	models := ModelList{Object: "list", Data: []Model{}}
	workspace, ok := fleet.Workspaces[id.Workspace(callerOf(c).GetWorkspace())]
	if ok {
		for _, name := range workspace.Services {
			if service := fleet.Services[name]; service != nil && service.Kind == settings.KindEngine {
				models.Data = append(models.Data, Model{ID: service.Model, Object: "model", OwnedBy: service.ID})
			}
		}
	}
	httpx.WriteJSON(c, 200, models)
}
