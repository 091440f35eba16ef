package cluster

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cardamomward/core/affinity"
	"cardamomward/core/id"
	"cardamomward/core/workleft"
	"cardamomward/io/topicconsumer"
	"cardamomward/platform"
)

const (
	// hostTopicName is the topic of the hosts' entries, by host name.
	hostTopicName = "hosts"
	// heartbeatInterval is the interval of heartbeats.
	heartbeatInterval = 100 * time.Millisecond
	// heartbeatFanout bounds the peers that receive one heartbeat; with more peers, each heartbeat goes to a random
	// selection, which in large clusters is smaller.
	heartbeatFanout = 16
	// baseSilenceTimeout is how long a peer may be silent and still count as live in a cluster of up to heartbeatFanout
	// peers.
	baseSilenceTimeout = time.Second
	// forgetPeerAfter is how long a silent peer still counts as a host that may admit requests.
	forgetPeerAfter = 15 * time.Second
	// announceInterval is the interval of rewrites of this host's entry.
	announceInterval = time.Minute
	// announceRetryInterval is the retry interval of writes of this host's entry that the store did not answer.
	announceRetryInterval = 100 * time.Millisecond
	// hostListReadInterval is the interval of reads of the hosts' entries.
	hostListReadInterval = 200 * time.Millisecond
	// hostListLongPoll is the long-poll wait of reads of the hosts' entries.
	hostListLongPoll = 3 * time.Second
	// heartbeatsPerOwnerList is the number of heartbeats of which one contains the owners of all slots; in large clusters it is larger.
	heartbeatsPerOwnerList = 8
	// maxHeartbeatBytes bounds a received heartbeat.
	maxHeartbeatBytes = 8 << 10
)

// hostEntry is a host's entry in the store's list of hosts.
type hostEntry struct {
	CallerAddress string           `json:"callers"`
	PeerAddress   string           `json:"peer"`
	RelayAddress  string           `json:"relay"`
	FailureDomain id.FailureDomain `json:"failure-domain"`
	CPUCores      float64          `json:"cpu-share"`
	// LinkBytesPerSecond is absent in the entries of hosts of earlier releases.
	LinkBytesPerSecond float64 `json:"link-bytes-per-second,omitempty"`
}

// peer is the state of another host as this host knows it.
type peer struct {
	hostEntry

	udpAddr      *net.UDPAddr
	listedAt     time.Time
	lastHeardAt  time.Time
	lastSequence uint64
	isDraining   bool
	hasLeft      bool
	// isEvicted is set if the peer was evicted from the group since it was last heard.
	isEvicted bool
	// hasBeenMember is set if the peer's process has been a member of the group.
	hasBeenMember bool
	// storeRespondedAt is the time of the store's last response to the peer, by this host's clock.
	storeRespondedAt time.Time
	// readsShort is set if the peer's last complete heartbeat says that it understands short ones.
	readsShort bool
	// loadsHeardAt is the time of the last complete heartbeat, from which runningRequests and upstreamErrors are.
	loadsHeardAt    time.Time
	runningRequests map[id.Upstream]int
	// upstreamErrors holds the error scores of upstreams that the peer reports.
	upstreamErrors map[id.Upstream]float64
	// isPartitioned is set while the peer's links to upstreams fail, and relayBusyUntil after it refused to relay a connection.
	isPartitioned  bool
	relayBusyUntil time.Time
}

// peerTable tracks the other hosts and exchanges heartbeats with them.
type peerTable struct {
	cluster   *Cluster
	startedAt time.Time

	// hostListRead is closed once the list of hosts has been read.
	hostListRead     chan struct{}
	hostListReadOnce sync.Once
	// announceSignal triggers an announcement before its interval has passed.
	announceSignal chan struct{}
	// hasAnnounced is set once the store has this host's entry.
	hasAnnounced atomic.Bool

	mu sync.Mutex
	// conn sends and receives datagrams; nil before run.
	conn       net.PacketConn
	selfEntry  hostEntry
	isDraining bool
	hasLeft    bool
	sequence   uint64
	// gossipedGeneration is the generation of the last heartbeat, and generationChangedAt when that differed from the one before.
	gossipedGeneration  int64
	generationChangedAt time.Time
	// lastTickAt is when the last heartbeat was due, and resumedAt when this process last resumed after a pause.
	lastTickAt time.Time
	resumedAt  time.Time
	// ownerSince is the start of this host's ownership of slots; zero while it owns none.
	ownerSince time.Time
	// gossipedEvictions maps the members that this host has evicted to the time until which its heartbeats report them.
	gossipedEvictions map[string]time.Time
	byHost            map[id.Host]*peer
	// hostBySender maps the hashes of the names in byHost to them; it may be outdated.
	hostBySender   map[uint64]id.Host
	localRequests  map[id.Upstream]int
	remoteRequests map[id.Upstream]int
	remoteErrors   map[id.Upstream]float64
	cachedParts    affinity.CacheIndex
	domains        peerDomains
	work           workleft.Tracker
	// tracksWork is set if the choice of upstreams uses the work that peers report; it does not change after the start.
	tracksWork    bool
	gossipedReads []gossipedRead
	// restartHeardAt is the time of the last heartbeat that was the first one of a process, or the first one to say that it has left.
	restartHeardAt time.Time
}

func newPeerTable(c *Cluster) *peerTable {
	return &peerTable{
		cluster: c, startedAt: c.Now(), byHost: make(map[id.Host]*peer),
		selfEntry: hostEntry{
			CallerAddress: c.Settings.CallerAddress, PeerAddress: c.self, RelayAddress: c.RelayAddress(), FailureDomain: c.Settings.FailureDomain, CPUCores: c.Settings.CPUCores,
			LinkBytesPerSecond: c.Settings.LinkBytesPerSecond,
		},
		gossipedEvictions: make(map[string]time.Time),
		hostListRead:      make(chan struct{}), announceSignal: make(chan struct{}, 1),
		localRequests: make(map[id.Upstream]int), remoteRequests: make(map[id.Upstream]int), remoteErrors: make(map[id.Upstream]float64),
	}
}

// run exchanges heartbeats and consumes the list of hosts until ctx ends.
func (p *peerTable) run(ctx context.Context, conn net.PacketConn) {
	consumer := &topicconsumer.Consumer{
		Store: p.cluster.Store, Logger: p.cluster.Logger, Now: p.cluster.Now, LongPoll: hostListLongPoll, ReadPause: hostListReadInterval, ScalePause: p.scaleInterval,
		Partition:   platform.Partition{Topic: platform.CompactedTopic(hostTopicName)},
		ApplyRecord: p.applyRecord, OnListed: p.markHostListRead,
		OnResponse: func(time.Duration) { p.cluster.RecordStoreResponse() },
	}
	p.mu.Lock()
	p.conn = conn
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { consumer.Run(ctx) })
	wg.Go(func() { p.announceLoop(ctx) })
	wg.Go(func() { p.receiveHeartbeats(conn) })
	wg.Go(func() { p.heartbeatLoop(ctx, conn) })
	wg.Wait()
}

// applyRecord adds or removes a host by its entry in the store.
func (p *peerTable) applyRecord(record platform.Record) {
	host := id.Host(record.Key)
	if host == p.cluster.Settings.Name {
		if len(record.Value) == 0 {
			p.announceAgain()
		}

		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	existing, ok := p.byHost[host]
	if len(record.Value) == 0 {
		// A host that is heard and has not left was withdrawn by a late call of its previous process.
		if ok && !existing.hasLeft && p.cluster.Now().Sub(existing.lastHeardAt) <= p.silenceTimeout() {
			return
		}
		if ok {
			p.domains.remove(existing.hostEntry)
		}
		delete(p.byHost, host)
		p.cluster.Logger.Info("host-withdrawn", "peer", host)

		return
	}
	var entry hostEntry
	if err := json.Unmarshal(record.Value, &entry); err != nil {
		p.cluster.Logger.Error(err, "host-refused", "peer", host)

		return
	}
	addr, err := net.ResolveUDPAddr("udp4", entry.PeerAddress)
	if err != nil {
		p.cluster.Logger.Error(err, "host-refused", "peer", host)

		return
	}
	p.domains.put(entry)
	// A host that has left announces itself again only in a new process, whose heartbeats are numbered anew.
	if !ok || existing.hasLeft || existing.PeerAddress != entry.PeerAddress {
		p.byHost[host] = &peer{hostEntry: entry, udpAddr: addr, listedAt: p.cluster.Now()}
		p.logNewHost(host, entry)
	}
}

// logNewHost logs a host that was added after the first read of the list; the caller holds the lock.
func (p *peerTable) logNewHost(host id.Host, entry hostEntry) {
	select {
	case <-p.hostListRead:
		p.cluster.Logger.Info("host-listed", "peer", host, "address", entry.PeerAddress)
	default:
	}
}

// markHostListRead records that the list of hosts has been read. The list shows no deletions, only which hosts are left.
func (p *peerTable) markHostListRead(hosts map[string]struct{}) {
	if _, ok := hosts[string(p.cluster.Settings.Name)]; !ok && p.hasAnnounced.Load() {
		p.announceAgain()
	}
	p.hostListReadOnce.Do(func() {
		close(p.hostListRead)
		p.cluster.Logger.Info("hosts-listed", "hosts", p.hostCount())
	})
}

// announceAgain rewrites this host's entry at once: the store may execute the deletion by this host's previous process
// after the new one has announced itself.
func (p *peerTable) announceAgain() {
	if p.cluster.isLeaving.Load() {
		return
	}
	p.cluster.Logger.Info("entry-deleted")
	select {
	case p.announceSignal <- struct{}{}:
	default:
	}
}

// announceLoop rewrites this host's entry until the host leaves.
func (p *peerTable) announceLoop(ctx context.Context) {
	for ctx.Err() == nil && !p.cluster.isLeaving.Load() {
		value, err := json.Marshal(p.selfEntry)
		if err != nil {
			p.cluster.Logger.Error(err, "announcement-failed")

			return
		}
		if !p.writeEntry(ctx, value) {
			topicconsumer.SleepContext(ctx, announceRetryInterval)

			continue
		}
		timer := time.NewTimer(announceInterval)
		select {
		case <-ctx.Done():
		case <-p.announceSignal:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// withdrawEntry deletes this host's entry.
func (p *peerTable) withdrawEntry(ctx context.Context) {
	for ctx.Err() == nil && !p.writeEntry(ctx, nil) {
		topicconsumer.SleepContext(ctx, renewRetryInterval)
	}
}

// writeEntry writes this host's entry, or deletes it if value is empty, and reports success.
func (p *peerTable) writeEntry(ctx context.Context, value []byte) bool {
	err := p.cluster.callStore(ctx, func(ctx context.Context) error {
		_, err := p.cluster.store.Append(ctx, platform.AppendBatch{
			Partition: platform.Partition{Topic: platform.CompactedTopic(hostTopicName)},
			Records:   []platform.Record{{Key: string(p.cluster.Settings.Name), Value: value}},
		})

		return err
	})
	if err != nil {
		p.cluster.Logger.V(1).Info("announcement-failed", "error", err)
	} else if len(value) > 0 {
		p.hasAnnounced.Store(true)
	}

	return err == nil
}

// setLeft makes the heartbeats report that this host has left the group and its slots are free.
func (p *peerTable) setLeft() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hasLeft = true
}

// selfHasLeft reports whether this host has left the group.
func (p *peerTable) selfHasLeft() bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.hasLeft
}

// setDraining makes the heartbeats report that this host is draining.
func (p *peerTable) setDraining() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isDraining = true
}

// silenceTimeout returns how long a peer may be silent and still count as live: it grows with the number of peers that share the heartbeats. The
// caller holds the lock.
func (p *peerTable) silenceTimeout() time.Duration {
	rounds := (len(p.byHost) + heartbeatFanout - 1) / heartbeatFanout

	return baseSilenceTimeout * time.Duration(max(1, rounds))
}

// sumRemoteRequests sums the running requests of live peers by upstream, and takes the highest of their error scores; the
// caller holds the lock.
func (p *peerTable) sumRemoteRequests(now time.Time) {
	clear(p.remoteRequests)
	clear(p.remoteErrors)
	limit := p.silenceTimeout()
	for _, other := range p.byHost {
		if now.Sub(other.loadsHeardAt) > limit {
			continue
		}
		for upstream, running := range other.runningRequests {
			p.remoteRequests[upstream] += running
		}
		for upstream, score := range other.upstreamErrors {
			p.remoteErrors[upstream] = max(p.remoteErrors[upstream], score)
		}
	}
}

// hasPeerReachedStore reports whether the store has recently responded to a live peer.
func (p *peerTable) hasPeerReachedStore(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, other := range p.byHost {
		if now.Sub(other.lastHeardAt) < baseSilenceTimeout && now.Sub(other.storeRespondedAt) < storeContactTimeout {
			return true
		}
	}

	return false
}

// lastStoreResponse returns when the store last responded to a peer.
func (p *peerTable) lastStoreResponse() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	var last time.Time
	for _, other := range p.byHost {
		if other.storeRespondedAt.After(last) {
			last = other.storeRespondedAt
		}
	}

	return last
}

// liveHostShare returns the fraction of the known hosts that are live, this host included. The others may admit
// requests on their own share of a rate, unless they have left.
func (p *peerTable) liveHostShare(now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	liveHosts, knownHosts := 1, 1
	limit := p.silenceTimeout()
	for _, other := range p.byHost {
		silentFor := now.Sub(laterOf(other.lastHeardAt, other.listedAt))
		if silentFor > forgetPeerAfter || other.hasLeft {
			continue
		}
		knownHosts++
		if silentFor <= limit {
			liveHosts++
		}
	}

	return float64(liveHosts) / float64(knownHosts)
}

// scaleInterval lengthens a polling interval with the number of hosts, which bounds the total rate of calls to the
// store.
func (p *peerTable) scaleInterval(pause time.Duration) time.Duration {
	const hostsPerScaleStep = 16

	return pause * time.Duration(max(1, min(maxIntervalScale, p.hostCount()/hostsPerScaleStep)))
}

// maxIntervalScale bounds the scale, since hosts must learn soon what changes.
const maxIntervalScale = 6

// livePeers returns the addresses of the peers that are heard, or were listed too recently to be expected to have been
// heard.
func (p *peerTable) livePeers(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var members []string
	limit := p.silenceTimeout()
	for _, other := range p.byHost {
		if now.Sub(laterOf(other.lastHeardAt, other.listedAt)) <= limit {
			members = append(members, other.PeerAddress)
		}
	}

	return members
}

// listedPeers returns the addresses of the peers that have not left, silent ones included until they are forgotten.
func (p *peerTable) listedPeers(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var members []string
	for _, other := range p.byHost {
		if !other.hasLeft && now.Sub(laterOf(other.lastHeardAt, other.listedAt)) <= forgetPeerAfter {
			members = append(members, other.PeerAddress)
		}
	}

	return members
}

// stayingPeers returns the addresses of the live peers that are not draining.
func (p *peerTable) stayingPeers(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var members []string
	limit := p.silenceTimeout()
	for _, other := range p.byHost {
		isStopping := other.isDraining || other.hasLeft || other.isEvicted
		if !isStopping && now.Sub(laterOf(other.lastHeardAt, other.listedAt)) <= limit {
			members = append(members, other.PeerAddress)
		}
	}

	return members
}

// hasStayingPeerSince reports whether a peer that is not draining has been heard at a time or later.
func (p *peerTable) hasStayingPeerSince(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, other := range p.byHost {
		if !other.isDraining && !other.hasLeft && !other.lastHeardAt.Before(since) {
			return true
		}
	}

	return false
}

// isHostListRead reports whether the list of hosts has been read, so that hostCount is known.
func (p *peerTable) isHostListRead() bool {
	select {
	case <-p.hostListRead:
		return true
	default:
		return false
	}
}

// hostCount returns the number of known hosts, including this one.
func (p *peerTable) hostCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()

	return len(p.byHost) + 1
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}

// triggerRenewal makes the renewal loop renew the membership at once, since slots may have become free.
func (c *Cluster) triggerRenewal() {
	select {
	case c.renewSignal <- struct{}{}:
	default:
	}
}

// ScaleInterval lengthens a polling interval with the number of hosts, which bounds the total rate of calls to the
// store.
func (c *Cluster) ScaleInterval(pause time.Duration) time.Duration {
	return c.peers.scaleInterval(pause)
}
