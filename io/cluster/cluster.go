package cluster

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/common/adaptor"
	"github.com/go-logr/logr"

	"cardamomward/core/crashcount"
	"cardamomward/core/eviction"
	"cardamomward/core/failover"
	"cardamomward/core/id"
	"cardamomward/core/quota"
	"cardamomward/core/streamorigin"
	"cardamomward/core/tokenbudget"
	"cardamomward/core/traffic"
	"cardamomward/io/fleet/fleetpb"
	"cardamomward/io/http1"
	"cardamomward/io/httpx"
	"cardamomward/io/tcp"
	"cardamomward/platform"
)

const (
	// slotGroup is the store's group whose members own the slots.
	slotGroup = "slots"
	// slotTopicName is the topic of the owners' records; each partition is a slot.
	slotTopicName = "slots"
	// maxReplyHeaderBytes bounds the header of a peer's reply.
	maxReplyHeaderBytes = 64 << 10
	// peerDialTimeout bounds connecting to a peer.
	peerDialTimeout = 300 * time.Millisecond
	// peerKeepAliveInterval is the TCP keep-alive interval of connections to peers.
	peerKeepAliveInterval = time.Second
	// maxIdlePeerConns bounds the idle connections to one peer.
	maxIdlePeerConns = 8
	// maxPeerBodyBytes bounds the body of a call between hosts, and that of its reply.
	maxPeerBodyBytes = 64 << 20
)

// Store is the part of the platform's store that a Cluster uses.
type Store interface {
	Append(ctx context.Context, a platform.AppendBatch) (int64, error)
	Read(ctx context.Context, p platform.Partition, offset int64, maxWait time.Duration) (platform.RecordPage, error)
	ReadNewestPage(ctx context.Context, p platform.Partition, afterKey string, timeout time.Duration) (platform.NewestPage, error)
	JoinGroup(ctx context.Context, group, member string, topics []string, lease time.Duration, generation int64) (platform.GroupMembership, error)
	LeaveGroup(ctx context.Context, group, member string) error
	ListPartitionOwners(ctx context.Context, group string) (map[platform.Partition]string, error)
}

// Options configures a Cluster.
type Options struct {
	Settings *platform.HostSettings
	Store    *platform.Store
	Logger   logr.Logger
	Now      func() time.Time
	// LastStoreResponse returns when the store last responded to this host, and RecordStoreResponse records a response
	// now.
	LastStoreResponse   func() time.Time
	RecordStoreResponse func()
	// HasConfig reports whether this host has read a configuration; until then, callers are directed to other hosts.
	HasConfig func() bool
	// Traffic counts the bytes between hosts; nil counts nothing.
	Traffic *traffic.Counters
	// Memory bounds what calls between hosts hold while they are in progress; nil means no bound. It may be set until Run.
	Memory *httpx.MemoryBudget
	// Intake bounds what calls between hosts hold while they arrive, and MaxCallConns their connections; nil and zero mean the defaults of
	// a server. They may be set until Run.
	Intake       *httpx.Intake
	MaxCallConns int
	// IsPartitionedFromUpstreams reports whether this host's links to upstreams fail.
	IsPartitionedFromUpstreams func() bool
	// UpstreamErrors returns the error scores of upstreams that have lately returned server errors to this host; it may be nil.
	UpstreamErrors func() map[id.Upstream]float64
	// ConfirmOrigin reports whether the registrations that this host has read confirm where a stream began; nil means that they do
	// not.
	ConfirmOrigin func(origin streamorigin.Origin) bool
}

// Cluster is this host's node of the cluster.
type Cluster struct {
	Options

	store     Store
	slotTopic string
	self      string
	slots     []*slot
	peers     *peerTable

	ownership atomic.Pointer[ownership]
	ownersMu  sync.Mutex
	// ownersChanged is closed and replaced when the owners change.
	ownersChanged chan struct{}
	generation    atomic.Int64
	// newestPeerGeneration is the newest group generation received from a peer.
	newestPeerGeneration atomic.Int64
	leaseDuration        time.Duration
	storeTimeout         storeTimeout
	directPath           directPath
	// leaseExpiryNanos is the expiry of the membership's lease, in nanoseconds since the Unix epoch; zero before the
	// first lease.
	leaseExpiryNanos atomic.Int64
	// isLeaving is set once this host drains, and isResigning once it gives up its slots and its membership.
	isLeaving   atomic.Bool
	isResigning atomic.Bool
	// isStopped is set once Run ends; calls that no caller waits for are then not retried.
	isStopped atomic.Bool
	// mustRejoin is set while the host must leave the group before it joins again.
	mustRejoin          atomic.Bool
	refreshOwnersSignal chan struct{}
	// renewSignal triggers a renewal before its interval has passed.
	renewSignal chan struct{}
	// isMember is set while this host is in the group, lastOwnedAt is when it last owned a slot, and rejoinedAt when it last joined the
	// group without a valid lease. Only the renewal loop uses them.
	isMember    bool
	lastOwnedAt time.Time
	rejoinedAt  time.Time

	peerClientsMu sync.Mutex
	peerClients   map[string]fleetpb.Slots
	httpClient    *http.Client

	workspaces workspaceLoads

	quotasMu sync.Mutex
	quotas   map[id.Workspace]*workspaceQuota

	heldMu sync.Mutex
	// heldTurns are copies of turns that are not known to be durable, by id.
	heldTurns map[string]*heldTurn
	// pushSlots bounds the held turns that are being sent to their owners.
	pushSlots         chan struct{}
	handover          turnHandover
	programWatermarks tokenbudget.ReportedWatermarks
	programs          programLimit
	turnMemory        *turnMemory

	streamOriginsMu sync.Mutex
	streamOrigins   streamorigin.Index

	limits  upstreamLimits
	leaving leavingUpstreams

	crashesMu       sync.Mutex
	crashCounter    crashcount.Counter
	gossipedCrashes []gossipedCrash
}

// ownership is the owner of each slot as of a generation; an owner is empty if it is unknown.
type ownership struct {
	generation int64
	owners     []string
}

// New returns a node of the cluster and routes the calls of opts.Store through it; Run starts the node.
func New(opts Options) *Cluster {
	c := &Cluster{
		Options: opts, store: opts.Store, slotTopic: platform.CompactedTopic(slotTopicName),
		self:                net.JoinHostPort(opts.Settings.IP, strconv.Itoa(opts.Settings.PeerPorts[0])),
		leaseDuration:       max(minLeaseDuration, opts.Settings.Store.MinLeaseDuration),
		ownersChanged:       make(chan struct{}),
		refreshOwnersSignal: make(chan struct{}, 1), renewSignal: make(chan struct{}, 1),
		peerClients: make(map[string]fleetpb.Slots),
		quotas:      make(map[id.Workspace]*workspaceQuota),
		heldTurns:   make(map[string]*heldTurn),
		pushSlots:   make(chan struct{}, maxConcurrentPushes),
	}
	dialer := &net.Dialer{Timeout: peerDialTimeout, KeepAlive: peerKeepAliveInterval}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		return tcp.DialWith(ctx, dialer.DialContext, network, address)
	}
	transport := &countingTransport{cluster: c, inner: &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: maxIdlePeerConns, DisableCompression: true,
		MaxResponseHeaderBytes: maxReplyHeaderBytes,
	}}
	c.httpClient = http1.NewStrictClient(&http.Client{Transport: &memoryTransport{cluster: c, inner: transport}}, maxPeerBodyBytes)
	c.programs.setMemory(opts.Settings.MemoryBytes)
	c.turnMemory = newTurnMemory(opts.Settings.MemoryBytes)
	c.streamOrigins.MaxAttempts = int(opts.Settings.MemoryBytes / originShare / originBytes)
	c.mustRejoin.Store(true)
	c.ownership.Store(&ownership{owners: make([]string, opts.Settings.Store.Partitions)})
	for index := range opts.Settings.Store.Partitions {
		c.slots = append(c.slots, newSlot(c, index))
	}
	c.peers = newPeerTable(c)
	opts.Store.RoundTrip = c.routeStoreCall

	return c
}

// Run takes part in the cluster until ctx ends. It fails if it cannot listen for peers, or not any more.
func (c *Cluster) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	server, err := c.newPeerServer(c.self)
	if err != nil {
		return err
	}
	server.Start()
	defer server.Abort()
	conn, err := net.ListenPacket("udp4", c.self)
	if err != nil {
		return err
	}
	defer conn.Close() //nolint:errcheck // usually closed already, at the end of Run
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { c.peers.run(ctx, conn) })
	wg.Go(func() { c.renewLoop(ctx) })
	wg.Go(func() { c.refreshOwnersLoop(ctx) })
	wg.Go(func() { c.removeExpiredLoop(ctx) })
	wg.Go(func() { c.handOverLoop(ctx) })
	wg.Go(func() { c.releaseActingSlotsLoop(ctx) })
	wg.Go(func() { c.checkpointLoop(ctx) })
	wg.Go(func() { c.evictTurnsLoop(ctx) })
	for _, s := range c.slots {
		wg.Go(func() { s.writer.run(ctx) })
	}
	select {
	case <-ctx.Done():
	case err = <-server.Ended():
		err = errors.Join(errors.New("the server of calls between hosts has ended"), err)
		cancel()
	}
	c.isStopped.Store(true)

	return errors.Join(err, conn.Close())
}

// newPeerServer returns a server of the calls of peers.
func (c *Cluster) newPeerServer(address string) (*httpx.Server, error) {
	server, err := httpx.NewServer(httpx.Options{
		Address: address, MaxBodyBytes: maxPeerBodyBytes, Intake: c.Intake, MaxConns: c.MaxCallConns, Logger: c.Logger, Memory: c.Memory, BodyCopies: callBodyCopies, MemoryClass: memoryClassOfCall,
	})
	if err != nil {
		return nil, err
	}
	server.NoRoute(adaptor.HertzHandler(c.countCalls(c.provideCallMemory(fleetpb.NewSlotsServer(&slotServer{cluster: c})))))

	return server, nil
}

// hashSlot returns the slot of a program's or workspace's name.
func (c *Cluster) hashSlot(name string) int {
	return id.HashSlot(name, len(c.slots))
}

// slotOwner returns the member that owns a slot, or its acting owner while the store is down, or an empty string.
func (c *Cluster) slotOwner(slot int) string {
	owners := c.ownership.Load().owners
	if !c.isStoreDown(c.Now()) {
		return owners[slot]
	}

	return failover.ActingOwner(slot, owners, c.hasStopped)
}

// hasStopped reports whether a member is known to have stopped or left since it owned its slots; this host counts as
// stopped until its process has joined the group for the first time.
func (c *Cluster) hasStopped(member string) bool {
	if member == c.self {
		return c.leaseExpiryNanos.Load() == 0
	}

	return c.peers.hasStopped(member)
}

// ownerCheckInterval is the interval of the checks of calls to an owner for another acting owner.
const ownerCheckInterval = 100 * time.Millisecond

// withOwnerContext returns a context that ends when a member stops being a slot's owner.
func (c *Cluster) withOwnerContext(ctx context.Context, slot int, member string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		ticker := time.NewTicker(ownerCheckInterval)
		defer ticker.Stop()
		for {
			c.ownersMu.Lock()
			changed := c.ownersChanged
			c.ownersMu.Unlock()
			if c.slotOwner(slot) != member {
				return
			}
			select {
			case <-ctx.Done():
				return
			case <-changed:
			case <-ticker.C:
			}
		}
	}()

	return ctx, cancel
}

// peerClient returns the RPC client of a member; this host calls itself without a connection.
func (c *Cluster) peerClient(member string) fleetpb.Slots {
	if member == c.self {
		return &slotServer{cluster: c}
	}
	c.peerClientsMu.Lock()
	defer c.peerClientsMu.Unlock()
	client, ok := c.peerClients[member]
	if !ok {
		client = fleetpb.NewSlotsProtobufClient("http://"+member, c.httpClient)
		c.peerClients[member] = client
	}

	return client
}

// isStoreDown reports whether the store is considered down for all hosts: it responds neither to this host nor to any
// live peer, and this host is not in a minority partition.
func (c *Cluster) isStoreDown(now time.Time) bool {
	return c.isStoreSilent(now) && c.hearsMajority(now)
}

// isStoreSilent reports whether the store responds neither to this host nor to any live peer.
func (c *Cluster) isStoreSilent(now time.Time) bool {
	return now.Sub(c.LastStoreResponse()) > storeContactTimeout && !c.peers.hasPeerReachedStore(now)
}

// lastStoreResponse returns when the store last responded to this host or to a peer that it has heard since.
func (c *Cluster) lastStoreResponse() time.Time {
	last := c.peers.lastStoreResponse()
	if own := c.LastStoreResponse(); own.After(last) {
		return own
	}

	return last
}

// hearsMajority reports whether this host receives heartbeats from a majority of the owners; it is always true for a host
// that owns no slot. A minority could be separated by a network partition while the other owners continue.
func (c *Cluster) hearsMajority(now time.Time) bool {
	return eviction.HearsMajority(c.self, c.ownership.Load().owners, c.peers.peerSilences(now))
}

// mayServeSlots reports whether this host may serve slots: its lease is valid, or the store is down.
func (c *Cluster) mayServeSlots(now time.Time) bool {
	return now.UnixNano() < c.leaseExpiryNanos.Load() || c.isStoreDown(now)
}

// removeExpiredLoop removes expired state until ctx ends.
func (c *Cluster) removeExpiredLoop(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := c.Now()
			for _, s := range c.slots {
				s.removeExpired(now)
			}
			c.countPrograms()
			c.crashesMu.Lock()
			c.crashCounter.RemoveExpired(now)
			c.crashesMu.Unlock()
			c.peers.mu.Lock()
			c.peers.cachedParts.RemoveExpired(now)
			c.peers.mu.Unlock()
			c.removeExpiredStreamOrigins(now)
			c.workspaces.removeExpired(now)
			c.heldMu.Lock()
			c.programWatermarks.RemoveOlderThan(now, budgetRetention)
			c.heldMu.Unlock()
		}
	}
}

const (
	// expireInterval is the interval of removals of expired state.
	expireInterval = 2 * time.Second
	// storeContactTimeout is the silence of the store after which it counts as unreachable.
	storeContactTimeout = 700 * time.Millisecond
)

// quotaAllocator returns the allocator of a workspace's rate in a slot that this host owns; the caller holds the lock.
func (s *slot) quotaAllocator(workspace id.Workspace) *quota.Allocator {
	if s.quotaAllocators == nil {
		s.quotaAllocators = make(map[id.Workspace]*quota.Allocator)
	}
	allocator, ok := s.quotaAllocators[workspace]
	if !ok {
		allocator = &quota.Allocator{StartFull: s.isNew, SlackRequests: s.cluster.Settings.Bounds.RateSlackRequests}
		s.quotaAllocators[workspace] = allocator
	}

	return allocator
}
