package candidacy

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// idleLimit is how long a member may own nothing before it stops being one.
const idleLimit = 2 * time.Second

// View is what a host knows when it decides.
type View struct {
	Self string
	// Slots is how many slots there are.
	Slots int
	// Live are the hosts that are heard, this one included.
	Live []string
	// Owners are the owners of the slots; a slot without one has an empty string.
	Owners []string
	// Member is set while this host is a member, and Idle is since when it has owned nothing.
	Member bool
	Idle   time.Duration
}

// Take reports whether the host should be a member of the slots' group. Members stay while they own something; others
// take the places that are free, in an order that all hosts compute alike.
func Take(v View) bool {
	if v.Member {
		return v.Idle < idleLimit || len(v.Live) <= v.Slots
	}
	owners := make(map[string]bool, v.Slots)
	for _, owner := range v.Owners {
		if owner != "" && slices.Contains(v.Live, owner) {
			owners[owner] = true
		}
	}
	free := v.Slots - len(owners)
	waiting := slices.DeleteFunc(slices.Clone(v.Live), func(host string) bool { return owners[host] })
	slices.SortFunc(waiting, func(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) })

	return slices.Index(waiting, v.Self) < free
}
