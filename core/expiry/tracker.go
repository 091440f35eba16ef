package expiry

import (
	"slices"
	"strings"
	"time"

	"cardamomward/core/id"
)

// Program is the state of an open program at a sweep.
type Program struct {
	ID id.Program
	// Lease is how long the program may have no activity; zero means that it never expires.
	Lease time.Duration
	// LastRecord is the log position of the program's latest record.
	LastRecord id.Position
	// HasRunningCall is set while a call of the program is running.
	HasRunningCall bool
}

// Tracker tracks the last activity of an owner's programs; its zero value is empty. Times come from the owner's clock and
// not from records, so a program that moves to a new owner starts with a full lease.
type Tracker struct {
	programs map[id.Program]activity
}

type activity struct {
	lastRecord id.Position
	at         time.Time
}

// SweepExpired takes all open programs of an owner and returns those that have expired, sorted. Activity of a sub-agent
// also counts for its parents.
func (t *Tracker) SweepExpired(now time.Time, open []Program) []id.Program {
	previous := t.programs
	t.programs = make(map[id.Program]activity, len(open))
	for _, p := range open {
		last, ok := previous[p.ID]
		if !ok || p.HasRunningCall || last.lastRecord != p.LastRecord {
			last = activity{lastRecord: p.LastRecord, at: now}
		}
		t.programs[p.ID] = last
	}
	// A parent's id is a prefix of its sub-agents' ids, so visiting longer ids first propagates activity to all ancestors.
	longestFirst := slices.Clone(open)
	slices.SortFunc(longestFirst, func(x, y Program) int { return len(y.ID) - len(x.ID) })
	for _, p := range longestFirst {
		t.propagateToParent(p.ID)
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

func (t *Tracker) propagateToParent(program id.Program) {
	i := strings.LastIndexByte(string(program), '.')
	if i < 0 {
		return
	}
	parent := program[:i]
	last, ok := t.programs[parent]
	if child := t.programs[program]; ok && child.at.After(last.at) {
		last.at = child.at
		t.programs[parent] = last
	}
}
