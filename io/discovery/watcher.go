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
	"cardamomward/io/topicconsumer"
	"cardamomward/platform"
)

// upstreamReadPause separates the reads of upstream registrations, which are many and change often.
const upstreamReadPause = 250 * time.Millisecond

// configurationLongPoll is the long-poll wait of reads of the configuration.
const configurationLongPoll = 3 * time.Second

// Watcher keeps the newest configuration and upstream registrations that this host has read.
type Watcher struct {
	Store  *platform.Store
	Logger logr.Logger
	Now    func() time.Time
	// ScalePause scales the pauses between reads of upstream registrations; it may be nil.
	ScalePause func(time.Duration) time.Duration

	config atomic.Pointer[routing.Config]
	// lastStoreResponse is the time of the store's last response, in nanoseconds since the Unix epoch.
	lastStoreResponse atomic.Int64

	mu       sync.Mutex
	registry registry.Registry
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

// SoleVersion returns the software version of all upstreams of a service, and false if they have several versions or there
// are none.
func (w *Watcher) SoleVersion(service id.Service) (id.SoftwareVersion, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.registry.SoleVersion(service)
}

// GetUpstream returns a registered upstream, and false if it is not registered.
func (w *Watcher) GetUpstream(upstream id.Upstream) (*registry.Instance, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.registry.Get(upstream)
}

// IsUpstreamAddress reports whether an upstream is registered at an address.
func (w *Watcher) IsUpstreamAddress(address string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.registry.HasAddress(address)
}

// LastStoreResponse returns when the store last responded to this host.
func (w *Watcher) LastStoreResponse() time.Time { return time.Unix(0, w.lastStoreResponse.Load()) }

// RecordStoreResponse records that the store has responded now.
func (w *Watcher) RecordStoreResponse() { w.lastStoreResponse.Store(w.Now().UnixNano()) }

// Run consumes the topics of the configuration and of the upstream registrations until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	configurationConsumer := &topicconsumer.Consumer{
		Store: w.Store, Logger: w.Logger, Now: w.Now, Partition: platform.Partition{Topic: platform.ConfigurationTopic},
		LongPoll: configurationLongPoll, ApplyRecord: w.applyConfiguration, OnResponse: func(time.Duration) { w.RecordStoreResponse() },
	}
	upstreamConsumer := &topicconsumer.Consumer{
		Store: w.Store, Logger: w.Logger, Now: w.Now, Partition: platform.Partition{Topic: platform.UpstreamsTopic},
		ReadPause: upstreamReadPause, ScalePause: w.ScalePause, ApplyRecord: w.applyUpstream, OnListed: w.removeUnlistedUpstreams, OnResponse: w.recordResponseAfterOutage,
	}
	var tasks sync.WaitGroup
	tasks.Go(func() { configurationConsumer.Run(ctx) })
	tasks.Go(func() { upstreamConsumer.Run(ctx) })
	tasks.Wait()
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
	w.config.Store(config)
	w.Logger.Info("configuration", "version", config.Version, "offset", record.Offset,
		"routes", len(config.Routes), "workspaces", len(config.Workspaces))
}

// applyUpstream adds or updates an upstream; it removes one whose value is empty or cannot be decoded.
func (w *Watcher) applyUpstream(record platform.Record) {
	now := w.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(record.Value) == 0 {
		w.registry.Remove(now, id.Upstream(record.Key))
		w.Logger.Info("upstream-removed", "upstream", record.Key, "offset", record.Offset)

		return
	}
	instance, err := platform.DecodeUpstream(record.Key, record.Value)
	if err != nil {
		w.registry.Remove(now, id.Upstream(record.Key))
		w.Logger.Error(err, "upstream-refused", "upstream", record.Key, "offset", record.Offset)

		return
	}
	if !w.registry.Put(instance) || !w.upstreamsListed {
		return
	}
	w.Logger.Info("upstream", "upstream", instance.ID, "service", instance.Service, "address", instance.Address,
		"draining", instance.Draining, "offset", record.Offset)
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
	if !w.upstreamsListed {
		w.upstreamsListed = true
		w.Logger.Info("upstreams-listed", "upstreams", w.registry.Len())
	}
}

// recordResponseAfterOutage records a response of the store; after an outage it defers removals, since upstreams could not renew their
// registrations meanwhile.
func (w *Watcher) recordResponseAfterOutage(outage time.Duration) {
	w.RecordStoreResponse()
	if outage == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.registry.DeferRemovals(w.Now())
}
