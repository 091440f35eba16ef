package enginegc

import (
	"slices"
	"time"

	"cardamomward/core/id"
)

// GracePeriod is how long a program must have been closed by the log before its memory is released. It is longer than a
// read of the log may take, so that a log that was read after it contains every program that was open at the first listing.
const GracePeriod = 4 * time.Second

// Collector compares the successive listings of one engine; its zero value is empty.
type Collector struct {
	engineRun   string
	closedSince map[id.Program]time.Time
}

// Listing is the memory that an engine holds at one time.
type Listing struct {
	// EngineRun identifies the engine's process; a restarted engine holds nothing of what its predecessor held.
	EngineRun string
	// Programs are the programs whose memory the engine holds.
	Programs []id.Program
	// LogReadAt is when the log was last read.
	LogReadAt time.Time
	// IsOpen reports whether a program is open by the log.
	IsOpen func(id.Program) bool
}

// ProgramsToRelease returns the programs to release, sorted: those that were closed at an earlier listing and still are,
// by a log that was read at least GracePeriod after that listing.
func (c *Collector) ProgramsToRelease(now time.Time, listing Listing) []id.Program {
	previous := c.closedSince
	if listing.EngineRun != c.engineRun {
		previous = nil
	}
	c.engineRun = listing.EngineRun
	c.closedSince = make(map[id.Program]time.Time)
	var release []id.Program
	for _, program := range listing.Programs {
		if listing.IsOpen(program) {
			continue
		}
		since, ok := previous[program]
		if !ok {
			since = now
		}
		c.closedSince[program] = since
		if ok && listing.LogReadAt.Sub(since) >= GracePeriod {
			release = append(release, program)
		}
	}
	slices.Sort(release)

	return release
}
