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
	// Lease is the lifetime of the program without activity; zero means that it never expires.
	Lease time.Duration
	// LastRecord is the log position of the program's latest record.
	LastRecord id.Position
	// HasRunningCall is set while a call of the program is running, which counts as activity.
	HasRunningCall bool
}

// Tracker tracks the last activity of an owner's programs; its zero value is empty. Times come from the owner's clock and
// not from records, so a program that moves to a new owner starts with a full lease.
type Tracker struct {
	programs map[id.Program]activity
}

// activity is the last activity of a program: its latest record then and the time by the owner's clock.
type activity struct {
	lastRecord   id.Position
	lastActiveAt time.Time
}

// SweepExpired takes all open programs of an owner and returns those that have expired, sorted. Activity of a sub-agent
// also counts for its parents.
func (t *Tracker) SweepExpired(now time.Time, open []Program) []id.Program {
	previous := t.programs
	t.programs = make(map[id.Program]activity, len(open))
	for _, p := range open {
		last, ok := previous[p.ID]
		if !ok || p.HasRunningCall || last.lastRecord != p.LastRecord {
			last = activity{lastRecord: p.LastRecord, lastActiveAt: now}
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
		if p.Lease > 0 && now.Sub(t.programs[p.ID].lastActiveAt) >= p.Lease {
			expired = append(expired, p.ID)
		}
	}
	slices.Sort(expired)

	return expired
}

// propagateToParent sets the last activity of a program's parent to that of the program if it is later.
func (t *Tracker) propagateToParent(program id.Program) {
	i := strings.LastIndexByte(string(program), '.')
	if i < 0 {
		return
	}
	parent := program[:i]
	last, ok := t.programs[parent]
	if child := t.programs[program]; ok && child.lastActiveAt.After(last.lastActiveAt) {
		last.lastActiveAt = child.lastActiveAt
		t.programs[parent] = last
	}
}
