package slot

import (
	"time"

	"cardamomward/core/id"
	"cardamomward/core/projection"
)

const (
	// SilenceTimeout is how long an owner must be silent before its slots are taken from it.
	SilenceTimeout = 2 * time.Second
	// MinorityTimeout is the silence that a host waits for which hears less than half of the listed hosts.
	MinorityTimeout = 20 * time.Second
	// pauseGap is the time between two decisions after which a process counts as having been paused.
	pauseGap = time.Second
	// lostBackoff is the first pause before a slot is forced again that another host has taken.
	lostBackoff = 4 * time.Second
	// maxBackoffDoublings bounds the growth of the pause.
	maxBackoffDoublings = 7
	// settledAfter is how long a slot must stay with this host until earlier losses are forgotten.
	settledAfter = 10 * time.Minute
	// forcedPerMinute bounds the slots that a host takes by force in a minute.
	forcedPerMinute = id.SlotCount
)

// View is what a host knows when it decides.
type View struct {
	Self    id.Host
	Run     id.Incarnation
	Leaving bool
	// Live are the hosts that take slots, sorted, this host among them unless it is leaving.
	Live []id.Host
	// Listed is how many hosts the platform's list shows that are not leaving; zero if it was not read.
	Listed int
	// Silence returns how long no heartbeat came from a host; hosts never heard count from the start.
	Silence func(id.Host) time.Duration
	Slots   *projection.Slots
	// Busy reports whether calls of the slot are under way at this host.
	Busy func(id.Slot) bool
	// Sealed reports whether a release of the slot may still come into force.
	Sealed func(id.Slot) bool
}

// Target is a slot at the epoch on which a decision is based.
type Target struct {
	Slot  id.Slot
	Epoch id.Epoch
}

// Decision lists the slots to claim, to take from a silent owner and to release.
type Decision struct {
	Claim   []Target
	Force   []Target
	Release []Target
}

// Empty reports whether there is nothing to do.
func (d Decision) Empty() bool { return len(d.Claim)+len(d.Force)+len(d.Release) == 0 }

// Decider remembers what a host has forced and heard; its zero value is ready.
type Decider struct {
	table       Table
	forced      map[id.Slot]forcedSlot
	heard       map[id.Host]heardHost
	last        time.Time
	awake       time.Time
	window      time.Time
	windowCount int
}

// forcedSlot is what became of a slot that this host has forced.
type forcedSlot struct {
	// base is the epoch on which the latest attempt was based.
	base id.Epoch
	// tried is the epoch of the latest attempt; a repeated one counts once, as at most one of them is valid.
	tried   id.Epoch
	lost    int
	retryAt time.Time
	since   time.Time
}

type heardHost struct {
	pos id.Position
	at  time.Time
}

// Decide returns what to do about all slots.
func (d *Decider) Decide(now time.Time, view View) Decision {
	d.table.Update(view.Live)
	d.wake(now)
	d.listen(now, view.Slots)
	d.observe(now, view)
	var decision Decision
	for number := range id.SlotCount {
		slot := id.Slot(number)
		state := view.Slots.Slot(slot)
		target := Target{Slot: slot, Epoch: state.Epoch}
		belongs := !view.Leaving && d.table.Owner(slot) == view.Self
		switch {
		case state.State == projection.SlotUnknown:
			// Somebody who knows the slot looks after it until a snapshot is read.
		case state.State != projection.SlotOwned:
			if belongs {
				decision.Claim = append(decision.Claim, target)
			}
		case state.Owner == view.Self && state.Incarnation != view.Run:
			// An earlier process of this host: what it had reserved is settled by a new claim.
			decision.Force = append(decision.Force, target)
		case state.Owner == view.Self:
			if view.Sealed(slot) || (!belongs && !view.Busy(slot)) {
				decision.Release = append(decision.Release, target)
			}
		case belongs && d.silent(now, view, state.Owner) && d.mayForce(now, target):
			decision.Force = append(decision.Force, target)
		}
	}

	return decision
}

// wake notes when this process has run without a pause since: after a pause all others seem silent.
func (d *Decider) wake(now time.Time) {
	if now.Sub(d.last) >= pauseGap {
		d.awake = now
	}
	d.last = now
}

// listen notes when the latest record of each host was read.
func (d *Decider) listen(now time.Time, slots *projection.Slots) {
	if d.heard == nil {
		d.heard = make(map[id.Host]heardHost)
	}
	slots.ForEachHost(func(host id.Host, pos id.Position) {
		if d.heard[host].pos != pos {
			d.heard[host] = heardHost{pos: pos, at: now}
		}
	})
}

// silent reports whether neither heartbeats nor records of a host came for the timeout.
func (d *Decider) silent(now time.Time, view View, host id.Host) bool {
	timeout := SilenceTimeout
	if 2*len(view.Live) < view.Listed {
		timeout = MinorityTimeout
	}

	return min(view.Silence(host), now.Sub(d.heard[host].at), now.Sub(d.awake)) >= timeout
}

// observe counts the slots that this host has forced and another host holds.
func (d *Decider) observe(now time.Time, view View) {
	for slot, f := range d.forced {
		state := view.Slots.Slot(slot)
		switch {
		case state.Epoch == f.base:
		case state.Owner == view.Self:
			f.base = state.Epoch
			if f.since.IsZero() {
				f.since = now
			}
			d.forced[slot] = f
		default:
			f.base = state.Epoch
			f.since = time.Time{}
			f.lost = min(f.lost+1, maxBackoffDoublings)
			f.retryAt = now.Add(lostBackoff << (f.lost - 1))
			d.forced[slot] = f
		}
		if !f.since.IsZero() && now.Sub(f.since) >= settledAfter {
			delete(d.forced, slot)
		}
	}
}

// mayForce applies the back-off and the cap on forced claims.
func (d *Decider) mayForce(now time.Time, target Target) bool {
	if now.Sub(d.window) >= time.Minute {
		d.window = now
		d.windowCount = 0
	}
	f := d.forced[target.Slot]
	if now.Before(f.retryAt) {
		return false
	}
	if f.tried != target.Epoch {
		if d.windowCount >= forcedPerMinute {
			return false
		}
		d.windowCount++
	}
	f.tried = target.Epoch
	if d.forced == nil {
		d.forced = make(map[id.Slot]forcedSlot)
	}
	f.base = target.Epoch
	d.forced[target.Slot] = f

	return true
}
