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
	var book turnstore.Store
	book.Add(turn("a", "", 60))
	book.Add(turn("b", "a", 60))
	chain, ok := book.Transcript("w", "b")
	require.True(t, ok)
	require.Equal(t, "in-a;out-a\nin-b;out-b\n", string(chain))
}

func TestTurnsMayBranchFromOneTurn(t *testing.T) {
	var book turnstore.Store
	book.Add(turn("a", "", 60))
	book.Add(turn("b", "a", 60))
	book.Add(turn("c", "a", 60))
	chain, ok := book.Transcript("w", "c")
	require.True(t, ok)
	require.Equal(t, "in-a;out-a\nin-c;out-c\n", string(chain))
}

func TestTurnsOfOtherWorkspacesAreNotFound(t *testing.T) {
	var book turnstore.Store
	book.Add(turn("a", "", 60))
	_, ok := book.Transcript("other", "a")
	require.False(t, ok)
	require.False(t, book.Contains("other", "a"))
	require.True(t, book.Contains("w", "a"))
}

func TestPriorTranscriptReplacesTurnsStoredElsewhere(t *testing.T) {
	var book turnstore.Store
	foreign := turn("b", "elsewhere", 60)
	foreign.PriorTranscript = []byte("before;")
	book.Add(foreign)
	book.Add(turn("c", "b", 60))
	chain, ok := book.Transcript("w", "c")
	require.True(t, ok)
	require.Equal(t, "before;in-b;out-b\nin-c;out-c\n", string(chain))
}

func TestEarlierTurnsAreRetainedUntilLastTurnExpires(t *testing.T) {
	var book turnstore.Store
	book.Add(turn("a", "", 10))
	book.Add(turn("b", "a", 20))
	book.Add(turn("c", "b", 60))
	require.Empty(t, book.RemoveExpired(start.Add(30*time.Second)))
	_, ok := book.Transcript("w", "c")
	require.True(t, ok)
	require.ElementsMatch(t, []string{"a", "b", "c"}, book.RemoveExpired(start.Add(61*time.Second)))
	require.Zero(t, book.Len())
}

func TestExtendRetentionKeepsRestoredTurnsUntilLastTurnExpires(t *testing.T) {
	var book turnstore.Store
	book.Add(turn("c", "b", 60))
	book.Add(turn("b", "a", 20))
	book.Add(turn("a", "", 10))
	book.ExtendRetention()
	require.Empty(t, book.RemoveExpired(start.Add(30*time.Second)))
}

func TestTranscriptWithMissingTurnIsNotFound(t *testing.T) {
	var book turnstore.Store
	book.Add(turn("b", "a", 60))
	_, ok := book.Transcript("w", "b")
	require.False(t, ok)
}
