package engine

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"cardamomward/core/id"
	"cardamomward/core/prompt"
	"cardamomward/core/settings"
)

const (
	// loadInterval is how often each engine is asked for its load.
	loadInterval = 500 * time.Millisecond
	// loadTimeout bounds one load report.
	loadTimeout = time.Second
)

// Upstream is one engine as this host sees it.
type Upstream struct {
	Client

	id      id.Upstream
	domain  id.FailureDomain
	service id.Service
	watcher Watcher

	mu       sync.Mutex
	leaving  bool
	reserved bool
	// elsewhere is set while another host has reserved the upstream.
	elsewhere bool
	load      Load
	reported  time.Time
	failed    time.Time
	own       int
	cached    map[prompt.PrefixHash]id.Tokens
	nextSeq   uint64
	// heard is when the engine last reported, or when the settings first named it.
	heard time.Time
}

// ID returns the upstream's name.
func (u *Upstream) ID() id.Upstream { return u.id }

// Run returns the engine process that last reported.
func (u *Upstream) Run() string {
	u.mu.Lock()
	defer u.mu.Unlock()

	return u.load.Run
}

// Begin counts a call of this host at the upstream.
func (u *Upstream) Begin() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.own++
}

// End takes a call of this host off the count.
func (u *Upstream) End() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.own--
}

// Failed notes that the upstream did not serve a call; it is passed over for a moment.
func (u *Upstream) Failed(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.failed = now
}

// Stored notes that the upstream has cached the prefixes of a call that it has answered.
func (u *Upstream) Stored(chain []prompt.PrefixHash, tokens []id.Tokens) {
	events := make([]CacheEvent, len(chain))
	for i, prefix := range chain {
		events[i] = CacheEvent{Kind: EventStored, Prefix: prefix, Tokens: tokens[i]}
	}
	u.mu.Lock()
	u.fold(events)
	u.mu.Unlock()
	u.watcher.CacheChanged(u, events, false)
}

// failedPause is how long an upstream is passed over after a failure.
const failedPause = 500 * time.Millisecond

// Available reports whether the upstream takes new calls.
func (u *Upstream) Available(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.leaving || u.reserved || u.elsewhere || now.Sub(u.failed) < failedPause {
		return false
	}

	return true
}

// deadAfter is how long an engine may fail before calls no longer wait for it.
const deadAfter = 3 * time.Second

// Hopeless reports whether waiting for the upstream has no point: it is leaving, or has only failed for a while.
func (u *Upstream) Hopeless(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()

	return u.leaving || (u.failed.After(u.heard) && now.Sub(u.heard) > deadAfter)
}

// Service returns the service that the upstream belongs to.
func (u *Upstream) Service() id.Service { return u.service }

// Domain returns the upstream's failure domain.
func (u *Upstream) Domain() id.FailureDomain {
	u.mu.Lock()
	defer u.mu.Unlock()

	return u.domain
}

// Watcher hears of what the pool learns; its methods are called without any lock of the pool.
type Watcher interface {
	// Configured names all upstreams of a service.
	Configured(service id.Service, upstreams []*Upstream)
	// Reported tells of a load report that described the upstream at a time; restarted says that it is a new process.
	Reported(u *Upstream, at time.Time, load Load, restarted bool)
	// CacheChanged tells of cache events; gap says that others before them were lost.
	CacheChanged(u *Upstream, events []CacheEvent, gap bool)
}

// Pool keeps the engines that the settings name and polls their load.
type Pool struct {
	// NewHTTP returns a client with connections of its own for one engine; it must have no overall timeout.
	NewHTTP func() *http.Client
	Logger  logr.Logger
	// Changed is called when an engine may have room for more calls.
	Changed func()
	// Watcher must be set.
	Watcher Watcher

	mu        sync.Mutex
	upstreams map[id.Upstream]*Upstream
	services  map[id.Service][]*Upstream
}

// Configure takes over the engines of the settings in force.
func (p *Pool) Configure(fleet *settings.Fleet) {
	for service, upstreams := range p.configure(fleet) {
		p.Watcher.Configured(service, upstreams)
	}
}

// configure returns all services, those that lost their last engine too.
func (p *Pool) configure(fleet *settings.Fleet) map[id.Service][]*Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.upstreams
	services := make(map[id.Service][]*Upstream)
	for service := range p.services {
		services[service] = nil
	}
	p.upstreams = make(map[id.Upstream]*Upstream)
	p.services = make(map[id.Service][]*Upstream)
	for _, service := range fleet.SortedServices() {
		if service.Kind != settings.KindEngine {
			continue
		}
		for _, setting := range service.Upstreams {
			u, ok := known[setting.ID]
			if !ok || u.Address != setting.Address || u.service != service.ID {
				u = &Upstream{
					id: setting.ID, service: service.ID, watcher: p.Watcher,
					Client: Client{Address: setting.Address, Conns: &Conns{New: p.NewHTTP}},
					heard:  time.Now(),
				}
			}
			u.SetProgress(service.ProgressTimeout)
			u.mu.Lock()
			u.domain, u.leaving = setting.FailureDomain, setting.Leaving
			u.mu.Unlock()
			p.upstreams[setting.ID] = u
			p.services[service.ID] = append(p.services[service.ID], u)
		}
	}
	maps.Copy(services, p.services)

	return services
}

// Upstreams returns the engines of a service.
func (p *Pool) Upstreams(service id.Service) []*Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.services[service]
}

// All returns every engine.
func (p *Pool) All() []*Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]*Upstream, 0, len(p.upstreams))
	for _, u := range p.upstreams {
		all = append(all, u)
	}

	return all
}

// Run polls the engines until ctx ends.
func (p *Pool) Run(ctx context.Context) {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		var group sync.WaitGroup
		for _, u := range p.All() {
			group.Go(func() { p.poll(ctx, u) })
		}
		group.Wait()
		p.Changed()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *Pool) poll(ctx context.Context, u *Upstream) {
	load, err := u.freshLoad(ctx)
	now := time.Now()
	if err != nil {
		p.Logger.V(1).Info("load-report-failed", "upstream", u.id, "error", err)
		u.Failed(now)

		return
	}
	u.report(load, now)
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	events, err := u.Events(ctx, u.nextEvent())
	if err == nil {
		u.apply(events)
	}
}

// freshLoad asks for the load, and again on a fresh connection before the engine counts as failed.
func (u *Upstream) freshLoad(ctx context.Context) (Load, error) {
	_, generation := u.Conns.use()
	load, err := u.loadOnce(ctx)
	if err == nil || ctx.Err() != nil {
		return load, err
	}
	u.Conns.renew(generation)

	return u.loadOnce(ctx)
}

func (u *Upstream) loadOnce(ctx context.Context) (Load, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()

	return u.Load(ctx)
}

// Prefill estimates how long the engine computes a prompt of which some tokens are cached.
func (u *Upstream) Prefill(tokens id.Tokens) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.load.PrefillPerSec <= 0 {
		return 0
	}

	return time.Duration(float64(tokens) / u.load.PrefillPerSec * float64(time.Second))
}

func (u *Upstream) report(load Load, now time.Time) {
	at, restarted := u.keepReport(load, now)
	u.watcher.Reported(u, at, load, restarted)
}

func (u *Upstream) keepReport(load Load, now time.Time) (at time.Time, restarted bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	restarted = load.Run != u.load.Run
	if restarted {
		u.cached = nil
		u.nextSeq = 0
	}
	u.load = load
	u.heard = now
	u.reported = now.Add(-time.Duration(load.ReportAgeMilli) * time.Millisecond)

	return u.reported, restarted
}

func (u *Upstream) nextEvent() uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()

	return u.nextSeq
}

// apply takes over cache events; those of another run of the engine are dropped.
func (u *Upstream) apply(events CacheEvents) {
	if gap, ok := u.applyLocked(events); ok {
		u.watcher.CacheChanged(u, events.Events, gap)
	}
}

// applyLocked reports whether events before these are missing, and false where these do not count.
func (u *Upstream) applyLocked(events CacheEvents) (gap, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if events.Run != u.load.Run {
		return false, false
	}
	next := max(1, u.nextSeq)
	for _, event := range events.Events {
		gap = gap || event.Seq > next
		next = event.Seq + 1
	}
	gap = gap || events.Next > next
	u.fold(events.Events)
	u.nextSeq = events.Next

	return gap, true
}

func (u *Upstream) fold(events []CacheEvent) {
	if u.cached == nil {
		u.cached = make(map[prompt.PrefixHash]id.Tokens)
	}
	for _, event := range events {
		switch event.Kind {
		case EventStored:
			u.cached[event.Prefix] = event.Tokens
		case EventRemoved:
			delete(u.cached, event.Prefix)
		}
	}
}

// UpstreamStatus is an engine as this host sees it, for the dump.
type UpstreamStatus struct {
	Upstream id.Upstream      `json:"upstream"`
	Domain   id.FailureDomain `json:"failure-domain"`
	Address  string           `json:"address"`
	Leaving  bool             `json:"leaving"`
	Own      int              `json:"own-calls"`
	Load     Load             `json:"load"`
	Reported time.Time        `json:"reported"`
	Prefixes int              `json:"known-prefixes"`
}

// Status returns the engine as this host sees it.
func (u *Upstream) Status() UpstreamStatus {
	u.mu.Lock()
	defer u.mu.Unlock()

	return UpstreamStatus{
		Upstream: u.id,
		Domain:   u.domain,
		Address:  u.Address,
		Leaving:  u.leaving,
		Own:      u.own,
		Load:     u.load,
		Reported: u.reported,
		Prefixes: len(u.cached),
	}
}
