package meter

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// Meter counts bytes over all connections of its client; its zero value is ready.
type Meter struct {
	sent     atomic.Int64
	received atomic.Int64
}

// Client returns a client with kept connections whose bytes are counted.
func (m *Meter) Client() *http.Client {
	var dialer net.Dialer

	return &http.Client{Transport: &http.Transport{
		DisableCompression: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}

			return &counted{Conn: conn, meter: m}, nil
		},
	}}
}

// Bytes returns how many bytes were sent and received so far, without the headers of TCP and IP.
func (m *Meter) Bytes() (sent, received int64) { return m.sent.Load(), m.received.Load() }

// counted is a connection that reports its bytes.
type counted struct {
	net.Conn

	meter *Meter
}

func (c *counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.received.Add(int64(n))

	return n, err
}

func (c *counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.sent.Add(int64(n))

	return n, err
}
