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
	// slotReconcileInterval is the interval of claims and releases of slots.
	slotReconcileInterval = 200 * time.Millisecond
	// slotChangeTimeout bounds one round of claims and releases.
	slotChangeTimeout = 3 * time.Second
	// noOwnerRetryAfter is the retry delay of callers while a slot has no owner.
	noOwnerRetryAfter = 200 * time.Millisecond
	// drainServeDelay is how much longer than LocationTTL a draining host serves, for callers that cached its address.
	drainServeDelay = time.Second
)

// newHeartbeat returns this host's heartbeat to the others.
func (h *Host) newHeartbeat() *peerpb.HeartbeatRequest {
	_, version := h.control.Settings()

	return &peerpb.HeartbeatRequest{
		Host:            string(h.config.Host),
		Leaving:         h.leaving.Load(),
		SettingsVersion: uint64(version),
		ControlNext:     uint64(h.control.Journal.Status().NextOffset),
		Running:         int64(h.executor.RunningCallCount()),
		FailureDomain:   string(h.config.FailureDomain),
	}
}

func (h *Host) slotLoop(ctx context.Context) {
	runPeriodically(ctx, slotReconcileInterval, h.reconcileSlots)
}

// reconcileSlots claims and releases the slots that the planner returns.
func (h *Host) reconcileSlots(ctx context.Context, now time.Time) {
	if !h.programsJournal.Status().CaughtUp {
		return
	}
	live := h.membership.LiveHosts(now)
	if !h.leaving.Load() {
		live = append(live, h.config.Host)
		slices.Sort(live)
	}
	slotActivity := h.executor.SlotActivity()
	listedHostCount := h.membership.ListedHostCount()
	var plan slotassignment.Plan
	h.programsJournal.View(func(state *projection.Programs) {
		plan = h.slotPlanner.Plan(now, slotassignment.ClusterView{
			Self:              h.config.Host,
			Incarnation:       h.executor.Incarnation,
			Leaving:           h.leaving.Load(),
			LiveHosts:         live,
			ListedHostCount:   listedHostCount,
			SilenceOf:         func(host id.Host) time.Duration { return h.membership.TimeSinceHeartbeat(host, now) },
			Slots:             &state.Slots,
			HasRunningCalls:   slotSetFilter(slotActivity.WithRunningCalls),
			HasPendingRelease: slotSetFilter(slotActivity.WithPendingRelease),
		})
	})
	if plan.IsEmpty() {
		return
	}
	h.logger.Info("slots", "claim", len(plan.Claims), "force", len(plan.ForcedClaims), "release", len(plan.Releases))
	ctx, cancel := context.WithTimeout(ctx, slotChangeTimeout)
	defer cancel()
	h.claimSlots(ctx, plan.Claims, false)
	h.claimSlots(ctx, plan.ForcedClaims, true)
	h.releaseSlots(ctx, plan.Releases)
}

// slotSetFilter returns a function that reports whether a slot is in a set.
func slotSetFilter(set map[id.Slot]struct{}) func(id.Slot) bool {
	return func(number id.Slot) bool {
		_, ok := set[number]

		return ok
	}
}

func (h *Host) claimSlots(ctx context.Context, targets []slotassignment.SlotEpoch, forced bool) {
	if len(targets) == 0 {
		return
	}
	slots, epochs := splitSlotEpochs(targets)
	rec := record.New(h.config.Host)
	rec.Body = &recordpb.Record_Claim{Claim: &recordpb.Claim{
		Slots: slots, Epochs: epochs, Forced: forced, Run: string(h.executor.Incarnation),
	}}
	if _, err := h.programsJournal.Append(ctx, rec); err != nil {
		h.logger.Error(err, "claim-failed", "slots", len(slots))
	}
	// A claim without a response may be valid too, so its time is recorded in any case.
	h.bucketOwner.RecordClaims(time.Now(), slotIDs(targets), forced)
}

// releaseSlots releases idle slots; they reject new calls while the result of the release is unknown.
func (h *Host) releaseSlots(ctx context.Context, targets []slotassignment.SlotEpoch) {
	targets = slices.DeleteFunc(targets, func(t slotassignment.SlotEpoch) bool { return !h.executor.BeginSlotRelease(t.Slot) })
	if len(targets) == 0 {
		return
	}
	slots, epochs := splitSlotEpochs(targets)
	body := &recordpb.Release{Slots: slots, Epochs: epochs}
	for _, level := range h.bucketOwner.StopGrants(time.Now(), slotIDs(targets), h.slotEpoch) {
		body.Levels = append(body.Levels, &recordpb.BucketLevel{Workspace: string(level.Workspace), Requests: level.Requests})
	}
	rec := record.New(h.config.Host)
	rec.Body = &recordpb.Record_Release{Release: body}
	if _, err := h.programsJournal.Append(ctx, rec); err != nil {
		h.logger.Error(err, "release-failed", "slots", len(slots))
		if apierror.From(err).Execution != apierror.NotExecuted {
			return
		}
	}
	for _, target := range targets {
		h.executor.EndSlotRelease(target.Slot)
	}
}

func (h *Host) slotEpoch(number id.Slot) id.Epoch {
	var state projection.SlotState
	h.programsJournal.View(func(p *projection.Programs) { state = p.Slot(number) })

	return state.Epoch
}

// splitSlotEpochs returns the slots and the epochs as the parallel lists of a record.
func splitSlotEpochs(targets []slotassignment.SlotEpoch) (slots []uint32, epochs []uint64) {
	for _, target := range targets {
		slots = append(slots, uint32(target.Slot))
		epochs = append(epochs, uint64(target.Epoch))
	}

	return slots, epochs
}

func slotIDs(targets []slotassignment.SlotEpoch) []id.Slot {
	slots := make([]id.Slot, len(targets))
	for i, target := range targets {
		slots[i] = target.Slot
	}

	return slots
}

// LocalOwner returns the service with which this host serves the slots that it owns.
func (h *Host) LocalOwner() peer.SlotOwner { return h.executor }

// OwnerOf returns the owner of a slot, which is this host or another one, or an OwnerChanged error if there is none.
func (h *Host) OwnerOf(number id.Slot) (peer.SlotOwner, error) {
	var state projection.SlotState
	h.programsJournal.View(func(p *projection.Programs) { state = p.Slot(number) })
	if state.State == projection.SlotOwned && state.Owner == h.config.Host {
		return h.executor, nil
	}
	member, ok := h.membership.GetMember(state.Owner)
	if state.State != projection.SlotOwned || !ok {
		return nil, apierror.New(apierror.OwnerChanged, "slot %d has no owner at the moment", number).WithRetryAfter(noOwnerRetryAfter)
	}

	return h.membership.Client(member.PeerAddress), nil
}

// FindHost returns the address that a caller should use for a program, or for a new one if program is empty.
func (h *Host) FindHost(program id.Program, now time.Time) (caller.HostLocation, error) {
	resp := caller.HostLocation{ValidForMillis: h.config.LocationTTL.Milliseconds()}
	if program != "" {
		var state projection.SlotState
		h.programsJournal.View(func(p *projection.Programs) { state = p.Slot(id.ProgramSlot(program)) })
		if member, ok := h.membership.GetMember(state.Owner); ok && !member.Leaving && !member.AnnouncedLeaving {
			resp.Host, resp.Address = member.Host, member.CallerAddress

			return resp, nil
		}
	}

	return h.locateLeastLoaded(resp, now)
}

// locateLeastLoaded sets the address to that of the live host with the fewest running calls; this host wins ties.
func (h *Host) locateLeastLoaded(resp caller.HostLocation, now time.Time) (caller.HostLocation, error) {
	best := h.HostEntry()
	fewestRunningCalls := int64(h.executor.RunningCallCount())
	found := !h.leaving.Load()
	for _, name := range h.membership.LiveHosts(now) {
		member, ok := h.membership.GetMember(name)
		if ok && (!found || member.RunningCalls < fewestRunningCalls) {
			best, fewestRunningCalls, found = member.HostEntry, member.RunningCalls, true
		}
	}
	if !found {
		return resp, apierror.New(apierror.HostLeaving, "this host is shutting down and knows no other host").WithRetryAfter(noOwnerRetryAfter)
	}
	resp.Host, resp.Address = best.Host, best.CallerAddress

	return resp, nil
}

// StartDrain starts a graceful shutdown: the host announces that it is leaving, releases its slots, serves the remaining
// requests and then stops.
func (h *Host) StartDrain() {
	h.drainOnce.Do(func() {
		h.leaving.Store(true)
		h.logger.Info("host-leaving")
		go h.drainAndStop()
	})
}

func (h *Host) drainAndStop() {
	h.announce(context.Background())
	deadline := time.Now().Add(h.config.DrainTimeout)
	locationsExpireAt := time.Now().Add(h.config.LocationTTL + drainServeDelay)
	for time.Now().Before(deadline) {
		if time.Now().After(locationsExpireAt) && h.ownedSlotCount() == 0 && h.executor.RunningCallCount() == 0 && h.callerAPI.InflightRequestCount() == 0 {
			break
		}
		time.Sleep(slotReconcileInterval)
	}
	close(h.drained)
}

func (h *Host) ownedSlotCount() int {
	count := 0
	h.programsJournal.View(func(p *projection.Programs) {
		for number := range id.SlotCount {
			if state := p.Slot(id.Slot(number)); state.State == projection.SlotOwned && state.Owner == h.config.Host {
				count++
			}
		}
	})

	return count
}
