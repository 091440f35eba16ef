package eligibility_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/eligibility"
)

func newMembers(n int) []string {
	list := make([]string, 0, n)
	for i := range n {
		list = append(list, fmt.Sprintf("10.0.0.%d:7780", i))
	}

	return list
}

// newEqualHosts returns hosts with one core each.
func newEqualHosts(members []string) []eligibility.Host {
	list := make([]eligibility.Host, 0, len(members))
	for _, member := range members {
		list = append(list, eligibility.Host{ID: member, CPUCores: 1})
	}

	return list
}

// selectMembers returns the live hosts that should be members; those that own a slot are members already.
func selectMembers(live, owners []string) []string {
	var list []string
	for _, host := range live {
		isOwner := false
		for _, owner := range owners {
			isOwner = isOwner || owner == host
		}
		if eligibility.ShouldBeMember(eligibility.View{Self: host, SlotCount: 12, LiveHosts: newEqualHosts(live), SlotOwners: owners, IsMember: isOwner}) {
			list = append(list, host)
		}
	}

	return list
}

func TestAllHostsOfASmallFleetAreMembers(t *testing.T) {
	require.Len(t, selectMembers(newMembers(10), make([]string, 12)), 10)
}

func TestALargeFleetHasAsManyMembersAsSlots(t *testing.T) {
	live := newMembers(80)
	members := selectMembers(live, make([]string, 12))
	require.Len(t, members, 12)
	require.Equal(t, members, selectMembers(live, members), "members stay")
}

func TestReplacingNonMembersMovesNoSlot(t *testing.T) {
	live := newMembers(80)
	owners := selectMembers(live, make([]string, 12))
	moved := 0
	for i, host := range live {
		remaining := append(append([]string(nil), live[:i]...), live[i+1:]...)
		membersAfter := selectMembers(remaining, owners)
		require.Len(t, membersAfter, 12)
		for _, owner := range owners {
			if owner == host {
				moved++
			}
		}
	}
	require.Equal(t, 12, moved)
}

func TestIdleMembersLeaveLargeFleet(t *testing.T) {
	v := eligibility.View{Self: newMembers(1)[0], SlotCount: 12, LiveHosts: newEqualHosts(newMembers(80)), IsMember: true, IdleDuration: time.Second}
	require.True(t, eligibility.ShouldBeMember(v))
	v.IdleDuration = 3 * time.Second
	require.False(t, eligibility.ShouldBeMember(v))
	v.LiveHosts = newEqualHosts(newMembers(12))
	require.True(t, eligibility.ShouldBeMember(v))
}

func TestSmallHostsAreExcludedIfEnoughLargeHostsAreLive(t *testing.T) {
	live := newEqualHosts(newMembers(80))
	for i := range live {
		if i%4 != 0 {
			live[i].CPUCores = 0.192
		}
	}
	for i, host := range live {
		v := eligibility.View{Self: host.ID, SlotCount: 24, LiveHosts: live, SlotOwners: make([]string, 24)}
		require.Equal(t, i%4 == 0, eligibility.ShouldBeMember(v))
		v.IsMember = true
		require.Equal(t, i%4 == 0, eligibility.ShouldBeMember(v), "a small member leaves")
	}
	fewHosts := live[:20]
	require.True(t, eligibility.ShouldBeMember(eligibility.View{Self: fewHosts[1].ID, SlotCount: 24, LiveHosts: fewHosts, SlotOwners: make([]string, 24)}), "with five large hosts, small ones are not excluded")
}

func TestMaxSlotsPerHost(t *testing.T) {
	require.Equal(t, 1, eligibility.MaxSlotsPerHost(12, newEqualHosts(newMembers(12))))
	require.Equal(t, 2, eligibility.MaxSlotsPerHost(24, newEqualHosts(newMembers(20))))
	require.Equal(t, 12, eligibility.MaxSlotsPerHost(12, newEqualHosts(newMembers(1))))
}
