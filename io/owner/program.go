package owner

import (
	"context"
	"fmt"
	"time"

	"cardamomward/core/apierror"
	"cardamomward/core/id"
	"cardamomward/core/projection"
	"cardamomward/core/record/recordpb"
	"cardamomward/io/peer/peerpb"
)

// Reasons for which a program ended.
const (
	EndedByCaller   = "ended"
	EndedByLease    = "expired"
	EndedByOperator = "closed-by-operator"
)

// newProgram returns an id whose slot this host owns, so that the caller who opened it is in the right place.
func (o *Owner) newProgram() (id.Program, error) {
	var program id.Program
	o.Journal.View(func(p *projection.Programs) {
		for range 4 * id.SlotCount {
			candidate := id.Program(id.NewRandom())
			state := p.Slot(id.ProgramSlot(candidate))
			if state.State == projection.SlotOwned && state.Owner == o.Host {
				program = candidate

				return
			}
		}
	})
	if program == "" {
		return "", apierror.New(apierror.OwnerChanged, "host %s owns no slot yet", o.Host).WithRetryAfter(movedRetry)
	}

	return program, nil
}

// OpenProgram opens a program, or a sub-agent of one where a parent is named.
func (o *Owner) OpenProgram(ctx context.Context, req *peerpb.OpenProgramRequest) (*peerpb.ProgramReply, error) {
	_, workspace, err := o.workspace(id.Workspace(req.GetCaller().GetWorkspace()))
	if err != nil {
		return nil, err
	}
	program, err := o.programFor(req)
	if err != nil {
		return nil, err
	}
	l, leave, err := o.enter(id.ProgramSlot(program), time.Now())
	if err != nil {
		return nil, err
	}
	defer leave()
	budget := workspace.Budget
	if asked := id.Tokens(req.GetBudgetTokens()); asked > 0 && asked < budget {
		budget = asked
	}
	if req.GetParent() != "" {
		budget = 0
	}
	rec := o.record(l)
	rec.Body = &recordpb.Record_ProgramOpen{ProgramOpen: &recordpb.ProgramOpen{
		Program:      string(program),
		Workspace:    string(workspace.ID),
		Parent:       req.GetParent(),
		Name:         req.GetName(),
		BudgetTokens: int64(budget),
		LeaseMillis:  workspace.ProgramLease.Milliseconds(),
	}}
	if err := o.commit(ctx, rec); err != nil {
		return nil, err
	}
	o.Logger.Info("program-opened", "program", program, "workspace", workspace.ID, "parent", req.GetParent())

	return o.reply(req.GetCaller(), program, false)
}

// programFor returns a new id: a sub-agent's extends its parent's, so that both share a slot.
func (o *Owner) programFor(req *peerpb.OpenProgramRequest) (id.Program, error) {
	if req.GetParent() == "" {
		return o.newProgram()
	}
	if _, err := o.lookup(req.GetCaller(), id.Program(req.GetParent())); err != nil {
		return "", err
	}

	return id.Program(fmt.Sprintf("%s.%s", req.GetParent(), id.NewRandom()[:6])), nil
}

// EndProgram ends a program and its sub-agents.
func (o *Owner) EndProgram(ctx context.Context, req *peerpb.EndProgramRequest) (*peerpb.ProgramReply, error) {
	reason := EndedByCaller
	if req.GetCaller().GetOperator() {
		reason = EndedByOperator
	}
	program := id.Program(req.GetProgram())
	state, err := o.lookup(req.GetCaller(), program)
	if err != nil {
		return nil, err
	}
	if state.State == projection.ProgramOpen {
		if err := o.end(ctx, program, reason); err != nil {
			return nil, err
		}
	}

	return o.reply(req.GetCaller(), program, false)
}

func (o *Owner) end(ctx context.Context, program id.Program, reason string) error {
	l, leave, err := o.enter(id.ProgramSlot(program), time.Now())
	if err != nil {
		return err
	}
	defer leave()
	rec := o.record(l)
	rec.Body = &recordpb.Record_ProgramEnd{ProgramEnd: &recordpb.ProgramEnd{Program: string(program), Reason: reason}}
	if err := o.commit(ctx, rec); err != nil {
		return err
	}
	o.Logger.Info("program-ended", "program", program, "reason", reason)
	// Nobody waits for the release; a host without a free worker leaves it to reconciliation.
	if err := o.Pool.Submit(func() { o.releaseEnded(ctx, program) }); err != nil {
		o.Logger.V(1).Info("release-left", "program", program, "error", err)
	}

	return nil
}

// GetProgram returns a program's state and, if asked for, its history.
func (o *Owner) GetProgram(_ context.Context, req *peerpb.GetProgramRequest) (*peerpb.ProgramReply, error) {
	_, leave, err := o.enter(id.ProgramSlot(id.Program(req.GetProgram())), time.Now())
	if err != nil {
		return nil, err
	}
	defer leave()

	return o.reply(req.GetCaller(), id.Program(req.GetProgram()), req.GetHistory())
}

func (o *Owner) reply(caller *peerpb.Caller, program id.Program, history bool) (*peerpb.ProgramReply, error) {
	state, err := o.lookup(caller, program)
	if err != nil {
		return nil, err
	}
	reply := &peerpb.ProgramReply{
		Program:        string(state.ID),
		Workspace:      string(state.Workspace),
		Parent:         string(state.Parent),
		Name:           state.Name,
		State:          string(state.State),
		Turns:          uint32(len(state.Turns)),
		BudgetTokens:   int64(state.root.Budget),
		UsedTokens:     int64(state.root.Used),
		ReservedTokens: int64(o.reserved(state.root.ID)),
		Owner:          string(o.Host),
		EndReason:      state.EndReason,
	}
	if history {
		for _, turn := range state.Turns {
			reply.History = append(reply.History, turnReply(turn))
		}
	}

	return reply, nil
}

func turnReply(turn *recordpb.Turn) *peerpb.TurnReply {
	reply := &peerpb.TurnReply{
		Number:           turn.GetNumber(),
		Answer:           &peerpb.Message{Role: turn.GetAnswer().GetRole(), Content: turn.GetAnswer().GetContent()},
		PromptTokens:     turn.GetPromptTokens(),
		CachedTokens:     turn.GetCachedTokens(),
		CompletionTokens: turn.GetCompletionTokens(),
		Upstream:         turn.GetUpstream(),
		FinishReason:     turn.GetFinishReason(),
	}
	for _, m := range turn.GetInput() {
		reply.Input = append(reply.Input, &peerpb.Message{Role: m.GetRole(), Content: m.GetContent()})
	}

	return reply
}
