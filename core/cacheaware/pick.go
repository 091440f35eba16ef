package cacheaware

import (
	"time"

	"cardamomward/core/id"
	"cardamomward/core/prompt"
)

// Request describes the call to place.
type Request struct {
	PromptTokens  id.Tokens
	FailureDomain id.FailureDomain
	// Prefixes are the prefixes of the prompt, shortest first, Tokens the length of each.
	Prefixes     []prompt.Prefix
	PrefixTokens []id.Tokens
	// ExcludedUpstreams are upstreams that must not run the call.
	ExcludedUpstreams map[id.Upstream]bool
	// Urgent calls may wait at an upstream, which serves them first.
	Urgent bool
	// ContinuesProgram says that earlier turns of the program have left a prefix of its own at some upstream.
	ContinuesProgram bool
	// WaitTime is how long the call has waited for an upstream.
	WaitTime time.Duration
}

// Result says what became of the choice.
type Result int

// Outcomes of a choice.
const (
	// Picked names an upstream.
	Picked Result = iota
	// WaitForCachedPrefix says that this call does better to wait for the upstream that has its prefix.
	WaitForCachedPrefix
	// OnlyExcluded says that only excluded upstreams have room.
	OnlyExcluded
	// NoCapacity says that no upstream has room for any call of the class.
	NoCapacity
)

const (
	// roomSampleSize is how many upstreams with room are compared, beside those that hold a prefix.
	roomSampleSize = 6
	// holderSampleSize is how many upstreams that hold a prefix are compared.
	holderSampleSize = 4
	// crossDomainPenaltySeconds is what a call to another failure domain costs, in seconds.
	crossDomainPenaltySeconds = 0.004
	// fullBatchSlowdown is the part of a call's length that a full batch adds.
	fullBatchSlowdown = 1
	// ownPrefixCostFactor is how many times its prefill the loss of a program's own prefix costs: others wait for the
	// prefill too, lose their prefixes to it, and the program's later turns follow it.
	ownPrefixCostFactor = 10
	// overflowFactor is how many times its capacity an upstream takes from urgent calls and hosts below their part.
	overflowFactor = 2
)

// pickSearch is the state of one choice.
type pickSearch struct {
	balancer     *Balancer
	now          time.Time
	req          *Request
	best         *upstreamState
	bestScore    float64
	awaited      *upstreamState
	awaitedScore float64
	// awaitedSavingSeconds is the time that the held upstream's cached prefix saves, in seconds.
	awaitedSavingSeconds float64
	foundExcluded        bool
	compared             [2*roomSampleSize + holderSampleSize]*upstreamState
	comparedCount        int
}

// Pick returns the upstream that is expected to answer the call first.
func (b *Balancer) Pick(now time.Time, req *Request) (id.Upstream, Result) {
	s := pickSearch{balancer: b, now: now, req: req}
	s.scoreHolders()
	s.scoreSample()
	if s.best == nil && s.mayOverflow() {
		s.scoreRandomMembers(&b.withOverflowRoom, roomSampleSize)
	}
	switch {
	case s.best == nil && len(b.withRoom.members) == 0 && !s.foundExcluded:
		return "", NoCapacity
	case s.awaited != nil && (s.best == nil || s.awaitedScore < s.bestScore) && req.WaitTime.Seconds() < s.awaitedSavingSeconds:
		return s.awaited.id, WaitForCachedPrefix
	case s.best != nil:
		return s.best.id, Picked
	case s.foundExcluded || s.awaited != nil:
		return "", OnlyExcluded
	default:
		return "", NoCapacity
	}
}

// scoreHolders weighs the upstreams with the longest known prefixes.
func (s *pickSearch) scoreHolders() {
	left := holderSampleSize
	for i := len(s.req.Prefixes) - 1; i >= 0 && left > 0; i-- {
		list := s.balancer.holders[s.req.Prefixes[i]]
		if len(list) == 0 {
			continue
		}
		first := 0
		if len(list) > left {
			first = s.balancer.rng.IntN(len(list))
		}
		for j := range min(left, len(list)) {
			h := list[(first+j)%len(list)]
			if s.markCompared(h.upstream) {
				left--
				s.compare(h.upstream, h.confidence()*float64(s.req.PrefixTokens[i]), true)
			}
		}
	}
}

// scoreSample weighs upstreams with room, half of them in the host's failure domain.
func (s *pickSearch) scoreSample() {
	local := s.balancer.withRoomByDomain[s.req.FailureDomain]
	if local != nil {
		s.scoreRandomMembers(local, roomSampleSize/2)
	}
	s.scoreRandomMembers(&s.balancer.withRoom, roomSampleSize-roomSampleSize/2)
}

func (s *pickSearch) scoreRandomMembers(set *upstreamSet, count int) {
	size := len(set.members)
	if size == 0 {
		return
	}
	first := s.balancer.rng.IntN(size)
	for i := range min(count, size) {
		at := first + i
		if size > count {
			at = s.balancer.rng.IntN(size)
		}
		if u := set.members[at%size]; s.markCompared(u) {
			s.compare(u, 0, false)
		}
	}
}

// markCompared reports whether the upstream has not been weighed yet.
func (s *pickSearch) markCompared(u *upstreamState) bool {
	for _, other := range s.compared[:s.comparedCount] {
		if other == u {
			return false
		}
	}
	if s.comparedCount == len(s.compared) {
		return false
	}
	s.compared[s.comparedCount] = u
	s.comparedCount++

	return true
}

// compare keeps the upstream if it is the best so far with room, or the best that is worth waiting for.
func (s *pickSearch) compare(u *upstreamState, cached float64, hasPrefix bool) {
	if !u.available {
		return
	}
	if s.req.ExcludedUpstreams[u.id] {
		s.foundExcluded = true

		return
	}
	calls := s.balancer.estimateCalls(u, s.now)
	score := s.score(u, calls, cached)
	if s.hasRoom(u, calls) {
		if s.best == nil || score < s.bestScore {
			s.best, s.bestScore = u, score
		}

		return
	}
	if hasPrefix && (s.awaited == nil || score < s.awaitedScore) {
		s.awaited, s.awaitedScore, s.awaitedSavingSeconds = u, score, s.prefillCostFactor()*cached/u.prefillTokensPerSecond()
	}
}

// score returns the seconds until the upstream has computed the prompt, with the slowdown of its batch.
func (s *pickSearch) score(u *upstreamState, calls, cached float64) float64 {
	capacity := float64(u.maxConcurrentCalls())
	score := s.prefillCostFactor() * max(0, float64(s.req.PromptTokens)-cached) / u.prefillTokensPerSecond()
	score += fullBatchSlowdown * s.balancer.meanCallSeconds * min(1, calls/capacity)
	if over := calls - capacity + 1; over > 0 {
		score += over * s.balancer.meanCallSeconds / capacity
	}
	if u.domain != s.req.FailureDomain {
		score += crossDomainPenaltySeconds
	}

	return score
}

// prefillCostFactor returns how many times its prefill a cached token saves.
func (s *pickSearch) prefillCostFactor() float64 {
	if s.req.ContinuesProgram {
		return ownPrefixCostFactor
	}

	return 1
}

// hasRoom reports whether this host may send one more call to the upstream. A host with less than its part of
// all capacity under way may go further, so that lagging reports do not shut it out.
func (s *pickSearch) hasRoom(u *upstreamState, calls float64) bool {
	limit := float64(u.maxConcurrentCalls() + u.maxQueuedCalls())
	if s.mayOverflow() {
		limit = float64(overflowFactor * u.maxConcurrentCalls())
	}

	return calls < limit
}

// mayOverflow reports whether the call may go to an upstream that is full for others.
func (s *pickSearch) mayOverflow() bool {
	return s.req.Urgent || s.balancer.ownCalls*max(1, s.balancer.HostCount) < s.balancer.totalMaxConcurrentCalls
}
