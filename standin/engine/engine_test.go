package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/prompt"
)

func message(text string) []prompt.Message { return []prompt.Message{{Role: "user", Content: text}} }

func TestCacheEventsAreDelayedAndDropped(t *testing.T) {
	c := cache{capacity: 1000, eventDelay: time.Minute, dropEveryNth: 3}
	for _, text := range []string{"a", "b", "c", "d"} {
		c.store(message(text), "program")
	}
	now := time.Now()
	events, next := c.eventsSince(1, now)
	require.Empty(t, events, "events must not be visible before their delay")
	require.EqualValues(t, 1, next)
	events, next = c.eventsSince(1, now.Add(time.Minute))
	require.Len(t, events, 3)
	require.EqualValues(t, []uint64{1, 2, 4}, []uint64{events[0].Seq, events[1].Seq, events[2].Seq})
	require.EqualValues(t, 5, next)
}

func TestTokenIntervalGrowsWithBatchSize(t *testing.T) {
	s, err := New(Config{Address: "127.0.0.1:0", BatchSlowdown: 0.5, TokenInterval: time.Second})
	require.NoError(t, err)
	require.NoError(t, s.batch.acquire(t.Context(), 0))
	require.Equal(t, time.Second, s.tokenInterval())
	require.NoError(t, s.batch.acquire(t.Context(), 0))
	require.NoError(t, s.batch.acquire(t.Context(), 0))
	require.Equal(t, 2*time.Second, s.tokenInterval())
}

func TestStaleFencingTokenIsRefusedUnlessIgnored(t *testing.T) {
	for _, ignore := range []bool{false, true} {
		s, err := New(Config{Address: "127.0.0.1:0", IgnoreFencingToken: ignore})
		require.NoError(t, err)
		require.NoError(t, s.checkFencingToken(7))
		require.NoError(t, s.checkFencingToken(0), "a request without a token is accepted")
		require.Equal(t, ignore, s.checkFencingToken(6) == nil)
		require.NoError(t, s.checkFencingToken(8))
	}
}
