package slot

import (
	"time"

	"cardamomward/core/fold"
	"cardamomward/core/id"
)

const (
	// SilenceTimeout is how long an owner must be silent before its slots are taken from it.
	SilenceTimeout = 2 * time.Second
	// supersededBackoff is the pause before a slot is claimed again after a claim that was superseded.
	supersededBackoff = 4 * time.Second
	// maxBackoffDoublings bounds the growth of the pause.
	maxBackoffDoublings = 4
	// claimsPerMinute bounds the forced claims of a host, counted in whole fleets of slots.
	claimsPerMinute = 4 * id.SlotCount
)

// View is what a host knows when it decides.
type View struct {
	Self    id.Host
	Leaving bool
	// Live are the hosts that take slots, sorted, this host among them unless it is leaving.
	Live []id.Host
	// Silence returns how long nothing was heard from a host; hosts never heard count from the start.
	Silence func(id.Host) time.Duration
	Slots   *fold.Slots
	// Busy reports whether calls of the slot are under way at this host.
	Busy func(id.Slot) bool
}

// Decision lists the slots to claim, to take from a silent owner and to release.
type Decision struct {
	Claim   []id.Slot
	Force   []id.Slot
	Release []id.Slot
}

// Empty reports whether there is nothing to do.
func (d Decision) Empty() bool { return len(d.Claim)+len(d.Force)+len(d.Release) == 0 }

// Decider remembers what a host claimed; its zero value is ready.
type Decider struct {
	table       Table
	claimed     map[id.Slot]claimState
	window      time.Time
	windowCount int
}

type claimState struct {
	epoch   id.Epoch
	lost    int
	retryAt time.Time
}

// Decide returns what to do about all slots.
func (d *Decider) Decide(now time.Time, view View) Decision {
	d.table.Update(view.Live)
	d.observe(now, view)
	var decision Decision
	for number := range id.SlotCount {
		slot := id.Slot(number)
		state := view.Slots.Slot(slot)
		mine := !view.Leaving && d.table.Owner(slot) == view.Self
		switch {
		case state.State == fold.SlotOwned && state.Owner == view.Self:
			if !mine && !view.Busy(slot) {
				decision.Release = append(decision.Release, slot)
			}
		case !mine:
		case state.State != fold.SlotOwned:
			decision.Claim = append(decision.Claim, slot)
		case view.Silence(state.Owner) >= SilenceTimeout && d.mayForce(now, slot):
			decision.Force = append(decision.Force, slot)
		}
	}

	return decision
}

// observe counts claims of this host that another host has superseded by force.
func (d *Decider) observe(now time.Time, view View) {
	for slot, claim := range d.claimed {
		state := view.Slots.Slot(slot)
		switch {
		case state.Owner == view.Self && state.State == fold.SlotOwned:
			claim.epoch = state.Epoch
			d.claimed[slot] = claim
		case claim.epoch != 0 && state.Epoch > claim.epoch:
			claim.lost = min(claim.lost+1, maxBackoffDoublings)
			claim.retryAt = now.Add(supersededBackoff << (claim.lost - 1))
			claim.epoch = 0
			d.claimed[slot] = claim
		}
	}
}

// mayForce applies the back-off and the cap on forced claims.
func (d *Decider) mayForce(now time.Time, slot id.Slot) bool {
	if now.Sub(d.window) >= time.Minute {
		d.window = now
		d.windowCount = 0
	}
	claim := d.claimed[slot]
	if now.Before(claim.retryAt) || d.windowCount >= claimsPerMinute {
		return false
	}
	d.windowCount++
	if d.claimed == nil {
		d.claimed = make(map[id.Slot]claimState)
	}
	d.claimed[slot] = claim

	return true
}
