package slotassignment

import (
	"cmp"
	"slices"
	"time"

	"cardamomward/core/id"
	"cardamomward/core/projection"
)

// snapshotAgeDivisor is the part of the retention after which the first slots are due for a snapshot again.
const snapshotAgeDivisor = 4

// SlotsDueForSnapshot returns the slots whose latest snapshot is old enough for a new one, the oldest first.
// A slot is due between a quarter and a half of the retention after its latest snapshot, spread by its number.
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
