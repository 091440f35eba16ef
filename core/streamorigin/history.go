package streamorigin

import (
	"slices"
	"time"

	"cardamomward/core/id"
)

const (
	// processRetention is how long a process is remembered after its registration has ended.
	processRetention = 10 * time.Minute
	// maxEndedProcesses bounds the memory; beyond it the history starts anew.
	maxEndedProcesses = 1 << 12
	// maxReadAge is the age of the latest read of the registrations beyond which another version may serve unnoticed. On the
	// largest clusters reads are 2.5 s apart.
	maxReadAge = 4 * time.Second
	// registrationDelay is the longest time from the start of an upstream to its registration; an append takes up to 100 ms.
	registrationDelay = 250 * time.Millisecond
	// registrationGrace is the time that upstreams may take to register after an outage of the store; the platform's documentation states
	// two seconds.
	registrationGrace = 2 * time.Second
)

// Knowledge says whether the version of a stream is known.
type Knowledge int

// Values of Knowledge.
const (
	// Unknown means that no host can know the version.
	Unknown Knowledge = iota
	// Unanswered means that this host does not know the version and another may.
	Unanswered
	// Known means that the version is known.
	Known
)

// String returns the name in logs.
func (k Knowledge) String() string { return [...]string{"unknown", "unanswered", "known"}[k] }

// Process is a process of an upstream that was registered.
type Process struct {
	Service     id.Service
	Incarnation int64
	Version     id.SoftwareVersion
}

// registeredProcess is a process with the time at which its registration ended; that is zero while it is registered.
type registeredProcess struct {
	Process

	endedAt time.Time
}

// History holds the processes whose registrations a host has read; its zero value has read none.
type History struct {
	// byUpstream holds the processes of each upstream in the order in which they were registered.
	byUpstream map[id.Upstream][]registeredProcess
	endedCount int
	// observedSince is the time of the latest complete listing; from then on no registration is missed.
	observedSince time.Time
	readAt        time.Time
	// appliedUntil is the time up to which all registrations that were written have been recorded, and graceEndsAt when reads show
	// all of them again after an outage.
	appliedUntil time.Time
	graceEndsAt  time.Time
}

// RecordProcess records a registration.
func (h *History) RecordProcess(now time.Time, upstream id.Upstream, process Process) {
	if h.byUpstream == nil {
		h.byUpstream = make(map[id.Upstream][]registeredProcess)
	}
	processes := h.byUpstream[upstream]
	if last := len(processes) - 1; last >= 0 && processes[last].Process == process {
		if !processes[last].endedAt.IsZero() {
			processes[last].endedAt = time.Time{}
			h.endedCount--
		}

		return
	}
	h.RecordRemoval(now, upstream)
	h.byUpstream[upstream] = append(h.byUpstream[upstream], registeredProcess{Process: process})
}

// RecordRemoval records that the registration of an upstream has ended.
func (h *History) RecordRemoval(now time.Time, upstream id.Upstream) {
	processes := h.byUpstream[upstream]
	if last := len(processes) - 1; last >= 0 && processes[last].endedAt.IsZero() {
		processes[last].endedAt = now
		h.endedCount++
	}
}

// RecordListing records a complete listing of all registered upstreams. What was registered and removed before it may have been
// missed.
func (h *History) RecordListing(now time.Time, listed map[id.Upstream]struct{}) {
	for upstream := range h.byUpstream {
		if _, ok := listed[upstream]; !ok {
			h.RecordRemoval(now, upstream)
		}
	}
	h.observedSince = now
}

// RecordRead records that the registrations have been read up to now, and removes processes that ended long ago.
func (h *History) RecordRead(now time.Time) {
	h.readAt = now
	if h.endedCount == 0 {
		return
	}
	restarts := h.endedCount > maxEndedProcesses
	for upstream, processes := range h.byUpstream {
		kept := slices.DeleteFunc(processes, func(p registeredProcess) bool {
			return !p.endedAt.IsZero() && (restarts || now.Sub(p.endedAt) > processRetention)
		})
		h.endedCount -= len(processes) - len(kept)
		h.byUpstream[upstream] = kept
		if len(kept) == 0 {
			delete(h.byUpstream, upstream)
		}
	}
	if restarts && !h.observedSince.IsZero() {
		h.observedSince = now
	}
}

// RecordOutageEnd records that the registrations can be read again after an outage, during which upstreams could not register.
func (h *History) RecordOutageEnd(now time.Time) { h.graceEndsAt = now.Add(registrationGrace) }

// RecordApplied records that all registrations that were written up to a time have been recorded.
func (h *History) RecordApplied(until time.Time) {
	if !until.Before(h.graceEndsAt) {
		h.appliedUntil = until
	}
}

// HasReadSince reports whether the registrations of all processes that served at a time have been recorded.
func (h *History) HasReadSince(servedAt time.Time) bool {
	return !h.appliedUntil.IsZero() && !h.appliedUntil.Before(servedAt.Add(registrationDelay))
}

// IsRead reports whether the registrations are being read: that may confirm soon what is not confirmed yet.
func (h *History) IsRead(now time.Time) bool { return now.Sub(h.readAt) <= maxReadAge }

// Confirm reports whether the stream of an origin began at the recorded process. The process served at connectedAt, by the clock of
// this host, as on a connection that was open then; zero means that this host did not begin the stream. An origin without an upstream is
// that of a stream whose caller names no attempt; it is confirmed by a read after the caller's resumption, as the host may have been out
// of step while upstreams of another version registered.
func (h *History) Confirm(origin Origin, connectedAt time.Time) bool {
	if h.Verify(origin) != Known {
		return false
	}
	if origin.Upstream == "" {
		return h.HasReadSince(origin.StartedAt)
	}
	if origin.IsConfirmed || h.HasReadSince(origin.StartedAt.Add(clockTolerance)) {
		return true
	}

	return !connectedAt.IsZero() && h.HasReadSince(connectedAt) || !origin.ObservedAt.IsZero() && h.HasReadSince(origin.ObservedAt)
}

// HasSoleVersion reports whether no process of a service that was registered within a period before now has had another version,
// as far as the registrations have been read.
func (h *History) HasSoleVersion(now time.Time, service id.Service, version id.SoftwareVersion, period time.Duration) bool {
	for _, processes := range h.byUpstream {
		for _, process := range processes {
			hasServed := process.endedAt.IsZero() || now.Sub(process.endedAt) < period
			if process.Service == service && process.Version != version && hasServed {
				return false
			}
		}
	}

	return true
}

// Verify reports whether the version of an origin is that of the process that ran. It is not where the upstream may have been
// restarted with another version before the stream began, and not certain where a restart may have been missed.
func (h *History) Verify(origin Origin) Knowledge {
	if origin.Upstream == "" {
		return Known
	}
	processes := h.byUpstream[origin.Upstream]
	recorded := slices.IndexFunc(processes, func(p registeredProcess) bool { return p.Incarnation == origin.Incarnation })
	isRead := recorded >= 0
	for i, process := range processes {
		if i <= recorded || recorded < 0 && process.Incarnation < origin.Incarnation {
			continue
		}
		if origin.IsUncertain(process.Incarnation, process.Version) {
			return Unknown
		}
		if time.UnixMilli(process.Incarnation).Before(origin.StartedAt.Add(-clockTolerance)) {
			isRead = true
		}
	}
	if isRead || h.hasObservedSince(origin.StartedAt.Add(-clockTolerance)) {
		return Known
	}

	return Unanswered
}

// VerifySoleVersion reports whether all processes of a service have had one version for a period before now.
func (h *History) VerifySoleVersion(now time.Time, service id.Service, version id.SoftwareVersion, period time.Duration) Knowledge {
	if period > processRetention || now.Sub(h.readAt) > maxReadAge || !h.hasObservedSince(now.Add(-period)) {
		return Unanswered
	}
	if !h.HasSoleVersion(now, service, version, period) {
		return Unknown
	}

	return Known
}

// SoleVersionPeriod returns how long a service must have had one version before a stream of it that names no attempt counts as
// begun at that version: the longest life of an attempt, and the time for which hosts remember one that is named.
func SoleVersionPeriod(timeout time.Duration) time.Duration { return timeout + 2*rotationInterval }

// hasObservedSince reports whether no registration since a time has been missed.
func (h *History) hasObservedSince(at time.Time) bool {
	return !h.observedSince.IsZero() && !h.observedSince.After(at)
}
