package upstreamclient

import (
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/joomcode/errorx"

	"cardamomward/core/reachability"
	"cardamomward/core/traffic"
)

var (
	errs = errorx.NewNamespace("upstream")

	// ErrNotSent is the type of errors for a request of which no byte was sent to the upstream.
	ErrNotSent = errs.NewType("not-sent")
	// ErrWithheld is the subtype of ErrNotSent for a request that Request.MayWrite has withheld.
	ErrWithheld = ErrNotSent.NewSubtype("withheld")
	// ErrResponseLost is the type of errors for a request that was sent and has no complete response: it may have run.
	ErrResponseLost = errs.NewType("lost")
	// ErrUnreachable is the subtype of ErrResponseLost for a request whose upstream became unreachable: it may have run,
	// and no longer runs.
	ErrUnreachable = ErrResponseLost.NewSubtype("gone")
)

const (
	// dialTimeout bounds the connection setup; it is shorter than TCP's first retransmission, which comes after 1 s.
	dialTimeout = 500 * time.Millisecond
	// keepAliveInterval is the interval of TCP keepalive probes, with which the kernel detects dead connections.
	keepAliveInterval = time.Second
	// probeTimeout bounds the connection setup that tests whether an upstream is reachable.
	probeTimeout = 300 * time.Millisecond
	// maxIdleTime is the longest time that an idle connection is kept, and the default without a Keep-Alive header.
	maxIdleTime = 4 * time.Second
	// idleTimeoutMargin is subtracted from the upstream's Keep-Alive timeout, so that this side closes first.
	idleTimeoutMargin = 500 * time.Millisecond
	// maxIdleConnsPerUpstream bounds the idle connections kept for one upstream.
	maxIdleConnsPerUpstream = 16
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 2048
)

// DialFunc connects to an address, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Client pools the connections to all upstreams; its zero value is ready to use.
type Client struct {
	// Dial connects to an upstream directly; nil means a TCP connection.
	Dial DialFunc
	// Relays connects to upstreams through other hosts; nil means that there are none.
	Relays RelayDialer
	Logger logr.Logger
	// CounterFor returns the counter of the bytes of a connection to an upstream; nil counts nothing.
	CounterFor func(address string, relay Relay) *traffic.Counter
	// Now returns the present time; nil means time.Now.
	Now func() time.Time

	mu             sync.Mutex
	idleConns      map[string][]*conn
	openConnCounts map[string]int
	// exchanges are those in progress.
	exchanges map[*Exchange]struct{}

	pathsMu sync.Mutex
	paths   reachability.Tracker

	// DialCount is the number of connections established so far.
	DialCount int64
}

// acquireConn returns an idle connection that is still usable, or a new one.
func (c *Client) acquireConn(ctx context.Context, address string, now time.Time) (*conn, error) {
	for {
		candidate := c.popIdleConn(address)
		if candidate == nil {
			return c.dial(ctx, address)
		}
		if c.isUsable(candidate, now) {
			candidate.reused = true

			return candidate, nil
		}
		c.closeConn(candidate)
	}
}

func (c *Client) popIdleConn(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idleConns[address]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	list[len(list)-1] = nil
	c.idleConns[address] = list[:len(list)-1]

	return last
}

func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	result := c.connect(ctx, address)
	if result.err != nil {
		return nil, ErrNotSent.Wrap(result.err, "connect to %s", address)
	}
	counter := c.counterFor(address, result.relay)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.openConnCounts == nil {
		c.openConnCounts = make(map[string]int)
		c.idleConns = make(map[string][]*conn)
	}
	c.openConnCounts[address]++
	c.DialCount++

	established := newConn(result.conn, address, result.relay)
	established.openedAt = c.now()
	established.counter = counter
	established.source.counter = counter

	return established, nil
}

// counterFor returns the counter of the bytes of a connection, or nil.
func (c *Client) counterFor(address string, relay Relay) *traffic.Counter {
	if c.CounterFor == nil {
		return nil
	}

	return c.CounterFor(address, relay)
}

// OpenConnCount returns the number of open connections to an upstream, idle or in use.
func (c *Client) OpenConnCount(address string) int {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.openConnCounts[address]
}

func (c *Client) releaseConn(conn *conn, now time.Time, idleTimeout time.Duration) {
	conn.expiresAt = now.Add(idleTimeout)
	c.mu.Lock()
	list := c.idleConns[conn.address]
	if len(list) < maxIdleConnsPerUpstream {
		c.idleConns[conn.address] = append(list, conn)
		c.mu.Unlock()

		return
	}
	c.mu.Unlock()
	c.closeConn(conn)
}

func (c *Client) closeConn(conn *conn) {
	conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.openConnCounts[conn.address]--; c.openConnCounts[conn.address] <= 0 {
		delete(c.openConnCounts, conn.address)
	}
}

// CloseExpired closes the connections whose idle timeout has passed or whose relay is leaving, and forgets old failures of paths.
func (c *Client) CloseExpired(now time.Time) {
	var expired []*conn
	c.mu.Lock()
	for address, list := range c.idleConns {
		remaining := list[:0]
		for _, candidate := range list {
			isRelayGone := candidate.relay != "" && !c.Relays.IsRelayAvailable(candidate.relay)
			if now.Before(candidate.expiresAt) && !isRelayGone {
				remaining = append(remaining, candidate)
			} else {
				expired = append(expired, candidate)
			}
		}
		clear(list[len(remaining):])
		c.idleConns[address] = remaining
		if len(remaining) == 0 {
			delete(c.idleConns, address)
		}
	}
	c.mu.Unlock()
	for _, candidate := range expired {
		c.closeConn(candidate)
	}
	c.pathsMu.Lock()
	defer c.pathsMu.Unlock()
	c.paths.RemoveExpired(now)
}

// parseKeepAlive returns how long a connection may be idle, from the upstream's Keep-Alive header.
func parseKeepAlive(header string) time.Duration {
	for _, part := range strings.Split(header, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return min(maxIdleTime, time.Duration(seconds)*time.Second-idleTimeoutMargin)
		}
	}

	return maxIdleTime
}
