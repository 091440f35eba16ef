package cacheaware

import (
	"math"
	"math/rand/v2"
	"time"

	"cardamomward/core/id"
	"cardamomward/core/prompt"
)

// LoadReport is what an upstream reports of itself.
type LoadReport struct {
	// MaxConcurrentCalls is how many calls the upstream runs at a time; zero is not known.
	MaxConcurrentCalls int
	RunningCalls       int
	QueuedCalls        int
	// PrefillTokensPerSecond is how many prompt tokens the upstream computes a second; zero is not known.
	PrefillTokensPerSecond float64
}

// callDelta is a call begun or ended at a time that a load report may not cover yet.
type callDelta struct {
	at    time.Time
	delta int
}

// upstreamState is an upstream as this host sees it.
type upstreamState struct {
	id         id.Upstream
	domain     id.FailureDomain
	load       LoadReport
	reportedAt time.Time
	ownCalls   int
	callDeltas []callDelta
	// unreportedCalls is the sum of the changes.
	unreportedCalls int
	// cachedPrefixes are the prefixes that the upstream is taken to hold.
	cachedPrefixes map[prompt.Prefix]*cachedPrefix
	// eventGaps counts the eventGaps in the upstream's cache events.
	eventGaps    int
	available    bool
	setPositions [3]setPosition
}

// cachedPrefix is a prefix at an upstream; gap tells how many gaps had been seen when it was last confirmed.
type cachedPrefix struct {
	upstream       *upstreamState
	confirmedAtGap int
	holderIndex    int
}

// Balancer holds the upstreams of one service; its zero value is empty.
type Balancer struct {
	// HostCount is how many hosts dispatch to the same upstreams; zero stands for one.
	HostCount int

	upstreams map[id.Upstream]*upstreamState
	holders   map[prompt.Prefix][]*cachedPrefix
	// withRoom have room for any call, spare for urgent ones and hosts with less than their part.
	withRoom                upstreamSet
	withOverflowRoom        upstreamSet
	withRoomByDomain        map[id.FailureDomain]*upstreamSet
	totalMaxConcurrentCalls int
	ownCalls                int
	// totalOtherCalls is the sum over all upstreams of the calls that are not this host's.
	totalOtherCalls int
	// decayedCallSeconds is the time that own calls spent at upstreams and ends how many ended, both fading.
	decayedCallSeconds   float64
	decayedEndedCalls    float64
	meanCallSeconds      float64
	callSecondsUpdatedAt time.Time
	rng                  *rand.Rand
}

const (
	// defaultMaxConcurrentCalls stands for an upstream that has not reported.
	defaultMaxConcurrentCalls = 4
	// defaultPrefillTokensPerSecond is in tokens a second and stands for an upstream that has not reported.
	defaultPrefillTokensPerSecond = 8000
	// defaultCallSeconds is the length of a call in seconds before one has ended.
	defaultCallSeconds = 2
	// callDecayFactor is the part of the average call length that fades with each call.
	callDecayFactor = 0.02
)

// SetUpstream adds an upstream or changes its failure domain.
func (b *Balancer) SetUpstream(upstream id.Upstream, domain id.FailureDomain) {
	b.initialize()
	s, ok := b.upstreams[upstream]
	if ok && s.domain == domain {
		return
	}
	if ok {
		b.removeFromSets(s)
		s.domain = domain
	} else {
		s = &upstreamState{id: upstream, domain: domain, available: true, setPositions: [3]setPosition{{index: -1}, {index: -1}, {index: -1}}}
		b.upstreams[upstream] = s
		b.totalMaxConcurrentCalls += s.maxConcurrentCalls()
	}
	b.updateSets(s)
}

func (b *Balancer) initialize() {
	if b.upstreams != nil {
		return
	}
	b.upstreams = make(map[id.Upstream]*upstreamState)
	b.holders = make(map[prompt.Prefix][]*cachedPrefix)
	b.withRoomByDomain = make(map[id.FailureDomain]*upstreamSet)
	b.meanCallSeconds, b.decayedCallSeconds, b.decayedEndedCalls = defaultCallSeconds, defaultCallSeconds, 1
	b.rng = rand.New(rand.NewPCG(1, 2))
}

// SetRandomSeed makes the choice of samples repeatable.
func (b *Balancer) SetRandomSeed(seed uint64) {
	b.initialize()
	b.rng = rand.New(rand.NewPCG(seed, seed+1))
}

// RemoveUpstream forgets an upstream.
func (b *Balancer) RemoveUpstream(upstream id.Upstream) {
	s, ok := b.upstreams[upstream]
	if !ok {
		return
	}
	b.ClearCache(upstream)
	b.removeFromSets(s)
	b.totalMaxConcurrentCalls -= s.maxConcurrentCalls()
	b.ownCalls -= s.ownCalls
	b.totalOtherCalls -= s.otherCalls()
	delete(b.upstreams, upstream)
}

// SetAvailable says whether an upstream takes new calls.
func (b *Balancer) SetAvailable(upstream id.Upstream, available bool) {
	if s, ok := b.upstreams[upstream]; ok && s.available != available {
		s.available = available
		b.updateSets(s)
	}
}

// RecordLoad takes over a load report that described the upstream at a time.
func (b *Balancer) RecordLoad(upstream id.Upstream, at time.Time, load LoadReport) {
	s, ok := b.upstreams[upstream]
	if !ok {
		return
	}
	b.totalMaxConcurrentCalls -= s.maxConcurrentCalls()
	b.totalOtherCalls -= s.otherCalls()
	s.load, s.reportedAt = load, at
	kept := s.callDeltas[:0]
	for _, c := range s.callDeltas {
		if c.at.After(at) {
			kept = append(kept, c)
		} else {
			s.unreportedCalls -= c.delta
		}
	}
	s.callDeltas = kept
	b.totalMaxConcurrentCalls += s.maxConcurrentCalls()
	b.totalOtherCalls += s.otherCalls()
	b.updateSets(s)
}

// StartCall counts a call of this host at an upstream.
func (b *Balancer) StartCall(upstream id.Upstream, now time.Time) { b.addCalls(upstream, now, 1) }

// FinishCall takes a call of this host off the count.
func (b *Balancer) FinishCall(upstream id.Upstream, now time.Time) {
	b.addCalls(upstream, now, -1)
	b.decayedCallSeconds *= 1 - callDecayFactor
	b.decayedEndedCalls = b.decayedEndedCalls*(1-callDecayFactor) + 1
	b.meanCallSeconds = b.decayedCallSeconds / b.decayedEndedCalls
}

// MeanCallDuration estimates how long a call runs, by Little's law from the calls under way and the rate of their ends.
func (b *Balancer) MeanCallDuration() time.Duration {
	return time.Duration(b.meanCallSeconds * float64(time.Second))
}

func (b *Balancer) addCalls(upstream id.Upstream, now time.Time, delta int) {
	s, ok := b.upstreams[upstream]
	if !ok {
		return
	}
	if !b.callSecondsUpdatedAt.IsZero() {
		b.decayedCallSeconds += float64(b.ownCalls) * now.Sub(b.callSecondsUpdatedAt).Seconds()
	}
	b.callSecondsUpdatedAt = now
	b.totalOtherCalls -= s.otherCalls()
	s.ownCalls += delta
	b.ownCalls += delta
	if !s.reportedAt.IsZero() {
		s.addCallDelta(now, delta)
	}
	b.totalOtherCalls += s.otherCalls()
	b.updateSets(s)
}

// maxCallDeltas bounds the changes that are kept while no report comes.
const maxCallDeltas = 256

// addCallDelta notes a change; where reports have stopped, the older half is kept as one.
func (s *upstreamState) addCallDelta(now time.Time, delta int) {
	s.unreportedCalls += delta
	s.callDeltas = append(s.callDeltas, callDelta{at: now, delta: delta})
	if len(s.callDeltas) <= maxCallDeltas {
		return
	}
	merged := callDelta{at: s.callDeltas[maxCallDeltas/2].at}
	for _, c := range s.callDeltas[:maxCallDeltas/2+1] {
		merged.delta += c.delta
	}
	s.callDeltas = append(s.callDeltas[:0], s.callDeltas[maxCallDeltas/2:]...)
	s.callDeltas[0] = merged
}

func (s *upstreamState) maxConcurrentCalls() int {
	if s.load.MaxConcurrentCalls == 0 {
		return defaultMaxConcurrentCalls
	}

	return s.load.MaxConcurrentCalls
}

func (s *upstreamState) prefillTokensPerSecond() float64 {
	if s.load.PrefillTokensPerSecond == 0 {
		return defaultPrefillTokensPerSecond
	}

	return s.load.PrefillTokensPerSecond
}

// otherCalls returns the calls at the upstream that are not this host's, by the last report.
func (s *upstreamState) otherCalls() int {
	return max(0, s.load.RunningCalls+s.load.QueuedCalls-(s.ownCalls-s.unreportedCalls))
}

// reportDecayTime is the age after which a load report is worth 1/e of a fresh one.
const reportDecayTime = 4 * time.Second

// estimateCalls estimates the estimateCalls at the upstream: its own estimateCalls are known, the others' fade to their mean.
func (b *Balancer) estimateCalls(s *upstreamState, now time.Time) float64 {
	mean := float64(b.totalOtherCalls) / float64(len(b.upstreams))
	weight := math.Exp(-now.Sub(s.reportedAt).Seconds() / reportDecayTime.Seconds())
	if s.reportedAt.IsZero() {
		weight = 0
	}

	return float64(s.ownCalls) + weight*float64(s.otherCalls()) + (1-weight)*mean
}

// maxQueuedCalls returns how many calls may wait at an upstream, so that it stays busy between reports.
func (s *upstreamState) maxQueuedCalls() int { return max(1, s.maxConcurrentCalls()/2) }

// Places of a state in the sets of upstreams with room.
const (
	positionWithRoom = iota
	positionInDomain
	positionWithOverflowRoom
)

// updateSets keeps the sets of upstreams with room up to date.
func (b *Balancer) updateSets(s *upstreamState) {
	calls := s.ownCalls + s.otherCalls()
	if s.available && calls < s.maxConcurrentCalls()+s.maxQueuedCalls() {
		b.domainSet(s.domain).add(s, positionInDomain)
		b.withRoom.add(s, positionWithRoom)
	} else {
		b.domainSet(s.domain).remove(s, positionInDomain)
		b.withRoom.remove(s, positionWithRoom)
	}
	if s.available && calls < overflowFactor*s.maxConcurrentCalls() {
		b.withOverflowRoom.add(s, positionWithOverflowRoom)
	} else {
		b.withOverflowRoom.remove(s, positionWithOverflowRoom)
	}
}

func (b *Balancer) removeFromSets(s *upstreamState) {
	b.withRoom.remove(s, positionWithRoom)
	b.domainSet(s.domain).remove(s, positionInDomain)
	b.withOverflowRoom.remove(s, positionWithOverflowRoom)
}

func (b *Balancer) domainSet(domain id.FailureDomain) *upstreamSet {
	set, ok := b.withRoomByDomain[domain]
	if !ok {
		set = &upstreamSet{}
		b.withRoomByDomain[domain] = set
	}

	return set
}
