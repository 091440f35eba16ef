package cluster

import (
	"context"
	"slices"
	"time"

	"cardamomward/core/eligibility"
	"cardamomward/core/eviction"
	"cardamomward/io/topicconsumer"
)

const (
	// isolationTimeout is the silence of all peers after which a host counts as isolated.
	isolationTimeout = eviction.SilenceTimeout
	// newOwnerDelay is how long it takes until the other owners know of a new owner and send it every heartbeat. A new
	// owner evicts nobody before.
	newOwnerDelay = 1500 * time.Millisecond
	// processPauseThreshold is the time between two heartbeats above which this process must have been paused.
	processPauseThreshold = 300 * time.Millisecond
	// evictionRetryInterval is the retry interval of evictions that the store did not answer.
	evictionRetryInterval = 150 * time.Millisecond
	// evictionGossipDuration is the period in which heartbeats repeat an eviction, since some are lost.
	evictionGossipDuration = 1500 * time.Millisecond
)

// detectProcessPause records the time of a heartbeat and detects a preceding pause of this process.
func (p *peerTable) detectProcessPause(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.lastTickAt) > processPauseThreshold {
		p.resumedAt = now
	}
	p.lastTickAt = now
}

// evictSilentOwners evicts owners that have been silent for too long.
func (p *peerTable) evictSilentOwners(ctx context.Context) {
	now := p.cluster.Now()
	owners := p.cluster.ownership.Load().owners
	p.mu.Lock()
	if !slices.Contains(owners, p.selfEntry.PeerAddress) {
		p.ownerSince = time.Time{}
	} else if p.ownerSince.IsZero() {
		p.ownerSince = now
	}
	if p.ownerSince.IsZero() || now.Sub(p.ownerSince) < newOwnerDelay || now.Sub(p.resumedAt) < isolationTimeout {
		p.mu.Unlock()

		return
	}
	silent := eviction.SelectEvictions(p.selfEntry.PeerAddress, owners, p.peerSilencesLocked(now))
	p.markEvicted(silent)
	p.mu.Unlock()
	for _, member := range silent {
		go p.evictMember(ctx, member)
	}
}

// peerSilences returns how long each peer that has ever been heard has been silent.
func (p *peerTable) peerSilences(now time.Time) []eviction.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.peerSilencesLocked(now)
}

func (p *peerTable) peerSilencesLocked(now time.Time) []eviction.Peer {
	heard := make([]eviction.Peer, 0, len(p.byHost))
	for _, other := range p.byHost {
		if !other.lastHeardAt.IsZero() {
			heard = append(heard, eviction.Peer{Member: other.PeerAddress, SilentFor: now.Sub(other.lastHeardAt), Evicted: other.isEvicted})
		}
	}

	return heard
}

// markEvicted keeps members from being evicted again before they are next heard; the caller holds the lock.
func (p *peerTable) markEvicted(members []string) {
	for _, member := range members {
		if other := p.findMember(member); other != nil {
			other.isEvicted = true
		}
	}
}

// findMember returns the peer with a member's address, or nil; the caller holds the lock.
func (p *peerTable) findMember(member string) *peer {
	for _, other := range p.byHost {
		if other.PeerAddress == member {
			return other
		}
	}

	return nil
}

// hasStopped reports whether a member is unknown, was evicted, has left the group, or runs in a process that has not
// joined it.
func (p *peerTable) hasStopped(member string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	other := p.findMember(member)

	return other == nil || other.isEvicted || other.hasLeft || (!other.lastHeardAt.IsZero() && !other.hasBeenMember)
}

// evictMember ends a silent owner's membership and informs the peers, who acquire its slots.
func (p *peerTable) evictMember(ctx context.Context, member string) {
	c := p.cluster
	for {
		err := c.callStore(ctx, func(ctx context.Context) error { return c.store.LeaveGroup(ctx, slotGroup, member) })
		if err == nil {
			break
		}
		c.Logger.Info("eviction-failed", "peer", member, "error", err)
		if c.isStoreDown(c.Now()) {
			p.gossipEviction(member)
		}
		topicconsumer.SleepContext(ctx, evictionRetryInterval)
		if ctx.Err() != nil || !p.hasStopped(member) {
			return
		}
	}
	c.Logger.Info("owner-evicted", "peer", member)
	p.gossipEviction(member)
	c.triggerRenewal()
}

// gossipEviction informs the peers of an eviction in heartbeats: they renew at once, or act as owners of the member's slots
// while the store is down.
func (p *peerTable) gossipEviction(member string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gossipedEvictions[member] = p.cluster.Now().Add(evictionGossipDuration)
}

// handlePeerGeneration triggers a renewal if a peer reports a newer generation, since that may move slots to this host.
func (c *Cluster) handlePeerGeneration(generation int64) {
	for {
		heard := c.newestPeerGeneration.Load()
		if generation <= max(heard, c.generation.Load()) {
			return
		}
		if c.newestPeerGeneration.CompareAndSwap(heard, generation) {
			c.triggerRenewal()

			return
		}
	}
}

// evictionsToGossip returns the evicted members for the next heartbeat; the caller holds the lock.
func (p *peerTable) evictionsToGossip(now time.Time) []string {
	var members []string
	for member, until := range p.gossipedEvictions {
		if now.After(until) {
			delete(p.gossipedEvictions, member)

			continue
		}
		members = append(members, member)
	}

	return members
}

// handleEvictions marks members that a peer has evicted and triggers a renewal, since their slots are free; members
// that this host has heard recently are ignored. The caller holds the lock.
func (p *peerTable) handleEvictions(now time.Time, members []string) {
	for _, member := range members {
		for _, other := range p.byHost {
			if other.PeerAddress != member || other.isEvicted || now.Sub(other.lastHeardAt) < eviction.SilenceTimeout/2 {
				continue
			}
			other.isEvicted = true
			p.cluster.triggerRenewal()
		}
	}
}

// IsIsolated reports whether other hosts own slots but this host receives no heartbeats, or only those of a minority of
// the owners while the store does not respond either. Callers should then connect to the other hosts.
func (c *Cluster) IsIsolated(now time.Time) bool {
	return c.isAnySlotOwnedByOthers() && (c.peers.hearsNoPeer(now) || (c.isStoreSilent(now) && !c.hearsMajority(now)))
}

// hearsNoPeer reports whether no peer has been heard for isolationTimeout, although peers are known that have not left.
func (p *peerTable) hearsNoPeer(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.resumedAt) < isolationTimeout {
		return false
	}
	known := false
	for _, other := range p.byHost {
		if now.Sub(laterOf(other.lastHeardAt, other.listedAt)) < isolationTimeout {
			return false
		}
		known = known || !other.hasLeft
	}

	return known
}

// isAnySlotOwnedByOthers reports whether, by the last known ownership, other hosts own slots.
func (c *Cluster) isAnySlotOwnedByOthers() bool {
	for _, owner := range c.ownership.Load().owners {
		if owner != "" && owner != c.self {
			return true
		}
	}

	return false
}

// liveHosts returns this host and the peers that have not left and are heard, or were listed too recently to be expected
// to have been heard.
func (p *peerTable) liveHosts(now time.Time) []eligibility.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := p.silenceTimeout()
	hosts := []eligibility.Host{{ID: p.selfEntry.PeerAddress, CPUCores: p.selfEntry.CPUCores}}
	for _, other := range p.byHost {
		if !other.hasLeft && now.Sub(laterOf(other.lastHeardAt, other.listedAt)) <= limit {
			hosts = append(hosts, eligibility.Host{ID: other.PeerAddress, CPUCores: other.CPUCores})
		}
	}

	return hosts
}
