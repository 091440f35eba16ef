package id

import "github.com/cespare/xxhash/v2"

// HashSlot returns the slot of a name for a number of slots that is known only at run time; other slots are of type Slot.
func HashSlot(name string, slotCount int) int {
	return int(xxhash.Sum64String(name) % uint64(slotCount))
}
