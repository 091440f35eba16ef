package cluster

import (
	"context"
	"sync"
	"time"

	"cardamomward/core/eligibility"
	"cardamomward/io/topicconsumer"
	"cardamomward/platform"
)

const (
	// minLeaseDuration is the shortest lease of a membership.
	minLeaseDuration = time.Second
	// renewInterval is the interval of renewals.
	renewInterval = 300 * time.Millisecond
	// renewRetryInterval is the retry interval of failed renewals.
	renewRetryInterval = 50 * time.Millisecond
	// minOwnersReadInterval is the minimum interval between reads of the owners from the store.
	minOwnersReadInterval = 80 * time.Millisecond
)

// renewLoop keeps this host a member of the group while it is eligible, and acquires and releases slots as the store
// assigns them.
func (c *Cluster) renewLoop(ctx context.Context) {
	c.awaitHostList(ctx)
	for ctx.Err() == nil && !c.isResigning.Load() {
		var pause time.Duration
		if c.shouldBeMember() {
			pause = c.renewMembership(ctx)
		} else {
			pause = c.resignMembership(ctx)
		}
		c.awaitNextRenewal(ctx, pause)
	}
}

// awaitHostList waits for the list of hosts, for up to startupPhaseDuration: without it, this host would assume that it
// is the only one.
func (c *Cluster) awaitHostList(ctx context.Context) {
	timer := time.NewTimer(startupPhaseDuration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-c.peers.hostListRead:
	case <-timer.C:
	}
}

// awaitNextRenewal waits for a time, or until a renewal is triggered.
func (c *Cluster) awaitNextRenewal(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-c.renewSignal:
	case <-timer.C:
	}
}

// shouldBeMember reports whether this host is eligible for membership.
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

// resignMembership releases this host's slots, leaves the group if it is a member, and returns when to check
// eligibility again.
func (c *Cluster) resignMembership(ctx context.Context) time.Duration {
	if c.isMember {
		c.mustRejoin.Store(true)
		c.releaseAllSlots(ctx, "stands-down")
		if err := c.leaveGroup(ctx); err != nil {
			return renewRetryInterval
		}
		c.isMember = false
	}

	return renewInterval
}

// renewMembership renews the lease, applies the assigned slots and returns the time to the next renewal: zero if slots
// were released, to hand them over at once, or if this host must rejoin the group.
func (c *Cluster) renewMembership(ctx context.Context) time.Duration {
	if c.mustRejoin.Load() && !c.resetMembership(ctx) {
		return renewRetryInterval
	}
	requestedAt := c.Now()
	var m platform.GroupMembership
	err := c.callStore(ctx, func(ctx context.Context) (err error) {
		m, err = c.store.JoinGroup(ctx, slotGroup, c.self, []string{c.slotTopic}, c.leaseDuration, c.generation.Load())

		return err
	})
	if err != nil {
		c.Logger.V(1).Info("renewal-failed", "error", err)

		return renewRetryInterval
	}
	if !c.isMember {
		c.isMember, c.lastOwnedAt = true, requestedAt
	}
	previousGeneration := c.generation.Swap(m.Generation)
	changed := m.Generation != previousGeneration
	if m.Generation > previousGeneration+1 {
		// One change of the group cannot both move a slot away and back, but two can.
		for _, s := range c.slots {
			s.requireConfirmation(ctx)
		}
	}
	if requestedAt.UnixNano() > c.leaseExpiryNanos.Load() {
		c.rejoinedAt = requestedAt
	}
	c.leaseExpiryNanos.Store(requestedAt.Add(c.leaseDuration).UnixNano())
	if c.isResigning.Load() {
		return renewInterval
	}
	released := c.applyHeldSlots(ctx, m, !c.holdsExcessSlots(len(m.Partitions)))
	if changed {
		c.requestOwnersRefresh()
	}
	switch {
	case released || c.mustRejoin.Load():
		return 0
	case c.isStartupPhase() || c.isRejoinPhase():
		return startupRenewInterval
	}

	return renewInterval
}

const (
	// startupPhaseDuration is how long after its start a host expects other hosts to start too, as after a loss of all
	// hosts.
	startupPhaseDuration = 1200 * time.Millisecond
	// startupRenewInterval is the interval of renewals while slots move from the first hosts to the others.
	startupRenewInterval = 60 * time.Millisecond
)

// isStartupPhase reports whether other hosts may be starting at the same time.
func (c *Cluster) isStartupPhase() bool {
	return c.Now().Sub(c.peers.startedAt) <= startupPhaseDuration
}

// isRejoinPhase reports whether other hosts may be renewing leases that expired at the same time as this host's, in an outage of the
// store.
func (c *Cluster) isRejoinPhase() bool {
	return c.Now().Sub(c.rejoinedAt) <= startupPhaseDuration
}

// holdsExcessSlots reports whether a host that has just started, or whose lease has expired, holds more than twice its share of slots.
// Other hosts will soon be assigned them. Loading all of them would keep this host busy until then, and would fence owners that still
// have the turns of an outage to write.
func (c *Cluster) holdsExcessSlots(held int) bool {
	if c.isStartupPhase() {
		if c.ownsAnySlot() {
			return false
		}
	} else if !c.isRejoinPhase() {
		return false
	}

	return held > 2*eligibility.MaxSlotsPerHost(len(c.slots), c.peers.liveHosts(c.Now()))
}

// resetMembership leaves the group, so that the next membership has a generation, and thus epochs, that no earlier
// process of this host has used.
func (c *Cluster) resetMembership(ctx context.Context) bool {
	if err := c.leaveGroup(ctx); err != nil {
		c.Logger.V(1).Info("leave-failed", "error", err)

		return false
	}
	c.mustRejoin.Store(false)

	return true
}

// applyHeldSlots acquires the slots that a membership holds, if it may, releases all others and reports whether any was released.
func (c *Cluster) applyHeldSlots(ctx context.Context, m platform.GroupMembership, mayAcquire bool) bool {
	held := make(map[int]struct{}, len(m.Partitions))
	for _, partition := range m.Partitions {
		if partition.Topic == c.slotTopic && partition.Number < len(c.slots) {
			held[partition.Number] = struct{}{}
		}
	}
	var reassigned []*slot
	for _, s := range c.slots {
		if _, ok := held[s.index]; !ok {
			reassigned = append(reassigned, s)
		} else if mayAcquire {
			s.acquire(ctx, m.Generation)
		}
	}
	c.flushReassigned(ctx, reassigned)
	released := false
	for _, s := range reassigned {
		if s.release("reassigned") {
			released = true
		}
	}

	return released
}

// reassignFlushTimeout bounds the wait for the records of reassigned slots to become durable. Nobody serves the slots meanwhile.
const reassignFlushTimeout = 150 * time.Millisecond

// flushReassigned stops serving slots that the store has reassigned, and waits until their records are durable, the next owners have
// fenced this host, or reassignFlushTimeout has passed. After an outage of the store all leases have expired, so that slots move to the
// first host that renews its own and back, while their owners have the turns of the outage still to write.
func (c *Cluster) flushReassigned(ctx context.Context, slots []*slot) {
	ctx, cancel := context.WithTimeout(ctx, reassignFlushTimeout)
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, s := range slots {
		if s.stopServing() {
			wg.Go(func() { s.flush(ctx) })
		}
	}
}

// Leave releases all slots and ends the membership. It waits while no other host could acquire the slots, because the store does not
// respond or all hosts are draining, and continues to serve them meanwhile. The host stays in the list of hosts until Withdraw, since
// it still serves callers and may hold turns that others need.
func (c *Cluster) Leave(ctx context.Context) {
	c.isLeaving.Store(true)
	c.peers.setDraining()
	c.awaitStayingHost(ctx)
	c.isResigning.Store(true)
	for ctx.Err() == nil && !c.pingStore(ctx) {
		topicconsumer.SleepContext(ctx, renewRetryInterval)
	}
	c.releaseAllSlots(ctx, "leaving")
	for ctx.Err() == nil {
		err := c.leaveGroup(ctx)
		if err == nil {
			break
		}
		c.Logger.Error(err, "leave-failed")
		topicconsumer.SleepContext(ctx, renewInterval)
	}
	c.peers.setLeft()
	c.requestOwnersRefresh()
}

// drainNoticePeriod is the longest time until heartbeats show that a host which was told to stop at the same time is draining.
const drainNoticePeriod = 2 * heartbeatInterval

// awaitStayingHost waits until a host is heard that is not draining. If all hosts are stopped at once, turns in progress need the slots
// until their end.
func (c *Cluster) awaitStayingHost(ctx context.Context) {
	noticedAt := c.Now().Add(drainNoticePeriod)
	for ctx.Err() == nil && !c.peers.hasStayingPeerSince(noticedAt) {
		topicconsumer.SleepContext(ctx, heartbeatInterval)
	}
}

// withdrawTimeout bounds the deletion of this host's entry when its process stops.
const withdrawTimeout = 300 * time.Millisecond

// Withdraw deletes this host's entry from the list of hosts, if Leave has ended the membership. The peers must otherwise
// notice the host's silence to evict it.
func (c *Cluster) Withdraw(ctx context.Context) {
	if !c.peers.selfHasLeft() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, withdrawTimeout)
	defer cancel()
	c.peers.withdrawEntry(ctx)
}

// pingStore reports whether the store responds to a read.
func (c *Cluster) pingStore(ctx context.Context) bool {
	err := c.callStore(ctx, func(ctx context.Context) error {
		_, err := c.store.ListPartitionOwners(ctx, slotGroup)

		return err
	})

	return err == nil
}

// releaseAllSlots flushes and releases all slots; turns that are not durable within flushTimeout are sent to the next
// owner.
func (c *Cluster) releaseAllSlots(ctx context.Context, reason string) {
	flushCtx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	c.writeLastCheckpoints()
	for _, s := range c.slots {
		s.flush(flushCtx)
		s.release(reason)
	}
}

// leaveGroup ends the membership. The lease ends before, since other hosts may own the slots at once.
func (c *Cluster) leaveGroup(ctx context.Context) error {
	if c.leaseExpiryNanos.Load() != 0 {
		c.leaseExpiryNanos.Store(endedLeaseNanos)
	}

	return c.callStore(ctx, func(ctx context.Context) error { return c.store.LeaveGroup(ctx, slotGroup, c.self) })
}

// endedLeaseNanos is the expiry of a lease that has ended; it differs from that of a host without any lease yet.
const endedLeaseNanos = 1

// flushTimeout bounds the wait for records to become durable before their slots are released.
const flushTimeout = 500 * time.Millisecond

// requestOwnersRefresh requests a read of the owners from the store.
func (c *Cluster) requestOwnersRefresh() {
	select {
	case c.refreshOwnersSignal <- struct{}{}:
	default:
	}
}

// refreshOwnersLoop reads the owners from the store when that is requested.
func (c *Cluster) refreshOwnersLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.refreshOwnersSignal:
		}
		c.refreshOwners(ctx)
		topicconsumer.SleepContext(ctx, c.peers.scaleInterval(minOwnersReadInterval))
	}
}

func (c *Cluster) refreshOwners(ctx context.Context) {
	generation := max(c.generation.Load(), c.ownership.Load().generation)
	var ownersByPartition map[platform.Partition]string
	err := c.callStore(ctx, func(ctx context.Context) (err error) {
		ownersByPartition, err = c.store.ListPartitionOwners(ctx, slotGroup)

		return err
	})
	if err != nil {
		c.Logger.V(1).Info("owners-failed", "error", err)
		c.requestOwnersRefresh()

		return
	}
	owners := make([]string, len(c.slots))
	for partition, member := range ownersByPartition {
		if partition.Topic == c.slotTopic && partition.Number < len(owners) {
			owners[partition.Number] = member
		}
	}
	c.setOwnership(&ownership{generation: generation, owners: owners})
}

// adoptPeerOwnership adopts the owners that a peer reports if their generation is newer. Within a generation, only the
// store knows which slots have been handed over.
func (c *Cluster) adoptPeerOwnership(next *ownership) {
	if next.generation > c.ownership.Load().generation {
		c.setOwnership(next)
	}
}

// setOwnership sets the owners, unless a newer generation is known.
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
