package fleet

import (
	"context"
	"sync"
	"time"

	"cardamomward/core/affinity"
	"cardamomward/core/id"
	"cardamomward/io/fleet/fleetpb"
	"cardamomward/io/reverseproxy"
	"cardamomward/io/topicconsumer"
)

const (
	// ownerPatience bounds how long a turn waits for its slot to have an owner that answers.
	ownerPatience = 700 * time.Millisecond
	// ownerPart is the part of a caller's time that a turn may wait for its owner, so that a refusal leaves time to
	// come back.
	ownerPart = 0.3
	// ownerRetry paces the requests to owners that have changed.
	ownerRetry = 50 * time.Millisecond
	// settlePatience bounds how long a settlement that no caller waits for is repeated.
	settlePatience = 20 * time.Second
	// settleRetry paces such repeats.
	settleRetry = 200 * time.Millisecond
	// keepReserve is left of a caller's time when a turn that is not durable is given up.
	keepReserve = 50 * time.Millisecond
)

var _ reverseproxy.TurnService = (*Fleet)(nil)

// BeginTurn reserves a turn's tokens at the owner of its program and returns the chain before the turn.
func (f *Fleet) BeginTurn(ctx context.Context, turn reverseproxy.Turn) reverseproxy.BeginResult {
	left := turn.Deadline.Sub(f.Now())
	wait := min(ownerPatience, time.Duration(ownerPart*float64(left)))
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	req := &fleetpb.BeginTurnRequest{
		Workspace: string(turn.Workspace), Program: turn.ProgramKey(), Attempt: turn.Request.ID,
		Budget: int64(turn.Request.TokenBudget), MaxTokens: int64(turn.Request.MaxTokens),
		DeadlineMillis: left.Milliseconds(), WaitMillis: wait.Milliseconds(), Line: turn.Request.ResolveAffinityKey(),
	}
	if turn.RetainsContext {
		req.Previous = turn.Request.PreviousTurn
	}
	if f.CutOff(f.Now()) {
		return reverseproxy.BeginResult{Status: reverseproxy.OwnerUnavailable}
	}
	var found []byte
	for {
		reply, err := f.beginOnce(ctx, req)
		switch {
		case err != nil || reply.Outcome == fleetpb.Outcome_OUTCOME_NOT_OWNER:
			f.wantOwners()
		case reply.Outcome == fleetpb.Outcome_OUTCOME_OK:
			f.noteMark(req.Program, reply.Mark)
			if req.HaveChain {
				reply.Chain = found
			}

			return reverseproxy.BeginResult{
				Status: reverseproxy.TurnAllowed, PriorTranscript: reply.Chain, ContinuesProgram: reply.Begun,
				LastLocation: affinity.Location{Upstream: id.Upstream(reply.Last), CachedTokens: id.Tokens(reply.Kept)},
			}
		case reply.Outcome == fleetpb.Outcome_OUTCOME_SPENT:
			f.noteMark(req.Program, req.Budget)

			return reverseproxy.BeginResult{Status: reverseproxy.BudgetExhausted}
		case reply.Outcome == fleetpb.Outcome_OUTCOME_UNKNOWN_TURN:
			chain, outcome := f.find(ctx, req)
			if outcome == fleetpb.Outcome_OUTCOME_UNKNOWN_TURN {
				return reverseproxy.BeginResult{Status: reverseproxy.PreviousTurnNotFound}
			}
			if outcome == fleetpb.Outcome_OUTCOME_OK {
				found, req.HaveChain = chain, true

				continue
			}
		}
		if topicconsumer.SleepContext(ctx, ownerRetry); ctx.Err() != nil {
			f.Logger.Info("owner-unsure", "request", turn.Request.ID, "program", turn.ProgramKey(),
				"owner", f.owner(f.slotOf(turn.ProgramKey())), "outcome", reply.GetOutcome(), "error", err)
			f.abandon(ctx, req, err)

			return reverseproxy.BeginResult{Status: reverseproxy.OwnerUnavailable}
		}
	}
}

// abandon settles a turn that is refused while its owner may have reserved tokens for it.
func (f *Fleet) abandon(ctx context.Context, req *fleetpb.BeginTurnRequest, err error) {
	if err == nil || req.Budget == 0 {
		return
	}
	go f.settle(context.WithoutCancel(ctx), &fleetpb.EndTurnRequest{
		Workspace: req.Workspace, Program: req.Program, Attempt: req.Attempt,
	})
}

// noteMark remembers what the owner said of a program's count.
func (f *Fleet) noteMark(program string, tokens int64) {
	f.heldMu.Lock()
	defer f.heldMu.Unlock()
	f.marks.Report(f.Now(), id.Program(program), id.Tokens(tokens))
}

func (f *Fleet) beginOnce(ctx context.Context, req *fleetpb.BeginTurnRequest) (*fleetpb.BeginTurnReply, error) {
	slot := f.slotOf(req.Program)
	member := f.owner(slot)
	if member == "" {
		return &fleetpb.BeginTurnReply{Outcome: fleetpb.Outcome_OUTCOME_NOT_OWNER}, nil
	}
	ctx, cancel := f.whileOwner(ctx, slot, member)
	defer cancel()

	return f.client(member).BeginTurn(ctx, req)
}

// find looks for a turn at the owners of all slots: a program may continue from another program's turn.
func (f *Fleet) find(ctx context.Context, req *fleetpb.BeginTurnRequest) ([]byte, fleetpb.Outcome) {
	members := make(map[string]struct{})
	for _, member := range f.ownership.Load().owners {
		if member == "" {
			return nil, fleetpb.Outcome_OUTCOME_UNSURE
		}
		members[member] = struct{}{}
	}
	replies := make(chan *fleetpb.FindTurnReply, len(members))
	var asked sync.WaitGroup
	for member := range members {
		asked.Go(func() {
			reply, err := f.client(member).FindTurn(ctx, &fleetpb.FindTurnRequest{Workspace: req.Workspace, Turn: req.Previous})
			if err == nil {
				replies <- reply
			}
		})
	}
	asked.Wait()
	close(replies)
	covered := make(map[int32]struct{})
	for reply := range replies {
		if reply.Outcome == fleetpb.Outcome_OUTCOME_OK {
			return reply.Chain, reply.Outcome
		}
		for _, slot := range reply.Slots {
			covered[slot] = struct{}{}
		}
	}
	if len(covered) < len(f.slots) {
		f.wantOwners()

		return nil, fleetpb.Outcome_OUTCOME_UNSURE
	}

	return nil, fleetpb.Outcome_OUTCOME_UNKNOWN_TURN
}

// EndTurn settles a turn at the owner of its program; where the turn is to be kept it reports whether it is.
func (f *Fleet) EndTurn(ctx context.Context, turn reverseproxy.Turn, ending reverseproxy.TurnResult) bool {
	req := &fleetpb.EndTurnRequest{
		Workspace: string(turn.Workspace), Program: turn.ProgramKey(), Tokens: int64(ending.OutputTokens),
		Line: turn.Request.ResolveAffinityKey(), Upstream: string(ending.Location.Upstream), Cached: int64(ending.Location.CachedTokens),
	}
	if turn.Request.TokenBudget > 0 {
		req.Attempt = turn.Request.ID
	}
	if !turn.RetainsContext || !ending.IsComplete {
		go f.settle(context.WithoutCancel(ctx), req)

		return true
	}
	req.Kept = &fleetpb.KeptTurn{
		Id: turn.Request.ID, Program: turn.ProgramKey(), Workspace: string(turn.Workspace), Previous: turn.Request.PreviousTurn,
		Base: ending.PriorTranscript, Input: turn.Request.Body, Output: ending.Output,
		RetentionMillis: turn.Retention.Milliseconds(), EndedUnixMillis: f.Now().UnixMilli(),
	}
	ctx, cancel := context.WithDeadline(ctx, turn.Deadline.Add(-keepReserve))
	defer cancel()
	short := leaveOutBase(req)
	for ctx.Err() == nil {
		reply, err := f.endOnce(ctx, short)
		if err == nil && reply.Outcome == fleetpb.Outcome_OUTCOME_UNKNOWN_TURN {
			short = req

			continue
		}
		if err == nil && reply.Outcome == fleetpb.Outcome_OUTCOME_OK {
			return reply.Durable || f.keepWithout(ctx, req)
		}
		f.wantOwners()
		topicconsumer.SleepContext(ctx, ownerRetry)
	}
	go f.settle(context.WithoutCancel(ctx), &fleetpb.EndTurnRequest{
		Workspace: req.Workspace, Program: req.Program, Attempt: req.Attempt, Tokens: req.Tokens,
	})

	return false
}

// leaveOutBase returns a settlement without the chain before the turn, which the owner has in most cases.
func leaveOutBase(req *fleetpb.EndTurnRequest) *fleetpb.EndTurnRequest {
	if len(req.Kept.Base) == 0 {
		return req
	}

	return &fleetpb.EndTurnRequest{
		Workspace: req.Workspace, Program: req.Program, Attempt: req.Attempt, Tokens: req.Tokens,
		Kept: withoutBase(req.Kept), Line: req.Line, Upstream: req.Upstream, Cached: req.Cached,
	}
}

// copiesWithout is how many hosts keep a turn while the store is away for all, its owner included, so that three may be
// lost before the store is back.
const copiesWithout = 4

// keepWithout keeps a turn at several hosts while the store is away for all; one more than the owner is enough.
func (f *Fleet) keepWithout(ctx context.Context, req *fleetpb.EndTurnRequest) bool {
	f.holdTurn(context.WithoutCancel(ctx), req)
	owner := f.owner(f.slotOf(req.Program))
	copies := 1
	if owner != f.self {
		copies++
	}

	return copies+f.copyTurn(ctx, req.Kept, owner, copiesWithout-copies) > 1
}

func (f *Fleet) endOnce(ctx context.Context, req *fleetpb.EndTurnRequest) (*fleetpb.EndTurnReply, error) {
	slot := f.slotOf(req.Program)
	member := f.owner(slot)
	if member == "" {
		return &fleetpb.EndTurnReply{Outcome: fleetpb.Outcome_OUTCOME_NOT_OWNER}, nil
	}
	ctx, cancel := f.whileOwner(ctx, slot, member)
	defer cancel()

	return f.client(member).EndTurn(ctx, req)
}

// settle repeats a settlement until the owner has taken it and what is to be kept is durable.
func (f *Fleet) settle(ctx context.Context, req *fleetpb.EndTurnRequest) {
	ctx, cancel := context.WithTimeout(ctx, settlePatience)
	defer cancel()
	for ctx.Err() == nil {
		reply, err := f.endOnce(ctx, req)
		if err == nil && reply.Outcome == fleetpb.Outcome_OUTCOME_OK && reply.Durable {
			return
		}
		topicconsumer.SleepContext(ctx, settleRetry)
	}
	f.Logger.Info("settlement-given-up", "program", req.Program, "attempt", req.Attempt, "tokens", req.Tokens)
}
