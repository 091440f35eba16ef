package cluster

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"cardamomward/core/circuitbreaker"
	"cardamomward/io/fleet/fleetpb"
	"cardamomward/platform"
)

const (
	// maxRelayStoreAge is the age limit of the store's last response to a peer that relays calls.
	maxRelayStoreAge = 600 * time.Millisecond
	// defaultRelayTimeout bounds a relayed call whose sender gives no timeout.
	defaultRelayTimeout = 2 * time.Second
	// directPathCheckInterval is the interval at which a relayed read checks whether the direct path works again.
	directPathCheckInterval = 100 * time.Millisecond
	// probeTimeout bounds a probe of the direct path.
	probeTimeout = 250 * time.Millisecond
)

// directPath guards this host's direct calls to the store with a circuit breaker.
type directPath struct {
	mu      sync.Mutex
	breaker circuitbreaker.Breaker
}

// routeStoreCall calls the store directly, or through a peer while only the direct path fails.
func (c *Cluster) routeStoreCall(ctx context.Context, call platform.StoreRequest) (platform.StoreResponse, error) {
	if !c.isDirectPathBlocked() {
		return c.callStoreDirectly(ctx, call)
	}
	peer, ok := c.peers.pickRelay(c.Now())
	if !ok {
		return c.callStoreDirectly(ctx, call)
	}
	c.probeDirectPath(ctx)
	if call.Method == http.MethodGet {
		return c.readStoreViaPeer(ctx, peer, call)
	}

	return c.callStoreViaPeer(ctx, peer, call)
}

// storeResult is the outcome of a call to the store.
type storeResult struct {
	response platform.StoreResponse
	err      error
}

// readStoreViaPeer relays a read through a peer. Once the direct path works again, the read is also sent there, since the peer may have
// stopped responding; the first response counts.
func (c *Cluster) readStoreViaPeer(ctx context.Context, peer string, call platform.StoreRequest) (platform.StoreResponse, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan storeResult, 2)
	go func() {
		response, err := c.callStoreViaPeer(ctx, peer, call)
		results <- storeResult{response, err}
	}()
	ticker := time.NewTicker(directPathCheckInterval)
	defer ticker.Stop()
	for running := 1; ; {
		select {
		case result := <-results:
			if running--; result.err == nil || running == 0 {
				return result.response, result.err
			}
		case <-ticker.C:
			if c.isDirectPathBlocked() {
				c.probeDirectPath(ctx)

				continue
			}
			ticker.Stop()
			running++
			go func() {
				// The circuit breaker is not told of the outcome: the time left may be too short for a long poll.
				response, err := c.Store.RoundTripDirect(ctx, call)
				results <- storeResult{response, err}
			}()
		}
	}
}

func (c *Cluster) isDirectPathBlocked() bool {
	c.directPath.mu.Lock()
	defer c.directPath.mu.Unlock()

	return c.directPath.breaker.IsOpen(c.Now())
}

// callStoreDirectly calls the store and records the outcome in the circuit breaker, unless ctx was canceled.
func (c *Cluster) callStoreDirectly(ctx context.Context, call platform.StoreRequest) (platform.StoreResponse, error) {
	reply, err := c.Store.RoundTripDirect(ctx, call)
	if ctx.Err() != nil && context.Cause(ctx) == context.Canceled { //nolint:errorlint // the cause is the unwrapped error
		return reply, err
	}
	c.directPath.mu.Lock()
	defer c.directPath.mu.Unlock()
	now := c.Now()
	wasBlocked := c.directPath.breaker.IsOpen(now)
	c.directPath.breaker.RecordResult(now, err == nil && reply.WasProcessed())
	if c.directPath.breaker.IsOpen(now) != wasBlocked {
		c.Logger.Info("store-way", "blocked", !wasBlocked, "status", reply.Status, "error", err)
	}

	return reply, err
}

// lastDirectResponse returns when the store last responded to a direct call.
func (c *Cluster) lastDirectResponse() time.Time {
	c.directPath.mu.Lock()
	defer c.directPath.mu.Unlock()

	return c.directPath.breaker.LastSuccess()
}

// probeDirectPath starts a probe of the direct path if the circuit breaker allows one.
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
		c.callStoreDirectly(ctx, platform.NewProbeRequest(slotGroup)) //nolint:errcheck // callStoreDirectly records the outcome
	}()
}

// callStoreViaPeer relays a store call through a peer; it fails with ErrInDoubt if the outcome is unknown.
func (c *Cluster) callStoreViaPeer(ctx context.Context, peer string, call platform.StoreRequest) (platform.StoreResponse, error) {
	req := &fleetpb.RelayRequest{Method: call.Method, Target: call.Target, Body: call.Body}
	if deadline, ok := ctx.Deadline(); ok {
		req.TimeoutMillis = time.Until(deadline).Milliseconds()
	}
	reply, err := c.peerClient(peer).Relay(ctx, req)
	if err != nil {
		return platform.StoreResponse{}, platform.ErrInDoubt.Wrap(err, "%s %s relayed by %s", call.Method, call.Target, peer)
	}
	if reply.Status == 0 {
		return platform.StoreResponse{}, platform.ErrInDoubt.New("%s %s relayed by %s: the store did not respond", call.Method, call.Target, peer)
	}

	return platform.StoreResponse{Status: int(reply.Status), Body: reply.Body}, nil
}

// Relay calls the store for a host that cannot reach it.
func (srv *slotServer) Relay(ctx context.Context, req *fleetpb.RelayRequest) (*fleetpb.RelayReply, error) {
	timeout := time.Duration(req.TimeoutMillis) * time.Millisecond
	if timeout <= 0 {
		timeout = defaultRelayTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := srv.cluster.callStoreDirectly(ctx, platform.StoreRequest{Method: req.Method, Target: req.Target, Body: req.Body})
	if err != nil {
		return &fleetpb.RelayReply{}, nil //nolint:nilerr // status zero tells the sender that there was no response
	}

	countReply(ctx, len(reply.Body))

	return &fleetpb.RelayReply{Status: int32(reply.Status), Body: reply.Body}, nil
}

// pickRelay returns a random peer that reaches the store and is not about to stop, preferring this host's failure domain.
func (p *peerTable) pickRelay(now time.Time) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var candidates []*peer
	limit := p.silenceTimeout()
	for _, other := range p.byHost {
		if !other.hasLeft && now.Sub(other.lastHeardAt) <= limit && other.lastHeardAt.Sub(other.storeRespondedAt) <= maxRelayStoreAge {
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
