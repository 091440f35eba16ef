package slotassignment

import (
	"cmp"
	"slices"
	"time"

	"cardamomward/core/id"
	"cardamomward/core/projection"
)

// snapshotAgeDivisor divides the retention of the log into the age from which on the first slots are due again.
const snapshotAgeDivisor = 4

// SlotsDueForSnapshot returns the slots that need a new snapshot, those with the oldest one first. Depending on its
// number, a slot is due between a quarter and a half of the log's retention after its latest snapshot, so that
// snapshots are spread over time.
func SlotsDueForSnapshot(now time.Time, retention time.Duration, slots []id.Slot, latest func(id.Slot) projection.SnapshotMeta) []id.Slot {
	type candidate struct {
		slot id.Slot
		at   int64
	}
	var due []candidate
	for _, slot := range slots {
		mark := latest(slot)
		age := now.Sub(time.UnixMilli(mark.WrittenUnixMillis))
		if mark.WrittenUnixMillis != 0 && age >= 0 && age < minSnapshotAge(slot, retention) {
			continue
		}
		due = append(due, candidate{slot: slot, at: mark.WrittenUnixMillis})
	}
	slices.SortStableFunc(due, func(a, b candidate) int { return cmp.Compare(a.at, b.at) })
	out := make([]id.Slot, len(due))
	for i, c := range due {
		out[i] = c.slot
	}

	return out
}

func minSnapshotAge(slot id.Slot, retention time.Duration) time.Duration {
	part := retention / snapshotAgeDivisor

	return part + part*time.Duration(slot)/id.SlotCount
}
