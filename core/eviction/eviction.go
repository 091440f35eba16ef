package eviction

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// SilenceTimeout is how long an owner must be silent; owners send each other a beat each 100 ms, of which few get lost.
	SilenceTimeout = 450 * time.Millisecond
	// step is how much longer each further host in the order waits, so that one call is made where one is enough.
	step = 100 * time.Millisecond
)

// Peer is another host as it is heard.
type Peer struct {
	Member string
	// SilentFor is how long ago it was last heard.
	SilentFor time.Duration
	// Evicted is set where it was taken out since it was last heard.
	Evicted bool
}

// SelectEvictions returns the owners that this host should take out of the group now. Owners alone do so, and only those that
// hear most of the owners: the others are cut off themselves, or cannot tell.
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
	var evict []string
	for _, peer := range silent {
		if peer.SilentFor >= SilenceTimeout+step*time.Duration(rank(self, live, peer.Member)) {
			evict = append(evict, peer.Member)
		}
	}

	return evict
}

// HearsMajority reports whether a host hears most of the owners, itself included; one that owns nothing follows the owners.
func HearsMajority(self string, owners []string, peers []Peer) bool {
	if !slices.Contains(owners, self) {
		return true
	}
	all := make(map[string]struct{}, len(owners))
	for _, owner := range owners {
		if owner != "" {
			all[owner] = struct{}{}
		}
	}
	heard := 1
	for _, peer := range peers {
		if _, owns := all[peer.Member]; owns && peer.SilentFor < SilenceTimeout {
			heard++
		}
	}

	return 2*heard > len(all)
}

// rank returns this host's place among the live owners in the order in which they take a member out.
func rank(self string, live []string, member string) int {
	order := slices.Clone(live)
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(a+member), xxhash.Sum64String(b+member))
	})

	return slices.Index(order, self)
}
