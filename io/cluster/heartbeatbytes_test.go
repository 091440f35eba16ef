package cluster

import (
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"cardamomward/core/id"
	"cardamomward/core/registry"
	"cardamomward/core/workleft"
	"cardamomward/io/fleet/fleetpb"
	"cardamomward/platform"
)

const (
	// controlBytesPerSecond is the budget of a host for control traffic at 830 hosts.
	controlBytesPerSecond = 28_000
	// simulatedSlots is the number of slots, those of the platform's topics.
	simulatedSlots = 24
	// requestsPerHost is the number of requests that run at each host, each at another upstream.
	requestsPerHost = 8
)

// heartbeatCase is a host whose heartbeats are measured.
type heartbeatCase struct {
	name string
	// hostFormat and upstreamFormat are the names of hosts and upstreams.
	hostFormat, upstreamFormat string
	// hasReports is set if the host reports the work of its requests and the loads of workspaces.
	hasReports bool
	isOwner    bool
	// peersReadShort is set if all peers are known to understand short heartbeats.
	peersReadShort bool
}

var heartbeatCases = []heartbeatCase{
	{name: "short names", hostFormat: "host-%d", upstreamFormat: "upstream-%d"},
	{name: "long names", hostFormat: "front-rwamagana-%d", upstreamFormat: "engine-rwamagana-%d"},
	{name: "short names, reports", hostFormat: "host-%d", upstreamFormat: "upstream-%d", hasReports: true},
	{name: "long names, reports", hostFormat: "front-rwamagana-%d", upstreamFormat: "engine-rwamagana-%d", hasReports: true},
	{name: "owner, short names", hostFormat: "host-%d", upstreamFormat: "upstream-%d", isOwner: true},
}

// ownerCases are owners whose peers understand short heartbeats.
var ownerCases = []heartbeatCase{
	{name: "owner, short names, short heartbeats", hostFormat: "host-%d", upstreamFormat: "upstream-%d", isOwner: true, peersReadShort: true},
	{name: "owner, long names, short heartbeats", hostFormat: "front-rwamagana-%d", upstreamFormat: "engine-rwamagana-%d", isOwner: true, peersReadShort: true},
	{name: "owner, short names, reports, short heartbeats", hostFormat: "host-%d", upstreamFormat: "upstream-%d", hasReports: true, isOwner: true, peersReadShort: true},
}

// largestOwnerCase is an owner whose complete heartbeats are the largest.
var largestOwnerCase = heartbeatCase{name: "owner, long names, reports, short heartbeats", hostFormat: "front-rwamagana-%d", upstreamFormat: "engine-rwamagana-%d", hasReports: true, isOwner: true, peersReadShort: true}

// newHost returns a host among the given number of hosts, with a clock that the caller moves.
func (tt heartbeatCase) newHost(t testing.TB, hosts int) (c *Cluster, now *time.Time) {
	t.Helper()
	now = new(time.Time)
	*now = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	c = New(Options{
		Settings: &platform.HostSettings{
			Name: id.Host(fmt.Sprintf(tt.hostFormat, 500)), IP: "10.9.8.77", PeerPorts: [2]int{7780, 7780},
			Store: platform.StoreSettings{Partitions: simulatedSlots},
		},
		Store: platform.NewStore("127.0.0.1:1"), Logger: logr.Discard(), Now: func() time.Time { return *now },
		IsPartitionedFromUpstreams: func() bool { return false }, HasConfig: func() bool { return true },
	})
	owners := make([]string, 0, simulatedSlots)
	for i := range hosts - 1 {
		address := net.UDPAddr{IP: net.IPv4(10, byte(10+i%16), byte(i/200), byte(20+i%200)), Port: 7780}
		c.peers.byHost[id.Host(fmt.Sprintf(tt.hostFormat, i))] = &peer{hostEntry: hostEntry{PeerAddress: address.String()}, udpAddr: &address, lastHeardAt: now.Add(-time.Duration(i%20) * time.Second), listedAt: *now, readsShort: tt.peersReadShort}
		owners = append(owners, address.String())
	}
	for len(owners) < simulatedSlots {
		owners = append(owners, owners[len(owners)-hosts+1])
	}
	owners = owners[:simulatedSlots]
	if tt.isOwner {
		owners[0] = c.self
	}
	c.ownership.Store(&ownership{generation: 300, owners: owners})
	c.leaseExpiryNanos.Store(1)
	for i := range requestsPerHost {
		upstream := id.Upstream(fmt.Sprintf(tt.upstreamFormat, 100+37*i))
		c.AddRunningRequests(upstream, 1)
		if tt.hasReports {
			c.BeginWork(&registry.Instance{ID: upstream, Service: "engines"}, workleft.Work{OutputTokens: 400, MillisPerToken: 25, PromptTokens: 20_000})
			c.AddWorkspaceRequests(id.Workspace(fmt.Sprintf("workspace-%d", i)), "engines", 1)
			c.RecordProgramStart("engines", true)
		}
	}
	if tt.hasReports {
		c.ReportWorkspaceLoads()
	}
	c.peers.sequence = 10_000

	return c, now
}

// buildHeartbeat returns the next complete heartbeat.
func (p *peerTable) buildHeartbeat(now time.Time) []byte { return p.buildHeartbeats(now).complete }

// hearAll makes owners heard now, and other peers that have been silent for 20 s too.
func (p *peerTable) hearAll(now time.Time) {
	owners := p.cluster.ownership.Load().owners
	for _, other := range p.byHost {
		if now.Sub(other.lastHeardAt) > 20*time.Second || slices.Contains(owners, other.PeerAddress) {
			other.lastHeardAt = now
		}
	}
}

// nextHeartbeats returns the next heartbeats. The store has responded to the host lately, owners have been heard now, and the other peers
// at different times within the last 20 s.
func (c *Cluster) nextHeartbeats() heartbeats {
	c.directPath.breaker.RecordResult(c.Now().Add(-250*time.Millisecond), true)
	c.peers.hearAll(c.Now())

	return c.peers.buildHeartbeats(c.Now())
}

// nextDatagrams returns the next complete heartbeat and its recipients.
func (c *Cluster) nextDatagrams(t testing.TB) (heartbeat *fleetpb.Beat, targets []*net.UDPAddr) {
	t.Helper()
	next := c.nextHeartbeats()
	heartbeat = &fleetpb.Beat{}
	require.NoError(t, proto.Unmarshal(next.complete, heartbeat))

	return heartbeat, next.targets
}

// heartbeatTraffic holds the heartbeats that a host sends in a second.
type heartbeatTraffic struct {
	datagrams, bytes float64
	// complete counts the datagrams with complete heartbeats.
	complete   float64
	ownerLists float64
}

// withHeaders returns the bytes with the headers of the datagrams.
func (h heartbeatTraffic) withHeaders() float64 { return h.bytes + h.datagrams*datagramHeaderBytes }

// measure returns what a host sends within some minutes, once new owners have been spread.
func (tt heartbeatCase) measure(t testing.TB, hosts int) heartbeatTraffic {
	t.Helper()
	const seconds = 128
	c, now := tt.newHost(t, hosts)
	c.peers.buildHeartbeat(*now)
	*now = now.Add(ownerListSpreadDuration)
	var sent heartbeatTraffic
	for range seconds * int(time.Second/heartbeatInterval) {
		next := c.nextHeartbeats()
		heartbeat := &fleetpb.Beat{}
		require.NoError(t, proto.Unmarshal(next.complete, heartbeat))
		sent.datagrams += float64(len(next.targets)+len(next.shortTargets)) / seconds
		sent.complete += float64(len(next.targets)) / seconds
		sent.bytes += float64(len(next.targets)*len(next.complete)+len(next.shortTargets)*len(next.short)) / seconds
		require.Len(t, heartbeat.Loads, requestsPerHost)
		if len(heartbeat.Owners) > 0 {
			sent.ownerLists += 1.0 / seconds
		}
		*now = now.Add(heartbeatInterval)
	}

	return sent
}

// Guards against owners that exceed the budget because the least number of complete heartbeats does not fit.
func TestLargestHeartbeatsOfOwnersOf830HostsAreWithinControlBudget(t *testing.T) {
	sent := largestOwnerCase.measure(t, 830)
	require.GreaterOrEqual(t, sent.complete, 30.0, "loads must be heard of within the silence timeout")
	require.LessOrEqual(t, sent.withHeaders(), float64(controlBytesPerSecond))
}

// Guards against heartbeats that exceed the budget for control traffic in the largest fleet, whatever they report.
func TestHeartbeatsOf830HostsAreWithinControlBudget(t *testing.T) {
	for _, tt := range slices.Concat(heartbeatCases, ownerCases) {
		for _, hosts := range []int{12, 80, 300, 830} {
			sent := tt.measure(t, hosts)
			t.Logf("%s, %d hosts: %.0f bytes/s, %.0f with headers, %.0f datagrams/s, %.0f complete", tt.name, hosts, sent.bytes, sent.withHeaders(), sent.datagrams, sent.complete)
			if hosts == 830 && !tt.isOwner {
				require.LessOrEqual(t, sent.withHeaders(), float64(controlBytesPerSecond), tt.name)
				require.GreaterOrEqual(t, sent.datagrams, 80.0, "a peer must be heard several times within its silence timeout")
			}
			if hosts == 830 && tt.peersReadShort {
				require.LessOrEqual(t, sent.withHeaders(), float64(controlBytesPerSecond), tt.name)
				require.GreaterOrEqual(t, sent.complete, 30.0, "loads must be heard of within the silence timeout")
				require.InDelta(t, 160+220, sent.datagrams, 10, "a peer hears an owner as often as before, and an owner every heartbeat")
			}
		}
	}
}

// Guards against older views of the load in fleets of up to 300 hosts, which placement depends on.
func TestHeartbeatsOfUpTo300HostsGoTo16PeersWithFrequentOwnerLists(t *testing.T) {
	for _, tt := range heartbeatCases[:4] {
		for hosts, datagramsPerSecond := range map[int]float64{12: 110, 80: 160, 300: 160} {
			sent := tt.measure(t, hosts)
			require.InDelta(t, datagramsPerSecond, sent.datagrams, 1e-6, "%s, %d hosts", tt.name, hosts)
			require.InDelta(t, 1.25, sent.ownerLists, 1e-6, "%s, %d hosts", tt.name, hosts)
		}
	}
	for _, tt := range append(slices.Clip(ownerCases), largestOwnerCase) {
		for _, hosts := range []int{12, 80, 300} {
			sent := tt.measure(t, hosts)
			require.InDelta(t, sent.datagrams, sent.complete, 1e-6, "%s, %d hosts", tt.name, hosts)
			require.InDelta(t, 1.25, sent.ownerLists, 1e-6, "%s, %d hosts", tt.name, hosts)
			c, _ := tt.newHost(t, hosts)
			heartbeat, _ := c.nextDatagrams(t)
			require.False(t, heartbeat.ReadsShort, "a heartbeat is as long as before")
		}
	}
}

// Guards against hosts of a large fleet that learn of new owners late, and against owners that others take for silent.
func TestOwnersOfLargeFleetSendToAllOwnersAndSpreadChanges(t *testing.T) {
	tt := heartbeatCases[len(heartbeatCases)-1]
	c, now := tt.newHost(t, 830)
	owners := c.ownership.Load().owners
	ownerLists := func(duration time.Duration) (count int) {
		toOthers := 0
		for range duration / heartbeatInterval {
			heartbeat, targets := c.nextDatagrams(t)
			if len(heartbeat.Owners) > 0 {
				count++
			}
			toOwners := 0
			for _, target := range targets {
				if slices.Contains(owners, target.String()) {
					toOwners++
				}
			}
			require.Equal(t, len(owners)-1, toOwners)
			toOthers += len(targets) - toOwners
			*now = now.Add(heartbeatInterval)
		}
		// 806 of the 829 peers own no slot.
		require.InEpsilon(t, heartbeatFanout*806.0/829*float64(duration/heartbeatInterval), toOthers, 0.05)

		return count
	}
	require.GreaterOrEqual(t, ownerLists(ownerListSpreadDuration), 12)
	require.LessOrEqual(t, ownerLists(ownerListSpreadDuration), 1)
	c.ownership.Store(&ownership{generation: 301, owners: owners})
	require.GreaterOrEqual(t, ownerLists(ownerListSpreadDuration), 12, "the owners have changed")
}

// BenchmarkHeartbeat measures building a heartbeat, and reports what a host sends a second with the headers of the datagrams.
func BenchmarkHeartbeat(b *testing.B) {
	for _, tt := range heartbeatCases {
		for _, hosts := range []int{12, 80, 300, 830} {
			b.Run(fmt.Sprintf("%s/%d", tt.name, hosts), func(b *testing.B) {
				sent := tt.measure(b, hosts)
				c, now := tt.newHost(b, hosts)
				b.ResetTimer()
				for range b.N {
					c.peers.buildHeartbeat(*now)
				}
				b.ReportMetric(sent.withHeaders(), "sent-B/s")
				b.ReportMetric(sent.bytes, "payload-B/s")
			})
		}
	}
}
