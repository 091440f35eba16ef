package slotassignment

import (
	"time"

	"cardamomward/core/id"
	"cardamomward/core/projection"
)

const (
	// SilenceTimeout is how long an owner must be silent before its slots are taken from it.
	SilenceTimeout = 2 * time.Second
	// MinoritySilenceTimeout is the silence that a host waits for which hears less than half of the listed hosts.
	MinoritySilenceTimeout = 20 * time.Second
	// processPauseThreshold is the time between two decisions after which a process counts as having been paused.
	processPauseThreshold = time.Second
	// initialForceBackoff is the first pause before a slot is forced again that another host has taken.
	initialForceBackoff = 4 * time.Second
	// maxForceBackoffDoublings bounds the growth of the pause.
	maxForceBackoffDoublings = 7
	// forceHistoryLifetime is how long a slot must stay with this host until earlier losses are forgotten.
	forceHistoryLifetime = 10 * time.Minute
	// maxForcedClaimsPerMinute bounds the slots that a host takes by force in a minute.
	maxForcedClaimsPerMinute = id.SlotCount
)

// ClusterView is what a host knows when it decides.
type ClusterView struct {
	Self    id.Host
	Run     id.Incarnation
	Leaving bool
	// LiveHosts are the hosts that take slots, sorted, this host among them unless it is leaving.
	LiveHosts []id.Host
	// ListedHostCount is how many hosts the platform's list shows that are not leaving; zero if it was not read.
	ListedHostCount int
	// SilenceOf returns how long no heartbeat came from a host; hosts never heard count from the start.
	SilenceOf func(id.Host) time.Duration
	Slots     *projection.Slots
	// HasRunningCalls reports whether calls of the slot are under way at this host.
	HasRunningCalls func(id.Slot) bool
	// HasPendingRelease reports whether a release of the slot may still come into force.
	HasPendingRelease func(id.Slot) bool
}

// SlotEpoch is a slot at the epoch on which a plan is based.
type SlotEpoch struct {
	Slot  id.Slot
	Epoch id.Epoch
}

// Plan lists the slots to claim, to take from a silent owner and to release.
type Plan struct {
	Claims       []SlotEpoch
	ForcedClaims []SlotEpoch
	Releases     []SlotEpoch
}

// IsEmpty reports whether there is nothing to do.
func (p Plan) IsEmpty() bool { return len(p.Claims)+len(p.ForcedClaims)+len(p.Releases) == 0 }

// Planner remembers what a host has forced and heard; its zero value is ready.
type Planner struct {
	assignment      RendezvousTable
	forcedSlots     map[id.Slot]forcedSlot
	latestRecords   map[id.Host]hostRecord
	lastPlanAt      time.Time
	runningSince    time.Time
	rateWindowStart time.Time
	forcedInWindow  int
}

// forcedSlot is what became of a slot that this host has forced.
type forcedSlot struct {
	// baseEpoch is the epoch on which the latest attempt was based.
	baseEpoch id.Epoch
	// attemptedEpoch is the epoch of the latest attempt; a repeated one counts once, as at most one of them is valid.
	attemptedEpoch id.Epoch
	lossCount      int
	retryAt        time.Time
	ownedSince     time.Time
}

type hostRecord struct {
	position id.Position
	readAt   time.Time
}

// Plan returns what to do about all slots.
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
			// Somebody who knows the slot looks after it until a snapshot is read.
		case state.State != projection.SlotOwned:
			if shouldOwn {
				plan.Claims = append(plan.Claims, target)
			}
		case state.Owner == view.Self && state.Incarnation != view.Run:
			// An earlier process of this host: what it had reserved is settled by a new claim.
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

// detectProcessPause notes when this process has run without a pause since: after a pause all others seem silent.
func (p *Planner) detectProcessPause(now time.Time) {
	if now.Sub(p.lastPlanAt) >= processPauseThreshold {
		p.runningSince = now
	}
	p.lastPlanAt = now
}

// trackHostRecords notes when the latest record of each host was read.
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

// isSilent reports whether neither heartbeats nor records of a host came for the timeout.
func (p *Planner) isSilent(now time.Time, view ClusterView, host id.Host) bool {
	timeout := SilenceTimeout
	if 2*len(view.LiveHosts) < view.ListedHostCount {
		timeout = MinoritySilenceTimeout
	}

	return min(view.SilenceOf(host), now.Sub(p.latestRecords[host].readAt), now.Sub(p.runningSince)) >= timeout
}

// updateForcedSlots counts the slots that this host has forced and another host holds.
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

// allowForcedClaim applies the back-off and the cap on forced claims.
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
