package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"cardamomward/core/id"
	"cardamomward/core/prompt"
)

// Load is what an upstream reports of itself.
type Load struct {
	// Slots is how many calls the upstream runs at a time; zero is not known.
	Slots   int
	Running int
	Waiting int
	// PrefillPerSecond is how many prompt tokens the upstream computes a second; zero is not known.
	PrefillPerSecond float64
}

// change is a call begun or ended at a time that a load report may not cover yet.
type change struct {
	at    time.Time
	delta int
}

// state is an upstream as this host sees it.
type state struct {
	id       id.Upstream
	domain   id.FailureDomain
	load     Load
	reported time.Time
	own      int
	changes  []change
	// since is the sum of the changes.
	since int
	// known are the prefixes that the upstream is taken to hold.
	known map[prompt.PrefixHash]*holding
	// gaps counts the gaps in the upstream's cache events.
	gaps      int
	available bool
	spots     [3]spot
}

// holding is a prefix at an upstream; gap tells how many gaps had been seen when it was last confirmed.
type holding struct {
	state *state
	gap   int
	at    int
}

// Index holds the upstreams of one service; its zero value is empty.
type Index struct {
	// Hosts is how many hosts dispatch to the same upstreams; zero stands for one.
	Hosts int

	states  map[id.Upstream]*state
	holders map[prompt.PrefixHash][]*holding
	// open have room for any call, spare for urgent ones and hosts with less than their part.
	open    sample
	spare   sample
	domains map[id.FailureDomain]*sample
	slots   int
	own     int
	// others is the sum over all upstreams of the calls that are not this host's.
	others int
	// busy is the time that own calls spent at upstreams and ends how many ended, both fading.
	busy    float64
	ends    float64
	callSec float64
	counted time.Time
	rng     *rand.Rand
}

const (
	// defaultSlots stands for an upstream that has not reported.
	defaultSlots = 4
	// defaultPrefill is in tokens a second and stands for an upstream that has not reported.
	defaultPrefill = 8000
	// defaultCall is the length of a call in seconds before one has ended.
	defaultCall = 2
	// callWeight is the part of the average call length that fades with each call.
	callWeight = 0.02
)

// Set adds an upstream or changes its failure domain.
func (x *Index) Set(upstream id.Upstream, domain id.FailureDomain) {
	x.init()
	s, ok := x.states[upstream]
	if ok && s.domain == domain {
		return
	}
	if ok {
		x.close(s)
		s.domain = domain
	} else {
		s = &state{id: upstream, domain: domain, available: true, spots: [3]spot{{at: -1}, {at: -1}, {at: -1}}}
		x.states[upstream] = s
		x.slots += s.slots()
	}
	x.refresh(s)
}

func (x *Index) init() {
	if x.states != nil {
		return
	}
	x.states = make(map[id.Upstream]*state)
	x.holders = make(map[prompt.PrefixHash][]*holding)
	x.domains = make(map[id.FailureDomain]*sample)
	x.callSec, x.busy, x.ends = defaultCall, defaultCall, 1
	x.rng = rand.New(rand.NewPCG(1, 2))
}

// Seed makes the choice of samples repeatable.
func (x *Index) Seed(seed uint64) {
	x.init()
	x.rng = rand.New(rand.NewPCG(seed, seed+1))
}

// Drop forgets an upstream.
func (x *Index) Drop(upstream id.Upstream) {
	s, ok := x.states[upstream]
	if !ok {
		return
	}
	x.Clear(upstream)
	x.close(s)
	x.slots -= s.slots()
	x.own -= s.own
	x.others -= s.others()
	delete(x.states, upstream)
}

// SetAvailable says whether an upstream takes new calls.
func (x *Index) SetAvailable(upstream id.Upstream, available bool) {
	if s, ok := x.states[upstream]; ok && s.available != available {
		s.available = available
		x.refresh(s)
	}
}

// Report takes over a load report that described the upstream at a time.
func (x *Index) Report(upstream id.Upstream, at time.Time, load Load) {
	s, ok := x.states[upstream]
	if !ok {
		return
	}
	x.slots -= s.slots()
	x.others -= s.others()
	s.load, s.reported = load, at
	kept := s.changes[:0]
	for _, c := range s.changes {
		if c.at.After(at) {
			kept = append(kept, c)
		} else {
			s.since -= c.delta
		}
	}
	s.changes = kept
	x.slots += s.slots()
	x.others += s.others()
	x.refresh(s)
}

// Begin counts a call of this host at an upstream.
func (x *Index) Begin(upstream id.Upstream, now time.Time) { x.count(upstream, now, 1) }

// End takes a call of this host off the count.
func (x *Index) End(upstream id.Upstream, now time.Time) {
	x.count(upstream, now, -1)
	x.busy *= 1 - callWeight
	x.ends = x.ends*(1-callWeight) + 1
	x.callSec = x.busy / x.ends
}

// CallLength estimates how long a call runs, by Little's law from the calls under way and the rate of their ends.
func (x *Index) CallLength() time.Duration { return time.Duration(x.callSec * float64(time.Second)) }

func (x *Index) count(upstream id.Upstream, now time.Time, delta int) {
	s, ok := x.states[upstream]
	if !ok {
		return
	}
	if !x.counted.IsZero() {
		x.busy += float64(x.own) * now.Sub(x.counted).Seconds()
	}
	x.counted = now
	x.others -= s.others()
	s.own += delta
	x.own += delta
	if !s.reported.IsZero() {
		s.changed(now, delta)
	}
	x.others += s.others()
	x.refresh(s)
}

// maxChanges bounds the changes that are kept while no report comes.
const maxChanges = 256

// changed notes a change; where reports have stopped, the older half is kept as one.
func (s *state) changed(now time.Time, delta int) {
	s.since += delta
	s.changes = append(s.changes, change{at: now, delta: delta})
	if len(s.changes) <= maxChanges {
		return
	}
	merged := change{at: s.changes[maxChanges/2].at}
	for _, c := range s.changes[:maxChanges/2+1] {
		merged.delta += c.delta
	}
	s.changes = append(s.changes[:0], s.changes[maxChanges/2:]...)
	s.changes[0] = merged
}

func (s *state) slots() int {
	if s.load.Slots == 0 {
		return defaultSlots
	}

	return s.load.Slots
}

func (s *state) prefill() float64 {
	if s.load.PrefillPerSecond == 0 {
		return defaultPrefill
	}

	return s.load.PrefillPerSecond
}

// others returns the calls at the upstream that are not this host's, by the last report.
func (s *state) others() int {
	return max(0, s.load.Running+s.load.Waiting-(s.own-s.since))
}

// reportTrust is the age after which a load report is worth 1/e of a fresh one.
const reportTrust = 4 * time.Second

// calls estimates the calls at the upstream: its own calls are known, the others' fade to their mean.
func (x *Index) calls(s *state, now time.Time) float64 {
	mean := float64(x.others) / float64(len(x.states))
	trust := math.Exp(-now.Sub(s.reported).Seconds() / reportTrust.Seconds())
	if s.reported.IsZero() {
		trust = 0
	}

	return float64(s.own) + trust*float64(s.others()) + (1-trust)*mean
}

// depth returns how many calls may wait at an upstream, so that it stays busy between reports.
func (s *state) depth() int { return max(1, s.slots()/2) }

// Places of a state in the sets of upstreams with room.
const (
	spotOpen = iota
	spotDomain
	spotSpare
)

// refresh keeps the sets of upstreams with room up to date.
func (x *Index) refresh(s *state) {
	calls := s.own + s.others()
	if s.available && calls < s.slots()+s.depth() {
		x.room(s.domain).add(s, spotDomain)
		x.open.add(s, spotOpen)
	} else {
		x.room(s.domain).remove(s, spotDomain)
		x.open.remove(s, spotOpen)
	}
	if s.available && calls < spareFactor*s.slots() {
		x.spare.add(s, spotSpare)
	} else {
		x.spare.remove(s, spotSpare)
	}
}

func (x *Index) close(s *state) {
	x.open.remove(s, spotOpen)
	x.room(s.domain).remove(s, spotDomain)
	x.spare.remove(s, spotSpare)
}

func (x *Index) room(domain id.FailureDomain) *sample {
	set, ok := x.domains[domain]
	if !ok {
		set = &sample{}
		x.domains[domain] = set
	}

	return set
}
