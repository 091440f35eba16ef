package daemon

import (
	"context"
	"slices"
	"time"

	"cardamomward/core/apierror"
	"cardamomward/core/id"
	"cardamomward/core/projection"
	"cardamomward/core/record"
	"cardamomward/core/record/recordpb"
	"cardamomward/core/slotassignment"
	"cardamomward/io/caller"
	"cardamomward/io/peer"
	"cardamomward/io/peer/peerpb"
)

const (
	// slotInterval is how often the host looks at which slots are its own.
	slotInterval = 200 * time.Millisecond
	// claimWait bounds one claim or release.
	claimWait = 3 * time.Second
	// noOwnerRetry is when to come back while a slot has no owner.
	noOwnerRetry = 200 * time.Millisecond
	// leaveDelay is how long a drained host serves after its slots are gone, beyond the lifetime of where.
	leaveDelay = time.Second
)

// heartbeat is what this host tells the others.
func (h *Host) heartbeat() *peerpb.HeartbeatRequest {
	_, version := h.control.Fleet()

	return &peerpb.HeartbeatRequest{
		Host:            string(h.config.Host),
		Leaving:         h.leaving.Load(),
		SettingsVersion: uint64(version),
		ControlNext:     uint64(h.control.Journal.Status().Next),
		Running:         int64(h.owner.RunningCallCount()),
		FailureDomain:   string(h.config.FailureDomain),
	}
}

func (h *Host) slotLoop(ctx context.Context) { every(ctx, slotInterval, h.settleSlots) }

// settleSlots claims and releases what the decider says.
func (h *Host) settleSlots(ctx context.Context, now time.Time) {
	if !h.programs.Status().CaughtUp {
		return
	}
	live := h.members.Live(now)
	if !h.leaving.Load() {
		live = append(live, h.config.Host)
		slices.Sort(live)
	}
	engaged := h.owner.SlotActivity()
	listed := h.members.Listed()
	var decision slotassignment.Plan
	h.programs.View(func(state *projection.Programs) {
		decision = h.decider.Plan(now, slotassignment.ClusterView{
			Self:              h.config.Host,
			Run:               h.owner.Incarnation,
			Leaving:           h.leaving.Load(),
			LiveHosts:         live,
			ListedHostCount:   listed,
			SilenceOf:         func(host id.Host) time.Duration { return h.members.Silence(host, now) },
			Slots:             &state.Slots,
			HasRunningCalls:   in(engaged.WithRunningCalls),
			HasPendingRelease: in(engaged.WithPendingRelease),
		})
	})
	if decision.IsEmpty() {
		return
	}
	h.logger.Info("slots", "claim", len(decision.Claims), "force", len(decision.ForcedClaims), "release", len(decision.Releases))
	ctx, cancel := context.WithTimeout(ctx, claimWait)
	defer cancel()
	h.claim(ctx, decision.Claims, false)
	h.claim(ctx, decision.ForcedClaims, true)
	h.release(ctx, decision.Releases)
}

// in reports whether a slot is in a set.
func in(set map[id.Slot]struct{}) func(id.Slot) bool {
	return func(number id.Slot) bool {
		_, ok := set[number]

		return ok
	}
}

func (h *Host) claim(ctx context.Context, targets []slotassignment.SlotEpoch, forced bool) {
	if len(targets) == 0 {
		return
	}
	slots, epochs := columns(targets)
	rec := record.New(h.config.Host)
	rec.Body = &recordpb.Record_Claim{Claim: &recordpb.Claim{
		Slots: slots, Epochs: epochs, Forced: forced, Run: string(h.owner.Incarnation),
	}}
	if _, err := h.programs.Append(ctx, rec); err != nil {
		h.logger.Error(err, "claim-failed", "slots", len(slots))
	}
	// A claim without an answer may count as well, so its time is noted in any case.
	h.pools.RecordClaims(time.Now(), slotsOf(targets), forced)
}

// release gives idle slots up; while the fate of the release is unknown, they take no calls.
func (h *Host) release(ctx context.Context, targets []slotassignment.SlotEpoch) {
	targets = slices.DeleteFunc(targets, func(t slotassignment.SlotEpoch) bool { return !h.owner.BeginSlotRelease(t.Slot) })
	if len(targets) == 0 {
		return
	}
	slots, epochs := columns(targets)
	body := &recordpb.Release{Slots: slots, Epochs: epochs}
	for _, level := range h.pools.StopGrants(time.Now(), slotsOf(targets), h.epochOf) {
		body.Levels = append(body.Levels, &recordpb.BucketLevel{Workspace: string(level.Workspace), Requests: level.Requests})
	}
	rec := record.New(h.config.Host)
	rec.Body = &recordpb.Record_Release{Release: body}
	if _, err := h.programs.Append(ctx, rec); err != nil {
		h.logger.Error(err, "release-failed", "slots", len(slots))
		if apierror.From(err).Execution != apierror.NotExecuted {
			return
		}
	}
	for _, target := range targets {
		h.owner.EndSlotRelease(target.Slot)
	}
}

func (h *Host) epochOf(number id.Slot) id.Epoch {
	var state projection.SlotState
	h.programs.View(func(p *projection.Programs) { state = p.Slot(number) })

	return state.Epoch
}

// columns returns the slots and epochs as a record carries them.
func columns(targets []slotassignment.SlotEpoch) (slots []uint32, epochs []uint64) {
	for _, target := range targets {
		slots = append(slots, uint32(target.Slot))
		epochs = append(epochs, uint64(target.Epoch))
	}

	return slots, epochs
}

func slotsOf(targets []slotassignment.SlotEpoch) []id.Slot {
	slots := make([]id.Slot, len(targets))
	for i, target := range targets {
		slots[i] = target.Slot
	}

	return slots
}

// LocalOwner returns the owner at this host.
func (h *Host) LocalOwner() peer.Owner { return h.owner }

// OwnerOf returns the owner of a slot, here or at another host.
func (h *Host) OwnerOf(number id.Slot) (peer.Owner, error) {
	var state projection.SlotState
	h.programs.View(func(p *projection.Programs) { state = p.Slot(number) })
	if state.State == projection.SlotOwned && state.Owner == h.config.Host {
		return h.owner, nil
	}
	member, ok := h.members.Get(state.Owner)
	if state.State != projection.SlotOwned || !ok {
		return nil, apierror.New(apierror.OwnerChanged, "slot %d has no owner at the moment", number).WithRetryAfter(noOwnerRetry)
	}

	return h.members.Remote(member.Peer), nil
}

// FindHost returns the address that a caller should use for a program, or for a new one.
func (h *Host) FindHost(program id.Program, now time.Time) (caller.HostLocation, error) {
	resp := caller.HostLocation{ValidForMillis: h.config.WhereLifetime.Milliseconds()}
	if program != "" {
		var state projection.SlotState
		h.programs.View(func(p *projection.Programs) { state = p.Slot(id.ProgramSlot(program)) })
		if member, ok := h.members.Get(state.Owner); ok && !member.Leaving && !member.SaysLeaving {
			resp.Host, resp.Address = member.Host, member.Caller

			return resp, nil
		}
	}

	return h.leastBusy(resp, now)
}

// leastBusy prefers a live host of this failure domain with few calls under way.
func (h *Host) leastBusy(resp caller.HostLocation, now time.Time) (caller.HostLocation, error) {
	best := h.Entry()
	bestRunning := int64(h.owner.RunningCallCount())
	found := !h.leaving.Load()
	for _, name := range h.members.Live(now) {
		member, ok := h.members.Get(name)
		if ok && (!found || member.Running < bestRunning) {
			best, bestRunning, found = member.HostEntry, member.Running, true
		}
	}
	if !found {
		return resp, apierror.New(apierror.HostLeaving, "this host is leaving and knows no other").WithRetryAfter(noOwnerRetry)
	}
	resp.Host, resp.Address = best.Host, best.Caller

	return resp, nil
}

// Drain makes the host leave: it says so, hands its slots over, goes on serving and then stops.
func (h *Host) Drain() {
	h.once.Do(func() {
		h.leaving.Store(true)
		h.logger.Info("host-leaving")
		go h.drain()
	})
}

func (h *Host) drain() {
	h.announce(context.Background())
	deadline := time.Now().Add(h.config.DrainTimeout)
	expired := time.Now().Add(h.config.WhereLifetime + leaveDelay)
	for time.Now().Before(deadline) {
		if time.Now().After(expired) && h.ownedSlots() == 0 && h.owner.RunningCallCount() == 0 && h.callers.InflightRequestCount() == 0 {
			break
		}
		time.Sleep(slotInterval)
	}
	close(h.drained)
}

func (h *Host) ownedSlots() int {
	count := 0
	h.programs.View(func(p *projection.Programs) {
		for number := range id.SlotCount {
			if state := p.Slot(id.Slot(number)); state.State == projection.SlotOwned && state.Owner == h.config.Host {
				count++
			}
		}
	})

	return count
}
