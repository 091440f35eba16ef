package cluster

import (
	"context"
	"slices"
	"time"

	"cardamomward/core/id"
	"cardamomward/io/fleet/fleetpb"
)

const (
	// maxConfirmations bounds the comparisons with the store that a request causes.
	maxConfirmations = 2
	// silentHolderTimeout is the silence after which a host counts as lost with the turns that it holds.
	silentHolderTimeout = 20 * time.Second
)

// turnSearch is the search for the turn that a request continues.
type turnSearch struct {
	cluster       *Cluster
	workspace     string
	turn          string
	confirmations int
}

// find looks up a turn in all slots, since a program may continue a turn of another program, and among the turns that
// hosts hold until they are durable. The outcome is OUTCOME_UNKNOWN_TURN only if every slot and every live host has reported
// that it lacks the turn.
func (search *turnSearch) find(ctx context.Context) ([]byte, fleetpb.Outcome) {
	c := search.cluster
	req := &fleetpb.FindTurnRequest{Workspace: search.workspace, Turn: search.turn}
	owners := slices.Compact(slices.Sorted(slices.Values(c.ownership.Load().owners)))
	transcript, outcome := c.findTurnAt(ctx, owners, len(c.slots), req)
	if outcome != fleetpb.Outcome_OUTCOME_UNKNOWN_TURN {
		c.requestOwnersRefresh()

		return transcript, outcome
	}
	now := c.Now()
	if c.peers.hasSilentHost(now) || search.confirmations >= maxConfirmations {
		return nil, fleetpb.Outcome_OUTCOME_UNSURE
	}
	others := slices.DeleteFunc(append(c.peers.livePeers(now), c.self), func(member string) bool { return slices.Contains(owners, member) })
	transcript, outcome = c.findTurnAt(ctx, others, 0, req)
	if outcome != fleetpb.Outcome_OUTCOME_UNKNOWN_TURN {
		return transcript, outcome
	}
	search.confirmations++
	req.Confirm = true

	return c.findTurnAt(ctx, owners, len(c.slots), req)
}

// findTurnAt looks up a turn at members. It is missing only if all of them respond and, together, vouch for at
// least requiredSlots slots.
func (c *Cluster) findTurnAt(ctx context.Context, members []string, requiredSlots int, req *fleetpb.FindTurnRequest) ([]byte, fleetpb.Outcome) {
	// A slot without an owner is not vouched for, but the turn may be in another one.
	members = slices.DeleteFunc(slices.Clone(members), func(member string) bool { return member == "" })
	replies := make(chan *fleetpb.FindTurnReply, len(members))
	for _, member := range members {
		go func() {
			reply, err := c.peerClient(member).FindTurn(ctx, req)
			if err != nil {
				reply = &fleetpb.FindTurnReply{Outcome: fleetpb.Outcome_OUTCOME_UNSURE}
			}
			replies <- reply
		}()
	}
	outcome := fleetpb.Outcome_OUTCOME_UNKNOWN_TURN
	searchedSlots := make(map[int32]struct{})
	for range members {
		reply := <-replies
		switch reply.Outcome {
		case fleetpb.Outcome_OUTCOME_OK:
			return reply.Chain, reply.Outcome
		case fleetpb.Outcome_OUTCOME_UNKNOWN_TURN:
		default:
			outcome = fleetpb.Outcome_OUTCOME_UNSURE
		}
		if req.Confirm && !reply.Confirmed {
			continue
		}
		for _, slot := range reply.Slots {
			searchedSlots[slot] = struct{}{}
		}
	}
	if len(searchedSlots) < requiredSlots {
		return nil, fleetpb.Outcome_OUTCOME_UNSURE
	}

	return nil, outcome
}

// FindTurn looks up a turn among those that this host holds and in its slots, and returns the slots for which the result is
// authoritative.
func (srv *slotServer) FindTurn(ctx context.Context, req *fleetpb.FindTurnRequest) (*fleetpb.FindTurnReply, error) {
	c := srv.cluster
	reply, err := c.findHeldTurn(ctx, req)
	if err != nil {
		return nil, err
	}
	if reply.Outcome != fleetpb.Outcome_OUTCOME_UNKNOWN_TURN || !c.mayServeSlots(c.Now()) {
		return reply, nil
	}
	if transcript, ok, err := c.findStoredTurn(ctx, req); ok || err != nil {
		return &fleetpb.FindTurnReply{Outcome: fleetpb.Outcome_OUTCOME_OK, Chain: transcript}, err
	}
	if c.hasIncompleteTurn(req) {
		return &fleetpb.FindTurnReply{Outcome: fleetpb.Outcome_OUTCOME_UNSURE}, nil
	}
	for _, s := range c.authoritativeSlots() {
		reply.Slots = append(reply.Slots, int32(s.index))
	}
	if !req.Confirm {
		return reply, nil
	}
	reply.Slots, reply.Confirmed = c.confirmSlots(ctx, reply.Slots), true
	if transcript, ok, err := c.findStoredTurn(ctx, req); ok || err != nil {
		return &fleetpb.FindTurnReply{Outcome: fleetpb.Outcome_OUTCOME_OK, Chain: transcript}, err
	}

	return reply, nil
}

// hasIncompleteTurn reports whether this host has the turn in a slot, but not all turns before it, or not all of their text in memory.
func (c *Cluster) hasIncompleteTurn(req *fleetpb.FindTurnRequest) bool {
	return slices.ContainsFunc(c.slots, func(s *slot) bool {
		s.mu.Lock()
		defer s.mu.Unlock()

		return s.state == serving && s.turns.Contains(id.Workspace(req.Workspace), req.Turn)
	})
}

// findStoredTurn looks up a turn in the slots that this host serves. It fails if there is no memory for a reply with the turn.
func (c *Cluster) findStoredTurn(ctx context.Context, req *fleetpb.FindTurnRequest) (transcript []byte, ok bool, err error) {
	for _, s := range c.slots {
		if transcript, ok, err = s.findTurn(ctx, req); ok || err != nil {
			return transcript, ok, err
		}
	}

	return nil, false, nil
}

func (s *slot) findTurn(ctx context.Context, req *fleetpb.FindTurnRequest) (transcript []byte, ok bool, err error) {
	workspace := id.Workspace(req.Workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != serving || !s.turns.HasTranscript(workspace, req.Turn) {
		return nil, false, nil
	}

	return s.residentTranscript(ctx, workspace, req.Turn)
}

// authoritativeSlots returns the slots of which this host may say that a turn that is not there does not exist.
func (c *Cluster) authoritativeSlots() []*slot {
	now := c.Now()

	return slices.DeleteFunc(slices.Clone(c.slots), func(s *slot) bool {
		s.mu.Lock()
		defer s.mu.Unlock()

		return !s.isAuthoritative(now)
	})
}

// findHeldTurn looks up a turn among those that this host holds until they are durable. It is unsure about one that it holds
// without the prior transcript.
func (c *Cluster) findHeldTurn(ctx context.Context, req *fleetpb.FindTurnRequest) (*fleetpb.FindTurnReply, error) {
	c.heldMu.Lock()
	defer c.heldMu.Unlock()
	held, ok := c.heldTurns[req.Turn]
	if !ok || held.turn.Workspace != req.Workspace {
		return &fleetpb.FindTurnReply{Outcome: fleetpb.Outcome_OUTCOME_UNKNOWN_TURN}, nil
	}
	turn := held.turn
	if turn.Previous != "" && len(turn.Base) == 0 {
		return &fleetpb.FindTurnReply{Outcome: fleetpb.Outcome_OUTCOME_UNSURE}, nil
	}
	if !reserveTranscript(ctx, len(turn.Base)+len(turn.Input)+len(turn.Output)) {
		return nil, errNoMemory
	}

	return &fleetpb.FindTurnReply{Outcome: fleetpb.Outcome_OUTCOME_OK, Chain: slices.Concat(turn.Base, turn.Input, turn.Output)}, nil
}

// hasSilentHost reports whether a listed host is silent, but was heard so recently that it may still hold turns.
func (p *peerTable) hasSilentHost(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := p.silenceTimeout()
	for _, other := range p.byHost {
		silentFor := now.Sub(laterOf(other.lastHeardAt, other.listedAt))
		if silentFor > limit && silentFor < max(limit, silentHolderTimeout) {
			return true
		}
	}

	return false
}
