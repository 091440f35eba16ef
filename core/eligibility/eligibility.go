package eligibility

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// idleLimit is how long a member may own nothing before it stops being one.
	idleLimit = 2 * time.Second
	// largePart is the part of the largest host's size from which on a host counts as large.
	largePart = 0.5
	// fewest is how many large hosts must be there for the small ones to own nothing.
	fewest = 6
)

// Host is a host that is heard.
type Host struct {
	Member string
	// CPUCores is the processor time that it has, in cores.
	CPUCores float64
}

// View is what a host knows when it decides.
type View struct {
	Self string
	// SlotCount is how many slots there are.
	SlotCount int
	// LiveHosts are the hosts that are heard, this one included.
	LiveHosts []Host
	// SlotOwners are the owners of the slots; a slot without one has an empty string.
	SlotOwners []string
	// IsMember is set while this host is a member, and Idle is since when it has owned nothing.
	IsMember     bool
	IdleDuration time.Duration
}

// ShouldBeMember reports whether the host should be a member of the slots' group. Members stay while they own something; others
// take the places that are free, in an order that all hosts compute alike. Where a fleet has enough large hosts, small
// ones own nothing: all turns of a slot's programs depend on its owner.
func ShouldBeMember(v View) bool {
	able := able(v.LiveHosts)
	if !slices.Contains(able, v.Self) {
		return false
	}
	if v.IsMember {
		return v.IdleDuration < idleLimit || len(able) <= v.SlotCount
	}
	owners := make(map[string]bool, v.SlotCount)
	for _, owner := range v.SlotOwners {
		if owner != "" && slices.Contains(able, owner) {
			owners[owner] = true
		}
	}
	free := v.SlotCount - len(owners)
	waiting := slices.DeleteFunc(able, func(host string) bool { return owners[host] })
	slices.SortFunc(waiting, func(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) })

	return slices.Index(waiting, v.Self) < free
}

// MaxSlotsPerHost returns how many slots a host owns at most when all that may own some are members.
func MaxSlotsPerHost(slots int, live []Host) int {
	owners := len(able(live))

	return (slots + owners - 1) / owners
}

// able returns the members that may own slots.
func able(live []Host) []string {
	largest := 0.0
	for _, host := range live {
		largest = max(largest, host.CPUCores)
	}
	var all, large []string
	for _, host := range live {
		all = append(all, host.Member)
		if host.CPUCores >= largePart*largest {
			large = append(large, host.Member)
		}
	}
	if len(large) >= fewest {
		return large
	}

	return all
}
