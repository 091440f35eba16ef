package crashcount_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/crashcount"
)

var start = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

func TestRequestIsConvictedAfterThreeProcesses(t *testing.T) {
	var d crashcount.Counter
	require.True(t, d.Record(start, crashcount.Crash{Fingerprint: 1, Process: "a/1"}))
	require.False(t, d.Record(start, crashcount.Crash{Fingerprint: 1, Process: "a/1"}), "one process counts once")
	d.Record(start, crashcount.Crash{Fingerprint: 1, Process: "b/1"})
	require.False(t, d.IsBlocked(1))
	d.Record(start, crashcount.Crash{Fingerprint: 1, Process: "a/2"})
	require.True(t, d.IsBlocked(1))
	require.False(t, d.IsBlocked(2))
}

func TestOldCrashesAreForgotten(t *testing.T) {
	var d crashcount.Counter
	for _, process := range []string{"a", "b", "c"} {
		d.Record(start, crashcount.Crash{Fingerprint: 1, Process: process})
	}
	d.RemoveExpired(start.Add(time.Minute))
	require.True(t, d.IsBlocked(1))
	d.RemoveExpired(start.Add(2 * time.Minute))
	require.False(t, d.IsBlocked(1))
}
