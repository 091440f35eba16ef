package soak

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"cardamomward/platform/standin"
	"cardamomward/test/soak/check"
	"cardamomward/test/soak/plan"
)

// Bounds of each run, as in docs/design/requirements-recovery.md.
const (
	retention          = time.Minute
	recovery           = 15 * time.Second
	configurationApply = 4 * time.Second
	stableWindow       = 5 * time.Second
	rateWindow         = 5 * time.Second
	rateOvershoot      = 0.1
	rateSlackRequests  = 10
	// upstreamDrainTimeout is the time for which a draining upstream accepts requests.
	upstreamDrainTimeout = 3 * time.Second
)

const (
	eventCount    = 5
	eventInterval = 20 * time.Millisecond
	// responseDelay is the time before a response of a plain upstream, long enough that faults often hit a running order: with 20 ms a host
	// that repeats orders was not found.
	responseDelay = 80 * time.Millisecond
	// tagHeader is the request header field that names the operation; upstreams repeat its value.
	tagHeader = "Soak-Operation"
	// secondVersion is the software version of half of the engines, which releases exchange with the other one.
	secondVersion = "v2"
	// usageInterval is the interval of samples of processes' resources.
	usageInterval = 250 * time.Millisecond
	// stallTick and minStall: a gap between two ticks of more than minStall is a stall of the machine. Hosts that stall as long miss two of the
	// four heartbeats after which an owner counts as silent.
	stallTick = 20 * time.Millisecond
	minStall  = 200 * time.Millisecond
	// quietTime is the time between the last fault and the end of new programs.
	quietTime = time.Second
)

// Options configure a run.
type Options struct {
	Plan plan.Plan
	// Command is the program that runs hosts, with the arguments before "gateway".
	Command []string
	// Dir is an existing directory for settings, logs and the history.
	Dir string
}

// Result is the result of a run.
type Result struct {
	Plan       plan.Plan
	StartedAt  time.Time
	History    *check.History
	Violations []check.Violation
}

// run is a run in progress.
type run struct {
	options   Options
	recorder  *recorder
	store     *standin.Store
	upstreams map[plan.Target]*upstream
	links     map[plan.Target]*faultyLink
	hosts     []*host
	keys      keyring
	faults    storeFaults
	requests  atomic.Int64
	startedAt time.Time
	// settling is closed when the last fault has ended and programs have to continue.
	settling chan struct{}
}

// Run plays a plan and checks the promises; an error says that the run itself failed.
func Run(ctx context.Context, options Options) (*Result, error) {
	events, err := os.Create(filepath.Join(options.Dir, "events.log"))
	if err != nil {
		return nil, err
	}
	defer events.Close() //nolint:errcheck // the log of events is only read by people
	if err := os.WriteFile(filepath.Join(options.Dir, "plan.txt"), []byte(options.Plan.String()), 0o600); err != nil {
		return nil, err
	}
	r := &run{options: options, recorder: &recorder{events: events}, upstreams: make(map[plan.Target]*upstream), links: make(map[plan.Target]*faultyLink), settling: make(chan struct{})}
	r.recorder.history.Bounds = check.Bounds{
		Retention: retention, Recovery: recovery, ConfigurationApply: configurationApply, StableWindow: stableWindow, DrainLimit: drainLimit,
		RateWindow: rateWindow, RequestsPerWindow: (requestsPerSecond*rateWindow.Seconds()+burst)*(1+rateOvershoot) + rateSlackRequests, RateKey: limitedKey,
		TokensPerEvent: 10, MaxTurnTokens: 100, HostBytes: hostBytes, HostFiles: hostFiles, EventCount: eventCount, Versions: []string{standin.InitialVersion, secondVersion},
	}
	r.store = standin.NewStore()
	defer r.store.Close()
	r.publishKeys()
	defer r.closeLinks()
	defer r.stopUpstreams()
	if err := r.startUpstreams(); err != nil {
		return nil, err
	}
	defer r.closeStoreProxies()
	if err := r.newHosts(); err != nil {
		return nil, err
	}
	defer r.killHosts()
	if err := r.startHosts(ctx); err != nil {
		return nil, err
	}
	if err := r.play(ctx); err != nil {
		return nil, err
	}

	return r.finish()
}

func (r *run) closeStoreProxies() {
	for _, h := range r.hosts {
		h.storeProxy.CloseClientConnections()
		h.storeProxy.Close()
	}
}

// startHosts starts all hosts and waits until each serves callers.
func (r *run) startHosts(ctx context.Context) error {
	for _, h := range r.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	for _, h := range r.hosts {
		if !h.awaitReady(ctx) {
			return fmt.Errorf("%s is not ready %s after its start; see its log in %s", h.name, readyTimeout, r.options.Dir)
		}
	}

	return r.awaitServing(ctx)
}

// play runs the callers beside the faults until each program has settled.
func (r *run) play(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.startedAt = time.Now()
	r.recorder.log("all hosts serve")
	var watchers, callers sync.WaitGroup
	defer watchers.Wait()
	defer cancel()
	watchers.Go(func() { r.watchStalls(ctx) })
	watchers.Go(func() { r.watchUsage(ctx) })
	callersCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	r.startCallers(callersCtx, &callers)
	err := r.injectFaults(ctx)
	r.recorder.mu.Lock()
	r.recorder.history.FaultsEndedAt = time.Now()
	r.recorder.mu.Unlock()
	r.recorder.log("all faults have ended")
	sleep(ctx, quietTime)
	close(r.settling)
	callers.Wait()

	return errors.Join(err, ctx.Err())
}

// finish ends the hosts and checks the history.
func (r *run) finish() (*Result, error) {
	for _, h := range r.hosts {
		if usage, ok := h.usage(); ok {
			r.recorder.addUsage(usage)
		}
	}
	r.killHosts()
	r.recorder.mu.Lock()
	defer r.recorder.mu.Unlock()
	history := &r.recorder.history
	history.Keys = r.keys.all
	for name, u := range r.upstreams {
		for _, executed := range u.ExecutedRequests() {
			history.Executions = append(history.Executions, check.Execution{
				Request: check.RequestID(executed.RequestID()), Upstream: string(name), Body: executed.Body, At: executed.At,
			})
		}
	}
	result := &Result{Plan: r.options.Plan, StartedAt: r.startedAt, History: history, Violations: check.Run(history)}

	return result, writeHistory(filepath.Join(r.options.Dir, "history.log"), result)
}

// killHosts ends all processes that run.
func (r *run) killHosts() {
	for _, h := range r.hosts {
		if p := h.current(); p != nil && !p.hasEnded() {
			p.kill()
		}
	}
}

// watchStalls records the periods in which the machine does not run this process in time.
func (r *run) watchStalls(ctx context.Context) {
	last := time.Now()
	for sleep(ctx, stallTick) {
		now := time.Now()
		if now.Sub(last) > minStall {
			r.recorder.log("the machine stalled for %s", now.Sub(last))
			r.recorder.addStall(last, now)
		}
		last = now
	}
}

// watchUsage samples the resources of the hosts' processes.
func (r *run) watchUsage(ctx context.Context) {
	for sleep(ctx, usageInterval) {
		for _, h := range r.hosts {
			if usage, ok := h.usage(); ok {
				r.recorder.addUsage(usage)
			}
		}
	}
}
