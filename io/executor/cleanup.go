package executor

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
	"cardamomward/io/engineclient"
)

const (
	// programExpiryInterval is the interval between checks for programs with an expired lease.
	programExpiryInterval = time.Second
	// engineGCInterval is the interval between comparisons of an engine's memory with the open programs.
	engineGCInterval = 2 * time.Second
	// engineCacheTimeout bounds a request that lists or releases an engine's memory.
	engineCacheTimeout = 2 * time.Second
)

// runPeriodically calls fn at an interval until ctx ends.
func runPeriodically(ctx context.Context, interval time.Duration, fn func(context.Context, time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			fn(ctx, now)
		}
	}
}

// RunProgramExpiry ends the programs in this host's slots whose lease has expired, until ctx ends.
func (e *Executor) RunProgramExpiry(ctx context.Context) {
	var tracker expiry.Tracker
	runPeriodically(ctx, programExpiryInterval, func(ctx context.Context, now time.Time) {
		if now.Sub(e.Journal.Status().LogReadAt) > maxLogStaleness {
			return
		}
		for _, program := range tracker.SweepExpired(now, e.listOpenPrograms()) {
			e.expireProgram(ctx, program)
		}
	})
}

// listOpenPrograms returns the open programs of the slots that this host owns.
func (e *Executor) listOpenPrograms() []expiry.Program {
	e.mu.Lock()
	hasRunningCall := make(map[id.Program]bool, len(e.activePrograms))
	for program := range e.activePrograms {
		hasRunningCall[program] = true
	}
	e.mu.Unlock()
	var open []expiry.Program
	e.Journal.View(func(p *projection.Programs) {
		for number := range id.SlotCount {
			slot := id.Slot(number)
			if state := p.Slot(slot); state.State != projection.SlotOwned || state.Owner != e.Host {
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
					HasRunningCall: hasRunningCall[name],
				})
			}
		}
	})

	return open
}

// expireProgram ends a program unless one of its turns is running.
func (e *Executor) expireProgram(ctx context.Context, program id.Program) {
	active, releaseProgram := e.useProgram(program)
	defer releaseProgram()
	select {
	case active.turnLock <- struct{}{}:
		defer func() { <-active.turnLock }()
	default:
		return
	}
	if err := e.commitProgramEnd(ctx, program, EndedByLeaseExpiry); err != nil {
		e.Logger.Info("program-not-expired", "program", program, "error", err)
	}
}

// releaseEndedProgram releases the memory that engines hold for an ended program; RunEngineGC releases what this misses.
func (e *Executor) releaseEndedProgram(ctx context.Context, program id.Program) {
	upstreams := make(map[id.Upstream][]string)
	e.Journal.View(func(p *projection.Programs) {
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
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), engineCacheTimeout)
	defer cancel()
	for _, u := range e.Dispatcher.Pool.All() {
		if owners := upstreams[u.ID()]; len(owners) > 0 {
			e.releaseAtUpstream(ctx, u, engineclient.CacheRelease{Owners: owners})
		}
	}
}

func (e *Executor) releaseAtUpstream(ctx context.Context, u *engineclient.Upstream, release engineclient.CacheRelease) {
	if err := u.ReleaseCache(ctx, release); err != nil {
		e.Logger.Info("release-failed", "upstream", u.ID(), "owners", len(release.Owners), "error", err)

		return
	}
	e.Logger.Info("memory-released", "upstream", u.ID(), "owners", len(release.Owners))
}

// RunEngineGC releases the engine memory of programs that are not open, until ctx ends. Each engine is collected only by
// the host that owns the engine's slot.
func (e *Executor) RunEngineGC(ctx context.Context) {
	collectors := make(map[id.Upstream]*enginegc.Collector)
	runPeriodically(ctx, engineGCInterval, func(ctx context.Context, _ time.Time) {
		var group sync.WaitGroup
		owned := make(map[id.Upstream]*enginegc.Collector)
		for _, u := range e.Dispatcher.Pool.All() {
			epoch, ok := e.engineSlotEpoch(u.ID())
			if !ok {
				continue
			}
			collector := collectors[u.ID()]
			if collector == nil {
				collector = &enginegc.Collector{}
			}
			owned[u.ID()] = collector
			group.Go(func() { e.collectEngineMemory(ctx, u, collector, epoch) })
		}
		group.Wait()
		collectors = maps.Clone(owned)
	})
}

// engineSlotEpoch returns the epoch of an engine's slot and whether this host owns it.
func (e *Executor) engineSlotEpoch(upstream id.Upstream) (id.Epoch, bool) {
	var state projection.SlotState
	e.Journal.View(func(p *projection.Programs) { state = p.Slot(id.UpstreamSlot(upstream)) })

	return state.Epoch, state.State == projection.SlotOwned && state.Owner == e.Host
}

// collectEngineMemory releases the engine memory of the programs that the collector selects. The release carries the epoch
// of the engine's slot as its fencing token.
func (e *Executor) collectEngineMemory(ctx context.Context, u *engineclient.Upstream, collector *enginegc.Collector, epoch id.Epoch) {
	ctx, cancel := context.WithTimeout(ctx, engineCacheTimeout)
	defer cancel()
	cache, err := u.ListCache(ctx)
	if err != nil {
		e.Logger.V(1).Info("cache-list-failed", "upstream", u.ID(), "error", err)

		return
	}
	listing := enginegc.Listing{EngineRun: cache.EngineRun, LogReadAt: e.Journal.Status().LogReadAt, IsOpen: e.isProgramOpen}
	for _, owner := range cache.Owners {
		listing.Programs = append(listing.Programs, id.Program(owner.Owner))
	}
	ended := collector.ProgramsToRelease(time.Now(), listing)
	if len(ended) == 0 {
		return
	}
	release := engineclient.CacheRelease{FencingToken: uint64(epoch)}
	for _, program := range ended {
		release.Owners = append(release.Owners, string(program))
	}
	e.releaseAtUpstream(ctx, u, release)
}

// isProgramOpen reports whether a program is open according to the log; a program in a slot whose state is still being read counts
// as open.
func (e *Executor) isProgramOpen(program id.Program) bool {
	open := false
	e.Journal.View(func(p *projection.Programs) {
		state, ok := p.Program(program)
		open = p.NeedsSnapshot(id.ProgramSlot(program)) || (ok && state.State == projection.ProgramOpen)
	})

	return open
}
