package cluster

import (
	"context"
	"time"

	"cardamomward/core/affinity"
	"cardamomward/core/id"
	"cardamomward/core/tokenbudget"
	"cardamomward/io/fleet/fleetpb"
	"cardamomward/io/reverseproxy"
	"cardamomward/io/topicconsumer"
)

const (
	// maxOwnerWait bounds how long a turn waits for a response of its slot's owner.
	maxOwnerWait = 700 * time.Millisecond
	// ownerWaitShare is the fraction of a caller's remaining time that a turn may wait for its owner, so that a rejected
	// caller has time to retry.
	ownerWaitShare = 0.3
	// ownerRetryInterval is the retry interval of calls to an owner.
	ownerRetryInterval = 50 * time.Millisecond
	// settleTimeout bounds the retries of an EndTurn call that no caller waits for and that has no turn to store.
	settleTimeout = 20 * time.Second
	// settleCallTimeout bounds one of the calls. It is longer than an owner waits for a turn to become durable, and covers the transfer of
	// a large transcript. A call to an owner that restarts may otherwise wait until the connection is found dead.
	settleCallTimeout = 2 * time.Second
	// settleRetryInterval is the interval of those retries.
	settleRetryInterval = 200 * time.Millisecond
	// deadlineReserve is how long before a caller's deadline the wait for a turn to become durable ends.
	deadlineReserve = 50 * time.Millisecond
)

var _ reverseproxy.TurnService = (*Cluster)(nil)

// BeginTurn reserves a turn's tokens at the owner of its program and returns the turn's prior transcript.
func (c *Cluster) BeginTurn(ctx context.Context, turn reverseproxy.Turn) reverseproxy.BeginResult {
	timeLeft := turn.Deadline.Sub(c.Now())
	wait := min(maxOwnerWait, time.Duration(ownerWaitShare*float64(timeLeft)))
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	req := &fleetpb.BeginTurnRequest{
		Workspace: string(turn.Workspace), Program: turn.ProgramKey(), Attempt: turn.Request.ID,
		Budget: int64(turn.Request.TokenBudget), MaxTokens: int64(turn.Request.MaxTokens),
		DeadlineMillis: timeLeft.Milliseconds(), WaitMillis: wait.Milliseconds(), Line: turn.Request.ResolveAffinityKey(),
	}
	if turn.RetainsContext {
		req.Previous = turn.Request.PreviousTurn
	}
	if c.IsIsolated(c.Now()) {
		return reverseproxy.BeginResult{Status: reverseproxy.OwnerUnavailable}
	}
	search := turnSearch{cluster: c, workspace: req.Workspace, turn: req.Previous}
	var foundTranscript []byte
	for {
		reply, err := c.tryBeginTurn(ctx, req)
		switch {
		case isTooManyPrograms(err):
			return reverseproxy.BeginResult{Status: reverseproxy.TooManyPrograms}
		case err != nil || reply.Outcome == fleetpb.Outcome_OUTCOME_NOT_OWNER:
			c.requestOwnersRefresh()
		case reply.Outcome == fleetpb.Outcome_OUTCOME_OK:
			c.recordWatermark(req.Program, reply.Mark, reply.Durable)
			c.shareOwnCount(ctx, req, reply)
			if req.HaveChain {
				reply.Chain = foundTranscript
			}

			return reverseproxy.BeginResult{
				Status: reverseproxy.TurnAllowed, PriorTranscript: reply.Chain, ContinuesProgram: reply.Begun,
				LastLocation: affinity.Location{Upstream: id.Upstream(reply.Last), CachedTokens: id.Tokens(reply.Kept)},
			}
		case reply.Outcome == fleetpb.Outcome_OUTCOME_SPENT:
			c.recordWatermark(req.Program, req.Budget, reply.Durable)

			return reverseproxy.BeginResult{Status: reverseproxy.BudgetExhausted}
		case reply.Outcome == fleetpb.Outcome_OUTCOME_UNKNOWN_TURN:
			transcript, outcome := search.find(ctx)
			if outcome == fleetpb.Outcome_OUTCOME_UNKNOWN_TURN {
				slot := c.hashSlot(req.Program)
				c.Logger.Info("turn-missing", "request", turn.Request.ID, "program", req.Program, "previous", req.Previous,
					"slot", slot, "owner", c.slotOwner(slot))

				return reverseproxy.BeginResult{Status: reverseproxy.PreviousTurnNotFound}
			}
			if outcome == fleetpb.Outcome_OUTCOME_OK {
				foundTranscript, req.HaveChain = transcript, true

				continue
			}
		}
		if topicconsumer.SleepContext(ctx, ownerRetryInterval); ctx.Err() != nil {
			c.Logger.Info("owner-unsure", "request", turn.Request.ID, "program", turn.ProgramKey(),
				"owner", c.slotOwner(c.hashSlot(turn.ProgramKey())), "outcome", reply.GetOutcome(), "error", err)
			c.cancelReservation(ctx, req, err)

			return reverseproxy.BeginResult{Status: reverseproxy.OwnerUnavailable}
		}
	}
}

// cancelReservation settles a rejected turn with zero tokens if the last call to its owner failed, since the owner may
// have reserved tokens for it.
func (c *Cluster) cancelReservation(ctx context.Context, req *fleetpb.BeginTurnRequest, err error) {
	if err == nil || req.Budget == 0 {
		return
	}
	go c.settleUntilDurable(context.WithoutCancel(ctx), &fleetpb.EndTurnRequest{
		Workspace: req.Workspace, Program: req.Program, Attempt: req.Attempt,
	})
}

// recordWatermark stores the token count of a program that its owner reported.
func (c *Cluster) recordWatermark(program string, tokens, durable int64) {
	c.heldMu.Lock()
	defer c.heldMu.Unlock()
	c.programWatermarks.Report(c.Now(), id.Program(program), tokenbudget.Count{Tokens: id.Tokens(tokens), Durable: id.Tokens(durable)})
}

func (c *Cluster) tryBeginTurn(ctx context.Context, req *fleetpb.BeginTurnRequest) (*fleetpb.BeginTurnReply, error) {
	slot := c.hashSlot(req.Program)
	member := c.slotOwner(slot)
	if member == "" {
		return &fleetpb.BeginTurnReply{Outcome: fleetpb.Outcome_OUTCOME_NOT_OWNER}, nil
	}
	ctx, cancel := c.withOwnerContext(ctx, slot, member)
	defer cancel()

	return c.peerClient(member).BeginTurn(ctx, req)
}

// EndTurn settles a turn's token reservation and stores the turn, if it is to be retained, at the owner of its program. It
// returns false only if a turn that is to be retained was not stored before the caller's deadline.
func (c *Cluster) EndTurn(ctx context.Context, turn reverseproxy.Turn, result reverseproxy.TurnResult) bool {
	req := &fleetpb.EndTurnRequest{
		Workspace: string(turn.Workspace), Program: turn.ProgramKey(), Tokens: int64(result.OutputTokens),
		Line: turn.Request.ResolveAffinityKey(), Upstream: string(result.Location.Upstream), Cached: int64(result.Location.CachedTokens),
	}
	if turn.Request.TokenBudget > 0 {
		req.Attempt = turn.Request.ID
	}
	if !turn.RetainsContext || !result.IsComplete {
		go c.settleUntilDurable(context.WithoutCancel(ctx), req)

		return true
	}
	req.Kept = &fleetpb.KeptTurn{
		Id: turn.Request.ID, Program: turn.ProgramKey(), Workspace: string(turn.Workspace), Previous: turn.Request.PreviousTurn,
		Base: result.PriorTranscript, Input: turn.Request.Body, Output: result.Output,
		RetentionMillis: turn.Retention.Milliseconds(), EndedUnixMillis: c.Now().UnixMilli(),
	}
	ctx, cancel := context.WithDeadline(ctx, turn.Deadline.Add(-deadlineReserve))
	defer cancel()
	shortReq := requestWithoutTranscript(req)
	for ctx.Err() == nil {
		reply, err := c.tryEndTurn(ctx, shortReq)
		if err == nil && reply.Outcome == fleetpb.Outcome_OUTCOME_UNKNOWN_TURN && shortReq != req {
			shortReq = req

			continue
		}
		if err == nil && reply.Outcome == fleetpb.Outcome_OUTCOME_OK {
			return reply.Durable || c.awaitDurableTurn(ctx, requestWithoutSettlement(req))
		}
		c.requestOwnersRefresh()
		topicconsumer.SleepContext(ctx, ownerRetryInterval)
	}
	go c.settleUntilDurable(context.WithoutCancel(ctx), &fleetpb.EndTurnRequest{
		Workspace: req.Workspace, Program: req.Program, Attempt: req.Attempt, Tokens: req.Tokens,
	})

	return false
}

// requestWithoutTranscript returns the request without the turn's prior transcript, which the owner usually has.
func requestWithoutTranscript(req *fleetpb.EndTurnRequest) *fleetpb.EndTurnRequest {
	if len(req.Kept.Base) == 0 {
		return req
	}

	return &fleetpb.EndTurnRequest{
		Workspace: req.Workspace, Program: req.Program, Attempt: req.Attempt, Tokens: req.Tokens,
		Kept: turnWithoutTranscript(req.Kept), Line: req.Line, Upstream: req.Upstream, Cached: req.Cached,
	}
}

// requestWithoutSettlement returns the request for a turn whose tokens its owner has settled: a later owner counts them by the
// program's watermark, and would count them twice.
func requestWithoutSettlement(req *fleetpb.EndTurnRequest) *fleetpb.EndTurnRequest {
	return &fleetpb.EndTurnRequest{
		Workspace: req.Workspace, Program: req.Program, Kept: req.Kept, Line: req.Line, Upstream: req.Upstream, Cached: req.Cached,
	}
}

// awaitDurableTurn waits until a turn that its owner has in memory is durable, and reports whether that was before ctx ended. A turn
// counts for its caller from the end of its response, and copies in the memory of hosts do not outlive the loss of these hosts. Its
// owner may be lost meanwhile, so this host sends the turn to the next one.
func (c *Cluster) awaitDurableTurn(ctx context.Context, req *fleetpb.EndTurnRequest) bool {
	held := c.holdUntilDurable(ctx, req, minStatusInterval)
	select {
	case <-ctx.Done():
		c.Logger.Info("turn-not-durable", "turn", req.Kept.Id, "program", req.Program, "error", ctx.Err())

		return false
	case <-held.settled:
		return held.isDurable
	}
}

// tryEndTurn calls the owner of a turn's program once.
func (c *Cluster) tryEndTurn(ctx context.Context, req *fleetpb.EndTurnRequest) (*fleetpb.EndTurnReply, error) {
	slot := c.hashSlot(req.Program)
	member := c.slotOwner(slot)
	if member == "" {
		return &fleetpb.EndTurnReply{Outcome: fleetpb.Outcome_OUTCOME_NOT_OWNER}, nil
	}
	ctx, cancel := c.withOwnerContext(ctx, slot, member)
	defer cancel()

	return c.peerClient(member).EndTurn(ctx, req)
}

// settleUntilDurable retries an EndTurn call until the owner has accepted it, for up to settleTimeout.
func (c *Cluster) settleUntilDurable(ctx context.Context, req *fleetpb.EndTurnRequest) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for ctx.Err() == nil && !c.isStopped.Load() {
		reply, err := c.endTurnWithTimeout(ctx, req)
		if err == nil && reply.Outcome == fleetpb.Outcome_OUTCOME_OK && reply.Durable {
			return
		}
		if err != nil || reply.Outcome == fleetpb.Outcome_OUTCOME_NOT_OWNER {
			c.requestOwnersRefresh()
		}
		topicconsumer.SleepContext(ctx, settleRetryInterval)
	}
	c.Logger.Info("settlement-given-up", "program", req.Program, "attempt", req.Attempt, "tokens", req.Tokens)
}
