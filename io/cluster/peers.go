package cluster

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"cardamomward/core/affinity"
	"cardamomward/core/endpoints"
	"cardamomward/core/id"
	"cardamomward/io/follow"
	"cardamomward/platform"
)

const (
	// hostTopicName lists the hosts, by name.
	hostTopicName = "hosts"
	// heartbeatInterval is how often beats are sent.
	heartbeatInterval = 100 * time.Millisecond
	// heartbeatFanout bounds the peers that get a beat at one time; larger fleets take turns.
	heartbeatFanout = 16
	// baseSilenceTimeout is how long a peer may be silent in a fleet of up to beatFanout hosts.
	baseSilenceTimeout = time.Second
	// forgetPeerAfter is how long a silent peer stays in the count of the hosts.
	forgetPeerAfter = 15 * time.Second
	// announceInterval is how often this host's entry is written again.
	announceInterval = 10 * time.Second
	// hostListReadInterval paces the reads of the list of hosts.
	hostListReadInterval = 200 * time.Millisecond
	// heartbeatsPerOwnerList is in how many beats the owners are told.
	heartbeatsPerOwnerList = 8
	// maxHeartbeatBytes bounds a beat, in bytes.
	maxHeartbeatBytes = 8 << 10
)

// hostEntry is a host's entry in the list of hosts.
type hostEntry struct {
	CallerAddress string           `json:"callers"`
	PeerAddress   string           `json:"peer"`
	FailureDomain id.FailureDomain `json:"failure-domain"`
	CPUShare      float64          `json:"cpu-share"`
}

type peer struct {
	hostEntry

	udpAddr      *net.UDPAddr
	listedAt     time.Time
	lastHeardAt  time.Time
	lastSequence uint64
	isDraining   bool
	hasLeft      bool
	// isEvicted is set where the peer was taken out of the group since it was last heard.
	isEvicted bool
	// hasBeenMember is set where the peer's process has been a member of the group.
	hasBeenMember bool
	// storeRespondedAt is when the store answered the peer, by this host's clock.
	storeRespondedAt time.Time
	runningRequests  map[id.Upstream]int
}

// peerTable knows the other hosts.
type peerTable struct {
	cluster   *Cluster
	startedAt time.Time

	// hostListRead is closed when the list of hosts has been read once.
	hostListRead     chan struct{}
	hostListReadOnce sync.Once

	mu         sync.Mutex
	selfEntry  hostEntry
	isDraining bool
	hasLeft    bool
	sequence   uint64
	// lastTickAt is when the last beat was sent, and resumed when this process last went on after a pause.
	lastTickAt time.Time
	resumedAt  time.Time
	// ownerSince is since when this host owns slots; it is zero while it owns none.
	ownerSince time.Time
	// gossipedEvictions are the members that this host has taken out, told until a time.
	gossipedEvictions map[string]time.Time
	byHost            map[id.Host]*peer
	localRequests     map[id.Upstream]int
	remoteRequests    map[id.Upstream]int
	cachedParts       affinity.CacheIndex
	gossipedReads     []gossipedRead
}

func newPeerTable(c *Cluster) *peerTable {
	return &peerTable{
		cluster: c, startedAt: c.Now(), byHost: make(map[id.Host]*peer),
		selfEntry: hostEntry{
			CallerAddress: c.Settings.Callers, PeerAddress: c.self, FailureDomain: c.Settings.FailureDomain, CPUShare: c.Settings.CPUShare,
		},
		gossipedEvictions: make(map[string]time.Time),
		hostListRead:      make(chan struct{}), localRequests: make(map[id.Upstream]int), remoteRequests: make(map[id.Upstream]int),
	}
}

// run exchanges beats and follows the list of hosts until ctx ends.
func (p *peerTable) run(ctx context.Context, conn net.PacketConn) {
	follower := &follow.Follower{
		Store: p.cluster.Store, Logger: p.cluster.Logger, Now: p.cluster.Now, Pause: hostListReadInterval, Stretch: p.scaleInterval,
		Partition: platform.Partition{Topic: platform.KeyedTopic(hostTopicName)},
		Apply:     p.applyRecord, Retain: p.markHostListRead,
		Answered: func(time.Duration) { p.cluster.RecordStoreResponse() },
	}
	var wg sync.WaitGroup
	wg.Go(func() { follower.Run(ctx) })
	wg.Go(func() { p.announceLoop(ctx) })
	wg.Go(func() { p.receiveHeartbeats(conn) })
	wg.Go(func() { p.heartbeatLoop(ctx, conn) })
	wg.Wait()
}

func (p *peerTable) applyRecord(record platform.Record) {
	host := id.Host(record.Key)
	if host == p.cluster.Settings.Name {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(record.Value) == 0 {
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
	existing, ok := p.byHost[host]
	if !ok || existing.PeerAddress != entry.PeerAddress {
		p.byHost[host] = &peer{hostEntry: entry, udpAddr: addr, listedAt: p.cluster.Now()}
		p.logNewHost(host, entry)
	}
}

// logNewHost tells of a host that came later than the first list; the caller holds the lock.
func (p *peerTable) logNewHost(host id.Host, entry hostEntry) {
	select {
	case <-p.hostListRead:
		p.cluster.Logger.Info("host-listed", "peer", host, "address", entry.PeerAddress)
	default:
	}
}

// markHostListRead notes that the list of hosts has been read once.
func (p *peerTable) markHostListRead(map[string]struct{}) {
	p.hostListReadOnce.Do(func() {
		close(p.hostListRead)
		p.cluster.Logger.Info("hosts-listed", "hosts", p.hostCount())
	})
}

// announceLoop writes this host's entry.
func (p *peerTable) announceLoop(ctx context.Context) {
	for ctx.Err() == nil && !p.cluster.isLeaving.Load() {
		value, err := json.Marshal(p.selfEntry)
		if err != nil {
			p.cluster.Logger.Error(err, "announcement-failed")

			return
		}
		if p.writeEntry(ctx, value) {
			follow.Sleep(ctx, announceInterval)
		} else {
			follow.Sleep(ctx, renewInterval)
		}
	}
}

// withdrawEntry deletes this host's entry.
func (p *peerTable) withdrawEntry(ctx context.Context) {
	for ctx.Err() == nil && !p.writeEntry(ctx, nil) {
		follow.Sleep(ctx, renewInterval)
	}
}

func (p *peerTable) writeEntry(ctx context.Context, value []byte) bool {
	err := p.cluster.callStore(ctx, func(ctx context.Context) error {
		_, err := p.cluster.store.Append(ctx, platform.Append{
			Partition: platform.Partition{Topic: platform.KeyedTopic(hostTopicName)},
			Records:   []platform.Record{{Key: string(p.cluster.Settings.Name), Value: value}},
		})

		return err
	})
	if err != nil {
		p.cluster.Logger.V(1).Info("announcement-failed", "error", err)
	}

	return err == nil
}

// setLeft tells peers that this host's slots are free.
func (p *peerTable) setLeft() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hasLeft = true
}

func (p *peerTable) setDraining() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isDraining = true
}

// silenceTimeout is how long a peer may be silent, given how many take turns; the caller holds the lock.
func (p *peerTable) silenceTimeout() time.Duration {
	rounds := (len(p.byHost) + heartbeatFanout - 1) / heartbeatFanout

	return baseSilenceTimeout * time.Duration(max(1, rounds))
}

// sumRemoteRequests adds up what runs at upstreams for the peers that are heard; the caller holds the lock.
func (p *peerTable) sumRemoteRequests(now time.Time) {
	clear(p.remoteRequests)
	limit := p.silenceTimeout()
	for _, other := range p.byHost {
		if now.Sub(other.lastHeardAt) > limit {
			continue
		}
		for upstream, running := range other.runningRequests {
			p.remoteRequests[upstream] += running
		}
	}
}

// hasPeerReachedStore reports whether the store has answered a peer that is heard.
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

// liveHostShare is the part of the known hosts that this host hears, itself included: the others may admit requests on
// their own share of a rate.
func (p *peerTable) liveHostShare(now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	liveHosts, knownHosts := 1, 1
	limit := p.silenceTimeout()
	for _, other := range p.byHost {
		silentFor := now.Sub(laterOf(other.lastHeardAt, other.listedAt))
		if silentFor > forgetPeerAfter {
			continue
		}
		knownHosts++
		if silentFor <= limit {
			liveHosts++
		}
	}

	return float64(liveHosts) / float64(knownHosts)
}

// scaleInterval stretches a pause with the fleet, so that all hosts together call the store no more often.
func (p *peerTable) scaleInterval(pause time.Duration) time.Duration {
	const hostsPerScaleStep = 16

	return pause * time.Duration(max(1, min(maxIntervalScale, p.hostCount()/hostsPerScaleStep)))
}

// maxIntervalScale bounds how much pauses are stretched, since an upstream that drains must be known in time.
const maxIntervalScale = 4

// livePeers returns the addresses of the peers that are heard, or that may not have had the time to be.
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

// hostCount returns how many hosts there are, this one included.
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

// CallerAddresses returns where callers may connect, at most so many.
func (c *Cluster) CallerAddresses(now time.Time, maxAddresses int) []string {
	isolated := c.IsIsolated(now)
	p := c.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	hosts := make([]endpoints.Host, 0, len(p.byHost)+1)
	limit := p.silenceTimeout() / 2
	for _, other := range p.byHost {
		if !other.isDraining && (isolated || (!other.isEvicted && now.Sub(other.lastHeardAt) <= limit)) {
			hosts = append(hosts, endpoints.Host{Address: other.CallerAddress, CPUCores: other.CPUShare})
		}
	}
	if !p.isDraining && !isolated && c.HasConfig() {
		hosts = append(hosts, endpoints.Host{Address: p.selfEntry.CallerAddress, CPUCores: p.selfEntry.CPUShare})
	}

	return endpoints.SelectAddresses(hosts, maxAddresses, rand.Uint64())
}

// triggerRenewal lets the renewal follow at once, since slots may have become free.
func (c *Cluster) triggerRenewal() {
	select {
	case c.renewSignal <- struct{}{}:
	default:
	}
}

// ScaleInterval stretches a pause with the fleet.
func (c *Cluster) ScaleInterval(pause time.Duration) time.Duration {
	return c.peers.scaleInterval(pause)
}
