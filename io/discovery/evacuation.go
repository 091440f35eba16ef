package discovery

import (
	"cardamomward/core/id"
	"cardamomward/core/registry"
	"cardamomward/platform"
)

// EvacuatedUpstreams returns the upstreams of a service that receive no new requests only because their failure domain is
// evacuated.
func (w *Watcher) EvacuatedUpstreams(service id.Service) []*registry.Instance {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.registry.Evacuated(service)
}

// IsEvacuated reports whether a failure domain is evacuated.
func (w *Watcher) IsEvacuated(domain id.FailureDomain) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.registry.IsEvacuated(domain)
}

// EvacuationCount returns the number of evacuated failure domains.
func (w *Watcher) EvacuationCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.registry.EvacuationCount()
}

// applyEvacuation begins the evacuation of a failure domain, or ends it if the record has no value. The value is not interpreted.
func (w *Watcher) applyEvacuation(domain id.FailureDomain, record platform.Record) {
	now := w.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	inForce := len(record.Value) > 0
	changed := false
	if inForce {
		changed = w.registry.Evacuate(now, domain)
	} else {
		changed = w.registry.EndEvacuation(now, domain)
	}
	if !changed {
		return
	}
	w.logEvacuation(domain, record.Offset, inForce)
	if !inForce {
		w.recordEvacuationEnd(domain)
	}
}

// unlistedOffset is the offset that is logged for evacuations whose key a listing lacks.
const unlistedOffset = -1

// endUnlistedEvacuations ends the evacuations whose keys a complete listing does not contain.
func (w *Watcher) endUnlistedEvacuations(keys map[string]struct{}) {
	listed := make(map[id.FailureDomain]struct{})
	for key := range keys {
		if domain, ok := platform.DecodeEvacuationKey(key); ok {
			listed[domain] = struct{}{}
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, domain := range w.registry.EndUnlistedEvacuations(w.Now(), listed) {
		w.recordEvacuationEnd(domain)
		w.logEvacuation(domain, unlistedOffset, false)
	}
}

// logEvacuation logs the begin or the end of an evacuation; the caller holds the lock.
func (w *Watcher) logEvacuation(domain id.FailureDomain, offset int64, inForce bool) {
	w.Logger.Info("evacuation", "domain", domain, "offset", offset, "in-force", inForce, "upstreams", len(w.registry.InDomain(domain)))
}
