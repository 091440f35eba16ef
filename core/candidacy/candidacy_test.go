package candidacy_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/candidacy"
)

func hosts(n int) []string {
	list := make([]string, 0, n)
	for i := range n {
		list = append(list, fmt.Sprintf("10.0.0.%d:7780", i))
	}

	return list
}

// members returns the hosts that would be members, given the owners.
func members(live, owners []string) []string {
	var list []string
	for _, host := range live {
		isOwner := false
		for _, owner := range owners {
			isOwner = isOwner || owner == host
		}
		if candidacy.Take(candidacy.View{Self: host, Slots: 12, Live: live, Owners: owners, Member: isOwner}) {
			list = append(list, host)
		}
	}

	return list
}

func TestAllHostsOfASmallFleetAreMembers(t *testing.T) {
	require.Len(t, members(hosts(10), make([]string, 12)), 10)
}

func TestALargeFleetHasAsManyMembersAsSlots(t *testing.T) {
	live := hosts(80)
	first := members(live, make([]string, 12))
	require.Len(t, first, 12)
	require.Equal(t, first, members(live, first), "members stay")
}

func TestReplacingHostsThatOwnNothingMovesNoSlot(t *testing.T) {
	live := hosts(80)
	owners := members(live, make([]string, 12))
	moved := 0
	for i, host := range live {
		without := append(append([]string(nil), live[:i]...), live[i+1:]...)
		after := members(without, owners)
		require.Len(t, after, 12)
		for _, owner := range owners {
			if owner == host {
				moved++
			}
		}
	}
	require.Equal(t, 12, moved)
}

func TestMembersThatOwnNothingLeaveALargeFleet(t *testing.T) {
	v := candidacy.View{Self: "x", Slots: 12, Live: hosts(80), Member: true, Idle: time.Second}
	require.True(t, candidacy.Take(v))
	v.Idle = 3 * time.Second
	require.False(t, candidacy.Take(v))
	v.Live = hosts(12)
	require.True(t, candidacy.Take(v))
}
