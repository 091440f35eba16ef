package eligibility

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// idleTimeout is the time limit of a membership without a slot.
	idleTimeout = 2 * time.Second
	// largeHostRatio is the fraction of the largest host's cores that a host needs to count as large.
	largeHostRatio = 0.5
	// minLargeHosts is how many large hosts must be live for the small ones to be excluded.
	minLargeHosts = 6
)

// Host is a live host.
type Host struct {
	// ID is the address by which hosts identify each other.
	ID string
	// CPUCores is the number of CPU cores that the host may use, which may be fractional.
	CPUCores float64
}

// View is a host's view of the fleet.
type View struct {
	// Self is the ID of this host.
	Self      string
	SlotCount int
	// LiveHosts are the hosts that this host considers live, itself included.
	LiveHosts []Host
	// SlotOwners holds the ID of the owner of each slot, or an empty string for a slot without one.
	SlotOwners []string
	// IsMember is set while this host is a member; IdleDuration is how long it has owned no slot.
	IsMember     bool
	IdleDuration time.Duration
}

// ShouldBeMember reports whether the host should be a member of the group that owns slots. Members stay while they own
// slots; other hosts take the free places in the order of a hash that is the same on all hosts. In a fleet with enough
// large hosts the small ones are excluded, because every turn of a slot's programs depends on the owner.
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

// MaxSlotsPerHost returns how many slots a host owns at most when all eligible hosts are members; liveHosts must not be
// empty.
func MaxSlotsPerHost(slots int, liveHosts []Host) int {
	eligibleCount := len(eligibleMembers(liveHosts))

	return (slots + eligibleCount - 1) / eligibleCount
}

// eligibleMembers returns the large hosts if there are enough of them, and otherwise all hosts.
func eligibleMembers(liveHosts []Host) []string {
	maxCores := 0.0
	for _, host := range liveHosts {
		maxCores = max(maxCores, host.CPUCores)
	}
	var all, large []string
	for _, host := range liveHosts {
		all = append(all, host.ID)
		if host.CPUCores >= largeHostRatio*maxCores {
			large = append(large, host.ID)
		}
	}
	if len(large) >= minLargeHosts {
		return large
	}

	return all
}
