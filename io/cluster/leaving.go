package cluster

import (
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"cardamomward/core/id"
	"cardamomward/core/leaving"
	"cardamomward/core/registry"
	"cardamomward/io/fleet/fleetpb"
)

// leavingUpstreams is the upstreams that have announced their shutdown to this host or a peer.
type leavingUpstreams struct {
	mu    sync.Mutex
	index leaving.Index
	// count is the number of announcements; while it is zero, no request takes the lock.
	count atomic.Int64
	// announced counts all announcements since the start.
	announced atomic.Int64
}

// RecordLeaving records that a response to this host announces the shutdown of an upstream.
func (c *Cluster) RecordLeaving(instance *registry.Instance) {
	process := leaving.Process{Upstream: instance.ID, Incarnation: instance.Incarnation}
	c.recordLeaving(process, "own", func(now time.Time) bool { return c.leaving.index.RecordOwn(now, process) })
}

// recordPeerLeaving records an announcement that a peer has received.
func (c *Cluster) recordPeerLeaving(now time.Time, reported *fleetpb.LeavingUpstream) {
	announcement := leaving.Announcement{
		Process:    leaving.Process{Upstream: id.Upstream(reported.Upstream), Incarnation: reported.Incarnation},
		ReceivedAt: reportedTime(now, reported.AgeMillis),
	}
	c.recordLeaving(announcement.Process, "peer", func(now time.Time) bool { return c.leaving.index.RecordReported(now, announcement) })
}

func (c *Cluster) recordLeaving(process leaving.Process, source string, record func(now time.Time) bool) {
	c.leaving.mu.Lock()
	isNew := record(c.Now())
	receivedAt, _ := c.leaving.index.ReceivedAt(process)
	c.leaving.count.Store(int64(c.leaving.index.Len()))
	c.leaving.mu.Unlock()
	if !isNew {
		return
	}
	c.leaving.announced.Add(1)
	c.Logger.Info("upstream-leaving", "upstream", process.Upstream, "incarnation", process.Incarnation, "source", source,
		"usable-until", receivedAt.Add(c.Settings.Bounds.DrainTimeout))
}

// UpstreamUse returns whether an upstream may be used after an announcement of its shutdown.
func (c *Cluster) UpstreamUse(instance *registry.Instance) leaving.Use {
	if c.leaving.count.Load() == 0 {
		return leaving.Unrestricted
	}
	c.leaving.mu.Lock()
	defer c.leaving.mu.Unlock()
	process := leaving.Process{Upstream: instance.ID, Incarnation: instance.Incarnation}

	return c.leaving.index.Use(c.Now(), process, c.Settings.Bounds.DrainTimeout)
}

// AnnouncedShutdowns returns how many upstreams have announced their shutdown since this host started.
func (c *Cluster) AnnouncedShutdowns() int64 { return c.leaving.announced.Load() }

// RemoveUnlistedLeaving removes the announcements of processes that are not registered any more; find returns the registration of an
// upstream.
func (c *Cluster) RemoveUnlistedLeaving(find func(id.Upstream) (*registry.Instance, bool)) {
	c.leaving.mu.Lock()
	defer c.leaving.mu.Unlock()
	c.leaving.index.RemoveUnlisted(c.Now(), func(process leaving.Process) bool {
		instance, ok := find(process.Upstream)

		return ok && instance.Incarnation == process.Incarnation
	})
	c.leaving.count.Store(int64(c.leaving.index.Len()))
}

// buildLeaving returns the encoded announcements that this host has lately received, or nil. They are sent apart from the heartbeat,
// whose size is bounded.
func (p *peerTable) buildLeaving(now time.Time) []byte {
	c := p.cluster
	c.leaving.mu.Lock()
	announcements := c.leaving.index.ToGossip(now)
	c.leaving.mu.Unlock()
	if len(announcements) == 0 {
		return nil
	}
	heartbeat := &fleetpb.Beat{}
	for _, announcement := range announcements {
		heartbeat.Leaving = append(heartbeat.Leaving, &fleetpb.LeavingUpstream{
			Upstream: string(announcement.Upstream), Incarnation: announcement.Incarnation,
			AgeMillis: now.Sub(announcement.ReceivedAt).Milliseconds(),
		})
	}
	data, err := proto.Marshal(heartbeat)
	if err != nil {
		c.Logger.Error(err, "beat-failed")

		return nil
	}

	return data
}
