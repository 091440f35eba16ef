package cluster

import (
	"net"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"cardamomward/core/eviction"
	"cardamomward/core/id"
	"cardamomward/io/fleet/fleetpb"
)

// countTargets returns how many of the recipients have one of the addresses.
func countTargets(targets []*net.UDPAddr, addresses []string) (count int) {
	for _, target := range targets {
		if slices.Contains(addresses, target.String()) {
			count++
		}
	}

	return count
}

// decodeHeartbeat decodes a heartbeat as its recipient does.
func decodeHeartbeat(t *testing.T, data []byte) *fleetpb.Beat {
	t.Helper()
	var heartbeat fleetpb.Beat
	require.NoError(t, proto.Unmarshal(data, &heartbeat))

	return &heartbeat
}

// Guards against owners that miss heartbeats of each other, and against short heartbeats to hosts that may not understand them: those
// that have not said so, and those that are silent and may be replaced by a process of the earlier release.
func TestShortHeartbeatsGoOnlyToHostsThatUnderstandThem(t *testing.T) {
	c, now := ownerCases[0].newHost(t, 830)
	owners := slices.Clone(c.ownership.Load().owners)
	c.peers.buildHeartbeats(*now)
	*now = now.Add(ownerListSpreadDuration)
	for range 100 {
		next := c.nextHeartbeats()
		require.Equal(t, len(owners)-1, countTargets(next.targets, owners)+countTargets(next.shortTargets, owners), "each of the other owners gets one heartbeat")
		require.Less(t, countTargets(next.targets, owners), 8)
		*now = now.Add(heartbeatInterval)
	}
	earlier, silent := c.peers.byHost["host-1"], c.peers.byHost["host-2"]
	require.Contains(t, owners, earlier.PeerAddress)
	require.Contains(t, owners, silent.PeerAddress)
	earlier.readsShort = false
	for range 100 {
		c.peers.hearAll(*now)
		silent.lastHeardAt = now.Add(-eviction.SilenceTimeout)
		next := c.peers.buildHeartbeats(*now)
		require.Equal(t, 2, countTargets(next.targets, []string{earlier.PeerAddress, silent.PeerAddress}))
		*now = now.Add(heartbeatInterval)
	}
	c.ownership.Store(&ownership{generation: 301, owners: owners})
	lists := 0
	for range 2 * heartbeatsPerOwnerList {
		next := c.nextHeartbeats()
		if len(decodeHeartbeat(t, next.complete).Owners) > 0 {
			lists++
			require.Empty(t, next.shortTargets, "new owners are told to all recipients")
		}
		*now = now.Add(heartbeatInterval)
	}
	require.Equal(t, 2, lists)
}

// Guards against an owner that is taken for silent while it sends short heartbeats, against failures that are detected later than after
// 0.45 s, and against loads that a short heartbeat replaces.
func TestOwnerThatSendsShortHeartbeatsIsHeardUntilItFails(t *testing.T) {
	sender, sentAt := ownerCases[0].newHost(t, 830)
	c, now := heartbeatCases[len(heartbeatCases)-1].newHost(t, 830)
	const name = id.Host("host-500")
	require.Equal(t, name, sender.Settings.Name)
	heard := c.peers.byHost[name]
	owners := slices.Clone(c.ownership.Load().owners)
	owners[1] = heard.PeerAddress
	c.ownership.Store(&ownership{generation: 300, owners: owners})
	isEvicted := func() bool {
		silences := c.peers.peerSilences(*now)

		return slices.ContainsFunc(owners, func(self string) bool {
			return slices.Contains(eviction.SelectEvictions(self, owners, silences), heard.PeerAddress)
		})
	}
	advance := func(duration time.Duration) {
		*now, *sentAt = now.Add(duration), sentAt.Add(duration)
		for _, other := range c.peers.byHost {
			if other != heard {
				other.lastHeardAt = *now
			}
		}
	}
	first := decodeHeartbeat(t, sender.nextHeartbeats().complete)
	require.True(t, first.ReadsShort)
	c.peers.handleHeartbeat(*now, first)
	require.True(t, heard.readsShort)
	for range 30 {
		advance(heartbeatInterval)
		next := sender.nextHeartbeats()
		require.Less(t, len(next.short), 30)
		c.peers.handleHeartbeat(*now, decodeHeartbeat(t, next.short))
		require.Equal(t, *now, heard.lastHeardAt)
		require.Equal(t, now.Add(-250*time.Millisecond), heard.storeRespondedAt)
		require.True(t, heard.hasBeenMember)
		require.Len(t, heard.runningRequests, requestsPerHost, "a short heartbeat says nothing of loads")
		require.True(t, heard.readsShort)
		require.False(t, isEvicted())
	}
	sender.peers.setDraining()
	sender.IsPartitionedFromUpstreams = func() bool { return true }
	sender.peers.gossipEviction("10.0.0.1:7780")
	advance(heartbeatInterval)
	last := decodeHeartbeat(t, sender.nextHeartbeats().short)
	require.Equal(t, []string{"10.0.0.1:7780"}, last.Evicted)
	c.peers.handleHeartbeat(*now, last)
	require.True(t, heard.isDraining)
	require.True(t, heard.isPartitioned)
	advance(eviction.SilenceTimeout - time.Millisecond)
	require.False(t, isEvicted())
	advance(time.Millisecond)
	require.True(t, isEvicted(), "the owner is silent for 0.45 s")
	restarted := proto.CloneOf(first)
	restarted.Sequence, restarted.ReadsShort = 1, false
	advance(baseSilenceTimeout)
	c.peers.handleHeartbeat(*now, restarted)
	require.False(t, heard.readsShort, "a process of the earlier release has taken the owner's place")
}

// Guards against loads that are taken for current although only short heartbeats have arrived for long.
func TestLoadsOfOwnerExpireWithoutCompleteHeartbeats(t *testing.T) {
	sender, sentAt := ownerCases[0].newHost(t, 830)
	c, now := heartbeatCases[0].newHost(t, 830)
	upstream := id.Upstream("upstream-100")
	own := c.RunningRequests(upstream)
	c.peers.handleHeartbeat(*now, decodeHeartbeat(t, sender.nextHeartbeats().complete))
	c.peers.buildHeartbeats(*now)
	require.Equal(t, own+1, c.RunningRequests(upstream))
	*now, *sentAt = now.Add(time.Minute), sentAt.Add(time.Minute)
	c.peers.handleHeartbeat(*now, decodeHeartbeat(t, sender.nextHeartbeats().short))
	c.peers.buildHeartbeats(*now)
	require.Equal(t, own, c.RunningRequests(upstream))
}

// Guards against short heartbeats of which hosts of the earlier release take the absent loads for none, or that they take for those of
// another host.
func TestEarlierReleaseIgnoresShortHeartbeats(t *testing.T) {
	sender, _ := ownerCases[0].newHost(t, 830)
	c, now := heartbeatCases[0].newHost(t, 830)
	next := sender.nextHeartbeats()
	c.peers.handleHeartbeat(*now, decodeHeartbeat(t, next.complete))
	decoded := requireOnlyNewFieldsLost(t, decodeHeartbeat(t, next.short), earlierDefinitions(t).Messages().ByName("Beat"))
	data, err := proto.Marshal(decoded)
	require.NoError(t, err)
	earlier := decodeHeartbeat(t, data)
	require.Empty(t, earlier.Host)
	require.Zero(t, earlier.Sender)
	heard := c.peers.byHost["host-500"]
	before := *heard
	c.peers.handleHeartbeat(now.Add(heartbeatInterval), earlier)
	require.Equal(t, before, *heard)
	require.NotContains(t, c.peers.byHost, id.Host(""))
}

// Guards against short heartbeats of hosts that were listed, or listed under another name, after the first one has arrived.
func TestSenderOfShortHeartbeatIsFoundAfterListChanges(t *testing.T) {
	c, now := heartbeatCases[0].newHost(t, 12)
	unknown := &fleetpb.Beat{Sender: hashSender("host-new"), Sequence: 1, Member: true}
	c.peers.handleHeartbeat(*now, unknown)
	require.NotContains(t, c.peers.byHost, id.Host("host-new"))
	added := &peer{hostEntry: hostEntry{PeerAddress: "10.0.0.1:7780"}, udpAddr: &net.UDPAddr{}}
	c.peers.byHost["host-new"] = added
	c.peers.handleHeartbeat(*now, unknown)
	require.Equal(t, *now, added.lastHeardAt)
	delete(c.peers.byHost, "host-new")
	*now = now.Add(time.Second)
	c.peers.handleHeartbeat(*now, &fleetpb.Beat{Sender: hashSender("host-new"), Sequence: 2})
	require.NotEqual(t, *now, added.lastHeardAt)
}
