package gatewayhost

import (
	"net"

	"cardamomward/core/traffic"
	"cardamomward/io/upstreamclient"
)

// upstreamTraffic returns the counter of a connection to an upstream: by the relay's failure domain if it is relayed, else by the
// upstream's.
func (h *Host) upstreamTraffic(address string, relay upstreamclient.Relay) *traffic.Counter {
	if relay != "" {
		return h.cluster.PeerTraffic(traffic.Relay, string(relay))
	}

	return h.traffic.Get(traffic.Upstream, h.crossingToUpstream(address))
}

// relayedPeerTraffic and relayedUpstreamTraffic return the counters of the two ends of a connection that this host relays.
func (h *Host) relayedPeerTraffic(remote net.Addr) *traffic.Counter {
	return h.cluster.PeerTraffic(traffic.Relay, remote.String())
}

func (h *Host) relayedUpstreamTraffic(address string) *traffic.Counter {
	return h.traffic.Get(traffic.Relay, h.crossingToUpstream(address))
}

func (h *Host) crossingToUpstream(address string) traffic.Crossing {
	return traffic.CrossingBetween(h.settings.FailureDomain, h.discovery.FailureDomainOfAddress(address))
}
