package owner

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"cardamomward/core/enginegc"
	"cardamomward/core/expiry"
	"cardamomward/core/id"
	"cardamomward/core/projection"
	"cardamomward/io/engine"
)

const (
	// expiryInterval is how often the owner looks for programs whose lease has passed.
	expiryInterval = time.Second
	// reconcileInterval is how often the memory of an engine is compared with the live programs.
	reconcileInterval = 2 * time.Second
	// releaseTimeout bounds one listing or release at an engine.
	releaseTimeout = 2 * time.Second
)

// every calls do at an interval until ctx ends.
func every(ctx context.Context, interval time.Duration, do func(context.Context, time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			do(ctx, now)
		}
	}
}

// RunExpiry ends the programs of this host's slots whose lease has passed, until ctx ends.
func (o *Owner) RunExpiry(ctx context.Context) {
	var tracker expiry.Tracker
	every(ctx, expiryInterval, func(ctx context.Context, now time.Time) {
		if now.Sub(o.Journal.Status().LogReadAt) > staleAfter {
			return
		}
		for _, program := range tracker.SweepExpired(now, o.openPrograms()) {
			o.expire(ctx, program)
		}
	})
}

// openPrograms returns the open programs of the slots that this host owns.
func (o *Owner) openPrograms() []expiry.Program {
	o.mu.Lock()
	busy := make(map[id.Program]bool, len(o.programs))
	for program := range o.programs {
		busy[program] = true
	}
	o.mu.Unlock()
	var open []expiry.Program
	o.Journal.View(func(p *projection.Programs) {
		for number := range id.SlotCount {
			slot := id.Slot(number)
			if state := p.Slot(slot); state.State != projection.SlotOwned || state.Owner != o.Host {
				continue
			}
			for _, name := range p.SlotPrograms(slot) {
				program, ok := p.Program(name)
				if !ok || program.State != projection.ProgramOpen {
					continue
				}
				open = append(open, expiry.Program{
					ID:             name,
					Lease:          time.Duration(program.LeaseMillis) * time.Millisecond,
					LastRecord:     max(program.LastRecord, p.LastCallPosition(name)),
					HasRunningCall: busy[name],
				})
			}
		}
	})

	return open
}

// expire ends a program unless a call of it has begun meanwhile.
func (o *Owner) expire(ctx context.Context, program id.Program) {
	a, done := o.use(program)
	defer done()
	select {
	case a.turn <- struct{}{}:
		defer func() { <-a.turn }()
	default:
		return
	}
	if err := o.end(ctx, program, EndedByLease); err != nil {
		o.Logger.Info("program-not-expired", "program", program, "error", err)
	}
}

// releaseEnded drops at once what upstreams hold for a program that has ended; reconciliation finds what is missed.
func (o *Owner) releaseEnded(ctx context.Context, program id.Program) {
	upstreams := make(map[id.Upstream][]string)
	o.Journal.View(func(p *projection.Programs) {
		for _, name := range p.SlotPrograms(id.ProgramSlot(program)) {
			state, ok := p.Program(name)
			if !ok || name.Root() != program.Root() || state.State == projection.ProgramOpen {
				continue
			}
			for _, turn := range state.Turns {
				upstream := id.Upstream(turn.GetUpstream())
				if owners := upstreams[upstream]; !slices.Contains(owners, string(name)) {
					upstreams[upstream] = append(owners, string(name))
				}
			}
		}
	})
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	for _, u := range o.Dispatcher.Pool.All() {
		if owners := upstreams[u.ID()]; len(owners) > 0 {
			o.releaseAt(ctx, u, engine.CacheRelease{Owners: owners})
		}
	}
}

func (o *Owner) releaseAt(ctx context.Context, u *engine.Upstream, release engine.CacheRelease) {
	if err := u.Release(ctx, release); err != nil {
		o.Logger.Info("release-failed", "upstream", u.ID(), "owners", len(release.Owners), "error", err)

		return
	}
	o.Logger.Info("memory-released", "upstream", u.ID(), "owners", len(release.Owners))
}

// RunReconcile compares what the engines hold with the live programs, until ctx ends. The owner of an engine's slot
// alone does so for it.
func (o *Owner) RunReconcile(ctx context.Context) {
	ledgers := make(map[id.Upstream]*enginegc.Collector)
	every(ctx, reconcileInterval, func(ctx context.Context, _ time.Time) {
		var group sync.WaitGroup
		kept := make(map[id.Upstream]*enginegc.Collector)
		for _, u := range o.Dispatcher.Pool.All() {
			epoch, ok := o.engineEpoch(u.ID())
			if !ok {
				continue
			}
			ledger := ledgers[u.ID()]
			if ledger == nil {
				ledger = &enginegc.Collector{}
			}
			kept[u.ID()] = ledger
			group.Go(func() { o.reconcile(ctx, u, ledger, epoch) })
		}
		group.Wait()
		ledgers = maps.Clone(kept)
	})
}

// engineEpoch returns the epoch at which this host owns an engine's slot.
func (o *Owner) engineEpoch(upstream id.Upstream) (id.Epoch, bool) {
	var state projection.SlotState
	o.Journal.View(func(p *projection.Programs) { state = p.Slot(id.UpstreamSlot(upstream)) })

	return state.Epoch, state.State == projection.SlotOwned && state.Owner == o.Host
}

func (o *Owner) reconcile(ctx context.Context, u *engine.Upstream, ledger *enginegc.Collector, epoch id.Epoch) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	list, err := u.Cache(ctx)
	if err != nil {
		o.Logger.V(1).Info("cache-list-failed", "upstream", u.ID(), "error", err)

		return
	}
	look := enginegc.Listing{EngineRun: list.Run, LogReadAt: o.Journal.Status().LogReadAt, IsOpen: o.live}
	for _, owner := range list.Owners {
		look.Programs = append(look.Programs, id.Program(owner.Owner))
	}
	gone := ledger.ProgramsToRelease(time.Now(), look)
	if len(gone) == 0 {
		return
	}
	release := engine.CacheRelease{Fence: uint64(epoch)}
	for _, program := range gone {
		release.Owners = append(release.Owners, string(program))
	}
	o.releaseAt(ctx, u, release)
}

// live reports whether a program is open by the log; one of which nothing is known counts as open.
func (o *Owner) live(program id.Program) bool {
	open := false
	o.Journal.View(func(p *projection.Programs) {
		state, ok := p.Program(program)
		open = p.NeedsSnapshot(id.ProgramSlot(program)) || (ok && state.State == projection.ProgramOpen)
	})

	return open
}
