package engineclient

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
	// loadPollInterval is the pause between two load reports of an engine.
	loadPollInterval = 500 * time.Millisecond
	// loadTimeout bounds one request for a load report or cache events.
	loadTimeout = time.Second
)

// Upstream is one engine with this host's view of its state.
type Upstream struct {
	Client

	id            id.Upstream
	failureDomain id.FailureDomain
	service       id.Service
	observer      Observer

	mu       sync.Mutex
	leaving  bool
	reserved bool
	// reservedElsewhere is set while another host has the upstream reserved.
	reservedElsewhere bool
	lastLoad          LoadReport
	loadMeasuredAt    time.Time
	lastFailureAt     time.Time
	ownCalls          int
	cachedPrefixes    map[prompt.PrefixHash]id.Tokens
	nextEventSeq      uint64
	// lastReportAt is the time at which the last load report was received, or the upstream created.
	lastReportAt time.Time
}

// ID returns the upstream's id.
func (u *Upstream) ID() id.Upstream { return u.id }

// EngineRun returns the id of the engine process that sent the last load report.
func (u *Upstream) EngineRun() string {
	u.mu.Lock()
	defer u.mu.Unlock()

	return u.lastLoad.EngineRun
}

// StartCall counts a running call of this host at the upstream.
func (u *Upstream) StartCall() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ownCalls++
}

// FinishCall removes a running call of this host from the count.
func (u *Upstream) FinishCall() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ownCalls--
}

// RecordFailure records that the upstream failed to serve a call; it gets no new calls until the failure
// backoff has passed.
func (u *Upstream) RecordFailure(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lastFailureAt = now
}

// RecordCachedPrefixes records that the upstream has cached the prefixes of a call that it has answered.
func (u *Upstream) RecordCachedPrefixes(prefixes []prompt.PrefixHash, tokens []id.Tokens) {
	events := make([]CacheEvent, len(prefixes))
	for i, prefix := range prefixes {
		events[i] = CacheEvent{Kind: EventStored, Prefix: prefix, Tokens: tokens[i]}
	}
	u.mu.Lock()
	u.updateCachedPrefixes(events)
	u.mu.Unlock()
	u.observer.CacheChanged(u, events, false)
}

// failureBackoff is the pause in new calls to an upstream after a failure.
const failureBackoff = 500 * time.Millisecond

// Available reports whether the upstream takes new calls: it is neither leaving, nor reserved, nor in backoff.
func (u *Upstream) Available(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.leaving || u.reserved || u.reservedElsewhere || now.Sub(u.lastFailureAt) < failureBackoff {
		return false
	}

	return true
}

// downAfter is the duration of an engine's failures after which calls stop waiting for it.
const downAfter = 3 * time.Second

// IsLeavingOrDown reports whether calls should not wait for the upstream: it is leaving, or it has failed and has sent no
// load report for some seconds.
func (u *Upstream) IsLeavingOrDown(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()

	return u.leaving || (u.lastFailureAt.After(u.lastReportAt) && now.Sub(u.lastReportAt) > downAfter)
}

// Service returns the service that the upstream belongs to.
func (u *Upstream) Service() id.Service { return u.service }

// FailureDomain returns the upstream's failure domain.
func (u *Upstream) FailureDomain() id.FailureDomain {
	u.mu.Lock()
	defer u.mu.Unlock()

	return u.failureDomain
}

// Observer is notified of state changes of the pool; its methods are called without holding a lock of the pool.
type Observer interface {
	// UpstreamsConfigured is called with all upstreams of a service; the list is empty after its last one was removed.
	UpstreamsConfigured(service id.Service, upstreams []*Upstream)
	// LoadReported is called for each load report, with the time at which the load was measured; restarted means that
	// the engine's process has changed.
	LoadReported(u *Upstream, at time.Time, load LoadReport, restarted bool)
	// CacheChanged is called with new cache events; gap means that earlier events were lost.
	CacheChanged(u *Upstream, events []CacheEvent, gap bool)
}

// Pool holds the engines of the settings in force and polls their load reports and cache events.
type Pool struct {
	// NewHTTPClient returns an HTTP client with its own connections for one engine; it must have no overall timeout.
	NewHTTPClient func() *http.Client
	Logger        logr.Logger
	// OnCapacityChange is called when an engine may have capacity for more calls.
	OnCapacityChange func()
	// Observer must be set.
	Observer Observer

	mu        sync.Mutex
	upstreams map[id.Upstream]*Upstream
	services  map[id.Service][]*Upstream
}

// Configure replaces the engines by those of the settings in force; unchanged engines keep their state.
func (p *Pool) Configure(fleet *settings.Fleet) {
	for service, upstreams := range p.replaceUpstreams(fleet) {
		p.Observer.UpstreamsConfigured(service, upstreams)
	}
}

// replaceUpstreams returns the upstreams of all services, including services that lost their last engine.
func (p *Pool) replaceUpstreams(fleet *settings.Fleet) map[id.Service][]*Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	previous := p.upstreams
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
			u, ok := previous[setting.ID]
			if !ok || u.Address != setting.Address || u.service != service.ID {
				u = &Upstream{
					id: setting.ID, service: service.ID, observer: p.Observer,
					Client:       Client{Address: setting.Address, ConnPool: &ConnPool{NewClient: p.NewHTTPClient}},
					lastReportAt: time.Now(),
				}
			}
			u.SetProgressTimeout(service.ProgressTimeout)
			u.mu.Lock()
			u.failureDomain, u.leaving = setting.FailureDomain, setting.Leaving
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

// Run polls the load reports and cache events of all engines at a fixed interval until ctx is done.
func (p *Pool) Run(ctx context.Context) {
	ticker := time.NewTicker(loadPollInterval)
	defer ticker.Stop()
	for {
		var group sync.WaitGroup
		for _, u := range p.All() {
			group.Go(func() { p.pollUpstream(ctx, u) })
		}
		group.Wait()
		p.OnCapacityChange()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *Pool) pollUpstream(ctx context.Context, u *Upstream) {
	load, err := u.fetchLoadWithRetry(ctx)
	now := time.Now()
	if err != nil {
		p.Logger.V(1).Info("load-report-failed", "upstream", u.id, "error", err)
		u.RecordFailure(now)

		return
	}
	u.handleLoadReport(load, now)
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	events, err := u.FetchCacheEvents(ctx, u.nextSeqToFetch())
	if err == nil {
		u.applyCacheEvents(events)
	}
}

// fetchLoadWithRetry fetches the load report and, on failure, retries once on a new connection.
func (u *Upstream) fetchLoadWithRetry(ctx context.Context) (LoadReport, error) {
	_, generation := u.ConnPool.clientWithGeneration()
	load, err := u.fetchLoadOnce(ctx)
	if err == nil || ctx.Err() != nil {
		return load, err
	}
	u.ConnPool.replaceGeneration(generation)

	return u.fetchLoadOnce(ctx)
}

func (u *Upstream) fetchLoadOnce(ctx context.Context) (LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()

	return u.FetchLoad(ctx)
}

// EstimatePrefill returns the estimated prefill duration of a number of prompt tokens, or zero if the engine reports no
// prefill rate.
func (u *Upstream) EstimatePrefill(tokens id.Tokens) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.lastLoad.PrefillTokensPerSecond <= 0 {
		return 0
	}

	return time.Duration(float64(tokens) / u.lastLoad.PrefillTokensPerSecond * float64(time.Second))
}

func (u *Upstream) handleLoadReport(load LoadReport, now time.Time) {
	at, restarted := u.storeLoadReport(load, now)
	u.observer.LoadReported(u, at, load, restarted)
}

func (u *Upstream) storeLoadReport(load LoadReport, now time.Time) (at time.Time, restarted bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	restarted = load.EngineRun != u.lastLoad.EngineRun
	if restarted {
		u.cachedPrefixes = nil
		u.nextEventSeq = 0
	}
	u.lastLoad = load
	u.lastReportAt = now
	u.loadMeasuredAt = now.Add(-time.Duration(load.ReportAgeMillis) * time.Millisecond)

	return u.loadMeasuredAt, restarted
}

func (u *Upstream) nextSeqToFetch() uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()

	return u.nextEventSeq
}

// applyCacheEvents applies cache events; events of another engine process are dropped.
func (u *Upstream) applyCacheEvents(events CacheEvents) {
	if gap, ok := u.storeCacheEvents(events); ok {
		u.observer.CacheChanged(u, events.Events, gap)
	}
}

// storeCacheEvents reports whether earlier events are missing; ok is false if the events are of another engine process.
func (u *Upstream) storeCacheEvents(events CacheEvents) (gap, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if events.EngineRun != u.lastLoad.EngineRun {
		return false, false
	}
	next := max(1, u.nextEventSeq)
	for _, event := range events.Events {
		gap = gap || event.Seq > next
		next = event.Seq + 1
	}
	gap = gap || events.NextSeq > next
	u.updateCachedPrefixes(events.Events)
	u.nextEventSeq = events.NextSeq

	return gap, true
}

func (u *Upstream) updateCachedPrefixes(events []CacheEvent) {
	if u.cachedPrefixes == nil {
		u.cachedPrefixes = make(map[prompt.PrefixHash]id.Tokens)
	}
	for _, event := range events {
		switch event.Kind {
		case EventStored:
			u.cachedPrefixes[event.Prefix] = event.Tokens
		case EventRemoved:
			delete(u.cachedPrefixes, event.Prefix)
		}
	}
}

// UpstreamStatus is this host's view of an engine, for the operator's dump.
type UpstreamStatus struct {
	Upstream       id.Upstream      `json:"upstream"`
	FailureDomain  id.FailureDomain `json:"failure-domain"`
	Address        string           `json:"address"`
	Leaving        bool             `json:"leaving"`
	OwnCalls       int              `json:"own-calls"`
	Load           LoadReport       `json:"load"`
	LoadMeasuredAt time.Time        `json:"reported"`
	KnownPrefixes  int              `json:"known-prefixes"`
}

// Status returns this host's view of the engine.
func (u *Upstream) Status() UpstreamStatus {
	u.mu.Lock()
	defer u.mu.Unlock()

	return UpstreamStatus{
		Upstream:       u.id,
		FailureDomain:  u.failureDomain,
		Address:        u.Address,
		Leaving:        u.leaving,
		OwnCalls:       u.ownCalls,
		Load:           u.lastLoad,
		LoadMeasuredAt: u.loadMeasuredAt,
		KnownPrefixes:  len(u.cachedPrefixes),
	}
}
