package eviction

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// SilenceTimeout is the time without a heartbeat from an owner after which it may be evicted. Owners send each other
	// a heartbeat every 100 ms, of which few are lost.
	SilenceTimeout = 450 * time.Millisecond
	// evictionStagger is the delay between the owners in the order in which they evict a silent owner, so that normally
	// only the first one does.
	evictionStagger = 100 * time.Millisecond
)

// Peer is this host's view of another one.
type Peer struct {
	// Member is the address by which hosts identify each other.
	Member string
	// SilentFor is the time since the last heartbeat from the peer.
	SilentFor time.Duration
	// Evicted is set if the peer was evicted since its last heartbeat.
	Evicted bool
}

// SelectEvictions returns the owners that this host should evict now. Only owners evict, because other hosts do not
// receive every heartbeat, and only if they hear from a majority of the owners: an owner that does not may itself be on
// the minority side of a network partition. The owners are given by slot; an empty string stands for no owner.
func SelectEvictions(self string, owners []string, peers []Peer) []string {
	if !slices.Contains(owners, self) || !HearsMajority(self, owners, peers) {
		return nil
	}
	liveOwners := []string{self}
	var silentOwners []Peer
	for _, peer := range peers {
		if !slices.Contains(owners, peer.Member) {
			continue
		}
		switch {
		case peer.SilentFor < SilenceTimeout:
			liveOwners = append(liveOwners, peer.Member)
		case !peer.Evicted:
			silentOwners = append(silentOwners, peer)
		}
	}
	var evictions []string
	for _, peer := range silentOwners {
		if peer.SilentFor >= SilenceTimeout+evictionStagger*time.Duration(evictorRank(self, liveOwners, peer.Member)) {
			evictions = append(evictions, peer.Member)
		}
	}

	return evictions
}

// HearsMajority reports whether a host has had heartbeats from a majority of the owners, itself included, within
// SilenceTimeout; it is always true for a host that owns no slot, because only owners count.
func HearsMajority(self string, owners []string, peers []Peer) bool {
	if !slices.Contains(owners, self) {
		return true
	}
	distinctOwners := make(map[string]struct{}, len(owners))
	for _, owner := range owners {
		if owner != "" {
			distinctOwners[owner] = struct{}{}
		}
	}
	heardCount := 1
	for _, peer := range peers {
		if _, isOwner := distinctOwners[peer.Member]; isOwner && peer.SilentFor < SilenceTimeout {
			heardCount++
		}
	}

	return 2*heardCount > len(distinctOwners)
}

// evictorRank returns this host's position in the order in which the live owners evict a member, which is by a hash
// of owner and member.
func evictorRank(self string, liveOwners []string, member string) int {
	order := slices.Clone(liveOwners)
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(a+member), xxhash.Sum64String(b+member))
	})

	return slices.Index(order, self)
}
