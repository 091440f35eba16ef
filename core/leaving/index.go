package leaving

import (
	"time"

	"cardamomward/core/id"
)

const (
	// gossipDuration is the period in which a host reports what it has received itself.
	gossipDuration = 1500 * time.Millisecond
	// maxGossiped bounds the announcements of one datagram.
	maxGossiped = 64
	// maxAnnouncements bounds the announcements that are kept.
	maxAnnouncements = 1 << 12
	// unlistedRetention is how long an announcement is kept whose process is not registered: registrations can be lost and return
	// while the process serves.
	unlistedRetention = 10 * time.Minute
)

// Process is a process of an upstream.
type Process struct {
	Upstream id.Upstream
	// Incarnation is the time of the process's start, which distinguishes it from others with the same id.
	Incarnation int64
}

// Announcement is a process's announcement of its shutdown.
type Announcement struct {
	Process

	// ReceivedAt is the time at which a host first received a response with the announcement.
	ReceivedAt time.Time
}

// Use says whether a process may be used.
type Use int

// Values of Use.
const (
	// Unrestricted means that the process has not announced its shutdown.
	Unrestricted Use = iota
	// LastResort means that the process is used only if no other of its service can serve.
	LastResort
	// Never means that the process must not be used any more.
	Never
)

// entry holds the announcement of a process and its reporting state.
type entry struct {
	receivedAt time.Time
	isOwn      bool
	// gossipUntil is until when the announcement is reported to other hosts.
	gossipUntil time.Time
	// isOver is set once the drain timeout has expired, so that a step of the clock does not bring the process back.
	isOver   bool
	listedAt time.Time
}

// Index holds the announcements of processes; its zero value is empty.
type Index struct {
	entries map[Process]*entry
}

// RecordOwn records a response to this host and reports whether the announcement is new.
func (x *Index) RecordOwn(now time.Time, process Process) bool {
	e, isNew := x.record(now, Announcement{Process: process, ReceivedAt: now}, true)
	if e != nil && !e.isOwn {
		e.isOwn, e.gossipUntil = true, now.Add(gossipDuration)
	}

	return isNew
}

// RecordReported records what another host has received and reports whether the announcement is new.
func (x *Index) RecordReported(now time.Time, announcement Announcement) bool {
	_, isNew := x.record(now, announcement, false)

	return isNew
}

// record keeps the earliest time at which an announcement was received. An announcement that this host has received replaces a
// reported one if the index is full.
func (x *Index) record(now time.Time, announcement Announcement, isOwn bool) (e *entry, isNew bool) {
	if e, ok := x.entries[announcement.Process]; ok {
		if announcement.ReceivedAt.Before(e.receivedAt) {
			e.receivedAt = announcement.ReceivedAt
		}

		return e, false
	}
	if len(x.entries) >= maxAnnouncements && (!isOwn || !x.dropReported()) {
		return nil, false
	}
	if x.entries == nil {
		x.entries = make(map[Process]*entry)
	}
	e = &entry{receivedAt: announcement.ReceivedAt, listedAt: now}
	x.entries[announcement.Process] = e

	return e, true
}

// dropReported removes an announcement that this host has not received itself, and returns false if there is none.
func (x *Index) dropReported() bool {
	for process, e := range x.entries {
		if !e.isOwn {
			delete(x.entries, process)

			return true
		}
	}

	return false
}

// Use returns whether a process may be used now, given how long it serves after an announcement.
func (x *Index) Use(now time.Time, process Process, drainTimeout time.Duration) Use {
	e, ok := x.entries[process]
	if !ok {
		return Unrestricted
	}
	e.isOver = e.isOver || now.Sub(e.receivedAt) >= drainTimeout
	if e.isOver {
		return Never
	}

	return LastResort
}

// ReceivedAt returns when the announcement of a process was first received, and false if there is none.
func (x *Index) ReceivedAt(process Process) (time.Time, bool) {
	e, ok := x.entries[process]
	if !ok {
		return time.Time{}, false
	}

	return e.receivedAt, true
}

// ToGossip returns the announcements to report to other hosts.
func (x *Index) ToGossip(now time.Time) []Announcement {
	var announcements []Announcement
	for process, e := range x.entries {
		if e.isOwn && !now.After(e.gossipUntil) && len(announcements) < maxGossiped {
			announcements = append(announcements, Announcement{Process: process, ReceivedAt: e.receivedAt})
		}
	}

	return announcements
}

// RemoveUnlisted removes the announcements of processes that have not been registered for ten minutes.
func (x *Index) RemoveUnlisted(now time.Time, isListed func(Process) bool) {
	for process, e := range x.entries {
		if isListed(process) {
			e.listedAt = now
		} else if now.Sub(e.listedAt) > unlistedRetention {
			delete(x.entries, process)
		}
	}
}

// Len returns the number of announcements.
func (x *Index) Len() int { return len(x.entries) }
