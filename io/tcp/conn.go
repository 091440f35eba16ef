package tcp

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// ErrReset means that the peer ended a connection without having taken what was written to it.
var ErrReset = errors.New("the connection was reset during a write")

// lateWriteTimeout bounds each write after the peer has ended its bytes.
const lateWriteTimeout = 5 * time.Second

// Conn is a connection on which one goroutine may read while others write. The kernel reports a reset once: if a writer gets it, a reader
// gets the end of the connection, as if the peer had closed it. Reads return ErrReset then.
type Conn struct {
	net.Conn

	// hasEnded is set once the peer has ended its bytes.
	hasEnded atomic.Bool
	// writing is held while bytes are written, and protects hasFailed, which is set once the peer did not take them.
	writing   sync.Mutex
	hasFailed bool
}

// NewConn returns a connection that reads from another one and writes to it.
func NewConn(inner net.Conn) *Conn { return &Conn{Conn: inner} }

// Read returns io.EOF only if no write has failed. It awaits a write that is in progress.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != io.EOF { //nolint:errorlint // connections return io.EOF itself
		return n, err
	}
	c.hasEnded.Store(true)
	c.limitWrite()
	if c.awaitFailure() {
		return n, ErrReset
	}

	return n, err
}

func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.hasEnded.Load() {
		c.limitWrite()
	}
	n, err := c.Conn.Write(p)
	c.hasFailed = c.hasFailed || err != nil

	return n, err
}

// limitWrite bounds the write that is in progress or follows.
func (c *Conn) limitWrite() {
	c.SetWriteDeadline(time.Now().Add(lateWriteTimeout)) //nolint:errcheck // a connection that is closed fails anyway
}

// awaitFailure reports whether a write has failed, once the one in progress has ended.
func (c *Conn) awaitFailure() bool {
	c.writing.Lock()
	defer c.writing.Unlock()

	return c.hasFailed
}

// DialWith connects to an address as dial does, and returns a Conn.
func DialWith(
	ctx context.Context, dial func(ctx context.Context, network, address string) (net.Conn, error), network, address string,
) (net.Conn, error) {
	inner, err := dial(ctx, network, address)
	if err != nil {
		return nil, err
	}

	return NewConn(inner), nil
}
