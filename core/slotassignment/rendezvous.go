package slotassignment

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cardamomward/core/id"
)

// RendezvousTable caches the owner that rendezvous hashing over a set of hosts assigns to each slot.
type RendezvousTable struct {
	hosts  []id.Host
	owners [id.SlotCount]id.Host
}

// Update recomputes the table if the set of hosts has changed; hosts must be sorted.
func (t *RendezvousTable) Update(hosts []id.Host) {
	if slices.Equal(t.hosts, hosts) {
		return
	}
	t.hosts = slices.Clone(hosts)
	seeds := make([]uint64, len(hosts))
	for i, host := range hosts {
		seeds[i] = xxhash.Sum64String(string(host))
	}
	for slot := range t.owners {
		t.owners[slot] = highestScoringHost(hosts, seeds, uint64(slot))
	}
}

// Owner returns the host that should own a slot, or "" if there are no hosts.
func (t *RendezvousTable) Owner(slot id.Slot) id.Host { return t.owners[slot%id.SlotCount] }

func highestScoringHost(hosts []id.Host, seeds []uint64, slot uint64) id.Host {
	var best id.Host
	var bestScore uint64
	var buf [16]byte
	for i, host := range hosts {
		binary.LittleEndian.PutUint64(buf[:8], seeds[i])
		binary.LittleEndian.PutUint64(buf[8:], slot)
		if score := xxhash.Sum64(buf[:]); best == "" || score > bestScore {
			best, bestScore = host, score
		}
	}

	return best
}
