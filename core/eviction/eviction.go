package eviction

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// SilenceTimeout is how long an owner must be silent to be evicted. Owners send each other a heartbeat every 100 ms,
	// of which few are lost.
	SilenceTimeout = 450 * time.Millisecond
	// evictionStagger is the additional delay of each further host in the order, so that normally one host evicts.
	evictionStagger = 100 * time.Millisecond
)

// Peer is what this host knows of another one.
type Peer struct {
	Member string
	// SilentFor is the time since the peer was last heard from.
	SilentFor time.Duration
	// Evicted is set if the peer was evicted since it was last heard from.
	Evicted bool
}

// SelectEvictions returns the owners that this host should evict now. Only owners evict, because other
// hosts do not receive every heartbeat, and only if they hear from a majority of the owners: without one, this host may
// itself be cut off.
func SelectEvictions(self string, owners []string, peers []Peer) []string {
	if !slices.Contains(owners, self) || !HearsMajority(self, owners, peers) {
		return nil
	}
	live := []string{self}
	var silent []Peer
	for _, peer := range peers {
		if !slices.Contains(owners, peer.Member) {
			continue
		}
		switch {
		case peer.SilentFor < SilenceTimeout:
			live = append(live, peer.Member)
		case !peer.Evicted:
			silent = append(silent, peer)
		}
	}
	var evictions []string
	for _, peer := range silent {
		if peer.SilentFor >= SilenceTimeout+evictionStagger*time.Duration(evictorRank(self, live, peer.Member)) {
			evictions = append(evictions, peer.Member)
		}
	}

	return evictions
}

// HearsMajority reports whether a host hears from a majority of the owners, itself included; it is always true for a host
// that owns no slot, which follows the owners.
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
	heard := 1
	for _, peer := range peers {
		if _, isOwner := distinctOwners[peer.Member]; isOwner && peer.SilentFor < SilenceTimeout {
			heard++
		}
	}

	return 2*heard > len(distinctOwners)
}

// evictorRank returns this host's position in the order in which the live owners evict a member.
func evictorRank(self string, live []string, member string) int {
	order := slices.Clone(live)
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(a+member), xxhash.Sum64String(b+member))
	})

	return slices.Index(order, self)
}
