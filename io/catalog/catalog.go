package catalog

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"cardamomward/core/id"
	"cardamomward/core/registry"
	"cardamomward/core/routing"
	"cardamomward/io/follow"
	"cardamomward/platform"
)

// upstreamInterval paces the reads of the upstreams' entries, of which there are many.
const upstreamInterval = 250 * time.Millisecond

// Catalog holds the newest configuration and upstreams that this host has read.
type Catalog struct {
	Store  *platform.Store
	Logger logr.Logger
	Now    func() time.Time
	// Stretch stretches the pauses between reads of what changes often; it may be nil.
	Stretch func(time.Duration) time.Duration

	config atomic.Pointer[routing.Config]
	// answered is when the store last answered, in nanoseconds since the Unix epoch.
	answered atomic.Int64

	mu       sync.Mutex
	registry registry.Registry
	// listed is set once the list of upstreams has been read whole.
	listed bool
}

// Config returns the newest configuration, or nil where none is known.
func (c *Catalog) Config() *routing.Config { return c.config.Load() }

// Serving returns the upstreams of a service that may get new work.
func (c *Catalog) Serving(service id.Service) []*registry.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.registry.ApplyRemovals(c.Now())

	return c.registry.Available(service)
}

// Get returns the entry of an upstream.
func (c *Catalog) Get(upstream id.Upstream) (*registry.Instance, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.registry.Get(upstream)
}

// Answered returns when the store last answered this host.
func (c *Catalog) Answered() time.Time { return time.Unix(0, c.answered.Load()) }

// NoteAnswer notes that the store has answered.
func (c *Catalog) NoteAnswer() { c.answered.Store(c.Now().UnixNano()) }

// Run follows both topics until ctx ends.
func (c *Catalog) Run(ctx context.Context) {
	configuration := &follow.Follower{
		Store: c.Store, Logger: c.Logger, Now: c.Now, Partition: platform.Partition{Topic: platform.ConfigurationTopic},
		Apply: c.applyConfiguration, Answered: func(time.Duration) { c.NoteAnswer() },
	}
	upstreams := &follow.Follower{
		Store: c.Store, Logger: c.Logger, Now: c.Now, Partition: platform.Partition{Topic: platform.UpstreamsTopic},
		Pause: upstreamInterval, Stretch: c.Stretch, Apply: c.applyUpstream, Retain: c.retainUpstreams, Answered: c.answeredAfter,
	}
	var group sync.WaitGroup
	group.Go(func() { configuration.Run(ctx) })
	group.Go(func() { upstreams.Run(ctx) })
	group.Wait()
}

func (c *Catalog) applyConfiguration(record platform.Record) {
	if record.Key != platform.ConfigurationKey || len(record.Value) == 0 {
		return
	}
	config, err := platform.DecodeConfiguration(record.Value)
	if err != nil {
		c.Logger.Error(err, "configuration-refused", "offset", record.Offset)

		return
	}
	old := c.config.Load()
	if old != nil && config.Version <= old.Version {
		return
	}
	c.config.Store(config)
	c.Logger.Info("configuration", "version", config.Version, "offset", record.Offset,
		"routes", len(config.Routes), "workspaces", len(config.Workspaces))
}

func (c *Catalog) applyUpstream(record platform.Record) {
	now := c.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(record.Value) == 0 {
		c.registry.Remove(now, id.Upstream(record.Key))
		c.Logger.Info("upstream-removed", "upstream", record.Key, "offset", record.Offset)

		return
	}
	instance, err := platform.DecodeUpstream(record.Key, record.Value)
	if err != nil {
		c.registry.Remove(now, id.Upstream(record.Key))
		c.Logger.Error(err, "upstream-refused", "upstream", record.Key, "offset", record.Offset)

		return
	}
	if !c.registry.Put(instance) || !c.listed {
		return
	}
	c.Logger.Info("upstream", "upstream", instance.ID, "service", instance.Service, "address", instance.Address,
		"draining", instance.Draining, "offset", record.Offset)
}

func (c *Catalog) retainUpstreams(keys map[string]struct{}) {
	listed := make(map[id.Upstream]struct{}, len(keys))
	for key := range keys {
		listed[id.Upstream(key)] = struct{}{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.registry.RemoveUnlisted(c.Now(), listed)
	if !c.listed {
		c.listed = true
		c.Logger.Info("upstreams-listed", "upstreams", c.registry.Len())
	}
}

func (c *Catalog) answeredAfter(away time.Duration) {
	c.NoteAnswer()
	if away == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.registry.DeferRemovals(c.Now())
}
