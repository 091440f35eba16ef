package cluster

import (
	"context"
	"sync"
	"time"

	"cardamomward/core/affinity"
	"cardamomward/core/id"
	"cardamomward/io/fleet/fleetpb"
	"cardamomward/io/follow"
	"cardamomward/io/gateway"
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

var _ gateway.Turns = (*Cluster)(nil)

// BeginTurn reserves a turn's tokens at the owner of its program and returns the chain before the turn.
func (c *Cluster) BeginTurn(ctx context.Context, turn gateway.Turn) gateway.Beginning {
	left := turn.Deadline.Sub(c.Now())
	wait := min(ownerPatience, time.Duration(ownerPart*float64(left)))
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	req := &fleetpb.BeginTurnRequest{
		Workspace: string(turn.Workspace), Program: turn.ProgramName(), Attempt: turn.Request.ID,
		Budget: int64(turn.Request.TokenBudget), MaxTokens: int64(turn.Request.MaxTokens),
		DeadlineMillis: left.Milliseconds(), WaitMillis: wait.Milliseconds(), Line: turn.Request.ResolveAffinityKey(),
	}
	if turn.Retains {
		req.Previous = turn.Request.PreviousTurn
	}
	if c.IsIsolated(c.Now()) {
		return gateway.Beginning{Verdict: gateway.Unsure}
	}
	var found []byte
	for {
		reply, err := c.beginOnce(ctx, req)
		switch {
		case err != nil || reply.Outcome == fleetpb.Outcome_OUTCOME_NOT_OWNER:
			c.wantOwners()
		case reply.Outcome == fleetpb.Outcome_OUTCOME_OK:
			c.noteMark(req.Program, reply.Mark)
			if req.HaveChain {
				reply.Chain = found
			}

			return gateway.Beginning{
				Verdict: gateway.Proceed, Chain: reply.Chain, Begun: reply.Begun,
				Last: affinity.Location{Upstream: id.Upstream(reply.Last), CachedTokens: id.Tokens(reply.Kept)},
			}
		case reply.Outcome == fleetpb.Outcome_OUTCOME_SPENT:
			c.noteMark(req.Program, req.Budget)

			return gateway.Beginning{Verdict: gateway.Spent}
		case reply.Outcome == fleetpb.Outcome_OUTCOME_UNKNOWN_TURN:
			chain, outcome := c.find(ctx, req)
			if outcome == fleetpb.Outcome_OUTCOME_UNKNOWN_TURN {
				return gateway.Beginning{Verdict: gateway.NoSuchTurn}
			}
			if outcome == fleetpb.Outcome_OUTCOME_OK {
				found, req.HaveChain = chain, true

				continue
			}
		}
		if follow.Sleep(ctx, ownerRetry); ctx.Err() != nil {
			c.Logger.Info("owner-unsure", "request", turn.Request.ID, "program", turn.ProgramName(),
				"owner", c.owner(c.slotOf(turn.ProgramName())), "outcome", reply.GetOutcome(), "error", err)
			c.abandon(ctx, req, err)

			return gateway.Beginning{Verdict: gateway.Unsure}
		}
	}
}

// abandon settles a turn that is refused while its owner may have reserved tokens for it.
func (c *Cluster) abandon(ctx context.Context, req *fleetpb.BeginTurnRequest, err error) {
	if err == nil || req.Budget == 0 {
		return
	}
	go c.settle(context.WithoutCancel(ctx), &fleetpb.EndTurnRequest{
		Workspace: req.Workspace, Program: req.Program, Attempt: req.Attempt,
	})
}

// noteMark remembers what the owner said of a program's count.
func (c *Cluster) noteMark(program string, tokens int64) {
	c.heldMu.Lock()
	defer c.heldMu.Unlock()
	c.marks.Report(c.Now(), id.Program(program), id.Tokens(tokens))
}

func (c *Cluster) beginOnce(ctx context.Context, req *fleetpb.BeginTurnRequest) (*fleetpb.BeginTurnReply, error) {
	slot := c.slotOf(req.Program)
	member := c.owner(slot)
	if member == "" {
		return &fleetpb.BeginTurnReply{Outcome: fleetpb.Outcome_OUTCOME_NOT_OWNER}, nil
	}
	ctx, cancel := c.whileOwner(ctx, slot, member)
	defer cancel()

	return c.client(member).BeginTurn(ctx, req)
}

// find looks for a turn at the owners of all slots: a program may continue from another program's turn.
func (c *Cluster) find(ctx context.Context, req *fleetpb.BeginTurnRequest) ([]byte, fleetpb.Outcome) {
	members := make(map[string]struct{})
	for _, member := range c.ownership.Load().owners {
		if member == "" {
			return nil, fleetpb.Outcome_OUTCOME_UNSURE
		}
		members[member] = struct{}{}
	}
	replies := make(chan *fleetpb.FindTurnReply, len(members))
	var asked sync.WaitGroup
	for member := range members {
		asked.Go(func() {
			reply, err := c.client(member).FindTurn(ctx, &fleetpb.FindTurnRequest{Workspace: req.Workspace, Turn: req.Previous})
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
	if len(covered) < len(c.slots) {
		c.wantOwners()

		return nil, fleetpb.Outcome_OUTCOME_UNSURE
	}

	return nil, fleetpb.Outcome_OUTCOME_UNKNOWN_TURN
}

// EndTurn settles a turn at the owner of its program; where the turn is to be kept it reports whether it is.
func (c *Cluster) EndTurn(ctx context.Context, turn gateway.Turn, ending gateway.Ending) bool {
	req := &fleetpb.EndTurnRequest{
		Workspace: string(turn.Workspace), Program: turn.ProgramName(), Tokens: int64(ending.Tokens),
		Line: turn.Request.ResolveAffinityKey(), Upstream: string(ending.Place.Upstream), Cached: int64(ending.Place.CachedTokens),
	}
	if turn.Request.TokenBudget > 0 {
		req.Attempt = turn.Request.ID
	}
	if !turn.Retains || !ending.Whole {
		go c.settle(context.WithoutCancel(ctx), req)

		return true
	}
	req.Kept = &fleetpb.KeptTurn{
		Id: turn.Request.ID, Program: turn.ProgramName(), Workspace: string(turn.Workspace), Previous: turn.Request.PreviousTurn,
		Base: ending.Chain, Input: turn.Request.Body, Output: ending.Output,
		RetentionMillis: turn.Retention.Milliseconds(), EndedUnixMillis: c.Now().UnixMilli(),
	}
	ctx, cancel := context.WithDeadline(ctx, turn.Deadline.Add(-keepReserve))
	defer cancel()
	short := leaveOutBase(req)
	for ctx.Err() == nil {
		reply, err := c.endOnce(ctx, short)
		if err == nil && reply.Outcome == fleetpb.Outcome_OUTCOME_UNKNOWN_TURN {
			short = req

			continue
		}
		if err == nil && reply.Outcome == fleetpb.Outcome_OUTCOME_OK {
			return reply.Durable || c.keepWithout(ctx, req)
		}
		c.wantOwners()
		follow.Sleep(ctx, ownerRetry)
	}
	go c.settle(context.WithoutCancel(ctx), &fleetpb.EndTurnRequest{
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
func (c *Cluster) keepWithout(ctx context.Context, req *fleetpb.EndTurnRequest) bool {
	c.holdTurn(context.WithoutCancel(ctx), req)
	owner := c.owner(c.slotOf(req.Program))
	copies := 1
	if owner != c.self {
		copies++
	}

	return copies+c.copyTurn(ctx, req.Kept, owner, copiesWithout-copies) > 1
}

func (c *Cluster) endOnce(ctx context.Context, req *fleetpb.EndTurnRequest) (*fleetpb.EndTurnReply, error) {
	slot := c.slotOf(req.Program)
	member := c.owner(slot)
	if member == "" {
		return &fleetpb.EndTurnReply{Outcome: fleetpb.Outcome_OUTCOME_NOT_OWNER}, nil
	}
	ctx, cancel := c.whileOwner(ctx, slot, member)
	defer cancel()

	return c.client(member).EndTurn(ctx, req)
}

// settle repeats a settlement until the owner has taken it and what is to be kept is durable.
func (c *Cluster) settle(ctx context.Context, req *fleetpb.EndTurnRequest) {
	ctx, cancel := context.WithTimeout(ctx, settlePatience)
	defer cancel()
	for ctx.Err() == nil {
		reply, err := c.endOnce(ctx, req)
		if err == nil && reply.Outcome == fleetpb.Outcome_OUTCOME_OK && reply.Durable {
			return
		}
		follow.Sleep(ctx, settleRetry)
	}
	c.Logger.Info("settlement-given-up", "program", req.Program, "attempt", req.Attempt, "tokens", req.Tokens)
}
