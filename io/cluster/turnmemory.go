package cluster

import (
	"context"
	"sync/atomic"
	"time"

	"cardamomward/core/turnstore"
	"cardamomward/io/fleet/fleetpb"
)

const (
	// turnShare is the part of a host's memory for the text of the retained turns of its slots. The text of the largest ones is evicted
	// beyond it, and read from the store when a turn continues them.
	turnShare = 8
	// undurableCopies is the number of copies of the text of a turn that waits to become durable.
	undurableCopies = 2
	// evictionInterval is the interval of evictions while the text that was read for continuations is kept.
	evictionInterval = 250 * time.Millisecond
	// excessCheckInterval is the interval of the checks whether the text that was read for a continuation has been evicted.
	excessCheckInterval = 10 * time.Millisecond
	// largeLoadBytes is the memory that the load of a slot of several pages takes while it assembles a turn, and maxLargeLoads bounds these
	// loads at a host whose memory is not known.
	largeLoadBytes = 8 << 20
	maxLargeLoads  = 16
)

// turnMemory bounds the text of retained turns that a host has in memory.
type turnMemory struct {
	// limit is zero if there is none.
	limit    int64
	resident atomic.Int64
	// undurable is the text of the turns that wait to become durable, each of which is also in a record that is to be written.
	undurable atomic.Int64
	// exceeded triggers an eviction.
	exceeded chan struct{}
	// largeLoads bounds the loads of slots of several pages, and reloads the continuations whose turns are read.
	largeLoads chan struct{}
	reloads    chan struct{}
}

// newTurnMemory returns the memory for turns of a host with some bytes, zero if that is unknown.
func newTurnMemory(bytes int64) *turnMemory {
	limit, loads := bytes/turnShare, maxLargeLoads
	if limit > 0 {
		loads = int(max(1, min(maxLargeLoads, limit/largeLoadBytes)))
	}

	return &turnMemory{
		limit: limit, exceeded: make(chan struct{}, 1), largeLoads: make(chan struct{}, loads), reloads: make(chan struct{}, 1),
	}
}

// add counts text that has come into memory, or has left it.
func (m *turnMemory) add(bytes int) {
	if resident := m.resident.Add(int64(bytes)); bytes > 0 && m.limit > 0 && resident > m.limit {
		m.requestEviction()
	}
}

func (m *turnMemory) requestEviction() {
	select {
	case m.exceeded <- struct{}{}:
	default:
	}
}

// tryAdd counts text that is read with a slot, unless that would exceed the limit, and reports whether it did. Large turns, which come
// first in the order of keys, leave half of the limit to others.
func (m *turnMemory) tryAdd(bytes int, isLarge bool) bool {
	limit := m.limit
	if isLarge {
		limit /= 2
	}
	if resident := m.resident.Add(int64(bytes)); m.limit == 0 || resident <= limit {
		return true
	}
	m.resident.Add(-int64(bytes))

	return false
}

// hasRoom reports whether another turn may wait to become durable. One may, whatever its size.
func (m *turnMemory) hasRoom(bytes int) bool {
	undurable := m.undurable.Load()

	return m.limit == 0 || undurable == 0 || undurable+int64(bytes) <= m.limit/undurableCopies
}

// excess returns the bytes beyond the limit, or zero.
func (m *turnMemory) excess() int {
	if m.limit == 0 {
		return 0
	}

	return int(max(0, m.resident.Load()-m.limit))
}

// awaitNoExcess waits until the limit is met, for a time at most. Text that was read for one continuation may exceed it, but not that
// of several.
func (m *turnMemory) awaitNoExcess(limit time.Duration) {
	for waited := time.Duration(0); waited < limit && m.excess() > 0; waited += excessCheckInterval {
		time.Sleep(excessCheckInterval)
	}
}

// countTurns counts the text of the slot's turns in the host's memory; the caller holds the lock.
func (s *slot) countTurns() {
	resident := s.turns.ResidentBytes()
	s.cluster.turnMemory.add(resident - s.countedTurnBytes)
	s.countedTurnBytes = resident
}

// countUndurable counts text of turns that wait to become durable, or have ceased to; the caller holds the lock.
func (s *slot) countUndurable(bytes int) {
	s.undurableBytes += bytes
	s.cluster.turnMemory.undurable.Add(int64(bytes))
}

// textBytes returns the size of the text of a turn.
func textBytes(kept *fleetpb.KeptTurn) int {
	return len(kept.Base) + len(kept.Input) + len(kept.Output)
}

// evictTurnsLoop evicts text of turns while it exceeds its memory, until ctx ends.
func (c *Cluster) evictTurnsLoop(ctx context.Context) {
	ticker := time.NewTicker(evictionInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-c.turnMemory.exceeded:
		}
		c.evictTurns(c.Now())
	}
}

// evictTurns evicts the largest durable turns of all slots until the limit is met.
func (c *Cluster) evictTurns(now time.Time) {
	excess := c.turnMemory.excess()
	if excess == 0 {
		return
	}
	var candidates []turnstore.Candidate
	for _, s := range c.slots {
		s.mu.Lock()
		candidates = s.turns.Candidates(now, s.index, candidates)
		s.mu.Unlock()
	}
	selected := turnstore.SelectEvictions(candidates, excess)
	for _, candidate := range selected {
		s := c.slots[candidate.Slot]
		s.mu.Lock()
		s.turns.Evict(candidate.Turn)
		s.countTurns()
		s.mu.Unlock()
	}
	if len(selected) > 0 {
		c.Logger.V(1).Info("turns-evicted", "turns", len(selected), "excess", excess, "resident", c.turnMemory.resident.Load())
	}
}
