package discovery

import (
	"time"

	"cardamomward/core/coldstart"
	"cardamomward/core/id"
	"cardamomward/core/registry"
)

// ColdStartRecorder records which upstreams may be cold.
type ColdStartRecorder interface {
	// RecordRegistration records how long an upstream stays cold by its registration, which was read now.
	RecordRegistration(instance *registry.Instance, remaining time.Duration, policy coldstart.Policy)
	// RecordCold records that an upstream is cold for a time.
	RecordCold(instance *registry.Instance, remaining time.Duration, policy coldstart.Policy, source coldstart.Source)
}

// coldStartPolicy returns the policy of a service, the zero value while no configuration is known.
func (w *Watcher) coldStartPolicy(service id.Service) coldstart.Policy {
	config := w.config.Load()
	if config == nil || config.Services[service] == nil {
		return coldstart.Policy{}
	}

	return config.Services[service].ColdStart
}

// recordColdStart records a registration that was read now; the caller holds the lock. An upstream that registers soon after the
// evacuation of its domain has ended counts as cold as those do that were registered then.
func (w *Watcher) recordColdStart(now time.Time, instance *registry.Instance, remaining time.Duration) {
	policy := w.coldStartPolicy(instance.Service)
	w.ColdStarts.RecordRegistration(instance, remaining, policy)
	if endedAt, ok := w.registry.EvacuationEndedAt(instance.FailureDomain); ok {
		w.ColdStarts.RecordCold(instance, endedAt.Add(policy.Duration).Sub(now), policy, coldstart.FromEvacuation)
	}
}

// recordEvacuationEnd treats the upstreams of a domain whose evacuation has ended as cold; the caller holds the lock.
func (w *Watcher) recordEvacuationEnd(domain id.FailureDomain) {
	for _, instance := range w.registry.InDomain(domain) {
		policy := w.coldStartPolicy(instance.Service)
		w.ColdStarts.RecordCold(instance, policy.Duration, policy, coldstart.FromEvacuation)
	}
}
