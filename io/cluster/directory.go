package cluster

import (
	"math/rand/v2"
	"time"

	"cardamomward/core/endpoints"
	"cardamomward/core/id"
)

// maxListedSilence is how long a peer may be silent and still be listed in the directory, which must not name a host that was killed
// 6 s before. In a fleet of 830 hosts a peer is heard every 6 to 10 s on average, depending on the size of its heartbeats, so that 0.4 to
// 0.6 of the hosts are listed.
const maxListedSilence = 5 * time.Second

// CallerAddresses returns up to maxAddresses addresses that callers may connect to.
func (c *Cluster) CallerAddresses(now time.Time, maxAddresses int) []string {
	return endpoints.SelectAddresses(c.callerHosts(now), maxAddresses, rand.Uint64())
}

// NearbyCallerAddresses returns up to maxAddresses addresses that callers in a failure domain may connect to, preferably in that
// domain and in proportion to the capacity of the hosts.
func (c *Cluster) NearbyCallerAddresses(now time.Time, domain id.FailureDomain, maxAddresses int) []string {
	return endpoints.SelectNearbyAddresses(c.callerHosts(now), domain, maxAddresses, rand.Uint64())
}

// callerHosts returns the hosts that callers may connect to. An isolated host lists the peers that were heard until it became
// isolated; it cannot know which of them have stopped since.
func (c *Cluster) callerHosts(now time.Time) []endpoints.Host {
	isolated := c.IsIsolated(now)
	p := c.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	hosts := make([]endpoints.Host, 0, len(p.byHost)+1)
	heardSince := now.Add(-min(maxListedSilence, p.silenceTimeout()/2))
	if isolated {
		heardSince = p.lastHeard().Add(-maxListedSilence)
	}
	for _, other := range p.byHost {
		if !other.isDraining && (isolated || !other.isEvicted) && !other.lastHeardAt.Before(heardSince) {
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

// lastHeard returns when the last heartbeat of any peer arrived, zero if none has; the caller holds the lock.
func (p *peerTable) lastHeard() time.Time {
	var last time.Time
	for _, other := range p.byHost {
		last = laterOf(last, other.lastHeardAt)
	}

	return last
}
