package leastrequest

import (
	"cmp"
	"slices"
	"time"

	"cardamomward/core/id"
)

const (
	// firstPause is how long an upstream is passed over after its first failure.
	firstPause = 500 * time.Millisecond
	// maxDoublings bounds the growth of the pause.
	maxDoublings = 5
)

// Balancer keeps what one host knows of upstreams; its zero value is ready.
type Balancer struct {
	states map[id.Upstream]*state
	turn   uint64
}

type state struct {
	running  int
	failures int
	// until is when the upstream is tried again.
	until time.Time
	// last is the turn in which the upstream was last used.
	last uint64
}

// Rank returns the upstreams best first: healthy ones, then those with the fewest calls of this host, then the
// least recently used. Failed ones come last, because a failed upstream is better than none.
func (b *Balancer) Rank(now time.Time, upstreams []id.Upstream) []id.Upstream {
	ordered := slices.Clone(upstreams)
	slices.SortStableFunc(ordered, func(x, y id.Upstream) int {
		sx, sy := b.state(x), b.state(y)

		return cmp.Or(
			compareBool(sx.until.After(now), sy.until.After(now)),
			cmp.Compare(sx.running, sy.running),
			cmp.Compare(sx.last, sy.last),
		)
	})

	return ordered
}

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

// StartCall counts a call at an upstream.
func (b *Balancer) StartCall(upstream id.Upstream) {
	s := b.state(upstream)
	b.turn++
	s.running++
	s.last = b.turn
}

// FinishCall takes the call off the count; an upstream that did not answer is passed over for a while that doubles.
func (b *Balancer) FinishCall(now time.Time, upstream id.Upstream, answered bool) {
	s := b.state(upstream)
	s.running--
	if answered {
		s.failures = 0
		s.until = time.Time{}

		return
	}
	s.until = now.Add(firstPause << min(s.failures, maxDoublings))
	s.failures++
}

// IsHealthy reports whether the upstream has not failed lately.
func (b *Balancer) IsHealthy(now time.Time, upstream id.Upstream) bool {
	return !b.state(upstream).until.After(now)
}

func (b *Balancer) state(upstream id.Upstream) *state {
	if b.states == nil {
		b.states = make(map[id.Upstream]*state)
	}
	s, ok := b.states[upstream]
	if !ok {
		s = &state{}
		b.states[upstream] = s
	}

	return s
}
