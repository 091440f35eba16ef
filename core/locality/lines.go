package locality

import (
	"time"

	"cardamomward/core/id"
)

// Place is where a line of turns last ran, and how many tokens of it lie there.
type Place struct {
	Upstream id.Upstream
	Tokens   id.Tokens
}

type program struct {
	lines map[string]Place
	// latest is where any line of the program last ran.
	latest Place
	last   time.Time
}

// Lines knows where the lines of programs last ran; its zero value is empty.
type Lines struct{ programs map[id.Program]*program }

// Note notes where a line has run.
func (l *Lines) Note(now time.Time, name id.Program, line string, place Place) {
	if l.programs == nil {
		l.programs = make(map[id.Program]*program)
	}
	p, ok := l.programs[name]
	if !ok {
		p = &program{lines: make(map[string]Place)}
		l.programs[name] = p
	}
	p.lines[line], p.latest, p.last = place, place, now
}

// Last returns where a line last ran; a new line of a known program begins where the program last ran, with the
// same prompt.
func (l *Lines) Last(name id.Program, line string) Place {
	p, ok := l.programs[name]
	if !ok {
		return Place{}
	}
	if place, ok := p.lines[line]; ok {
		return place
	}

	return p.latest
}

// Known reports whether a program has run before.
func (l *Lines) Known(name id.Program) bool {
	_, ok := l.programs[name]

	return ok
}

// Expire drops programs that last ran longer ago than a time.
func (l *Lines) Expire(now time.Time, after time.Duration) {
	for name, p := range l.programs {
		if now.Sub(p.last) > after {
			delete(l.programs, name)
		}
	}
}
