package cluster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/id"
	"cardamomward/io/fleet/fleetpb"
	"cardamomward/io/upstreamclient"
)

func TestPeersThatCannotRelayAreNotAsked(t *testing.T) {
	const name, address = id.Host("peer"), "127.0.0.1:7795"
	for reason, test := range map[string]struct {
		heartbeat *fleetpb.Beat
		want      bool
	}{
		"none":        {&fleetpb.Beat{}, true},
		"partitioned": {&fleetpb.Beat{Partitioned: true}, false},
		"draining":    {&fleetpb.Beat{Draining: true}, false},
		"left":        {&fleetpb.Beat{Left: true}, false},
	} {
		t.Run(reason, func(t *testing.T) {
			c, _ := newTestCluster(t)
			now := time.Now()
			c.peers.byHost[name] = &peer{hostEntry: hostEntry{RelayAddress: address, CPUCores: 1}}
			test.heartbeat.Host, test.heartbeat.Sequence = string(name), 1
			c.peers.handleHeartbeat(now, test.heartbeat)
			_, picked := c.peers.pickUpstreamRelay(now, nil)
			require.Equal(t, test.want, picked)
			require.Equal(t, test.want, c.IsRelayAvailable(upstreamclient.Relay(address)))
		})
	}
}

func TestSilentAndBusyPeersAreNotAskedToRelay(t *testing.T) {
	const name, address = id.Host("peer"), "127.0.0.1:7795"
	c, _ := newTestCluster(t)
	now := time.Now()
	c.peers.byHost[name] = &peer{hostEntry: hostEntry{RelayAddress: address, CPUCores: 1}, lastHeardAt: now}
	_, picked := c.peers.pickUpstreamRelay(now.Add(baseSilenceTimeout+time.Millisecond), nil)
	require.False(t, picked, "the peer is silent")
	c.peers.recordBusyRelay(now, address)
	_, picked = c.peers.pickUpstreamRelay(now, nil)
	require.False(t, picked, "the peer has just refused")
	chosen, picked := c.peers.pickUpstreamRelay(now.Add(busyRelayPause), nil)
	require.True(t, picked)
	require.Equal(t, address, chosen)
	_, picked = c.peers.pickUpstreamRelay(now.Add(busyRelayPause), map[string]struct{}{address: {}})
	require.False(t, picked, "the peer was asked for this connection before")
}
