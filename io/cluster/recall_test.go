package cluster

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/id"
	"cardamomward/io/fleet/fleetpb"
	"cardamomward/io/reverseproxy"
	"cardamomward/platform"
)

// busyPeer is a host that does not respond to requests for its in-memory state while it is busy.
type busyPeer struct {
	fleetpb.Slots

	isBusy  *atomic.Bool
	reply   *fleetpb.RecallReply
	recalls *atomic.Int64
}

func (p busyPeer) Recall(context.Context, *fleetpb.RecallRequest) (*fleetpb.RecallReply, error) {
	p.recalls.Add(1)
	if p.isBusy.Load() {
		return nil, context.DeadlineExceeded
	}

	return p.reply, nil
}

func (p busyPeer) HoldCounts(context.Context, *fleetpb.HoldCountsRequest) (*fleetpb.HoldCountsReply, error) {
	if p.isBusy.Load() {
		return nil, context.DeadlineExceeded
	}

	return &fleetpb.HoldCountsReply{}, nil
}

// startOutage makes the store unavailable to a host that has just released its slot, and adds two peers that it hears.
func startOutage(t *testing.T, c *Cluster, store *fakeStore, reply *fleetpb.RecallReply) (isBusy *atomic.Bool, recalls *atomic.Int64) {
	t.Helper()
	isBusy, recalls = &atomic.Bool{}, &atomic.Int64{}
	join(t, c)
	c.slots[0].release("test")
	store.beforeAppend.set(func(platform.AppendBatch) error { return platform.ErrInDoubt.New("down") })
	down := time.Now().Add(-2 * storeContactTimeout)
	store.lastResponseTime.set(func() time.Time { return down })
	heardAt := time.Now().Add(time.Minute)
	c.peers.mu.Lock()
	for _, member := range []string{"127.0.0.1:3", "127.0.0.1:4"} {
		c.peerClients[member] = busyPeer{isBusy: isBusy, reply: reply, recalls: recalls}
		c.peers.byHost[id.Host(member)] = &peer{hostEntry: hostEntry{PeerAddress: member}, listedAt: heardAt, lastHeardAt: heardAt}
	}
	c.peers.mu.Unlock()
	require.True(t, c.isStoreDown(time.Now()))

	return isBusy, recalls
}

// newBudgetTurn returns a first turn of a program that has a token budget.
func newBudgetTurn(turn string) reverseproxy.Turn {
	budgetTurn := newTurn(turn, "")
	budgetTurn.Request.TokenBudget, budgetTurn.Request.MaxTokens = forgottenBudget, forgottenMaxTokens

	return budgetTurn
}

// Hosts that are busy when a slot is first served from their memory made it refuse the first turns of programs until the outage ended.
func TestFirstTurnsAreServedInOutageOnceBusyHostsRespond(t *testing.T) {
	c, store := newTestCluster(t)
	isBusy, _ := startOutage(t, c, store, &fleetpb.RecallReply{Complete: true})
	isBusy.Store(true)
	require.Equal(t, reverseproxy.OwnerUnavailable, c.BeginTurn(t.Context(), newBudgetTurn("first")).Status, "other hosts may have admitted turns of the program")
	isBusy.Store(false)
	require.Equal(t, reverseproxy.TurnAllowed, c.BeginTurn(t.Context(), newBudgetTurn("second")).Status)
}

// The state of hosts that respond late counts like that of the others.
func TestCountsOfHostsThatRespondLateAreCharged(t *testing.T) {
	const spent = 990
	c, store := newTestCluster(t)
	isBusy, _ := startOutage(t, c, store, &fleetpb.RecallReply{Complete: true, Marks: []*fleetpb.ProgramMark{{Program: string(testProgram), Tokens: spent}}})
	isBusy.Store(true)
	require.Equal(t, reverseproxy.OwnerUnavailable, c.BeginTurn(t.Context(), newBudgetTurn("first")).Status)
	isBusy.Store(false)
	require.Eventually(t, func() bool {
		return c.BeginTurn(t.Context(), newBudgetTurn("second")).Status == reverseproxy.BudgetExhausted
	}, testTimeout, time.Millisecond)
}

// Hosts that have restarted do not remember more when they are asked again.
func TestHostsThatHaveRestartedAreAskedOnce(t *testing.T) {
	c, store := newTestCluster(t)
	_, recalls := startOutage(t, c, store, &fleetpb.RecallReply{AgeMillis: 1})
	for range 2 {
		require.Equal(t, reverseproxy.OwnerUnavailable, c.BeginTurn(t.Context(), newBudgetTurn("first")).Status)
	}
	require.Equal(t, int64(2), recalls.Load(), "once for each of the two hosts")
}
