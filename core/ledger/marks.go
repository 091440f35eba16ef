package ledger

import (
	"time"

	"cardamomward/core/id"
)

type seen struct {
	tokens id.Tokens
	at     time.Time
}

// Marks are what a host has last heard of the counts of programs; its zero value is empty. A new owner asks all hosts
// for them, since the counts of its predecessor may not have become durable.
type Marks struct{ programs map[id.Program]seen }

// Note notes that a program's tokens were counted as at least so many.
func (m *Marks) Note(now time.Time, program id.Program, tokens id.Tokens) {
	if m.programs == nil {
		m.programs = make(map[id.Program]seen)
	}
	m.programs[program] = seen{tokens: max(tokens, m.programs[program].tokens), at: now}
}

// Recent returns the counts that were heard within a time.
func (m *Marks) Recent(now time.Time, within time.Duration) map[id.Program]id.Tokens {
	recent := make(map[id.Program]id.Tokens)
	for program, s := range m.programs {
		if now.Sub(s.at) <= within {
			recent[program] = s.tokens
		}
	}

	return recent
}

// Expire forgets counts that were heard longer ago than a time.
func (m *Marks) Expire(now time.Time, after time.Duration) {
	for program, s := range m.programs {
		if now.Sub(s.at) > after {
			delete(m.programs, program)
		}
	}
}
