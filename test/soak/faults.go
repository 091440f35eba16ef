package soak

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"cardamomward/platform/standin"
	"cardamomward/test/soak/check"
	"cardamomward/test/soak/plan"
)

// upstream is a stand-in of an upstream that releases replace.
type upstream struct {
	*standin.Upstream

	// mu is held during a fault of the upstream.
	mu      sync.Mutex
	version string
}

func (r *run) startUpstreams() error {
	var failures []error
	start := func(name plan.Target, service string, events int, version string) {
		u := &upstream{Upstream: standin.NewUpstream(string(name), service, events), version: version}
		u.TagHeader, u.EventInterval, u.ResponseDelay = tagHeader, eventInterval, responseDelay
		u.SetVersion(version)
		r.upstreams[name] = u
		var err error
		u.RegisteredAddress, err = r.addLink(plan.UpstreamLink+name, u.Address())
		failures = append(failures, err)
		u.Register(r.store, "ready")
	}
	versions := r.recorder.history.Bounds.Versions
	for number := range plan.EngineCount {
		start(plan.EngineName(number), "engines", eventCount, versions[number%len(versions)])
	}
	for number := range plan.DeskCount {
		start(plan.DeskName(number), "desk", 0, standin.InitialVersion)
	}

	return errors.Join(failures...)
}

func (r *run) stopUpstreams() {
	for _, u := range r.upstreams {
		u.CloseClientConnections()
		u.Close()
	}
}

// injectFaults injects the faults of the plan, each at its time, and returns when all have ended and all hosts serve.
func (r *run) injectFaults(ctx context.Context) error {
	var active sync.WaitGroup
	var mu sync.Mutex
	var failures []error
	for _, f := range r.options.Plan.Faults {
		if !sleep(ctx, time.Until(r.startedAt.Add(f.At))) {
			break
		}
		r.recorder.log("%s begins", f)
		active.Go(func() {
			err := r.inject(ctx, f)
			r.recorder.log("%s has ended, error %v", f, err)
			mu.Lock()
			defer mu.Unlock()
			failures = append(failures, err)
		})
	}
	active.Wait()
	sleep(ctx, time.Until(r.startedAt.Add(r.options.Plan.Duration)))
	for _, h := range r.hosts {
		if !h.current().hasEnded() && !h.awaitReady(ctx) && ctx.Err() == nil {
			r.recorder.log("%s is not ready after the last fault", h.name)
		}
	}

	return errors.Join(failures...)
}

// inject injects one fault and returns when it has ended.
func (r *run) inject(ctx context.Context, f plan.Fault) error {
	switch {
	case f.Kind.HitsHosts():
		return r.injectAtHosts(ctx, f)
	case f.Kind == plan.StoreCut:
		h := r.host(f.Target)
		if h == nil {
			return fmt.Errorf("%s: there is no such host", f)
		}
		defer r.recorder.beginDisturbance(check.StoreDisturbed, h.name)()
		r.faults.cut(h.storeProxy, 1)
		sleep(ctx, f.For)
		r.faults.cut(h.storeProxy, -1)
	case f.Kind == plan.StoreForget:
		r.store.ExpireAllRecords()
	case f.Kind.HitsStore():
		defer r.recorder.beginDisturbance(check.StoreDisturbed, "")()
		r.faults.add(r.store, f)
		sleep(ctx, f.For)
		r.faults.remove(r.store, f)
	case f.Kind.HitsLinks():
		return r.injectAtLink(ctx, f)
	case f.Kind.HitsUpstreams():
		return r.injectAtUpstream(ctx, f)
	case f.Kind == plan.ChangeKeys:
		r.publishKeys()
	}

	return nil
}

func (r *run) host(name plan.Target) *host {
	for _, h := range r.hosts {
		if h.name == check.Host(name) {
			return h
		}
	}

	return nil
}

func (r *run) injectAtHosts(ctx context.Context, f plan.Fault) error {
	switch f.Target {
	case plan.InTurn:
		var failures []error
		for _, h := range r.hosts {
			failures = append(failures, h.inject(ctx, f))
		}

		return errors.Join(failures...)
	case plan.All:
		var active sync.WaitGroup
		failures := make([]error, len(r.hosts))
		for i, h := range r.hosts {
			active.Go(func() { failures[i] = h.inject(ctx, f) })
		}
		active.Wait()

		return errors.Join(failures...)
	default:
		h := r.host(f.Target)
		if h == nil {
			return fmt.Errorf("%s: there is no such host", f)
		}

		return h.inject(ctx, f)
	}
}

// inject injects a fault into the host's process, and starts the host again if the process has ended.
func (h *host) inject(ctx context.Context, f plan.Fault) error {
	h.faultMu.Lock()
	defer h.faultMu.Unlock()
	p := h.current()
	if p.hasEnded() || ctx.Err() != nil {
		return ctx.Err()
	}
	if f.Kind == plan.Pause {
		end := h.run.recorder.beginDisturbance(check.HostPaused, h.name)
		p.signal(syscall.SIGSTOP)
		sleep(ctx, f.For)
		p.signal(syscall.SIGCONT)
		end()

		return nil
	}
	if f.Kind == plan.Kill {
		defer h.run.recorder.beginDisturbance(check.HostLost, h.name)()
		p.kill()
	} else {
		defer h.run.recorder.beginDisturbance(check.HostDrained, h.name)()
		h.terminate(ctx, p, f)
	}
	sleep(ctx, f.For)
	if f.Kind == plan.TerminateStarting {
		if err := h.start(); err != nil {
			return err
		}
		sleep(ctx, f.For)
		h.terminate(ctx, h.current(), f)
	}
	if err := h.start(); err != nil {
		return err
	}
	h.awaitReady(ctx)

	return nil
}

// secondSignalAfter is the time between the first and the second SIGTERM.
const secondSignalAfter = 300 * time.Millisecond

func (h *host) terminate(ctx context.Context, p *process, f plan.Fault) {
	p.signal(syscall.SIGTERM)
	if f.Kind == plan.TerminateTwice {
		sleep(ctx, secondSignalAfter)
		p.signal(syscall.SIGTERM)
	}
	p.awaitEnd()
}

// upstreamSettleTime is the time after a fault of an upstream in which responses may still show it.
const upstreamSettleTime = time.Second

func (r *run) injectAtUpstream(ctx context.Context, f plan.Fault) error {
	u, ok := r.upstreams[f.Target]
	if !ok {
		return fmt.Errorf("%s: there is no such upstream", f)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if f.Kind == plan.Remove {
		u.Deregister(r.store)
		end := r.recorder.beginRemoval(string(f.Target))
		sleep(ctx, f.For)
		// The registration may be read before the end is recorded.
		end()
		u.Register(r.store, "ready")

		return nil
	}
	defer r.recorder.beginDisturbance(check.UpstreamDisturbed, "")()
	if f.Kind == plan.Release {
		u.Register(r.store, "draining")
		sleep(ctx, f.For)
		for until := time.Now().Add(upstreamDrainTimeout); u.RunningRequests() > 0 && time.Now().Before(until); {
			sleep(ctx, pollInterval)
		}
		versions := r.recorder.history.Bounds.Versions
		u.version = versions[(slices.Index(versions, u.version)+1)%len(versions)]
	}
	u.Restart(u.version)
	u.Register(r.store, "ready")
	sleep(ctx, upstreamSettleTime)

	return nil
}

// storeFaults combines the faults of the store that are active at the same time.
type storeFaults struct {
	mu     sync.Mutex
	active []plan.Fault
	cuts   map[*standin.StoreProxy]int
}

// cut adds to the number of faults that cut a host from the store.
func (s *storeFaults) cut(link *standin.StoreProxy, change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cuts == nil {
		s.cuts = make(map[*standin.StoreProxy]int)
	}
	s.cuts[link] += change
	link.SetDown(s.cuts[link] > 0)
}

func (s *storeFaults) add(store *standin.Store, f plan.Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active = append(s.active, f)
	s.apply(store)
}

func (s *storeFaults) remove(store *standin.Store, f plan.Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.active, f); i >= 0 {
		s.active = slices.Delete(s.active, i, i+1)
	}
	s.apply(store)
}

const (
	// slowResponseDelay is longer than a renewal of an owner's lease may wait, lostShare and lateShare are shares of calls.
	slowResponseDelay = 300 * time.Millisecond
	lostShare         = 0.2
	lateShare         = 0.1
	maxLateDelay      = 3 * time.Second
)

func (s *storeFaults) apply(store *standin.Store) {
	var faults standin.Faults
	for _, f := range s.active {
		switch f.Kind { //nolint:exhaustive // the others are no faults of the store
		case plan.StoreDown:
			faults.Down = true
		case plan.StoreSlow:
			faults.ResponseDelay = slowResponseDelay
		case plan.StoreLossy:
			faults.UnansweredReadShare, faults.UnansweredWriteShare, faults.LateWriteShare = lostShare, lostShare, lateShare
			faults.MinLateWriteDelay, faults.MaxLateWriteDelay = slowResponseDelay, maxLateDelay
			faults.Seed = uint64(f.At)
		}
	}
	store.SetFaults(faults)
}
