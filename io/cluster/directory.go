package cluster

import (
	"math/rand/v2"
	"time"

	"cardamomward/core/endpoints"
	"cardamomward/core/id"
)

// CallerAddresses returns up to maxAddresses addresses that callers may connect to.
func (c *Cluster) CallerAddresses(now time.Time, maxAddresses int) []string {
	return endpoints.SelectAddresses(c.callerHosts(now), maxAddresses, rand.Uint64())
}

// NearbyCallerAddresses returns up to maxAddresses addresses that callers in a failure domain may connect to, preferably in that
// domain and in proportion to the capacity of the hosts.
func (c *Cluster) NearbyCallerAddresses(now time.Time, domain id.FailureDomain, maxAddresses int) []string {
	return endpoints.SelectNearbyAddresses(c.callerHosts(now), domain, maxAddresses, rand.Uint64())
}

// callerHosts returns the hosts that callers may connect to.
func (c *Cluster) callerHosts(now time.Time) []endpoints.Host {
	isolated := c.IsIsolated(now)
	p := c.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	hosts := make([]endpoints.Host, 0, len(p.byHost)+1)
	limit := p.silenceTimeout() / 2
	for _, other := range p.byHost {
		if !other.isDraining && (isolated || (!other.isEvicted && now.Sub(other.lastHeardAt) <= limit)) {
			hosts = append(hosts, other.endpoint())
		}
	}
	if !p.isDraining && !isolated && c.HasConfig() {
		hosts = append(hosts, p.selfEntry.endpoint())
	}

	return hosts
}

func (e hostEntry) endpoint() endpoints.Host {
	return endpoints.Host{Address: e.CallerAddress, CPUCores: e.CPUCores, FailureDomain: e.FailureDomain, LinkBytesPerSecond: e.LinkBytesPerSecond}
}
