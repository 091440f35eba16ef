package cluster

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"cardamomward/core/id"
	"cardamomward/io/fleet/fleetpb"
)

// workspaceTestService is the service of the tests' loads.
const workspaceTestService id.Service = "engines"

// addPeers adds live peers to a cluster.
func addPeers(c *Cluster, count int) {
	c.peers.mu.Lock()
	defer c.peers.mu.Unlock()
	for i := range count {
		c.peers.byHost[id.Host(fmt.Sprintf("host-%d", i+1))] = &peer{hostEntry: hostEntry{PeerAddress: fmt.Sprintf("127.0.0.1:%d", i+2)}, listedAt: time.Now(), lastHeardAt: time.Now(), loadsHeardAt: time.Now()}
	}
}

// nextHeartbeat returns the next heartbeat of a host.
func nextHeartbeat(t *testing.T, c *Cluster) *fleetpb.Beat {
	t.Helper()
	data := c.peers.buildHeartbeat(c.Now())
	require.LessOrEqual(t, len(data), maxHeartbeatBytes)
	var heartbeat fleetpb.Beat
	require.NoError(t, proto.Unmarshal(data, &heartbeat))

	return &heartbeat
}

func (c *Cluster) usedByWorkspace() map[id.Workspace]float64 {
	used := make(map[id.Workspace]float64)
	for _, load := range c.ServiceLoad(workspaceTestService).Workspaces {
		used[load.Workspace] = load.Used
	}

	return used
}

// Guards against shares that each host computes from its own load alone.
func TestWorkspaceLoadsOfAllHostsAreSummed(t *testing.T) {
	sender, _ := newTestCluster(t)
	sender.ReportWorkspaceLoads()
	addPeers(sender, 1)
	sender.AddWorkspaceRequests("a", workspaceTestService, 3)
	sender.AddWorkspaceRequests("b", "other", 5)
	sender.RecordProgramStart(workspaceTestService, true)
	sender.RecordProgramStart(workspaceTestService, false)
	heartbeat := nextHeartbeat(t, sender)
	require.Len(t, heartbeat.Workspaces, 2)

	receiver, _ := newTestCluster(t)
	addPeers(receiver, 1)
	heartbeat.Host = "host-1"
	receiver.AddWorkspaceRequests("a", workspaceTestService, 2)
	receiver.AddWorkspaceRequests("c", workspaceTestService, 1)
	receiver.peers.handleHeartbeat(time.Now(), heartbeat)
	require.Equal(t, map[id.Workspace]float64{"a": 5, "c": 1}, receiver.usedByWorkspace())
	require.InDelta(t, 1, receiver.ServiceLoad(workspaceTestService).StartsPerSecond, 0.1, "two first turns in a window of two seconds")
	receiver.AddWorkspaceRequests("a", workspaceTestService, -2)
	require.InDelta(t, 3, receiver.usedByWorkspace()["a"], 1e-9)
}

// Guards against reports of hosts that are gone, and of requests that have ended.
func TestWorkspaceReportIsReplacedAndExpires(t *testing.T) {
	c, _ := newTestCluster(t)
	now := time.Now()
	c.Now = func() time.Time { return now }
	addPeers(c, 1)
	report := &fleetpb.Beat{
		Host: "host-1", Sequence: 1, Workspaces: []*fleetpb.WorkspaceLoad{{Workspace: "a", Service: string(workspaceTestService), Running: 4}},
		Demands: []*fleetpb.ServiceDemand{{Service: string(workspaceTestService), Admitted: 2}},
	}
	c.peers.handleHeartbeat(now, report)
	require.Equal(t, map[id.Workspace]float64{"a": 4}, c.usedByWorkspace())
	c.peers.handleHeartbeat(now, &fleetpb.Beat{Host: "host-1", Sequence: 2})
	require.Equal(t, map[id.Workspace]float64{"a": 4}, c.usedByWorkspace(), "most heartbeats have no report")
	c.peers.handleHeartbeat(now, &fleetpb.Beat{Host: "host-1", Sequence: 3, Demands: []*fleetpb.ServiceDemand{{Service: string(workspaceTestService)}}})
	require.Empty(t, c.usedByWorkspace(), "the host has no requests any more")
	report.Sequence = 4
	c.peers.handleHeartbeat(now, report)
	now = now.Add(maxReportAge + time.Second)
	require.Empty(t, c.usedByWorkspace())
	now = now.Add(maxReportAgeInLarge)
	c.workspaces.removeExpired(now)
	require.Empty(t, c.workspaces.reports)
}

// Guards against first turns that are counted for the hosts that have reported only: free slots then look sufficient.
func TestRateOfFirstTurnsCoversHostsWithoutReport(t *testing.T) {
	c, _ := newTestCluster(t)
	addPeers(c, 3)
	c.peers.handleHeartbeat(time.Now(), &fleetpb.Beat{
		Host: "host-1", Sequence: 1, Demands: []*fleetpb.ServiceDemand{{Service: string(workspaceTestService), Admitted: 1, Refused: 3}},
	})
	require.InDelta(t, 8, c.ServiceLoad(workspaceTestService).StartsPerSecond, 0.1, "two of four hosts have 4 a second")
}

// Guards against heartbeats that are too large to be received, and against control traffic that grows with the workspaces.
func TestReportsAreBoundedInSizeAndRate(t *testing.T) {
	for name, format := range map[string]string{"short names": "workspace-%d", "long names": "workspace-%060d"} {
		t.Run(name, func(t *testing.T) { testReportBounds(t, format, 100, 8<<10) })
	}
	t.Run("830 hosts", func(t *testing.T) { testReportBounds(t, "workspace-%d", 829, 1<<10) })
}

func testReportBounds(t *testing.T, nameFormat string, peers, bytesPerSecond int) {
	t.Helper()
	c, _ := newTestCluster(t)
	now := time.Now()
	c.Now = func() time.Time { return now }
	addPeers(c, peers)
	c.AddWorkspaceRequests("first", workspaceTestService, 1)
	require.Empty(t, nextHeartbeat(t, c).Workspaces, "reports are off")
	c.ReportWorkspaceLoads()
	for i := range 300 {
		c.AddWorkspaceRequests(id.Workspace(fmt.Sprintf(nameFormat, i)), workspaceTestService, 1+i)
		c.AddRunningRequests(id.Upstream(fmt.Sprintf("upstream-%d", i%200)), 1)
	}
	reportedBytes := 0
	for second := range 20 {
		for range 10 {
			heartbeat := nextHeartbeat(t, c)
			if len(heartbeat.Workspaces) > 0 {
				require.LessOrEqual(t, len(heartbeat.Workspaces), maxReportedWorkspaces)
				require.EqualValues(t, 300, heartbeat.Workspaces[0].Running, "the largest are reported")
				without := proto.Clone(heartbeat).(*fleetpb.Beat)
				without.Workspaces = nil
				reportedBytes += (proto.Size(heartbeat) - proto.Size(without)) * heartbeatFanout
			}
			now = now.Add(heartbeatInterval)
		}
		if second == 0 {
			require.Positive(t, reportedBytes)
		}
	}
	// The first report of the period is sent at once.
	require.LessOrEqual(t, reportedBytes, 20*bytesPerSecond+maxHeartbeatBytes*heartbeatFanout)
}
