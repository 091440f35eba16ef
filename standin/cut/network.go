package cut

import (
	"context"
	"net"
	"os"
	"sync"
)

// link is one direction between two named ends.
type link struct{ from, to string }

// Network dials real connections and cuts them by the names of their ends; its zero value is whole.
type Network struct {
	mu    sync.Mutex
	names map[string]string
	cuts  map[link]bool
	conns map[*conn]struct{}
}

// Name gives an address the name of the end that listens there.
func (n *Network) Name(address, name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.names == nil {
		n.names = make(map[string]string)
	}
	n.names[address] = name
}

// Cut silences the links between two ends in both directions; connections over them never recover.
func (n *Network) Cut(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cuts == nil {
		n.cuts = make(map[link]bool)
	}
	n.cuts[link{a, b}] = true
	n.cuts[link{b, a}] = true
	for c := range n.conns {
		if n.cuts[link{c.from, c.to}] {
			c.silence()
		}
	}
}

// Heal lets new connections through again.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cuts, link{a, b})
	delete(n.cuts, link{b, a})
}

// Silence makes all open connections between two ends silent for good while new ones work.
func (n *Network) Silence(a, b string) {
	n.Cut(a, b)
	n.Heal(a, b)
}

// DialFunc dials an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns the dial function of the end with a name.
func (n *Network) Dialer(from string) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n.mu.Lock()
		to := n.names[address]
		cut := n.cuts[link{from, to}]
		n.mu.Unlock()
		if cut {
			// A packet that is lost on the way gives no error: the dial ends with its context.
			<-ctx.Done()

			return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
		}
		inner, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}

		return n.track(&conn{Conn: inner, network: n, from: from, to: to, silenced: make(chan struct{}), closed: make(chan struct{})}), nil
	}
}

func (n *Network) track(c *conn) *conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns == nil {
		n.conns = make(map[*conn]struct{})
	}
	n.conns[c] = struct{}{}

	return c
}

func (n *Network) forget(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

// conn is a connection that can go silent: writes vanish and reads wait until it is closed.
type conn struct {
	net.Conn

	network  *Network
	from, to string
	once     sync.Once
	silenced chan struct{}
	closing  sync.Once
	closed   chan struct{}
}

func (c *conn) silence() { c.once.Do(func() { close(c.silenced) }) }

func (c *conn) isSilent() bool {
	select {
	case <-c.silenced:
		return true
	default:
		return false
	}
}

// Read returns no data that arrives after the connection went silent.
func (c *conn) Read(b []byte) (int, error) {
	if c.isSilent() {
		<-c.closed

		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(b)
	if c.isSilent() {
		<-c.closed

		return 0, net.ErrClosed
	}

	return n, err
}

// Write pretends to succeed on a silent connection.
func (c *conn) Write(b []byte) (int, error) {
	if c.isSilent() {
		return len(b), nil
	}

	return c.Conn.Write(b)
}

// Close ends the connection and whatever waits on it.
func (c *conn) Close() error {
	c.closing.Do(func() { close(c.closed) })
	c.network.forget(c)

	return c.Conn.Close()
}
