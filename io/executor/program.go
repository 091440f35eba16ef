package executor

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
	EndedByCaller      = "ended"
	EndedByLeaseExpiry = "expired"
	EndedByOperator    = "closed-by-operator"
)

// newProgramID returns a new id in a slot that this host owns, so that the caller is already connected to the owner.
func (e *Executor) newProgramID() (id.Program, error) {
	var program id.Program
	e.Journal.View(func(p *projection.Programs) {
		for range 4 * id.SlotCount {
			candidate := id.Program(id.NewRandom())
			state := p.Slot(id.ProgramSlot(candidate))
			if state.State == projection.SlotOwned && state.Owner == e.Host {
				program = candidate

				return
			}
		}
	})
	if program == "" {
		return "", apierror.New(apierror.OwnerChanged, "host %s owns no slot yet", e.Host).WithRetryAfter(ownerChangedRetryAfter)
	}

	return program, nil
}

// OpenProgram opens a program, or a sub-agent if the request names a parent. A sub-agent is a child program that uses the
// budget of its root program.
func (e *Executor) OpenProgram(ctx context.Context, req *peerpb.OpenProgramRequest) (*peerpb.ProgramReply, error) {
	_, workspace, err := e.lookupWorkspace(id.Workspace(req.GetCaller().GetWorkspace()))
	if err != nil {
		return nil, err
	}
	program, err := e.chooseProgramID(req)
	if err != nil {
		return nil, err
	}
	fence, releaseSlot, err := e.acquireSlot(id.ProgramSlot(program), time.Now())
	if err != nil {
		return nil, err
	}
	defer releaseSlot()
	budget := workspace.Budget
	if requested := id.Tokens(req.GetBudgetTokens()); requested > 0 && requested < budget {
		budget = requested
	}
	if req.GetParent() != "" {
		budget = 0
	}
	rec := e.newRecord(fence)
	rec.Body = &recordpb.Record_ProgramOpen{ProgramOpen: &recordpb.ProgramOpen{
		Program:      string(program),
		Workspace:    string(workspace.ID),
		Parent:       req.GetParent(),
		Name:         req.GetName(),
		BudgetTokens: int64(budget),
		LeaseMillis:  workspace.ProgramLease.Milliseconds(),
	}}
	if err := e.commitRecord(ctx, rec); err != nil {
		return nil, err
	}
	e.Logger.Info("program-opened", "program", program, "workspace", workspace.ID, "parent", req.GetParent())

	return e.newProgramReply(req.GetCaller(), program, false)
}

// chooseProgramID returns a new id. The id of a sub-agent extends its parent's, so that both are in one slot.
func (e *Executor) chooseProgramID(req *peerpb.OpenProgramRequest) (id.Program, error) {
	if req.GetParent() == "" {
		return e.newProgramID()
	}
	if _, err := e.lookupProgram(req.GetCaller(), id.Program(req.GetParent())); err != nil {
		return "", err
	}

	return id.Program(fmt.Sprintf("%s.%s", req.GetParent(), id.NewRandom()[:6])), nil
}

// EndProgram ends a program and its sub-agents.
func (e *Executor) EndProgram(ctx context.Context, req *peerpb.EndProgramRequest) (*peerpb.ProgramReply, error) {
	reason := EndedByCaller
	if req.GetCaller().GetOperator() {
		reason = EndedByOperator
	}
	program := id.Program(req.GetProgram())
	view, err := e.lookupProgram(req.GetCaller(), program)
	if err != nil {
		return nil, err
	}
	if view.State == projection.ProgramOpen {
		if err := e.commitProgramEnd(ctx, program, reason); err != nil {
			return nil, err
		}
	}

	return e.newProgramReply(req.GetCaller(), program, false)
}

// commitProgramEnd commits the end of a program and releases its engine memory in the background.
func (e *Executor) commitProgramEnd(ctx context.Context, program id.Program, reason string) error {
	fence, releaseSlot, err := e.acquireSlot(id.ProgramSlot(program), time.Now())
	if err != nil {
		return err
	}
	defer releaseSlot()
	rec := e.newRecord(fence)
	rec.Body = &recordpb.Record_ProgramEnd{ProgramEnd: &recordpb.ProgramEnd{Program: string(program), Reason: reason}}
	if err := e.commitRecord(ctx, rec); err != nil {
		return err
	}
	e.Logger.Info("program-ended", "program", program, "reason", reason)
	// The release runs in the background; without a free worker it is left to RunEngineGC.
	if err := e.WorkerPool.Submit(func() { e.releaseEndedProgram(ctx, program) }); err != nil {
		e.Logger.V(1).Info("release-left", "program", program, "error", err)
	}

	return nil
}

// GetProgram returns a program's state and, if asked for, its history.
func (e *Executor) GetProgram(_ context.Context, req *peerpb.GetProgramRequest) (*peerpb.ProgramReply, error) {
	_, releaseSlot, err := e.acquireSlot(id.ProgramSlot(id.Program(req.GetProgram())), time.Now())
	if err != nil {
		return nil, err
	}
	defer releaseSlot()

	return e.newProgramReply(req.GetCaller(), id.Program(req.GetProgram()), req.GetHistory())
}

func (e *Executor) newProgramReply(caller *peerpb.Caller, program id.Program, history bool) (*peerpb.ProgramReply, error) {
	view, err := e.lookupProgram(caller, program)
	if err != nil {
		return nil, err
	}
	reply := &peerpb.ProgramReply{
		Program:        string(view.ID),
		Workspace:      string(view.Workspace),
		Parent:         string(view.Parent),
		Name:           view.Name,
		State:          string(view.State),
		Turns:          uint32(len(view.Turns)),
		BudgetTokens:   int64(view.root.Budget),
		UsedTokens:     int64(view.root.Used),
		ReservedTokens: int64(e.reservedTokens(view.root.ID)),
		Owner:          string(e.Host),
		EndReason:      view.EndReason,
	}
	if history {
		for _, turn := range view.Turns {
			reply.History = append(reply.History, newTurnReply(turn))
		}
	}

	return reply, nil
}

func newTurnReply(turn *recordpb.Turn) *peerpb.TurnReply {
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
