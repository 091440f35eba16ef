package registry

import (
	"slices"
	"time"

	"cardamomward/core/id"
)

// reappearance is how long an entry that was removed while the store was away may take to come back;
// the platform's pages state two seconds.
const reappearance = 2 * time.Second

// Instance is one process of an upstream.
type Instance struct {
	ID      id.Upstream
	Service id.Service
	Address string
	Zone    id.FailureDomain
	Slots   int
	// Draining upstreams get no new work.
	Draining bool
	// Born tells runs of one upstream apart.
	Born int64
}

// Registry folds entries as they are read; its zero value is empty.
type Registry struct {
	entries   map[id.Upstream]*Instance
	byService map[id.Service][]*Instance
	// graceUntil is when removals that were read after an outage take effect.
	graceUntil time.Time
	removed    map[id.Upstream]struct{}
}

// Returned notes that the store answers again after an outage: removals wait for entries to reappear.
func (r *Registry) Returned(now time.Time) { r.graceUntil = now.Add(reappearance) }

// Put adds or replaces an entry, also one whose removal waits, and reports whether it is another than before.
func (r *Registry) Put(instance *Instance) bool {
	if r.entries == nil {
		r.entries = make(map[id.Upstream]*Instance)
		r.removed = make(map[id.Upstream]struct{})
	}
	delete(r.removed, instance.ID)
	if old, ok := r.entries[instance.ID]; ok && *old == *instance {
		return false
	}
	r.entries[instance.ID] = instance
	r.index()

	return true
}

// Remove drops an entry, at once or when the grace after an outage ends.
func (r *Registry) Remove(now time.Time, upstream id.Upstream) {
	if _, ok := r.entries[upstream]; !ok {
		return
	}
	if now.Before(r.graceUntil) {
		r.removed[upstream] = struct{}{}

		return
	}
	delete(r.entries, upstream)
	delete(r.removed, upstream)
	r.index()
}

// Retain removes all entries but those of a complete listing.
func (r *Registry) Retain(now time.Time, listed map[id.Upstream]struct{}) {
	for upstream := range r.entries {
		if _, ok := listed[upstream]; !ok {
			r.Remove(now, upstream)
		}
	}
}

// Expire carries out removals whose grace has ended.
func (r *Registry) Expire(now time.Time) {
	if len(r.removed) == 0 || now.Before(r.graceUntil) {
		return
	}
	for upstream := range r.removed {
		delete(r.entries, upstream)
	}
	clear(r.removed)
	r.index()
}

// Serving returns the upstreams of a service that may get new work; the caller must not change the list.
func (r *Registry) Serving(service id.Service) []*Instance { return r.byService[service] }

// Get returns an upstream's entry.
func (r *Registry) Get(upstream id.Upstream) (*Instance, bool) {
	instance, ok := r.entries[upstream]

	return instance, ok
}

// Len returns how many upstreams are known.
func (r *Registry) Len() int { return len(r.entries) }

// index builds new lists, so that lists handed out before stay as they were.
func (r *Registry) index() {
	r.byService = make(map[id.Service][]*Instance, len(r.byService))
	for _, instance := range r.entries {
		if !instance.Draining {
			r.byService[instance.Service] = append(r.byService[instance.Service], instance)
		}
	}
	for _, list := range r.byService {
		slices.SortFunc(list, func(a, b *Instance) int {
			if a.ID < b.ID {
				return -1
			}

			return 1
		})
	}
}
