package id

import "github.com/cespare/xxhash/v2"

// HashSlot returns the slot of a program's or workspace's name, of so many.
func HashSlot(name string, slots int) int {
	return int(xxhash.Sum64String(name) % uint64(slots))
}
