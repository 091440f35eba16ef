package cluster

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"cardamomward/core/fairshare"
	"cardamomward/core/id"
	"cardamomward/core/overload"
	"cardamomward/io/fleet/fleetpb"
)

const (
	// maxReportedWorkspaces and maxReportedServices bound a host's report; the largest loads are reported.
	maxReportedWorkspaces = 64
	maxReportedServices   = 16
	// maxReportAge is how long a report counts. At each moment a host has such reports of a random part of the other hosts, whose
	// loads are taken for those of all.
	maxReportAge = 3 * time.Second
	// reportBytesPerSecond bounds what a host sends of reports to all recipients; the interval of reports grows with their size.
	reportBytesPerSecond = 8 << 10
	// largeClusterPeers is the number of peers beyond which heartbeats are bounded by bytes, and reports are rarer and count for longer:
	// with 830 hosts, the heartbeats need most of the 28 KB/s that a host may spend on control.
	largeClusterPeers           = 300
	maxReportAgeInLarge         = 10 * time.Second
	reportBytesPerSecondInLarge = 1 << 10
)

// reportLimits returns how long reports count and how many bytes a second they may take, with a number of peers.
func reportLimits(peers int) (maxAge time.Duration, bytesPerSecond int) {
	if peers > largeClusterPeers {
		return maxReportAgeInLarge, reportBytesPerSecondInLarge
	}

	return maxReportAge, reportBytesPerSecond
}

// workspaceService is a workspace at a service.
type workspaceService struct {
	workspace id.Workspace
	service   id.Service
}

// workspaceReport holds the latest report of a peer: its requests by workspace and the rate of program starts.
type workspaceReport struct {
	receivedAt time.Time
	running    map[workspaceService]int
	// startsPerSecond is the rate of first turns by service, admitted and refused ones.
	startsPerSecond map[id.Service]float64
}

// programStarts are the rates of first turns that this host receives for a service.
type programStarts struct {
	admitted overload.Rate
	refused  overload.Rate
}

// workspaceLoads holds the requests of workspaces at this host and what peers report of theirs.
type workspaceLoads struct {
	// isEnabled is set while this host reports its own.
	isEnabled atomic.Bool

	mu           sync.Mutex
	running      map[workspaceService]int
	starts       map[id.Service]*programStarts
	reports      map[id.Host]*workspaceReport
	nextReportAt time.Time
}

// ReportWorkspaceLoads makes the heartbeats report the loads of workspaces, for admission under overload.
func (c *Cluster) ReportWorkspaceLoads() { c.workspaces.isEnabled.Store(true) }

// AddWorkspaceRequests adds to this host's running requests of a workspace at a service.
func (c *Cluster) AddWorkspaceRequests(workspace id.Workspace, service id.Service, delta int) {
	w := &c.workspaces
	key := workspaceService{workspace, service}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running == nil {
		w.running = make(map[workspaceService]int)
	}
	if w.running[key] += delta; w.running[key] <= 0 {
		delete(w.running, key)
	}
}

// RecordProgramStart counts the first turn of a program that this host has admitted or refused.
func (c *Cluster) RecordProgramStart(service id.Service, isAdmitted bool) {
	now := c.Now()
	w := &c.workspaces
	w.mu.Lock()
	defer w.mu.Unlock()
	starts, ok := w.starts[service]
	if !ok {
		if w.starts == nil {
			w.starts = make(map[id.Service]*programStarts)
		}
		starts = &programStarts{}
		w.starts[service] = starts
	}
	if isAdmitted {
		starts.admitted.Add(now)
	} else {
		starts.refused.Add(now)
	}
}

// ServiceLoad returns the rate of first turns of a service and the loads of its workspaces over all hosts, and the mean age of
// the loads of live peers.
func (c *Cluster) ServiceLoad(service id.Service) overload.View {
	now := c.Now()
	age, peers := c.peers.viewAge(now)
	maxAge, _ := reportLimits(peers)
	w := &c.workspaces
	w.mu.Lock()
	defer w.mu.Unlock()
	startsPerSecond, reporting := 0.0, 1
	if starts, ok := w.starts[service]; ok {
		startsPerSecond = starts.admitted.PerSecond(now) + starts.refused.PerSecond(now)
	}
	used := make(map[id.Workspace]int)
	addRunning := func(running map[workspaceService]int) {
		for key, requests := range running {
			if key.service == service {
				used[key.workspace] += requests
			}
		}
	}
	addRunning(w.running)
	for _, report := range w.reports {
		if now.Sub(report.receivedAt) > maxAge {
			continue
		}
		reporting++
		startsPerSecond += report.startsPerSecond[service]
		addRunning(report.running)
	}
	view := overload.View{Age: age, StartsPerSecond: startsPerSecond * float64(max(reporting, peers+1)) / float64(reporting)}
	for workspace, requests := range used {
		view.Workspaces = append(view.Workspaces, fairshare.Load{Workspace: workspace, Used: float64(requests)})
	}

	return view
}

// viewAge returns the mean age of the loads of live peers, and their number.
func (p *peerTable) viewAge(now time.Time) (age time.Duration, peers int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := p.silenceTimeout()
	for _, other := range p.byHost {
		if now.Sub(other.lastHeardAt) <= limit {
			age += min(limit, now.Sub(other.loadsHeardAt))
			peers++
		}
	}

	return age / time.Duration(max(1, peers)), peers
}

// maxReportRate returns how many bytes a second this host's reports may take, with a number of peers.
func (w *workspaceLoads) maxReportRate(peers int) int {
	if !w.isEnabled.Load() {
		return 0
	}
	_, bytesPerSecond := reportLimits(peers)

	return bytesPerSecond
}

// addTo adds this host's report to a heartbeat if one is due. A report that would make the heartbeat too large is shortened.
func (w *workspaceLoads) addTo(heartbeat *fleetpb.Beat, now time.Time, recipients, peers int) {
	if !w.isEnabled.Load() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Before(w.nextReportAt) {
		return
	}
	sizeBefore := proto.Size(heartbeat)
	heartbeat.Workspaces, heartbeat.Demands = w.largestLoads(), w.encodeStarts(now)
	for proto.Size(heartbeat) > maxHeartbeatBytes && len(heartbeat.Workspaces) > 0 {
		heartbeat.Workspaces = heartbeat.Workspaces[:len(heartbeat.Workspaces)/2]
	}
	sentBytes := (proto.Size(heartbeat) - sizeBefore) * recipients
	_, bytesPerSecond := reportLimits(peers)
	w.nextReportAt = now.Add(time.Duration(sentBytes) * time.Second / time.Duration(bytesPerSecond))
}

// largestLoads returns the largest loads of workspaces; the caller holds the lock.
func (w *workspaceLoads) largestLoads() []*fleetpb.WorkspaceLoad {
	loads := make([]*fleetpb.WorkspaceLoad, 0, len(w.running))
	for key, requests := range w.running {
		loads = append(loads, &fleetpb.WorkspaceLoad{Workspace: string(key.workspace), Service: string(key.service), Running: int32(requests)})
	}
	slices.SortFunc(loads, func(a, b *fleetpb.WorkspaceLoad) int {
		return cmp.Or(cmp.Compare(b.Running, a.Running), cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Service, b.Service))
	})

	return loads[:min(len(loads), maxReportedWorkspaces)]
}

// encodeStarts returns the rates of first turns by service. A service stays listed once it has had one, so that a report of a
// host without requests replaces the one before. The caller holds the lock.
func (w *workspaceLoads) encodeStarts(now time.Time) []*fleetpb.ServiceDemand {
	demands := make([]*fleetpb.ServiceDemand, 0, len(w.starts))
	for service, starts := range w.starts {
		demands = append(demands, &fleetpb.ServiceDemand{
			Service: string(service), Admitted: starts.admitted.PerSecond(now), Refused: starts.refused.PerSecond(now),
		})
	}
	slices.SortFunc(demands, func(a, b *fleetpb.ServiceDemand) int {
		return cmp.Or(cmp.Compare(b.Admitted+b.Refused, a.Admitted+a.Refused), cmp.Compare(a.Service, b.Service))
	})

	return demands[:min(len(demands), maxReportedServices)]
}

// recordReport replaces the report of a peer if a heartbeat contains one.
func (w *workspaceLoads) recordReport(now time.Time, heartbeat *fleetpb.Beat) {
	if len(heartbeat.Workspaces) == 0 && len(heartbeat.Demands) == 0 {
		return
	}
	report := &workspaceReport{
		receivedAt: now, running: make(map[workspaceService]int, len(heartbeat.Workspaces)),
		startsPerSecond: make(map[id.Service]float64, len(heartbeat.Demands)),
	}
	for _, load := range heartbeat.Workspaces {
		report.running[workspaceService{id.Workspace(load.Workspace), id.Service(load.Service)}] += max(0, int(load.Running))
	}
	for _, demand := range heartbeat.Demands {
		report.startsPerSecond[id.Service(demand.Service)] = reportedRate(demand.Admitted) + reportedRate(demand.Refused)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.reports == nil {
		w.reports = make(map[id.Host]*workspaceReport)
	}
	w.reports[id.Host(heartbeat.Host)] = report
}

// removeExpired removes reports that do not count any more.
func (w *workspaceLoads) removeExpired(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for host, report := range w.reports {
		if now.Sub(report.receivedAt) > maxReportAgeInLarge {
			delete(w.reports, host)
		}
	}
}
