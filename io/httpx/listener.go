package httpx

import (
	"errors"
	"net"
	"sync"
	"syscall"
)

// listener tracks its accepted connections, so that a server can inspect and close them.
type listener struct {
	net.Listener

	mu    sync.Mutex
	conns map[string]*conn
}

// conn is a connection that its listener tracks by the remote address.
type conn struct {
	net.Conn

	listener   *listener
	remoteAddr string
}

// Accept waits for the next connection and tracks it.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, listener: l, remoteAddr: inner.RemoteAddr().String()}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = make(map[string]*conn)
	}
	l.conns[c.remoteAddr] = c

	return c, nil
}

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

// closeIdle closes the connections for which isBusy returns false.
func (l *listener) closeIdle(isBusy func(remote string) bool) {
	l.mu.Lock()
	var idle []*conn
	for remote, c := range l.conns {
		if !isBusy(remote) {
			idle = append(idle, c)
		}
	}
	l.mu.Unlock()
	for _, c := range idle {
		c.Close() //nolint:errcheck // the connection is given up
	}
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
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = control.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		wouldBlock := errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
		closed = !wouldBlock && (err != nil || n == 0)
	})

	return err != nil || closed
}

// Close closes the connection and stops tracking it.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	if c.listener.conns[c.remoteAddr] == c {
		delete(c.listener.conns, c.remoteAddr)
	}
	c.listener.mu.Unlock()

	return c.Conn.Close()
}
