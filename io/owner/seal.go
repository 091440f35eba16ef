package owner

import (
	"maps"

	"cardamomward/core/id"
)

// Seal keeps new calls out of an idle slot that is about to be released; it fails while calls are under way.
func (o *Owner) Seal(slot id.Slot) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.busy[slot] > 0 {
		return false
	}
	if o.sealed == nil {
		o.sealed = make(map[id.Slot]struct{})
	}
	o.sealed[slot] = struct{}{}

	return true
}

// Unseal lets calls into a slot again once the fate of its release is known.
func (o *Owner) Unseal(slot id.Slot) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.sealed, slot)
}

// Engaged are the slots of which something is under way.
type Engaged struct {
	// Busy slots have calls under way.
	Busy map[id.Slot]struct{}
	// Sealed slots have a release whose fate is not known.
	Sealed map[id.Slot]struct{}
}

// Engaged returns a copy, so that it can be looked at while a journal is read.
//
// The owner's lock is taken before the journal's, here as everywhere: a view of the journal must not ask
// the owner, which would wait for the lock of a call that waits for the journal.
func (o *Owner) Engaged() Engaged {
	o.mu.Lock()
	defer o.mu.Unlock()
	engaged := Engaged{Busy: make(map[id.Slot]struct{}, len(o.busy)), Sealed: maps.Clone(o.sealed)}
	for slot := range o.busy {
		engaged.Busy[slot] = struct{}{}
	}

	return engaged
}
