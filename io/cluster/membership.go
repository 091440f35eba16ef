package cluster

import (
	"context"
	"time"

	"cardamomward/core/eligibility"
	"cardamomward/io/follow"
	"cardamomward/platform"
)

const (
	// minLease is the shortest lease of a membership.
	minLease = time.Second
	// renewInterval is how often the membership is renewed.
	renewInterval = 300 * time.Millisecond
	// renewRetry paces renewals that failed.
	renewRetry = 50 * time.Millisecond
	// refreshPause is the least time between two reads of the owners.
	refreshPause = 80 * time.Millisecond
)

// renewLoop keeps this host a member of the group and takes and gives up slots as the store says.
func (c *Cluster) renewLoop(ctx context.Context) {
	c.awaitList(ctx)
	for ctx.Err() == nil && !c.leaving.Load() {
		var pause time.Duration
		if c.candidate() {
			pause = c.renew(ctx)
		} else {
			pause = c.standDown(ctx)
		}
		c.pauseRenewal(ctx, pause)
	}
}

// awaitList waits for the list of hosts, without which a host takes itself for the only one.
func (c *Cluster) awaitList(ctx context.Context) {
	timer := time.NewTimer(gatheringTime)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-c.peers.listed:
	case <-timer.C:
	}
}

// pauseRenewal waits, but no longer than until slots may have become free.
func (c *Cluster) pauseRenewal(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-c.freed:
	case <-timer.C:
	}
}

// candidate reports whether this host should be a member.
func (c *Cluster) candidate() bool {
	now := c.Now()
	if c.ownsAny() {
		c.owned = now
	}
	if c.IsIsolated(now) {
		c.wantOwners()

		return false
	}

	return eligibility.ShouldBeMember(eligibility.View{
		Self: c.self, SlotCount: len(c.slots), LiveHosts: c.peers.candidates(now), SlotOwners: c.ownership.Load().owners,
		IsMember: c.member, IdleDuration: now.Sub(c.owned),
	})
}

func (c *Cluster) ownsAny() bool {
	for _, s := range c.slots {
		s.mu.Lock()
		owned := s.state != idle
		s.mu.Unlock()
		if owned {
			return true
		}
	}

	return false
}

// standDown ends the membership of a host that is no candidate, once it has handed over what it owns.
func (c *Cluster) standDown(ctx context.Context) time.Duration {
	if c.member {
		c.handOver(ctx, "stands-down")
		if err := c.leave(ctx); err != nil {
			return renewRetry
		}
		c.member = false
		c.rejoin.Store(true)
	}

	return renewInterval
}

// renew returns when to renew next: at once to hand over slots that were given up.
func (c *Cluster) renew(ctx context.Context) time.Duration {
	if c.rejoin.Load() && !c.startOver(ctx) {
		return renewRetry
	}
	asked := c.Now()
	var m platform.Membership
	err := c.call(ctx, func(ctx context.Context) (err error) {
		m, err = c.store.Join(ctx, group, c.self, []string{c.topic}, c.lease, c.generation.Load())

		return err
	})
	if err != nil {
		c.Logger.V(1).Info("renewal-failed", "error", err)

		return renewRetry
	}
	if !c.member {
		c.member, c.owned = true, asked
	}
	c.leaseUntil.Store(asked.Add(c.lease).UnixNano())
	changed := m.Generation != c.generation.Load()
	c.generation.Store(m.Generation)
	if c.leaving.Load() {
		return renewInterval
	}
	if c.crowded(len(m.Held)) {
		return gatheringPause
	}
	released := c.hold(ctx, m)
	if changed {
		c.wantOwners()
	}
	switch {
	case released:
		return 0
	case c.gathering():
		return gatheringPause
	}

	return renewInterval
}

const (
	// gatheringTime is how long after its start a host expects others to start too, as after the loss of all hosts.
	gatheringTime = 1200 * time.Millisecond
	// gatheringPause paces renewals while slots pass from the first hosts to the others.
	gatheringPause = 60 * time.Millisecond
)

// gathering reports whether hosts may still be starting beside this one.
func (c *Cluster) gathering() bool { return c.Now().Sub(c.peers.started) <= gatheringTime }

// crowded reports whether a host that has just started holds many more slots than its share: others that start beside it
// are about to take them, and reading them all would keep it busy until then.
func (c *Cluster) crowded(held int) bool {
	if !c.gathering() || c.ownsAny() {
		return false
	}

	return held > 2*eligibility.MaxSlotsPerHost(len(c.slots), c.peers.candidates(c.Now()))
}

// startOver leaves the group, so that the next membership has a generation, and thus epochs, that no earlier process
// of this host has used.
func (c *Cluster) startOver(ctx context.Context) bool {
	if err := c.leave(ctx); err != nil {
		c.Logger.V(1).Info("leave-failed", "error", err)

		return false
	}
	c.rejoin.Store(false)

	return true
}

// hold takes the slots that a membership names and gives up all others; it reports whether any was given up.
func (c *Cluster) hold(ctx context.Context, m platform.Membership) bool {
	held := make(map[int]struct{}, len(m.Held))
	for _, partition := range m.Held {
		if partition.Topic == c.topic && partition.Part < len(c.slots) {
			held[partition.Part] = struct{}{}
		}
	}
	released := false
	for _, s := range c.slots {
		if _, ok := held[s.index]; ok {
			s.take(ctx, m.Generation)
		} else if s.release("reassigned") {
			released = true
		}
	}

	return released
}

// Leave hands all slots over and ends the membership; while the store is away for all hosts, nobody could take the
// slots, and this host keeps them.
func (c *Cluster) Leave(ctx context.Context) {
	c.leaving.Store(true)
	c.peers.setDraining()
	for ctx.Err() == nil && !c.storeServes(ctx) {
		follow.Sleep(ctx, renewRetry)
	}
	c.handOver(ctx, "leaving")
	for ctx.Err() == nil {
		err := c.leave(ctx)
		if err == nil {
			break
		}
		c.Logger.Error(err, "leave-failed")
		follow.Sleep(ctx, renewInterval)
	}
	c.peers.setLeft()
	c.wantOwners()
	c.peers.withdraw(ctx)
}

// storeServes asks the store something that changes nothing.
func (c *Cluster) storeServes(ctx context.Context) bool {
	err := c.call(ctx, func(ctx context.Context) error {
		_, err := c.store.Owners(ctx, group)

		return err
	})

	return err == nil
}

// handOver gives up all slots once their records are durable, or cannot be in time.
func (c *Cluster) handOver(ctx context.Context, reason string) {
	flushCtx, cancel := context.WithTimeout(ctx, flushLimit)
	defer cancel()
	for _, s := range c.slots {
		s.flush(flushCtx)
		s.release(reason)
	}
}

func (c *Cluster) leave(ctx context.Context) error {
	return c.call(ctx, func(ctx context.Context) error { return c.store.Leave(ctx, group, c.self) })
}

// flushLimit bounds how long slots that are handed over wait for their records to become durable.
const flushLimit = 500 * time.Millisecond

// wantOwners asks for the owners to be read again soon.
func (c *Cluster) wantOwners() {
	select {
	case c.refreshed <- struct{}{}:
	default:
	}
}

// refreshLoop reads the owners when they may have changed.
func (c *Cluster) refreshLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.refreshed:
		}
		c.refreshOwners(ctx)
		follow.Sleep(ctx, c.peers.scaled(refreshPause))
	}
}

func (c *Cluster) refreshOwners(ctx context.Context) {
	generation := max(c.generation.Load(), c.ownership.Load().generation)
	var rows map[platform.Partition]string
	err := c.call(ctx, func(ctx context.Context) (err error) {
		rows, err = c.store.Owners(ctx, group)

		return err
	})
	if err != nil {
		c.Logger.V(1).Info("owners-failed", "error", err)
		c.wantOwners()

		return
	}
	owners := make([]string, len(c.slots))
	for partition, member := range rows {
		if partition.Topic == c.topic && partition.Part < len(owners) {
			owners[partition.Part] = member
		}
	}
	c.setOwners(&ownership{generation: generation, owners: owners})
}

// hearOwners takes what a peer says of the owners, if it is newer than what is known: within a generation the store
// alone knows what has been handed over.
func (c *Cluster) hearOwners(next *ownership) {
	if next.generation > c.ownership.Load().generation {
		c.setOwners(next)
	}
}

// setOwners takes what the store says of the owners, unless something newer is known.
func (c *Cluster) setOwners(next *ownership) {
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
