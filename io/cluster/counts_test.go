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

// In an outage of the store, the count of a program was known to the owner of its slot and to the host of its caller. When both were
// lost, a program that had spent its budget was taken for a new one.
func TestSpentBudgetOutlivesOwnerAndCallersHost(t *testing.T) {
	owner, others, endOutage := newOwnerInOutage(t)
	endOutage()
	for turn := range int(forgottenBudget / forgottenMaxTokens) {
		attempt := fmt.Sprintf("turn-%d", turn)
		begin := func() *fleetpb.BeginTurnReply { return beginSmallTurn(t, owner, attempt) }
		require.Eventually(t, func() bool { return begin().Outcome == fleetpb.Outcome_OUTCOME_OK }, testTimeout, time.Millisecond)
		_, err := (&slotServer{cluster: owner}).EndTurn(t.Context(), &fleetpb.EndTurnRequest{
			Workspace: string(testWorkspace), Program: string(testProgram), Attempt: attempt, Tokens: int64(forgottenMaxTokens),
		})
		require.NoError(t, err)
	}
	require.Equal(t, fleetpb.Outcome_OUTCOME_SPENT, beginSmallTurn(t, owner, "beyond").Outcome)
	require.Eventually(t, func() bool {
		return countTokens(t, others[0]) == forgottenBudget && countTokens(t, others[1]) == forgottenBudget && countTokens(t, others[2]) == forgottenBudget
	}, testTimeout, time.Millisecond, "three hosts beside the owner have the count")

	acting := others[0]
	for _, other := range others[1:] {
		acting.addPeer(other.self, &slotServer{cluster: other})
	}
	acting.addLostPeers("127.0.0.8:7780", "127.0.0.9:7780")
	acting.LastStoreResponse = func() time.Time { return time.Time{} }
	s := acting.slots[0]
	s.mu.Lock()
	s.actForOwner(t.Context())
	s.mu.Unlock()
	require.Eventually(t, acting.isServing, testTimeout, time.Millisecond)
	require.Equal(t, fleetpb.Outcome_OUTCOME_SPENT, beginSmallTurn(t, acting, "after the loss").Outcome)
}

// Copies cost calls between hosts, so programs whose loss cannot exceed their budget have none while the store responds.
func TestCountsFarFromBudgetAreNotCopied(t *testing.T) {
	owner, others, endOutage := newOwnerInOutage(t)
	endOutage()
	reply := beginSmallTurn(t, owner, "first")
	require.Equal(t, fleetpb.Outcome_OUTCOME_OK, reply.Outcome)
	time.Sleep(50 * time.Millisecond)
	for _, other := range others {
		require.Zero(t, countTokens(t, other))
	}
}

// addLostPeers makes a host believe that others have just been lost.
func (c *Cluster) addLostPeers(members ...string) {
	c.peers.mu.Lock()
	defer c.peers.mu.Unlock()
	for _, member := range members {
		lastHeardAt := c.Now().Add(-2 * baseSilenceTimeout)
		c.peers.byHost[id.Host(member)] = &peer{hostEntry: hostEntry{PeerAddress: member}, listedAt: lastHeardAt, lastHeardAt: lastHeardAt}
	}
}

// beginSmallTurn begins a turn at the owner of a slot for a caller of another host.
func beginSmallTurn(t *testing.T, owner *Cluster, attempt string) *fleetpb.BeginTurnReply {
	t.Helper()
	reply, err := (&slotServer{cluster: owner}).BeginTurn(t.Context(), &fleetpb.BeginTurnRequest{
		Workspace: string(testWorkspace), Program: string(testProgram), Attempt: attempt,
		Budget: int64(forgottenBudget), MaxTokens: int64(forgottenMaxTokens), DeadlineMillis: testTimeout.Milliseconds(), WaitMillis: testTimeout.Milliseconds(),
	})
	require.NoError(t, err)

	return reply
}

// countTokens returns the count of the test's program that a host has in memory.
func countTokens(t *testing.T, c *Cluster) id.Tokens {
	t.Helper()
	reply, err := (&slotServer{cluster: c}).Recall(t.Context(), &fleetpb.RecallRequest{})
	require.NoError(t, err)
	if len(reply.Marks) == 0 {
		return 0
	}

	return id.Tokens(reply.Marks[0].Tokens)
}
