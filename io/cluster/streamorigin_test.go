package cluster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/streamorigin"
	"cardamomward/io/fleet/fleetpb"
)

func TestStreamIsNotReportedAsUnknownWhileHostMayKnowIt(t *testing.T) {
	c, _ := newTestCluster(t)
	requireKnowledge := func(want streamorigin.Knowledge, reason string) {
		t.Helper()
		_, known := c.FindStreamOrigin(t.Context(), "attempt")
		require.Equal(t, want, known, reason)
	}
	listRead := c.peers.hostListRead
	c.peers.hostListRead = make(chan struct{})
	requireKnowledge(streamorigin.Unanswered, "the list of hosts has not been read")
	c.peers.hostListRead = listRead
	requireKnowledge(streamorigin.Unknown, "there is no other host")
	setSilentPeer := func(silentFor time.Duration) {
		c.peers.mu.Lock()
		defer c.peers.mu.Unlock()
		lastHeardAt := time.Now().Add(-silentFor)
		c.peers.byHost["host-1"] = &peer{hostEntry: hostEntry{PeerAddress: "127.0.0.1:3"}, listedAt: lastHeardAt, lastHeardAt: lastHeardAt}
	}
	setSilentPeer(0)
	requireKnowledge(streamorigin.Unanswered, "the host does not answer")
	setSilentPeer(5 * time.Second)
	requireKnowledge(streamorigin.Unanswered, "the host may be frozen")
	setSilentPeer(time.Minute)
	requireKnowledge(streamorigin.Unknown, "the host is forgotten")
}

func TestKeeperConfirmsOriginByItsOwnReads(t *testing.T) {
	c, _ := newTestCluster(t)
	origin := streamorigin.Origin{Service: "engines", Upstream: "engine-0", Incarnation: 5, Version: "v1", StartedAt: time.UnixMilli(1000)}
	beganAt := time.Now()
	c.storeStreamOrigin("attempt", decodeStreamOrigin(encodeStreamOrigin("attempt", origin)))
	isConfirmed := func() bool {
		t.Helper()
		reply, err := (&slotServer{cluster: c}).FindStream(t.Context(), &fleetpb.FindStreamRequest{Attempt: "attempt"})
		require.NoError(t, err)

		return decodeStreamOrigin(reply.Origin).IsConfirmed
	}
	require.False(t, isConfirmed())
	c.ConfirmOrigin = func(found streamorigin.Origin) bool { return !found.ObservedAt.Before(beganAt) }
	require.True(t, isConfirmed(), "the keeper has read the registrations since it learned of the origin")
	c.ConfirmOrigin = nil
	origin.IsConfirmed = true
	c.storeStreamOrigin("attempt", decodeStreamOrigin(encodeStreamOrigin("attempt", origin)))
	require.True(t, isConfirmed(), "the host that began the stream has confirmed it")
}
