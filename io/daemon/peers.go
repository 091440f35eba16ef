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
	"cardamomward/io/operator"
	"cardamomward/io/peer/peerpb"
	"cardamomward/io/platform"
)

// Heartbeat answers another host's heartbeat with this host's own.
func (h *Host) Heartbeat(_ context.Context, req *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	h.members.Heard(req, time.Now())
	self := h.heartbeat()

	return &peerpb.HeartbeatResponse{
		Host:            self.GetHost(),
		Leaving:         self.GetLeaving(),
		SettingsVersion: self.GetSettingsVersion(),
		ControlNext:     self.GetControlNext(),
		Running:         self.GetRunning(),
		FailureDomain:   self.GetFailureDomain(),
	}, nil
}

// ReadControl passes recent control records on to a host that does not reach the log.
func (h *Host) ReadControl(_ context.Context, req *peerpb.ReadControlRequest) (*peerpb.ReadControlResponse, error) {
	page, err := h.relay.Recent(id.Offset(req.GetFrom()), time.Now())
	if err != nil {
		return nil, err
	}
	resp := &peerpb.ReadControlResponse{Next: uint64(page.Next), AgeMillis: platform.WholeMillis(page.Age).Milliseconds()}
	for _, entry := range page.Entries {
		resp.Records = append(resp.Records, &peerpb.ControlRecord{Offset: uint64(entry.Offset), Data: entry.Data})
	}

	return resp, nil
}

// relayPeers is how many peers are asked for control records at a time.
const relayPeers = 3

// readFromPeers asks a few live peers for control records and takes the freshest answer.
func (h *Host) readFromPeers(ctx context.Context, from id.Offset) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	live := h.members.Live(time.Now())
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	best := platform.Page{}
	found := false
	for _, name := range live[:min(len(live), relayPeers)] {
		member, ok := h.members.Get(name)
		if !ok {
			continue
		}
		asked := time.Now()
		resp, err := h.members.Remote(member.Peer).Peer.ReadControl(ctx, &peerpb.ReadControlRequest{From: uint64(from)})
		if err != nil {
			continue
		}
		page := pageOf(resp, from, time.Since(asked))
		if !found || page.Age < best.Age {
			best, found = page, true
		}
	}
	if !found {
		return platform.Page{}, apierror.New(apierror.LogUnavailable, "no peer passes control records on").WithRetryAfter(noOwnerRetry)
	}

	return best, nil
}

func pageOf(resp *peerpb.ReadControlResponse, from id.Offset, spent time.Duration) platform.Page {
	page := platform.Page{
		First: from,
		Next:  id.Offset(resp.GetNext()),
		Age:   time.Duration(resp.GetAgeMillis())*time.Millisecond + spent,
	}
	for _, rec := range resp.GetRecords() {
		page.Entries = append(page.Entries, platform.Entry{Offset: id.Offset(rec.GetOffset()), Data: rec.GetData()})
	}

	return page
}

// maxDumpedPrograms bounds the programs in a dump.
const maxDumpedPrograms = 1000

// Dump returns the host's whole state.
func (h *Host) Dump(now time.Time) operator.Dump {
	_, version := h.control.Fleet()
	dump := operator.Dump{
		Host:            h.config.Host,
		FailureDomain:   h.config.FailureDomain,
		Now:             now,
		Leaving:         h.leaving.Load(),
		SettingsVersion: version,
		Journals:        []platform.Status{h.control.Journal.Status(), h.programs.Status()},
		Slots:           h.ownedSlots(),
		Running:         h.owner.RunningCallCount(),
		Requests:        h.callers.InflightRequestCount(),
		Members:         h.members.All(),
	}
	for service, calls := range h.owner.Dispatcher.WaitingCallCounts() {
		dump.Waiting = append(dump.Waiting, operator.Waiting{Service: service, Calls: calls})
	}
	slices.SortFunc(dump.Waiting, func(a, b operator.Waiting) int { return cmp.Compare(a.Service, b.Service) })
	for _, u := range h.engines.All() {
		dump.Upstreams = append(dump.Upstreams, u.Status())
	}
	h.programs.View(func(state *projection.Programs) {
		state.ForEachProgram(func(p *projection.Program) bool {
			dump.Programs = append(dump.Programs, operator.Summary(state, p))

			return len(dump.Programs) < maxDumpedPrograms
		})
	})
	slices.SortFunc(dump.Programs, func(a, b caller.Program) int { return cmp.Compare(a.ID, b.ID) })

	return dump
}

// Status returns all hosts as this one sees them.
func (h *Host) Status(now time.Time) operator.Status {
	_, version := h.control.Fleet()
	status := operator.Status{SettingsVersion: version}
	slots := make(map[id.Host]int)
	h.programs.View(func(p *projection.Programs) {
		for number := range id.SlotCount {
			if state := p.Slot(id.Slot(number)); state.State == projection.SlotOwned {
				slots[state.Owner]++
			}
		}
	})
	live := h.members.Live(now)
	self := h.Entry()
	status.Hosts = append(status.Hosts, operator.HostStatus{
		Host: self.Host, FailureDomain: self.FailureDomain, Caller: self.Caller, Operator: self.Operator,
		Live: true, Leaving: self.Leaving, SettingsVersion: version, ControlNext: h.control.Journal.Status().Next,
		Running: int64(h.owner.RunningCallCount()), Slots: slots[self.Host],
	})
	for _, member := range h.members.All() {
		if member.Host == self.Host {
			continue
		}
		status.Hosts = append(status.Hosts, operator.HostStatus{
			Host: member.Host, FailureDomain: member.FailureDomain, Caller: member.Caller, Operator: member.Operator,
			Live: slices.Contains(live, member.Host), Leaving: member.Leaving || member.SaysLeaving,
			SettingsVersion: member.SettingsVersion, ControlNext: member.ControlNext, Running: member.Running, Slots: slots[member.Host],
		})
	}
	slices.SortFunc(status.Hosts, func(a, b operator.HostStatus) int { return cmp.Compare(a.Host, b.Host) })

	return status
}
