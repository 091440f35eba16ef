package daemon

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"cardamomward/core/id"
	"cardamomward/core/projection"
	"cardamomward/core/slotassignment"
	"cardamomward/io/platform"
)

const (
	// snapshotInterval is how often the host looks for slots that are due for a snapshot.
	snapshotInterval = time.Second
	// snapshotsPerInterval and snapshotBytesPerInterval bound what is restated in one interval.
	snapshotsPerInterval     = 512
	snapshotBytesPerInterval = 2 << 20
	// snapshotWait bounds the appends of one snapshot.
	snapshotWait = 10 * time.Second
)

// snapshotLoop restates the slots of this host before their records expire.
func (h *Host) snapshotLoop(ctx context.Context) { every(ctx, snapshotInterval, h.snapshot) }

func (h *Host) snapshot(ctx context.Context, now time.Time) {
	if !h.programs.Status().CaughtUp || !h.control.Journal.Status().CaughtUp {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotWait)
	defer cancel()
	var group sync.WaitGroup
	defer group.Wait()
	if h.owns(projection.ControlSlot) {
		group.Go(func() { h.snapshotControl(ctx, now) })
	}
	for _, snapshot := range h.dueSnapshots(now) {
		group.Go(func() {
			if err := platform.WriteSnapshot(ctx, h.programs, h.config.Host, snapshot, now); err != nil {
				h.logger.V(1).Info("snapshot-failed", "slot", snapshot.Slot, "error", err)
			}
		})
	}
}

// dueSnapshots returns snapshots of the slots of this host that are due, the oldest first.
func (h *Host) dueSnapshots(now time.Time) []platform.Snapshot {
	var snapshots []platform.Snapshot
	h.programs.ViewAt(func(p *projection.Programs, next id.Offset) {
		var owned []id.Slot
		for number := range id.SlotCount {
			if state := p.Slot(id.Slot(number)); state.State == projection.SlotOwned && state.Owner == h.config.Host {
				owned = append(owned, id.Slot(number))
			}
		}
		size := 0
		for _, number := range slotassignment.SlotsDueForSnapshot(now, h.config.LogRetention, owned, p.LastSnapshot) {
			if len(snapshots) == snapshotsPerInterval || size > snapshotBytesPerInterval {
				return
			}
			message := p.Snapshot(number, next)
			size += proto.Size(message)
			snapshots = append(snapshots, platform.Snapshot{Slot: number, Next: next, Message: message})
		}
	})

	return snapshots
}

func (h *Host) snapshotControl(ctx context.Context, now time.Time) {
	var snapshot platform.Snapshot
	h.control.Journal.ViewAt(func(c *projection.Control, next id.Offset) {
		latest := func(id.Slot) projection.SnapshotMeta { return c.LastSnapshot() }
		if len(slotassignment.SlotsDueForSnapshot(now, h.config.LogRetention, []id.Slot{projection.ControlSlot}, latest)) > 0 {
			snapshot = platform.Snapshot{Slot: projection.ControlSlot, Next: next, Message: c.Snapshot(next)}
		}
	})
	if snapshot.Message == nil {
		return
	}
	if err := platform.WriteSnapshot(ctx, h.control.Journal, h.config.Host, snapshot, now); err != nil {
		h.logger.V(1).Info("snapshot-failed", "stream", platform.ControlStream, "error", err)
	}
}

func (h *Host) owns(number id.Slot) bool {
	owns := false
	h.programs.View(func(p *projection.Programs) {
		state := p.Slot(number)
		owns = state.State == projection.SlotOwned && state.Owner == h.config.Host
	})

	return owns
}
