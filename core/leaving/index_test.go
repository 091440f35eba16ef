package leaving_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/id"
	"cardamomward/core/leaving"
)

const drainTimeout = 3 * time.Second

var (
	start   = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	process = leaving.Process{Upstream: "engine-0", Incarnation: 1}
)

func reported(receivedAt time.Time) leaving.Announcement {
	return leaving.Announcement{Process: process, ReceivedAt: receivedAt}
}

func requireUse(t *testing.T, x *leaving.Index, after time.Duration, want leaving.Use) {
	t.Helper()
	require.Equal(t, want, x.Use(start.Add(after), process, drainTimeout))
}

func TestUpstreamIsLastResortUntilDrainTimeoutAndNeverAfter(t *testing.T) {
	var x leaving.Index
	requireUse(t, &x, 0, leaving.Unrestricted)
	require.True(t, x.RecordOwn(start, process))
	requireUse(t, &x, drainTimeout-time.Millisecond, leaving.LastResort)
	requireUse(t, &x, drainTimeout, leaving.Never)
}

func TestRepeatedAnnouncementDoesNotExtendUse(t *testing.T) {
	var x leaving.Index
	x.RecordOwn(start, process)
	require.False(t, x.RecordOwn(start.Add(2*time.Second), process))
	require.False(t, x.RecordReported(start.Add(2*time.Second), reported(start.Add(time.Second))))
	requireUse(t, &x, drainTimeout, leaving.Never)
}

func TestEarlierReportShortensUse(t *testing.T) {
	var x leaving.Index
	x.RecordOwn(start, process)
	x.RecordReported(start.Add(time.Second), reported(start.Add(-time.Second)))
	requireUse(t, &x, drainTimeout-time.Second, leaving.Never)
}

func TestStepOfClockDoesNotBringUpstreamBack(t *testing.T) {
	var x leaving.Index
	x.RecordOwn(start, process)
	requireUse(t, &x, drainTimeout, leaving.Never)
	requireUse(t, &x, -time.Hour, leaving.Never)
}

func TestAnnouncementEndsWithItsProcess(t *testing.T) {
	var x leaving.Index
	x.RecordOwn(start, process)
	next := leaving.Process{Upstream: process.Upstream, Incarnation: 2}
	require.Equal(t, leaving.Unrestricted, x.Use(start, next, drainTimeout))
	x.RecordOwn(start, next)
	requireUse(t, &x, 0, leaving.LastResort)
}

func TestAnnouncementOutlivesLostRegistrationAndIsRemovedLater(t *testing.T) {
	var x leaving.Index
	x.RecordOwn(start, process)
	unlisted := func(leaving.Process) bool { return false }
	x.RemoveUnlisted(start.Add(time.Hour), func(leaving.Process) bool { return true })
	x.RemoveUnlisted(start.Add(time.Hour+5*time.Minute), unlisted)
	requireUse(t, &x, time.Hour, leaving.Never)
	x.RemoveUnlisted(start.Add(time.Hour+11*time.Minute), unlisted)
	require.Zero(t, x.Len())
}

func TestOnlyOwnRecentAnnouncementsAreGossiped(t *testing.T) {
	var x leaving.Index
	x.RecordReported(start, reported(start.Add(-time.Second)))
	require.Empty(t, x.ToGossip(start))
	x.RecordOwn(start, process)
	require.Equal(t, []leaving.Announcement{reported(start.Add(-time.Second))}, x.ToGossip(start.Add(time.Second)))
	x.RecordOwn(start.Add(2*time.Second), process)
	require.Empty(t, x.ToGossip(start.Add(2*time.Second)), "an upstream that answers for long is not reported for long")
}

func TestIndexStaysBoundedAndPrefersOwnAnnouncements(t *testing.T) {
	var x leaving.Index
	for i := range 10_000 {
		x.RecordReported(start, leaving.Announcement{Process: leaving.Process{Upstream: id.Upstream(fmt.Sprint(i))}, ReceivedAt: start})
	}
	require.Equal(t, 1<<12, x.Len())
	require.True(t, x.RecordOwn(start, process))
	require.Equal(t, 1<<12, x.Len())
	requireUse(t, &x, 0, leaving.LastResort)
}
