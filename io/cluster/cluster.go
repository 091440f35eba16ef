package cluster

import (
	"context"
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
	"cardamomward/core/tokenbudget"
	"cardamomward/io/fleet/fleetpb"
	"cardamomward/io/httpx"
	"cardamomward/platform"
)

const (
	// group names the group whose members own the slots.
	group = "slots"
	// slotTopic holds what owners keep; its partitions are the slots.
	slotTopic = "slots"
	// peerDial bounds a new connection to a peer.
	peerDial = 300 * time.Millisecond
	// peerKeepAlive is how often an idle connection to a peer is probed.
	peerKeepAlive = time.Second
	// peerIdle bounds the idle connections to one peer.
	peerIdle = 8
	// maxPeerBody bounds a message between hosts, in bytes.
	maxPeerBody = 64 << 20
)

// Store is what the fleet needs of the platform's store.
type Store interface {
	Append(ctx context.Context, a platform.Append) (int64, error)
	Newest(ctx context.Context, p platform.Partition, pageTimeout time.Duration) ([]platform.Record, int64, error)
	Join(ctx context.Context, group, member string, topics []string, lease time.Duration, generation int64) (platform.Membership, error)
	Leave(ctx context.Context, group, member string) error
	Owners(ctx context.Context, group string) (map[platform.Partition]string, error)
}

// Options configures a Cluster.
type Options struct {
	Settings *platform.Host
	Store    *platform.Store
	Logger   logr.Logger
	Now      func() time.Time
	// LastStoreResponse returns when the store last answered this host, and RecordStoreResponse records that it has.
	LastStoreResponse   func() time.Time
	RecordStoreResponse func()
	// HasConfig reports whether this host knows a configuration; callers are sent to others until then.
	HasConfig func() bool
}

// Cluster is this host's node of the cluster.
type Cluster struct {
	Options

	store Store
	topic string
	self  string
	slots []*slot
	peers *peers

	ownership atomic.Pointer[ownership]
	ownersMu  sync.Mutex
	// ownersChanged is closed and replaced when the owners change.
	ownersChanged chan struct{}
	generation    atomic.Int64
	// heardGeneration is the newest generation that a peer has told of.
	heardGeneration atomic.Int64
	lease           time.Duration
	timer           timer
	way             storeWay
	// leaseUntil is when the membership ends unless it is renewed, in nanoseconds since the Unix epoch.
	leaseUntil atomic.Int64
	leaving    atomic.Bool
	// rejoin is set while the membership must start over before it is renewed.
	rejoin    atomic.Bool
	refreshed chan struct{}
	// freed tells that a peer has left the group.
	freed chan struct{}
	// member is set while this host is in the group, and owned is when it last owned a slot; the renewal loop's own.
	member bool
	owned  time.Time

	clientsMu sync.Mutex
	clients   map[string]fleetpb.Slots
	http      *http.Client

	ratesMu sync.Mutex
	rates   map[id.Workspace]*rate

	heldMu sync.Mutex
	// held are kept turns that are not known to be durable.
	held  map[string]*fleetpb.KeptTurn
	marks tokenbudget.ReportedWatermarks

	docketMu sync.Mutex
	docket   crashcount.Counter
	crashes  []toldCrash
}

// ownership says which member owns each slot.
type ownership struct {
	generation int64
	owners     []string
}

// New returns a node that does nothing until Run is called.
func New(opts Options) *Cluster {
	c := &Cluster{
		Options: opts, store: opts.Store, topic: platform.KeyedTopic(slotTopic),
		self:          net.JoinHostPort(opts.Settings.IP, strconv.Itoa(opts.Settings.PeerPorts[0])),
		lease:         max(minLease, opts.Settings.Store.MinLease),
		ownersChanged: make(chan struct{}),
		refreshed:     make(chan struct{}, 1), freed: make(chan struct{}, 1),
		clients: make(map[string]fleetpb.Slots),
		rates:   make(map[id.Workspace]*rate),
		held:    make(map[string]*fleetpb.KeptTurn),
	}
	dialer := &net.Dialer{Timeout: peerDial, KeepAlive: peerKeepAlive}
	c.http = &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: peerIdle, DisableCompression: true,
	}}
	c.rejoin.Store(true)
	c.ownership.Store(&ownership{owners: make([]string, opts.Settings.Store.Partitions)})
	for index := range opts.Settings.Store.Partitions {
		c.slots = append(c.slots, newSlot(c, index))
	}
	c.peers = newPeers(c)
	opts.Store.Via = c.exchange

	return c
}

// Run takes part in the fleet until ctx ends.
func (c *Cluster) Run(ctx context.Context) error {
	server, err := httpx.NewServer(httpx.Options{Address: c.self, MaxBody: maxPeerBody})
	if err != nil {
		return err
	}
	handler := adaptor.HertzHandler(fleetpb.NewSlotsServer(&service{fleet: c}))
	server.NoRoute(handler)
	server.Start()
	defer server.Abort()
	conn, err := net.ListenPacket("udp4", c.self)
	if err != nil {
		return err
	}
	defer conn.Close() //nolint:errcheck // it is closed before in most cases
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() { c.peers.run(ctx, conn) })
	running.Go(func() { c.renewLoop(ctx) })
	running.Go(func() { c.refreshLoop(ctx) })
	running.Go(func() { c.expireLoop(ctx) })
	for _, s := range c.slots {
		running.Go(func() { s.writer.run(ctx) })
	}
	<-ctx.Done()

	return conn.Close()
}

// slotOf returns the slot of a program's or workspace's name.
func (c *Cluster) slotOf(name string) int {
	return id.HashSlot(name, len(c.slots))
}

// owner returns the member that owns a slot or acts for its owner, or an empty string.
func (c *Cluster) owner(slot int) string {
	owners := c.ownership.Load().owners
	if !c.storeAway(c.Now()) {
		return owners[slot]
	}

	return failover.ActingOwner(slot, owners, c.gone)
}

// gone reports whether an owner has stopped since it owned its slots, as far as this host has heard.
func (c *Cluster) gone(member string) bool {
	if member == c.self {
		return c.leaseUntil.Load() == 0
	}

	return c.peers.gone(member)
}

// ownerCheck is how often those that wait for an owner look whether another host acts for it.
const ownerCheck = 100 * time.Millisecond

// whileOwner returns a context that ends when a member stops being a slot's owner.
func (c *Cluster) whileOwner(ctx context.Context, slot int, member string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		ticker := time.NewTicker(ownerCheck)
		defer ticker.Stop()
		for {
			c.ownersMu.Lock()
			changed := c.ownersChanged
			c.ownersMu.Unlock()
			if c.owner(slot) != member {
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

// client returns the client for a member; this host's own serves without a connection.
func (c *Cluster) client(member string) fleetpb.Slots {
	if member == c.self {
		return &service{fleet: c}
	}
	c.clientsMu.Lock()
	defer c.clientsMu.Unlock()
	client, ok := c.clients[member]
	if !ok {
		client = fleetpb.NewSlotsProtobufClient("http://"+member, c.http)
		c.clients[member] = client
	}

	return client
}

// storeAway reports whether the store is taken to be away for all hosts: it answers neither this host nor any peer that
// is heard, and this host is not cut off with a few others.
func (c *Cluster) storeAway(now time.Time) bool {
	return c.storeSilent(now) && c.hearsMost(now)
}

// storeSilent reports whether the store answers neither this host nor any peer that is heard.
func (c *Cluster) storeSilent(now time.Time) bool {
	return now.Sub(c.LastStoreResponse()) > contactLimit && !c.peers.storeSeen(now)
}

// hearsMost reports whether this host, if it owns slots, hears most of the owners: fewer could be a part of the fleet that
// is cut off, while the others go on.
func (c *Cluster) hearsMost(now time.Time) bool {
	return eviction.HearsMajority(c.self, c.ownership.Load().owners, c.peers.heard(now))
}

// mayOwn reports whether this host may act as an owner: its membership runs, or the store is away for all.
func (c *Cluster) mayOwn(now time.Time) bool {
	return now.UnixNano() < c.leaseUntil.Load() || c.storeAway(now)
}

// expireLoop forgets what has expired.
func (c *Cluster) expireLoop(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := c.Now()
			for _, s := range c.slots {
				s.expire(now)
			}
			c.docketMu.Lock()
			c.docket.RemoveExpired(now)
			c.docketMu.Unlock()
			c.peers.mu.Lock()
			c.peers.parts.RemoveExpired(now)
			c.peers.mu.Unlock()
			c.heldMu.Lock()
			c.marks.RemoveOlderThan(now, budgetRetention)
			c.heldMu.Unlock()
		}
	}
}

const (
	// expireInterval is how often expired records are looked for.
	expireInterval = 2 * time.Second
	// contactLimit is how long ago the store must have answered for it to count as reachable.
	contactLimit = 700 * time.Millisecond
)

// pool returns the bucket of a workspace in a slot that this host owns.
func (s *slot) pool(workspace id.Workspace) *quota.Allocator {
	if s.pools == nil {
		s.pools = make(map[id.Workspace]*quota.Allocator)
	}
	p, ok := s.pools[workspace]
	if !ok {
		p = &quota.Allocator{StartFull: s.first, SlackRequests: s.fleet.Settings.Bounds.RateSlack}
		s.pools[workspace] = p
	}

	return p
}
