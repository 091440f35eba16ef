package placement

import (
	"cardamomward/core/id"
	"cardamomward/core/prompt"
)

// Stored notes that an upstream has cached a prefix.
func (x *Index) Stored(upstream id.Upstream, prefix prompt.PrefixHash) {
	s, ok := x.states[upstream]
	if !ok {
		return
	}
	if h, ok := s.known[prefix]; ok {
		h.gap = s.gaps

		return
	}
	if s.known == nil {
		s.known = make(map[prompt.PrefixHash]*holding)
	}
	h := &holding{state: s, gap: s.gaps, at: len(x.holders[prefix])}
	s.known[prefix] = h
	x.holders[prefix] = append(x.holders[prefix], h)
}

// Removed notes that an upstream has dropped a prefix.
func (x *Index) Removed(upstream id.Upstream, prefix prompt.PrefixHash) {
	s, ok := x.states[upstream]
	if !ok {
		return
	}
	h, ok := s.known[prefix]
	if !ok {
		return
	}
	delete(s.known, prefix)
	list := x.holders[prefix]
	last := len(list) - 1
	list[h.at] = list[last]
	list[h.at].at = h.at
	list[last] = nil
	if last == 0 {
		delete(x.holders, prefix)

		return
	}
	x.holders[prefix] = list[:last]
}

// Gap notes that cache events of an upstream were lost: what it holds is uncertain, not gone.
func (x *Index) Gap(upstream id.Upstream) {
	s, ok := x.states[upstream]
	if !ok {
		return
	}
	s.gaps++
	if s.gaps%maxGaps != 0 {
		return
	}
	for prefix, h := range s.known {
		if s.gaps-h.gap >= maxGaps {
			x.Removed(upstream, prefix)
		}
	}
}

// Clear notes that an upstream has lost its cache, as after a restart.
func (x *Index) Clear(upstream id.Upstream) {
	s, ok := x.states[upstream]
	if !ok {
		return
	}
	for prefix := range s.known {
		x.Removed(upstream, prefix)
	}
}

const (
	// gapTrust is the part of a prefix that still counts as cached after a gap in the events.
	gapTrust = 0.7
	// maxGaps is how many gaps a prefix outlasts before it is forgotten.
	maxGaps = 8
)

// trust returns how likely the upstream still holds the prefix.
func (h *holding) trust() float64 {
	gaps := min(maxGaps, h.state.gaps-h.gap)
	trust := 1.0
	for range gaps {
		trust *= gapTrust
	}

	return trust
}
