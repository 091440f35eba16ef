package id

import "github.com/cespare/xxhash/v2"

// HashSlot returns the slot of a name, out of a given number of slots.
func HashSlot(name string, slots int) int {
	return int(xxhash.Sum64String(name) % uint64(slots))
}
