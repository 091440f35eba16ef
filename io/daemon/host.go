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
	"cardamomward/core/intake"
	"cardamomward/core/projection"
	"cardamomward/core/settings"
	"cardamomward/core/slotassignment"
	"cardamomward/io/caller"
	"cardamomward/io/engineclient"
	"cardamomward/io/executor"
	"cardamomward/io/globalratelimit"
	"cardamomward/io/httpx"
	"cardamomward/io/operatorapi"
	"cardamomward/io/peer"
	"cardamomward/io/platformclient"
	"cardamomward/io/tcp"
)

const (
	// dialTimeout bounds the connection to a peer, upstream or platform service.
	dialTimeout = time.Second
	// maxIdleConnsPerAddress bounds the idle connections to each address.
	maxIdleConnsPerAddress = 64
	// disconnectCheckInterval is the interval of the checks for callers that have disconnected.
	disconnectCheckInterval = 250 * time.Millisecond
	// announceInterval is the interval of updates of the host's entry in the platform's list.
	announceInterval = 2 * time.Second
)

// Host is one host of the cluster; it serves callers, operators and other hosts.
type Host struct {
	config          Config
	logger          logr.Logger
	control         *platformclient.ControlPlane
	programsJournal *platformclient.Journal[*projection.Programs]
	membership      *peer.Membership
	hostList        *platformclient.HostListClient
	executor        *executor.Executor
	enginePool      *engineclient.Pool
	callerAPI       *caller.Server
	rateLimiter     *globalratelimit.Limiter
	bucketOwner     *globalratelimit.BucketOwner
	controlLog      *platformclient.FallbackLog
	dial            DialFunc
	slotPlanner     slotassignment.Planner
	workerPool      *ants.Pool

	callerServer   *httpx.Server
	operatorServer *httpx.Server
	peerServer     *httpx.Server

	leaving   atomic.Bool
	drained   chan struct{}
	drainOnce sync.Once
}

// DialFunc dials an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Options configures the logging and the network of a host.
type Options struct {
	Logger logr.Logger
	// Dial connects to peers, upstreams and the platform; nil means a net.Dialer.
	Dial DialFunc
}

// New creates a host and listens at its addresses; Run starts it.
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
	requests := httpx.NewIntake(intake.Bytes(0), time.Now)
	limits := intake.LimitConns(httpx.OpenFileLimit(0), 0)
	listen := func(address string, maxBodyBytes, maxConns int) *httpx.Server {
		server, err := httpx.NewServer(httpx.Options{
			Address: address, MaxBodyBytes: maxBodyBytes, DrainTimeout: h.config.DrainTimeout, Intake: requests, MaxConns: maxConns, Logger: h.logger,
		})
		errs = append(errs, err)

		return server
	}
	// Bodies of up to readableBodyFactor times the limit are read, so that the caller gets the documented error.
	h.callerServer = listen(h.config.CallerAddress, readableBodyFactor*h.config.MaxBodyBytes, limits.Callers)
	h.operatorServer = listen(h.config.OperatorAddress, maxOperatorBodyBytes, limits.Metrics)
	h.peerServer = listen(h.config.PeerAddress, maxPeerBodyBytes, limits.Peers)

	return errors.Join(errs...)
}

// maxOperatorBodyBytes bounds the body of an operator's request, which may hold a whole settings document.
const maxOperatorBodyBytes = settings.MaxDocumentBytes + 1<<20

// readableBodyFactor is the ratio of the largest body that the server reads to MaxBodyBytes; a larger one closes the
// connection.
const readableBodyFactor = 4

// maxResponseHeaderBytes bounds the header of a response of a peer, an upstream or the log.
const maxResponseHeaderBytes = 64 << 10

// maxPeerBodyBytes bounds the body of a request between hosts.
const maxPeerBodyBytes = 32 << 20

func (h *Host) newHTTPClient(keepAlive bool) *http.Client {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()

		return tcp.DialWith(ctx, h.dial, network, address)
	}

	return &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdleConnsPerAddress,
		DisableKeepAlives:   !keepAlive,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}}
}

// liveHostCount returns the number of live hosts, including this one, that send calls to the same upstreams.
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
	h.programsJournal = platformclient.NewJournal(&projection.Programs{}, options)
	h.membership = &peer.Membership{LocalHeartbeat: h.newHeartbeat, HostList: h.hostList, HTTPClient: sharedClient, Logger: h.logger}
	h.enginePool = &engineclient.Pool{NewHTTPClient: func() *http.Client { return h.newHTTPClient(true) }, Logger: h.logger}
	dispatcher := &executor.Dispatcher{Pool: h.enginePool, FailureDomain: h.config.FailureDomain, HostCount: h.liveHostCount}
	h.enginePool.OnCapacityChange, h.enginePool.Observer = dispatcher.DispatchAll, dispatcher
	h.executor = &executor.Executor{
		Host:              h.config.Host,
		Incarnation:       id.Incarnation(id.NewRandom()),
		Journal:           h.programsJournal,
		Control:           h.control,
		Dispatcher:        dispatcher,
		WorkerPool:        h.workerPool,
		ServiceHTTPClient: h.newHTTPClient(false),
		Logger:            h.logger,
	}
	h.rateLimiter = &globalratelimit.Limiter{MaxHosts: h.config.MaxHosts, RequestGrant: h.requestGrant}
	h.bucketOwner = &globalratelimit.BucketOwner{MaxHosts: h.config.MaxHosts}
	h.callerAPI = &caller.Server{Control: h.control, Locator: h, Limiter: h.rateLimiter, Logger: h.logger, MaxBodyBytes: h.config.MaxBodyBytes}
}

// totalAppendsPerSecond is the target rate of appends of all hosts together, for each stream.
const totalAppendsPerSecond = 250

// minAppendInterval returns the append interval with which all live hosts together keep to totalAppendsPerSecond.
func (h *Host) minAppendInterval() time.Duration {
	return time.Duration(len(h.membership.LiveHosts(time.Now()))+1) * time.Second / totalAppendsPerSecond
}

func (h *Host) registerRoutes() {
	h.callerAPI.Register(h.callerServer)
	(&operatorapi.Server{Control: h.control, Programs: h.programsJournal, Locator: h, Host: h}).Register(h.operatorServer)
	peer.Register(h.peerServer, h.executor, h)
}

// HostEntry returns the host's entry for the platform's list.
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

// Run serves until ctx ends or the host has been drained; it returns an error if a server ends before.
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
		h.control.Journal.Run, h.programsJournal.Run, h.membership.Run, h.enginePool.Run,
		h.executor.WatchReservations, h.executor.RunProgramExpiry, h.executor.RunEngineGC,
		h.announceLoop, h.settingsLoop, h.slotLoop, h.disconnectLoop, h.snapshotLoop,
	} {
		group.Go(func() { loop(ctx) })
	}
	ended := make(chan error, len(h.servers()))
	for _, server := range h.servers() {
		group.Go(func() { ended <- server.AwaitEnd(ctx) })
	}
	var err error
	select {
	case <-ctx.Done():
		h.abortServers()
	case <-h.drained:
		h.closeServers()
	case err = <-ended:
		h.abortServers()
	}
	cancel()
	group.Wait()
	h.logger.Info("host-stopped")

	return err
}

// closeTimeout bounds the shutdown of the servers once the host is drained.
const closeTimeout = 2 * time.Second

// closeServers shuts down the servers once the host is drained, when only idle connections are left.
func (h *Host) closeServers() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, server := range h.servers() {
		group.Go(func() {
			if err := server.Close(ctx); err != nil {
				h.logger.V(1).Info("close-failed", "error", err)
			}
		})
	}
	group.Wait()
}

// abortServers closes the servers and aborts all running requests.
func (h *Host) abortServers() {
	for _, server := range h.servers() {
		server.Abort()
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

// disconnectLoop cancels the requests of callers that have disconnected.
func (h *Host) disconnectLoop(ctx context.Context) {
	ticker := time.NewTicker(disconnectCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			h.callerAPI.CancelDisconnected(h.callerServer.IsClosedByPeer)
		}
	}
}

// settingsLoop applies new settings and withdrawn keys when the state of the control stream changes.
func (h *Host) settingsLoop(ctx context.Context) {
	var applied id.Position
	for {
		changed := h.control.Journal.Changed()
		if fleet, version := h.control.Settings(); version > applied {
			applied = version
			h.enginePool.Configure(fleet)
			h.logger.Info("settings-in-force", "version", version)
		}
		h.callerAPI.CancelWithdrawnKeys()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}
