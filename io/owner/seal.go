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

// Sealed reports whether the fate of a slot's release is not known yet.
func (o *Owner) Sealed(slot id.Slot) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, ok := o.sealed[slot]

	return ok
}
