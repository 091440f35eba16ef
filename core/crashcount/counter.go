package crashcount

import (
	"time"

	"cardamomward/core/id"
)

const (
	// convictAfter is how many processes a request must have crashed to be stopped.
	convictAfter = 3
	// memory is how long a crash is remembered.
	memory = 90 * time.Second
)

// Crash is a request that was running at an upstream's process when that broke off its answer.
type Crash struct {
	Fingerprint id.Fingerprint
	// Process names the upstream and the run of its process.
	Process string
}

// Counter counts crashes against requests, here and at other hosts; its zero value is empty.
type Counter struct {
	crashes map[id.Fingerprint]map[string]time.Time
}

// Record counts a crash and reports whether it is new.
func (d *Counter) Record(now time.Time, crash Crash) bool {
	processes := d.crashes[crash.Fingerprint]
	if _, known := processes[crash.Process]; known {
		return false
	}
	if d.crashes == nil {
		d.crashes = make(map[id.Fingerprint]map[string]time.Time)
	}
	if processes == nil {
		processes = make(map[string]time.Time)
		d.crashes[crash.Fingerprint] = processes
	}
	processes[crash.Process] = now

	return true
}

// IsBlocked reports whether a request has crashed so many processes that it is not sent again.
func (d *Counter) IsBlocked(request id.Fingerprint) bool {
	return len(d.crashes[request]) >= convictAfter
}

// RemoveExpired forgets old crashes.
func (d *Counter) RemoveExpired(now time.Time) {
	for request, processes := range d.crashes {
		for process, at := range processes {
			if now.Sub(at) > memory {
				delete(processes, process)
			}
		}
		if len(processes) == 0 {
			delete(d.crashes, request)
		}
	}
}
