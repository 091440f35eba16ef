package slotassignment

import (
	"cmp"
	"slices"
	"time"

	"cardamomward/core/id"
	"cardamomward/core/projection"
)

// snapshotAgeDivisor is the ratio of the log's retention to the snapshot age at which the first slots are due again.
const snapshotAgeDivisor = 4

// SlotsDueForSnapshot returns the slots that need a new snapshot, those with the oldest one first. Depending on its
// number, a slot is due between a quarter and a half of the log's retention after its latest snapshot, so that
// snapshots are spread over time.
func SlotsDueForSnapshot(now time.Time, retention time.Duration, slots []id.Slot, latest func(id.Slot) projection.SnapshotMeta) []id.Slot {
	type candidate struct {
		slot              id.Slot
		writtenUnixMillis int64
	}
	var due []candidate
	for _, slot := range slots {
		meta := latest(slot)
		age := now.Sub(time.UnixMilli(meta.WrittenUnixMillis))
		if meta.WrittenUnixMillis != 0 && age >= 0 && age < minSnapshotAge(slot, retention) {
			continue
		}
		due = append(due, candidate{slot: slot, writtenUnixMillis: meta.WrittenUnixMillis})
	}
	slices.SortStableFunc(due, func(a, b candidate) int { return cmp.Compare(a.writtenUnixMillis, b.writtenUnixMillis) })
	out := make([]id.Slot, len(due))
	for i, c := range due {
		out[i] = c.slot
	}

	return out
}

func minSnapshotAge(slot id.Slot, retention time.Duration) time.Duration {
	minAge := retention / snapshotAgeDivisor

	return minAge + minAge*time.Duration(slot)/id.SlotCount
}
