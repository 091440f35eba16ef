package fleet

import (
	"context"
	"slices"
	"time"

	"cardamomward/core/eligibility"
	"cardamomward/core/eviction"
	"cardamomward/io/topicconsumer"
)

const (
	// isolation is how long a host must have heard no peer to count as cut off.
	isolation = eviction.SilenceTimeout
	// ownerKnown is how long after it has become an owner the other owners know it and send it each beat.
	ownerKnown = 1500 * time.Millisecond
	// tickLimit is the time between two beats from which on the process was paused meanwhile.
	tickLimit = 300 * time.Millisecond
	// evictionRetry paces evictions while the store does not answer.
	evictionRetry = 150 * time.Millisecond
	// evictionTold is how long an eviction is told, in beat after beat, since beats get lost.
	evictionTold = 1500 * time.Millisecond
)

// tick notes that the process runs.
func (p *peers) tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.ticked) > tickLimit {
		p.resumed = now
	}
	p.ticked = now
}

// watch takes silent owners out of the group.
func (p *peers) watch(ctx context.Context) {
	now := p.fleet.Now()
	owners := p.fleet.ownership.Load().owners
	p.mu.Lock()
	if !slices.Contains(owners, p.self.Peer) {
		p.ownerSince = time.Time{}
	} else if p.ownerSince.IsZero() {
		p.ownerSince = now
	}
	if p.ownerSince.IsZero() || now.Sub(p.ownerSince) < ownerKnown || now.Sub(p.resumed) < isolation {
		p.mu.Unlock()

		return
	}
	silent := eviction.SelectEvictions(p.self.Peer, owners, p.heardLocked(now))
	p.markEvicted(silent)
	p.mu.Unlock()
	for _, member := range silent {
		go p.evict(ctx, member)
	}
}

// heard returns the peers as they are heard.
func (p *peers) heard(now time.Time) []eviction.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.heardLocked(now)
}

func (p *peers) heardLocked(now time.Time) []eviction.Peer {
	heard := make([]eviction.Peer, 0, len(p.peers))
	for _, other := range p.peers {
		if !other.heard.IsZero() {
			heard = append(heard, eviction.Peer{Member: other.Peer, SilentFor: now.Sub(other.heard), Evicted: other.evicted})
		}
	}

	return heard
}

// markEvicted keeps members from being taken out again before they are heard; the caller holds the lock.
func (p *peers) markEvicted(members []string) {
	for _, member := range members {
		if other := p.byMember(member); other != nil {
			other.evicted = true
		}
	}
}

// byMember returns the peer with a member's address, or nil; the caller holds the lock.
func (p *peers) byMember(member string) *peer {
	for _, other := range p.peers {
		if other.Peer == member {
			return other
		}
	}

	return nil
}

// gone reports whether a peer's process has stopped since it was a member of the group.
func (p *peers) gone(member string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	other := p.byMember(member)

	return other == nil || other.evicted || other.left || (!other.heard.IsZero() && !other.member)
}

// evict ends a silent owner's membership and tells the peers, who take its slots.
func (p *peers) evict(ctx context.Context, member string) {
	f := p.fleet
	for {
		err := f.call(ctx, func(ctx context.Context) error { return f.store.Leave(ctx, group, member) })
		if err == nil {
			break
		}
		f.Logger.Info("eviction-failed", "peer", member, "error", err)
		if f.storeAway(f.Now()) {
			p.tellEvicted(member)
		}
		topicconsumer.SleepContext(ctx, evictionRetry)
		if ctx.Err() != nil || !p.gone(member) {
			return
		}
	}
	f.Logger.Info("owner-evicted", "peer", member)
	p.tellEvicted(member)
	f.noteFreed()
}

// tellEvicted lets the peers know that a member has stopped: they renew at once, or act for it while the store is away.
func (p *peers) tellEvicted(member string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evicted[member] = p.fleet.Now().Add(evictionTold)
}

// noteGeneration renews the membership at once where a peer knows of a newer generation: slots are handed over then.
func (f *Fleet) noteGeneration(generation int64) {
	for {
		heard := f.heardGeneration.Load()
		if generation <= max(heard, f.generation.Load()) {
			return
		}
		if f.heardGeneration.CompareAndSwap(heard, generation) {
			f.noteFreed()

			return
		}
	}
}

// evictions returns the evictions to tell; the caller holds the lock.
func (p *peers) evictions(now time.Time) []string {
	var members []string
	for member, until := range p.evicted {
		if now.After(until) {
			delete(p.evicted, member)

			continue
		}
		members = append(members, member)
	}

	return members
}

// hearEvictions renews the membership at once where slots have become free; the caller holds the lock.
func (p *peers) hearEvictions(now time.Time, members []string) {
	for _, member := range members {
		for _, other := range p.peers {
			if other.Peer != member || other.evicted || now.Sub(other.heard) < eviction.SilenceTimeout/2 {
				continue
			}
			other.evicted = true
			p.fleet.noteFreed()
		}
	}
}

// CutOff reports whether callers are better served by the others, which own slots: this host hears none of them, or few,
// while the store does not answer it either.
func (f *Fleet) CutOff(now time.Time) bool {
	return f.othersOwn() && (f.peers.isolated(now) || (f.storeSilent(now) && !f.hearsMost(now)))
}

// isolated reports whether no other host has been heard for a while.
func (p *peers) isolated(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.resumed) < isolation {
		return false
	}
	known := false
	for _, other := range p.peers {
		if now.Sub(latest(other.heard, other.listed)) < isolation {
			return false
		}
		known = known || !other.left
	}

	return known
}

// othersOwn reports whether, as the store last said, other hosts own slots.
func (f *Fleet) othersOwn() bool {
	for _, owner := range f.ownership.Load().owners {
		if owner != "" && owner != f.self {
			return true
		}
	}

	return false
}

// candidates returns the hosts that may own slots, as this host hears them.
func (p *peers) candidates(now time.Time) []eligibility.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := p.silenceLimit()
	hosts := []eligibility.Host{{Member: p.self.Peer, CPUCores: p.self.CPUShare}}
	for _, other := range p.peers {
		if now.Sub(latest(other.heard, other.listed)) <= limit {
			hosts = append(hosts, eligibility.Host{Member: other.Peer, CPUCores: other.CPUShare})
		}
	}

	return hosts
}
