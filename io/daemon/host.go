package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/panjf2000/ants/v2"

	"cardamomward/core/id"
	"cardamomward/core/projection"
	"cardamomward/core/settings"
	"cardamomward/core/slotassignment"
	"cardamomward/io/caller"
	"cardamomward/io/engineclient"
	"cardamomward/io/executor"
	"cardamomward/io/globalratelimit"
	"cardamomward/io/httpx"
	"cardamomward/io/operator"
	"cardamomward/io/peer"
	"cardamomward/io/platform"
)

const (
	// dialTimeout bounds the connection to a peer, upstream or platform service.
	dialTimeout = time.Second
	// maxIdlePerHost bounds the idle connections to each address.
	maxIdlePerHost = 64
	// goneInterval is how often the host looks for callers that have gone.
	goneInterval = 250 * time.Millisecond
	// announceInterval is how often the host tells the platform that it is there.
	announceInterval = 2 * time.Second
)

// Host is one entry host of the system.
type Host struct {
	config   Config
	logger   logr.Logger
	control  *platform.Control
	programs *platform.Journal[*projection.Programs]
	members  *peer.Members
	hosts    *platform.HostsClient
	owner    *executor.Executor
	engines  *engineclient.Pool
	callers  *caller.Server
	limits   *globalratelimit.Limiter
	pools    *globalratelimit.BucketOwner
	relay    *platform.Relay
	dial     DialFunc
	decider  slotassignment.Planner
	pool     *ants.Pool

	callerWeb   *httpx.Server
	operatorWeb *httpx.Server
	peerWeb     *httpx.Server

	leaving atomic.Bool
	drained chan struct{}
	once    sync.Once
}

// DialFunc dials an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Options are what a host needs of the world.
type Options struct {
	Logger logr.Logger
	// Dial connects to peers, upstreams and the platform; nil stands for a plain dialer.
	Dial DialFunc
}

// New binds the host's addresses and puts its parts together; Run starts it.
func New(config Config, opts Options) (*Host, error) {
	config = config.withDefaults()
	h := &Host{
		config:  config,
		logger:  opts.Logger.WithValues("host", config.Host),
		dial:    opts.Dial,
		drained: make(chan struct{}),
	}
	if h.dial == nil {
		h.dial = (&net.Dialer{}).DialContext
	}
	if err := h.bind(); err != nil {
		return nil, err
	}
	pool, err := ants.NewPool(config.MaxCalls, ants.WithNonblocking(true))
	if err != nil {
		return nil, err
	}
	h.pool = pool
	h.wire()
	h.register()

	return h, nil
}

func (h *Host) bind() error {
	var errsFound []error
	open := func(address string, maxBody int) *httpx.Server {
		web, err := httpx.NewServer(httpx.Options{Address: address, MaxBodyBytes: maxBody, DrainTimeout: h.config.DrainTimeout})
		errsFound = append(errsFound, err)

		return web
	}
	// A body somewhat above the bound is read, so that its refusal has the documented shape.
	h.callerWeb = open(h.config.CallerAddress, readableBodies*h.config.MaxBodyBytes)
	h.operatorWeb = open(h.config.OperatorAddress, maxOperatorBody)
	h.peerWeb = open(h.config.PeerAddress, maxPeerBody)

	return errors.Join(errsFound...)
}

// maxOperatorBody bounds an operator's request in bytes, which may carry a whole settings document.
const maxOperatorBody = settings.MaxDocumentBytes + 1<<20

// readableBodies is how many times the bound a caller's body may have before its connection is closed.
const readableBodies = 4

// maxPeerBody bounds a request between hosts in bytes.
const maxPeerBody = 32 << 20

func (h *Host) newHTTP(keepAlive bool) *http.Client {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()

		return h.dial(ctx, network, address)
	}

	return &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdlePerHost,
		DisableKeepAlives:   !keepAlive,
		DisableCompression:  true,
	}}
}

// liveHosts returns how many hosts send calls to the same upstreams.
func (h *Host) liveHosts() int { return len(h.members.Live(time.Now())) + 1 }

func (h *Host) wire() {
	shared := h.newHTTP(true)
	log := &platform.LogClient{Address: h.config.LogAddress, Client: h.newHTTP(true)}
	h.hosts = &platform.HostsClient{Address: h.config.HostsAddress, Client: shared}
	h.relay = &platform.Relay{Log: log, Peers: h.readFromPeers}
	options := platform.JournalOptions{
		Log: h.relay, Linger: h.config.AppendLinger, Spacing: h.appendSpacing, Logger: h.logger,
	}
	options.Stream = platform.ControlStream
	h.control = &platform.Control{Journal: platform.NewJournal(&projection.Control{}, options), Host: h.config.Host}
	options.Log, options.Stream = log, platform.ProgramsStream
	h.programs = platform.NewJournal(&projection.Programs{}, options)
	h.members = &peer.Members{Self: h.heartbeat, Hosts: h.hosts, HTTP: shared, Logger: h.logger}
	h.engines = &engineclient.Pool{NewHTTPClient: func() *http.Client { return h.newHTTP(true) }, Logger: h.logger}
	dispatcher := &executor.Dispatcher{Pool: h.engines, FailureDomain: h.config.FailureDomain, HostCount: h.liveHosts}
	h.engines.OnCapacityChange, h.engines.Observer = dispatcher.DispatchAll, dispatcher
	h.owner = &executor.Executor{
		Host:              h.config.Host,
		Incarnation:       id.Incarnation(id.NewRandom()),
		Journal:           h.programs,
		Control:           h.control,
		Dispatcher:        dispatcher,
		WorkerPool:        h.pool,
		ServiceHTTPClient: h.newHTTP(false),
		Logger:            h.logger,
	}
	h.limits = &globalratelimit.Limiter{MaxHosts: h.config.MaxHosts, RequestGrant: h.askGrant}
	h.pools = &globalratelimit.BucketOwner{MaxHosts: h.config.MaxHosts}
	h.callers = &caller.Server{Control: h.control, Locator: h, Limiter: h.limits, Logger: h.logger, MaxBodyBytes: h.config.MaxBodyBytes}
}

// fleetAppends is how many appends a second all hosts together aim at, for each stream.
const fleetAppends = 250

// appendSpacing is this host's part of the fleet's appends.
func (h *Host) appendSpacing() time.Duration {
	return time.Duration(len(h.members.Live(time.Now()))+1) * time.Second / fleetAppends
}

func (h *Host) register() {
	h.callers.Register(h.callerWeb)
	(&operator.Server{Control: h.control, Programs: h.programs, Locator: h, Self: h}).Register(h.operatorWeb)
	peer.Register(h.peerWeb, h.owner, h)
}

// Entry returns the host as the platform's list shows it.
func (h *Host) Entry() platform.HostEntry {
	return platform.HostEntry{
		Host:          h.config.Host,
		FailureDomain: h.config.FailureDomain,
		Caller:        h.callerWeb.Address(),
		Operator:      h.operatorWeb.Address(),
		Peer:          h.peerWeb.Address(),
		Leaving:       h.leaving.Load(),
	}
}

// Run serves until ctx ends or the host has been drained.
func (h *Host) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer h.pool.Release()
	h.peerWeb.Start()
	h.operatorWeb.Start()
	h.callerWeb.Start()
	h.logger.Info("host-started", "caller-address", h.callerWeb.Address(),
		"operator-address", h.operatorWeb.Address(), "peer-address", h.peerWeb.Address())

	var group sync.WaitGroup
	for _, loop := range []func(context.Context){
		h.control.Journal.Run, h.programs.Run, h.members.Run, h.engines.Run,
		h.owner.WatchReservations, h.owner.RunProgramExpiry, h.owner.RunEngineGC,
		h.announceLoop, h.settingsLoop, h.slotLoop, h.goneLoop, h.snapshotLoop,
	} {
		group.Go(func() { loop(ctx) })
	}
	select {
	case <-ctx.Done():
		h.abort()
	case <-h.drained:
		h.close()
	}
	cancel()
	group.Wait()
	h.logger.Info("host-stopped")

	return nil
}

// closeTimeout bounds the closing of the listeners once the host is drained.
const closeTimeout = 2 * time.Second

// close ends the servers once the host is drained; only idle connections are left then.
func (h *Host) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, web := range h.servers() {
		group.Go(func() {
			if err := web.Close(ctx); err != nil {
				h.logger.V(1).Info("close-failed", "error", err)
			}
		})
	}
	group.Wait()
}

// abort ends the servers with all requests under way.
func (h *Host) abort() {
	for _, web := range h.servers() {
		web.Abort()
	}
}

func (h *Host) servers() []*httpx.Server {
	return []*httpx.Server{h.callerWeb, h.peerWeb, h.operatorWeb}
}

func (h *Host) announceLoop(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		h.announce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (h *Host) announce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if err := h.hosts.Announce(ctx, h.Entry()); err != nil {
		h.logger.V(1).Info("announce-failed", "error", err)
	}
}

// goneLoop cancels the requests of callers that have gone.
func (h *Host) goneLoop(ctx context.Context) {
	ticker := time.NewTicker(goneInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			h.callers.CancelDisconnected(h.callerWeb.IsClosedByPeer)
		}
	}
}

// settingsLoop takes over settings and withdrawn keys as the control stream brings them.
func (h *Host) settingsLoop(ctx context.Context) {
	var applied id.Position
	for {
		changed := h.control.Journal.Changed()
		if fleet, version := h.control.Fleet(); version > applied {
			applied = version
			h.engines.Configure(fleet)
			h.logger.Info("settings-in-force", "version", version)
		}
		h.callers.CancelWithdrawnKeys()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}
