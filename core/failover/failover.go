package failover

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// ActingOwner returns the member that acts as the owner of a slot: its owner if that is up, or else the live owner of
// another slot with the highest hash. It is empty if the slot has never had an owner or all owners are down.
func ActingOwner(slot int, owners []string, isDown func(member string) bool) string {
	owner := owners[slot]
	if owner == "" || !isDown(owner) {
		return owner
	}
	actingOwner := ""
	var highestWeight uint64
	for _, member := range owners {
		if member == "" || isDown(member) {
			continue
		}
		if weight := xxhash.Sum64String(strconv.Itoa(slot) + " " + member); actingOwner == "" || weight > highestWeight {
			actingOwner, highestWeight = member, weight
		}
	}

	return actingOwner
}
