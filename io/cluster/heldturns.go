package cluster

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/twitchtv/twirp"

	"cardamomward/core/id"
	"cardamomward/io/fleet/fleetpb"
	"cardamomward/io/topicconsumer"
)

const (
	// minStatusInterval and maxStatusInterval bound the interval at which a holder asks the owner about a turn; it doubles while the
	// owner has the turn in memory only.
	minStatusInterval = settleRetryInterval
	maxStatusInterval = 1600 * time.Millisecond
	// maxPushDelay bounds the random delay before a holder sends a turn that its owner lacks, so that the first of several holders
	// spares the others the transfer.
	maxPushDelay = 200 * time.Millisecond
	// maxHoldTime bounds how long a host holds a copy of a turn, which it does until the end of the turn's retention.
	maxHoldTime = budgetRetention
	// maxConcurrentPushes bounds the turns that a host sends to owners at the same time: on a slow link more of them time out.
	maxConcurrentPushes = 4
)

// heldTurn is a copy of a turn that is not known to be durable.
type heldTurn struct {
	turn *fleetpb.KeptTurn
	// settled is closed when the host stops holding the turn; isDurable is set before if the turn is durable then.
	settled   chan struct{}
	isDurable bool
}

// holdUntilDurable holds a turn in memory and makes sure that its owner has it until it is durable, its retention ends or ctx ends. The
// owner is asked at intervals of up to maxInterval.
func (c *Cluster) holdUntilDurable(ctx context.Context, req *fleetpb.EndTurnRequest, maxInterval time.Duration) *heldTurn {
	c.heldMu.Lock()
	defer c.heldMu.Unlock()
	if held, ok := c.heldTurns[req.Kept.Id]; ok {
		if len(req.Kept.Base) > 0 || len(held.turn.Base) == 0 {
			held.turn = req.Kept
		}

		return held
	}
	held := &heldTurn{turn: req.Kept, settled: make(chan struct{})}
	c.heldTurns[req.Kept.Id] = held
	go func() {
		isDurable := c.settleHeldTurn(ctx, req, held, maxInterval)
		c.heldMu.Lock()
		defer c.heldMu.Unlock()
		delete(c.heldTurns, req.Kept.Id)
		held.isDurable = isDurable
		close(held.settled)
	}()

	return held
}

// settleHeldTurn asks the owner of a held turn whether it is durable, and sends the turn only to an owner that lacks it: in an
// outage, several hosts hold each turn with its transcript, and sending these again and again takes all bandwidth of small owners.
// It returns false if the turn is not durable after holdTime.
func (c *Cluster) settleHeldTurn(ctx context.Context, req *fleetpb.EndTurnRequest, held *heldTurn, maxInterval time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, holdTime(req.Kept))
	defer cancel()
	interval := minStatusInterval
	for isMissing := false; ctx.Err() == nil && !c.isStopped.Load(); {
		reply, err := c.askTurnStatus(ctx, req)
		switch {
		case isUnknownCall(err), err == nil && isMissing && reply.Outcome == fleetpb.Outcome_OUTCOME_UNKNOWN_TURN:
			if c.pushHeldTurn(ctx, req, held) {
				return true
			}
			isMissing, interval = false, minStatusInterval
		case err != nil || reply.Outcome == fleetpb.Outcome_OUTCOME_NOT_OWNER:
			c.requestOwnersRefresh()
			isMissing, interval = false, minStatusInterval
		case reply.Outcome == fleetpb.Outcome_OUTCOME_UNKNOWN_TURN:
			isMissing = true
			topicconsumer.SleepContext(ctx, rand.N(maxPushDelay))

			continue
		case reply.Durable:
			return true
		default:
			interval = min(2*interval, maxInterval)
		}
		topicconsumer.SleepContext(ctx, interval/2+rand.N(interval))
	}
	c.Logger.Info("copy-given-up", "program", req.Program, "turn", req.Kept.Id)

	return false
}

// holdTime returns for how long a host holds a copy of a turn: until the end of its retention, however long the outage takes in which
// it was answered.
func holdTime(turn *fleetpb.KeptTurn) time.Duration {
	return min(maxHoldTime, max(settleTimeout, time.Duration(turn.RetentionMillis)*time.Millisecond))
}

// isUnknownCall reports whether a peer of an earlier release does not know the call.
func isUnknownCall(err error) bool {
	var callErr twirp.Error

	return errors.As(err, &callErr) && callErr.Code() == twirp.BadRoute
}

// pushHeldTurn sends a held turn to its owner, and reports whether it is durable there.
func (c *Cluster) pushHeldTurn(ctx context.Context, req *fleetpb.EndTurnRequest, held *heldTurn) bool {
	select {
	case <-ctx.Done():
		return false
	case c.pushSlots <- struct{}{}:
	}
	defer func() { <-c.pushSlots }()
	c.heldMu.Lock()
	turn := held.turn
	c.heldMu.Unlock()
	whole := &fleetpb.EndTurnRequest{
		Workspace: req.Workspace, Program: req.Program, Kept: turn, Line: req.Line, Upstream: req.Upstream, Cached: req.Cached,
	}
	// Most owners have the previous turn, and need no transcript.
	reply, err := c.endTurnWithTimeout(ctx, requestWithoutTranscript(whole))
	if err == nil && reply.Outcome == fleetpb.Outcome_OUTCOME_UNKNOWN_TURN {
		reply, err = c.endTurnWithTimeout(ctx, whole)
	}

	return err == nil && reply.Outcome == fleetpb.Outcome_OUTCOME_OK && reply.Durable
}

// endTurnWithTimeout calls the owner once, for settleCallTimeout at most.
func (c *Cluster) endTurnWithTimeout(ctx context.Context, req *fleetpb.EndTurnRequest) (*fleetpb.EndTurnReply, error) {
	ctx, cancel := context.WithTimeout(ctx, settleCallTimeout)
	defer cancel()

	return c.tryEndTurn(ctx, req)
}

// askTurnStatus asks the owner of a turn's program whether it has the turn.
func (c *Cluster) askTurnStatus(ctx context.Context, req *fleetpb.EndTurnRequest) (*fleetpb.TurnStatusReply, error) {
	slot := c.hashSlot(req.Program)
	member := c.slotOwner(slot)
	if member == "" {
		return &fleetpb.TurnStatusReply{Outcome: fleetpb.Outcome_OUTCOME_NOT_OWNER}, nil
	}
	ctx, cancelTimeout := context.WithTimeout(ctx, settleCallTimeout)
	defer cancelTimeout()
	ctx, cancel := c.withOwnerContext(ctx, slot, member)
	defer cancel()

	return c.peerClient(member).TurnStatus(ctx, &fleetpb.TurnStatusRequest{Workspace: req.Workspace, Program: req.Program, Turn: req.Kept.Id})
}

// TurnStatus reports whether this host has a turn in its slot, and waits until it is durable unless the store is unavailable.
func (srv *slotServer) TurnStatus(ctx context.Context, req *fleetpb.TurnStatusRequest) (*fleetpb.TurnStatusReply, error) {
	s := srv.cluster.slots[srv.cluster.hashSlot(req.Program)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ensureServing(ctx, srv.cluster.Now()) {
		return &fleetpb.TurnStatusReply{Outcome: fleetpb.Outcome_OUTCOME_NOT_OWNER}, nil
	}
	durable, isPending := s.pendingTurns[req.Turn]
	switch {
	case isPending:
		reply := s.awaitDurable(ctx, durable)

		return &fleetpb.TurnStatusReply{Outcome: reply.Outcome, Durable: reply.Durable}, nil
	case s.turns.HasTranscript(id.Workspace(req.Workspace), req.Turn):
		return &fleetpb.TurnStatusReply{Outcome: fleetpb.Outcome_OUTCOME_OK, Durable: true}, nil
	default:
		return &fleetpb.TurnStatusReply{Outcome: fleetpb.Outcome_OUTCOME_UNKNOWN_TURN}, nil
	}
}
