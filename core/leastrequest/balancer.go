package leastrequest

import (
	"cmp"
	"slices"
	"time"

	"cardamomward/core/id"
)

const (
	// initialBackoff is how long an upstream is avoided after its first failure.
	initialBackoff = 500 * time.Millisecond
	// maxBackoffDoublings limits how often consecutive failures double the backoff.
	maxBackoffDoublings = 5
)

// Balancer tracks this host's calls to upstreams and their failures; its zero value is ready to use.
type Balancer struct {
	states map[id.Upstream]*upstreamState
	// sequence counts the calls that were started.
	sequence uint64
}

type upstreamState struct {
	runningCalls        int
	consecutiveFailures int
	backoffUntil        time.Time
	// lastUsed is the sequence number of the last call to the upstream.
	lastUsed uint64
}

// Rank returns the upstreams from best to worst: those not in backoff first, then by fewest running calls of this host,
// then least recently used. Upstreams in backoff stay in the result, because a failed upstream is better than none.
func (b *Balancer) Rank(now time.Time, upstreams []id.Upstream) []id.Upstream {
	ranked := slices.Clone(upstreams)
	slices.SortStableFunc(ranked, func(x, y id.Upstream) int {
		sx, sy := b.state(x), b.state(y)

		return cmp.Or(
			compareBool(sx.backoffUntil.After(now), sy.backoffUntil.After(now)),
			cmp.Compare(sx.runningCalls, sy.runningCalls),
			cmp.Compare(sx.lastUsed, sy.lastUsed),
		)
	})

	return ranked
}

// compareBool orders false before true.
func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return 1
	default:
		return -1
	}
}

// StartCall counts a running call at an upstream.
func (b *Balancer) StartCall(upstream id.Upstream) {
	s := b.state(upstream)
	b.sequence++
	s.runningCalls++
	s.lastUsed = b.sequence
}

// FinishCall ends a running call; an upstream that did not answer is in backoff for 500 ms, doubled with each consecutive
// failure up to 16 s.
func (b *Balancer) FinishCall(now time.Time, upstream id.Upstream, answered bool) {
	s := b.state(upstream)
	s.runningCalls--
	if answered {
		s.consecutiveFailures = 0
		s.backoffUntil = time.Time{}

		return
	}
	s.backoffUntil = now.Add(initialBackoff << min(s.consecutiveFailures, maxBackoffDoublings))
	s.consecutiveFailures++
}

// IsHealthy reports whether the upstream is not in backoff.
func (b *Balancer) IsHealthy(now time.Time, upstream id.Upstream) bool {
	return !b.state(upstream).backoffUntil.After(now)
}

func (b *Balancer) state(upstream id.Upstream) *upstreamState {
	if b.states == nil {
		b.states = make(map[id.Upstream]*upstreamState)
	}
	s, ok := b.states[upstream]
	if !ok {
		s = &upstreamState{}
		b.states[upstream] = s
	}

	return s
}
