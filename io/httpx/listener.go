package httpx

import (
	"net"
	"sync"
)

// listener keeps its connections, so that a server can end them all.
type listener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*conn]struct{}
}

type conn struct {
	net.Conn

	listener *listener
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = make(map[*conn]struct{})
	}
	l.conns[c] = struct{}{}

	return c, nil
}

// abort ends all connections.
func (l *listener) abort() {
	l.mu.Lock()
	conns := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		c.Close() //nolint:errcheck // the connection is given up
	}
}

// Close ends the connection.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()

	return c.Conn.Close()
}
