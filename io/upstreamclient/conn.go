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
	source    *limitedReader
	reader    *bufio.Reader
	openedAt  time.Time
	expiresAt time.Time
	reused    bool
}

func newConn(inner net.Conn, address string, relay Relay) *conn {
	source := &limitedReader{inner: inner}

	return &conn{Conn: inner, address: address, relay: relay, source: source, reader: bufio.NewReaderSize(source, readBufferBytes)}
}

var errHeadTooLarge = errors.New("the head of the response is too large")

// limitedReader limits the bytes that are read while isLimited is set: the head of a response is held in memory as a whole.
type limitedReader struct {
	inner     io.Reader
	isLimited bool
	remaining int
	counter   *traffic.Counter
}

// setLimit limits the bytes that are read before removeLimit is called.
func (r *limitedReader) setLimit(bytes int) { r.isLimited, r.remaining = true, bytes }

func (r *limitedReader) removeLimit() { r.isLimited = false }

func (r *limitedReader) Read(p []byte) (int, error) {
	if !r.isLimited {
		n, err := r.inner.Read(p)
		r.counter.AddReceived(n)

		return n, err
	}
	if r.remaining <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := r.inner.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
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
