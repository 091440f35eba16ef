package cluster

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"cardamomward/core/id"
	"cardamomward/core/tokenbudget"
	"cardamomward/io/fleet/fleetpb"
)

const (
	// stateTransferTimeout bounds the wait of a new owner for the hosts' in-memory state, and a call that copies a turn to a
	// peer.
	stateTransferTimeout = 200 * time.Millisecond
	// authoritativeAfter is how long a new owner must have served before it may say that a turn does not exist: until
	// then, hosts may hold turns that its predecessor did not receive.
	authoritativeAfter = 3 * time.Second
	// maxRecalledTurnBytes bounds the turns of a reply to a new owner, which waits for stateTransferTimeout: a link of 22 Mbit/s carries
	// four times as much in it, and new owners ask several hosts for several slots. Holders send the other turns to the owner.
	maxRecalledTurnBytes = 128 << 10
)

// Recall returns the watermarks and turns of a slot that this host has in memory.
func (srv *slotServer) Recall(ctx context.Context, req *fleetpb.RecallRequest) (*fleetpb.RecallReply, error) {
	c := srv.cluster
	c.heldMu.Lock()
	defer c.heldMu.Unlock()
	now := c.Now()
	reply := &fleetpb.RecallReply{Complete: c.remembersAllPrograms(now), AgeMillis: now.Sub(c.peers.startedAt).Milliseconds()}
	for program, count := range c.programWatermarks.Recent(now, budgetRetention) {
		if c.hashSlot(string(program)) == int(req.Slot) {
			reply.Marks = append(reply.Marks, &fleetpb.ProgramMark{Program: string(program), Tokens: int64(count.Tokens), Durable: int64(count.Durable)})
		}
	}
	turnBytes := 0
	for turn, held := range c.heldTurns {
		switch {
		case c.hashSlot(held.turn.Program) != int(req.Slot):
		case req.ById:
			reply.TurnIds = append(reply.TurnIds, turn)
		case len(req.Turns) == 0 || slices.Contains(req.Turns, turn):
			if size := proto.Size(held.turn); turnBytes+size <= maxRecalledTurnBytes {
				turnBytes += size
				reply.Turns = append(reply.Turns, held.turn)
			}
		}
	}
	countReply(ctx, proto.Size(reply))

	return reply, nil
}

// remembersAllPrograms reports whether this host has the watermarks of all programs that it has served and that may return.
func (c *Cluster) remembersAllPrograms(now time.Time) bool {
	return c.Settings.FirstStart || now.Sub(c.peers.startedAt) >= budgetRetention
}

const (
	// clockSkewMargin bounds how much the clocks of two hosts differ.
	clockSkewMargin = 500 * time.Millisecond
	// minRestartDelay is the least time between the end of a process and the start of the next one on its host.
	minRestartDelay = 200 * time.Millisecond
)

// rememberedSince returns since when enough hosts remember the counts of programs, or zero if they remember those of all programs. Turns
// that were admitted before, and that are not durable, may be forgotten: as many hosts as hold a count, or a majority of a small fleet,
// have been lost since, by the time for which each host has remembered counts.
func rememberedSince(now time.Time, ages []time.Duration) time.Time {
	if len(ages) == 0 {
		return now
	}
	ages = slices.Sorted(slices.Values(ages))
	age := ages[min(countCopies-1, (len(ages)-1)/2)] //nolint:mnd // a majority
	if age >= budgetRetention {
		return time.Time{}
	}

	return now.Add(-age)
}

// memoryAges returns for how long each host has remembered counts. A host that did not respond, or is not heard any more, has lost the
// counts of before.
func (s inMemoryState) memoryAges() []time.Duration {
	ages := slices.Clone(s.silentFor)
	for _, reply := range s.replies {
		if reply.GetComplete() {
			ages = append(ages, budgetRetention)
		} else {
			ages = append(ages, time.Duration(reply.GetAgeMillis())*time.Millisecond)
		}
	}

	return ages
}

// inMemoryState is the state of a slot that hosts have in memory: the reply of each member, or nil if there was none in time.
type inMemoryState struct {
	members []string
	replies []*fleetpb.RecallReply
	// silentFor is for how long each listed host has not been heard that is not live, was not stopped, and was heard within budgetRetention.
	silentFor []time.Duration
}

// collectInMemoryState collects the state of a slot that all hosts have in memory, with the ids of the turns that they hold. It waits
// for stateTransferTimeout at most.
func (c *Cluster) collectInMemoryState(ctx context.Context, slot int) inMemoryState {
	select {
	case <-ctx.Done():
	case <-c.peers.hostListRead:
	}
	members := append(c.peers.livePeers(c.Now()), c.self)
	requests := make(map[string]*fleetpb.RecallRequest, len(members))
	for _, member := range members {
		requests[member] = &fleetpb.RecallRequest{Slot: int32(slot), ById: true}
	}
	replies := c.recall(ctx, requests)
	state := inMemoryState{members: members, silentFor: c.peers.lostHosts(c.Now())}
	for _, member := range members {
		state.replies = append(state.replies, replies[member])
	}

	return state
}

// recall calls members at the same time, and returns the replies that arrive within stateTransferTimeout.
func (c *Cluster) recall(ctx context.Context, requests map[string]*fleetpb.RecallRequest) map[string]*fleetpb.RecallReply {
	ctx, cancel := context.WithTimeout(ctx, stateTransferTimeout)
	defer cancel()
	var mu sync.Mutex
	replies := make(map[string]*fleetpb.RecallReply, len(requests))
	var wg sync.WaitGroup
	for member, req := range requests {
		wg.Go(func() {
			reply, err := c.peerClient(member).Recall(ctx, req)
			if err != nil {
				c.Logger.Info("recall-failed", "slot", req.Slot, "peer", member, "error", err)

				return
			}
			mu.Lock()
			defer mu.Unlock()
			replies[member] = reply
		})
	}
	wg.Wait()

	return replies
}

// fetchHeldTurns returns the held turns that are not known, each from one of its holders: four hosts hold each turn of an outage,
// and a link of 30 Mbit/s takes seconds for all copies. Holders send what is not fetched in time once they find it missing.
func (c *Cluster) fetchHeldTurns(ctx context.Context, slot int, state inMemoryState, known map[string]struct{}) []*fleetpb.KeptTurn {
	requests := make(map[string]*fleetpb.RecallRequest)
	requested := make(map[string]struct{})
	var turns []*fleetpb.KeptTurn
	for _, i := range rand.Perm(len(state.members)) {
		// Hosts of earlier releases reply with the turns themselves.
		turns = append(turns, state.replies[i].GetTurns()...)
		for _, turn := range state.replies[i].GetTurnIds() {
			_, isKnown := known[turn]
			_, isRequested := requested[turn]
			if isKnown || isRequested {
				continue
			}
			requested[turn] = struct{}{}
			member := state.members[i]
			if requests[member] == nil {
				requests[member] = &fleetpb.RecallRequest{Slot: int32(slot)}
			}
			requests[member].Turns = append(requests[member].Turns, turn)
		}
	}
	for _, reply := range c.recall(ctx, requests) {
		turns = append(turns, reply.Turns...)
	}

	return turns
}

// mergeInMemoryState adds the hosts' in-memory state to the state read from the store; the caller holds the lock.
func (s *slot) mergeInMemoryState(now time.Time, replies []*fleetpb.RecallReply, turns []*fleetpb.KeptTurn) {
	for _, reply := range replies {
		for _, mark := range reply.GetMarks() {
			count := tokenbudget.Count{Tokens: id.Tokens(mark.Tokens)}
			if s.isPartial {
				count.Durable = id.Tokens(mark.Durable)
			}
			raised := s.ledger.RaiseTo(id.Program(mark.Program), count, now.Add(budgetRetention))
			if raised.Tokens > 0 {
				s.writeWatermark(now, raised, false)
			}
		}
	}
	for _, turn := range turns {
		if !s.turns.HasTranscript(id.Workspace(turn.Workspace), turn.Id) && s.hasPriorTranscript(turn) {
			s.storeTurn(now, turn)
		}
	}
}

// errDraining is the response to a copy that would be lost soon.
var errDraining = twirp.NewError(twirp.Unavailable, "the host is draining")

// Hold stores a copy of a turn and sends it to the owner until it is durable.
func (srv *slotServer) Hold(ctx context.Context, req *fleetpb.HoldRequest) (*fleetpb.HoldReply, error) {
	if srv.cluster.isLeaving.Load() {
		return nil, errDraining
	}
	srv.cluster.holdUntilDurable(context.WithoutCancel(ctx), &fleetpb.EndTurnRequest{
		Workspace: req.Turn.Workspace, Program: req.Turn.Program, Kept: req.Turn,
	}, maxStatusInterval)

	return &fleetpb.HoldReply{}, nil
}

// replicateTurn copies a turn to the given number of members, and returns those that have it.
func (c *Cluster) replicateTurn(ctx context.Context, turn *fleetpb.KeptTurn, members []string, copies int) []string {
	return replicate(ctx, members, copies, func(ctx context.Context, member string) error {
		_, err := c.peerClient(member).Hold(ctx, &fleetpb.HoldRequest{Turn: turn})
		if err != nil {
			c.Logger.Info("copy-failed", "turn", turn.Id, "peer", member, "error", err)
		}

		return err
	})
}

// replicate calls members in random order until the given number of calls has succeeded, and returns the members that succeeded. Calls
// that are needed run at the same time.
func replicate(ctx context.Context, members []string, copies int, call func(ctx context.Context, member string) error) []string {
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	var mu sync.Mutex
	var holders []string
	for len(members) > 0 && len(holders) < copies && ctx.Err() == nil {
		batch := members[:min(len(members), copies-len(holders))]
		members = members[len(batch):]
		var wg sync.WaitGroup
		for _, member := range batch {
			wg.Go(func() {
				callCtx, cancel := context.WithTimeout(ctx, stateTransferTimeout)
				defer cancel()
				if call(callCtx, member) != nil {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				holders = append(holders, member)
			})
		}
		wg.Wait()
	}

	return holders
}
