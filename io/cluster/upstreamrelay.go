package cluster

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"cardamomward/core/relayselection"
	"cardamomward/io/relay"
	"cardamomward/io/upstreamclient"
)

const (
	// maxRelayAttempts bounds the hosts that are asked for one connection, and maxFailedRelayDials those of them that cannot connect
	// to the upstream either: the links of the first may have just failed too.
	maxRelayAttempts    = 3
	maxFailedRelayDials = 2
	// relayAttemptTimeout bounds the connection through one of them.
	relayAttemptTimeout = 150 * time.Millisecond
	// busyRelayPause is the pause before a host that has refused to relay is asked again.
	busyRelayPause = 500 * time.Millisecond
)

// RelayAddress returns the address on which this host relays connections of other hosts to upstreams.
func (c *Cluster) RelayAddress() string {
	return net.JoinHostPort(c.Settings.IP, strconv.Itoa(c.Settings.PeerPorts[1]))
}

// DialRelayed connects to an upstream through a live host whose own links to upstreams work. It asks others if one is busy or
// does not respond, until maxFailedRelayDials report that the upstream does not accept connections.
func (c *Cluster) DialRelayed(ctx context.Context, address string) (net.Conn, upstreamclient.Relay, error) {
	var failure error
	failedDials := 0
	asked := make(map[string]struct{}, maxRelayAttempts)
	for range maxRelayAttempts {
		chosen, ok := c.peers.pickUpstreamRelay(c.Now(), asked)
		if !ok {
			break
		}
		asked[chosen] = struct{}{}
		attemptCtx, cancel := context.WithTimeout(ctx, relayAttemptTimeout)
		conn, err := relay.Dial(attemptCtx, chosen, address)
		cancel()
		if err == nil {
			return conn, upstreamclient.Relay(chosen), nil
		}
		failure = err
		if errorx.IsOfType(err, relay.ErrUpstream) {
			failedDials++
		}
		if failedDials >= maxFailedRelayDials || ctx.Err() != nil {
			break
		}
		if errorx.IsOfType(err, relay.ErrBusy) {
			c.peers.recordBusyRelay(c.Now(), chosen)
		}
		c.Logger.Info("relay-failed", "relay", chosen, "address", address, "error", err)
	}
	if failure == nil {
		return nil, "", upstreamclient.ErrNoRelay.New("no live host relays connections to upstreams")
	}

	return nil, "", failure
}

// IsRelayAvailable reports whether a host that relays connections is live and not about to stop.
func (c *Cluster) IsRelayAvailable(address upstreamclient.Relay) bool {
	p := c.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	now, limit := p.cluster.Now(), p.silenceTimeout()
	for _, other := range p.byHost {
		if other.RelayAddress == string(address) {
			return p.canRelay(other, now, limit)
		}
	}

	return false
}

// canRelay reports whether a peer is live, stays and reaches upstreams; the caller holds the lock.
func (p *peerTable) canRelay(other *peer, now time.Time, silenceTimeout time.Duration) bool {
	isStopping := other.isDraining || other.hasLeft || other.isEvicted

	return !isStopping && !other.isPartitioned && other.RelayAddress != "" && now.Sub(other.lastHeardAt) <= silenceTimeout
}

// pickUpstreamRelay returns a peer that may relay a connection and is not among those that were asked before.
func (p *peerTable) pickUpstreamRelay(now time.Time, asked map[string]struct{}) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var candidates []relayselection.Candidate
	limit := p.silenceTimeout()
	for _, other := range p.byHost {
		if _, wasAsked := asked[other.RelayAddress]; wasAsked || !p.canRelay(other, now, limit) || now.Before(other.relayBusyUntil) {
			continue
		}
		candidates = append(candidates, relayselection.Candidate{
			Address: other.RelayAddress, CPUCores: other.CPUCores, IsNear: p.failureDomainDistance(other) == 0,
		})
	}

	return relayselection.Choose(candidates, rand.Float64())
}

func (p *peerTable) recordBusyRelay(now time.Time, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, other := range p.byHost {
		if other.RelayAddress == address {
			other.relayBusyUntil = now.Add(busyRelayPause)
		}
	}
}
