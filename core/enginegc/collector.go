package enginegc

import (
	"slices"
	"time"

	"cardamomward/core/id"
)

// GracePeriod is the minimum time between the listing that first finds a program closed and the read of the log that
// confirms it. It is longer than a read of the log may take, so that the log then contains every program that was open at
// that listing.
const GracePeriod = 4 * time.Second

// Collector compares the successive listings of one engine; its zero value is empty.
type Collector struct {
	engineRun   string
	closedSince map[id.Program]time.Time
}

// Listing lists the programs whose KV cache memory an engine holds at one time.
type Listing struct {
	// EngineRun identifies the engine's process; a restarted engine has lost the memory of the earlier process.
	EngineRun string
	// Programs are the programs whose memory the engine holds.
	Programs []id.Program
	// LogReadAt is the time of the last read of the log.
	LogReadAt time.Time
	// IsOpen reports whether a program is open according to the log; other programs are closed.
	IsOpen func(id.Program) bool
}

// ProgramsToRelease returns the programs to release, sorted: those that were closed at an earlier listing and still are,
// according to a log that was read at least GracePeriod after that listing.
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
