package streamorigin_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/streamorigin"
)

func TestReportOfOtherOrUnknownProcessIsNotTakenForRegisteredOne(t *testing.T) {
	received := func(incarnation int64) streamorigin.Report {
		return streamorigin.Report{Kind: streamorigin.ReportReceived, Incarnation: incarnation, RequestedAt: start}
	}
	for name, tt := range map[string]struct {
		report streamorigin.Report
		after  time.Duration
		want   streamorigin.ProcessState
	}{
		"same process":               {received(5), 0, streamorigin.ProcessExpected},
		"later process":              {received(6), 0, streamorigin.ProcessRestarted},
		"restart after step of time": {received(4), 0, streamorigin.ProcessRestarted},
		"no report":                  {streamorigin.Report{Kind: streamorigin.ReportUnsupported, RequestedAt: start}, 0, streamorigin.ProcessUnreported},
		"no response":                {streamorigin.Report{RequestedAt: start}, 0, streamorigin.ProcessUnknown},
		"zero value":                 {streamorigin.Report{}, 0, streamorigin.ProcessUnknown},
		"host frozen meanwhile":      {received(5), 1001 * time.Millisecond, streamorigin.ProcessUnknown},
	} {
		require.Equal(t, tt.want, tt.report.Evaluate(start.Add(tt.after), 5), name)
	}
}

func TestStreamIsContinuedOnlyWhereItsVersionIsCertain(t *testing.T) {
	const (
		unknown, unreported = streamorigin.ProcessUnknown, streamorigin.ProcessUnreported
		restarted, expected = streamorigin.ProcessRestarted, streamorigin.ProcessExpected
	)
	for name, tt := range map[string]struct {
		evidence streamorigin.Evidence
		want     streamorigin.Decision
	}{
		"nothing is known":                      {streamorigin.Evidence{}, streamorigin.TryNext},
		"registered process, confirmed origin":  {streamorigin.Evidence{Candidate: expected, IsOriginConfirmed: true}, streamorigin.Continue},
		"registered process, origin reports":    {streamorigin.Evidence{Candidate: expected, Origin: expected}, streamorigin.Continue},
		"origin has restarted":                  {streamorigin.Evidence{Candidate: expected, Origin: restarted, HasSoleVersion: true}, streamorigin.Refuse},
		"origin does not respond":               {streamorigin.Evidence{Candidate: expected, Origin: unknown, HasSoleVersion: true}, streamorigin.Refuse},
		"origin has no report":                  {streamorigin.Evidence{Candidate: expected, Origin: unreported, HasSoleVersion: true}, streamorigin.Continue},
		"origin has no report, two versions":    {streamorigin.Evidence{Candidate: expected, Origin: unreported}, streamorigin.Refuse},
		"candidate has restarted":               {streamorigin.Evidence{Candidate: restarted, IsOriginConfirmed: true, HasSoleVersion: true}, streamorigin.TryNext},
		"candidate has restarted since a read":  {streamorigin.Evidence{Candidate: restarted, IsCandidateRead: true, IsOriginConfirmed: true}, streamorigin.TryNext},
		"candidate does not respond":            {streamorigin.Evidence{IsOriginConfirmed: true, HasSoleVersion: true}, streamorigin.TryNext},
		"candidate was read":                    {streamorigin.Evidence{IsCandidateRead: true, IsOriginConfirmed: true}, streamorigin.Continue},
		"candidate has no report":               {streamorigin.Evidence{Candidate: unreported, HasSoleVersion: true}, streamorigin.Continue},
		"candidate has no report, two versions": {streamorigin.Evidence{Candidate: unreported, IsOriginConfirmed: true}, streamorigin.TryNext},
		"no report, origin has restarted":       {streamorigin.Evidence{Candidate: unreported, Origin: restarted, HasSoleVersion: true}, streamorigin.Refuse},
		"no report, two versions, read":         {streamorigin.Evidence{Candidate: unreported, IsCandidateRead: true, IsOriginConfirmed: true}, streamorigin.Continue},
	} {
		require.Equal(t, tt.want, tt.evidence.Decide(), name)
	}
}

func TestOriginIsConfirmedByReadAfterStreamBegan(t *testing.T) {
	recorded := bornAt(-time.Minute, "v1")
	h := newHistory(recorded)
	origin := originOf(recorded, 0)
	require.False(t, h.Confirm(origin, start), "nothing has been read")
	h.RecordApplied(start.Add(249 * time.Millisecond))
	require.False(t, h.Confirm(origin, start), "a process that has just begun to serve may not have registered")
	require.True(t, h.Confirm(origin, start.Add(-time.Millisecond)), "the connection was opened before")
	h.RecordApplied(start.Add(250 * time.Millisecond))
	require.True(t, h.Confirm(origin, start))
	require.False(t, h.Confirm(origin, time.Time{}), "the clock of the host that began the stream may differ")
	origin.ObservedAt = start
	require.True(t, h.Confirm(origin, time.Time{}))
	origin.ObservedAt = start.Add(time.Hour)
	h.RecordApplied(start.Add(2750 * time.Millisecond))
	require.True(t, h.Confirm(origin, time.Time{}), "the read is later by any clock")
	h.RecordProcess(start, "engine-0", bornAt(-time.Second, "v2"))
	origin.IsConfirmed = true
	require.False(t, h.Confirm(origin, start), "another process has registered")
}

// A host that has stood still, or was cut off, for less than the age at which its reads count as missing continued streams of an
// upstream that it had not read of.
func TestStreamWithoutAttemptIsConfirmedByReadAfterItsResumption(t *testing.T) {
	h := newHistory(bornAt(-time.Minute, "v1"))
	h.RecordRead(start)
	h.RecordApplied(start)
	resumedAt := start.Add(3 * time.Second)
	require.Equal(t, streamorigin.Known, h.VerifySoleVersion(resumedAt, "engines", "v1", 0))
	origin := streamorigin.Origin{Service: "engines", Version: "v1", StartedAt: resumedAt}
	require.False(t, h.Confirm(origin, time.Time{}))
	h.RecordApplied(resumedAt.Add(250 * time.Millisecond))
	require.True(t, h.Confirm(origin, time.Time{}))
}

func TestOriginThatOtherHostConfirmsNeedsNoRead(t *testing.T) {
	recorded := bornAt(-time.Minute, "v1")
	origin := originOf(recorded, 0)
	origin.IsConfirmed = true
	require.True(t, newHistory(recorded).Confirm(origin, time.Time{}))
	var unlisted streamorigin.History
	require.False(t, unlisted.Confirm(origin, time.Time{}))
}

func TestReadsSoonAfterOutageDoNotConfirmOrigin(t *testing.T) {
	recorded := bornAt(-time.Minute, "v1")
	h := newHistory(recorded)
	h.RecordOutageEnd(start.Add(time.Second))
	h.RecordApplied(start.Add(2999 * time.Millisecond))
	require.False(t, h.Confirm(originOf(recorded, 0), start), "upstreams may not have registered yet after the outage")
	h.RecordApplied(start.Add(3 * time.Second))
	require.True(t, h.Confirm(originOf(recorded, 0), start))
}
