package executor

import (
	"maps"

	"cardamomward/core/id"
)

// BeginSlotRelease blocks new calls of a slot that is about to be released; it reports false while calls of it run.
func (e *Executor) BeginSlotRelease(slot id.Slot) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.runningCalls[slot] > 0 {
		return false
	}
	if e.pendingReleases == nil {
		e.pendingReleases = make(map[id.Slot]struct{})
	}
	e.pendingReleases[slot] = struct{}{}

	return true
}

// EndSlotRelease admits calls of a slot again once the result of its release is known.
func (e *Executor) EndSlotRelease(slot id.Slot) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.pendingReleases, slot)
}

// SlotActivity lists the slots with running calls or a pending release.
type SlotActivity struct {
	// WithRunningCalls are the slots with calls in progress.
	WithRunningCalls map[id.Slot]struct{}
	// WithPendingRelease are the slots with a release whose result is unknown.
	WithPendingRelease map[id.Slot]struct{}
}

// SlotActivity returns a snapshot of the slots' activity, which can be read inside a view of the journal.
//
// Lock order: the executor's mutex is taken before the journal's. A view of the journal must not call the executor, which
// would wait for the mutex of a call that waits for the journal.
func (e *Executor) SlotActivity() SlotActivity {
	e.mu.Lock()
	defer e.mu.Unlock()
	activity := SlotActivity{WithRunningCalls: make(map[id.Slot]struct{}, len(e.runningCalls)), WithPendingRelease: maps.Clone(e.pendingReleases)}
	for slot := range e.runningCalls {
		activity.WithRunningCalls[slot] = struct{}{}
	}

	return activity
}
