package daemon

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"cardamomward/core/id"
	"cardamomward/core/projection"
	"cardamomward/core/slotassignment"
	"cardamomward/io/platformclient"
)

const (
	// snapshotInterval is the interval of the checks for slots that are due for a snapshot.
	snapshotInterval = time.Second
	// maxSnapshotsPerInterval and maxSnapshotBytesPerInterval bound the snapshots of one interval.
	maxSnapshotsPerInterval     = 512
	maxSnapshotBytesPerInterval = 2 << 20
	// snapshotTimeout bounds the appends of the snapshots of one interval.
	snapshotTimeout = 10 * time.Second
)

// snapshotLoop writes snapshots of this host's slots before their records expire in the log.
func (h *Host) snapshotLoop(ctx context.Context) {
	runPeriodically(ctx, snapshotInterval, h.writeDueSnapshots)
}

func (h *Host) writeDueSnapshots(ctx context.Context, now time.Time) {
	if !h.programsJournal.Status().CaughtUp || !h.control.Journal.Status().CaughtUp {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	var group sync.WaitGroup
	defer group.Wait()
	if h.ownsSlot(projection.ControlSlot) {
		group.Go(func() { h.writeControlSnapshot(ctx, now) })
	}
	for _, snapshot := range h.dueSnapshots(now) {
		group.Go(func() {
			if err := platformclient.WriteSnapshot(ctx, h.programsJournal, h.config.Host, snapshot, now); err != nil {
				h.logger.V(1).Info("snapshot-failed", "slot", snapshot.Slot, "error", err)
			}
		})
	}
}

// dueSnapshots returns snapshots of this host's slots that are due, the longest overdue first.
func (h *Host) dueSnapshots(now time.Time) []platformclient.Snapshot {
	var snapshots []platformclient.Snapshot
	h.programsJournal.ViewWithOffset(func(p *projection.Programs, next id.Offset) {
		var owned []id.Slot
		for slot := range id.SlotCount {
			if state := p.Slot(id.Slot(slot)); state.State == projection.SlotOwned && state.Owner == h.config.Host {
				owned = append(owned, id.Slot(slot))
			}
		}
		totalBytes := 0
		for _, slot := range slotassignment.SlotsDueForSnapshot(now, h.config.LogRetention, owned, p.LastSnapshot) {
			if len(snapshots) == maxSnapshotsPerInterval || totalBytes > maxSnapshotBytesPerInterval {
				return
			}
			message := p.Snapshot(slot, next)
			totalBytes += proto.Size(message)
			snapshots = append(snapshots, platformclient.Snapshot{Slot: slot, NextOffset: next, Message: message})
		}
	})

	return snapshots
}

func (h *Host) writeControlSnapshot(ctx context.Context, now time.Time) {
	var snapshot platformclient.Snapshot
	h.control.Journal.ViewWithOffset(func(c *projection.Control, next id.Offset) {
		lastSnapshot := func(id.Slot) projection.SnapshotMeta { return c.LastSnapshot() }
		if len(slotassignment.SlotsDueForSnapshot(now, h.config.LogRetention, []id.Slot{projection.ControlSlot}, lastSnapshot)) > 0 {
			snapshot = platformclient.Snapshot{Slot: projection.ControlSlot, NextOffset: next, Message: c.Snapshot(next)}
		}
	})
	if snapshot.Message == nil {
		return
	}
	if err := platformclient.WriteSnapshot(ctx, h.control.Journal, h.config.Host, snapshot, now); err != nil {
		h.logger.V(1).Info("snapshot-failed", "stream", platformclient.ControlStream, "error", err)
	}
}

func (h *Host) ownsSlot(slot id.Slot) bool {
	owned := false
	h.programsJournal.View(func(p *projection.Programs) {
		state := p.Slot(slot)
		owned = state.State == projection.SlotOwned && state.Owner == h.config.Host
	})

	return owned
}
