package ledger

import (
	"time"

	"cardamomward/core/id"
)

// Tally is what one host has handed to callers for each program; its zero value is empty. A new owner adds up the
// tallies of all hosts, since the counts of its predecessor may not have become durable.
type Tally struct{ programs map[id.Program]*handed }

type handed struct {
	tokens  id.Tokens
	running map[string]id.Tokens
	last    time.Time
}

// Begin notes a turn that may generate up to most tokens.
func (t *Tally) Begin(now time.Time, program id.Program, attempt string, most id.Tokens) {
	if t.programs == nil {
		t.programs = make(map[id.Program]*handed)
	}
	h, ok := t.programs[program]
	if !ok {
		h = &handed{running: make(map[string]id.Tokens)}
		t.programs[program] = h
	}
	h.running[attempt], h.last = most, now
}

// End notes what a turn has generated.
func (t *Tally) End(now time.Time, program id.Program, attempt string, tokens id.Tokens) {
	h, ok := t.programs[program]
	if !ok {
		return
	}
	delete(h.running, attempt)
	h.tokens += tokens
	h.last = now
}

// Recent returns the tokens of the programs that were active within a time, running turns at their most.
func (t *Tally) Recent(now time.Time, within time.Duration) map[id.Program]id.Tokens {
	recent := make(map[id.Program]id.Tokens)
	for program, h := range t.programs {
		if now.Sub(h.last) > within && len(h.running) == 0 {
			continue
		}
		sum := h.tokens
		for _, most := range h.running {
			sum += most
		}
		recent[program] = sum
	}

	return recent
}

// Expire forgets programs that were last active longer ago than a time.
func (t *Tally) Expire(now time.Time, after time.Duration) {
	for program, h := range t.programs {
		if now.Sub(h.last) > after {
			delete(t.programs, program)
		}
	}
}
