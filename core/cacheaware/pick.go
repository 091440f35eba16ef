package cacheaware

import (
	"time"

	"cardamomward/core/id"
	"cardamomward/core/prompt"
)

// Request describes the call for which an upstream is picked.
type Request struct {
	PromptTokens  id.Tokens
	FailureDomain id.FailureDomain
	// Prefixes are the prefixes of the prompt, shortest first; PrefixTokens holds the length of each in tokens.
	Prefixes     []prompt.PrefixHash
	PrefixTokens []id.Tokens
	// ExcludedUpstreams must not run the call.
	ExcludedUpstreams map[id.Upstream]bool
	// Urgent calls may queue at a full upstream, which serves them first.
	Urgent bool
	// ContinuesProgram is true if earlier turns of the program have left its own prefix in the cache of some upstream.
	ContinuesProgram bool
	// WaitTime is the call's time in the queue so far.
	WaitTime time.Duration
}

// Result says whether Pick found an upstream, and why not if it found none.
type Result int

// Results of Pick.
const (
	// Picked means that the returned upstream should run the call.
	Picked Result = iota
	// WaitForCachedPrefix means that the call should wait for the returned upstream, which is full but has its prefix.
	WaitForCachedPrefix
	// OnlyExcluded means that only excluded upstreams have room.
	OnlyExcluded
	// NoCapacity means that no upstream has room for any call of the same priority class.
	NoCapacity
)

const (
	// roomSampleSize is how many random upstreams with room are compared, besides those with a cached prefix.
	roomSampleSize = 6
	// holderSampleSize is how many upstreams with a cached prefix are compared.
	holderSampleSize = 4
	// crossDomainPenaltySeconds is added to the score of an upstream in another failure domain.
	crossDomainPenaltySeconds = 0.004
	// fullBatchSlowdown is the delay that a full batch adds, as a multiple of the mean call duration.
	fullBatchSlowdown = 1
	// ownPrefixCostFactor multiplies the prefill time that losing a program's own prefix costs: other calls wait for
	// that prefill too, it evicts their prefixes, and the program's later turns follow it to the new upstream.
	ownPrefixCostFactor = 50
	// sharedPrefixCostFactor does the same for a new program, since each further copy of a shared prefix evicts others.
	sharedPrefixCostFactor = 4
	// ownPrefixWaitFactor bounds the wait for the upstream with a program's own prefix, as a multiple of the prefill time
	// that the prefix saves.
	ownPrefixWaitFactor = 10
	// overflowFactor bounds the calls at an upstream, as a multiple of those that it can run at a time, for urgent calls
	// and for hosts that use less than their share.
	overflowFactor = 2
)

// pickSearch is the state of one call of Pick.
type pickSearch struct {
	balancer  *Balancer
	now       time.Time
	req       *Request
	best      *upstreamState
	bestScore float64
	// waitCandidate is the best full upstream with a cached prefix, for which the call may wait.
	waitCandidate      *upstreamState
	waitCandidateScore float64
	// prefixSavingSeconds is the prefill time that the prefix cached at waitCandidate saves.
	prefixSavingSeconds float64
	foundExcluded       bool
	comparedUpstreams   [2*roomSampleSize + holderSampleSize]*upstreamState
	comparedCount       int
}

// Pick returns the upstream with the lowest score: the one expected to have computed the prompt first.
func (b *Balancer) Pick(now time.Time, req *Request) (id.Upstream, Result) {
	s := pickSearch{balancer: b, now: now, req: req}
	s.scoreHolders()
	s.scoreSample()
	if s.best == nil && s.mayOverflow() {
		s.scoreRandomMembers(&b.upstreamsWithOverflowRoom, roomSampleSize)
	}
	switch {
	case s.best == nil && len(b.upstreamsWithRoom.members) == 0 && !s.foundExcluded:
		return "", NoCapacity
	case s.waitCandidate != nil && (s.best == nil || s.waitCandidateScore < s.bestScore) && req.WaitTime.Seconds() < s.prefixSavingSeconds:
		return s.waitCandidate.id, WaitForCachedPrefix
	case s.best != nil:
		b.recordProgramTokens(req)

		return s.best.id, Picked
	case s.foundExcluded || s.waitCandidate != nil:
		return "", OnlyExcluded
	default:
		return "", NoCapacity
	}
}

// scoreHolders compares upstreams that have cached the longest prefixes of the prompt.
func (s *pickSearch) scoreHolders() {
	remaining := holderSampleSize
	for i := len(s.req.Prefixes) - 1; i >= 0 && remaining > 0; i-- {
		list := s.balancer.holders[s.req.Prefixes[i]]
		if len(list) == 0 {
			continue
		}
		first := 0
		if len(list) > remaining {
			first = s.balancer.rng.IntN(len(list))
		}
		for j := range min(remaining, len(list)) {
			h := list[(first+j)%len(list)]
			if s.markCompared(h.upstream) {
				remaining--
				s.compareUpstream(h.upstream, h.confidence()*float64(s.req.PrefixTokens[i]), true)
			}
		}
	}
}

// scoreSample compares random upstreams with room, half of them in the failure domain of the request.
func (s *pickSearch) scoreSample() {
	local := s.balancer.upstreamsWithRoomByDomain[s.req.FailureDomain]
	if local != nil {
		s.scoreRandomMembers(local, roomSampleSize/2)
	}
	s.scoreRandomMembers(&s.balancer.upstreamsWithRoom, roomSampleSize-roomSampleSize/2)
}

func (s *pickSearch) scoreRandomMembers(set *upstreamSet, count int) {
	size := len(set.members)
	if size == 0 {
		return
	}
	first := s.balancer.rng.IntN(size)
	for i := range min(count, size) {
		index := first + i
		if size > count {
			index = s.balancer.rng.IntN(size)
		}
		if u := set.members[index%size]; s.markCompared(u) {
			s.compareUpstream(u, 0, false)
		}
	}
}

// markCompared marks the upstream as compared and reports whether it was not marked before.
func (s *pickSearch) markCompared(u *upstreamState) bool {
	for _, other := range s.comparedUpstreams[:s.comparedCount] {
		if other == u {
			return false
		}
	}
	if s.comparedCount == len(s.comparedUpstreams) {
		return false
	}
	s.comparedUpstreams[s.comparedCount] = u
	s.comparedCount++

	return true
}

// compareUpstream keeps the upstream if it has the best score so far of those with room, or of the full ones that have
// cached a prefix and may be worth waiting for.
func (s *pickSearch) compareUpstream(u *upstreamState, cachedTokens float64, hasCachedPrefix bool) {
	if !u.available {
		return
	}
	if s.req.ExcludedUpstreams[u.id] {
		s.foundExcluded = true

		return
	}
	calls := s.balancer.estimateCalls(u, s.now)
	score := s.scoreUpstream(u, calls, cachedTokens)
	if s.hasRoom(u, calls) {
		if s.best == nil || score < s.bestScore {
			s.best, s.bestScore = u, score
		}

		return
	}
	if hasCachedPrefix && (s.waitCandidate == nil || score < s.waitCandidateScore) {
		s.waitCandidate, s.waitCandidateScore, s.prefixSavingSeconds = u, score, s.prefixWaitFactor()*cachedTokens/u.prefillTokensPerSecond()
	}
}

// scoreUpstream returns the expected seconds until the upstream has computed the prompt, including the slowdown by its
// batch and its queue, and the weighted costs of prefill and of later evictions.
func (s *pickSearch) scoreUpstream(u *upstreamState, calls, cachedTokens float64) float64 {
	capacity := float64(u.maxConcurrentCalls())
	score := s.prefillCostFactor() * max(0, float64(s.req.PromptTokens)-cachedTokens) / u.prefillTokensPerSecond()
	score += fullBatchSlowdown * s.balancer.meanCallSeconds * min(1, calls/capacity)
	if excessCalls := calls - capacity + 1; excessCalls > 0 {
		score += excessCalls * s.balancer.meanCallSeconds / capacity
	}
	score += s.evictionSeconds(u)
	if u.domain != s.req.FailureDomain {
		score += crossDomainPenaltySeconds
	}

	return score
}

// prefillCostFactor returns by which factor the cost of prefill is multiplied for the request.
func (s *pickSearch) prefillCostFactor() float64 {
	if s.req.ContinuesProgram {
		return ownPrefixCostFactor
	}

	return sharedPrefixCostFactor
}

// prefixWaitFactor returns by which factor the prefill time that a prefix saves bounds the wait for it.
func (s *pickSearch) prefixWaitFactor() float64 {
	if s.req.ContinuesProgram {
		return ownPrefixWaitFactor
	}

	return 1
}

// hasRoom reports whether this host may send one more call to the upstream. A host that uses less than its share of
// the total capacity gets a higher limit, so that late load reports do not keep it from sending calls.
func (s *pickSearch) hasRoom(u *upstreamState, calls float64) bool {
	limit := float64(u.maxConcurrentCalls() + u.maxQueuedCalls())
	if s.mayOverflow() {
		limit = float64(overflowFactor * u.maxConcurrentCalls())
	}

	return calls < limit
}

// mayOverflow reports whether the call may be sent to an upstream that is full for other calls: it is urgent, or this
// host uses less than its share of the total capacity.
func (s *pickSearch) mayOverflow() bool {
	return s.req.Urgent || s.balancer.ownCalls*max(1, s.balancer.HostCount) < s.balancer.totalMaxConcurrentCalls
}
