package turnstore_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/turnstore"
)

func durableTurn(name, previous string) *turnstore.Turn {
	durable := turn(name, previous, 60)
	durable.IsDurable = true

	return durable
}

func TestEvictedTurnIsKnownAndContinuedOnceReloaded(t *testing.T) {
	var store turnstore.Store
	store.Add(durableTurn("a", ""))
	store.Add(durableTurn("b", "a"))
	whole, ok := store.Transcript("w", "b")
	require.True(t, ok)
	require.Equal(t, len(whole), store.ResidentBytes())
	store.Evict("a")
	_, ok = store.Transcript("w", "b")
	require.False(t, ok, "a part of the transcript is not in memory")
	require.True(t, store.HasTranscript("w", "b"))
	require.Equal(t, len(whole), store.TranscriptBytes("w", "b"))
	require.Equal(t, []string{"a"}, store.Evicted("w", "b"))
	require.Less(t, store.ResidentBytes(), len(whole))
	store.Reload(durableTurn("a", ""), start)
	again, ok := store.Transcript("w", "b")
	require.True(t, ok)
	require.Equal(t, string(whole), string(again))
	require.Equal(t, len(whole), store.ResidentBytes())
}

func TestTurnsThatAreNotDurableAreNotEvicted(t *testing.T) {
	var store turnstore.Store
	store.Add(turn("a", "", 60))
	store.Evict("a")
	_, ok := store.Transcript("w", "a")
	require.True(t, ok)
	require.Empty(t, store.Candidates(start, 0, nil))
	store.MarkDurable("a")
	require.Len(t, store.Candidates(start, 0, nil), 1)
	store.Evict("a")
	require.Zero(t, store.ResidentBytes())
	require.Empty(t, store.Candidates(start, 0, nil), "its text is not in memory")
}

func TestPriorTranscriptOfEvictedTurnEndsItsChain(t *testing.T) {
	var store turnstore.Store
	continued := durableTurn("b", "elsewhere")
	continued.PriorTranscript = []byte("before;")
	store.Add(continued)
	store.Evict("b")
	require.True(t, store.HasTranscript("w", "b"))
	store.ExtendRetention()
	require.True(t, store.HasTranscript("w", "b"), "the turn is still known to have a prior transcript")
}

func TestReloadedTurnsAreKeptForTheirContinuation(t *testing.T) {
	var store turnstore.Store
	store.Add(durableTurn("a", ""))
	store.Add(durableTurn("b", "a"))
	store.Keep("w", "b", start.Add(time.Second))
	require.Empty(t, store.Candidates(start, 0, nil))
	require.Len(t, store.Candidates(start.Add(time.Second), 0, nil), 2)
}

func TestExpiredAndReplacedTurnsLeaveNoBytes(t *testing.T) {
	var store turnstore.Store
	store.Add(durableTurn("a", ""))
	store.Add(durableTurn("a", ""))
	store.Add(durableTurn("b", ""))
	store.Evict("b")
	require.Len(t, store.RemoveExpired(start.Add(time.Hour)), 2)
	require.Zero(t, store.ResidentBytes())
}

func TestLargestTurnsAreEvictedFirst(t *testing.T) {
	candidates := []turnstore.Candidate{{Turn: "a", Bytes: 10}, {Turn: "b", Bytes: 4000}, {Turn: "c", Bytes: 300}}
	for bytes, want := range map[int]int{0: 0, 1: 1, 4000: 1, 4001: 2, 4301: 3, 9999: 3} {
		selected := turnstore.SelectEvictions(candidates, bytes)
		require.Len(t, selected, want, bytes)
	}
	require.Equal(t, "b", turnstore.SelectEvictions(candidates, 1)[0].Turn)
}
