package httpx

import (
	"errors"
	"net"
	"sync"
	"syscall"
)

// listener keeps its connections, so that a server can look at them and end them all.
type listener struct {
	net.Listener

	mu    sync.Mutex
	conns map[string]*conn
}

// conn is a connection that its listener knows by the address of the other end.
type conn struct {
	net.Conn

	listener *listener
	remote   string
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, listener: l, remote: inner.RemoteAddr().String()}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = make(map[string]*conn)
	}
	l.conns[c.remote] = c

	return c, nil
}

// abort ends all connections.
func (l *listener) abort() {
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

// closeIdle ends the connections on which nothing runs.
func (l *listener) closeIdle(busy func(remote string) bool) {
	l.mu.Lock()
	var idle []*conn
	for remote, c := range l.conns {
		if !busy(remote) {
			idle = append(idle, c)
		}
	}
	l.mu.Unlock()
	for _, c := range idle {
		c.Close() //nolint:errcheck // the connection is given up
	}
}

// gone reports whether the other end has closed its connection, or is not known any more.
func (l *listener) gone(remote string) bool {
	l.mu.Lock()
	c, ok := l.conns[remote]
	l.mu.Unlock()

	return !ok || c.closedByPeer()
}

// closedByPeer looks at what the connection holds without taking it from the reader.
func (c *conn) closedByPeer() bool {
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
		again := errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
		closed = !again && (err != nil || n == 0)
	})

	return err != nil || closed
}

// Close ends the connection.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	if c.listener.conns[c.remote] == c {
		delete(c.listener.conns, c.remote)
	}
	c.listener.mu.Unlock()

	return c.Conn.Close()
}
