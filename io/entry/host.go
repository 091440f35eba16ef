package entry

import (
	"context"
	"errors"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/go-logr/logr"

	"cardamomward/io/catalog"
	"cardamomward/io/fleet"
	"cardamomward/io/follow"
	"cardamomward/io/gateway"
	"cardamomward/io/httpx"
	"cardamomward/io/upstreamclient"
	"cardamomward/platform"
)

const (
	// sweepInterval is how often idle connections are looked through.
	sweepInterval = time.Second
	// closeMargin is left of the grace period when a host that drains takes no more requests, and exitMargin when it
	// gives up those that still run.
	closeMargin = 2500 * time.Millisecond
	exitMargin  = 500 * time.Millisecond
	// idlePoll is how often it is looked whether requests still run, and flushTime lets the last answers leave.
	idlePoll  = 20 * time.Millisecond
	flushTime = 50 * time.Millisecond
	// maxBody bounds a request's body before the configuration's own limit is known, in bytes.
	maxBody = 16 << 20
	// maxHeader bounds a request's head likewise.
	maxHeader = 64 << 10
)

// Host is one entry host.
type Host struct {
	// MetricsPort is where the host serves its metrics; zero means nowhere.
	MetricsPort int

	settings *platform.Host
	logger   logr.Logger
	now      func() time.Time

	catalog  *catalog.Catalog
	upstream *upstreamclient.Client
	fleet    *fleet.Fleet
	gateway  *gateway.Gateway
	metrics  gateway.Metrics
	draining atomic.Bool
	drained  chan struct{}
}

// New builds a host from its settings.
func New(settings *platform.Host, logger logr.Logger, now func() time.Time) *Host {
	h := &Host{settings: settings, logger: logger, now: now, drained: make(chan struct{})}
	store := platform.NewStore(settings.Store.Address)
	h.catalog = &catalog.Catalog{Store: store, Logger: logger, Now: now}
	h.upstream = &upstreamclient.Client{}
	h.fleet = fleet.New(fleet.Options{
		Settings: settings, Store: store, Logger: logger, Now: now,
		StoreAnswered: h.catalog.Answered, NoteAnswer: h.catalog.NoteAnswer,
		Configured: func() bool { return h.catalog.Config() != nil },
	})
	h.catalog.Stretch = h.fleet.Scaled
	h.gateway = &gateway.Gateway{
		Catalog: h.catalog, Upstream: h.upstream, Logger: logger, Now: now, Elsewhere: h.elsewhere, Metrics: &h.metrics,
		Rates: h.fleet, Turns: h.fleet, Crashes: h.fleet, Loads: h.fleet,
	}

	return h
}

// Run serves until ctx ends or the host has drained.
func (h *Host) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	group.Go(func() { h.catalog.Run(ctx) })
	group.Go(func() { h.sweep(ctx) })
	failed := make(chan error, 1)
	group.Go(func() { failed <- h.fleet.Run(ctx) })
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
		h.finish(ctx, servers)
	case err = <-failed:
	}
	h.logger.Info("stopped", "host", h.settings.Name)
	for _, s := range servers {
		s.Abort()
	}

	return err
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
		Address: h.settings.Callers, MaxBodyBytes: maxBody, MaxHeaderBytes: maxHeader, Forwarding: true,
	}, h.gateway.Serve)
	add(httpx.Options{Address: h.settings.Readiness}, h.serveReadiness)
	add(httpx.Options{Address: h.settings.Directory}, h.serveDirectory)
	if h.MetricsPort > 0 {
		add(httpx.Options{Address: net.JoinHostPort(h.settings.IP, strconv.Itoa(h.MetricsPort))}, h.serveMetrics)
	}
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
			h.upstream.CloseExpired(h.now())
			h.gateway.Sweep()
		}
	}
}

// Drain takes the host out of the directory, serves on until callers have noticed, and stops.
func (h *Host) Drain(ctx context.Context) {
	if !h.draining.CompareAndSwap(false, true) {
		return
	}
	h.logger.Info("draining", "host", h.settings.Name)
	go h.fleet.Leave(ctx)
	go func() {
		timer := time.NewTimer(h.settings.Bounds.Grace - closeMargin)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		close(h.drained)
	}()
}

// finish takes no more requests and waits for those that run.
func (h *Host) finish(ctx context.Context, servers []*httpx.Server) {
	for _, s := range servers {
		s.StopAccepting(h.gateway.Busy)
	}
	for until := h.now().Add(closeMargin - exitMargin); h.now().Before(until) && !h.gateway.Idle(); {
		follow.Sleep(ctx, idlePoll)
	}
	follow.Sleep(ctx, flushTime)
}

// elsewhere reports whether callers should go to other hosts.
func (h *Host) elsewhere() bool { return h.draining.Load() || h.fleet.CutOff(h.now()) }

// ready reports whether the host can serve callers.
func (h *Host) ready() bool {
	return !h.draining.Load() && h.catalog.Config() != nil
}
