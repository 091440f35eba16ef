package upstream

import (
	"bufio"
	"errors"
	"net"
	"syscall"
	"time"
)

// conn is a connection to an upstream; one request at a time runs on it.
type conn struct {
	net.Conn

	address string
	reader  *bufio.Reader
	expires time.Time
	reused  bool
}

func newConn(inner net.Conn, address string) *conn {
	return &conn{Conn: inner, address: address, reader: bufio.NewReaderSize(inner, readBuffer)}
}

// quiet reports whether an idle connection is open and holds no bytes that belong to no request.
func (c *conn) quiet() bool {
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
	quiet := false
	err = control.Control(func(fd uintptr) {
		var buf [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
	})

	return err == nil && quiet
}
