package id

import "github.com/cespare/xxhash/v2"

// HashSlot hashes a name to one of slotCount slots. It serves slots whose number is known only at run time, which are not of
// type Slot.
func HashSlot(name string, slotCount int) int {
	return int(xxhash.Sum64String(name) % uint64(slotCount))
}
