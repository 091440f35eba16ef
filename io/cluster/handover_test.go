package cluster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/tokenbudget"
	"cardamomward/io/reverseproxy"
	"cardamomward/platform"
)

const testOwner = "127.0.0.1:3"

// endTurnDuringOutage ends a turn while the store is down for outage, and returns whether it was answered whole, after how long, and
// whether it was stored then. Another host stays, and could hold a copy.
func endTurnDuringOutage(t *testing.T, outage, deadline time.Duration) (isWhole, isStored bool, took time.Duration) {
	t.Helper()
	c, store := newTestCluster(t)
	c.addPeer(testOwner, &slotServer{cluster: newTestHost(t, store, "127.0.0.2")})
	join(t, c)
	time.AfterFunc(outage, silenceStore(store))
	startedAt := time.Now()
	turn := newTurn("first", "")
	turn.Deadline = startedAt.Add(deadline)
	isWhole = c.EndTurn(t.Context(), turn, reverseproxy.TurnResult{Output: []byte("done\n"), IsComplete: true})

	return isWhole, store.hasRecord(c.slots[0].partition(), turnKeyPrefix+"first"), time.Since(startedAt)
}

// Turns were answered whole once four hosts had them in memory, and lost with these hosts.
func TestTurnIsNotAnsweredWholeBeforeItIsDurable(t *testing.T) {
	simulate(t, func(t *testing.T) {
		isWhole, isStored, _ := endTurnDuringOutage(t, time.Minute, 3*time.Second)
		require.False(t, isWhole, "all hosts that have the turn may fail")
		require.False(t, isStored)
	})
}

func TestTurnIsAnsweredWholeSoonAfterOutage(t *testing.T) {
	simulate(t, func(t *testing.T) {
		const outage = 5 * time.Second
		isWhole, isStored, took := endTurnDuringOutage(t, outage, 10*time.Second)
		require.True(t, isWhole)
		require.True(t, isStored)
		require.Less(t, took, outage+time.Second)
	})
}

// Hosts of earlier releases answer turns that four hosts have in memory, and these may all drain before the store is back.
func TestCopyHeldByDrainingHostOutlivesIt(t *testing.T) {
	simulate(t, func(t *testing.T) {
		draining, store := holdDuringOutage(t, newKeptTurn("first", ""))
		staying := newTestHost(t, store, "127.0.0.2")
		draining.addPeer(staying.self, &slotServer{cluster: staying})
		draining.isLeaving.Store(true)
		require.Equal(t, 1, draining.CountTurnsToHandOver())
		draining.handOverTurns(t.Context())
		require.Zero(t, draining.CountTurnsToHandOver())
		draining.isStopped.Store(true)
		store.lastResponseTime.clear()
		join(t, staying)
		requireDurable(t, staying, store, "first")
	})
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
