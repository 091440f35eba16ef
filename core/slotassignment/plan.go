package slotassignment

import (
	"time"

	"cardamomward/core/id"
	"cardamomward/core/projection"
)

const (
	// SilenceTimeout is the time without heartbeats or records of an owner after which other hosts claim its slots by force.
	SilenceTimeout = 2 * time.Second
	// MinoritySilenceTimeout replaces SilenceTimeout at a host that gets heartbeats from less than half of the listed hosts.
	MinoritySilenceTimeout = 20 * time.Second
	// processPauseThreshold is the shortest time between two plans that counts as a pause of the process.
	processPauseThreshold = time.Second
	// initialForceBackoff is the time before a host claims a slot by force again after it first lost the slot to another host.
	initialForceBackoff = 4 * time.Second
	// maxForceBackoffDoublings is the number of losses after which the back-off no longer doubles.
	maxForceBackoffDoublings = 7
	// forceHistoryLifetime is the time for which this host must own a slot before its earlier losses are forgotten.
	forceHistoryLifetime = 10 * time.Minute
	// maxForcedClaimsPerMinute bounds the number of slots that a host claims by force in a minute.
	maxForcedClaimsPerMinute = id.SlotCount
)

// ClusterView is a host's view of all hosts and slots at the time of a plan.
type ClusterView struct {
	Self id.Host
	// Incarnation identifies this process of the host.
	Incarnation id.Incarnation
	// Leaving is true if this host is shutting down; it then releases its slots and claims none.
	Leaving bool
	// LiveHosts are the hosts that may own slots, sorted; they include this host unless it is leaving.
	LiveHosts []id.Host
	// ListedHostCount is the number of hosts in the platform's list that are not leaving; zero if the list was not read.
	ListedHostCount int
	// SilenceOf returns the time since the last heartbeat of a host, or since the start if none has arrived.
	SilenceOf func(id.Host) time.Duration
	Slots     *projection.Slots
	// HasRunningCalls reports whether this host runs calls of the slot.
	HasRunningCalls func(id.Slot) bool
	// HasPendingRelease reports whether a release of the slot was sent whose outcome is unknown.
	HasPendingRelease func(id.Slot) bool
}

// SlotEpoch is a slot at the epoch on which a plan is based.
type SlotEpoch struct {
	Slot  id.Slot
	Epoch id.Epoch
}

// Plan lists the slots to claim, to claim by force from a silent owner or an earlier process, and to release.
type Plan struct {
	Claims       []SlotEpoch
	ForcedClaims []SlotEpoch
	Releases     []SlotEpoch
}

// IsEmpty reports whether the plan changes nothing.
func (p Plan) IsEmpty() bool { return len(p.Claims)+len(p.ForcedClaims)+len(p.Releases) == 0 }

// Planner plans the claims and releases of one host; it keeps the history of forced claims and the times at which
// records of other hosts were read. Its zero value is ready to use.
type Planner struct {
	assignment      RendezvousTable
	forcedSlots     map[id.Slot]forcedSlot
	latestRecords   map[id.Host]hostRecord
	lastPlanAt      time.Time
	runningSince    time.Time
	rateWindowStart time.Time
	forcedInWindow  int
}

// forcedSlot is the history of a slot that this host has claimed by force.
type forcedSlot struct {
	// baseEpoch is the latest epoch that was seen or on which a forced claim was based.
	baseEpoch id.Epoch
	// attemptedEpoch is the epoch on which the latest forced claim was based. Repeated claims on one epoch count once
	// against the cap, as at most one of them is valid.
	attemptedEpoch id.Epoch
	lossCount      int
	retryAt        time.Time
	ownedSince     time.Time
}

type hostRecord struct {
	position id.Position
	readAt   time.Time
}

// Plan returns the claims and releases that this host should make now, for all slots.
func (p *Planner) Plan(now time.Time, view ClusterView) Plan {
	p.assignment.Update(view.LiveHosts)
	p.detectProcessPause(now)
	p.trackHostRecords(now, view.Slots)
	p.updateForcedSlots(now, view)
	var plan Plan
	for number := range id.SlotCount {
		slot := id.Slot(number)
		state := view.Slots.Slot(slot)
		target := SlotEpoch{Slot: slot, Epoch: state.Epoch}
		shouldOwn := !view.Leaving && p.assignment.Owner(slot) == view.Self
		switch {
		case state.State == projection.SlotUnknown:
			// A host that knows the state of the slot handles it until this host has read a snapshot.
		case state.State != projection.SlotOwned:
			if shouldOwn {
				plan.Claims = append(plan.Claims, target)
			}
		case state.Owner == view.Self && state.Incarnation != view.Incarnation:
			// An earlier process of this host owned the slot; a new claim settles what that process had reserved.
			plan.ForcedClaims = append(plan.ForcedClaims, target)
		case state.Owner == view.Self:
			if view.HasPendingRelease(slot) || (!shouldOwn && !view.HasRunningCalls(slot)) {
				plan.Releases = append(plan.Releases, target)
			}
		case shouldOwn && p.isSilent(now, view, state.Owner) && p.allowForcedClaim(now, target):
			plan.ForcedClaims = append(plan.ForcedClaims, target)
		}
	}

	return plan
}

// detectProcessPause records since when this process has run without a pause; right after a pause, all other hosts
// seem silent.
func (p *Planner) detectProcessPause(now time.Time) {
	if now.Sub(p.lastPlanAt) >= processPauseThreshold {
		p.runningSince = now
	}
	p.lastPlanAt = now
}

// trackHostRecords records when the latest record of each host was read.
func (p *Planner) trackHostRecords(now time.Time, slots *projection.Slots) {
	if p.latestRecords == nil {
		p.latestRecords = make(map[id.Host]hostRecord)
	}
	slots.ForEachHost(func(host id.Host, pos id.Position) {
		if p.latestRecords[host].position != pos {
			p.latestRecords[host] = hostRecord{position: pos, readAt: now}
		}
	})
}

// isSilent reports whether neither a heartbeat nor a record of the host has arrived for the silence timeout, during
// which this process was not paused.
func (p *Planner) isSilent(now time.Time, view ClusterView, host id.Host) bool {
	timeout := SilenceTimeout
	if 2*len(view.LiveHosts) < view.ListedHostCount {
		timeout = MinoritySilenceTimeout
	}

	return min(view.SilenceOf(host), now.Sub(p.latestRecords[host].readAt), now.Sub(p.runningSince)) >= timeout
}

// updateForcedSlots counts losses of slots that this host had forced, and drops the history of those that it has kept.
func (p *Planner) updateForcedSlots(now time.Time, view ClusterView) {
	for slot, f := range p.forcedSlots {
		state := view.Slots.Slot(slot)
		switch {
		case state.Epoch == f.baseEpoch:
		case state.Owner == view.Self:
			f.baseEpoch = state.Epoch
			if f.ownedSince.IsZero() {
				f.ownedSince = now
			}
			p.forcedSlots[slot] = f
		default:
			f.baseEpoch = state.Epoch
			f.ownedSince = time.Time{}
			f.lossCount = min(f.lossCount+1, maxForceBackoffDoublings)
			f.retryAt = now.Add(initialForceBackoff << (f.lossCount - 1))
			p.forcedSlots[slot] = f
		}
		if !f.ownedSince.IsZero() && now.Sub(f.ownedSince) >= forceHistoryLifetime {
			delete(p.forcedSlots, slot)
		}
	}
}

// allowForcedClaim applies the back-off and the cap on forced claims, and records the claim if it allows it.
func (p *Planner) allowForcedClaim(now time.Time, target SlotEpoch) bool {
	if now.Sub(p.rateWindowStart) >= time.Minute {
		p.rateWindowStart = now
		p.forcedInWindow = 0
	}
	f := p.forcedSlots[target.Slot]
	if now.Before(f.retryAt) {
		return false
	}
	if f.attemptedEpoch != target.Epoch {
		if p.forcedInWindow >= maxForcedClaimsPerMinute {
			return false
		}
		p.forcedInWindow++
	}
	f.attemptedEpoch = target.Epoch
	if p.forcedSlots == nil {
		p.forcedSlots = make(map[id.Slot]forcedSlot)
	}
	f.baseEpoch = target.Epoch
	p.forcedSlots[target.Slot] = f

	return true
}
