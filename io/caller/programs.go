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

func (s *Server) where(_ context.Context, c *app.RequestContext) {
	resp, err := s.Locator.Where(id.Program(c.Query("program")), time.Now())
	if err != nil {
		httpx.Refuse(c, err)

		return
	}
	httpx.JSON(c, 200, resp)
}

func (s *Server) open(ctx context.Context, c *app.RequestContext) {
	var req OpenRequest
	if err := httpx.Decode(c.Request.Body(), &req); err != nil {
		httpx.Refuse(c, err)

		return
	}
	if err := s.admit(ctx, c); err != nil {
		httpx.Refuse(c, err)

		return
	}
	reply, err := s.openAt(ctx, &peerpb.OpenProgramRequest{
		Caller: caller(c), Name: req.Name, Parent: string(req.Parent), BudgetTokens: int64(req.Budget),
	})
	s.answer(c, reply, err)
}

// openAt opens a sub-agent at its parent's owner and any other program at this host.
func (s *Server) openAt(ctx context.Context, req *peerpb.OpenProgramRequest) (*peerpb.ProgramReply, error) {
	open := func(ctx context.Context, owner peer.SlotOwner) (*peerpb.ProgramReply, error) {
		return owner.OpenProgram(ctx, req)
	}
	if req.GetParent() != "" {
		return atOwner(ctx, s.Locator, id.ProgramSlot(id.Program(req.GetParent())), open)
	}

	return open(ctx, s.Locator.Local())
}

func (s *Server) get(ctx context.Context, c *app.RequestContext) { s.read(ctx, c, false) }

func (s *Server) history(ctx context.Context, c *app.RequestContext) { s.read(ctx, c, true) }

func (s *Server) read(ctx context.Context, c *app.RequestContext, history bool) {
	program := id.Program(c.Param("program"))
	req := &peerpb.GetProgramRequest{Caller: caller(c), Program: string(program), History: history}
	reply, err := atOwner(ctx, s.Locator, id.ProgramSlot(program),
		func(ctx context.Context, owner peer.SlotOwner) (*peerpb.ProgramReply, error) {
			return owner.GetProgram(ctx, req)
		})
	s.answer(c, reply, err)
}

func (s *Server) end(ctx context.Context, c *app.RequestContext) {
	program := id.Program(c.Param("program"))
	req := &peerpb.EndProgramRequest{Caller: caller(c), Program: string(program)}
	reply, err := atOwner(ctx, s.Locator, id.ProgramSlot(program),
		func(ctx context.Context, owner peer.SlotOwner) (*peerpb.ProgramReply, error) {
			return owner.EndProgram(ctx, req)
		})
	s.answer(c, reply, err)
}

func (s *Server) answer(c *app.RequestContext, reply *peerpb.ProgramReply, err error) {
	if err != nil {
		httpx.Refuse(c, err)

		return
	}
	program := ProgramOf(reply)
	if where, err := s.Locator.Where(program.Program, time.Now()); err == nil {
		program.Address = where.Address
	}
	httpx.JSON(c, 200, program)
}

// ProgramOf converts an owner's reply.
func ProgramOf(reply *peerpb.ProgramReply) Program {
	program := Program{
		Program:  id.Program(reply.GetProgram()),
		Parent:   id.Program(reply.GetParent()),
		Name:     reply.GetName(),
		State:    reply.GetState(),
		Reason:   reply.GetEndReason(),
		Turns:    id.Turn(reply.GetTurns()),
		Budget:   id.Tokens(reply.GetBudgetTokens()),
		Used:     id.Tokens(reply.GetUsedTokens()),
		Reserved: id.Tokens(reply.GetReservedTokens()),
		Host:     id.Host(reply.GetOwner()),
	}
	for _, turn := range reply.GetHistory() {
		program.History = append(program.History, turnRecord(turn))
	}

	return program
}

func turnRecord(turn *peerpb.TurnReply) TurnRecord {
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

// models lists the models that the workspace may use.
func (s *Server) models(_ context.Context, c *app.RequestContext) {
	fleet, _ := s.Control.Settings()
	models := Models{Object: "list", Data: []Model{}}
	workspace, ok := fleet.Workspaces[id.Workspace(caller(c).GetWorkspace())]
	if ok {
		for _, name := range workspace.Services {
			if service := fleet.Services[name]; service != nil && service.Kind == settings.KindEngine {
				models.Data = append(models.Data, Model{ID: service.Model, Object: "model", OwnedBy: service.ID})
			}
		}
	}
	httpx.JSON(c, 200, models)
}
