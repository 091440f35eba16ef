package entry

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/go-logr/logr"

	"cardamomward/core/id"
	"cardamomward/core/registry"
	"cardamomward/core/route"
	"cardamomward/io/catalog"
	"cardamomward/io/gateway"
	"cardamomward/io/httpx"
	"cardamomward/io/upstream"
	"cardamomward/platform"
)

const (
	// sweepInterval is how often idle connections are looked through.
	sweepInterval = time.Second
	// exitMargin is left of the grace period when a host that drains stops.
	exitMargin = time.Second
	// answerUses is how many times its lifetime some callers use an answer of the directory.
	answerUses = 1
	// maxBody bounds a request's body before the configuration's own limit is known, in bytes.
	maxBody = 16 << 20
	// maxHeader bounds a request's head likewise.
	maxHeader = 64 << 10
)

// Host is one entry host.
type Host struct {
	settings *platform.Host
	logger   logr.Logger
	now      func() time.Time

	catalog  *catalog.Catalog
	upstream *upstream.Client
	gateway  *gateway.Gateway
	draining atomic.Bool
	drained  chan struct{}
}

// New builds a host from its settings.
func New(settings *platform.Host, logger logr.Logger, now func() time.Time) *Host {
	h := &Host{settings: settings, logger: logger, now: now, drained: make(chan struct{})}
	store := platform.NewStore(settings.Store.Address)
	h.catalog = &catalog.Catalog{Store: store, Logger: logger, Now: now}
	h.upstream = &upstream.Client{}
	p := &permissive{counts: map[id.Upstream]int{}}
	h.gateway = &gateway.Gateway{
		Catalog: h.catalog, Upstream: h.upstream, Logger: logger, Now: now, Draining: h.draining.Load,
		Rates: p, Turns: p, Crashes: p, Loads: p,
	}

	return h
}

type permissive struct {
	mu     sync.Mutex
	counts map[id.Upstream]int
}

func (p *permissive) Admit(context.Context, *route.Workspace) (bool, time.Duration) { return true, 0 }
func (p *permissive) Begin(context.Context, gateway.Turn) ([]byte, gateway.Verdict) {
	return nil, gateway.Proceed
}
func (p *permissive) End(_ context.Context, t gateway.Turn, _ []byte, tok id.Tokens, out []byte, whole bool) bool {
	return true
}
func (p *permissive) Convicted(id.Fingerprint) bool           { return false }
func (p *permissive) Lost(id.Fingerprint, *registry.Instance) {}
func (p *permissive) Running(u id.Upstream) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts[u]
}
func (p *permissive) Add(u id.Upstream, d int) { p.mu.Lock(); defer p.mu.Unlock(); p.counts[u] += d }

// Run serves until ctx ends or the host has drained.
func (h *Host) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	group.Go(func() { h.catalog.Run(ctx) })
	group.Go(func() { h.sweep(ctx) })
	servers, err := h.listen()
	if err != nil {
		return err
	}
	for _, s := range servers {
		s.Start()
	}
	h.logger.Info("started", "host", h.settings.Name, "callers", h.settings.Callers)
	select {
	case <-ctx.Done():
	case <-h.drained:
	}
	h.logger.Info("stopped", "host", h.settings.Name)
	for _, s := range servers {
		s.Abort()
	}

	return nil
}

func (h *Host) listen() ([]*httpx.Server, error) {
	var servers []*httpx.Server
	var failures []error
	add := func(opts httpx.Options, handler app.HandlerFunc) {
		if opts.Address == "" {
			return
		}
		server, err := httpx.NewServer(opts)
		if err != nil {
			failures = append(failures, err)

			return
		}
		server.NoRoute(handler)
		servers = append(servers, server)
	}
	add(httpx.Options{
		Address: h.settings.Callers, MaxBody: maxBody, MaxHeader: maxHeader, Forwarding: true,
	}, h.gateway.Serve)
	add(httpx.Options{Address: h.settings.Readiness}, h.serveReadiness)
	add(httpx.Options{Address: h.settings.Directory}, h.serveDirectory)
	if len(failures) > 0 {
		for _, s := range servers {
			s.Abort()
		}

		return nil, errors.Join(failures...)
	}

	return servers, nil
}

func (h *Host) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			h.upstream.Sweep(h.now())
		}
	}
}

// Drain takes the host out of the directory, serves on until callers have noticed, and stops.
func (h *Host) Drain(ctx context.Context) {
	if !h.draining.CompareAndSwap(false, true) {
		return
	}
	h.logger.Info("draining", "host", h.settings.Name)
	go func() {
		timer := time.NewTimer(h.settings.Bounds.Grace - exitMargin)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		close(h.drained)
	}()
}

// ready reports whether the host can serve callers.
func (h *Host) ready() bool {
	return !h.draining.Load() && h.catalog.Config() != nil
}
