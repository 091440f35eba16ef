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
	"cardamomward/io/engine"
	"cardamomward/io/httpx"
	"cardamomward/io/limiter"
	"cardamomward/io/operatorapi"
	"cardamomward/io/owner"
	"cardamomward/io/peer"
	"cardamomward/io/platformclient"
)

const (
	// dialTimeout bounds the connection to a peer, upstream or platform service.
	dialTimeout = time.Second
	// maxIdlePerHost bounds the idle connections to each address.
	maxIdleConnsPerAddress = 64
	// goneInterval is how often the host looks for callers that have gone.
	disconnectCheckInterval = 250 * time.Millisecond
	// announceInterval is how often the host tells the platform that it is there.
	announceInterval = 2 * time.Second
)

// Host is one entry host of the system.
type Host struct {
	config      Config
	logger      logr.Logger
	control     *platformclient.ControlPlane
	programs    *platformclient.Journal[*projection.Programs]
	membership  *peer.Membership
	hostList    *platformclient.HostListClient
	owner       *owner.Owner
	enginePool  *engine.Pool
	callerAPI   *caller.Server
	rateLimiter *limiter.Limiter
	bucketOwner *limiter.Pools
	controlLog  *platformclient.FallbackLog
	dial        DialFunc
	slotPlanner slotassignment.Planner
	workerPool  *ants.Pool

	callerServer   *httpx.Server
	operatorServer *httpx.Server
	peerServer     *httpx.Server

	leaving   atomic.Bool
	drained   chan struct{}
	drainOnce sync.Once
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
	if err := h.openListeners(); err != nil {
		return nil, err
	}
	pool, err := ants.NewPool(config.MaxCalls, ants.WithNonblocking(true))
	if err != nil {
		return nil, err
	}
	h.workerPool = pool
	h.createComponents()
	h.registerRoutes()

	return h, nil
}

func (h *Host) openListeners() error {
	var errs []error
	listen := func(address string, maxBody int) *httpx.Server {
		web, err := httpx.NewServer(httpx.Options{Address: address, MaxBody: maxBody, DrainTimeout: h.config.DrainTimeout})
		errs = append(errs, err)

		return web
	}
	// A body somewhat above the bound is read, so that its refusal has the documented shape.
	h.callerServer = listen(h.config.CallerAddress, readableBodyFactor*h.config.MaxBodyBytes)
	h.operatorServer = listen(h.config.OperatorAddress, maxOperatorBodyBytes)
	h.peerServer = listen(h.config.PeerAddress, maxPeerBodyBytes)

	return errors.Join(errs...)
}

// maxOperatorBody bounds an operator's request in bytes, which may carry a whole settings document.
const maxOperatorBodyBytes = settings.MaxDocumentBytes + 1<<20

// readableBodies is how many times the bound a caller's body may have before its connection is closed.
const readableBodyFactor = 4

// maxPeerBody bounds a request between hosts in bytes.
const maxPeerBodyBytes = 32 << 20

func (h *Host) newHTTPClient(keepAlive bool) *http.Client {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()

		return h.dial(ctx, network, address)
	}

	return &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdleConnsPerAddress,
		DisableKeepAlives:   !keepAlive,
		DisableCompression:  true,
	}}
}

// liveHosts returns how many hosts send calls to the same upstreams.
func (h *Host) liveHostCount() int { return len(h.membership.LiveHosts(time.Now())) + 1 }

func (h *Host) createComponents() {
	sharedClient := h.newHTTPClient(true)
	log := &platformclient.LogClient{Address: h.config.LogAddress, Client: h.newHTTPClient(true)}
	h.hostList = &platformclient.HostListClient{Address: h.config.HostListAddress, Client: sharedClient}
	h.controlLog = &platformclient.FallbackLog{Log: log, ReadPeers: h.readControlFromPeers}
	options := platformclient.JournalOptions{
		Log: h.controlLog, Linger: h.config.AppendLinger, MinAppendInterval: h.minAppendInterval, Logger: h.logger,
	}
	options.Stream = platformclient.ControlStream
	h.control = &platformclient.ControlPlane{Journal: platformclient.NewJournal(&projection.Control{}, options), HostID: h.config.Host}
	options.Log, options.Stream = log, platformclient.ProgramsStream
	h.programs = platformclient.NewJournal(&projection.Programs{}, options)
	h.membership = &peer.Membership{LocalHeartbeat: h.newHeartbeat, HostList: h.hostList, HTTPClient: sharedClient, Logger: h.logger}
	h.enginePool = &engine.Pool{NewHTTP: func() *http.Client { return h.newHTTPClient(true) }, Logger: h.logger}
	dispatcher := &owner.Dispatcher{Pool: h.enginePool, FailureDomain: h.config.FailureDomain, Hosts: h.liveHostCount}
	h.enginePool.Changed, h.enginePool.Watcher = dispatcher.Pump, dispatcher
	h.owner = &owner.Owner{
		Host:        h.config.Host,
		Run:         id.Incarnation(id.NewRandom()),
		Journal:     h.programs,
		Control:     h.control,
		Dispatcher:  dispatcher,
		Pool:        h.workerPool,
		ServiceHTTP: h.newHTTPClient(false),
		Logger:      h.logger,
	}
	h.rateLimiter = &limiter.Limiter{MaxHosts: h.config.MaxHosts, Ask: h.requestGrant}
	h.bucketOwner = &limiter.Pools{MaxHosts: h.config.MaxHosts}
	h.callerAPI = &caller.Server{Control: h.control, Locator: h, Limiter: h.rateLimiter, Logger: h.logger, MaxBody: h.config.MaxBodyBytes}
}

// fleetAppends is how many appends a second all hosts together aim at, for each stream.
const totalAppendsPerSecond = 250

// appendSpacing is this host's part of the fleet's appends.
func (h *Host) minAppendInterval() time.Duration {
	return time.Duration(len(h.membership.LiveHosts(time.Now()))+1) * time.Second / totalAppendsPerSecond
}

func (h *Host) registerRoutes() {
	h.callerAPI.Register(h.callerServer)
	(&operatorapi.Server{Control: h.control, Programs: h.programs, Locator: h, Host: h}).Register(h.operatorServer)
	peer.Register(h.peerServer, h.owner, h)
}

// HostEntry returns the host as the platform's list shows it.
func (h *Host) HostEntry() platformclient.HostEntry {
	return platformclient.HostEntry{
		Host:            h.config.Host,
		FailureDomain:   h.config.FailureDomain,
		CallerAddress:   h.callerServer.Address(),
		OperatorAddress: h.operatorServer.Address(),
		PeerAddress:     h.peerServer.Address(),
		Leaving:         h.leaving.Load(),
	}
}

// Run serves until ctx ends or the host has been drained.
func (h *Host) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer h.workerPool.Release()
	h.peerServer.Start()
	h.operatorServer.Start()
	h.callerServer.Start()
	h.logger.Info("host-started", "caller-address", h.callerServer.Address(),
		"operator-address", h.operatorServer.Address(), "peer-address", h.peerServer.Address())

	var group sync.WaitGroup
	for _, loop := range []func(context.Context){
		h.control.Journal.Run, h.programs.Run, h.membership.Run, h.enginePool.Run,
		h.owner.WatchReservations, h.owner.RunExpiry, h.owner.RunReconcile,
		h.announceLoop, h.settingsLoop, h.slotLoop, h.disconnectLoop, h.snapshotLoop,
	} {
		group.Go(func() { loop(ctx) })
	}
	select {
	case <-ctx.Done():
		h.abortServers()
	case <-h.drained:
		h.closeServers()
	}
	cancel()
	group.Wait()
	h.logger.Info("host-stopped")

	return nil
}

// closeTimeout bounds the closing of the listeners once the host is drained.
const closeTimeout = 2 * time.Second

// close ends the servers once the host is drained; only idle connections are left then.
func (h *Host) closeServers() {
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
func (h *Host) abortServers() {
	for _, web := range h.servers() {
		web.Abort()
	}
}

func (h *Host) servers() []*httpx.Server {
	return []*httpx.Server{h.callerServer, h.peerServer, h.operatorServer}
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
	if err := h.hostList.Announce(ctx, h.HostEntry()); err != nil {
		h.logger.V(1).Info("announce-failed", "error", err)
	}
}

// goneLoop cancels the requests of callers that have gone.
func (h *Host) disconnectLoop(ctx context.Context) {
	ticker := time.NewTicker(disconnectCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			h.callerAPI.CancelGone(h.callerServer.Gone)
		}
	}
}

// settingsLoop takes over settings and withdrawn keys as the control stream brings them.
func (h *Host) settingsLoop(ctx context.Context) {
	var applied id.Position
	for {
		changed := h.control.Journal.Changed()
		if fleet, version := h.control.Settings(); version > applied {
			applied = version
			h.enginePool.Configure(fleet)
			h.logger.Info("settings-in-force", "version", version)
		}
		h.callerAPI.KeyChanged()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}
