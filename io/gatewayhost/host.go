package gatewayhost

import (
	"context"
	"errors"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/go-logr/logr"

	"cardamomward/core/gatewaysettings"
	"cardamomward/core/id"
	"cardamomward/core/intake"
	"cardamomward/core/routing"
	"cardamomward/core/streamorigin"
	"cardamomward/core/traffic"
	"cardamomward/io/cluster"
	"cardamomward/io/discovery"
	"cardamomward/io/httpx"
	"cardamomward/io/relay"
	"cardamomward/io/reverseproxy"
	"cardamomward/io/topicconsumer"
	"cardamomward/io/upstreamclient"
	"cardamomward/io/upstreamreport"
	"cardamomward/platform"
)

const (
	// cleanUpInterval is the interval of removals of idle connections and of statistics of unregistered upstreams.
	cleanUpInterval = time.Second
	// stopAcceptingMargin is how long before the end of the grace period a draining host stops accepting requests, and
	// abortMargin how long before it the requests in progress are aborted.
	stopAcceptingMargin = 2500 * time.Millisecond
	abortMargin         = 500 * time.Millisecond
	// idlePollInterval is how often a draining host checks for requests in progress; flushDelay lets the last responses be
	// sent.
	idlePollInterval = 20 * time.Millisecond
	flushDelay       = 50 * time.Millisecond
	// requestReadTimeout is the time limit for a whole request to arrive.
	requestReadTimeout = 30 * time.Second
	// maxBodyBytes limits a request's body before the configured limit applies.
	maxBodyBytes = 16 << 20
	// maxHeaderBytes limits a request's header before the configured limit applies.
	maxHeaderBytes = 64 << 10
)

// Host is the gateway on one host.
type Host struct {
	// MetricsPort is the port of the metrics server; zero means none.
	MetricsPort int
	// OperatorToken is the bearer token of the operator endpoint on the metrics server; empty disables the endpoint.
	OperatorToken string
	// DialUpstream connects to an upstream; nil means a TCP connection.
	DialUpstream upstreamclient.DialFunc

	settings        *platform.HostSettings
	gatewaySettings *gatewaysettings.Settings
	logger          logr.Logger
	now             func() time.Time

	discovery      *discovery.Watcher
	upstreamClient *upstreamclient.Client
	cluster        *cluster.Cluster
	proxy          *reverseproxy.Proxy
	relay          *relay.Server
	intake         *httpx.Intake
	metrics        reverseproxy.Metrics
	traffic        traffic.Counters
	draining       atomic.Bool
	// abortAt is the time at which a draining host aborts the requests in progress; nil while it does not drain.
	abortAt atomic.Pointer[time.Time]
	// weightsConfig is the configuration whose workspaces the weights were last compared with. Only cleanUpLoop uses it.
	weightsConfig   *routing.Config
	drainPeriodOver chan struct{}
}

// New returns a host with the given settings; Run starts it.
func New(settings *platform.HostSettings, logger logr.Logger, now func() time.Time) *Host {
	h := &Host{settings: settings, gatewaySettings: &gatewaysettings.Settings{}, logger: logger, now: now, drainPeriodOver: make(chan struct{})}
	store := platform.NewStore(settings.Store.Address)
	h.discovery = &discovery.Watcher{Store: store, Logger: logger, Now: now, HasEvacuations: settings.Bounds.Evacuation > 0, ConfigurationApply: settings.Bounds.ConfigurationApply}
	h.upstreamClient = &upstreamclient.Client{Logger: logger, Now: now}
	h.cluster = cluster.New(cluster.Options{
		Settings: settings, Store: store, Logger: logger, Now: now, Traffic: &h.traffic,
		LastStoreResponse: h.discovery.LastStoreResponse, RecordStoreResponse: h.discovery.RecordStoreResponse,
		ConfirmOrigin:              func(origin streamorigin.Origin) bool { return h.discovery.ConfirmOrigin(origin, time.Time{}) },
		HasConfig:                  func() bool { return h.discovery.Config() != nil },
		IsPartitionedFromUpstreams: h.upstreamClient.IsPartitioned,
		UpstreamErrors:             func() map[id.Upstream]float64 { return h.proxy.UpstreamErrors() },
	})
	connLimits := h.connLimits()
	h.intake = httpx.NewIntake(intake.Bytes(settings.MemoryBytes), now)
	h.cluster.Intake, h.cluster.MaxCallConns = h.intake, connLimits.Peers
	h.discovery.ColdStarts = h.cluster
	h.upstreamClient.Relays, h.upstreamClient.CounterFor = h.cluster, h.upstreamTraffic
	h.relay = &relay.Server{
		Dial: h.upstreamClient.DialDirectly, IsAvailable: h.canRelay, DomainOfAddress: h.discovery.DomainOfAddress,
		IsEvacuated: h.discovery.IsEvacuated, MaxConns: connLimits.Relayed, MaxUnaccepted: connLimits.Relay, Logger: logger,
		PeerCounter: h.relayedPeerTraffic, UpstreamCounter: h.relayedUpstreamTraffic,
	}
	h.discovery.ScalePause = h.scaleUpstreamReadPause
	h.proxy = &reverseproxy.Proxy{
		Discovery: h.discovery, UpstreamClient: h.upstreamClient, Logger: logger, Now: now, ShouldCloseConnections: h.shouldCloseConnections, ResponsesEndAt: h.responsesEndAt, Metrics: &h.metrics,
		RateLimiter: h.cluster, Turns: h.cluster, Crashes: h.cluster, Streams: h.cluster, Loads: h.cluster, Limits: h.cluster,
		Reports:   &upstreamreport.Reader{Client: h.upstreamClient, Now: now},
		Shutdowns: h.cluster, FailureDomain: settings.FailureDomain, Work: h.cluster,
		ResponseMemory: newMemoryBudget(h, responseBytes(settings.MemoryBytes)),
	}

	return h
}

// Configure sets the settings of the gateway's optional parts; it must be called before Run.
func (h *Host) Configure(settings *gatewaysettings.Settings) {
	h.gatewaySettings = settings
	h.proxy.FailureDomainCost, h.proxy.LearnsCosts = settings.Placement.FailureDomainCost, settings.Placement.LearnedCost
	if settings.Placement.LearnedCost {
		h.cluster.EnableWork()
	}
	if settings.Overload.Enabled {
		h.proxy.Overload = &reverseproxy.OverloadAdmission{Loads: h.cluster, Weights: settings.Overload.Weights}
		h.cluster.ReportWorkspaceLoads()
	}
	if limit := int64(settings.Memory.BudgetShare * float64(h.settings.MemoryBytes)); limit > 0 {
		h.useMemoryBudget(limit)
	}
}

// Run serves until ctx ends, the host has drained or the host's part in the cluster fails; it returns an error if a server
// cannot listen.
func (h *Host) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.upstreamClient.Dial = h.DialUpstream
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer cancel()
	tasks.Go(func() { h.discovery.Run(ctx) })
	clusterResult := make(chan error, 1)
	tasks.Go(func() { clusterResult <- h.cluster.Run(ctx) })
	servers, err := h.listen()
	if err != nil {
		return err
	}
	relayListener, err := net.Listen("tcp4", h.cluster.RelayAddress())
	if err != nil {
		for _, s := range servers {
			s.Abort()
		}

		return err
	}
	tasks.Go(func() { h.relay.Serve(ctx, relayListener) })
	ended := make(chan error, len(servers))
	for _, s := range servers {
		s.Start()
		tasks.Go(func() { ended <- s.AwaitEnd(ctx) })
	}
	tasks.Go(func() { h.cleanUpLoop(ctx, servers) })
	h.logger.Info("started", "host", h.settings.Name, "callers", h.settings.CallerAddress)
	select {
	case <-ctx.Done():
	case <-h.drainPeriodOver:
		h.finishRequests(ctx, servers)
		h.cluster.Withdraw(ctx)
	case err = <-clusterResult:
	case err = <-ended:
	}
	h.logger.Info("stopped", "host", h.settings.Name)
	for _, s := range servers {
		s.Abort()
	}

	return err
}

// listen opens the servers, or none of them if one fails.
func (h *Host) listen() ([]*httpx.Server, error) {
	var servers []*httpx.Server
	var failures []error
	limits := h.connLimits()
	addServer := func(opts httpx.Options, handler app.HandlerFunc) {
		if opts.Address == "" {
			return
		}
		opts.Intake, opts.Logger = h.intake, h.logger
		server, err := httpx.NewServer(opts)
		if err != nil {
			failures = append(failures, err)

			return
		}
		server.NoRoute(handler)
		servers = append(servers, server)
	}
	addServer(httpx.Options{
		Address: h.settings.CallerAddress, RequestLimits: h.requestLimits, MaxConns: limits.Callers, Forwarding: true,
		Memory: h.proxy.ResponseMemory, ResponsesOnly: h.proxy.Memory == nil,
		// Callers do not tell their failure domain in requests.
		Traffic:       h.traffic.Get(traffic.Caller, traffic.Unknown),
		RefusalHeader: platform.RefusalHeader,
	}, h.proxy.HandleRequest)
	addServer(httpx.Options{Address: h.settings.ReadinessAddress, MaxConns: limits.Readiness}, h.serveReadiness)
	addServer(httpx.Options{Address: h.settings.ResolveAddress, MaxConns: limits.Directory}, h.serveDirectory)
	if h.MetricsPort > 0 {
		addServer(httpx.Options{
			Address: net.JoinHostPort(h.settings.IP, strconv.Itoa(h.MetricsPort)), MaxBodyBytes: maxOperatorBodyBytes, MaxConns: limits.Metrics,
		}, h.serveOperator)
	}
	if len(failures) > 0 {
		for _, s := range servers {
			s.Abort()
		}

		return nil, errors.Join(failures...)
	}

	return servers, nil
}

func (h *Host) cleanUpLoop(ctx context.Context, servers []*httpx.Server) {
	ticker := time.NewTicker(cleanUpInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			h.upstreamClient.CloseExpired(h.now())
			h.proxy.RemoveUnlistedStats()
			h.cluster.RemoveUnlistedLimits(h.isUpstreamListed)
			h.cluster.RemoveUnlistedLeaving(h.discovery.GetUpstream)
			h.logUnknownWeights()
			for _, s := range servers {
				if closed := s.CloseStalledRequests(h.now().Add(-requestReadTimeout), h.proxy.HasActiveRequest); closed > 0 {
					h.logger.Info("requests-stalled", "address", s.Address(), "connections", closed)
				}
			}
		}
	}
}

// drainTimeoutShare is the part of an upstream's drain timeout that may pass before this host reads that it is draining.
const drainTimeoutShare = 1.0 / 3

// scaleUpstreamReadPause lengthens the pause between reads of upstream registrations with the number of hosts.
func (h *Host) scaleUpstreamReadPause(pause time.Duration) time.Duration {
	scaled := h.cluster.ScaleInterval(pause)
	if limit := time.Duration(drainTimeoutShare * float64(h.settings.Bounds.DrainTimeout)); limit > pause {
		scaled = min(scaled, limit)
	}

	return scaled
}

func (h *Host) isUpstreamListed(upstream id.Upstream) bool {
	_, listed := h.discovery.GetUpstream(upstream)

	return listed
}

// Drain removes the host from the directory and stops it at the end of the grace period, so that callers have time to
// connect to other hosts.
func (h *Host) Drain(ctx context.Context) {
	if !h.draining.CompareAndSwap(false, true) {
		return
	}
	abortAt := h.now().Add(h.settings.Bounds.GracePeriod - abortMargin)
	h.abortAt.Store(&abortAt)
	h.logger.Info("draining", "host", h.settings.Name)
	go h.cluster.Leave(ctx)
	go func() {
		timer := time.NewTimer(h.settings.Bounds.GracePeriod - stopAcceptingMargin)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		close(h.drainPeriodOver)
	}()
}

// finishRequests stops accepting requests and waits for those in progress, and for other hosts to have the turns that are not
// durable, up to abortMargin before the grace period ends.
func (h *Host) finishRequests(ctx context.Context, servers []*httpx.Server) {
	for _, s := range servers {
		s.StopAccepting()
	}
	isDone := func() bool {
		return !slices.ContainsFunc(servers, (*httpx.Server).HasRequests) && h.relay.ConnCount() == 0 && h.cluster.CountTurnsToHandOver() == 0
	}
	for h.now().Before(*h.abortAt.Load()) && !isDone() {
		topicconsumer.SleepContext(ctx, idlePollInterval)
	}
	if turns := h.cluster.CountTurnsToHandOver(); turns > 0 {
		h.logger.Info("turns-not-handed-over", "turns", turns)
	}
	topicconsumer.SleepContext(ctx, flushDelay)
}

// responsesEndAt returns when this host aborts the requests in progress, and false while it does not drain.
func (h *Host) responsesEndAt() (time.Time, bool) {
	abortAt := h.abortAt.Load()
	if abortAt == nil {
		return time.Time{}, false
	}

	return *abortAt, true
}

// shouldCloseConnections reports whether callers should reconnect to another host.
func (h *Host) shouldCloseConnections() bool {
	return h.draining.Load() || h.cluster.IsIsolated(h.now())
}

// canRelay reports whether this host relays connections of other hosts to upstreams.
func (h *Host) canRelay() bool {
	return !h.draining.Load() && !h.upstreamClient.IsPartitioned()
}

// isReady reports whether the host can serve callers.
func (h *Host) isReady() bool {
	return !h.draining.Load() && h.discovery.Config() != nil
}
