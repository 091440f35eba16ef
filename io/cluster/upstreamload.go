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

// RunningRequests returns how many requests run or wait at an upstream, here and at the hosts that are heard.
func (c *Cluster) RunningRequests(upstream id.Upstream) int {
	c.peers.mu.Lock()
	defer c.peers.mu.Unlock()

	return c.peers.running[upstream] + c.peers.remote[upstream]
}

// AddRunningRequests counts requests of this host at an upstream.
func (c *Cluster) AddRunningRequests(upstream id.Upstream, delta int) {
	c.peers.mu.Lock()
	defer c.peers.mu.Unlock()
	if c.peers.running[upstream] += delta; c.peers.running[upstream] <= 0 {
		delete(c.peers.running, upstream)
	}
}

// partTold is how long it is told that an upstream reads a part, in beat after beat, since beats get lost.
const partTold = 350 * time.Millisecond

// toldPart is a part that an upstream reads, of which peers are told until a time.
type toldPart struct {
	upstream id.Upstream
	part     affinity.PromptPart
	until    time.Time
}

// RecordPromptPartRead records that an upstream reads a part of a prompt for this host.
func (c *Cluster) RecordPromptPartRead(upstream id.Upstream, part affinity.PromptPart) {
	now := c.Now()
	c.peers.mu.Lock()
	defer c.peers.mu.Unlock()
	if c.peers.parts.RecordRead(now, upstream, part) {
		c.peers.told = append(c.peers.told, toldPart{upstream, part, now.Add(partTold)})
	}
}

// CachesPromptPart reports whether an upstream is taken to keep a part of a prompt.
func (c *Cluster) CachesPromptPart(upstream id.Upstream, part affinity.PromptPart) bool {
	c.peers.mu.Lock()
	defer c.peers.mu.Unlock()

	return c.peers.parts.IsCached(c.Now(), upstream, part)
}

// loads returns what this host runs and reads at upstreams, for a beat; the caller holds the lock.
func (p *peers) loads(now time.Time) []*fleetpb.UpstreamLoad {
	loads := make(map[id.Upstream]*fleetpb.UpstreamLoad, len(p.running))
	load := func(upstream id.Upstream) *fleetpb.UpstreamLoad {
		l, ok := loads[upstream]
		if !ok {
			l = &fleetpb.UpstreamLoad{Upstream: string(upstream), Running: int32(p.running[upstream])}
			loads[upstream] = l
		}

		return l
	}
	for upstream := range p.running {
		load(upstream)
	}
	p.told = slices.DeleteFunc(p.told, func(t toldPart) bool { return now.After(t.until) })
	for _, t := range p.told {
		l := load(t.upstream)
		l.Parts = append(l.Parts, uint64(t.part))
	}

	return slices.Collect(maps.Values(loads))
}

// IsRequestBlocked reports whether a request has crashed too many upstreams.
func (c *Cluster) IsRequestBlocked(request id.Fingerprint) bool {
	c.docketMu.Lock()
	defer c.docketMu.Unlock()

	return c.docket.IsBlocked(request)
}

// RecordCrash notes that an upstream's answer to a request broke off, and tells the peers.
func (c *Cluster) RecordCrash(request id.Fingerprint, instance *registry.Instance) {
	crash := crashcount.Crash{Fingerprint: request, Process: string(instance.ID) + "/" + strconv.FormatInt(instance.Incarnation, 10)}
	now := c.Now()
	c.docketMu.Lock()
	defer c.docketMu.Unlock()
	if c.docket.Record(now, crash) {
		c.crashes = append(c.crashes, toldCrash{crash, now.Add(crashTold)})
		c.Logger.Info("answer-broke-off", "fingerprint", request, "process", crash.Process, "convicted", c.docket.IsBlocked(request))
	}
}

func (c *Cluster) learnCrash(now time.Time, crash crashcount.Crash) {
	c.docketMu.Lock()
	defer c.docketMu.Unlock()
	c.docket.Record(now, crash)
}

// crashTold is how long a crash is told, in beat after beat, since beats get lost.
const crashTold = 2 * time.Second

// toldCrash is a crash that peers are told until a time.
type toldCrash struct {
	crashcount.Crash

	until time.Time
}

// takeCrashes returns the crashes to tell.
func (c *Cluster) takeCrashes(now time.Time) []toldCrash {
	c.docketMu.Lock()
	defer c.docketMu.Unlock()
	c.crashes = slices.DeleteFunc(c.crashes, func(c toldCrash) bool { return now.After(c.until) })

	return slices.Clone(c.crashes)
}
