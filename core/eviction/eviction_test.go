package eviction_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/eviction"
)

func newMembers(n int) []string {
	list := make([]string, 0, n)
	for i := range n {
		list = append(list, fmt.Sprintf("10.0.0.%d:7780", i))
	}

	return list
}

// newPeers returns the peers of a host with their silence, which is at least 50 ms.
func newPeers(self string, all []string, silent map[string]time.Duration) []eviction.Peer {
	var peers []eviction.Peer
	for _, member := range all {
		if member != self {
			peers = append(peers, eviction.Peer{Member: member, SilentFor: max(50*time.Millisecond, silent[member])})
		}
	}

	return peers
}

func TestOneHostEvictsDeadOwnerWithinHalfASecond(t *testing.T) {
	all := newMembers(12)
	for _, dead := range all {
		evictors := 0
		for _, self := range all {
			if self == dead {
				continue
			}
			for _, member := range eviction.SelectEvictions(self, all, newPeers(self, all, map[string]time.Duration{dead: 500 * time.Millisecond})) {
				require.Equal(t, dead, member)
				evictors++
			}
		}
		require.Equal(t, 1, evictors)
	}
}

func TestOtherOwnersEvictIfFirstDoesNot(t *testing.T) {
	all := newMembers(12)
	evictors := 0
	for _, self := range all[1:] {
		evictors += len(eviction.SelectEvictions(self, all, newPeers(self, all, map[string]time.Duration{all[0]: 2 * time.Second})))
	}
	require.Equal(t, 11, evictors)
}

func TestMinorityEvictsNoOwner(t *testing.T) {
	all := newMembers(12)
	silent := make(map[string]time.Duration)
	for _, member := range all[6:] {
		silent[member] = time.Minute
	}
	require.False(t, eviction.HearsMajority(all[0], all, newPeers(all[0], all, silent)), "half of the owners is no majority")
	require.Empty(t, eviction.SelectEvictions(all[0], all, newPeers(all[0], all, silent)))
	delete(silent, all[6])
	require.True(t, eviction.HearsMajority(all[0], all, newPeers(all[0], all, silent)))
	require.True(t, eviction.HearsMajority("another", all, nil), "a host that owns no slot follows the owners")
	require.True(t, eviction.HearsMajority(all[0], all[:1], nil))
}

func TestIsolatedHostEvictsNoOwner(t *testing.T) {
	all := newMembers(12)
	silent := make(map[string]time.Duration)
	for _, member := range all {
		silent[member] = time.Minute
	}
	require.Empty(t, eviction.SelectEvictions(all[0], all, newPeers(all[0], all, silent)))
}

func TestLateHeartbeatsCauseNoEviction(t *testing.T) {
	all := newMembers(12)
	require.Empty(t, eviction.SelectEvictions(all[0], all, newPeers(all[0], all, map[string]time.Duration{all[1]: 400 * time.Millisecond})))
}

func TestNonOwnersNeitherEvictNorAreEvicted(t *testing.T) {
	all := newMembers(12)
	owners := all[:6]
	silent := map[string]time.Duration{all[7]: time.Minute}
	require.Empty(t, eviction.SelectEvictions(all[0], owners, newPeers(all[0], all, silent)))
	require.Empty(t, eviction.SelectEvictions(all[8], owners, newPeers(all[8], all, map[string]time.Duration{all[0]: time.Minute})), "only owners receive every heartbeat of each other, so other hosts evict nobody")
}

func TestOwnerIsEvictedOnceUntilHeardAgain(t *testing.T) {
	all := newMembers(3)
	peers := []eviction.Peer{{Member: all[1], SilentFor: 2 * time.Second}, {Member: all[2], SilentFor: 0}}
	require.Equal(t, []string{all[1]}, eviction.SelectEvictions(all[0], all, peers))
	peers[0].Evicted = true
	require.Empty(t, eviction.SelectEvictions(all[0], all, peers))
}
