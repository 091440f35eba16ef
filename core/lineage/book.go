package lineage

import (
	"time"

	"cardamomward/core/id"
)

// Turn is a turn that later turns may continue from.
type Turn struct {
	ID        string
	Workspace id.Workspace
	// Previous is the turn that it continues from, or empty.
	Previous string
	// Base is the chain before the turn where the previous turn is kept elsewhere.
	Base   []byte
	Input  []byte
	Output []byte
	// Expires is when the turn may be forgotten.
	Expires time.Time
}

// Book keeps the turns of a slot; its zero value is empty.
type Book struct{ turns map[string]*Turn }

// Keep adds a turn; the turns of its chain are kept as long.
func (b *Book) Keep(turn *Turn) {
	if b.turns == nil {
		b.turns = make(map[string]*Turn)
	}
	b.turns[turn.ID] = turn
	for t := turn; t.Previous != "" && len(t.Base) == 0; {
		previous, ok := b.turns[t.Previous]
		if !ok || !previous.Expires.Before(turn.Expires) {
			return
		}
		previous.Expires = turn.Expires
		t = previous
	}
}

// Restored notes that all turns of the slot are here, so that each chain is kept as long as its last turn.
func (b *Book) Restored() {
	for _, turn := range b.turns {
		b.Keep(turn)
	}
}

// Has reports whether a turn of a workspace is kept.
func (b *Book) Has(workspace id.Workspace, turn string) bool {
	t, ok := b.turns[turn]

	return ok && t.Workspace == workspace
}

// Chain returns the inputs and outputs up to a turn, the oldest first; false where a part of it is not here.
func (b *Book) Chain(workspace id.Workspace, turn string) ([]byte, bool) {
	var line []*Turn
	size := 0
	for next := turn; next != ""; {
		t, ok := b.turns[next]
		if !ok || t.Workspace != workspace {
			return nil, false
		}
		line = append(line, t)
		size += len(t.Base) + len(t.Input) + len(t.Output)
		next = t.Previous
		if len(t.Base) > 0 {
			next = ""
		}
	}
	chain := make([]byte, 0, size)
	for i := len(line) - 1; i >= 0; i-- {
		chain = append(append(append(chain, line[i].Base...), line[i].Input...), line[i].Output...)
	}

	return chain, true
}

// Expire forgets turns whose time is over and returns their ids.
func (b *Book) Expire(now time.Time) []string {
	var expired []string
	for turn, t := range b.turns {
		if now.After(t.Expires) {
			expired = append(expired, turn)
			delete(b.turns, turn)
		}
	}

	return expired
}

// Len returns the number of turns.
func (b *Book) Len() int { return len(b.turns) }
