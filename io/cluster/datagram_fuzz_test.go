package cluster

import (
	"math"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"cardamomward/core/coldstart"
	"cardamomward/core/id"
	"cardamomward/core/leaving"
	"cardamomward/core/registry"
	"cardamomward/io/fleet/fleetpb"
	"cardamomward/platform"
)

// datagramConn returns datagrams in order and is then closed.
type datagramConn struct {
	net.PacketConn

	datagrams [][]byte
}

func (c *datagramConn) ReadFrom(p []byte) (int, net.Addr, error) {
	if len(c.datagrams) == 0 {
		return 0, nil, net.ErrClosed
	}
	n := copy(p, c.datagrams[0])
	c.datagrams = c.datagrams[1:]

	return n, &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1}, nil
}

// newFuzzedCluster returns a host with two peers and a fixed clock that runs nothing in the background.
func newFuzzedCluster(now time.Time) *Cluster {
	c := New(Options{
		Settings: &platform.HostSettings{Name: "self", IP: "127.0.0.1", PeerPorts: [2]int{7780, 7780}, Store: platform.StoreSettings{Partitions: 2}},
		Store:    platform.NewStore("127.0.0.1:1"), Logger: logr.Discard(), Now: func() time.Time { return now },
		LastStoreResponse: func() time.Time { return now }, RecordStoreResponse: func() {}, HasConfig: func() bool { return true },
	})
	c.EnableWork()
	c.ReportWorkspaceLoads()
	addPeers(c, 2)

	return c
}

// fuzzedPeerBeat returns a heartbeat of a peer with one load of its own.
func fuzzedPeerBeat(host string) *fleetpb.Beat {
	return &fleetpb.Beat{
		Host: host, Sequence: 5, Member: true, StoreAgeMillis: 20, Generation: 1,
		Loads: []*fleetpb.UpstreamLoad{{Upstream: "of " + host, Running: 3, WorkMillis: 40, Errors: 0.5}},
	}
}

// requireUsableNumbers checks what a host decides by after a datagram.
func requireUsableNumbers(t *testing.T, c *Cluster, now time.Time, beat *fleetpb.Beat) {
	t.Helper()
	var upstreams []*registry.Instance
	for _, load := range beat.Loads {
		upstreams = append(upstreams, &registry.Instance{ID: id.Upstream(load.Upstream)})
	}
	for _, limit := range beat.Limits {
		upstreams = append(upstreams, &registry.Instance{ID: id.Upstream(limit.Upstream), Incarnation: limit.Incarnation})
	}
	for _, cold := range beat.Cold {
		upstreams = append(upstreams, &registry.Instance{ID: id.Upstream(cold.Upstream), Incarnation: cold.Incarnation})
	}
	for _, instance := range upstreams {
		require.GreaterOrEqual(t, c.RunningRequests(instance.ID), 0)
		score := c.PeerErrors(instance.ID)
		require.True(t, score >= 0 && score <= maxPeerErrorScore, "error score %v", score)
		work := c.UpstreamWork(instance, 100)
		require.True(t, work.WorkMillis >= 0 && !math.IsInf(work.WorkMillis, 0), "work %v", work.WorkMillis)
		require.GreaterOrEqual(t, work.ReservedTokens, id.Tokens(0))
		delay := c.AdmissionDelay(instance)
		require.True(t, delay >= 0 && delay <= 4*time.Second, "the lowest rate is a quarter of a request per second: %v", delay)
		if limit, ok := c.upstreamLimit(instance.ID, instance.Incarnation); ok {
			require.GreaterOrEqual(t, limit.Rate, 0.25)
			require.False(t, limit.ReceivedAt.After(now), "a later statement must be able to replace it")
		}
		if cold, ok := c.reportedCold(now, instance.ID); ok {
			require.LessOrEqual(t, cold.Until.Sub(now), time.Minute)
		}
		_, coldDelay := c.ColdDelay(instance, coldstart.Policy{RequestsPerSecond: 24, Duration: time.Second})
		require.GreaterOrEqual(t, coldDelay, time.Duration(0))
	}
	for _, load := range beat.Workspaces {
		for _, used := range c.ServiceLoad(id.Service(load.Service)).Workspaces {
			require.True(t, used.Used >= 0 && !math.IsInf(used.Used, 0))
		}
	}
	for _, demand := range beat.Demands {
		starts := c.ServiceLoad(id.Service(demand.Service)).StartsPerSecond
		require.True(t, starts >= 0 && !math.IsInf(starts, 0), "first turns per second: %v", starts)
	}
	for _, reported := range beat.Leaving {
		receivedAt, ok := c.leaving.index.ReceivedAt(leaving.Process{Upstream: id.Upstream(reported.Upstream), Incarnation: reported.Incarnation})
		require.True(t, ok)
		require.False(t, receivedAt.After(now), "an announcement in the future would not end the use of the upstream")
	}
}

// FuzzDatagram sends any bytes to a host between the heartbeats of two peers. Invariants: there is no panic; memory is bounded: no peers
// appear, and what is kept is no more than the elements of the datagram; bytes of one datagram do not become part of another, although all
// are read into one buffer: the peers' state is that of their own heartbeats unless the datagram names them; one that cannot be decoded
// changes nothing; numbers and times by which the host decides are usable, since peers of another release or with a fault may send any.
func FuzzDatagram(f *testing.F) {
	add := func(beat *fleetpb.Beat) {
		data, err := proto.Marshal(beat)
		require.NoError(f, err)
		f.Add(data)
	}
	add(fuzzedPeerBeat("host-1"))
	add(&fleetpb.Beat{
		Host: "host-2", Sequence: 9, Draining: true, Left: true, Generation: 3, Owners: []string{"127.0.0.1:2", "127.0.0.1:3"}, Evicted: []string{"127.0.0.1:2"},
		Loads:      []*fleetpb.UpstreamLoad{{Upstream: "u", Running: -4, Parts: []uint64{1, 2}, WorkMillis: -1, ReservedTokens: math.MaxInt64, Errors: math.NaN()}},
		Crashes:    []*fleetpb.Crash{{Fingerprint: 7, Process: "u/1"}},
		Workspaces: []*fleetpb.WorkspaceLoad{{Workspace: "w", Service: "s", Running: math.MinInt32}},
		Demands:    []*fleetpb.ServiceDemand{{Service: "s", Admitted: math.NaN(), Refused: math.Inf(1)}},
	})
	add(&fleetpb.Beat{Streams: []*fleetpb.StreamOrigin{{Attempt: "a", Service: "s", Upstream: "u", Version: "v", StartedUnixMillis: math.MaxInt64}}})
	add(&fleetpb.Beat{
		Limits:  []*fleetpb.UpstreamLimit{{Upstream: "u", Limited: true, Rate: 5, AgeMillis: -1000}, {Upstream: "v", Limited: true, Rate: math.NaN()}},
		Cold:    []*fleetpb.ColdUpstream{{Upstream: "u", RemainingMillis: math.MaxInt64, Rate: 24}},
		Leaving: []*fleetpb.LeavingUpstream{{Upstream: "u", AgeMillis: math.MaxInt64}, {Upstream: "v", AgeMillis: 1e16}},
	})
	add(&fleetpb.Beat{Host: "host-1", Sequence: 7, StoreAgeMillis: -60_000})
	announcement, err := proto.Marshal(&fleetpb.Beat{Generation: 9, Leaving: []*fleetpb.LeavingUpstream{{Upstream: "u"}}})
	require.NoError(f, err)
	f.Add(append(announcement, 0x0a, 0x7f, 'h'))
	f.Add([]byte{})
	now := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	f.Fuzz(func(t *testing.T, data []byte) {
		c := newFuzzedCluster(now)
		first, err := proto.Marshal(fuzzedPeerBeat("host-1"))
		require.NoError(t, err)
		last, err := proto.Marshal(fuzzedPeerBeat("host-2"))
		require.NoError(t, err)
		c.peers.receiveHeartbeats(&datagramConn{datagrams: [][]byte{first, data, last}})
		c.peers.mu.Lock()
		c.peers.sumRemoteRequests(now)
		c.peers.work.SumPeers(now, time.Second)
		c.peers.mu.Unlock()

		var beat fleetpb.Beat
		isDecoded := proto.Unmarshal(data[:min(len(data), maxHeartbeatBytes)], &beat) == nil
		require.Len(t, c.peers.byHost, 2)
		require.LessOrEqual(t, len(c.workspaces.reports), 2)
		require.LessOrEqual(t, c.leaving.index.Len(), len(beat.Leaving))
		for host, other := range c.peers.byHost {
			require.False(t, other.storeRespondedAt.After(now), "the store would count as reachable without end")
			require.LessOrEqual(t, len(other.runningRequests), max(1, len(beat.Loads)))
			if !isDecoded || beat.Host != string(host) {
				require.Equal(t, map[id.Upstream]int{id.Upstream("of " + host): 3}, other.runningRequests)
				require.Equal(t, uint64(5), other.lastSequence)
			}
		}
		if !isDecoded {
			require.Zero(t, c.leaving.index.Len())
			require.EqualValues(t, 1, c.newestPeerGeneration.Load())

			return
		}
		requireUsableNumbers(t, c, now, &beat)
	})
}
