package turnstore

import (
	"slices"
	"time"

	"cardamomward/core/id"
)

// Turn is a finished turn that later turns may continue from; Input and Output are the bodies of its request and its response.
type Turn struct {
	ID        string
	Workspace id.Workspace
	// PreviousID is the turn that this one continues from, or empty.
	PreviousID string
	// PriorTranscript is the transcript before this turn if the previous turn is not in the same store.
	PriorTranscript []byte
	Input           []byte
	Output          []byte
	// ExpiresAt is the end of the turn's retention.
	ExpiresAt time.Time
	// IsDurable is set once the text can be read from elsewhere.
	IsDurable bool
	// IsEvicted is set while the text is not in memory. TextBytes and HasPriorTranscript are then to be set; for other turns, Add
	// sets them.
	IsEvicted          bool
	TextBytes          int
	HasPriorTranscript bool

	keptUntil time.Time
}

// Store keeps the turns of a slot, the text of some only by its size; its zero value is empty.
type Store struct {
	turns         map[string]*Turn
	residentBytes int
}

// Add adds a turn and extends the retention of the turns before it to its own.
func (s *Store) Add(turn *Turn) {
	if s.turns == nil {
		s.turns = make(map[string]*Turn)
	}
	if replaced, ok := s.turns[turn.ID]; ok {
		s.residentBytes -= replaced.residentBytes()
	}
	if !turn.IsEvicted {
		turn.TextBytes = len(turn.PriorTranscript) + len(turn.Input) + len(turn.Output)
		turn.HasPriorTranscript = len(turn.PriorTranscript) > 0
	}
	s.turns[turn.ID] = turn
	s.residentBytes += turn.residentBytes()
	s.extendPrior(turn)
}

// extendPrior extends the retention of the turns before one to its own.
func (s *Store) extendPrior(turn *Turn) {
	for t := turn; t.PreviousID != "" && !t.HasPriorTranscript; {
		previous, ok := s.turns[t.PreviousID]
		if !ok || !previous.ExpiresAt.Before(turn.ExpiresAt) {
			return
		}
		previous.ExpiresAt = turn.ExpiresAt
		t = previous
	}
}

// ExtendRetention extends the retention of each turn to that of the turns that continue from it. It is called once all
// turns of the slot are restored, since they may have been added out of order.
func (s *Store) ExtendRetention() {
	for _, turn := range s.turns {
		s.extendPrior(turn)
	}
}

// Contains reports whether the workspace has the turn in the store, perhaps without the turns before it.
func (s *Store) Contains(workspace id.Workspace, turn string) bool {
	t, ok := s.turns[turn]

	return ok && t.Workspace == workspace
}

// HasTranscript reports whether the store has a turn of the workspace and all turns before it.
func (s *Store) HasTranscript(workspace id.Workspace, turn string) bool {
	_, ok := s.chain(workspace, turn)

	return ok
}

// Transcript returns the inputs and outputs of a turn and all turns before it, the oldest first. It returns false if one of
// the turns is missing, belongs to another workspace or is evicted.
func (s *Store) Transcript(workspace id.Workspace, turn string) ([]byte, bool) {
	turns, ok := s.chain(workspace, turn)
	if !ok || slices.ContainsFunc(turns, func(t *Turn) bool { return t.IsEvicted }) {
		return nil, false
	}
	transcript := make([]byte, 0, transcriptBytes(turns))
	for i := len(turns) - 1; i >= 0; i-- {
		transcript = append(append(append(transcript, turns[i].PriorTranscript...), turns[i].Input...), turns[i].Output...)
	}

	return transcript, true
}

// TranscriptBytes returns the size of what Transcript returns, zero if that is false.
func (s *Store) TranscriptBytes(workspace id.Workspace, turn string) int {
	turns, _ := s.chain(workspace, turn)

	return transcriptBytes(turns)
}

func transcriptBytes(turns []*Turn) int {
	size := 0
	for _, t := range turns {
		size += t.TextBytes
	}

	return size
}

// chain returns a turn and the turns before it, back to the first one or to one with a prior transcript. It returns false if
// one of them is missing or belongs to another workspace.
func (s *Store) chain(workspace id.Workspace, turn string) ([]*Turn, bool) {
	var turns []*Turn
	for next := turn; next != ""; {
		t, ok := s.turns[next]
		if !ok || t.Workspace != workspace {
			return nil, false
		}
		turns = append(turns, t)
		next = t.PreviousID
		if t.HasPriorTranscript {
			next = ""
		}
	}

	return turns, true
}

// RemoveExpired removes expired turns and returns their ids.
func (s *Store) RemoveExpired(now time.Time) []string {
	var expired []string
	for turn, t := range s.turns {
		if now.After(t.ExpiresAt) {
			expired = append(expired, turn)
			s.residentBytes -= t.residentBytes()
			delete(s.turns, turn)
		}
	}

	return expired
}

// Len returns the number of turns.
func (s *Store) Len() int { return len(s.turns) }
