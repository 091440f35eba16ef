package projection

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"cardamomward/core/id"
	"cardamomward/core/record/recordpb"
)

// ControlSlot is the slot whose owner writes the snapshots of the control stream.
const ControlSlot id.Slot = 0

// Snapshot returns the state before the append at next, or nil while it is unknown.
func (c *Control) Snapshot(next id.Offset) *recordpb.ControlSnapshot {
	if c.unknown {
		return nil
	}
	snapshot := &recordpb.ControlSnapshot{Voids: c.rejected.snapshot(next)}
	for _, version := range c.settings {
		snapshot.Settings = append(snapshot.Settings, &recordpb.SettingsSnapshot{
			Version: uint64(version.Version), Base: uint64(version.Base),
			Document: version.Document, Author: version.Author,
		})
	}
	for _, name := range slices.Sorted(maps.Keys(c.keys)) {
		snapshot.Keys = append(snapshot.Keys, c.keys[name].snapshot())
	}
	snapshot.Crashes = c.crashSnapshots(next)
	snapshot.Reservations = c.reservationSnapshots()

	return snapshot
}

func (k *APIKey) snapshot() *recordpb.KeySnapshot {
	return &recordpb.KeySnapshot{
		Issue: &recordpb.KeyIssue{
			Key: string(k.ID), Workspace: string(k.Workspace), Salt: k.salt, Hash: k.hash,
		},
		Issued:    uint64(k.IssuePosition),
		Withdrawn: k.Withdrawn,
	}
}

// LastSnapshot returns the latest complete snapshot; its zero value means that there is none.
func (c *Control) LastSnapshot() SnapshotMeta { return c.lastSnapshot }

// Ready reports whether the settings and API keys are known.
func (c *Control) Ready() bool { return !c.unknown }

// NeedsSnapshot reports whether the state is unknown and has to be restored from a snapshot.
func (c *Control) NeedsSnapshot(id.Slot) bool { return c.unknown }

// Invalidate makes the state unknown until it is restored from a snapshot that includes all records before first.
func (c *Control) Invalidate(first id.Offset) {
	*c = Control{unknown: true, firstReadOffset: first}
}

// Restore loads a snapshot and applies the queued records that follow it.
func (c *Control) Restore(_ id.Slot, meta SnapshotMeta, data []byte) error {
	if meta.NextOffset >= c.lastSnapshot.NextOffset {
		c.lastSnapshot = meta
	}
	if !c.unknown || data == nil || meta.NextOffset < c.firstReadOffset {
		return nil
	}
	var snapshot recordpb.ControlSnapshot
	if err := proto.Unmarshal(data, &snapshot); err != nil {
		return ErrInvalidSnapshot.Wrap(err, "decode snapshot of the control stream")
	}
	c.unknown = false
	c.restoreSnapshot(&snapshot)
	pending := c.pending
	c.pending = nil
	for _, r := range pending {
		if r.pos.Offset() >= meta.NextOffset {
			c.applyKnown(r.pos, r.rec)
		}
	}

	return nil
}

func (c *Control) restoreSnapshot(snapshot *recordpb.ControlSnapshot) {
	c.rejected.restore(snapshot.GetVoids())
	for _, version := range snapshot.GetSettings() {
		c.settings = append(c.settings, SettingsVersion{
			Version: id.Position(version.GetVersion()), Base: id.Position(version.GetBase()),
			Author: version.GetAuthor(), Document: version.GetDocument(),
		})
	}
	c.keys = make(map[id.APIKey]*APIKey, len(snapshot.GetKeys()))
	for _, key := range snapshot.GetKeys() {
		c.applyKeyIssue(id.Position(key.GetIssued()), key.GetIssue())
		c.keys[id.APIKey(key.GetIssue().GetKey())].Withdrawn = key.GetWithdrawn()
	}
	c.restoreCrashes(snapshot.GetCrashes())
	c.restoreReservations(snapshot.GetReservations())
}
