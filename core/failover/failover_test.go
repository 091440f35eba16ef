package failover_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"cardamomward/core/failover"
)

func owners(n int) []string {
	list := make([]string, 0, n)
	for i := range n {
		list = append(list, fmt.Sprintf("10.0.0.%d:7780", i))
	}

	return list
}

func TestOwnersThatAreUpKeepTheirSlots(t *testing.T) {
	all := owners(12)
	for slot, owner := range all {
		require.Equal(t, owner, failover.ActingOwner(slot, all, func(string) bool { return false }))
	}
}

func TestSlotsOfFailedOwnersAreSpreadOverOthers(t *testing.T) {
	all := owners(12)
	lost := map[string]bool{all[0]: true, all[3]: true, all[4]: true, all[9]: true}
	deputies := make(map[string]bool)
	for slot, owner := range all {
		deputy := failover.ActingOwner(slot, all, func(member string) bool { return lost[member] })
		require.False(t, lost[deputy])
		if !lost[owner] {
			require.Equal(t, owner, deputy)

			continue
		}
		deputies[deputy] = true
	}
	require.GreaterOrEqual(t, len(deputies), 2)
}

func TestFailedActingOwnerIsReplaced(t *testing.T) {
	all := owners(12)
	lost := map[string]bool{all[0]: true}
	gone := func(member string) bool { return lost[member] }
	first := failover.ActingOwner(0, all, gone)
	lost[first] = true
	second := failover.ActingOwner(0, all, gone)
	require.NotEqual(t, first, second)
	require.NotEmpty(t, second)
}

func TestNoActingOwnerWithoutLiveOwner(t *testing.T) {
	require.Empty(t, failover.ActingOwner(0, owners(2), func(string) bool { return true }))
	require.Empty(t, failover.ActingOwner(0, []string{"", "a"}, func(string) bool { return false }), "a slot that nobody has owned has no state to act on")
}
