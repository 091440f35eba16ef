package turnstore_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/turnstore"
)

var start = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

func turn(name, previous string, seconds int) *turnstore.Turn {
	return &turnstore.Turn{
		ID: name, Workspace: "w", PreviousID: previous,
		Input: []byte("in-" + name + ";"), Output: []byte("out-" + name + "\n"),
		ExpiresAt: start.Add(time.Duration(seconds) * time.Second),
	}
}

func TestTranscriptJoinsInputsAndOutputsOldestFirst(t *testing.T) {
	var store turnstore.Store
	store.Add(turn("a", "", 60))
	store.Add(turn("b", "a", 60))
	transcript, ok := store.Transcript("w", "b")
	require.True(t, ok)
	require.Equal(t, "in-a;out-a\nin-b;out-b\n", string(transcript))
	require.Equal(t, len(transcript), store.TranscriptBytes("w", "b"))
	require.Zero(t, store.TranscriptBytes("other", "b"))
}

func TestTurnsMayBranchFromOneTurn(t *testing.T) {
	var store turnstore.Store
	store.Add(turn("a", "", 60))
	store.Add(turn("b", "a", 60))
	store.Add(turn("c", "a", 60))
	transcript, ok := store.Transcript("w", "c")
	require.True(t, ok)
	require.Equal(t, "in-a;out-a\nin-c;out-c\n", string(transcript))
}

func TestTurnsOfOtherWorkspacesAreNotFound(t *testing.T) {
	var store turnstore.Store
	store.Add(turn("a", "", 60))
	_, ok := store.Transcript("other", "a")
	require.False(t, ok)
	require.False(t, store.Contains("other", "a"))
	require.True(t, store.Contains("w", "a"))
	require.False(t, store.HasTranscript("other", "a"))
	require.True(t, store.HasTranscript("w", "a"))
}

func TestPriorTranscriptReplacesTurnsStoredElsewhere(t *testing.T) {
	var store turnstore.Store
	continued := turn("b", "elsewhere", 60)
	continued.PriorTranscript = []byte("before;")
	store.Add(continued)
	store.Add(turn("c", "b", 60))
	transcript, ok := store.Transcript("w", "c")
	require.True(t, ok)
	require.Equal(t, "before;in-b;out-b\nin-c;out-c\n", string(transcript))
}

func TestEarlierTurnsAreRetainedUntilLastTurnExpires(t *testing.T) {
	var store turnstore.Store
	store.Add(turn("a", "", 10))
	store.Add(turn("b", "a", 20))
	store.Add(turn("c", "b", 60))
	require.Empty(t, store.RemoveExpired(start.Add(30*time.Second)))
	_, ok := store.Transcript("w", "c")
	require.True(t, ok)
	require.ElementsMatch(t, []string{"a", "b", "c"}, store.RemoveExpired(start.Add(61*time.Second)))
	require.Zero(t, store.Len())
}

func TestExtendRetentionKeepsRestoredTurnsUntilLastTurnExpires(t *testing.T) {
	var store turnstore.Store
	store.Add(turn("c", "b", 60))
	store.Add(turn("b", "a", 20))
	store.Add(turn("a", "", 10))
	store.ExtendRetention()
	require.Empty(t, store.RemoveExpired(start.Add(30*time.Second)))
}

func TestTranscriptWithMissingTurnIsNotFound(t *testing.T) {
	var store turnstore.Store
	store.Add(turn("b", "a", 60))
	_, ok := store.Transcript("w", "b")
	require.False(t, ok)
	require.True(t, store.Contains("w", "b"))
	require.False(t, store.HasTranscript("w", "b"))
}
