package cluster

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"cardamomward/core/affinity"
	"cardamomward/core/crashcount"
	"cardamomward/core/id"
	"cardamomward/core/registry"
	"cardamomward/io/fleet/fleetpb"
)

// RunningRequests returns the requests that run or wait at an upstream, of this host and of the live peers.
func (c *Cluster) RunningRequests(upstream id.Upstream) int {
	c.peers.mu.Lock()
	defer c.peers.mu.Unlock()

	return c.peers.localRequests[upstream] + c.peers.remoteRequests[upstream]
}

// PeerErrors returns the highest error score that another live host reports for an upstream.
func (c *Cluster) PeerErrors(upstream id.Upstream) float64 {
	c.peers.mu.Lock()
	defer c.peers.mu.Unlock()

	return c.peers.remoteErrors[upstream]
}

// AddRunningRequests adds to this host's running requests at an upstream.
func (c *Cluster) AddRunningRequests(upstream id.Upstream, delta int) {
	c.peers.mu.Lock()
	defer c.peers.mu.Unlock()
	if c.peers.localRequests[upstream] += delta; c.peers.localRequests[upstream] <= 0 {
		delete(c.peers.localRequests, upstream)
	}
}

// readGossipDuration is the period in which heartbeats repeat an upstream's read of a prompt part, since some are lost.
const readGossipDuration = 350 * time.Millisecond

// gossipedRead is the read of a prompt part by an upstream, which the heartbeats report until gossipUntil.
type gossipedRead struct {
	upstream    id.Upstream
	part        affinity.PromptPartHash
	gossipUntil time.Time
}

// RecordPromptPartRead records that an upstream reads a prompt part for a request of this host, which puts the part in the
// upstream's cache, and informs the peers in heartbeats.
func (c *Cluster) RecordPromptPartRead(upstream id.Upstream, part affinity.PromptPartHash) {
	now := c.Now()
	c.peers.mu.Lock()
	defer c.peers.mu.Unlock()
	if c.peers.cachedParts.RecordRead(now, upstream, part) {
		c.peers.gossipedReads = append(c.peers.gossipedReads, gossipedRead{upstream, part, now.Add(readGossipDuration)})
	}
}

// CachesPromptPart reports whether an upstream is expected to have a prompt part in its cache.
func (c *Cluster) CachesPromptPart(upstream id.Upstream, part affinity.PromptPartHash) bool {
	c.peers.mu.Lock()
	defer c.peers.mu.Unlock()

	return c.peers.cachedParts.IsCached(c.Now(), upstream, part)
}

// upstreamLoads returns this host's running requests, recent reads and recent errors by upstream, for a heartbeat; the caller
// holds the lock.
func (p *peerTable) upstreamLoads(now time.Time, errorScores map[id.Upstream]float64) []*fleetpb.UpstreamLoad {
	loads := make(map[id.Upstream]*fleetpb.UpstreamLoad, len(p.localRequests))
	load := func(upstream id.Upstream) *fleetpb.UpstreamLoad {
		l, ok := loads[upstream]
		if !ok {
			l = &fleetpb.UpstreamLoad{Upstream: string(upstream), Running: int32(p.localRequests[upstream])}
			if own := p.work.Own(now, upstream); own.Running > 0 {
				// Zero means that the host reports no work.
				l.WorkMillis, l.ReservedTokens = max(1, int64(own.WorkMillis)), int64(own.ReservedTokens)
			}
			loads[upstream] = l
		}

		return l
	}
	for upstream := range p.localRequests {
		load(upstream)
	}
	p.gossipedReads = slices.DeleteFunc(p.gossipedReads, func(read gossipedRead) bool { return now.After(read.gossipUntil) })
	for _, read := range p.gossipedReads {
		l := load(read.upstream)
		l.Parts = append(l.Parts, uint64(read.part))
	}
	for upstream, score := range errorScores {
		load(upstream).Errors = score
	}

	return slices.Collect(maps.Values(loads))
}

// IsRequestBlocked reports whether a request has crashed too many upstreams.
func (c *Cluster) IsRequestBlocked(request id.Fingerprint) bool {
	c.crashesMu.Lock()
	defer c.crashesMu.Unlock()

	return c.crashCounter.IsBlocked(request)
}

// RecordCrash records that an upstream failed before its response to a request was complete, and informs the peers in
// heartbeats.
func (c *Cluster) RecordCrash(request id.Fingerprint, instance *registry.Instance) {
	crash := crashcount.Crash{Fingerprint: request, Process: string(instance.ID) + "/" + strconv.FormatInt(instance.Incarnation, 10)}
	now := c.Now()
	c.crashesMu.Lock()
	defer c.crashesMu.Unlock()
	if c.crashCounter.Record(now, crash) {
		c.gossipedCrashes = append(c.gossipedCrashes, gossipedCrash{crash, now.Add(crashGossipDuration)})
		c.Logger.Info("answer-broke-off", "fingerprint", request, "process", crash.Process, "convicted", c.crashCounter.IsBlocked(request))
	}
}

// addPeerCrash counts a crash that a peer reports.
func (c *Cluster) addPeerCrash(now time.Time, crash crashcount.Crash) {
	c.crashesMu.Lock()
	defer c.crashesMu.Unlock()
	c.crashCounter.Record(now, crash)
}

// crashGossipDuration is the period in which heartbeats repeat a crash, since some are lost.
const crashGossipDuration = 2 * time.Second

// gossipedCrash is a crash that the heartbeats report until gossipUntil.
type gossipedCrash struct {
	crashcount.Crash

	gossipUntil time.Time
}

// crashesToGossip returns the crashes for the next heartbeat.
func (c *Cluster) crashesToGossip(now time.Time) []gossipedCrash {
	c.crashesMu.Lock()
	defer c.crashesMu.Unlock()
	c.gossipedCrashes = slices.DeleteFunc(c.gossipedCrashes, func(gossiped gossipedCrash) bool { return now.After(gossiped.gossipUntil) })

	return slices.Clone(c.gossipedCrashes)
}
