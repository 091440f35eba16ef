package bytecounter

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// Counter counts the bytes of all connections of its HTTP client; the zero value is ready for use.
type Counter struct {
	sent     atomic.Int64
	received atomic.Int64
}

// HTTPClient returns a client with persistent connections whose bytes are counted.
func (c *Counter) HTTPClient() *http.Client {
	var dialer net.Dialer

	return &http.Client{Transport: &http.Transport{
		DisableCompression: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}

			return &countingConn{Conn: conn, counter: c}, nil
		},
	}}
}

// ByteCounts returns the bytes sent and received so far, without TCP and IP headers.
func (c *Counter) ByteCounts() (sent, received int64) { return c.sent.Load(), c.received.Load() }

// countingConn is a connection that adds its bytes to a counter.
type countingConn struct {
	net.Conn

	counter *Counter
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.received.Add(int64(n))

	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.sent.Add(int64(n))

	return n, err
}
