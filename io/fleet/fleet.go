package fleet

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

// Options are what a fleet is built from.
type Options struct {
	Settings *platform.Host
	Store    *platform.Store
	Logger   logr.Logger
	Now      func() time.Time
	// StoreAnswered returns when the store last answered this host, and NoteAnswer notes that it has.
	StoreAnswered func() time.Time
	NoteAnswer    func()
	// Configured reports whether this host knows a configuration; callers are sent to others until then.
	Configured func() bool
}

// Fleet is this host's part in the fleet.
type Fleet struct {
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

// New returns a fleet's part that does nothing before it runs.
func New(opts Options) *Fleet {
	f := &Fleet{
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
	f.http = &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: peerIdle, DisableCompression: true,
	}}
	f.rejoin.Store(true)
	f.ownership.Store(&ownership{owners: make([]string, opts.Settings.Store.Partitions)})
	for index := range opts.Settings.Store.Partitions {
		f.slots = append(f.slots, newSlot(f, index))
	}
	f.peers = newPeers(f)
	opts.Store.Via = f.exchange

	return f
}

// Run takes part in the fleet until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	server, err := httpx.NewServer(httpx.Options{Address: f.self, MaxBodyBytes: maxPeerBody})
	if err != nil {
		return err
	}
	handler := adaptor.HertzHandler(fleetpb.NewSlotsServer(&service{fleet: f}))
	server.NoRoute(handler)
	server.Start()
	defer server.Abort()
	conn, err := net.ListenPacket("udp4", f.self)
	if err != nil {
		return err
	}
	defer conn.Close() //nolint:errcheck // it is closed before in most cases
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() { f.peers.run(ctx, conn) })
	running.Go(func() { f.renewLoop(ctx) })
	running.Go(func() { f.refreshLoop(ctx) })
	running.Go(func() { f.expireLoop(ctx) })
	for _, s := range f.slots {
		running.Go(func() { s.writer.run(ctx) })
	}
	<-ctx.Done()

	return conn.Close()
}

// slotOf returns the slot of a program's or workspace's name.
func (f *Fleet) slotOf(name string) int {
	return id.HashSlot(name, len(f.slots))
}

// owner returns the member that owns a slot or acts for its owner, or an empty string.
func (f *Fleet) owner(slot int) string {
	owners := f.ownership.Load().owners
	if !f.storeAway(f.Now()) {
		return owners[slot]
	}

	return failover.ActingOwner(slot, owners, f.gone)
}

// gone reports whether an owner has stopped since it owned its slots, as far as this host has heard.
func (f *Fleet) gone(member string) bool {
	if member == f.self {
		return f.leaseUntil.Load() == 0
	}

	return f.peers.gone(member)
}

// ownerCheck is how often those that wait for an owner look whether another host acts for it.
const ownerCheck = 100 * time.Millisecond

// whileOwner returns a context that ends when a member stops being a slot's owner.
func (f *Fleet) whileOwner(ctx context.Context, slot int, member string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		ticker := time.NewTicker(ownerCheck)
		defer ticker.Stop()
		for {
			f.ownersMu.Lock()
			changed := f.ownersChanged
			f.ownersMu.Unlock()
			if f.owner(slot) != member {
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
func (f *Fleet) client(member string) fleetpb.Slots {
	if member == f.self {
		return &service{fleet: f}
	}
	f.clientsMu.Lock()
	defer f.clientsMu.Unlock()
	client, ok := f.clients[member]
	if !ok {
		client = fleetpb.NewSlotsProtobufClient("http://"+member, f.http)
		f.clients[member] = client
	}

	return client
}

// storeAway reports whether the store is taken to be away for all hosts: it answers neither this host nor any peer that
// is heard, and this host is not cut off with a few others.
func (f *Fleet) storeAway(now time.Time) bool {
	return f.storeSilent(now) && f.hearsMost(now)
}

// storeSilent reports whether the store answers neither this host nor any peer that is heard.
func (f *Fleet) storeSilent(now time.Time) bool {
	return now.Sub(f.StoreAnswered()) > contactLimit && !f.peers.storeSeen(now)
}

// hearsMost reports whether this host, if it owns slots, hears most of the owners: fewer could be a part of the fleet that
// is cut off, while the others go on.
func (f *Fleet) hearsMost(now time.Time) bool {
	return eviction.HearsMajority(f.self, f.ownership.Load().owners, f.peers.heard(now))
}

// mayOwn reports whether this host may act as an owner: its membership runs, or the store is away for all.
func (f *Fleet) mayOwn(now time.Time) bool {
	return now.UnixNano() < f.leaseUntil.Load() || f.storeAway(now)
}

// expireLoop forgets what has expired.
func (f *Fleet) expireLoop(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := f.Now()
			for _, s := range f.slots {
				s.expire(now)
			}
			f.docketMu.Lock()
			f.docket.RemoveExpired(now)
			f.docketMu.Unlock()
			f.peers.mu.Lock()
			f.peers.parts.RemoveExpired(now)
			f.peers.mu.Unlock()
			f.heldMu.Lock()
			f.marks.RemoveOlderThan(now, budgetRetention)
			f.heldMu.Unlock()
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
