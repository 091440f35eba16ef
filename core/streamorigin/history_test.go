package streamorigin_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/id"
	"cardamomward/core/streamorigin"
)

// bornAt returns a process of the service "engines" that started some time after start.
func bornAt(after time.Duration, version id.SoftwareVersion) streamorigin.Process {
	return streamorigin.Process{Service: "engines", Incarnation: start.Add(after).UnixMilli(), Version: version}
}

// originOf returns the origin of a stream that began some time after start at a process of engine-0.
func originOf(process streamorigin.Process, after time.Duration) streamorigin.Origin {
	return streamorigin.Origin{
		Service: process.Service, Upstream: "engine-0", Incarnation: process.Incarnation, Version: process.Version, StartedAt: start.Add(after),
	}
}

// newHistory returns the history of a host that has listed engine-0 with the process at start.
func newHistory(process streamorigin.Process) *streamorigin.History {
	h := &streamorigin.History{}
	h.RecordProcess(start, "engine-0", process)
	h.RecordListing(start, map[id.Upstream]struct{}{"engine-0": {}})
	h.RecordRead(start)

	return h
}

const period = 33 * time.Second

func verifySole(h *streamorigin.History, after time.Duration, version id.SoftwareVersion) streamorigin.Knowledge {
	h.RecordRead(start.Add(after))

	return h.VerifySoleVersion(start.Add(after), "engines", version, period)
}

func TestHostThatHasJustStartedDoesNotKnowSoleVersion(t *testing.T) {
	var unlisted streamorigin.History
	unlisted.RecordProcess(start, "engine-0", bornAt(0, "v1"))
	require.Equal(t, streamorigin.Unanswered, verifySole(&unlisted, time.Hour, "v1"), "a listing in progress is partial")
	h := newHistory(bornAt(-time.Minute, "v1"))
	require.Equal(t, streamorigin.Unanswered, verifySole(h, period-time.Millisecond, "v1"))
	require.Equal(t, streamorigin.Known, verifySole(h, period, "v1"))
	h.RecordListing(start.Add(time.Minute), map[id.Upstream]struct{}{"engine-0": {}})
	require.Equal(t, streamorigin.Unanswered, verifySole(h, time.Minute+period/2, "v1"), "a listing hides what was removed before it")
}

func TestVersionThatWasRemovedLatelyIsNotForgotten(t *testing.T) {
	for name, remove := range map[string]func(h *streamorigin.History, at time.Time){
		"removed": func(h *streamorigin.History, at time.Time) { h.RecordRemoval(at, "engine-0") },
		"unlisted": func(h *streamorigin.History, at time.Time) {
			h.RecordListing(at, map[id.Upstream]struct{}{"engine-1": {}})
		},
		"replaced": func(h *streamorigin.History, at time.Time) {
			h.RecordProcess(at, "engine-0", bornAt(time.Hour, "v2"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHistory(bornAt(-time.Minute, "v1"))
			h.RecordProcess(start, "engine-1", bornAt(0, "v2"))
			require.Equal(t, streamorigin.Unknown, verifySole(h, time.Hour, "v2"))
			remove(h, start.Add(time.Hour))
			require.NotEqual(t, streamorigin.Known, verifySole(h, time.Hour+period-time.Millisecond, "v2"))
			require.Equal(t, streamorigin.Known, verifySole(h, time.Hour+period, "v2"))
		})
	}
}

func TestSoleVersionIsUnknownWhileRegistrationsAreNotRead(t *testing.T) {
	h := newHistory(bornAt(0, "v1"))
	h.RecordRead(start.Add(time.Minute))
	require.Equal(t, streamorigin.Known, h.VerifySoleVersion(start.Add(time.Minute+4*time.Second), "engines", "v1", period))
	require.Equal(t, streamorigin.Unanswered, h.VerifySoleVersion(start.Add(time.Minute+5*time.Second), "engines", "v1", period))
	require.Equal(t, streamorigin.Unanswered, h.VerifySoleVersion(start.Add(time.Hour), "engines", "v1", time.Hour), "removals are not remembered for so long")
}

func TestSoleVersionPeriodExceedsLifeOfStream(t *testing.T) {
	require.Greater(t, streamorigin.SoleVersionPeriod(time.Minute), time.Minute)
}

func TestRestartWithOtherVersionIsRememberedAfterRemoval(t *testing.T) {
	recorded := bornAt(-time.Minute, "v1")
	h := newHistory(recorded)
	h.RecordProcess(start, "engine-0", bornAt(-time.Second, "v2"))
	h.RecordRemoval(start, "engine-0")
	require.Equal(t, streamorigin.Unknown, h.Verify(originOf(recorded, 0)))
	h.RecordProcess(start, "engine-0", bornAt(time.Second, "v1"))
	require.Equal(t, streamorigin.Unknown, h.Verify(originOf(recorded, 0)), "a third process has the recorded version again")
	require.Equal(t, streamorigin.Known, h.Verify(originOf(recorded, -time.Minute)), "the stream began before the restart")
}

func TestRestartAfterStepOfClockIsNotTakenForEarlierProcess(t *testing.T) {
	recorded := bornAt(-time.Minute, "v1")
	h := newHistory(recorded)
	h.RecordProcess(start, "engine-0", bornAt(-time.Hour, "v2"))
	require.Equal(t, streamorigin.Unknown, h.Verify(originOf(recorded, 0)))
}

func TestEarlierProcessDoesNotMakeOriginUncertain(t *testing.T) {
	h := newHistory(bornAt(-time.Hour, "v1"))
	recorded := bornAt(-time.Minute, "v2")
	require.Equal(t, streamorigin.Known, h.Verify(originOf(recorded, 5*time.Second)), "this host reads the registration late")
	h.RecordProcess(start, "engine-0", recorded)
	require.Equal(t, streamorigin.Known, h.Verify(originOf(recorded, 0)))
}

func TestHostThatListsAfterStreamBeganDoesNotTrustMissingUpstream(t *testing.T) {
	recorded := bornAt(-time.Minute, "v1")
	h := &streamorigin.History{}
	require.Equal(t, streamorigin.Unanswered, h.Verify(originOf(recorded, 0)), "nothing has been listed")
	h.RecordListing(start.Add(time.Second), nil)
	require.Equal(t, streamorigin.Unanswered, h.Verify(originOf(recorded, 0)))
	require.Equal(t, streamorigin.Known, h.Verify(originOf(recorded, time.Minute)), "the listing precedes the stream")
	h.RecordProcess(start, "engine-0", bornAt(0, "v1"))
	require.Equal(t, streamorigin.Unanswered, h.Verify(originOf(recorded, 0)), "a process between the two may have been missed")
	require.Equal(t, streamorigin.Known, h.Verify(originOf(bornAt(0, "v1"), 0)))
	require.Equal(t, streamorigin.Known, h.Verify(streamorigin.Origin{Version: "v1"}), "the version was the only one")
}

func TestHistoryStaysBoundedDuringReleases(t *testing.T) {
	h := newHistory(bornAt(-time.Minute, "v1"))
	for i := range 10_000 {
		upstream := id.Upstream(fmt.Sprint(i))
		h.RecordProcess(start, upstream, bornAt(0, "v2"))
		h.RecordRemoval(start, upstream)
	}
	require.Equal(t, streamorigin.Unanswered, verifySole(h, period-time.Millisecond, "v1"))
	require.Equal(t, streamorigin.Unanswered, verifySole(h, period, "v1"), "what was dropped is not taken for never seen")
	require.Equal(t, streamorigin.Known, verifySole(h, 2*period, "v1"))
}
