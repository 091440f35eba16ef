package slot

import (
	"cmp"
	"slices"
	"time"

	"cardamomward/core/id"
	"cardamomward/core/projection"
)

// dueParts is the part of the retention after which the first slots are due for a snapshot again.
const dueParts = 4

// Due returns the slots whose latest snapshot is old enough for a new one, the oldest first.
// A slot is due between a quarter and a half of the retention after its latest snapshot, spread by its number.
func Due(now time.Time, retention time.Duration, slots []id.Slot, latest func(id.Slot) projection.SnapshotMeta) []id.Slot {
	type candidate struct {
		slot id.Slot
		at   int64
	}
	var due []candidate
	for _, slot := range slots {
		mark := latest(slot)
		age := now.Sub(time.UnixMilli(mark.WrittenUnixMillis))
		if mark.WrittenUnixMillis != 0 && age >= 0 && age < dueAge(slot, retention) {
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

func dueAge(slot id.Slot, retention time.Duration) time.Duration {
	part := retention / dueParts

	return part + part*time.Duration(slot)/id.SlotCount
}
