package placement

import (
	"time"

	"cardamomward/core/id"
	"cardamomward/core/prompt"
)

// Request describes the call to place.
type Request struct {
	PromptTokens  id.Tokens
	FailureDomain id.FailureDomain
	// Chain are the prefixes of the prompt, shortest first, Tokens the length of each.
	Chain  []prompt.PrefixHash
	Tokens []id.Tokens
	// Exclude are upstreams that must not run the call.
	Exclude map[id.Upstream]bool
	// Urgent calls may wait at an upstream, which serves them first.
	Urgent bool
	// Continues says that earlier turns of the program have left a prefix of its own at some upstream.
	Continues bool
	// Waited is how long the call has waited for an upstream.
	Waited time.Duration
}

// Outcome says what became of the choice.
type Outcome int

// Outcomes of a choice.
const (
	// Chosen names an upstream.
	Chosen Outcome = iota
	// Hold says that this call does better to wait for the upstream that has its prefix.
	Hold
	// Excluded says that only excluded upstreams have room.
	Excluded
	// Full says that no upstream has room for any call of the class.
	Full
)

const (
	// draws is how many upstreams with room are compared, beside those that hold a prefix.
	draws = 6
	// holderDraws is how many upstreams that hold a prefix are compared.
	holderDraws = 4
	// otherDomain is what a call to another failure domain costs, in seconds.
	otherDomain = 0.004
	// sharing is the part of a call's length that a full batch adds.
	sharing = 1
	// ownPrefix is how many times its prefill the loss of a program's own prefix costs: others wait for the
	// prefill too, lose their prefixes to it, and the program's later turns follow it.
	ownPrefix = 10
	// spareFactor is how many times its slots an upstream takes from urgent calls and hosts below their part.
	spareFactor = 2
)

// search is the state of one choice.
type search struct {
	index     *Index
	now       time.Time
	req       *Request
	best      *state
	bestScore float64
	held      *state
	heldScore float64
	// heldSaving is the time that the held upstream's cached prefix saves, in seconds.
	heldSaving float64
	excluded   bool
	seen       [2*draws + holderDraws]*state
	seenCount  int
}

// Choose returns the upstream that is expected to answer the call first.
func (x *Index) Choose(now time.Time, req *Request) (id.Upstream, Outcome) {
	s := search{index: x, now: now, req: req}
	s.holders()
	s.drawn()
	if s.best == nil && s.beyond() {
		s.draw(&x.spare, draws)
	}
	switch {
	case s.best == nil && len(x.open.states) == 0 && !s.excluded:
		return "", Full
	case s.held != nil && (s.best == nil || s.heldScore < s.bestScore) && req.Waited.Seconds() < s.heldSaving:
		return s.held.id, Hold
	case s.best != nil:
		return s.best.id, Chosen
	case s.excluded || s.held != nil:
		return "", Excluded
	default:
		return "", Full
	}
}

// holders weighs the upstreams with the longest known prefixes.
func (s *search) holders() {
	left := holderDraws
	for i := len(s.req.Chain) - 1; i >= 0 && left > 0; i-- {
		list := s.index.holders[s.req.Chain[i]]
		if len(list) == 0 {
			continue
		}
		first := 0
		if len(list) > left {
			first = s.index.rng.IntN(len(list))
		}
		for j := range min(left, len(list)) {
			h := list[(first+j)%len(list)]
			if s.note(h.state) {
				left--
				s.weigh(h.state, h.trust()*float64(s.req.Tokens[i]), true)
			}
		}
	}
}

// drawn weighs upstreams with room, half of them in the host's failure domain.
func (s *search) drawn() {
	local := s.index.domains[s.req.FailureDomain]
	if local != nil {
		s.draw(local, draws/2)
	}
	s.draw(&s.index.open, draws-draws/2)
}

func (s *search) draw(set *sample, count int) {
	size := len(set.states)
	if size == 0 {
		return
	}
	first := s.index.rng.IntN(size)
	for i := range min(count, size) {
		at := first + i
		if size > count {
			at = s.index.rng.IntN(size)
		}
		if u := set.states[at%size]; s.note(u) {
			s.weigh(u, 0, false)
		}
	}
}

// note reports whether the upstream has not been weighed yet.
func (s *search) note(u *state) bool {
	for _, other := range s.seen[:s.seenCount] {
		if other == u {
			return false
		}
	}
	if s.seenCount == len(s.seen) {
		return false
	}
	s.seen[s.seenCount] = u
	s.seenCount++

	return true
}

// weigh keeps the upstream if it is the best so far with room, or the best that is worth waiting for.
func (s *search) weigh(u *state, cached float64, holds bool) {
	if !u.available {
		return
	}
	if s.req.Exclude[u.id] {
		s.excluded = true

		return
	}
	calls := s.index.calls(u, s.now)
	score := s.score(u, calls, cached)
	if s.room(u, calls) {
		if s.best == nil || score < s.bestScore {
			s.best, s.bestScore = u, score
		}

		return
	}
	if holds && (s.held == nil || score < s.heldScore) {
		s.held, s.heldScore, s.heldSaving = u, score, s.worth()*cached/u.prefill()
	}
}

// score returns the seconds until the upstream has computed the prompt, with the slowdown of its batch.
func (s *search) score(u *state, calls, cached float64) float64 {
	slots := float64(u.slots())
	score := s.worth() * max(0, float64(s.req.PromptTokens)-cached) / u.prefill()
	score += sharing * s.index.callSec * min(1, calls/slots)
	if over := calls - slots + 1; over > 0 {
		score += over * s.index.callSec / slots
	}
	if u.domain != s.req.FailureDomain {
		score += otherDomain
	}

	return score
}

// worth returns how many times its prefill a cached token saves.
func (s *search) worth() float64 {
	if s.req.Continues {
		return ownPrefix
	}

	return 1
}

// room reports whether this host may send one more call to the upstream. A host with less than its part of
// all slots under way may go further, so that lagging reports do not shut it out.
func (s *search) room(u *state, calls float64) bool {
	limit := float64(u.slots() + u.depth())
	if s.beyond() {
		limit = float64(spareFactor * u.slots())
	}

	return calls < limit
}

// beyond reports whether the call may go to an upstream that is full for others.
func (s *search) beyond() bool {
	return s.req.Urgent || s.index.own*max(1, s.index.Hosts) < s.index.slots
}
