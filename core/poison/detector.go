package poison

import (
	"maps"
	"slices"

	"cardamomward/core/id"
)

// Status tells whether a request is suspected or known to crash upstreams.
type Status int

// Statuses of a request.
const (
	// Clean requests have crashed no upstream since they last completed.
	Clean Status = iota
	// Suspect requests ran on an upstream when it crashed; they run only in isolation until they complete.
	Suspect
	// Confirmed requests have crashed two processes, one of them while they ran in isolation.
	Confirmed
)

const (
	// confirmationThreshold is how many different processes a request must have crashed to be confirmed.
	confirmationThreshold = 2
	// maxTrackedRequests bounds the requests that a detector tracks; beyond it, the oldest is cleared.
	maxTrackedRequests = 10_000
)

// CrashReport reports that an upstream's process crashed while it ran a request.
type CrashReport struct {
	Request id.Fingerprint
	// Process identifies the upstream and the incarnation of the process that crashed.
	Process string
	// Alone is set if the reporting host ran no other request on the upstream.
	Alone bool
}

// Detector counts the crashes of each request; its zero value is empty.
type Detector struct {
	// requests maps each request to the processes that crashed while they ran it, and whether it ran alone there.
	requests map[id.Fingerprint]map[string]bool
	// processes maps each crashed process to the requests reported for it.
	processes      map[string]map[id.Fingerprint]struct{}
	insertionOrder []id.Fingerprint
}

// RecordCrash adds a report; it returns false if the detector has it already. Several requests may be reported for one
// process.
func (d *Detector) RecordCrash(report CrashReport) bool {
	if _, ok := d.requests[report.Request][report.Process]; ok {
		return false
	}
	if d.requests == nil {
		d.requests = make(map[id.Fingerprint]map[string]bool)
		d.processes = make(map[string]map[id.Fingerprint]struct{})
	}
	if d.requests[report.Request] == nil {
		d.requests[report.Request] = make(map[string]bool)
		d.insertionOrder = append(d.insertionOrder, report.Request)
	}
	if d.processes[report.Process] == nil {
		d.processes[report.Process] = make(map[id.Fingerprint]struct{})
	}
	d.requests[report.Request][report.Process] = report.Alone
	d.processes[report.Process][report.Request] = struct{}{}
	for len(d.requests) > maxTrackedRequests {
		d.Clear(d.insertionOrder[0])
	}

	return true
}

// TrackedRequests returns the suspect and confirmed requests, the oldest first.
func (d *Detector) TrackedRequests() []id.Fingerprint { return d.insertionOrder }

// CrashReports returns the reports of a request, sorted by process.
func (d *Detector) CrashReports(request id.Fingerprint) []CrashReport {
	processes := d.requests[request]
	reports := make([]CrashReport, 0, len(processes))
	for _, process := range slices.Sorted(maps.Keys(processes)) {
		reports = append(reports, CrashReport{Request: request, Process: process, Alone: processes[process]})
	}

	return reports
}

// Clear removes the reports of a request, because it has completed.
func (d *Detector) Clear(request id.Fingerprint) {
	for process := range d.requests[request] {
		delete(d.processes[process], request)
		if len(d.processes[process]) == 0 {
			delete(d.processes, process)
		}
	}
	delete(d.requests, request)
	for i, tracked := range d.insertionOrder {
		if tracked == request {
			d.insertionOrder = append(d.insertionOrder[:i], d.insertionOrder[i+1:]...)

			break
		}
	}
}

// Status returns the status of a request.
//
// One crash is not enough to confirm a request: an upstream may crash for an unrelated reason. Nor are two crashes
// while other requests ran too, since any of those may have caused them.
func (d *Detector) Status(request id.Fingerprint) Status {
	processes := d.requests[request]
	if len(processes) == 0 {
		return Clean
	}
	soleSuspect := false
	for process, reportedAlone := range processes {
		soleSuspect = soleSuspect || (reportedAlone && len(d.processes[process]) == 1)
	}
	if len(processes) >= confirmationThreshold && soleSuspect {
		return Confirmed
	}

	return Suspect
}

// Len returns the number of tracked requests.
func (d *Detector) Len() int { return len(d.requests) }
