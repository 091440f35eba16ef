package cluster

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/tokenbudget"
	"cardamomward/io/fleet/fleetpb"
	"cardamomward/io/reverseproxy"
	"cardamomward/platform"
)

const testOwner = "127.0.0.1:3"

// endTurnDuringOutage returns whether a turn that its owner cannot make durable counts as safe.
func endTurnDuringOutage(t *testing.T, c *Cluster) bool {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()

	return c.replicateDuringOutage(ctx, &fleetpb.EndTurnRequest{
		Workspace: string(testWorkspace), Program: string(testProgram), Kept: &fleetpb.KeptTurn{Id: "turn", Program: string(testProgram), Workspace: string(testWorkspace)},
	}, testOwner)
}

func TestTurnWithoutCopiesAtStayingHostsIsNotSafe(t *testing.T) {
	c, _ := newTestCluster(t)
	owner := &peer{hostEntry: hostEntry{PeerAddress: testOwner}, listedAt: time.Now()}
	c.peers.byHost["owner"] = owner
	require.True(t, endTurnDuringOutage(t, c), "there are no other hosts than the owner and this one")
	owner.isDraining = true
	require.False(t, endTurnDuringOutage(t, c), "this host alone may fail")
	owner.isDraining = false
	c.isLeaving.Store(true)
	require.False(t, endTurnDuringOutage(t, c), "the owner alone may fail")
}

func TestHostMissingFromListAfterLateDeletionIsAnnouncedAgain(t *testing.T) {
	c, _ := newTestCluster(t)
	join(t, c)
	require.True(t, c.peers.writeEntry(t.Context(), []byte("{}")))
	c.peers.markHostListRead(map[string]struct{}{string(c.Settings.Name): {}})
	require.Empty(t, c.peers.announceSignal, "the host is listed")
	c.peers.markHostListRead(map[string]struct{}{"host-1": {}})
	require.Len(t, c.peers.announceSignal, 1)
}

func TestRepeatedCopiesOfTurnAreQueuedOnce(t *testing.T) {
	c, store := newTestCluster(t)
	join(t, c)
	store.beforeAppend.set(func(platform.AppendBatch) error { return platform.ErrInDoubt.New("no response") })
	s := c.slots[0]
	s.mu.Lock()
	for range 5 {
		s.storeTurn(time.Now(), newKeptTurn("first", ""))
	}
	s.mu.Unlock()
	require.Len(t, s.writer.pendingRecords(), 1)
	store.beforeAppend.clear()
	storeTurn(t, c, newKeptTurn("first", ""))
	// The writer forgets the batch after the reply.
	require.Eventually(t, func() bool { return !s.writer.hasPending() }, testTimeout, time.Millisecond)
	store.mu.Lock()
	defer store.mu.Unlock()
	require.EqualValues(t, 1, store.partition(s.partition()).end, "the turn is written once")
}

func TestTokensOfTurnAnsweredDuringOutageAreCountedOnceByNextOwner(t *testing.T) {
	const maxTokens, usedTokens = 100, 50
	c, store := newTestCluster(t)
	join(t, c)
	store.beforeAppend.set(func(platform.AppendBatch) error { return platform.ErrInDoubt.New("no response") })
	store.lastResponseTime.set(func() time.Time { return time.Time{} })
	turn := newTurn("first", "")
	turn.Request.TokenBudget, turn.Request.MaxTokens, turn.Deadline = 1000, maxTokens, time.Now().Add(400*time.Millisecond)
	require.Equal(t, reverseproxy.TurnAllowed, c.BeginTurn(t.Context(), turn).Status)
	c.EndTurn(t.Context(), turn, reverseproxy.TurnResult{Output: []byte("done\n"), OutputTokens: usedTokens, IsComplete: true})
	// The next owner knows the watermark that was reported when the turn began, and receives the copies of the turn.
	s := c.slots[0]
	s.mu.Lock()
	s.ledger = tokenbudget.Ledger{}
	s.ledger.RaiseTo(testProgram, tokenbudget.Count{Tokens: maxTokens}, time.Now().Add(time.Minute))
	s.mu.Unlock()
	require.Never(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()

		return s.ledger.Count(testProgram).Tokens != maxTokens
	}, 3*settleRetryInterval, 10*time.Millisecond)
}
