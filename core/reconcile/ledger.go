package reconcile

import (
	"slices"
	"time"

	"cardamomward/core/id"
)

// Grace is how long a program must have been gone by the log before its memory is released. It is longer than a read
// of the log may take, so that a log heard of after it contains every program that had run at the first look.
const Grace = 4 * time.Second

// Ledger follows what one engine holds from look to look; its zero value is empty.
type Ledger struct {
	run  string
	gone map[id.Program]time.Time
}

// Look is what one listing of an engine shows.
type Look struct {
	// Run is the engine's process; another one holds nothing of what the last one held.
	Run string
	// Held are the programs whose memory the engine holds.
	Held []id.Program
	// Heard is when the log was last heard of.
	Heard time.Time
	// Live reports whether a program is open by the log.
	Live func(id.Program) bool
}

// Release returns the programs to release, sorted: those that were gone at an earlier look and still are, by a log
// that was heard of a grace period after that look.
func (l *Ledger) Release(now time.Time, look Look) []id.Program {
	known := l.gone
	if look.Run != l.run {
		known = nil
	}
	l.run = look.Run
	l.gone = make(map[id.Program]time.Time)
	var release []id.Program
	for _, program := range look.Held {
		if look.Live(program) {
			continue
		}
		since, ok := known[program]
		if !ok {
			since = now
		}
		l.gone[program] = since
		if ok && look.Heard.Sub(since) >= Grace {
			release = append(release, program)
		}
	}
	slices.Sort(release)

	return release
}
