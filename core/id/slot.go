package id

import "github.com/cespare/xxhash/v2"

// SlotOf returns the slot of a program's or workspace's name, of so many.
func SlotOf(name string, slots int) int {
	return int(xxhash.Sum64String(name) % uint64(slots))
}
