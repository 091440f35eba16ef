package upstreamclient

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"cardamomward/core/reachability"
)

const (
	// relayDelay is the head start of the direct path before a connection is also attempted through a relay.
	relayDelay = 100 * time.Millisecond
	// relayTimeout bounds the connection setup through a relay.
	relayTimeout = 400 * time.Millisecond
)

// ErrNoRelay is the type of errors of a RelayDialer without a host that may relay connections.
var ErrNoRelay = errs.NewType("no-relay")

// Relay is the address of a host that relays connections.
type Relay string

// RelayDialer connects to upstreams through other hosts.
type RelayDialer interface {
	// DialRelayed connects to an upstream through another host; the error is of type ErrNoRelay if none is available.
	DialRelayed(ctx context.Context, address string) (net.Conn, Relay, error)
	// IsRelayAvailable reports whether a host may get further requests on its relayed connections.
	IsRelayAvailable(relay Relay) bool
}

// dialResult is a connection or the error of the attempt; relay is empty for a direct connection.
type dialResult struct {
	conn  net.Conn
	relay Relay
	err   error
}

// discard closes a connection that nobody waits for any more.
func discard(results <-chan dialResult) {
	if result := <-results; result.err == nil {
		result.conn.Close()
	}
}

// connect opens a connection to an upstream on the direct path, or through a relay if that path fails or does not respond within
// relayDelay. Paths that are known to fail are avoided.
func (c *Client) connect(ctx context.Context, address string) dialResult {
	if c.Relays == nil || !c.avoidsDirectPath(address) {
		return c.race(ctx, address)
	}

	return c.connectRelayed(ctx, address)
}

// connectRelayed opens a connection through a relay, or directly as a last resort.
func (c *Client) connectRelayed(ctx context.Context, address string) dialResult {
	c.probeDirectPath(ctx, address)
	result := c.dialRelayed(ctx, address)
	if result.err == nil || ctx.Err() != nil {
		return result
	}

	result = c.dialDirectly(ctx, address, relayDelay)
	c.recordIfUnreachable(ctx, address, result)

	return result
}

// race connects directly and, after the head start of the direct path, through a relay; the first connection wins.
func (c *Client) race(ctx context.Context, address string) dialResult {
	if c.Relays == nil {
		result := c.dialDirectly(ctx, address, dialTimeout)
		c.recordIfUnreachable(ctx, address, result)

		return result
	}
	direct := make(chan dialResult, 1)
	go func() { direct <- c.dialDirectly(context.WithoutCancel(ctx), address, dialTimeout) }()
	timer := time.NewTimer(relayDelay)
	defer timer.Stop()
	var result dialResult
	select {
	case <-ctx.Done():
		go discard(direct)

		return dialResult{err: ctx.Err()}
	case result = <-direct:
		if result.err != nil {
			if relayed := c.dialRelayed(ctx, address); relayed.err == nil {
				return relayed
			}
		}
	case <-timer.C:
		result = c.awaitEither(ctx, address, direct)
	}
	c.recordIfUnreachable(ctx, address, result)

	return result
}

// awaitEither connects through a relay while the direct path has not responded, and returns the first connection.
func (c *Client) awaitEither(ctx context.Context, address string, direct chan dialResult) dialResult {
	relayed := make(chan dialResult, 1)
	go func() { relayed <- c.dialRelayed(ctx, address) }()
	var first dialResult
	select {
	case first = <-direct:
		if first.err == nil {
			go discard(relayed)

			return first
		}
		direct = relayed
	case first = <-relayed:
		if first.err == nil {
			go discard(direct)
			c.recordDirect(address, reachability.TimedOut)
			c.recordRelayed(address)

			return first
		}
	}
	select {
	case second := <-direct:
		return second
	case <-ctx.Done():
		go discard(direct)
		c.recordDirect(address, reachability.TimedOut)

		return dialResult{err: ctx.Err()}
	}
}

// recordIfUnreachable records an attempt that failed on all paths, unless its caller has left.
func (c *Client) recordIfUnreachable(ctx context.Context, address string, result dialResult) {
	if result.err != nil && !errors.Is(ctx.Err(), context.Canceled) {
		c.recordUnreachable(address)
	}
}

// dialDirectly connects on the direct path and records the result, unless the caller has left. A caller's own deadline says nothing
// of the path before relayDelay.
func (c *Client) dialDirectly(ctx context.Context, address string, timeout time.Duration) dialResult {
	dialCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	dial := c.Dial
	if dial == nil {
		dial = (&net.Dialer{KeepAlive: keepAliveInterval}).DialContext
	}
	startedAt := c.now()
	conn, err := dial(dialCtx, "tcp", address)
	switch {
	case err == nil:
		c.recordDirect(address, reachability.Connected)
	case errors.Is(ctx.Err(), context.Canceled):
	case ctx.Err() != nil && c.now().Sub(startedAt) < relayDelay:
	case errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded):
		c.recordDirect(address, reachability.TimedOut)
	default:
		c.recordDirect(address, reachability.Refused)
	}

	return dialResult{conn: conn, err: err}
}

// DialDirectly connects to an upstream on the direct path alone.
func (c *Client) DialDirectly(ctx context.Context, address string) (net.Conn, error) {
	result := c.dialDirectly(ctx, address, dialTimeout)

	return result.conn, result.err
}

func (c *Client) dialRelayed(ctx context.Context, address string) dialResult {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	conn, relay, err := c.Relays.DialRelayed(ctx, address)
	if err == nil {
		c.recordRelayed(address)
	}

	return dialResult{conn: conn, relay: relay, err: err}
}

// probeDirectPath tests in the background whether an avoided direct path works again, at intervals.
func (c *Client) probeDirectPath(ctx context.Context, address string) {
	if !c.tryProbe(address) {
		return
	}
	go func() {
		if result := c.dialDirectly(context.WithoutCancel(ctx), address, probeTimeout); result.err == nil {
			result.conn.Close()
		}
	}()
}

// checkPath tests whether an upstream accepts connections, since a connection to it seems to hang.
func (c *Client) checkPath(ctx context.Context, address string) {
	if !c.tryProbe(address) {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), dialTimeout)
	defer cancel()
	if result := c.race(ctx, address); result.err == nil {
		result.conn.Close()
	}
}

// Diagnose tests whether an upstream accepts a new connection, directly or through a relay, and otherwise returns how the direct
// path fails. It does not repeat a test that has just failed.
func (c *Client) Diagnose(ctx context.Context, address string) reachability.Result {
	if failure, ok := c.recentFailure(address); ok {
		return failure
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	result := c.connect(ctx, address)
	if result.err == nil {
		result.conn.Close()

		return reachability.Connected
	}
	if failure, ok := c.recentFailure(address); ok {
		return failure
	}

	return reachability.TimedOut
}

// recentFailure returns how the direct path to an upstream has failed if all paths have just failed.
func (c *Client) recentFailure(address string) (reachability.Result, bool) {
	c.pathsMu.Lock()
	defer c.pathsMu.Unlock()

	return c.paths.RecentFailure(c.now(), reachability.Address(address))
}

// isAlive reports whether a connection that is silent may still have a response. Open connections live on while new ones are
// refused, as long as other hosts reach the upstream.
func (c *Client) isAlive(ctx context.Context, conn *conn) bool {
	if conn.relay != "" {
		return c.Relays.IsRelayAvailable(conn.relay) && c.Diagnose(ctx, conn.address) == reachability.Connected
	}
	if c.hangsDirectly(conn.address) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	result := c.race(ctx, conn.address)
	if result.err == nil {
		result.conn.Close()
	}

	return result.err == nil && !c.hangsDirectly(conn.address)
}

// isUsable reports whether an idle connection may get a request.
func (c *Client) isUsable(conn *conn, now time.Time) bool {
	if !now.Before(conn.expiresAt) || !conn.isOpenAndIdle() {
		return false
	}
	if conn.relay != "" {
		return c.avoidsDirectPath(conn.address) && c.Relays.IsRelayAvailable(conn.relay)
	}

	return !c.mayHangDirectly(conn.address)
}
