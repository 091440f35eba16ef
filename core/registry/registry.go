package registry

import (
	"cmp"
	"slices"
	"time"

	"cardamomward/core/id"
)

// removalGracePeriod is how long after a store outage an upstream may take to register again before its removal takes
// effect; the platform's documentation states two seconds.
const removalGracePeriod = 2 * time.Second

// Instance is the registry entry of an upstream's running process.
type Instance struct {
	ID            id.Upstream
	Service       id.Service
	Address       string
	FailureDomain id.FailureDomain
	// Concurrency is the number of requests that the upstream serves at a time.
	Concurrency int
	// Draining is set if the upstream must not get new requests.
	Draining bool
	// Incarnation identifies the process of the upstream by the time of its start, in milliseconds since the Unix epoch.
	Incarnation int64
	// Version is the version of the upstream's software; it is empty if the registration has none.
	Version id.SoftwareVersion
}

// Registry keeps the entries that the platform's store has for upstreams; its zero value is empty.
type Registry struct {
	entries   map[id.Upstream]*Instance
	byService map[id.Service][]*Instance
	// graceEndsAt is when removals that were read after an outage take effect.
	graceEndsAt     time.Time
	pendingRemovals map[id.Upstream]struct{}
}

// DeferRemovals starts the grace period after an outage of the store, during which removals wait for upstreams to
// register again.
func (r *Registry) DeferRemovals(now time.Time) { r.graceEndsAt = now.Add(removalGracePeriod) }

// Put adds or replaces an entry, cancels its pending removal, and reports whether the entry has changed.
func (r *Registry) Put(instance *Instance) bool {
	if r.entries == nil {
		r.entries = make(map[id.Upstream]*Instance)
		r.pendingRemovals = make(map[id.Upstream]struct{})
	}
	delete(r.pendingRemovals, instance.ID)
	if previous, ok := r.entries[instance.ID]; ok && *previous == *instance {
		return false
	}
	r.entries[instance.ID] = instance
	r.rebuildIndex()

	return true
}

// Remove removes an entry at once, or during the grace period marks it to be removed by ApplyRemovals.
func (r *Registry) Remove(now time.Time, upstream id.Upstream) {
	if _, ok := r.entries[upstream]; !ok {
		return
	}
	if now.Before(r.graceEndsAt) {
		r.pendingRemovals[upstream] = struct{}{}

		return
	}
	delete(r.entries, upstream)
	delete(r.pendingRemovals, upstream)
	r.rebuildIndex()
}

// RemoveUnlisted removes, as Remove does, all entries that a complete listing lacks.
func (r *Registry) RemoveUnlisted(now time.Time, listed map[id.Upstream]struct{}) {
	for upstream := range r.entries {
		if _, ok := listed[upstream]; !ok {
			r.Remove(now, upstream)
		}
	}
}

// ApplyRemovals applies pending removals once the grace period has ended.
func (r *Registry) ApplyRemovals(now time.Time) {
	if len(r.pendingRemovals) == 0 || now.Before(r.graceEndsAt) {
		return
	}
	for upstream := range r.pendingRemovals {
		delete(r.entries, upstream)
	}
	clear(r.pendingRemovals)
	r.rebuildIndex()
}

// Available returns the upstreams of a service that may get new requests, sorted by id; callers must not change the slice.
func (r *Registry) Available(service id.Service) []*Instance { return r.byService[service] }

// Registered returns all upstreams of a service, including draining ones, sorted by id.
func (r *Registry) Registered(service id.Service) []*Instance {
	var registered []*Instance
	for _, instance := range r.entries {
		if instance.Service == service {
			registered = append(registered, instance)
		}
	}
	slices.SortFunc(registered, func(a, b *Instance) int { return cmp.Compare(a.ID, b.ID) })

	return registered
}

// SoleVersion returns the software version of all upstreams of a service, draining ones included, and false if they have
// several versions or there are none.
func (r *Registry) SoleVersion(service id.Service) (id.SoftwareVersion, bool) {
	var version id.SoftwareVersion
	found := false
	for _, instance := range r.entries {
		if instance.Service != service {
			continue
		}
		if found && instance.Version != version {
			return "", false
		}
		version, found = instance.Version, true
	}

	return version, found
}

// Get returns an upstream's entry.
func (r *Registry) Get(upstream id.Upstream) (*Instance, bool) {
	instance, ok := r.entries[upstream]

	return instance, ok
}

// HasAddress reports whether an upstream is registered at an address, including draining ones.
func (r *Registry) HasAddress(address string) bool {
	for _, instance := range r.entries {
		if instance.Address == address {
			return true
		}
	}

	return false
}

// Len returns the number of upstreams, including draining ones.
func (r *Registry) Len() int { return len(r.entries) }

// rebuildIndex allocates new slices, since Available has handed out the old ones.
func (r *Registry) rebuildIndex() {
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
