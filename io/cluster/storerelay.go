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
	// relayFresh is how long ago the store may have answered a peer that relays calls to it.
	relayFresh = 600 * time.Millisecond
	// relayTimeout bounds a relayed call whose asker does not say how long it waits.
	relayTimeout = 2 * time.Second
	// probeTimeout bounds a probe of the store's direct way.
	probeTimeout = 250 * time.Millisecond
)

// storeWay is the way of this host's calls to the store.
type storeWay struct {
	mu  sync.Mutex
	way circuitbreaker.Breaker
}

// exchange makes a call to the store, by way of a peer while the store turns only this host away.
func (c *Cluster) exchange(ctx context.Context, call platform.Call) (platform.Reply, error) {
	if !c.storeBlocked() {
		return c.direct(ctx, call)
	}
	peer, ok := c.peers.relay(c.Now())
	if !ok {
		return c.direct(ctx, call)
	}
	c.probeStore(ctx)

	return c.relayed(ctx, peer, call)
}

func (c *Cluster) storeBlocked() bool {
	c.way.mu.Lock()
	defer c.way.mu.Unlock()

	return c.way.way.IsOpen(c.Now())
}

// direct makes a call at the store itself and notes how it went.
func (c *Cluster) direct(ctx context.Context, call platform.Call) (platform.Reply, error) {
	reply, err := c.Store.Direct(ctx, call)
	if ctx.Err() != nil && context.Cause(ctx) == context.Canceled { //nolint:errorlint // a cause is compared as it is
		return reply, err
	}
	c.way.mu.Lock()
	defer c.way.mu.Unlock()
	now := c.Now()
	blocked := c.way.way.IsOpen(now)
	c.way.way.RecordResult(now, err == nil && reply.Served())
	if c.way.way.IsOpen(now) != blocked {
		c.Logger.Info("store-way", "blocked", !blocked, "status", reply.Status, "error", err)
	}

	return reply, err
}

// storeDirect returns when the store last answered this host itself.
func (c *Cluster) storeDirect() time.Time {
	c.way.mu.Lock()
	defer c.way.mu.Unlock()

	return c.way.way.LastSuccess()
}

// probeStore tries the direct way beside a relayed call, now and then.
func (c *Cluster) probeStore(ctx context.Context) {
	c.way.mu.Lock()
	probe := c.way.way.TryProbe(c.Now())
	c.way.mu.Unlock()
	if !probe {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
		defer cancel()
		c.direct(ctx, platform.ProbeCall(group)) //nolint:errcheck // how it went is noted
	}()
}

// relayed makes a call by way of a peer.
func (c *Cluster) relayed(ctx context.Context, peer string, call platform.Call) (platform.Reply, error) {
	req := &fleetpb.RelayRequest{Method: call.Method, Target: call.Target, Body: call.Body}
	if deadline, ok := ctx.Deadline(); ok {
		req.TimeoutMillis = time.Until(deadline).Milliseconds()
	}
	reply, err := c.client(peer).Relay(ctx, req)
	if err != nil {
		return platform.Reply{}, platform.ErrInDoubt.Wrap(err, "%s %s by way of %s", call.Method, call.Target, peer)
	}
	if reply.Status == 0 {
		return platform.Reply{}, platform.ErrInDoubt.New("%s %s by way of %s: no answer", call.Method, call.Target, peer)
	}

	return platform.Reply{Status: int(reply.Status), Body: reply.Body}, nil
}

// Relay makes a call to the store for a host that the store does not answer.
func (v *service) Relay(ctx context.Context, req *fleetpb.RelayRequest) (*fleetpb.RelayReply, error) {
	timeout := time.Duration(req.TimeoutMillis) * time.Millisecond
	if timeout <= 0 {
		timeout = relayTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := v.fleet.direct(ctx, platform.Call{Method: req.Method, Target: req.Target, Body: req.Body})
	if err != nil {
		return &fleetpb.RelayReply{}, nil //nolint:nilerr // the asker logs that there was no answer
	}

	return &fleetpb.RelayReply{Status: int32(reply.Status), Body: reply.Body}, nil
}

// relay returns a peer that the store answers, one of this host's failure domain if there is one.
func (p *peers) relay(now time.Time) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var able []*peer
	limit := p.silenceLimit()
	for _, other := range p.peers {
		if now.Sub(other.heard) <= limit && other.heard.Sub(other.storeSeen) <= relayFresh {
			able = append(able, other)
		}
	}
	if len(able) == 0 {
		return "", false
	}
	rand.Shuffle(len(able), func(i, j int) { able[i], able[j] = able[j], able[i] })

	return slices.MinFunc(able, func(a, b *peer) int {
		return cmp.Compare(p.distance(a), p.distance(b))
	}).Peer, true
}

// distance is 0 for peers in this host's failure domain and 1 for others.
func (p *peers) distance(other *peer) int {
	if other.FailureDomain == p.self.FailureDomain {
		return 0
	}

	return 1
}
