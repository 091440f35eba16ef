package reachability_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/reachability"
)

var start = time.Unix(1000, 0)

func TestFailedDirectPathIsAvoidedOnlyIfAnotherHostConnects(t *testing.T) {
	var tracker reachability.Tracker
	tracker.RecordDirect(start, "a", reachability.TimedOut)
	require.False(t, tracker.AvoidsDirectPath(start, "a"), "the upstream itself may be down")
	tracker.RecordRelayed("a")
	require.True(t, tracker.AvoidsDirectPath(start, "a"))
	require.False(t, tracker.AvoidsDirectPath(start, "b"))
	tracker.RecordDirect(start.Add(time.Second), "a", reachability.Connected)
	require.False(t, tracker.AvoidsDirectPath(start.Add(time.Second), "a"))
}

func TestHostWithoutAnyDirectPathIsPartitioned(t *testing.T) {
	var tracker reachability.Tracker
	tracker.RecordDirect(start, "a", reachability.TimedOut)
	require.False(t, tracker.IsPartitioned(start), "one upstream may be down")
	tracker.RecordDirect(start, "b", reachability.TimedOut)
	require.True(t, tracker.IsPartitioned(start))
	require.True(t, tracker.AvoidsDirectPath(start, "c"), "upstreams that were not tried are avoided too")
	require.True(t, tracker.MayHangDirectly(start, "c"), "idle connections are not used")
	require.False(t, tracker.HangsDirectly(start, "c"), "requests in progress are not given up without an attempt to connect")
	tracker.RecordDirect(start.Add(time.Second), "c", reachability.Connected)
	require.False(t, tracker.IsPartitioned(start.Add(time.Second)))
}

func TestUpstreamsThatAreDownDoNotPartitionHostThatConnectsToOthers(t *testing.T) {
	var tracker reachability.Tracker
	for i := range 10 {
		now := start.Add(time.Duration(i) * time.Second)
		tracker.RecordDirect(now, "a", reachability.TimedOut)
		tracker.RecordDirect(now, "b", reachability.Refused)
		tracker.RecordDirect(now.Add(time.Millisecond), "c", reachability.Connected)
		require.False(t, tracker.IsPartitioned(now.Add(time.Millisecond)))
	}
}

func TestOpenConnectionsAreKeptWhileNewOnesAreRefused(t *testing.T) {
	var tracker reachability.Tracker
	for _, address := range []reachability.Address{"a", "b"} {
		tracker.RecordDirect(start, address, reachability.Refused)
		tracker.RecordRelayed(address)
	}
	require.True(t, tracker.AvoidsDirectPath(start, "a"))
	require.False(t, tracker.HangsDirectly(start, "a"))
	require.False(t, tracker.MayHangDirectly(start, "c"))
}

func TestAvoidedDirectPathIsProbedAtIntervals(t *testing.T) {
	var tracker reachability.Tracker
	for _, address := range []reachability.Address{"a", "b", "c"} {
		probes := 0
		for ms := range 1000 {
			if tracker.TryProbe(start.Add(time.Duration(ms)*time.Millisecond), address) {
				probes++
			}
		}
		require.Equal(t, 4, probes)
	}
	require.False(t, tracker.IsPartitioned(start), "a probe is no failure")
}

func TestUpstreamIsUnreachableOnlyIfAllPathsHaveJustFailed(t *testing.T) {
	var tracker reachability.Tracker
	tracker.RecordDirect(start, "a", reachability.Refused)
	_, failed := tracker.RecentFailure(start, "a")
	require.False(t, failed, "a relay may still connect")
	tracker.RecordUnreachable(start, "a")
	result, failed := tracker.RecentFailure(start, "a")
	require.True(t, failed)
	require.Equal(t, reachability.Refused, result)
	_, failed = tracker.RecentFailure(start.Add(time.Second), "a")
	require.False(t, failed, "the attempt is old")
}

func TestOldFailuresAreForgotten(t *testing.T) {
	var tracker reachability.Tracker
	for _, address := range []reachability.Address{"a", "b"} {
		tracker.RecordDirect(start, address, reachability.TimedOut)
		tracker.RecordRelayed(address)
	}
	later := start.Add(time.Minute)
	tracker.RemoveExpired(later)
	require.False(t, tracker.AvoidsDirectPath(later, "a"))
	require.False(t, tracker.IsPartitioned(later))
}
