package httpx

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cardamomward/core/memorybudget"
	"cardamomward/core/traffic"
)

// listener tracks its accepted connections, so that a server can inspect and close them.
type listener struct {
	net.Listener

	counter *traffic.Counter
	// memory is nil if the connections have no budget; copies, classOf and refusalHeader are the options BodyCopies, MemoryClass and
	// RefusalHeader.
	memory        *MemoryBudget
	copies        int64
	classOf       func(path string) memorybudget.Class
	refusalHeader func(request http.Header) http.Header

	mu    sync.Mutex
	conns map[string]*conn
}

// conn is a connection that its listener tracks by the remote address.
type conn struct {
	net.Conn

	listener   *listener
	remoteAddr string
	// requestBegunNanos is when the first byte was read since the last response, in nanoseconds since the Unix epoch; zero if
	// none was.
	requestBegunNanos atomic.Int64

	// memory is nil if the connection has no budget.
	memory *MemoryBudget
	budgetedConn
	// hasWritten is set once a part of a response has been written, until the next request is read.
	hasWritten atomic.Bool
	// isHandled is set while a handler runs for the connection.
	isHandled atomic.Bool
}

// Read reads from the connection and notes when a request begins.
func (c *conn) Read(p []byte) (int, error) {
	read := c.Conn.Read
	if c.memory != nil {
		read = c.readBudgeted
	}
	n, err := read(p)
	c.listener.counter.AddReceived(n)
	if n > 0 {
		c.requestBegunNanos.CompareAndSwap(0, time.Now().UnixNano())
	}

	return n, err
}

// Write writes a part of a response to the connection.
func (c *conn) Write(p []byte) (int, error) {
	c.requestBegunNanos.Store(0)
	write := c.Conn.Write
	if c.memory != nil {
		write = c.writeBudgeted
	}
	n, err := write(p)
	c.listener.counter.AddSent(n)

	return n, err
}

// Accept waits for the next connection and tracks it.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, listener: l, remoteAddr: inner.RemoteAddr().String(), memory: l.memory}
	if c.memory != nil {
		c.memory.add(c)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = make(map[string]*conn)
	}
	l.conns[c.remoteAddr] = c

	return c, nil
}

// bodyCopies returns how many copies of a body are reserved before it is read.
func (l *listener) bodyCopies() int64 { return max(1, l.copies) }

// closeAll closes all connections.
func (l *listener) closeAll() {
	l.mu.Lock()
	conns := make([]*conn, 0, len(l.conns))
	for _, c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		c.Close() //nolint:errcheck // the connection is given up
	}
}

// closeIdle closes the connections for which isBusy returns false, but for those on which a request has begun to arrive.
func (l *listener) closeIdle(isBusy func(remote string) bool) {
	l.closeMatching(func(c *conn) bool {
		return !isBusy(c.remoteAddr) && c.requestBegunNanos.Load() == 0 && !c.hasUnreadBytes()
	})
}

// closeStalled closes the connections for which isBusy returns false and on which a request began to arrive before a time.
func (l *listener) closeStalled(before time.Time, isBusy func(remote string) bool) int {
	return l.closeMatching(func(c *conn) bool {
		begun := c.requestBegunNanos.Load()

		return begun != 0 && begun < before.UnixNano() && !isBusy(c.remoteAddr)
	})
}

// closeMatching closes the connections for which match returns true, and returns their number.
func (l *listener) closeMatching(match func(c *conn) bool) int {
	l.mu.Lock()
	var matching []*conn
	for _, c := range l.conns {
		if match(c) {
			matching = append(matching, c)
		}
	}
	l.mu.Unlock()
	for _, c := range matching {
		c.Close() //nolint:errcheck // the connection is given up
	}

	return len(matching)
}

// isClosedByPeer reports whether the peer has closed its connection, or the connection is no longer tracked.
func (l *listener) isClosedByPeer(remote string) bool {
	l.mu.Lock()
	c, ok := l.conns[remote]
	l.mu.Unlock()

	return !ok || c.isClosedByPeer()
}

// isClosedByPeer peeks at the socket without consuming data.
func (c *conn) isClosedByPeer() bool {
	bytes, err := c.peek()

	return bytes == 0 && !isWouldBlock(err)
}

// hasUnreadBytes reports whether the peer has sent bytes that were not read yet.
func (c *conn) hasUnreadBytes() bool {
	bytes, _ := c.peek()

	return bytes > 0
}

// peek returns how many of the next bytes, at most one, have arrived.
func (c *conn) peek() (bytes int, err error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, syscall.EAGAIN
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return 0, err
	}
	var peekErr error
	err = control.Control(func(fd uintptr) {
		var buf [1]byte
		bytes, _, peekErr = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})

	return max(0, bytes), errors.Join(err, peekErr)
}

func isWouldBlock(err error) bool {
	return errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
}

// Close closes the connection and stops tracking it.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	if c.listener.conns[c.remoteAddr] == c {
		delete(c.listener.conns, c.remoteAddr)
	}
	c.listener.mu.Unlock()
	if c.memory != nil {
		c.memory.remove(c)
	}

	return c.Conn.Close()
}
