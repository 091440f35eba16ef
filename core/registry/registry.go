package registry

import (
	"cmp"
	"slices"
	"time"

	"cardamomward/core/evacuation"
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
	// evacuated are the upstreams that could serve if their failure domain were not evacuated.
	evacuated   map[id.Service][]*Instance
	evacuations evacuation.Set
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

// Evacuated returns the upstreams of a service that get no new requests only because their failure domain is evacuated, sorted
// by id; callers must not change the slice.
func (r *Registry) Evacuated(service id.Service) []*Instance { return r.evacuated[service] }

// Evacuate excludes the upstreams of a failure domain, present and future ones, and reports whether they were not excluded
// before.
func (r *Registry) Evacuate(now time.Time, domain id.FailureDomain) bool {
	if !r.evacuations.Put(now, domain) {
		return false
	}
	r.rebuildIndex()

	return true
}

// EndEvacuation makes the upstreams of a failure domain available again and reports whether they were excluded.
func (r *Registry) EndEvacuation(now time.Time, domain id.FailureDomain) bool {
	if !r.evacuations.Remove(now, domain) {
		return false
	}
	r.rebuildIndex()

	return true
}

// EndUnlistedEvacuations ends, as EndEvacuation does, the evacuations that a complete listing lacks, and returns their domains.
func (r *Registry) EndUnlistedEvacuations(now time.Time, listed map[id.FailureDomain]struct{}) []id.FailureDomain {
	ended := r.evacuations.RemoveUnlisted(now, listed)
	if len(ended) > 0 {
		r.rebuildIndex()
	}

	return ended
}

// IsEvacuated reports whether a failure domain is evacuated.
func (r *Registry) IsEvacuated(domain id.FailureDomain) bool { return r.evacuations.Contains(domain) }

// EvacuationCount returns the number of evacuated failure domains.
func (r *Registry) EvacuationCount() int { return r.evacuations.Len() }

// EvacuationEndedAt returns when the last evacuation of a failure domain ended, and false if there was none or it is evacuated.
func (r *Registry) EvacuationEndedAt(domain id.FailureDomain) (time.Time, bool) {
	return r.evacuations.EndedAt(domain)
}

// InDomain returns the upstreams in a failure domain, including draining ones.
func (r *Registry) InDomain(domain id.FailureDomain) []*Instance {
	var instances []*Instance
	for _, instance := range r.entries {
		if instance.FailureDomain == domain {
			instances = append(instances, instance)
		}
	}

	return instances
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

// DomainOfAddress returns the failure domain of the upstream that is registered at an address, including draining ones, and false
// if there is none. If there are several, one in an evacuated domain comes first.
func (r *Registry) DomainOfAddress(address string) (id.FailureDomain, bool) {
	var domain id.FailureDomain
	found := false
	for _, instance := range r.entries {
		if instance.Address != address {
			continue
		}
		if !found || r.IsEvacuated(instance.FailureDomain) {
			domain, found = instance.FailureDomain, true
		}
	}

	return domain, found
}

// Len returns the number of upstreams, including draining ones.
func (r *Registry) Len() int { return len(r.entries) }

// rebuildIndex allocates new slices, since Available has handed out the old ones.
func (r *Registry) rebuildIndex() {
	r.byService = make(map[id.Service][]*Instance, len(r.byService))
	r.evacuated = make(map[id.Service][]*Instance)
	for _, instance := range r.entries {
		switch {
		case instance.Draining:
		case r.evacuations.Contains(instance.FailureDomain):
			r.evacuated[instance.Service] = append(r.evacuated[instance.Service], instance)
		default:
			r.byService[instance.Service] = append(r.byService[instance.Service], instance)
		}
	}
	sortByID(r.byService)
	sortByID(r.evacuated)
}

func sortByID(lists map[id.Service][]*Instance) {
	for _, list := range lists {
		slices.SortFunc(list, func(a, b *Instance) int { return cmp.Compare(a.ID, b.ID) })
	}
}
