package upstreamclient

import (
	"bufio"
	"errors"
	"net"
	"syscall"
	"time"
)

// conn is a connection to an upstream, which carries one request at a time.
type conn struct {
	net.Conn

	address   string
	reader    *bufio.Reader
	expiresAt time.Time
	reused    bool
}

func newConn(inner net.Conn, address string) *conn {
	return &conn{Conn: inner, address: address, reader: bufio.NewReaderSize(inner, readBufferBytes)}
}

// isOpenAndIdle reports whether the connection is open and has no unread bytes, which would belong to no request.
func (c *conn) isOpenAndIdle() bool {
	if c.reader.Buffered() > 0 {
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
