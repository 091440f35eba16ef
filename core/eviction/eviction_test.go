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

// newPeers returns the peers of a host; the last heartbeat of each is at least 50 ms old.
func newPeers(self string, members []string, silent map[string]time.Duration) []eviction.Peer {
	var peers []eviction.Peer
	for _, member := range members {
		if member != self {
			peers = append(peers, eviction.Peer{Member: member, SilentFor: max(50*time.Millisecond, silent[member])})
		}
	}

	return peers
}

func TestOneHostEvictsDeadOwnerWithinHalfASecond(t *testing.T) {
	members := newMembers(12)
	for _, dead := range members {
		evictors := 0
		for _, self := range members {
			if self == dead {
				continue
			}
			for _, member := range eviction.SelectEvictions(self, members, newPeers(self, members, map[string]time.Duration{dead: 500 * time.Millisecond})) {
				require.Equal(t, dead, member)
				evictors++
			}
		}
		require.Equal(t, 1, evictors)
	}
}

func TestOtherOwnersEvictIfFirstDoesNot(t *testing.T) {
	members := newMembers(12)
	evictors := 0
	for _, self := range members[1:] {
		evictors += len(eviction.SelectEvictions(self, members, newPeers(self, members, map[string]time.Duration{members[0]: 2 * time.Second})))
	}
	require.Equal(t, 11, evictors)
}

func TestMinorityEvictsNoOwner(t *testing.T) {
	members := newMembers(12)
	silent := make(map[string]time.Duration)
	for _, member := range members[6:] {
		silent[member] = time.Minute
	}
	require.False(t, eviction.HearsMajority(members[0], members, newPeers(members[0], members, silent)), "half of the owners is not a majority")
	require.Empty(t, eviction.SelectEvictions(members[0], members, newPeers(members[0], members, silent)))
	delete(silent, members[6])
	require.True(t, eviction.HearsMajority(members[0], members, newPeers(members[0], members, silent)))
	require.True(t, eviction.HearsMajority("another", members, nil), "the check applies only to hosts that own a slot")
	require.True(t, eviction.HearsMajority(members[0], members[:1], nil))
}

func TestIsolatedHostEvictsNoOwner(t *testing.T) {
	members := newMembers(12)
	silent := make(map[string]time.Duration)
	for _, member := range members {
		silent[member] = time.Minute
	}
	require.Empty(t, eviction.SelectEvictions(members[0], members, newPeers(members[0], members, silent)))
}

func TestLateHeartbeatsCauseNoEviction(t *testing.T) {
	members := newMembers(12)
	require.Empty(t, eviction.SelectEvictions(members[0], members, newPeers(members[0], members, map[string]time.Duration{members[1]: 400 * time.Millisecond})))
}

func TestNonOwnersNeitherEvictNorAreEvicted(t *testing.T) {
	members := newMembers(12)
	owners := members[:6]
	silent := map[string]time.Duration{members[7]: time.Minute}
	require.Empty(t, eviction.SelectEvictions(members[0], owners, newPeers(members[0], members, silent)))
	require.Empty(t, eviction.SelectEvictions(members[8], owners, newPeers(members[8], members, map[string]time.Duration{members[0]: time.Minute})), "only owners receive every heartbeat of each other, so other hosts evict nobody")
}

func TestOwnerIsEvictedOnceUntilHeardAgain(t *testing.T) {
	members := newMembers(3)
	peers := []eviction.Peer{{Member: members[1], SilentFor: 2 * time.Second}, {Member: members[2], SilentFor: 0}}
	require.Equal(t, []string{members[1]}, eviction.SelectEvictions(members[0], members, peers))
	peers[0].Evicted = true
	require.Empty(t, eviction.SelectEvictions(members[0], members, peers))
}
