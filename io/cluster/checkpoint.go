package cluster

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"cardamomward/io/fleet/fleetpb"
	"cardamomward/platform"
)

const (
	// checkpointKey is the key of the record that shows until when the owners of a slot could write to it: a slot that nobody uses
	// otherwise looks like one in an outage of the store. Hosts of earlier releases read it as the budget of a program without a name.
	checkpointKey = "c"
	// writtenMark is the mark of checkpoints of slots in which other records have been stored, though all of them may be deleted.
	writtenMark = 1
	// checkpointInterval is the least time between dated records that are written for their dates. It is shorter than the outages in
	// which undurable turns are admitted.
	checkpointInterval = undurableTurnsAfter / 2
	// checkpointCheckInterval is the interval of the checks for slots that need a checkpoint.
	checkpointCheckInterval = 250 * time.Millisecond
)

// checkpointLoop writes the checkpoints of this host's slots until ctx ends.
func (c *Cluster) checkpointLoop(ctx context.Context) {
	ticker := time.NewTicker(checkpointCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := c.Now()
		restartedAt := c.peers.lastRestart()
		for _, s := range c.slots {
			s.writeDueCheckpoint(now, restartedAt)
		}
	}
}

// writeDueCheckpoint writes a checkpoint if the slot has programs or turns and no record of the last checkpointInterval, or none since
// a host has started or left.
func (s *slot) writeDueCheckpoint(now, restartedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	isNeeded := s.ledger.Len() > 0 || s.turns.Len() > 0 || s.datedAt.Before(restartedAt)
	if isNeeded && now.Sub(s.datedAt) >= checkpointInterval && !s.writer.hasPending() {
		s.writeCheckpoint(now, false)
	}
}

// writeCheckpoint queues a dated record behind all others of the slot; the caller holds the lock.
func (s *slot) writeCheckpoint(now time.Time, urgent bool) {
	if s.state != serving || s.isActingOwner || s.isPartial {
		return
	}
	checkpoint := &fleetpb.BudgetMark{WrittenUnixMillis: now.UnixMilli()}
	if !s.isUnwritten {
		checkpoint.Mark = writtenMark
	}
	value, err := proto.Marshal(&fleetpb.Record{LossUnixMillis: s.lossUnixMillis(now), Kind: &fleetpb.Record_Budget{Budget: checkpoint}})
	if err != nil {
		s.cluster.Logger.Error(err, "checkpoint-failed", "slot", s.index)

		return
	}
	s.datedAt = now
	s.writer.enqueue(pendingRecord{record: platform.Record{Key: checkpointKey, Value: value}}, urgent)
}

// writeLastCheckpoints writes checkpoints to all slots of this host before they are released.
func (c *Cluster) writeLastCheckpoints() {
	now := c.Now()
	for _, s := range c.slots {
		s.mu.Lock()
		s.writeCheckpoint(now, true)
		s.mu.Unlock()
	}
}

// recordRestart records when a heartbeat is the first one of a process, or the first one that says that the process has left. The caller
// holds the lock.
func (p *peerTable) recordRestart(now time.Time, sender *peer, heartbeat *fleetpb.Beat) {
	isFirst := sender.lastSequence == 0 || heartbeat.Sequence <= sender.lastSequence
	if isFirst || heartbeat.Left && !sender.hasLeft {
		p.restartHeardAt = now
	}
}

// lastRestart returns when a process of a host was last heard for the first time, or said for the first time that it has left.
func (p *peerTable) lastRestart() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()

	return laterOf(p.startedAt, p.restartHeardAt)
}
