package fleet

import (
	"context"
	"time"

	"cardamomward/core/eligibility"
	"cardamomward/io/topicconsumer"
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
func (f *Fleet) renewLoop(ctx context.Context) {
	f.awaitList(ctx)
	for ctx.Err() == nil && !f.leaving.Load() {
		var pause time.Duration
		if f.candidate() {
			pause = f.renew(ctx)
		} else {
			pause = f.standDown(ctx)
		}
		f.pauseRenewal(ctx, pause)
	}
}

// awaitList waits for the list of hosts, without which a host takes itself for the only one.
func (f *Fleet) awaitList(ctx context.Context) {
	timer := time.NewTimer(gatheringTime)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-f.peers.listed:
	case <-timer.C:
	}
}

// pauseRenewal waits, but no longer than until slots may have become free.
func (f *Fleet) pauseRenewal(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-f.freed:
	case <-timer.C:
	}
}

// candidate reports whether this host should be a member.
func (f *Fleet) candidate() bool {
	now := f.Now()
	if f.ownsAny() {
		f.owned = now
	}
	if f.CutOff(now) {
		f.wantOwners()

		return false
	}

	return eligibility.ShouldBeMember(eligibility.View{
		Self: f.self, SlotCount: len(f.slots), LiveHosts: f.peers.candidates(now), SlotOwners: f.ownership.Load().owners,
		IsMember: f.member, IdleDuration: now.Sub(f.owned),
	})
}

func (f *Fleet) ownsAny() bool {
	for _, s := range f.slots {
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
func (f *Fleet) standDown(ctx context.Context) time.Duration {
	if f.member {
		f.handOver(ctx, "stands-down")
		if err := f.leave(ctx); err != nil {
			return renewRetry
		}
		f.member = false
		f.rejoin.Store(true)
	}

	return renewInterval
}

// renew returns when to renew next: at once to hand over slots that were given up.
func (f *Fleet) renew(ctx context.Context) time.Duration {
	if f.rejoin.Load() && !f.startOver(ctx) {
		return renewRetry
	}
	asked := f.Now()
	var m platform.Membership
	err := f.call(ctx, func(ctx context.Context) (err error) {
		m, err = f.store.Join(ctx, group, f.self, []string{f.topic}, f.lease, f.generation.Load())

		return err
	})
	if err != nil {
		f.Logger.V(1).Info("renewal-failed", "error", err)

		return renewRetry
	}
	if !f.member {
		f.member, f.owned = true, asked
	}
	f.leaseUntil.Store(asked.Add(f.lease).UnixNano())
	changed := m.Generation != f.generation.Load()
	f.generation.Store(m.Generation)
	if f.leaving.Load() {
		return renewInterval
	}
	if f.crowded(len(m.Held)) {
		return gatheringPause
	}
	released := f.hold(ctx, m)
	if changed {
		f.wantOwners()
	}
	switch {
	case released:
		return 0
	case f.gathering():
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
func (f *Fleet) gathering() bool { return f.Now().Sub(f.peers.started) <= gatheringTime }

// crowded reports whether a host that has just started holds many more slots than its share: others that start beside it
// are about to take them, and reading them all would keep it busy until then.
func (f *Fleet) crowded(held int) bool {
	if !f.gathering() || f.ownsAny() {
		return false
	}

	return held > 2*eligibility.MaxSlotsPerHost(len(f.slots), f.peers.candidates(f.Now()))
}

// startOver leaves the group, so that the next membership has a generation, and thus epochs, that no earlier process
// of this host has used.
func (f *Fleet) startOver(ctx context.Context) bool {
	if err := f.leave(ctx); err != nil {
		f.Logger.V(1).Info("leave-failed", "error", err)

		return false
	}
	f.rejoin.Store(false)

	return true
}

// hold takes the slots that a membership names and gives up all others; it reports whether any was given up.
func (f *Fleet) hold(ctx context.Context, m platform.Membership) bool {
	held := make(map[int]struct{}, len(m.Held))
	for _, partition := range m.Held {
		if partition.Topic == f.topic && partition.Part < len(f.slots) {
			held[partition.Part] = struct{}{}
		}
	}
	released := false
	for _, s := range f.slots {
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
func (f *Fleet) Leave(ctx context.Context) {
	f.leaving.Store(true)
	f.peers.setDraining()
	for ctx.Err() == nil && !f.storeServes(ctx) {
		topicconsumer.SleepContext(ctx, renewRetry)
	}
	f.handOver(ctx, "leaving")
	for ctx.Err() == nil {
		err := f.leave(ctx)
		if err == nil {
			break
		}
		f.Logger.Error(err, "leave-failed")
		topicconsumer.SleepContext(ctx, renewInterval)
	}
	f.peers.setLeft()
	f.wantOwners()
	f.peers.withdraw(ctx)
}

// storeServes asks the store something that changes nothing.
func (f *Fleet) storeServes(ctx context.Context) bool {
	err := f.call(ctx, func(ctx context.Context) error {
		_, err := f.store.Owners(ctx, group)

		return err
	})

	return err == nil
}

// handOver gives up all slots once their records are durable, or cannot be in time.
func (f *Fleet) handOver(ctx context.Context, reason string) {
	flushCtx, cancel := context.WithTimeout(ctx, flushLimit)
	defer cancel()
	for _, s := range f.slots {
		s.flush(flushCtx)
		s.release(reason)
	}
}

func (f *Fleet) leave(ctx context.Context) error {
	return f.call(ctx, func(ctx context.Context) error { return f.store.Leave(ctx, group, f.self) })
}

// flushLimit bounds how long slots that are handed over wait for their records to become durable.
const flushLimit = 500 * time.Millisecond

// wantOwners asks for the owners to be read again soon.
func (f *Fleet) wantOwners() {
	select {
	case f.refreshed <- struct{}{}:
	default:
	}
}

// refreshLoop reads the owners when they may have changed.
func (f *Fleet) refreshLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.refreshed:
		}
		f.refreshOwners(ctx)
		topicconsumer.SleepContext(ctx, f.peers.scaled(refreshPause))
	}
}

func (f *Fleet) refreshOwners(ctx context.Context) {
	generation := max(f.generation.Load(), f.ownership.Load().generation)
	var rows map[platform.Partition]string
	err := f.call(ctx, func(ctx context.Context) (err error) {
		rows, err = f.store.Owners(ctx, group)

		return err
	})
	if err != nil {
		f.Logger.V(1).Info("owners-failed", "error", err)
		f.wantOwners()

		return
	}
	owners := make([]string, len(f.slots))
	for partition, member := range rows {
		if partition.Topic == f.topic && partition.Part < len(owners) {
			owners[partition.Part] = member
		}
	}
	f.setOwners(&ownership{generation: generation, owners: owners})
}

// hearOwners takes what a peer says of the owners, if it is newer than what is known: within a generation the store
// alone knows what has been handed over.
func (f *Fleet) hearOwners(next *ownership) {
	if next.generation > f.ownership.Load().generation {
		f.setOwners(next)
	}
}

// setOwners takes what the store says of the owners, unless something newer is known.
func (f *Fleet) setOwners(next *ownership) {
	old := f.ownership.Load()
	if next.generation < old.generation {
		return
	}
	f.ownership.Store(next)
	f.ownersMu.Lock()
	close(f.ownersChanged)
	f.ownersChanged = make(chan struct{})
	f.ownersMu.Unlock()
	if next.generation != old.generation {
		f.Logger.Info("owners", "generation", next.generation, "owners", next.owners)
	}
}
