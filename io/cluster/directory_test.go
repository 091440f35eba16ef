package cluster

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/id"
)

// addSilentPeer adds a peer that was last heard at a time.
func (p *peerTable) addSilentPeer(name string, lastHeardAt time.Time) {
	p.byHost[id.Host(name)] = &peer{
		hostEntry: hostEntry{PeerAddress: name, CallerAddress: name, CPUCores: 1}, listedAt: lastHeardAt, lastHeardAt: lastHeardAt,
	}
}

func TestDirectoryDoesNotNameKilledHostsInLargeFleet(t *testing.T) {
	for _, hosts := range []int{3, 300, 830} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			c, _ := newTestCluster(t)
			now := time.Now()
			for i := range hosts - 2 {
				c.peers.addSilentPeer(fmt.Sprintf("running-%d", i), now)
			}
			c.peers.addSilentPeer("killed", now.Add(-6*time.Second))
			addresses := c.CallerAddresses(now, hosts)
			require.False(t, slices.Contains(addresses, "killed"))
			require.GreaterOrEqual(t, len(addresses), hosts-2)
		})
	}
}

func TestIsolatedHostDoesNotNameHostsThatWereSilentBefore(t *testing.T) {
	c, _ := newTestCluster(t)
	now := time.Now()
	c.setOwnership(&ownership{owners: []string{"running"}})
	c.peers.addSilentPeer("running", now.Add(-20*time.Second))
	c.peers.addSilentPeer("killed", now.Add(-26*time.Second))
	require.True(t, c.IsIsolated(now))
	require.Equal(t, []string{"running"}, c.CallerAddresses(now, 64))
}
