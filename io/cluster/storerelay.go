package cluster

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"cardamomward/core/circuitbreaker"
	"cardamomward/io/fleet/fleetpb"
	"cardamomward/platform"
)

const (
	// maxRelayStoreAge is how long ago the store may have answered a peer that relays calls to it.
	maxRelayStoreAge = 600 * time.Millisecond
	// defaultRelayTimeout bounds a relayed call whose asker does not say how long it waits.
	defaultRelayTimeout = 2 * time.Second
	// probeTimeout bounds a probe of the store's direct way.
	probeTimeout = 250 * time.Millisecond
)

// directPath is the way of this host's calls to the store.
type directPath struct {
	mu      sync.Mutex
	breaker circuitbreaker.Breaker
}

// routeStoreCall makes a call to the store, by way of a peer while the store turns only this host away.
func (c *Cluster) routeStoreCall(ctx context.Context, call platform.Call) (platform.Reply, error) {
	if !c.isDirectPathBlocked() {
		return c.callStoreDirectly(ctx, call)
	}
	peer, ok := c.peers.pickRelay(c.Now())
	if !ok {
		return c.callStoreDirectly(ctx, call)
	}
	c.probeDirectPath(ctx)

	return c.callStoreViaPeer(ctx, peer, call)
}

func (c *Cluster) isDirectPathBlocked() bool {
	c.directPath.mu.Lock()
	defer c.directPath.mu.Unlock()

	return c.directPath.breaker.IsOpen(c.Now())
}

// callStoreDirectly makes a call at the store itself and notes how it went.
func (c *Cluster) callStoreDirectly(ctx context.Context, call platform.Call) (platform.Reply, error) {
	reply, err := c.Store.Direct(ctx, call)
	if ctx.Err() != nil && context.Cause(ctx) == context.Canceled { //nolint:errorlint // a cause is compared as it is
		return reply, err
	}
	c.directPath.mu.Lock()
	defer c.directPath.mu.Unlock()
	now := c.Now()
	wasBlocked := c.directPath.breaker.IsOpen(now)
	c.directPath.breaker.RecordResult(now, err == nil && reply.Served())
	if c.directPath.breaker.IsOpen(now) != wasBlocked {
		c.Logger.Info("store-way", "blocked", !wasBlocked, "status", reply.Status, "error", err)
	}

	return reply, err
}

// lastDirectResponse returns when the store last answered this host itself.
func (c *Cluster) lastDirectResponse() time.Time {
	c.directPath.mu.Lock()
	defer c.directPath.mu.Unlock()

	return c.directPath.breaker.LastSuccess()
}

// probeDirectPath tries the direct way beside a relayed call, now and then.
func (c *Cluster) probeDirectPath(ctx context.Context) {
	c.directPath.mu.Lock()
	probe := c.directPath.breaker.TryProbe(c.Now())
	c.directPath.mu.Unlock()
	if !probe {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
		defer cancel()
		c.callStoreDirectly(ctx, platform.ProbeCall(slotGroup)) //nolint:errcheck // how it went is noted
	}()
}

// callStoreViaPeer makes a call by way of a peer.
func (c *Cluster) callStoreViaPeer(ctx context.Context, peer string, call platform.Call) (platform.Reply, error) {
	req := &fleetpb.RelayRequest{Method: call.Method, Target: call.Target, Body: call.Body}
	if deadline, ok := ctx.Deadline(); ok {
		req.TimeoutMillis = time.Until(deadline).Milliseconds()
	}
	reply, err := c.peerClient(peer).Relay(ctx, req)
	if err != nil {
		return platform.Reply{}, platform.ErrInDoubt.Wrap(err, "%s %s by way of %s", call.Method, call.Target, peer)
	}
	if reply.Status == 0 {
		return platform.Reply{}, platform.ErrInDoubt.New("%s %s by way of %s: no answer", call.Method, call.Target, peer)
	}

	return platform.Reply{Status: int(reply.Status), Body: reply.Body}, nil
}

// Relay makes a call to the store for a host that the store does not answer.
func (srv *slotServer) Relay(ctx context.Context, req *fleetpb.RelayRequest) (*fleetpb.RelayReply, error) {
	timeout := time.Duration(req.TimeoutMillis) * time.Millisecond
	if timeout <= 0 {
		timeout = defaultRelayTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := srv.cluster.callStoreDirectly(ctx, platform.Call{Method: req.Method, Target: req.Target, Body: req.Body})
	if err != nil {
		return &fleetpb.RelayReply{}, nil //nolint:nilerr // the asker logs that there was no answer
	}

	return &fleetpb.RelayReply{Status: int32(reply.Status), Body: reply.Body}, nil
}

// pickRelay returns a peer that the store answers, one of this host's failure domain if there is one.
func (p *peerTable) pickRelay(now time.Time) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var candidates []*peer
	limit := p.silenceTimeout()
	for _, other := range p.byHost {
		if now.Sub(other.lastHeardAt) <= limit && other.lastHeardAt.Sub(other.storeRespondedAt) <= maxRelayStoreAge {
			candidates = append(candidates, other)
		}
	}
	if len(candidates) == 0 {
		return "", false
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })

	return slices.MinFunc(candidates, func(a, b *peer) int {
		return cmp.Compare(p.failureDomainDistance(a), p.failureDomainDistance(b))
	}).PeerAddress, true
}

// failureDomainDistance is 0 for peers in this host's failure domain and 1 for others.
func (p *peerTable) failureDomainDistance(other *peer) int {
	if other.FailureDomain == p.selfEntry.FailureDomain {
		return 0
	}

	return 1
}
