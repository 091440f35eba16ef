package httpx

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"cardamomward/core/intake"
	"cardamomward/core/memorybudget"
	"cardamomward/core/traffic"
)

// listener tracks its accepted connections, so that a server can inspect and close them.
type listener struct {
	net.Listener

	counter *traffic.Counter
	// intake bounds the requests and connections, and port identifies the listener there.
	intake *Intake
	port   intake.Port
	// limits returns the limits of the next request; readTimeout and idleTimeout bound its arrival and the wait for it.
	limits                   func() RequestLimits
	readTimeout, idleTimeout time.Duration
	// memory is nil if the connections have no budget; responsesOnly, copies, classOf and refusalHeader are the options ResponsesOnly,
	// BodyCopies, MemoryClass and RefusalHeader.
	memory        *MemoryBudget
	responsesOnly bool
	copies        int64
	classOf       func(path string) memorybudget.Class
	refusalHeader func(request http.Header) http.Header

	logger   logr.Logger
	refusals refusalLog

	mu    sync.Mutex
	conns map[string]*conn
}

// accept waits for the next connection and tracks it. It takes none if the port has no place for it.
func (l *listener) accept() (c *conn, isTaken bool, err error) {
	inner, err := l.Accept()
	if err != nil {
		return nil, false, err
	}
	c = newConn(l, inner)
	if !l.intake.add(l.port, c) {
		inner.Close()

		return nil, false, nil
	}
	if c.memory != nil {
		c.memory.add(c)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = make(map[string]*conn)
	}
	l.conns[c.remoteAddr] = c

	return c, true, nil
}

// forget stops tracking a connection.
func (l *listener) forget(c *conn) {
	l.mu.Lock()
	if l.conns[c.remoteAddr] == c {
		delete(l.conns, c.remoteAddr)
	}
	l.mu.Unlock()
	if c.memory != nil {
		c.memory.remove(c)
	}
}

// budgetsRequests reports whether a memory budget counts the connections' requests.
func (l *listener) budgetsRequests() bool { return l.memory != nil && !l.responsesOnly }

// headTimeout returns the time limit of a request's head.
func (l *listener) headTimeout(limits RequestLimits) time.Duration {
	if limits.HeadTimeout > 0 {
		return min(limits.HeadTimeout, l.readTimeout)
	}

	return l.readTimeout
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

// closeIdle closes the connections without a response in progress, but for those on which a request has begun to arrive.
func (l *listener) closeIdle() {
	l.closeMatching(func(c *conn) bool {
		return !c.isServing.Load() && c.requestBegunNanos.Load() == 0 && !c.hasUnreadBytes()
	})
}

// hasRequests reports whether a request is in progress on a connection, from its first byte until its response is written.
func (l *listener) hasRequests() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		if c.isServing.Load() || c.requestBegunNanos.Load() != 0 {
			return true
		}
	}

	return false
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
