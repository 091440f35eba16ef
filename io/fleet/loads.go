package fleet

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
func (f *Fleet) RunningRequests(upstream id.Upstream) int {
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()

	return f.peers.running[upstream] + f.peers.remote[upstream]
}

// AddRunningRequests counts requests of this host at an upstream.
func (f *Fleet) AddRunningRequests(upstream id.Upstream, delta int) {
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	if f.peers.running[upstream] += delta; f.peers.running[upstream] <= 0 {
		delete(f.peers.running, upstream)
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

// RecordPromptPartRead notes that an upstream reads a part of a prompt for this host.
func (f *Fleet) RecordPromptPartRead(upstream id.Upstream, part affinity.PromptPart) {
	now := f.Now()
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	if f.peers.parts.RecordRead(now, upstream, part) {
		f.peers.told = append(f.peers.told, toldPart{upstream, part, now.Add(partTold)})
	}
}

// CachesPromptPart reports whether an upstream is taken to keep a part of a prompt.
func (f *Fleet) CachesPromptPart(upstream id.Upstream, part affinity.PromptPart) bool {
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()

	return f.peers.parts.IsCached(f.Now(), upstream, part)
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
func (f *Fleet) IsRequestBlocked(request id.Fingerprint) bool {
	f.docketMu.Lock()
	defer f.docketMu.Unlock()

	return f.docket.IsBlocked(request)
}

// RecordCrash notes that an upstream's answer to a request broke off, and tells the peers.
func (f *Fleet) RecordCrash(request id.Fingerprint, instance *registry.Instance) {
	crash := crashcount.Crash{Fingerprint: request, Process: string(instance.ID) + "/" + strconv.FormatInt(instance.Incarnation, 10)}
	now := f.Now()
	f.docketMu.Lock()
	defer f.docketMu.Unlock()
	if f.docket.Record(now, crash) {
		f.crashes = append(f.crashes, toldCrash{crash, now.Add(crashTold)})
		f.Logger.Info("answer-broke-off", "fingerprint", request, "process", crash.Process, "convicted", f.docket.IsBlocked(request))
	}
}

func (f *Fleet) learnCrash(now time.Time, crash crashcount.Crash) {
	f.docketMu.Lock()
	defer f.docketMu.Unlock()
	f.docket.Record(now, crash)
}

// crashTold is how long a crash is told, in beat after beat, since beats get lost.
const crashTold = 2 * time.Second

// toldCrash is a crash that peers are told until a time.
type toldCrash struct {
	crashcount.Crash

	until time.Time
}

// takeCrashes returns the crashes to tell.
func (f *Fleet) takeCrashes(now time.Time) []toldCrash {
	f.docketMu.Lock()
	defer f.docketMu.Unlock()
	f.crashes = slices.DeleteFunc(f.crashes, func(c toldCrash) bool { return now.After(c.until) })

	return slices.Clone(f.crashes)
}
