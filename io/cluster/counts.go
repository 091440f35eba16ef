package cluster

import (
	"context"
	"time"

	"cardamomward/core/id"
	"cardamomward/core/tokenbudget"
	"cardamomward/io/fleet/fleetpb"
)

// countCopies is the number of hosts that have a program's count in memory before a turn of it is admitted in an outage of the store,
// including the slot's owner: while fewer than these are lost, a new owner recalls the count.
const countCopies = 4

// HoldCounts stores copies of token counts.
func (srv *slotServer) HoldCounts(_ context.Context, req *fleetpb.HoldCountsRequest) (*fleetpb.HoldCountsReply, error) {
	if srv.cluster.isLeaving.Load() {
		return nil, errDraining
	}
	for _, mark := range req.Marks {
		srv.cluster.recordWatermark(mark.Program, mark.Tokens, mark.Durable)
	}

	return &fleetpb.HoldCountsReply{}, nil
}

// replicateCount copies a program's count to as many staying hosts as hold one in an outage, and reports whether they have it. A small
// fleet has it on all of them. Hosts of earlier releases take no copies.
func (c *Cluster) replicateCount(ctx context.Context, program id.Program, count tokenbudget.Count) bool {
	req := &fleetpb.HoldCountsRequest{Marks: []*fleetpb.ProgramMark{
		{Program: string(program), Tokens: int64(count.Tokens), Durable: int64(count.Durable)},
	}}
	members := c.peers.stayingPeers(c.Now())
	copies := min(countCopies-1, len(members))
	holders := replicate(ctx, members, copies, func(ctx context.Context, member string) error {
		_, err := c.peerClient(member).HoldCounts(ctx, req)
		switch {
		case isUnknownCall(err):
			return nil
		case err != nil:
			c.Logger.Info("count-copy-failed", "program", program, "peer", member, "error", err)
		}

		return err
	})

	return len(holders) >= copies
}

// shareReservation copies the count of a program for which a turn was just admitted to other hosts if the budget depends on it, and
// waits for that only if the turn must not run without the copies. The caller holds the lock, which is released while it waits.
func (s *slot) shareReservation(ctx context.Context, program id.Program, req *fleetpb.BeginTurnRequest) fleetpb.Outcome {
	count := s.ledger.Count(program)
	switch {
	case s.mustReplicateCount(s.cluster.Now(), program, req):
		return s.replicateReservation(ctx, program, req.Attempt)
	case tokenbudget.MayOverspendIfForgotten(count.Tokens, id.Tokens(req.MaxTokens), id.Tokens(req.Budget)):
		go s.cluster.replicateCount(context.WithoutCancel(ctx), program, count)
	}

	return fleetpb.Outcome_OUTCOME_OK
}

// mustReplicateCount reports whether a turn that was just admitted may run only once other hosts have its program's count: the count cannot
// become durable now, or the turn was admitted beyond the durable one. The caller holds the lock.
func (s *slot) mustReplicateCount(now time.Time, program id.Program, req *fleetpb.BeginTurnRequest) bool {
	return s.isDurabilityUnavailable(now) || s.ledger.Undurable(program) > id.Tokens(req.MaxTokens)
}

// replicateReservation copies the count of a program for which a turn was just admitted, and gives the reservation back if too few hosts
// have it. The caller holds the lock, which is released meanwhile.
func (s *slot) replicateReservation(ctx context.Context, program id.Program, attempt string) fleetpb.Outcome {
	count, servingSince := s.ledger.Count(program), s.servingSince
	s.mu.Unlock()
	isReplicated := s.cluster.replicateCount(ctx, program, count)
	s.mu.Lock()
	switch {
	case s.state != serving || !s.servingSince.Equal(servingSince):
		return fleetpb.Outcome_OUTCOME_NOT_OWNER
	case !isReplicated:
		s.ledger.Cancel(program, attempt)

		return fleetpb.Outcome_OUTCOME_UNSURE
	default:
		return fleetpb.Outcome_OUTCOME_OK
	}
}

// shareOwnCount copies the count of a program to other hosts in the background if this host is both its caller's host and the owner of its
// slot: no other host hears of the count then, and the next owner may have to do without the store.
func (c *Cluster) shareOwnCount(ctx context.Context, req *fleetpb.BeginTurnRequest, reply *fleetpb.BeginTurnReply) {
	if req.Budget == 0 || c.slotOwner(c.hashSlot(req.Program)) != c.self {
		return
	}
	ctx = context.WithoutCancel(ctx)
	go c.replicateCount(ctx, id.Program(req.Program), tokenbudget.Count{Tokens: id.Tokens(reply.Mark), Durable: id.Tokens(reply.Durable)})
}

// lostHosts returns for how long each listed host has been silent that is not live and has not stopped, if it was heard within
// budgetRetention.
func (p *peerTable) lostHosts(now time.Time) []time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := p.silenceTimeout()
	var silent []time.Duration
	for _, other := range p.byHost {
		silentFor := now.Sub(other.lastHeardAt)
		if !other.hasLeft && !other.lastHeardAt.IsZero() && silentFor > limit && silentFor < budgetRetention {
			silent = append(silent, silentFor)
		}
	}

	return silent
}
