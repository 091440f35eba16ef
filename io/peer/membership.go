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
	"cardamomward/io/platformclient"
)

const (
	// heartbeatInterval is the pause between two rounds of heartbeats to all hosts.
	heartbeatInterval = 400 * time.Millisecond
	// heartbeatTimeout bounds one heartbeat and one read of the platform's list.
	heartbeatTimeout = time.Second
	// hostListInterval is the interval of reads of the platform's list.
	hostListInterval = time.Second
)

// Member is the state of another host as this host knows it.
type Member struct {
	platformclient.HostEntry

	// LastHeartbeat is the arrival time of the last heartbeat at the member's present address; zero means never.
	LastHeartbeat time.Time `json:"heard"`
	// FirstListedAt is the time of this host's first read of the member from the platform's list.
	FirstListedAt time.Time `json:"first-listed"`
	// AnnouncedLeaving is set if the member's last heartbeat said that it is leaving, which the list may not show yet.
	AnnouncedLeaving bool        `json:"says-leaving"`
	SettingsVersion  id.Position `json:"settings-version"`
	// ControlNextOffset is the offset up to which the member has read the control stream.
	ControlNextOffset id.Offset `json:"control-next"`
	RunningCalls      int64     `json:"running"`
}

// Membership tracks the hosts in the platform's list and exchanges heartbeats with them.
type Membership struct {
	// LocalHeartbeat returns the heartbeat of this host.
	LocalHeartbeat func() *peerpb.HeartbeatRequest
	// HostList reads the platform's list of hosts.
	HostList   *platformclient.HostListClient
	HTTPClient *http.Client
	Logger     logr.Logger

	mu        sync.Mutex
	startedAt time.Time
	members   map[id.Host]*Member
	clients   map[string]*Client
}

// Run reads the platform's list and sends heartbeats until ctx ends.
func (m *Membership) Run(ctx context.Context) {
	m.mu.Lock()
	m.startedAt = time.Now()
	m.mu.Unlock()
	var listedAt time.Time
	for ctx.Err() == nil {
		if now := time.Now(); now.Sub(listedAt) >= hostListInterval {
			m.refreshHostList(ctx, now)
			listedAt = now
		}
		m.sendHeartbeats(ctx)
		sleepContext(ctx, heartbeatInterval)
	}
}

func (m *Membership) refreshHostList(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	hosts, err := m.HostList.List(ctx)
	if err != nil {
		m.Logger.V(1).Info("host-list-failed", "error", err)

		return
	}
	m.UpdateHostList(hosts, now)
}

// UpdateHostList applies a new list of hosts. A host that is not in it is removed once its last heartbeat is older than
// slotassignment.SilenceTimeout.
func (m *Membership) UpdateHostList(hosts []platformclient.HostEntry, now time.Time) {
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
			member = &Member{FirstListedAt: now}
			m.members[host.Host] = member
		}
		if member.PeerAddress != host.PeerAddress {
			member.LastHeartbeat = time.Time{}
		}
		member.HostEntry = host
	}
	for hostID, member := range m.members {
		if !listed[hostID] && now.Sub(member.LastHeartbeat) >= slotassignment.SilenceTimeout {
			delete(m.members, hostID)
		}
	}
}

func (m *Membership) sendHeartbeats(ctx context.Context) {
	self := m.LocalHeartbeat()
	var group sync.WaitGroup
	for _, member := range m.ListMembers() {
		if member.Host == id.Host(self.GetHost()) {
			continue
		}
		group.Go(func() { m.sendHeartbeat(ctx, member, self) })
	}
	group.Wait()
}

func (m *Membership) sendHeartbeat(ctx context.Context, member Member, self *peerpb.HeartbeatRequest) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	trafficCounters.Add(metricHeartbeatsSent, 1)
	resp, err := m.Client(member.PeerAddress).Peer.Heartbeat(ctx, self)
	if err != nil || resp.GetHost() != string(member.Host) {
		trafficCounters.Add(metricHeartbeatsUnanswered, 1)

		return
	}
	m.RecordHeartbeat(&peerpb.HeartbeatRequest{
		Host:            resp.GetHost(),
		Leaving:         resp.GetLeaving(),
		SettingsVersion: resp.GetSettingsVersion(),
		ControlNext:     resp.GetControlNext(),
		Running:         resp.GetRunning(),
	}, time.Now())
}

// RecordHeartbeat records a heartbeat of another host; it ignores hosts that are not members.
func (m *Membership) RecordHeartbeat(heartbeat *peerpb.HeartbeatRequest, now time.Time) {
	trafficCounters.Add(metricHeartbeatsReceived, 1)
	m.mu.Lock()
	defer m.mu.Unlock()
	member, ok := m.members[id.Host(heartbeat.GetHost())]
	if !ok {
		return
	}
	member.LastHeartbeat = now
	member.AnnouncedLeaving = heartbeat.GetLeaving()
	member.SettingsVersion = id.Position(heartbeat.GetSettingsVersion())
	member.ControlNextOffset = id.Offset(heartbeat.GetControlNext())
	member.RunningCalls = heartbeat.GetRunning()
}

// ListMembers returns all members, sorted by host, this host among them if it is listed.
func (m *Membership) ListMembers() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([]Member, 0, len(m.members))
	for _, member := range m.members {
		all = append(all, *member)
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Host, b.Host) })

	return all
}

// LiveHosts returns the sorted hosts that have sent a heartbeat within slotassignment.SilenceTimeout and are not
// leaving. This host is not among them.
func (m *Membership) LiveHosts(now time.Time) []id.Host {
	var live []id.Host
	for _, member := range m.ListMembers() {
		if now.Sub(member.LastHeartbeat) < slotassignment.SilenceTimeout && !member.Leaving && !member.AnnouncedLeaving {
			live = append(live, member.Host)
		}
	}

	return live
}

// ListedHostCount returns the number of listed hosts that are not leaving, including this host.
func (m *Membership) ListedHostCount() int {
	count := 0
	for _, member := range m.ListMembers() {
		if !member.Leaving && !member.AnnouncedLeaving {
			count++
		}
	}

	return count
}

// TimeSinceHeartbeat returns the time since the last heartbeat of a host. Without a heartbeat it counts from when the
// host was first listed, and for an unlisted host from the start of this process.
func (m *Membership) TimeSinceHeartbeat(host id.Host, now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	member, ok := m.members[host]
	switch {
	case !ok:
		return now.Sub(m.startedAt)
	case member.LastHeartbeat.Before(member.FirstListedAt):
		return now.Sub(member.FirstListedAt)
	default:
		return now.Sub(member.LastHeartbeat)
	}
}

// GetMember returns a member and whether it exists.
func (m *Membership) GetMember(host id.Host) (Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	member, ok := m.members[host]
	if !ok {
		return Member{}, false
	}

	return *member, true
}

// Client returns the client of a peer address, which is created on first use.
func (m *Membership) Client(address string) *Client {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.clients == nil {
		m.clients = make(map[string]*Client)
	}
	client, ok := m.clients[address]
	if !ok {
		client = NewClient(address, m.HTTPClient)
		m.clients[address] = client
	}

	return client
}

func sleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
