package cluster

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/twitchtv/twirp"

	"cardamomward/core/id"
	"cardamomward/io/fleet/fleetpb"
	"cardamomward/io/reverseproxy"
)

// addPeer makes a host hear another one, whose calls a client handles.
func (c *Cluster) addPeer(member string, client fleetpb.Slots) {
	heardAt := c.Now().Add(time.Minute)
	c.setPeerClient(member, client)
	c.peers.mu.Lock()
	defer c.peers.mu.Unlock()
	c.peers.byHost[id.Host(member)] = &peer{hostEntry: hostEntry{PeerAddress: member}, listedAt: heardAt, lastHeardAt: heardAt}
}

// newOwnerInOutage returns the owner of a slot in an outage of the store with three other hosts, and a function that ends the outage.
func newOwnerInOutage(t *testing.T) (owner *Cluster, others []*Cluster, endOutage func()) {
	t.Helper()
	owner, store := newTestCluster(t)
	for i := range 3 {
		other := newTestHost(t, store, fmt.Sprintf("127.0.0.%d", i+2))
		other.Settings.FirstStart = true
		owner.addPeer(other.self, &slotServer{cluster: other})
		others = append(others, other)
	}
	join(t, owner)

	return owner, others, silenceStore(store)
}

// beginTurns begins turns of the test's program through the owner of its slot while it admits them, and returns their number.
func beginTurns(t *testing.T, owner *Cluster, limit int) int {
	t.Helper()
	for i := range limit {
		if owner.BeginTurn(t.Context(), newBudgetTurn(fmt.Sprintf("turn-%d", i))).Status != reverseproxy.TurnAllowed {
			return i
		}
	}

	return limit
}

// Counts of programs whose callers were connected to the owner of their slot were lost with it, and the programs got their whole budget
// once more.
func TestCountOfOutageOutlivesItsOwner(t *testing.T) {
	const turns = 3
	owner, others, endOutage := newOwnerInOutage(t)
	require.Equal(t, turns, beginTurns(t, owner, turns))
	endOutage()
	next := others[0]
	next.setOwnership(&ownership{owners: []string{next.self}})
	join(t, next)
	require.Equal(t, (turns+1)*forgottenMaxTokens, reserveTurn(t, next, testProgram))
}

// A turn whose tokens no other host has in memory does not run, and its tokens are given back.
func TestTurnOfOutageIsRefusedWithoutCopiesOfItsCount(t *testing.T) {
	owner, others, endOutage := newOwnerInOutage(t)
	others[1].isLeaving.Store(true)
	require.Zero(t, beginTurns(t, owner, 1))
	others[1].isLeaving.Store(false)
	require.Equal(t, 1, beginTurns(t, owner, 1))
	endOutage()
	require.Equal(t, 2*forgottenMaxTokens, reserveTurn(t, owner, testProgram))
}

// The owner of a slot was the only host that knew the counts of its own callers' programs. In an outage the next owner took them for new.
func TestCountOfOwnersCallersIsKnownToOthersBeforeOutage(t *testing.T) {
	owner, others, endOutage := newOwnerInOutage(t)
	endOutage()
	require.Equal(t, 2, beginTurns(t, owner, 2))
	for _, other := range others {
		require.Eventually(t, func() bool {
			reply, err := (&slotServer{cluster: other}).Recall(t.Context(), &fleetpb.RecallRequest{})

			return err == nil && len(reply.Marks) == 1 && reply.Marks[0].Tokens == 2*int64(forgottenMaxTokens)
		}, testTimeout, time.Millisecond)
	}
}

// earlierHost is a host of a release that does not know copies of counts.
type earlierHost struct{ fleetpb.Slots }

func (earlierHost) HoldCounts(context.Context, *fleetpb.HoldCountsRequest) (*fleetpb.HoldCountsReply, error) {
	return nil, twirp.NewError(twirp.BadRoute, "no handler")
}

func TestTurnsOfOutageAreAdmittedBesideHostsOfEarlierRelease(t *testing.T) {
	owner, others, _ := newOwnerInOutage(t)
	for _, other := range others {
		owner.setPeerClient(other.self, earlierHost{&slotServer{cluster: other}})
	}
	require.Equal(t, 1, beginTurns(t, owner, 1))
}

// A host that is not heard any more has lost the counts that it had.
func TestSilentHostsCountAsLostWithTheirCounts(t *testing.T) {
	c, _ := newTestCluster(t)
	now := time.Now()
	c.peers.mu.Lock()
	for name, p := range map[id.Host]*peer{
		"live":           {lastHeardAt: now},
		"silent":         {lastHeardAt: now.Add(-3 * time.Second)},
		"stopped":        {lastHeardAt: now.Add(-3 * time.Second), hasLeft: true},
		"gone for long":  {lastHeardAt: now.Add(-2 * budgetRetention)},
		"never heard of": {listedAt: now},
	} {
		c.peers.byHost[name] = p
	}
	c.peers.mu.Unlock()
	require.Equal(t, []time.Duration{3 * time.Second}, c.peers.lostHosts(now))
}
