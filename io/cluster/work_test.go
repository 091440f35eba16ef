package cluster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"cardamomward/core/affinity"
	"cardamomward/core/id"
	"cardamomward/core/registry"
	"cardamomward/core/workleft"
	"cardamomward/io/fleet/fleetpb"
)

var engine = &registry.Instance{ID: "engine", Service: "engines", Concurrency: 16}

// receiveFrom makes a host handle a heartbeat of another one with the given loads, and sums the peers' loads.
func (c *Cluster) receiveFrom(now time.Time, host id.Host, loads []*fleetpb.UpstreamLoad) {
	c.peers.byHost[host] = &peer{}
	c.peers.handleHeartbeat(now, &fleetpb.Beat{Host: string(host), Sequence: 1, Loads: loads})
	c.peers.buildHeartbeat(now)
}

func TestHeartbeatsTellWorkAndReservedMemory(t *testing.T) {
	sender, _ := newTestCluster(t)
	sender.AddRunningRequests(engine.ID, 1)
	request := sender.BeginWork(engine, workleft.Work{OutputTokens: 400, MillisPerToken: 2, PromptTokens: 3000})
	sender.RecordWorkProgress(request, 100)
	now := time.Now()
	data := sender.peers.buildHeartbeat(now)
	var heartbeat fleetpb.Beat
	require.NoError(t, proto.Unmarshal(data, &heartbeat))
	receiver, _ := newTestCluster(t)
	receiver.EnableWork()
	receiver.receiveFrom(now, "sender", heartbeat.Loads)
	load := receiver.UpstreamWork(engine, 0)
	require.Equal(t, 1, load.Running)
	require.InDelta(t, 600, load.WorkMillis, 1)
	require.Equal(t, id.Tokens(3400), load.ReservedTokens)
	require.InDelta(t, 600, sender.OwnWork().WorkMillis, 1)
	sender.EndWork(request)
	require.Zero(t, sender.OwnWork())
}

func TestPeersOfEarlierReleasesCountWithTheMeanWork(t *testing.T) {
	c, _ := newTestCluster(t)
	c.EnableWork()
	c.EndWork(c.BeginWork(engine, workleft.Work{OutputTokens: 400, MillisPerToken: 2}))
	c.receiveFrom(time.Now(), "old", []*fleetpb.UpstreamLoad{{Upstream: string(engine.ID), Running: 3}})
	require.InDelta(t, 3*800, c.UpstreamWork(engine, 0).WorkMillis, 1e-9)
	require.Equal(t, 3, c.UpstreamWork(engine, 0).Running)
}

func TestRequestsWithoutWorkLeftAreNotReportedAsUnknown(t *testing.T) {
	sender, _ := newTestCluster(t)
	sender.AddRunningRequests(engine.ID, 1)
	sender.BeginWork(engine, workleft.Work{})
	require.EqualValues(t, 1, sender.peers.upstreamLoads(time.Now(), nil)[0].WorkMillis, "zero means a host of an earlier release")
}

func TestCachedPromptPartsTakeEngineMemory(t *testing.T) {
	c, _ := newTestCluster(t)
	c.RecordPromptPartRead(engine.ID, affinity.HashPromptPart("a"))
	c.RecordPromptPartRead(engine.ID, affinity.HashPromptPart("b"))
	require.Equal(t, id.Tokens(25_200), c.UpstreamWork(engine, 12_600).ReservedTokens)
}
