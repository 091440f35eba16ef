package cacheaware

import (
	"math"
	"math/rand/v2"
	"time"

	"cardamomward/core/id"
	"cardamomward/core/prompt"
)

// LoadReport is the load that an upstream reports.
type LoadReport struct {
	// MaxConcurrentCalls is the concurrency of the upstream; zero if it is unknown.
	MaxConcurrentCalls int
	RunningCalls       int
	QueuedCalls        int
	// PrefillTokensPerSecond is the rate at which the upstream computes prompts; zero if it is unknown.
	PrefillTokensPerSecond float64
}

// callDelta is the start (1) or end (-1) of a call that the latest load report does not include yet.
type callDelta struct {
	at    time.Time
	delta int
}

// upstreamState is this host's view of an upstream.
type upstreamState struct {
	id         id.Upstream
	domain     id.FailureDomain
	load       LoadReport
	reportedAt time.Time
	ownCalls   int
	callDeltas []callDelta
	// unreportedCalls is the sum of callDeltas.
	unreportedCalls int
	// cachedPrefixes are the prefixes that the upstream has cached, by the cache events received.
	cachedPrefixes map[prompt.PrefixHash]*cachedPrefix
	// eventGaps counts the gaps in the upstream's cache events.
	eventGaps int
	// storedTokens are the tokens that the upstream has newly cached.
	storedTokens decayingSum
	available    bool
	setPositions [3]setPosition
}

// cachedPrefix is a prefix in the cache of an upstream. confirmedAtGap is the upstream's count of event gaps when the
// last event confirmed it; holderIndex is its index in the list of the prefix's holders.
type cachedPrefix struct {
	upstream       *upstreamState
	confirmedAtGap int
	holderIndex    int
}

// Balancer picks among the upstreams of one service; its zero value has none and is ready to use.
type Balancer struct {
	// HostCount is the number of hosts that send calls to the same upstreams; zero means one.
	HostCount int

	upstreams map[id.Upstream]*upstreamState
	// holders lists, for each prefix, its copies in the caches of upstreams.
	holders map[prompt.PrefixHash][]*cachedPrefix
	// upstreamsWithRoom holds the upstreams with room for any call, upstreamsWithOverflowRoom those with room for urgent
	// calls and for hosts that use less than their share.
	upstreamsWithRoom         upstreamSet
	upstreamsWithOverflowRoom upstreamSet
	upstreamsWithRoomByDomain map[id.FailureDomain]*upstreamSet
	totalMaxConcurrentCalls   int
	ownCalls                  int
	// totalOtherCalls is the number of calls of other hosts at all upstreams.
	totalOtherCalls int
	// storedTokens are the tokens that all upstreams have newly cached.
	storedTokens decayingSum
	// programTokens is the mean length of the prompts that begin with a prefix, without the prefix itself.
	programTokens map[prompt.PrefixHash]float64
	// decayedCallSeconds is the time that calls of this host spent at upstreams, decayedEndedCalls how many of them
	// ended; both decay with each call that ends.
	decayedCallSeconds   float64
	decayedEndedCalls    float64
	meanCallSeconds      float64
	callSecondsUpdatedAt time.Time
	rng                  *rand.Rand
}

const (
	// defaultMaxConcurrentCalls applies until an upstream reports its own.
	defaultMaxConcurrentCalls = 4
	// defaultPrefillTokensPerSecond applies until an upstream reports its own.
	defaultPrefillTokensPerSecond = 8000
	// defaultCallSeconds is the assumed duration of a call until one has ended.
	defaultCallSeconds = 2
	// callDecayFraction is the fraction of the sums behind the mean call duration that each ended call removes.
	callDecayFraction = 0.02
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
	b.holders = make(map[prompt.PrefixHash][]*cachedPrefix)
	b.programTokens = make(map[prompt.PrefixHash]float64)
	b.upstreamsWithRoomByDomain = make(map[id.FailureDomain]*upstreamSet)
	b.meanCallSeconds, b.decayedCallSeconds, b.decayedEndedCalls = defaultCallSeconds, defaultCallSeconds, 1
	b.rng = rand.New(rand.NewPCG(1, 2))
}

// SetRandomSeed sets the seed of the random samples that Pick compares.
func (b *Balancer) SetRandomSeed(seed uint64) {
	b.initialize()
	b.rng = rand.New(rand.NewPCG(seed, seed+1))
}

// RemoveUpstream removes an upstream and all that is known about it.
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
	b.storedTokens.value -= s.storedTokens.at(b.storedTokens.updatedAt)
	delete(b.upstreams, upstream)
}

// SetAvailable sets whether an upstream accepts new calls.
func (b *Balancer) SetAvailable(upstream id.Upstream, available bool) {
	if s, ok := b.upstreams[upstream]; ok && s.available != available {
		s.available = available
		b.updateSets(s)
	}
}

// RecordLoad replaces the load of an upstream by a report that was taken at the given time.
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

// StartCall counts a call that this host sends to an upstream; FinishCall must follow.
func (b *Balancer) StartCall(upstream id.Upstream, now time.Time) { b.addCalls(upstream, now, 1) }

// FinishCall ends a call that StartCall counted.
func (b *Balancer) FinishCall(upstream id.Upstream, now time.Time) {
	b.addCalls(upstream, now, -1)
	b.decayedCallSeconds *= 1 - callDecayFraction
	b.decayedEndedCalls = b.decayedEndedCalls*(1-callDecayFraction) + 1
	b.meanCallSeconds = b.decayedCallSeconds / b.decayedEndedCalls
}

// MeanCallDuration estimates how long a call runs, by Little's law from the number of running calls and the rate at
// which they end.
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

// maxCallDeltas bounds the call deltas that are kept while no load report arrives.
const maxCallDeltas = 256

// addCallDelta records a start or end of a call; beyond maxCallDeltas, the older half is merged into one.
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

// otherCalls returns how many calls of other hosts the latest load report shows.
func (s *upstreamState) otherCalls() int {
	return max(0, s.load.RunningCalls+s.load.QueuedCalls-(s.ownCalls-s.unreportedCalls))
}

// reportDecayTime is the age at which the weight of a load report has fallen to 1/e.
const reportDecayTime = 4 * time.Second

// estimateCalls estimates how many calls are at the upstream: those of this host are known; for those of other
// hosts, the reported number loses weight against the mean over all upstreams as the report ages.
func (b *Balancer) estimateCalls(s *upstreamState, now time.Time) float64 {
	mean := float64(b.totalOtherCalls) / float64(len(b.upstreams))
	weight := math.Exp(-now.Sub(s.reportedAt).Seconds() / reportDecayTime.Seconds())
	if s.reportedAt.IsZero() {
		weight = 0
	}

	return float64(s.ownCalls) + weight*float64(s.otherCalls()) + (1-weight)*mean
}

// maxQueuedCalls returns how many calls may queue at an upstream, so that it stays busy between reports.
func (s *upstreamState) maxQueuedCalls() int { return max(1, s.maxConcurrentCalls()/2) }

// Indexes into setPositions, one for each kind of set that an upstream can be in.
const (
	positionWithRoom = iota
	positionInDomain
	positionWithOverflowRoom
)

// updateSets adds the upstream to the sets for which it has room and removes it from the others.
func (b *Balancer) updateSets(s *upstreamState) {
	calls := s.ownCalls + s.otherCalls()
	if s.available && calls < s.maxConcurrentCalls()+s.maxQueuedCalls() {
		b.domainSet(s.domain).add(s, positionInDomain)
		b.upstreamsWithRoom.add(s, positionWithRoom)
	} else {
		b.domainSet(s.domain).remove(s, positionInDomain)
		b.upstreamsWithRoom.remove(s, positionWithRoom)
	}
	if s.available && calls < overflowFactor*s.maxConcurrentCalls() {
		b.upstreamsWithOverflowRoom.add(s, positionWithOverflowRoom)
	} else {
		b.upstreamsWithOverflowRoom.remove(s, positionWithOverflowRoom)
	}
}

func (b *Balancer) removeFromSets(s *upstreamState) {
	b.upstreamsWithRoom.remove(s, positionWithRoom)
	b.domainSet(s.domain).remove(s, positionInDomain)
	b.upstreamsWithOverflowRoom.remove(s, positionWithOverflowRoom)
}

// domainSet returns the set of upstreams with room in a failure domain.
func (b *Balancer) domainSet(domain id.FailureDomain) *upstreamSet {
	set, ok := b.upstreamsWithRoomByDomain[domain]
	if !ok {
		set = &upstreamSet{}
		b.upstreamsWithRoomByDomain[domain] = set
	}

	return set
}
