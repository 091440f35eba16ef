package quarantine

import (
	"maps"
	"slices"

	"cardamomward/core/id"
)

// Standing says how far a request is under suspicion.
type Standing int

// Standings of a request.
const (
	// Clean requests have crashed nothing since they last completed.
	Clean Standing = iota
	// Suspect requests ran where an upstream crashed; they run only alone until they complete.
	Suspect
	// Convicted requests have crashed two processes, one of them while they ran alone.
	Convicted
)

const (
	// convictAfter is how many different processes a request must have crashed.
	convictAfter = 2
	// maxRequests bounds the requests that a book remembers.
	maxRequests = 10_000
)

// Crash is the end of an upstream's process while it ran a request.
type Crash struct {
	Request id.Fingerprint
	// Process names the upstream and the run of its process that ended.
	Process string
	// Alone says that the reporting host ran nothing else there.
	Alone bool
}

// Book counts crashes against requests; its zero value is empty.
type Book struct {
	requests  map[id.Fingerprint]map[string]bool
	processes map[string]map[id.Fingerprint]struct{}
	order     []id.Fingerprint
}

// Crash counts a crash, and reports false if it is known; several requests may be named for the same process.
func (b *Book) Crash(crash Crash) bool {
	if _, ok := b.requests[crash.Request][crash.Process]; ok {
		return false
	}
	if b.requests == nil {
		b.requests = make(map[id.Fingerprint]map[string]bool)
		b.processes = make(map[string]map[id.Fingerprint]struct{})
	}
	if b.requests[crash.Request] == nil {
		b.requests[crash.Request] = make(map[string]bool)
		b.order = append(b.order, crash.Request)
	}
	if b.processes[crash.Process] == nil {
		b.processes[crash.Process] = make(map[id.Fingerprint]struct{})
	}
	b.requests[crash.Request][crash.Process] = crash.Alone
	b.processes[crash.Process][crash.Request] = struct{}{}
	for len(b.requests) > maxRequests {
		b.Clear(b.order[0])
	}

	return true
}

// Requests returns the requests under suspicion, the longest known first.
func (b *Book) Requests() []id.Fingerprint { return b.order }

// Crashes returns what stands against a request, sorted by process.
func (b *Book) Crashes(request id.Fingerprint) []Crash {
	processes := b.requests[request]
	crashes := make([]Crash, 0, len(processes))
	for _, process := range slices.Sorted(maps.Keys(processes)) {
		crashes = append(crashes, Crash{Request: request, Process: process, Alone: processes[process]})
	}

	return crashes
}

// Clear drops what stands against a request, because it has completed.
func (b *Book) Clear(request id.Fingerprint) {
	for process := range b.requests[request] {
		delete(b.processes[process], request)
		if len(b.processes[process]) == 0 {
			delete(b.processes, process)
		}
	}
	delete(b.requests, request)
	for i, known := range b.order {
		if known == request {
			b.order = append(b.order[:i], b.order[i+1:]...)

			break
		}
	}
}

// Standing returns how far a request is under suspicion.
//
// One crash is never enough: an upstream may crash for its own reasons. Neither are two in company, since any of the
// requests that ran beside may have caused them.
func (b *Book) Standing(request id.Fingerprint) Standing {
	processes := b.requests[request]
	if len(processes) == 0 {
		return Clean
	}
	alone := false
	for process, said := range processes {
		alone = alone || (said && len(b.processes[process]) == 1)
	}
	if len(processes) >= convictAfter && alone {
		return Convicted
	}

	return Suspect
}

// Len returns how many requests are under suspicion.
func (b *Book) Len() int { return len(b.requests) }
