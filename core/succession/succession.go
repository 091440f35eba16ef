package succession

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Deputy returns the owner that acts for a slot: its own, or one of the others where that is gone. It is empty where
// there is none.
func Deputy(slot int, owners []string, gone func(member string) bool) string {
	owner := owners[slot]
	if owner == "" || !gone(owner) {
		return owner
	}
	deputy := ""
	var highest uint64
	for _, member := range owners {
		if member == "" || gone(member) {
			continue
		}
		if weight := xxhash.Sum64String(strconv.Itoa(slot) + " " + member); deputy == "" || weight > highest {
			deputy, highest = member, weight
		}
	}

	return deputy
}
