package cluster

import (
	"context"
	"sync"
	"time"

	"cardamomward/io/fleet/fleetpb"
	"cardamomward/io/topicconsumer"
)

const (
	// handOverInterval is the interval of a draining host's searches for turns that only it may have.
	handOverInterval = 100 * time.Millisecond
	// handOverConcurrency bounds the turns that are copied at the same time.
	handOverConcurrency = 16
	// handOverCopies is the number of staying hosts that a turn is copied to, so that two of them may fail before it is durable.
	handOverCopies = 3
)

// turnHandover tracks which turns a draining host has copied to hosts that stay; its zero value is ready to use.
type turnHandover struct {
	mu     sync.Mutex
	copied map[string]struct{}
}

func (h *turnHandover) has(turn string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, ok := h.copied[turn]

	return ok
}

func (h *turnHandover) add(turn string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.copied == nil {
		h.copied = make(map[string]struct{})
	}
	h.copied[turn] = struct{}{}
}

// handOverLoop copies the turns that are not durable to hosts that stay while this host drains, until ctx ends.
func (c *Cluster) handOverLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if c.isLeaving.Load() {
			c.handOverTurns(ctx)
		}
		topicconsumer.SleepContext(ctx, handOverInterval)
	}
}

func (c *Cluster) handOverTurns(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	free := make(chan struct{}, handOverConcurrency)
	for _, turn := range c.turnsToHandOver() {
		free <- struct{}{}
		wg.Go(func() {
			defer func() { <-free }()
			c.handOverTurn(ctx, turn)
		})
	}
}

// handOverTurn copies a turn to handOverCopies hosts that stay, or to all of them.
func (c *Cluster) handOverTurn(ctx context.Context, turn *fleetpb.KeptTurn) {
	members := c.peers.stayingPeers(c.Now())
	copies := min(handOverCopies, len(members))
	if copies > 0 && len(c.replicateTurn(ctx, turn, members, copies)) >= copies {
		c.handover.add(turn.Id)
	}
}

// turnsToHandOver returns the turns that may be lost when this host stops: those that it holds, and those of its slots
// that cannot become durable now.
func (c *Cluster) turnsToHandOver() []*fleetpb.KeptTurn {
	var turns []*fleetpb.KeptTurn
	for _, s := range c.slots {
		turns = append(turns, s.stuckTurns(c.Now())...)
	}
	c.heldMu.Lock()
	for _, held := range c.heldTurns {
		turns = append(turns, held.turn)
	}
	c.heldMu.Unlock()
	var remaining []*fleetpb.KeptTurn
	seen := make(map[string]struct{}, len(turns))
	for _, turn := range turns {
		if _, ok := seen[turn.Id]; ok || c.handover.has(turn.Id) {
			continue
		}
		seen[turn.Id] = struct{}{}
		remaining = append(remaining, turn)
	}

	return remaining
}

// CountTurnsToHandOver returns how many turns may be lost if this draining host stops now.
func (c *Cluster) CountTurnsToHandOver() int {
	return len(c.turnsToHandOver())
}
