package daemon

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"cardamomward/core/apierror"
	"cardamomward/core/id"
	"cardamomward/core/projection"
	"cardamomward/io/caller"
	"cardamomward/io/operatorapi"
	"cardamomward/io/peer/peerpb"
	"cardamomward/io/platformclient"
)

// Heartbeat records another host's heartbeat and responds with this host's own.
func (h *Host) Heartbeat(_ context.Context, req *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	h.membership.RecordHeartbeat(req, time.Now())
	self := h.newHeartbeat()

	return &peerpb.HeartbeatResponse{
		Host:            self.GetHost(),
		Leaving:         self.GetLeaving(),
		SettingsVersion: self.GetSettingsVersion(),
		ControlNext:     self.GetControlNext(),
		Running:         self.GetRunning(),
		FailureDomain:   self.GetFailureDomain(),
	}, nil
}

// ReadControl returns cached control records to a host that cannot reach the log.
func (h *Host) ReadControl(_ context.Context, req *peerpb.ReadControlRequest) (*peerpb.ReadControlResponse, error) {
	page, err := h.controlLog.CachedEntries(id.Offset(req.GetFrom()), time.Now())
	if err != nil {
		return nil, err
	}
	resp := &peerpb.ReadControlResponse{Next: uint64(page.NextOffset), AgeMillis: platformclient.RoundUpToMillis(page.Age).Milliseconds()}
	for _, entry := range page.Entries {
		resp.Records = append(resp.Records, &peerpb.ControlRecord{Offset: uint64(entry.Offset), Data: entry.Data})
	}

	return resp, nil
}

// maxPeersAsked is the number of peers asked for control records in one read.
const maxPeersAsked = 3

// readControlFromPeers reads control records from a few random live peers and returns the newest page.
func (h *Host) readControlFromPeers(ctx context.Context, from id.Offset) (platformclient.LogPage, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	live := h.membership.LiveHosts(time.Now())
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	best := platformclient.LogPage{}
	found := false
	for _, name := range live[:min(len(live), maxPeersAsked)] {
		member, ok := h.membership.GetMember(name)
		if !ok {
			continue
		}
		requestedAt := time.Now()
		resp, err := h.membership.Client(member.PeerAddress).Peer.ReadControl(ctx, &peerpb.ReadControlRequest{From: uint64(from)})
		if err != nil {
			continue
		}
		page := toLogPage(resp, from, time.Since(requestedAt))
		if !found || page.Age < best.Age {
			best, found = page, true
		}
	}
	if !found {
		return platformclient.LogPage{}, apierror.New(apierror.LogUnavailable, "no peer returned control records").WithRetryAfter(noOwnerRetryAfter)
	}

	return best, nil
}

func toLogPage(resp *peerpb.ReadControlResponse, from id.Offset, elapsed time.Duration) platformclient.LogPage {
	page := platformclient.LogPage{
		FirstOffset: from,
		NextOffset:  id.Offset(resp.GetNext()),
		Age:         time.Duration(resp.GetAgeMillis())*time.Millisecond + elapsed,
	}
	for _, rec := range resp.GetRecords() {
		page.Entries = append(page.Entries, platformclient.LogEntry{Offset: id.Offset(rec.GetOffset()), Data: rec.GetData()})
	}

	return page
}

// maxDumpedPrograms bounds the programs in a dump.
const maxDumpedPrograms = 1000

// DumpState returns a dump of the host's state.
func (h *Host) DumpState(now time.Time) operatorapi.HostDump {
	_, version := h.control.Settings()
	dump := operatorapi.HostDump{
		Host:            h.config.Host,
		FailureDomain:   h.config.FailureDomain,
		Now:             now,
		Leaving:         h.leaving.Load(),
		SettingsVersion: version,
		Journals:        []platformclient.JournalStatus{h.control.Journal.Status(), h.programsJournal.Status()},
		OwnedSlots:      h.ownedSlotCount(),
		RunningCalls:    h.executor.RunningCallCount(),
		CallerRequests:  h.callerAPI.InflightRequestCount(),
		Members:         h.membership.ListMembers(),
	}
	for service, calls := range h.executor.Dispatcher.WaitingCallCounts() {
		dump.QueuedCalls = append(dump.QueuedCalls, operatorapi.QueuedCalls{Service: service, Calls: calls})
	}
	slices.SortFunc(dump.QueuedCalls, func(a, b operatorapi.QueuedCalls) int { return cmp.Compare(a.Service, b.Service) })
	for _, u := range h.enginePool.All() {
		dump.Upstreams = append(dump.Upstreams, u.Status())
	}
	h.programsJournal.View(func(state *projection.Programs) {
		state.ForEachProgram(func(p *projection.Program) bool {
			dump.Programs = append(dump.Programs, operatorapi.SummarizeProgram(state, p))

			return len(dump.Programs) < maxDumpedPrograms
		})
	})
	slices.SortFunc(dump.Programs, func(a, b caller.Program) int { return cmp.Compare(a.ID, b.ID) })

	return dump
}

// ClusterStatus returns the status of all hosts as this one sees them.
func (h *Host) ClusterStatus(now time.Time) operatorapi.ClusterStatus {
	_, version := h.control.Settings()
	status := operatorapi.ClusterStatus{SettingsVersion: version}
	slotCounts := make(map[id.Host]int)
	h.programsJournal.View(func(p *projection.Programs) {
		for number := range id.SlotCount {
			if state := p.Slot(id.Slot(number)); state.State == projection.SlotOwned {
				slotCounts[state.Owner]++
			}
		}
	})
	live := h.membership.LiveHosts(now)
	self := h.HostEntry()
	status.Hosts = append(status.Hosts, operatorapi.HostStatus{
		Host: self.Host, FailureDomain: self.FailureDomain, CallerAddress: self.CallerAddress, OperatorAddress: self.OperatorAddress,
		Live: true, Leaving: self.Leaving, SettingsVersion: version, ControlNextOffset: h.control.Journal.Status().NextOffset,
		RunningCalls: int64(h.executor.RunningCallCount()), OwnedSlots: slotCounts[self.Host],
	})
	for _, member := range h.membership.ListMembers() {
		if member.Host == self.Host {
			continue
		}
		status.Hosts = append(status.Hosts, operatorapi.HostStatus{
			Host: member.Host, FailureDomain: member.FailureDomain, CallerAddress: member.CallerAddress, OperatorAddress: member.OperatorAddress,
			Live: slices.Contains(live, member.Host), Leaving: member.Leaving || member.AnnouncedLeaving,
			SettingsVersion: member.SettingsVersion, ControlNextOffset: member.ControlNextOffset, RunningCalls: member.RunningCalls, OwnedSlots: slotCounts[member.Host],
		})
	}
	slices.SortFunc(status.Hosts, func(a, b operatorapi.HostStatus) int { return cmp.Compare(a.Host, b.Host) })

	return status
}
