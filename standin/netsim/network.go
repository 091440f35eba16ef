package netsim

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// link is one direction between two named endpoints.
type link struct{ from, to string }

// Network dials real connections and drops their data when the link between their endpoints is cut; the zero value has no cut links.
type Network struct {
	mu            sync.Mutex
	nameByAddress map[string]string
	cutLinks      map[link]bool
	refusedLinks  map[link]bool
	// pausedLinks has a channel for each paused link, which is closed when the pause ends.
	pausedLinks map[link]chan struct{}
	conns       map[*conn]struct{}
}

// SetAddressName sets the name of the endpoint that listens on an address.
func (n *Network) SetAddressName(address, name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.nameByAddress == nil {
		n.nameByAddress = make(map[string]string)
	}
	n.nameByAddress[address] = name
}

// CutLink cuts the link between two endpoints in both directions; its open connections stay silent after RestoreLink.
func (n *Network) CutLink(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cutLinks == nil {
		n.cutLinks = make(map[link]bool)
	}
	n.cutLinks[link{a, b}] = true
	n.cutLinks[link{b, a}] = true
	for c := range n.conns {
		if n.cutLinks[link{c.from, c.to}] {
			c.markSilent()
		}
	}
}

// RefuseLink refuses new connections between two endpoints; open ones live on.
func (n *Network) RefuseLink(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.refusedLinks == nil {
		n.refusedLinks = make(map[link]bool)
	}
	n.refusedLinks[link{a, b}] = true
	n.refusedLinks[link{b, a}] = true
}

// ResetLink refuses new connections between two endpoints and closes those that are open.
func (n *Network) ResetLink(a, b string) {
	n.RefuseLink(a, b)
	n.mu.Lock()
	var open []*conn
	for c := range n.conns {
		if n.refusedLinks[link{c.from, c.to}] {
			open = append(open, c)
		}
	}
	n.mu.Unlock()
	for _, c := range open {
		c.Close() //nolint:errcheck // a reset has no other effect
	}
}

// RestoreLink lets new connections between two endpoints through again.
func (n *Network) RestoreLink(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.refusedLinks, link{a, b})
	delete(n.refusedLinks, link{b, a})
	delete(n.cutLinks, link{a, b})
	delete(n.cutLinks, link{b, a})
}

// SilenceOpenConns makes all open connections between two endpoints lose their data; new ones work.
func (n *Network) SilenceOpenConns(a, b string) {
	n.CutLink(a, b)
	n.RestoreLink(a, b)
}

// PauseLink holds all data between two endpoints until ResumeLink, and new connections as well; nothing is lost.
func (n *Network) PauseLink(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.pausedLinks == nil {
		n.pausedLinks = make(map[link]chan struct{})
	}
	resumed := make(chan struct{})
	n.pausedLinks[link{a, b}], n.pausedLinks[link{b, a}] = resumed, resumed
}

// ResumeLink ends a pause.
func (n *Network) ResumeLink(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if resumed, ok := n.pausedLinks[link{a, b}]; ok {
		close(resumed)
	}
	delete(n.pausedLinks, link{a, b})
	delete(n.pausedLinks, link{b, a})
}

// awaitResume waits while a link is paused, until done is closed.
func (n *Network) awaitResume(l link, done <-chan struct{}) {
	n.mu.Lock()
	resumed, isPaused := n.pausedLinks[l]
	n.mu.Unlock()
	if !isPaused {
		return
	}
	select {
	case <-resumed:
	case <-done:
	}
}

// ConnCount returns the number of open connections that an endpoint has dialed.
func (n *Network) ConnCount(from string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for c := range n.conns {
		if c.from == from {
			count++
		}
	}

	return count
}

// DialFunc dials an address, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// DialerFrom returns the dial function of the endpoint with a name.
func (n *Network) DialerFrom(from string) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n.mu.Lock()
		to := n.nameByAddress[address]
		isCut, isRefused := n.cutLinks[link{from, to}], n.refusedLinks[link{from, to}]
		n.mu.Unlock()
		n.awaitResume(link{from, to}, ctx.Done())
		if isRefused {
			return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
		}
		if isCut {
			// A lost packet causes no error: the dial ends with its context.
			<-ctx.Done()

			return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
		}
		inner, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}

		return n.trackConn(&conn{Conn: inner, network: n, from: from, to: to, silenced: make(chan struct{}), closed: make(chan struct{})}), nil
	}
}

func (n *Network) trackConn(c *conn) *conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns == nil {
		n.conns = make(map[*conn]struct{})
	}
	n.conns[c] = struct{}{}

	return c
}

func (n *Network) untrackConn(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

// conn is a connection that can go silent: writes are discarded and reads block until it is closed.
type conn struct {
	net.Conn

	network     *Network
	from, to    string
	silenceOnce sync.Once
	silenced    chan struct{}
	closeOnce   sync.Once
	closed      chan struct{}

	mu           sync.Mutex
	readDeadline time.Time
}

// SetDeadline sets the deadlines, which also end reads of a silent connection.
func (c *conn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	c.readDeadline = t
	c.mu.Unlock()

	return c.Conn.SetDeadline(t)
}

// SetReadDeadline sets the read deadline, which also ends reads of a silent connection.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.readDeadline = t
	c.mu.Unlock()

	return c.Conn.SetReadDeadline(t)
}

// awaitClose blocks until the connection is closed or its read deadline has passed.
func (c *conn) awaitClose() error {
	c.mu.Lock()
	deadline := c.readDeadline
	c.mu.Unlock()
	if deadline.IsZero() {
		<-c.closed

		return net.ErrClosed
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-c.closed:
		return net.ErrClosed
	case <-timer.C:
		return os.ErrDeadlineExceeded
	}
}

func (c *conn) markSilent() { c.silenceOnce.Do(func() { close(c.silenced) }) }

func (c *conn) isSilent() bool {
	select {
	case <-c.silenced:
		return true
	default:
		return false
	}
}

// Read blocks until Close or the deadline on a silent connection and discards data that arrives later.
func (c *conn) Read(b []byte) (int, error) {
	if c.isSilent() {
		return 0, c.awaitClose()
	}
	n, err := c.Conn.Read(b)
	c.network.awaitResume(link{c.to, c.from}, c.closed)
	if c.isSilent() {
		return 0, c.awaitClose()
	}

	return n, err
}

// Write discards the data and reports success on a silent connection.
func (c *conn) Write(b []byte) (int, error) {
	if c.isSilent() {
		return len(b), nil
	}
	c.network.awaitResume(link{c.from, c.to}, c.closed)

	return c.Conn.Write(b)
}

// Close closes the connection and unblocks its reads.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.network.untrackConn(c)

	return c.Conn.Close()
}
