package crashcount

import (
	"time"

	"cardamomward/core/id"
)

const (
	// blockThreshold is the number of processes that a request must have crashed to be blocked.
	blockThreshold = 3
	// retention is the period in which a crash counts.
	retention = 90 * time.Second
)

// Crash reports that an upstream's process ended the response to a request before it was complete.
type Crash struct {
	Fingerprint id.Fingerprint
	// Process identifies the upstream and the incarnation of its process.
	Process string
}

// Counter counts crashes by request fingerprint, from this host and others; its zero value is empty.
type Counter struct {
	// crashes maps each fingerprint to the time of the crash of each process.
	crashes map[id.Fingerprint]map[string]time.Time
}

// Record counts a crash and reports whether it is the first of this request in this process.
func (c *Counter) Record(now time.Time, crash Crash) bool {
	processes := c.crashes[crash.Fingerprint]
	if _, known := processes[crash.Process]; known {
		return false
	}
	if c.crashes == nil {
		c.crashes = make(map[id.Fingerprint]map[string]time.Time)
	}
	if processes == nil {
		processes = make(map[string]time.Time)
		c.crashes[crash.Fingerprint] = processes
	}
	processes[crash.Process] = now

	return true
}

// IsBlocked reports whether a request must not be sent again, because it has crashed at least three processes.
func (c *Counter) IsBlocked(fingerprint id.Fingerprint) bool {
	return len(c.crashes[fingerprint]) >= blockThreshold
}

// RemoveExpired removes crashes that were recorded more than 90 s ago.
func (c *Counter) RemoveExpired(now time.Time) {
	for fingerprint, processes := range c.crashes {
		for process, crashedAt := range processes {
			if now.Sub(crashedAt) > retention {
				delete(processes, process)
			}
		}
		if len(processes) == 0 {
			delete(c.crashes, fingerprint)
		}
	}
}
