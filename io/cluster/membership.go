package cluster

import (
	"context"
	"time"

	"cardamomward/core/eligibility"
	"cardamomward/io/follow"
	"cardamomward/platform"
)

const (
	// minLeaseDuration is the shortest lease of a membership.
	minLeaseDuration = time.Second
	// renewInterval is how often the membership is renewed.
	renewInterval = 300 * time.Millisecond
	// renewRetryInterval paces renewals that failed.
	renewRetryInterval = 50 * time.Millisecond
	// minOwnersReadInterval is the least time between two reads of the owners.
	minOwnersReadInterval = 80 * time.Millisecond
)

// renewLoop keeps this host a member of the group and takes and gives up slots as the store says.
func (c *Cluster) renewLoop(ctx context.Context) {
	c.awaitHostList(ctx)
	for ctx.Err() == nil && !c.isLeaving.Load() {
		var pause time.Duration
		if c.shouldBeMember() {
			pause = c.renewMembership(ctx)
		} else {
			pause = c.resignMembership(ctx)
		}
		c.awaitNextRenewal(ctx, pause)
	}
}

// awaitHostList waits for the list of hosts, without which a host takes itself for the only one.
func (c *Cluster) awaitHostList(ctx context.Context) {
	timer := time.NewTimer(startupPhaseDuration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-c.peers.hostListRead:
	case <-timer.C:
	}
}

// awaitNextRenewal waits, but no longer than until slots may have become free.
func (c *Cluster) awaitNextRenewal(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-c.renewSignal:
	case <-timer.C:
	}
}

// shouldBeMember reports whether this host should be a member.
func (c *Cluster) shouldBeMember() bool {
	now := c.Now()
	if c.ownsAnySlot() {
		c.lastOwnedAt = now
	}
	if c.IsIsolated(now) {
		c.requestOwnersRefresh()

		return false
	}

	return eligibility.ShouldBeMember(eligibility.View{
		Self: c.self, SlotCount: len(c.slots), LiveHosts: c.peers.liveHosts(now), SlotOwners: c.ownership.Load().owners,
		IsMember: c.isMember, IdleDuration: now.Sub(c.lastOwnedAt),
	})
}

func (c *Cluster) ownsAnySlot() bool {
	for _, s := range c.slots {
		s.mu.Lock()
		owned := s.state != unowned
		s.mu.Unlock()
		if owned {
			return true
		}
	}

	return false
}

// resignMembership ends the membership of a host that is no candidate, once it has handed over what it owns.
func (c *Cluster) resignMembership(ctx context.Context) time.Duration {
	if c.isMember {
		c.releaseAllSlots(ctx, "stands-down")
		if err := c.leaveGroup(ctx); err != nil {
			return renewRetryInterval
		}
		c.isMember = false
		c.mustRejoin.Store(true)
	}

	return renewInterval
}

// renewMembership returns when to renew next: at once to hand over slots that were given up.
func (c *Cluster) renewMembership(ctx context.Context) time.Duration {
	if c.mustRejoin.Load() && !c.resetMembership(ctx) {
		return renewRetryInterval
	}
	requestedAt := c.Now()
	var m platform.Membership
	err := c.callStore(ctx, func(ctx context.Context) (err error) {
		m, err = c.store.Join(ctx, slotGroup, c.self, []string{c.slotTopic}, c.leaseDuration, c.generation.Load())

		return err
	})
	if err != nil {
		c.Logger.V(1).Info("renewal-failed", "error", err)

		return renewRetryInterval
	}
	if !c.isMember {
		c.isMember, c.lastOwnedAt = true, requestedAt
	}
	c.leaseExpiryNanos.Store(requestedAt.Add(c.leaseDuration).UnixNano())
	changed := m.Generation != c.generation.Load()
	c.generation.Store(m.Generation)
	if c.isLeaving.Load() {
		return renewInterval
	}
	if c.holdsExcessSlots(len(m.Held)) {
		return startupRenewInterval
	}
	released := c.applyHeldSlots(ctx, m)
	if changed {
		c.requestOwnersRefresh()
	}
	switch {
	case released:
		return 0
	case c.isStartupPhase():
		return startupRenewInterval
	}

	return renewInterval
}

const (
	// startupPhaseDuration is how long after its start a host expects others to start too, as after the loss of all hosts.
	startupPhaseDuration = 1200 * time.Millisecond
	// startupRenewInterval paces renewals while slots pass from the first hosts to the others.
	startupRenewInterval = 60 * time.Millisecond
)

// isStartupPhase reports whether hosts may still be starting beside this one.
func (c *Cluster) isStartupPhase() bool {
	return c.Now().Sub(c.peers.startedAt) <= startupPhaseDuration
}

// holdsExcessSlots reports whether a host that has just started holds many more slots than its share: others that start beside it
// are about to take them, and reading them all would keep it busy until then.
func (c *Cluster) holdsExcessSlots(held int) bool {
	if !c.isStartupPhase() || c.ownsAnySlot() {
		return false
	}

	return held > 2*eligibility.MaxSlotsPerHost(len(c.slots), c.peers.liveHosts(c.Now()))
}

// resetMembership leaves the group, so that the next membership has a generation, and thus epochs, that no earlier process
// of this host has used.
func (c *Cluster) resetMembership(ctx context.Context) bool {
	if err := c.leaveGroup(ctx); err != nil {
		c.Logger.V(1).Info("leave-failed", "error", err)

		return false
	}
	c.mustRejoin.Store(false)

	return true
}

// applyHeldSlots takes the slots that a membership names and gives up all others; it reports whether any was given up.
func (c *Cluster) applyHeldSlots(ctx context.Context, m platform.Membership) bool {
	held := make(map[int]struct{}, len(m.Held))
	for _, partition := range m.Held {
		if partition.Topic == c.slotTopic && partition.Part < len(c.slots) {
			held[partition.Part] = struct{}{}
		}
	}
	released := false
	for _, s := range c.slots {
		if _, ok := held[s.index]; ok {
			s.acquire(ctx, m.Generation)
		} else if s.release("reassigned") {
			released = true
		}
	}

	return released
}

// Leave hands all slots over and ends the membership; while the store is away for all hosts, nobody could take the
// slots, and this host keeps them.
func (c *Cluster) Leave(ctx context.Context) {
	c.isLeaving.Store(true)
	c.peers.setDraining()
	for ctx.Err() == nil && !c.pingStore(ctx) {
		follow.Sleep(ctx, renewRetryInterval)
	}
	c.releaseAllSlots(ctx, "leaving")
	for ctx.Err() == nil {
		err := c.leaveGroup(ctx)
		if err == nil {
			break
		}
		c.Logger.Error(err, "leave-failed")
		follow.Sleep(ctx, renewInterval)
	}
	c.peers.setLeft()
	c.requestOwnersRefresh()
	c.peers.withdrawEntry(ctx)
}

// pingStore asks the store something that changes nothing.
func (c *Cluster) pingStore(ctx context.Context) bool {
	err := c.callStore(ctx, func(ctx context.Context) error {
		_, err := c.store.Owners(ctx, slotGroup)

		return err
	})

	return err == nil
}

// releaseAllSlots gives up all slots once their records are durable, or cannot be in time.
func (c *Cluster) releaseAllSlots(ctx context.Context, reason string) {
	flushCtx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	for _, s := range c.slots {
		s.flush(flushCtx)
		s.release(reason)
	}
}

func (c *Cluster) leaveGroup(ctx context.Context) error {
	return c.callStore(ctx, func(ctx context.Context) error { return c.store.Leave(ctx, slotGroup, c.self) })
}

// flushTimeout bounds how long slots that are handed over wait for their records to become durable.
const flushTimeout = 500 * time.Millisecond

// requestOwnersRefresh asks for the owners to be read again soon.
func (c *Cluster) requestOwnersRefresh() {
	select {
	case c.refreshOwnersSignal <- struct{}{}:
	default:
	}
}

// refreshOwnersLoop reads the owners when they may have changed.
func (c *Cluster) refreshOwnersLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.refreshOwnersSignal:
		}
		c.refreshOwners(ctx)
		follow.Sleep(ctx, c.peers.scaleInterval(minOwnersReadInterval))
	}
}

func (c *Cluster) refreshOwners(ctx context.Context) {
	generation := max(c.generation.Load(), c.ownership.Load().generation)
	var rows map[platform.Partition]string
	err := c.callStore(ctx, func(ctx context.Context) (err error) {
		rows, err = c.store.Owners(ctx, slotGroup)

		return err
	})
	if err != nil {
		c.Logger.V(1).Info("owners-failed", "error", err)
		c.requestOwnersRefresh()

		return
	}
	owners := make([]string, len(c.slots))
	for partition, member := range rows {
		if partition.Topic == c.slotTopic && partition.Part < len(owners) {
			owners[partition.Part] = member
		}
	}
	c.setOwnership(&ownership{generation: generation, owners: owners})
}

// adoptPeerOwnership takes what a peer says of the owners, if it is newer than what is known: within a generation the store
// alone knows what has been handed over.
func (c *Cluster) adoptPeerOwnership(next *ownership) {
	if next.generation > c.ownership.Load().generation {
		c.setOwnership(next)
	}
}

// setOwnership takes what the store says of the owners, unless something newer is known.
func (c *Cluster) setOwnership(next *ownership) {
	old := c.ownership.Load()
	if next.generation < old.generation {
		return
	}
	c.ownership.Store(next)
	c.ownersMu.Lock()
	close(c.ownersChanged)
	c.ownersChanged = make(chan struct{})
	c.ownersMu.Unlock()
	if next.generation != old.generation {
		c.Logger.Info("owners", "generation", next.generation, "owners", next.owners)
	}
}
