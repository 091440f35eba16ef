package expiry

import (
	"slices"
	"strings"
	"time"

	"cardamomward/core/id"
)

// Program is an open program as its owner sees it at a sweep.
type Program struct {
	ID    id.Program
	Lease time.Duration
	// LastRecord is the position of the program's latest record.
	LastRecord id.Position
	// HasRunningCall says that a call of the program is under way.
	HasRunningCall bool
}

// Tracker follows the signs of life of an owner's programs; its zero value is empty. Records carry no time that
// decides anything, so a program that has moved to a new owner starts with a whole lease.
type Tracker struct {
	programs map[id.Program]sign
}

type sign struct {
	last id.Position
	at   time.Time
}

// SweepExpired takes all open programs of an owner and returns those that have expired, sorted. A program lives on while a
// sub-agent of its own does.
func (t *Tracker) SweepExpired(now time.Time, open []Program) []id.Program {
	known := t.programs
	t.programs = make(map[id.Program]sign, len(open))
	for _, p := range open {
		s, ok := known[p.ID]
		if !ok || p.HasRunningCall || s.last != p.LastRecord {
			s = sign{last: p.LastRecord, at: now}
		}
		t.programs[p.ID] = s
	}
	// Ancestors' ids are prefixes, so going from long ids to short ones passes signs of life up.
	ordered := slices.Clone(open)
	slices.SortFunc(ordered, func(x, y Program) int { return len(y.ID) - len(x.ID) })
	for _, p := range ordered {
		t.passUp(p.ID)
	}
	var expired []id.Program
	for _, p := range open {
		if p.Lease > 0 && now.Sub(t.programs[p.ID].at) >= p.Lease {
			expired = append(expired, p.ID)
		}
	}
	slices.Sort(expired)

	return expired
}

func (t *Tracker) passUp(program id.Program) {
	i := strings.LastIndexByte(string(program), '.')
	if i < 0 {
		return
	}
	parent := program[:i]
	s, ok := t.programs[parent]
	if child := t.programs[program]; ok && child.at.After(s.at) {
		s.at = child.at
		t.programs[parent] = s
	}
}
