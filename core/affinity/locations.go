package affinity

import (
	"time"

	"cardamomward/core/id"
)

// Location is the upstream where turns of an affinity key last ran, and how many of their tokens it has cached.
type Location struct {
	Upstream     id.Upstream
	CachedTokens id.Tokens
}

type programLocations struct {
	byKey map[string]Location
	// latest is the location of the latest turn under any key of the program.
	latest    Location
	lastRunAt time.Time
}

// Locations keeps the last location of each affinity key of each program; its zero value is empty.
type Locations struct {
	programs map[id.Program]*programLocations
}

// Record records where a turn of an affinity key ran.
func (l *Locations) Record(now time.Time, programID id.Program, affinityKey string, location Location) {
	if l.programs == nil {
		l.programs = make(map[id.Program]*programLocations)
	}
	p, ok := l.programs[programID]
	if !ok {
		p = &programLocations{byKey: make(map[string]Location)}
		l.programs[programID] = p
	}
	p.byKey[affinityKey], p.latest, p.lastRunAt = location, location, now
}

// Lookup returns the last location of an affinity key. A key that is new to a known program, such as that of a sub-agent,
// gets the program's latest location, since it starts with the same prompt.
func (l *Locations) Lookup(programID id.Program, affinityKey string) Location {
	p, ok := l.programs[programID]
	if !ok {
		return Location{}
	}
	if location, ok := p.byKey[affinityKey]; ok {
		return location
	}

	return p.latest
}

// HasProgram reports whether a program has a recorded location.
func (l *Locations) HasProgram(programID id.Program) bool {
	_, ok := l.programs[programID]

	return ok
}

// Len returns the number of programs.
func (l *Locations) Len() int { return len(l.programs) }

// RemoveOlderThan removes programs whose last turn ran more than maxAge ago.
func (l *Locations) RemoveOlderThan(now time.Time, maxAge time.Duration) {
	for programID, p := range l.programs {
		if now.Sub(p.lastRunAt) > maxAge {
			delete(l.programs, programID)
		}
	}
}
