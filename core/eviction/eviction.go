package eviction

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Silence is how long an owner must be silent; owners send each other a beat each 100 ms, of which few get lost.
	Silence = 450 * time.Millisecond
	// step is how much longer each further host in the order waits, so that one call is made where one is enough.
	step = 100 * time.Millisecond
)

// Peer is another host as it is heard.
type Peer struct {
	Member string
	// Silent is how long ago it was last heard.
	Silent time.Duration
	// Evicted is set where it was taken out since it was last heard.
	Evicted bool
}

// Silent returns the owners that this host should take out of the group now. Owners alone do so, and only those that
// hear another host: one that hears none is itself cut off.
func Silent(self string, owners []string, peers []Peer) []string {
	if !slices.Contains(owners, self) {
		return nil
	}
	live := []string{self}
	hears := false
	var silent []Peer
	for _, peer := range peers {
		owns := slices.Contains(owners, peer.Member)
		switch {
		case peer.Silent < Silence:
			hears = true
			if owns {
				live = append(live, peer.Member)
			}
		case owns && !peer.Evicted:
			silent = append(silent, peer)
		}
	}
	if !hears {
		return nil
	}
	var evict []string
	for _, peer := range silent {
		if peer.Silent >= Silence+step*time.Duration(rank(self, live, peer.Member)) {
			evict = append(evict, peer.Member)
		}
	}

	return evict
}

// rank returns this host's place among the live owners in the order in which they take a member out.
func rank(self string, live []string, member string) int {
	order := slices.Clone(live)
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(a+member), xxhash.Sum64String(b+member))
	})

	return slices.Index(order, self)
}
