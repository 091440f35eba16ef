package upstreamclient

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"cardamomward/core/traffic"
)

// conn is a connection to an upstream, which carries one request at a time.
type conn struct {
	net.Conn

	address string
	// relay is the host that relays the connection; empty if it is direct.
	relay     Relay
	counter   *traffic.Counter
	source    *countingReader
	reader    *bufio.Reader
	openedAt  time.Time
	expiresAt time.Time
	reused    bool
}

func newConn(inner net.Conn, address string, relay Relay) *conn {
	source := &countingReader{inner: inner}

	return &conn{Conn: inner, address: address, relay: relay, source: source, reader: bufio.NewReaderSize(source, readBufferBytes)}
}

// countingReader counts the bytes that are read.
type countingReader struct {
	inner   io.Reader
	counter *traffic.Counter
}

func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.inner.Read(p)
	r.counter.AddReceived(n)

	return n, err
}

// Write sends bytes to the upstream and counts them.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.AddSent(n)

	return n, err
}

// bufferedConn is a connection with a buffer of its own.
type bufferedConn interface {
	// Buffered returns the number of bytes that were received and not read.
	Buffered() int
}

// isOpenAndIdle reports whether the connection is open and has no unread bytes, which would belong to no request.
func (c *conn) isOpenAndIdle() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if buffered, ok := c.Conn.(bufferedConn); ok && buffered.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = control.Control(func(fd uintptr) {
		var buf [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData = errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
	})

	return err == nil && noData
}
