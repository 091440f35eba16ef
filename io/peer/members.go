package peer

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"cardamomward/core/id"
	"cardamomward/core/slotassignment"
	"cardamomward/io/peer/peerpb"
	"cardamomward/io/platform"
)

const (
	// beatInterval is how often each host is asked for a heartbeat.
	beatInterval = 400 * time.Millisecond
	// beatTimeout bounds one heartbeat.
	beatTimeout = time.Second
	// listInterval is how often the platform's list is read.
	listInterval = time.Second
)

// Member is what this host knows of another.
type Member struct {
	platform.HostEntry

	Heard           time.Time   `json:"heard"`
	FirstListed     time.Time   `json:"first-listed"`
	SaysLeaving     bool        `json:"says-leaving"`
	SettingsVersion id.Position `json:"settings-version"`
	ControlNext     id.Offset   `json:"control-next"`
	Running         int64       `json:"running"`
}

// Members keeps the other hosts and when each was last heard.
type Members struct {
	// Self answers for this host.
	Self func() *peerpb.HeartbeatRequest
	// Hosts is the platform's list.
	Hosts  *platform.HostsClient
	HTTP   *http.Client
	Logger logr.Logger

	mu      sync.Mutex
	started time.Time
	members map[id.Host]*Member
	remotes map[string]*Remote
}

// Run reads the platform's list and exchanges heartbeats until ctx ends.
func (m *Members) Run(ctx context.Context) {
	m.mu.Lock()
	m.started = time.Now()
	m.mu.Unlock()
	var listed time.Time
	for ctx.Err() == nil {
		if now := time.Now(); now.Sub(listed) >= listInterval {
			m.refresh(ctx, now)
			listed = now
		}
		m.beatAll(ctx)
		pause(ctx, beatInterval)
	}
}

func (m *Members) refresh(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	hosts, err := m.Hosts.List(ctx)
	if err != nil {
		m.Logger.V(1).Info("host-list-failed", "error", err)

		return
	}
	m.Update(hosts, now)
}

// Update replaces the list of hosts; hosts that it lacks are forgotten once silent.
func (m *Members) Update(hosts []platform.HostEntry, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.members == nil {
		m.members = make(map[id.Host]*Member)
	}
	listed := make(map[id.Host]bool, len(hosts))
	for _, host := range hosts {
		listed[host.Host] = true
		member, ok := m.members[host.Host]
		if !ok {
			member = &Member{FirstListed: now}
			m.members[host.Host] = member
		}
		if member.Peer != host.Peer {
			member.Heard = time.Time{}
		}
		member.HostEntry = host
	}
	for name, member := range m.members {
		if !listed[name] && now.Sub(member.Heard) >= slotassignment.SilenceTimeout {
			delete(m.members, name)
		}
	}
}

func (m *Members) beatAll(ctx context.Context) {
	self := m.Self()
	var group sync.WaitGroup
	for _, member := range m.All() {
		if member.Host == id.Host(self.GetHost()) {
			continue
		}
		group.Go(func() { m.beat(ctx, member, self) })
	}
	group.Wait()
}

func (m *Members) beat(ctx context.Context, member Member, self *peerpb.HeartbeatRequest) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	traffic.Add(metricHeartbeatsSent, 1)
	resp, err := m.Remote(member.Peer).Peer.Heartbeat(ctx, self)
	if err != nil || resp.GetHost() != string(member.Host) {
		traffic.Add(metricHeartbeatsUnheard, 1)

		return
	}
	m.Heard(&peerpb.HeartbeatRequest{
		Host:            resp.GetHost(),
		Leaving:         resp.GetLeaving(),
		SettingsVersion: resp.GetSettingsVersion(),
		ControlNext:     resp.GetControlNext(),
		Running:         resp.GetRunning(),
	}, time.Now())
}

// Heard notes a heartbeat of another host.
func (m *Members) Heard(beat *peerpb.HeartbeatRequest, now time.Time) {
	traffic.Add(metricHeartbeatsReceived, 1)
	m.mu.Lock()
	defer m.mu.Unlock()
	member, ok := m.members[id.Host(beat.GetHost())]
	if !ok {
		return
	}
	member.Heard = now
	member.SaysLeaving = beat.GetLeaving()
	member.SettingsVersion = id.Position(beat.GetSettingsVersion())
	member.ControlNext = id.Offset(beat.GetControlNext())
	member.Running = beat.GetRunning()
}

// All returns what is known of all hosts, by name.
func (m *Members) All() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([]Member, 0, len(m.members))
	for _, member := range m.members {
		all = append(all, *member)
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Host, b.Host) })

	return all
}

// Live returns the hosts that were heard lately and are not leaving, sorted, without this host.
func (m *Members) Live(now time.Time) []id.Host {
	var live []id.Host
	for _, member := range m.All() {
		if now.Sub(member.Heard) < slotassignment.SilenceTimeout && !member.Leaving && !member.SaysLeaving {
			live = append(live, member.Host)
		}
	}

	return live
}

// Listed returns how many hosts the platform's list shows that are not leaving, this host among them.
func (m *Members) Listed() int {
	listed := 0
	for _, member := range m.All() {
		if !member.Leaving && !member.SaysLeaving {
			listed++
		}
	}

	return listed
}

// Silence returns how long nothing was heard from a host.
func (m *Members) Silence(host id.Host, now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	member, ok := m.members[host]
	switch {
	case !ok:
		return now.Sub(m.started)
	case member.Heard.Before(member.FirstListed):
		return now.Sub(member.FirstListed)
	default:
		return now.Sub(member.Heard)
	}
}

// Get returns what is known of a host.
func (m *Members) Get(host id.Host) (Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	member, ok := m.members[host]
	if !ok {
		return Member{}, false
	}

	return *member, true
}

// Remote returns the client for a peer address.
func (m *Members) Remote(address string) *Remote {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.remotes == nil {
		m.remotes = make(map[string]*Remote)
	}
	remote, ok := m.remotes[address]
	if !ok {
		remote = NewRemote(address, m.HTTP)
		m.remotes[address] = remote
	}

	return remote
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
