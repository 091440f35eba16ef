package turnstore

import (
	"cmp"
	"slices"
	"time"

	"cardamomward/core/id"
)

// residentBytes returns the size of the text that the turn has in memory.
func (t *Turn) residentBytes() int {
	if t.IsEvicted {
		return 0
	}

	return t.TextBytes
}

// ResidentBytes returns the size of all text in memory.
func (s *Store) ResidentBytes() int { return s.residentBytes }

// MarkDurable records that the text of a turn can be read from elsewhere, so that it may be evicted.
func (s *Store) MarkDurable(turn string) {
	if t, ok := s.turns[turn]; ok {
		t.IsDurable = true
	}
}

// Evicted returns those of a turn and the turns before it whose text is not in memory.
func (s *Store) Evicted(workspace id.Workspace, turn string) []string {
	turns, _ := s.chain(workspace, turn)
	var evicted []string
	for _, t := range turns {
		if t.IsEvicted {
			evicted = append(evicted, t.ID)
		}
	}

	return evicted
}

// Evict removes the text of a durable turn from memory.
func (s *Store) Evict(turn string) {
	t, ok := s.turns[turn]
	if !ok || !t.IsDurable {
		return
	}
	s.residentBytes -= t.residentBytes()
	t.IsEvicted, t.PriorTranscript, t.Input, t.Output = true, nil, nil, nil
}

// Reload gives an evicted turn the text of another copy of it, which is not a candidate for eviction until a time.
func (s *Store) Reload(text *Turn, keptUntil time.Time) {
	t, ok := s.turns[text.ID]
	if !ok || !t.IsEvicted {
		return
	}
	t.PriorTranscript, t.Input, t.Output = text.PriorTranscript, text.Input, text.Output
	t.TextBytes = len(t.PriorTranscript) + len(t.Input) + len(t.Output)
	t.IsEvicted, t.keptUntil = false, keptUntil
	s.residentBytes += t.residentBytes()
}

// Keep excludes a turn and the turns before it from eviction until a time.
func (s *Store) Keep(workspace id.Workspace, turn string, until time.Time) {
	turns, _ := s.chain(workspace, turn)
	for _, t := range turns {
		t.keptUntil = until
	}
}

// Candidate is a turn that may be evicted from the store of a slot.
type Candidate struct {
	Slot  int
	Turn  string
	Bytes int
}

// Candidates appends the turns of a slot whose text may be evicted now.
func (s *Store) Candidates(now time.Time, slot int, candidates []Candidate) []Candidate {
	for _, t := range s.turns {
		if bytes := t.residentBytes(); bytes > 0 && t.IsDurable && !now.Before(t.keptUntil) {
			candidates = append(candidates, Candidate{Slot: slot, Turn: t.ID, Bytes: bytes})
		}
	}

	return candidates
}

// SelectEvictions returns the largest candidates that together have the given bytes: programs with large turns must not make those of
// others wait for theirs to be read.
func SelectEvictions(candidates []Candidate, bytes int) []Candidate {
	slices.SortFunc(candidates, func(a, b Candidate) int { return cmp.Compare(b.Bytes, a.Bytes) })
	selected := 0
	for ; selected < len(candidates) && bytes > 0; selected++ {
		bytes -= candidates[selected].Bytes
	}

	return candidates[:selected]
}
