package upstream

import (
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/joomcode/errorx"
)

var (
	errs = errorx.NewNamespace("upstream")

	// ErrNotSent marks a request of which no byte reached the upstream.
	ErrNotSent = errs.NewType("not-sent")
	// ErrLost marks a request that was sent and has no whole answer: it may have run.
	ErrLost = errs.NewType("lost")
	// ErrGone marks a request whose upstream could not be reached any more: it may have run, and runs no more.
	ErrGone = ErrLost.NewSubtype("gone")
)

const (
	// dialTimeout bounds a new connection; the first lost packet of one is sent again after a second.
	dialTimeout = 500 * time.Millisecond
	// keepAlive is how often a connection is probed, so that the kernel notices silent ones.
	keepAlive = time.Second
	// probeTimeout bounds the connection that shows whether an upstream can still be reached.
	probeTimeout = 300 * time.Millisecond
	// idleLimit is how long a connection is kept where the upstream states no time.
	idleLimit = 4 * time.Second
	// idleMargin is left of the time that an upstream keeps idle connections.
	idleMargin = 500 * time.Millisecond
	// maxIdlePerUpstream bounds the idle connections to one upstream.
	maxIdlePerUpstream = 16
	// readBuffer is the size of a connection's read buffer in bytes.
	readBuffer = 2048
)

// Client keeps the connections to all upstreams; its zero value works.
type Client struct {
	mu   sync.Mutex
	idle map[string][]*conn
	open map[string]int
	// Opened counts new connections.
	Opened int64
}

// get returns an idle connection that is still good, or a new one.
func (c *Client) get(ctx context.Context, address string, now time.Time) (*conn, error) {
	for {
		candidate := c.pop(address)
		if candidate == nil {
			return c.dial(ctx, address)
		}
		if now.Before(candidate.expires) && candidate.quiet() {
			candidate.reused = true

			return candidate, nil
		}
		c.discard(candidate)
	}
}

func (c *Client) pop(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	list[len(list)-1] = nil
	c.idle[address] = list[:len(list)-1]

	return last
}

func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	inner, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, ErrNotSent.Wrap(err, "connect to %s", address)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = make(map[string]int)
		c.idle = make(map[string][]*conn)
	}
	c.open[address]++
	c.Opened++

	return newConn(inner, address), nil
}

// Reachable reports whether an upstream takes a new connection, which is closed at once.
func (c *Client) Reachable(ctx context.Context, address string) bool {
	dialer := net.Dialer{Timeout: probeTimeout}
	probe, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	probe.Close()

	return true
}

// Open returns how many connections there are to an upstream.
func (c *Client) Open(address string) int {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.open[address]
}

func (c *Client) put(used *conn, now time.Time, keep time.Duration) {
	used.expires = now.Add(keep)
	c.mu.Lock()
	list := c.idle[used.address]
	if len(list) < maxIdlePerUpstream {
		c.idle[used.address] = append(list, used)
		c.mu.Unlock()

		return
	}
	c.mu.Unlock()
	c.discard(used)
}

func (c *Client) discard(used *conn) {
	used.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[used.address]--; c.open[used.address] <= 0 {
		delete(c.open, used.address)
	}
}

// Sweep closes idle connections whose time is over.
func (c *Client) Sweep(now time.Time) {
	var ended []*conn
	c.mu.Lock()
	for address, list := range c.idle {
		kept := list[:0]
		for _, candidate := range list {
			if now.Before(candidate.expires) {
				kept = append(kept, candidate)
			} else {
				ended = append(ended, candidate)
			}
		}
		clear(list[len(kept):])
		c.idle[address] = kept
		if len(kept) == 0 {
			delete(c.idle, address)
		}
	}
	c.mu.Unlock()
	for _, candidate := range ended {
		c.discard(candidate)
	}
}

// keepFor returns how long a connection may be idle by the upstream's Keep-Alive field.
func keepFor(field string) time.Duration {
	for _, part := range strings.Split(field, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if whole, err := strconv.Atoi(value); err == nil {
			return min(idleLimit, time.Duration(whole)*time.Second-idleMargin)
		}
	}

	return idleLimit
}
