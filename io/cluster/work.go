package cluster

import (
	"cardamomward/core/id"
	"cardamomward/core/registry"
	"cardamomward/core/workleft"
	"cardamomward/io/fleet/fleetpb"
)

// EnableWork makes this host evaluate the work that peers report; it must be called before Run.
func (c *Cluster) EnableWork() { c.peers.tracksWork = true }

// BeginWork adds a request of this host to the work at an upstream.
func (c *Cluster) BeginWork(instance *registry.Instance, work workleft.Work) *workleft.Request {
	now := c.Now()
	c.peers.mu.Lock()
	defer c.peers.mu.Unlock()

	return c.peers.work.Begin(now, instance.Service, instance.ID, work)
}

// RecordWorkProgress records that output tokens of a request have arrived.
func (c *Cluster) RecordWorkProgress(request *workleft.Request, tokens id.Tokens) {
	c.peers.mu.Lock()
	defer c.peers.mu.Unlock()
	c.peers.work.Progress(request, tokens)
}

// EndWork removes a request of this host.
func (c *Cluster) EndWork(request *workleft.Request) {
	c.peers.mu.Lock()
	defer c.peers.mu.Unlock()
	c.peers.work.End(request)
}

// UpstreamWork returns the load of all hosts at an upstream, with the engine memory of the prompt parts that it caches, of the given
// size each.
func (c *Cluster) UpstreamWork(instance *registry.Instance, tokensPerPart id.Tokens) workleft.Load {
	now := c.Now()
	c.peers.mu.Lock()
	defer c.peers.mu.Unlock()
	load := c.peers.work.Total(now, instance.Service, instance.ID)
	load.ReservedTokens += tokensPerPart * id.Tokens(c.peers.cachedParts.CountCached(now, instance.ID))

	return load
}

// OwnWork returns the load of this host's requests at all upstreams.
func (c *Cluster) OwnWork() workleft.Load {
	now := c.Now()
	c.peers.mu.Lock()
	defer c.peers.mu.Unlock()

	return c.peers.work.OwnTotal(now)
}

// decodeLoads returns the loads that a heartbeat reports.
func decodeLoads(loads []*fleetpb.UpstreamLoad) map[id.Upstream]workleft.Load {
	decoded := make(map[id.Upstream]workleft.Load, len(loads))
	for _, load := range loads {
		decoded[id.Upstream(load.Upstream)] = workleft.Load{
			Running: int(max(0, load.Running)), WorkMillis: float64(max(0, load.WorkMillis)), ReservedTokens: reportedTokens(load.ReservedTokens),
		}
	}

	return decoded
}
