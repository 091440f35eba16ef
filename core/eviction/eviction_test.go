package eviction_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/eviction"
)

func members(n int) []string {
	list := make([]string, 0, n)
	for i := range n {
		list = append(list, fmt.Sprintf("10.0.0.%d:7780", i))
	}

	return list
}

// view returns the peers of a host, of which some have been silent for a time.
func view(self string, all []string, silent map[string]time.Duration) []eviction.Peer {
	var peers []eviction.Peer
	for _, member := range all {
		if member != self {
			peers = append(peers, eviction.Peer{Member: member, SilentFor: max(50*time.Millisecond, silent[member])})
		}
	}

	return peers
}

func TestOneHostTakesADeadOwnerOutWithinHalfASecond(t *testing.T) {
	all := members(12)
	for _, dead := range all {
		evictors := 0
		for _, self := range all {
			if self == dead {
				continue
			}
			for _, member := range eviction.SelectEvictions(self, all, view(self, all, map[string]time.Duration{dead: 500 * time.Millisecond})) {
				require.Equal(t, dead, member)
				evictors++
			}
		}
		require.Equal(t, 1, evictors)
	}
}

func TestOthersFollowWhereTheFirstDoesNot(t *testing.T) {
	all := members(12)
	evictors := 0
	for _, self := range all[1:] {
		evictors += len(eviction.SelectEvictions(self, all, view(self, all, map[string]time.Duration{all[0]: 2 * time.Second})))
	}
	require.Equal(t, 11, evictors)
}

func TestMinorityTakesNobodyOut(t *testing.T) {
	all := members(12)
	silent := make(map[string]time.Duration)
	for _, member := range all[6:] {
		silent[member] = time.Minute
	}
	require.False(t, eviction.HearsMajority(all[0], all, view(all[0], all, silent)), "half of the owners is not most")
	require.Empty(t, eviction.SelectEvictions(all[0], all, view(all[0], all, silent)))
	delete(silent, all[6])
	require.True(t, eviction.HearsMajority(all[0], all, view(all[0], all, silent)))
	require.True(t, eviction.HearsMajority("another", all, nil), "a host that owns nothing follows the owners")
	require.True(t, eviction.HearsMajority(all[0], all[:1], nil))
}

func TestHostThatHearsNobodyTakesNobodyOut(t *testing.T) {
	all := members(12)
	silent := make(map[string]time.Duration)
	for _, member := range all {
		silent[member] = time.Minute
	}
	require.Empty(t, eviction.SelectEvictions(all[0], all, view(all[0], all, silent)))
}

func TestLateBeatsAreNoReason(t *testing.T) {
	all := members(12)
	require.Empty(t, eviction.SelectEvictions(all[0], all, view(all[0], all, map[string]time.Duration{all[1]: 400 * time.Millisecond})))
}

func TestHostsThatOwnNothingAreLeftAlone(t *testing.T) {
	all := members(12)
	owners := all[:6]
	silent := map[string]time.Duration{all[7]: time.Minute}
	require.Empty(t, eviction.SelectEvictions(all[0], owners, view(all[0], all, silent)))
	require.Empty(t, eviction.SelectEvictions(all[8], owners, view(all[8], all, map[string]time.Duration{all[0]: time.Minute})), "owners alone hear each other each beat")
}

func TestOwnerIsTakenOutOnceUntilItIsHeard(t *testing.T) {
	all := members(3)
	peers := []eviction.Peer{{Member: all[1], SilentFor: 2 * time.Second}, {Member: all[2], SilentFor: 0}}
	require.Equal(t, []string{all[1]}, eviction.SelectEvictions(all[0], all, peers))
	peers[0].Evicted = true
	require.Empty(t, eviction.SelectEvictions(all[0], all, peers))
}
