package eligibility

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// idleTimeout is how long a member may own no slot before it leaves the group.
	idleTimeout = 2 * time.Second
	// largeHostRatio is the size relative to the largest host from which on a host counts as large.
	largeHostRatio = 0.5
	// minLargeHosts is how many large hosts must be live for the small ones to be excluded.
	minLargeHosts = 6
)

// Host is a live host.
type Host struct {
	Member string
	// CPUCores is the processor time of the host in cores.
	CPUCores float64
}

// View is a host's view of the fleet.
type View struct {
	Self      string
	SlotCount int
	// LiveHosts are the hosts that are heard from, including this one.
	LiveHosts []Host
	// SlotOwners holds the owner of each slot, or an empty string for a slot without one.
	SlotOwners []string
	// IsMember is set while this host is a member; IdleDuration is how long it has owned no slot.
	IsMember     bool
	IdleDuration time.Duration
}

// ShouldBeMember reports whether the host should be a member of the group that owns slots. Members stay while they own
// slots; other hosts take the free places in a hash order that all hosts compute alike. In a fleet with enough large hosts
// the small ones are excluded, because every turn of a slot's programs depends on the owner.
func ShouldBeMember(v View) bool {
	eligible := eligibleMembers(v.LiveHosts)
	if !slices.Contains(eligible, v.Self) {
		return false
	}
	if v.IsMember {
		return v.IdleDuration < idleTimeout || len(eligible) <= v.SlotCount
	}
	owners := make(map[string]bool, v.SlotCount)
	for _, owner := range v.SlotOwners {
		if owner != "" && slices.Contains(eligible, owner) {
			owners[owner] = true
		}
	}
	freePlaces := v.SlotCount - len(owners)
	candidates := slices.DeleteFunc(eligible, func(member string) bool { return owners[member] })
	slices.SortFunc(candidates, func(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) })

	return slices.Index(candidates, v.Self) < freePlaces
}

// MaxSlotsPerHost returns how many slots a host owns at most when all eligible hosts are members.
func MaxSlotsPerHost(slots int, liveHosts []Host) int {
	owners := len(eligibleMembers(liveHosts))

	return (slots + owners - 1) / owners
}

// eligibleMembers returns the large hosts if there are enough of them, and otherwise all hosts.
func eligibleMembers(liveHosts []Host) []string {
	maxCores := 0.0
	for _, host := range liveHosts {
		maxCores = max(maxCores, host.CPUCores)
	}
	var all, large []string
	for _, host := range liveHosts {
		all = append(all, host.Member)
		if host.CPUCores >= largeHostRatio*maxCores {
			large = append(large, host.Member)
		}
	}
	if len(large) >= minLargeHosts {
		return large
	}

	return all
}
