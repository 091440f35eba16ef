package fleet

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
	"cardamomward/io/topicconsumer"
	"cardamomward/platform"
)

const (
	// hostTopic lists the hosts, by name.
	hostTopic = "hosts"
	// beatInterval is how often beats are sent.
	beatInterval = 100 * time.Millisecond
	// beatFanout bounds the peers that get a beat at one time; larger fleets take turns.
	beatFanout = 16
	// silence is how long a peer may be silent in a fleet of up to beatFanout hosts.
	silence = time.Second
	// forgetAfter is how long a silent peer stays in the count of the hosts.
	forgetAfter = 15 * time.Second
	// announceInterval is how often this host's entry is written again.
	announceInterval = 10 * time.Second
	// hostPause paces the reads of the list of hosts.
	hostPause = 200 * time.Millisecond
	// ownersEvery is in how many beats the owners are told.
	ownersEvery = 8
	// maxDatagram bounds a beat, in bytes.
	maxDatagram = 8 << 10
)

// hostEntry is a host's entry in the list of hosts.
type hostEntry struct {
	Callers       string           `json:"callers"`
	Peer          string           `json:"peer"`
	FailureDomain id.FailureDomain `json:"failure-domain"`
	CPUShare      float64          `json:"cpu-share"`
}

type peer struct {
	hostEntry

	addr     *net.UDPAddr
	listed   time.Time
	heard    time.Time
	sequence uint64
	draining bool
	left     bool
	// evicted is set where the peer was taken out of the group since it was last heard.
	evicted bool
	// member is set where the peer's process has been a member of the group.
	member bool
	// storeSeen is when the store answered the peer, by this host's clock.
	storeSeen time.Time
	loads     map[id.Upstream]int
}

// peers knows the other hosts.
type peers struct {
	fleet   *Fleet
	started time.Time

	// listed is closed when the list of hosts has been read once.
	listed     chan struct{}
	listedOnce sync.Once

	mu       sync.Mutex
	self     hostEntry
	draining bool
	left     bool
	sequence uint64
	// ticked is when the last beat was sent, and resumed when this process last went on after a pause.
	ticked  time.Time
	resumed time.Time
	// ownerSince is since when this host owns slots; it is zero while it owns none.
	ownerSince time.Time
	// evicted are the members that this host has taken out, told until a time.
	evicted map[string]time.Time
	peers   map[id.Host]*peer
	running map[id.Upstream]int
	remote  map[id.Upstream]int
	parts   affinity.CacheIndex
	told    []toldPart
}

func newPeers(f *Fleet) *peers {
	return &peers{
		fleet: f, started: f.Now(), peers: make(map[id.Host]*peer),
		self: hostEntry{
			Callers: f.Settings.Callers, Peer: f.self, FailureDomain: f.Settings.FailureDomain, CPUShare: f.Settings.CPUShare,
		},
		evicted: make(map[string]time.Time),
		listed:  make(chan struct{}), running: make(map[id.Upstream]int), remote: make(map[id.Upstream]int),
	}
}

// run exchanges beats and follows the list of hosts until ctx ends.
func (p *peers) run(ctx context.Context, conn net.PacketConn) {
	list := &topicconsumer.Consumer{
		Store: p.fleet.Store, Logger: p.fleet.Logger, Now: p.fleet.Now, ReadPause: hostPause, ScalePause: p.scaled,
		Partition:   platform.Partition{Topic: platform.KeyedTopic(hostTopic)},
		ApplyRecord: p.apply, OnListed: p.listedAll,
		OnResponse: func(time.Duration) { p.fleet.NoteAnswer() },
	}
	var running sync.WaitGroup
	running.Go(func() { list.Run(ctx) })
	running.Go(func() { p.announceLoop(ctx) })
	running.Go(func() { p.receive(conn) })
	running.Go(func() { p.beatLoop(ctx, conn) })
	running.Wait()
}

func (p *peers) apply(record platform.Record) {
	host := id.Host(record.Key)
	if host == p.fleet.Settings.Name {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(record.Value) == 0 {
		delete(p.peers, host)
		p.fleet.Logger.Info("host-withdrawn", "peer", host)

		return
	}
	var entry hostEntry
	if err := json.Unmarshal(record.Value, &entry); err != nil {
		p.fleet.Logger.Error(err, "host-refused", "peer", host)

		return
	}
	addr, err := net.ResolveUDPAddr("udp4", entry.Peer)
	if err != nil {
		p.fleet.Logger.Error(err, "host-refused", "peer", host)

		return
	}
	known, ok := p.peers[host]
	if !ok || known.Peer != entry.Peer {
		p.peers[host] = &peer{hostEntry: entry, addr: addr, listed: p.fleet.Now()}
		p.logListed(host, entry)
	}
}

// logListed tells of a host that came later than the first list; the caller holds the lock.
func (p *peers) logListed(host id.Host, entry hostEntry) {
	select {
	case <-p.listed:
		p.fleet.Logger.Info("host-listed", "peer", host, "address", entry.Peer)
	default:
	}
}

// listedAll notes that the list of hosts has been read once.
func (p *peers) listedAll(map[string]struct{}) {
	p.listedOnce.Do(func() {
		close(p.listed)
		p.fleet.Logger.Info("hosts-listed", "hosts", p.known())
	})
}

// announceLoop writes this host's entry.
func (p *peers) announceLoop(ctx context.Context) {
	for ctx.Err() == nil && !p.fleet.leaving.Load() {
		value, err := json.Marshal(p.self)
		if err != nil {
			p.fleet.Logger.Error(err, "announcement-failed")

			return
		}
		if p.write(ctx, value) {
			topicconsumer.SleepContext(ctx, announceInterval)
		} else {
			topicconsumer.SleepContext(ctx, renewInterval)
		}
	}
}

// withdraw deletes this host's entry.
func (p *peers) withdraw(ctx context.Context) {
	for ctx.Err() == nil && !p.write(ctx, nil) {
		topicconsumer.SleepContext(ctx, renewInterval)
	}
}

func (p *peers) write(ctx context.Context, value []byte) bool {
	err := p.fleet.call(ctx, func(ctx context.Context) error {
		_, err := p.fleet.store.Append(ctx, platform.Append{
			Partition: platform.Partition{Topic: platform.KeyedTopic(hostTopic)},
			Records:   []platform.Record{{Key: string(p.fleet.Settings.Name), Value: value}},
		})

		return err
	})
	if err != nil {
		p.fleet.Logger.V(1).Info("announcement-failed", "error", err)
	}

	return err == nil
}

// setLeft tells peers that this host's slots are free.
func (p *peers) setLeft() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.left = true
}

func (p *peers) setDraining() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.draining = true
}

// silenceLimit is how long a peer may be silent, given how many take turns; the caller holds the lock.
func (p *peers) silenceLimit() time.Duration {
	rounds := (len(p.peers) + beatFanout - 1) / beatFanout

	return silence * time.Duration(max(1, rounds))
}

// sumLoads adds up what runs at upstreams for the peers that are heard; the caller holds the lock.
func (p *peers) sumLoads(now time.Time) {
	clear(p.remote)
	limit := p.silenceLimit()
	for _, other := range p.peers {
		if now.Sub(other.heard) > limit {
			continue
		}
		for upstream, running := range other.loads {
			p.remote[upstream] += running
		}
	}
}

// storeSeen reports whether the store has answered a peer that is heard.
func (p *peers) storeSeen(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, other := range p.peers {
		if now.Sub(other.heard) < silence && now.Sub(other.storeSeen) < contactLimit {
			return true
		}
	}

	return false
}

// heardShare is the part of the known hosts that this host hears, itself included: the others may admit requests on
// their own share of a rate.
func (p *peers) heardShare(now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	heard, known := 1, 1
	limit := p.silenceLimit()
	for _, other := range p.peers {
		quiet := now.Sub(latest(other.heard, other.listed))
		if quiet > forgetAfter {
			continue
		}
		known++
		if quiet <= limit {
			heard++
		}
	}

	return float64(heard) / float64(known)
}

// scaled stretches a pause with the fleet, so that all hosts together call the store no more often.
func (p *peers) scaled(pause time.Duration) time.Duration {
	const usual = 16

	return pause * time.Duration(max(1, min(maxScale, p.known()/usual)))
}

// maxScale bounds how much pauses are stretched, since an upstream that drains must be known in time.
const maxScale = 4

// live returns the addresses of the peers that are heard, or that may not have had the time to be.
func (p *peers) live(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var members []string
	limit := p.silenceLimit()
	for _, other := range p.peers {
		if now.Sub(latest(other.heard, other.listed)) <= limit {
			members = append(members, other.Peer)
		}
	}

	return members
}

// known returns how many hosts there are, this one included.
func (p *peers) known() int {
	p.mu.Lock()
	defer p.mu.Unlock()

	return len(p.peers) + 1
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}

// Addresses returns where callers may connect, at most so many.
func (f *Fleet) Addresses(now time.Time, most int) []string {
	cutOff := f.CutOff(now)
	p := f.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	hosts := make([]endpoints.Host, 0, len(p.peers)+1)
	limit := p.silenceLimit() / 2
	for _, other := range p.peers {
		if !other.draining && (cutOff || (!other.evicted && now.Sub(other.heard) <= limit)) {
			hosts = append(hosts, endpoints.Host{Address: other.Callers, CPUCores: other.CPUShare})
		}
	}
	if !p.draining && !cutOff && f.Configured() {
		hosts = append(hosts, endpoints.Host{Address: p.self.Callers, CPUCores: p.self.CPUShare})
	}

	return endpoints.SelectAddresses(hosts, most, rand.Uint64())
}

// noteFreed lets the renewal follow at once, since slots may have become free.
func (f *Fleet) noteFreed() {
	select {
	case f.freed <- struct{}{}:
	default:
	}
}

// Scaled stretches a pause with the fleet.
func (f *Fleet) Scaled(pause time.Duration) time.Duration { return f.peers.scaled(pause) }
