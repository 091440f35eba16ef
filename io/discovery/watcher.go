package discovery

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"cardamomward/core/id"
	"cardamomward/core/registry"
	"cardamomward/core/routing"
	"cardamomward/core/streamorigin"
	"cardamomward/io/topicconsumer"
	"cardamomward/platform"
)

// upstreamReadPause separates the reads of upstream registrations, which are many and change often.
const upstreamReadPause = 250 * time.Millisecond

const (
	// configurationLongPoll is the long-poll wait of reads of the configuration.
	configurationLongPoll = 3 * time.Second
	// evacuationLongPoll applies on platforms that evacuate failure domains. With the margin and the retry interval of a read, a
	// read on a connection that has gone silent is replaced within 2.7 s, before the host counts as connected to the store for
	// 3 s and must know the evacuations.
	evacuationLongPoll = 1500 * time.Millisecond
	// minConfigurationLongPoll bounds the calls of each host to the store.
	minConfigurationLongPoll = 500 * time.Millisecond
	// silentReadDelay is the time in which a read on a connection that has gone silent is replaced after its long-poll wait: the margin
	// of the read, the retry interval and the next read.
	silentReadDelay = 1400 * time.Millisecond
	// recoveryLongPoll applies soon after a failure: a read on a connection that goes silent with the end of an outage is replaced within
	// 2.4 s, before the host counts as connected to the store for 3 s.
	recoveryLongPoll = time.Second
	// configurationListTimeout limits a listing of the configuration, which is small: one without a response is replaced within
	// config_apply_ms (2 s), and one that began in an outage ends, with twice the limit, before the host counts as connected for 3 s.
	configurationListTimeout = time.Second
)

// Watcher keeps the newest configuration and upstream registrations that this host has read.
type Watcher struct {
	Store  *platform.Store
	Logger logr.Logger
	Now    func() time.Time
	// HasEvacuations is set if the platform evacuates failure domains, which hosts must know sooner than configurations.
	HasEvacuations bool
	// ConfigurationApply is the period in which a configuration must take effect; zero if none is stated.
	ConfigurationApply time.Duration
	// ScalePause scales the pauses between reads of upstream registrations; it may be nil.
	ScalePause func(time.Duration) time.Duration
	// ColdStarts is told which upstreams may be cold.
	ColdStarts ColdStartRecorder

	config atomic.Pointer[routing.Config]
	// unlistedConfig is the configuration read before the topic's first listing is complete. It is not used until the
	// evacuations of the same listing are in force. Only the consumer's goroutine uses it and configListed.
	unlistedConfig *routing.Config
	configListed   bool
	// lastStoreResponse is the time of the store's last response, in nanoseconds since the Unix epoch.
	lastStoreResponse atomic.Int64

	// upstreamConsumer reads the registrations once Run has started.
	upstreamConsumer atomic.Pointer[topicconsumer.Consumer]

	mu       sync.Mutex
	registry registry.Registry
	history  streamorigin.History
	// upstreamsListed is set once all registrations have been listed.
	upstreamsListed bool
}

// Config returns the newest configuration, or nil if none is known.
func (w *Watcher) Config() *routing.Config { return w.config.Load() }

// AvailableUpstreams returns the upstreams of a service that may receive new requests.
func (w *Watcher) AvailableUpstreams(service id.Service) []*registry.Instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.registry.ApplyRemovals(w.Now())

	return w.registry.Available(service)
}

// RegisteredUpstreams returns all upstreams of a service, including those that may not receive new requests.
func (w *Watcher) RegisteredUpstreams(service id.Service) []*registry.Instance {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.registry.Registered(service)
}

// SoleVersion returns the software version of all upstreams of a service, and whether they have had no other for a period.
func (w *Watcher) SoleVersion(service id.Service, period time.Duration) (id.SoftwareVersion, streamorigin.Knowledge) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.upstreamsListed {
		return "", streamorigin.Unanswered
	}
	version, ok := w.registry.SoleVersion(service)
	if !ok {
		return "", streamorigin.Unknown
	}

	return version, w.history.VerifySoleVersion(w.Now(), service, version, period)
}

// VerifyOrigin reports whether the registrations confirm the version of a stream's origin.
func (w *Watcher) VerifyOrigin(origin streamorigin.Origin) streamorigin.Knowledge {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.history.Verify(origin)
}

// ConfirmOrigin reports whether the stream of an origin is known to have begun at the recorded process, which served at connectedAt
// if that is not zero.
func (w *Watcher) ConfirmOrigin(origin streamorigin.Origin, connectedAt time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.history.Confirm(origin, connectedAt)
}

// HasReadSince reports whether the registrations of all upstreams that served at a time have been read.
func (w *Watcher) HasReadSince(servedAt time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.history.HasReadSince(servedAt)
}

// RefreshUpstreams reads the registrations of upstreams soon instead of at the next regular read.
func (w *Watcher) RefreshUpstreams() {
	if consumer := w.upstreamConsumer.Load(); consumer != nil {
		consumer.Refresh()
	}
}

// IsReading reports whether the registrations of upstreams are being read.
func (w *Watcher) IsReading() bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.history.IsRead(w.Now())
}

// HasSoleVersion reports whether no other version of a service is known to have been registered within a period.
func (w *Watcher) HasSoleVersion(service id.Service, version id.SoftwareVersion, period time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.history.HasSoleVersion(w.Now(), service, version, period)
}

// GetUpstream returns a registered upstream, and false if it is not registered.
func (w *Watcher) GetUpstream(upstream id.Upstream) (*registry.Instance, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.registry.Get(upstream)
}

// DomainOfAddress returns the failure domain of the upstream that is registered at an address, and false if there is none.
func (w *Watcher) DomainOfAddress(address string) (id.FailureDomain, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.registry.DomainOfAddress(address)
}

// FailureDomainOfAddress returns the failure domain of the upstream that is registered at an address, or an empty string.
func (w *Watcher) FailureDomainOfAddress(address string) id.FailureDomain {
	domain, _ := w.DomainOfAddress(address)

	return domain
}

// LastStoreResponse returns when the store last responded to this host.
func (w *Watcher) LastStoreResponse() time.Time { return time.Unix(0, w.lastStoreResponse.Load()) }

// RecordStoreResponse records that the store has responded now.
func (w *Watcher) RecordStoreResponse() { w.lastStoreResponse.Store(w.Now().UnixNano()) }

// Run consumes the topics of the configuration and of the upstream registrations until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	configurationConsumer := &topicconsumer.Consumer{
		Store: w.Store, Logger: w.Logger, Now: w.Now, Partition: platform.Partition{Topic: platform.ConfigurationTopic},
		LongPoll: w.longPoll(), RecoveryLongPoll: recoveryLongPoll, ListTimeout: configurationListTimeout, ApplyRecord: w.applyOperatorRecord, OnListed: w.handleConfigurationListing, OnResponse: func(time.Duration) { w.RecordStoreResponse() },
	}
	upstreamConsumer := &topicconsumer.Consumer{
		Store: w.Store, Logger: w.Logger, Now: w.Now, Partition: platform.Partition{Topic: platform.UpstreamsTopic},
		ReadPause: upstreamReadPause, ScalePause: w.ScalePause, ApplyRecord: w.applyUpstream, OnListed: w.removeUnlistedUpstreams, OnResponse: w.recordResponseAfterOutage,
		OnApplied: w.recordApplied,
	}
	w.upstreamConsumer.Store(upstreamConsumer)
	var tasks sync.WaitGroup
	tasks.Go(func() { configurationConsumer.Run(ctx) })
	tasks.Go(func() { upstreamConsumer.Run(ctx) })
	tasks.Wait()
}

// longPoll returns the long-poll wait of reads of the configuration and the evacuations. A configuration takes effect in time even if
// the connection of a read has gone silent.
func (w *Watcher) longPoll() time.Duration {
	wait := configurationLongPoll
	if w.HasEvacuations {
		wait = evacuationLongPoll
	}
	if w.ConfigurationApply > 0 {
		wait = min(wait, max(minConfigurationLongPoll, w.ConfigurationApply-silentReadDelay))
	}

	return wait
}

// applyOperatorRecord applies a record of the operator: a configuration or an evacuation.
func (w *Watcher) applyOperatorRecord(record platform.Record) {
	if domain, ok := platform.DecodeEvacuationKey(record.Key); ok {
		w.applyEvacuation(domain, record)

		return
	}
	w.applyConfiguration(record)
}

// handleConfigurationListing ends the evacuations that a complete listing lacks, and uses the configuration of the first one.
func (w *Watcher) handleConfigurationListing(keys map[string]struct{}) {
	w.endUnlistedEvacuations(keys)
	if w.configListed {
		return
	}
	w.configListed = true
	if w.unlistedConfig != nil {
		w.config.Store(w.unlistedConfig)
		w.unlistedConfig = nil
	}
}

// applyConfiguration replaces the configuration; it ignores versions that are not newer and values that cannot be decoded.
func (w *Watcher) applyConfiguration(record platform.Record) {
	if record.Key != platform.ConfigurationKey || len(record.Value) == 0 {
		return
	}
	config, err := platform.DecodeConfiguration(record.Value)
	if err != nil {
		w.Logger.Error(err, "configuration-refused", "offset", record.Offset)

		return
	}
	current := w.config.Load()
	if current != nil && config.Version <= current.Version {
		return
	}
	if w.configListed {
		w.config.Store(config)
	} else {
		w.unlistedConfig = config
	}
	w.Logger.Info("configuration", "version", config.Version, "offset", record.Offset,
		"routes", len(config.Routes), "workspaces", len(config.Workspaces))
}

// applyUpstream adds or updates an upstream; it removes one whose value is empty or cannot be decoded.
func (w *Watcher) applyUpstream(record platform.Record) {
	now := w.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(record.Value) == 0 {
		w.removeUpstream(now, id.Upstream(record.Key))
		w.Logger.Info("upstream-removed", "upstream", record.Key, "offset", record.Offset)

		return
	}
	registration, err := platform.DecodeUpstream(record.Key, record.Value)
	if err != nil {
		w.removeUpstream(now, id.Upstream(record.Key))
		w.Logger.Error(err, "upstream-refused", "upstream", record.Key, "offset", record.Offset)

		return
	}
	instance := &registration.Instance
	w.history.RecordProcess(now, instance.ID, streamorigin.Process{
		Service: instance.Service, Incarnation: instance.Incarnation, Version: instance.Version,
	})
	changed := w.registry.Put(instance)
	w.recordColdStart(now, instance, registration.ColdRemaining)
	if !changed || !w.upstreamsListed {
		return
	}
	w.Logger.Info("upstream", "upstream", instance.ID, "service", instance.Service, "address", instance.Address,
		"draining", instance.Draining, "offset", record.Offset)
}

// removeUpstream removes an upstream; the caller holds the lock.
func (w *Watcher) removeUpstream(now time.Time, upstream id.Upstream) {
	w.registry.Remove(now, upstream)
	w.history.RecordRemoval(now, upstream)
}

// removeUnlistedUpstreams removes the upstreams that a complete listing does not contain.
func (w *Watcher) removeUnlistedUpstreams(keys map[string]struct{}) {
	listed := make(map[id.Upstream]struct{}, len(keys))
	for key := range keys {
		listed[id.Upstream(key)] = struct{}{}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.registry.RemoveUnlisted(w.Now(), listed)
	w.history.RecordListing(w.Now(), listed)
	if !w.upstreamsListed {
		w.upstreamsListed = true
		w.Logger.Info("upstreams-listed", "upstreams", w.registry.Len())
	}
}

// recordResponseAfterOutage records a response of the store; after an outage it defers removals, since upstreams could not renew their
// registrations meanwhile.
func (w *Watcher) recordResponseAfterOutage(outage time.Duration) {
	w.RecordStoreResponse()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history.RecordRead(w.Now())
	if outage == 0 {
		return
	}
	w.history.RecordOutageEnd(w.Now())
	w.registry.DeferRemovals(w.Now())
}

func (w *Watcher) recordApplied(until time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history.RecordApplied(until)
}
