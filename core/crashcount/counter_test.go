package crashcount_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/crashcount"
)

var start = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

func TestRequestIsBlockedAfterThreeCrashedProcesses(t *testing.T) {
	var counter crashcount.Counter
	require.True(t, counter.Record(start, crashcount.Crash{Fingerprint: 1, Process: "a/1"}))
	require.False(t, counter.Record(start, crashcount.Crash{Fingerprint: 1, Process: "a/1"}), "each process counts once")
	counter.Record(start, crashcount.Crash{Fingerprint: 1, Process: "b/1"})
	require.False(t, counter.IsBlocked(1))
	counter.Record(start, crashcount.Crash{Fingerprint: 1, Process: "a/2"})
	require.True(t, counter.IsBlocked(1))
	require.False(t, counter.IsBlocked(2))
}

func TestRemoveExpiredUnblocksRequest(t *testing.T) {
	var counter crashcount.Counter
	for _, process := range []string{"a", "b", "c"} {
		counter.Record(start, crashcount.Crash{Fingerprint: 1, Process: process})
	}
	counter.RemoveExpired(start.Add(time.Minute))
	require.True(t, counter.IsBlocked(1))
	counter.RemoveExpired(start.Add(2 * time.Minute))
	require.False(t, counter.IsBlocked(1))
}
