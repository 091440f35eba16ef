package owner

import "cardamomward/core/id"

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

// Occupied returns the slots with calls under way and those whose release has an unknown fate.
func (o *Owner) Occupied() (busy, sealed map[id.Slot]bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	busy = make(map[id.Slot]bool, len(o.busy))
	for slot := range o.busy {
		busy[slot] = true
	}
	sealed = make(map[id.Slot]bool, len(o.sealed))
	for slot := range o.sealed {
		sealed[slot] = true
	}

	return busy, sealed
}
