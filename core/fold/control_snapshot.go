package fold

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"cardamomward/core/id"
	"cardamomward/core/record/recordpb"
)

// ControlSlot is the slot whose owner writes the snapshots of the control stream.
const ControlSlot id.Slot = 0

// Snapshot restates the control stream before the append at next; it is nil while the state is unknown.
func (c *Control) Snapshot(next id.Offset) *recordpb.ControlSnapshot {
	if c.lost {
		return nil
	}
	snapshot := &recordpb.ControlSnapshot{Voids: c.voids.snapshot(next)}
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

func (k *KeyState) snapshot() *recordpb.KeySnapshot {
	return &recordpb.KeySnapshot{
		Issue: &recordpb.KeyIssue{
			Key: string(k.Key), Workspace: string(k.Workspace), Salt: k.salt, Hash: k.hash,
		},
		Issued:    uint64(k.Issued),
		Withdrawn: k.Withdrawn,
	}
}

// LastSnapshot returns the latest complete snapshot; its zero value means that there is none.
func (c *Control) LastSnapshot() SnapshotMark { return c.snapshot }

// Complete reports whether the settings and keys are known.
func (c *Control) Complete() bool { return !c.lost }

// Wants reports whether a snapshot is needed.
func (c *Control) Wants(id.Slot) bool { return c.lost }

// Lose makes the state unknown until a snapshot that reaches first restores it.
func (c *Control) Lose(first id.Offset) {
	*c = Control{lost: true, since: first}
}

// Restore takes over a snapshot and folds what was read after it.
func (c *Control) Restore(_ id.Slot, mark SnapshotMark, data []byte) error {
	if mark.Next >= c.snapshot.Next {
		c.snapshot = mark
	}
	if !c.lost || data == nil || mark.Next < c.since {
		return nil
	}
	var snapshot recordpb.ControlSnapshot
	if err := proto.Unmarshal(data, &snapshot); err != nil {
		return ErrSnapshot.Wrap(err, "decode snapshot of the control stream")
	}
	c.lost = false
	c.take(&snapshot)
	pending := c.pending
	c.pending = nil
	for _, r := range pending {
		if r.pos.Offset() >= mark.Next {
			c.apply(r.pos, r.rec)
		}
	}

	return nil
}

func (c *Control) take(snapshot *recordpb.ControlSnapshot) {
	c.voids.restore(snapshot.GetVoids())
	for _, version := range snapshot.GetSettings() {
		c.settings = append(c.settings, SettingsVersion{
			Version: id.Position(version.GetVersion()), Base: id.Position(version.GetBase()),
			Author: version.GetAuthor(), Document: version.GetDocument(),
		})
	}
	c.keys = make(map[id.Key]*KeyState, len(snapshot.GetKeys()))
	for _, key := range snapshot.GetKeys() {
		c.issue(id.Position(key.GetIssued()), key.GetIssue())
		c.keys[id.Key(key.GetIssue().GetKey())].Withdrawn = key.GetWithdrawn()
	}
	c.takeCrashes(snapshot.GetCrashes())
	c.takeReservations(snapshot.GetReservations())
}
