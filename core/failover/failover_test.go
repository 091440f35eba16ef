package failover_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"cardamomward/core/failover"
)

func newOwners(n int) []string {
	list := make([]string, 0, n)
	for i := range n {
		list = append(list, fmt.Sprintf("10.0.0.%d:7780", i))
	}

	return list
}

func TestOwnersThatAreUpKeepTheirSlots(t *testing.T) {
	owners := newOwners(12)
	for slot, owner := range owners {
		require.Equal(t, owner, failover.ActingOwner(slot, owners, func(string) bool { return false }))
	}
}

func TestSlotsOfFailedOwnersAreSpreadOverOthers(t *testing.T) {
	owners := newOwners(12)
	down := map[string]bool{owners[0]: true, owners[3]: true, owners[4]: true, owners[9]: true}
	actingOwners := make(map[string]bool)
	for slot, owner := range owners {
		actingOwner := failover.ActingOwner(slot, owners, func(member string) bool { return down[member] })
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
	owners := newOwners(12)
	down := map[string]bool{owners[0]: true}
	isDown := func(member string) bool { return down[member] }
	first := failover.ActingOwner(0, owners, isDown)
	down[first] = true
	second := failover.ActingOwner(0, owners, isDown)
	require.NotEqual(t, first, second)
	require.NotEmpty(t, second)
}

func TestNoActingOwnerWithoutLiveOwner(t *testing.T) {
	require.Empty(t, failover.ActingOwner(0, newOwners(2), func(string) bool { return true }))
	require.Empty(t, failover.ActingOwner(0, []string{"", "a"}, func(string) bool { return false }), "a slot that never had an owner has no state to serve")
}
