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
	down := map[string]bool{all[0]: true, all[3]: true, all[4]: true, all[9]: true}
	actingOwners := make(map[string]bool)
	for slot, owner := range all {
		actingOwner := failover.ActingOwner(slot, all, func(member string) bool { return down[member] })
		require.False(t, down[actingOwner])
		if !down[owner] {
			require.Equal(t, owner, actingOwner)

			continue
		}
		actingOwners[actingOwner] = true
	}
	require.GreaterOrEqual(t, len(actingOwners), 2)
}

func TestFailedActingOwnerIsReplaced(t *testing.T) {
	all := owners(12)
	down := map[string]bool{all[0]: true}
	isDown := func(member string) bool { return down[member] }
	first := failover.ActingOwner(0, all, isDown)
	down[first] = true
	second := failover.ActingOwner(0, all, isDown)
	require.NotEqual(t, first, second)
	require.NotEmpty(t, second)
}

func TestNoActingOwnerWithoutLiveOwner(t *testing.T) {
	require.Empty(t, failover.ActingOwner(0, owners(2), func(string) bool { return true }))
	require.Empty(t, failover.ActingOwner(0, []string{"", "a"}, func(string) bool { return false }), "a slot that never had an owner has no state to serve")
}
