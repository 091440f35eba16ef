package httpx

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cardamomward/core/http1"
	"cardamomward/core/intake"
	"cardamomward/core/memorybudget"
)

// outputBytes is the size of the buffer for small parts of a response, and copiedOutputBytes the size up to which a part is copied into it.
const (
	outputBytes       = 1 << 10
	copiedOutputBytes = 4 << 10
	// writeChunkBytes is the size of the pieces in which a response is written, to notice that its client reads, and writeTimeout the
	// time limit of each.
	writeChunkBytes = 64 << 10
	writeTimeout    = 30 * time.Second
)

// excessPause and excessPauses are the pauses between the arrival of too much behind a request and its discarding.
const (
	excessPause  = 25 * time.Millisecond
	excessPauses = 4
)

// conn is a connection of a client. The server library reads from it the request that has arrived, and writes the response to it.
type conn struct {
	net.Conn

	listener   *listener
	remoteAddr string
	socket     syscall.RawConn
	// requestBegunNanos is when the first byte was read since the last response, in nanoseconds since the Unix epoch; zero if
	// none was.
	requestBegunNanos atomic.Int64
	// isServing is set from the arrival of a request to the end of its response.
	isServing atomic.Bool

	// request is the present request, unread the parts of it that the library has not read yet, and rest what has arrived behind it.
	request http1.Request
	unread  [][]byte
	rest    []byte
	// hasServed is set once a request has been received.
	hasServed bool
	// discards is set once more has arrived behind a request than is kept while it is handled. Nothing can follow its response.
	discards bool

	// output holds the parts of the response that are not sent yet, and outputBuffer the memory for small parts.
	output       [][]byte
	outputBuffer []byte

	// evictions counts how often the connection was closed for others; evicted is closed with the first time, freed once it holds
	// no memory, and closed with the socket.
	evictions                  atomic.Int32
	evicted, freed, closed     chan struct{}
	evictOnce, freeOnce, close sync.Once

	// memory is nil if the connection has no budget.
	memory *MemoryBudget
	holder memorybudget.Holder
	budgetedRequest
}

func newConn(l *listener, inner net.Conn) *conn {
	c := &conn{
		Conn: inner, listener: l, remoteAddr: inner.RemoteAddr().String(), memory: l.memory,
		evicted: make(chan struct{}), freed: make(chan struct{}), closed: make(chan struct{}),
	}
	if raw, ok := inner.(syscall.Conn); ok {
		c.socket, _ = raw.SyscallConn()
	}

	return c
}

// Len returns how many bytes of the head or, once that is read, of the body can be read.
func (c *conn) Len() int {
	if len(c.unread) == 0 {
		return 0
	}

	return len(c.unread[0])
}

// Peek returns the next bytes of the present request. It never waits: the request has arrived whole.
func (c *conn) Peek(n int) ([]byte, error) {
	if n > c.Len() {
		return nil, io.EOF
	}
	if n == 0 {
		return nil, nil
	}

	return c.unread[0][:n], nil
}

// Skip discards bytes of the present request.
func (c *conn) Skip(n int) error {
	if n > c.Len() {
		return io.ErrUnexpectedEOF
	}
	if n == 0 {
		return nil
	}
	if c.unread[0] = c.unread[0][n:]; len(c.unread[0]) == 0 {
		c.unread = c.unread[1:]
	}

	return nil
}

// ReadByte reads one byte of the present request.
func (c *conn) ReadByte() (byte, error) {
	next, err := c.Peek(1)
	if err != nil {
		return 0, err
	}
	b := next[0]

	return b, c.Skip(1)
}

// ReadBinary returns a copy of the next bytes of the present request.
func (c *conn) ReadBinary(n int) ([]byte, error) {
	next, err := c.Peek(n)
	if err != nil {
		return nil, err
	}

	return append([]byte(nil), next...), c.Skip(n)
}

// Read reads bytes of the present request.
func (c *conn) Read(p []byte) (int, error) {
	if c.Len() == 0 {
		return 0, io.EOF
	}
	n := copy(p, c.unread[0])

	return n, c.Skip(n)
}

// Release does nothing: a request is held until its response has been sent.
func (c *conn) Release() error { return nil }

// SetReadTimeout does nothing: a request that the library reads has arrived.
func (c *conn) SetReadTimeout(time.Duration) error { return nil }

// SetWriteTimeout does nothing: each part of a response has a time limit.
func (c *conn) SetWriteTimeout(time.Duration) error { return nil }

// Malloc returns a buffer that is sent with the next Flush.
func (c *conn) Malloc(n int) ([]byte, error) {
	if n > cap(c.outputBuffer)-len(c.outputBuffer) {
		c.sealOutput()
		c.outputBuffer = make([]byte, 0, max(outputBytes, n))
	}
	start := len(c.outputBuffer)
	c.outputBuffer = c.outputBuffer[:start+n]

	return c.outputBuffer[start:], nil
}

// sealOutput adds the used part of the buffer to the output.
func (c *conn) sealOutput() {
	if used := len(c.outputBuffer); used > 0 {
		c.output = append(c.output, c.outputBuffer)
		c.outputBuffer = c.outputBuffer[used:used]
	}
}

// WriteBinary sends bytes with the next Flush, until which large ones must not change.
func (c *conn) WriteBinary(b []byte) (int, error) {
	if len(b) < copiedOutputBytes {
		part, err := c.Malloc(len(b))

		return copy(part, b), err
	}
	c.sealOutput()
	c.output = append(c.output, b)

	return len(b), nil
}

// Flush sends the output.
func (c *conn) Flush() error {
	c.sealOutput()
	output := c.output
	c.output = nil
	for _, part := range output {
		if _, err := c.send(part); err != nil {
			return err
		}
	}

	return nil
}

// Write sends the output and then bytes.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.Flush(); err != nil {
		return 0, err
	}

	return c.send(p)
}

// send sends a part of a response, in pieces, each of which has a time limit.
func (c *conn) send(p []byte) (written int, err error) {
	c.requestBegunNanos.Store(0)
	for err == nil && len(p) > 0 {
		n := 0
		n, err = c.sendPiece(p[:min(len(p), writeChunkBytes)])
		c.listener.counter.AddSent(n)
		written += n
		p = p[n:]
	}

	return written, err
}

// sendPiece writes to the socket and notes whether the client reads.
func (c *conn) sendPiece(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	if err := c.evictionError(); err != nil {
		return 0, err
	}
	c.listener.intake.do(func(pool *intake.Pool[*conn]) { pool.BeginWrite(time.Now(), c) })
	defer c.listener.intake.do(func(pool *intake.Pool[*conn]) { pool.EndWrite(c) })
	if c.memory != nil {
		c.memory.setWaiting(c)
		defer c.memory.setProgress(c)
	}

	return c.Conn.Write(p)
}

// discardRest drops what has arrived behind the present request.
func (c *conn) discardRest() {
	c.rest, c.discards = nil, true
}

// Close closes the connection and stops tracking it.
func (c *conn) Close() error {
	err := net.ErrClosed
	c.close.Do(func() {
		c.listener.forget(c)
		err = c.Conn.Close()
		close(c.closed)
	})

	return err
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
	if c.socket == nil {
		return 0, syscall.EAGAIN
	}
	var peekErr error
	err = c.socket.Control(func(fd uintptr) { bytes, peekErr = peekSocket(fd) })
	if err != nil {
		return 0, err
	}

	return bytes, peekErr
}

// peekSocket returns how many of the next bytes of a socket, at most one, have arrived.
func peekSocket(fd uintptr) (bytes int, err error) {
	var buf [1]byte
	bytes, _, err = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)

	return max(0, bytes), err
}

// sensingConn cancels a request when its client closes the connection.
type sensingConn struct {
	*conn

	cancel context.CancelFunc
	// aborted is closed to end the wait for the end of the connection, and done once that has ended.
	aborted, done chan struct{}
}

// abortDeadline is a deadline that has passed, which ends a wait.
var abortDeadline = time.Unix(1, 0)

// DetectConnectionClose begins to wait for the client to close the connection.
func (c *sensingConn) DetectConnectionClose() {
	c.SetReadDeadline(time.Time{}) //nolint:errcheck // the wait ends if the connection is closed
	c.aborted, c.done = make(chan struct{}), make(chan struct{})
	go func() {
		defer close(c.done)
		if c.waitForClose() {
			c.cancel()
		}
	}()
}

// AbortBlockingRead ends the wait.
func (c *sensingConn) AbortBlockingRead() {
	close(c.aborted)
	c.SetReadDeadline(abortDeadline) //nolint:errcheck // the wait ends if the connection is closed
	<-c.done
}

// waitForClose waits until the peer closes the connection, and reports false if the wait was ended.
func (c *sensingConn) waitForClose() bool {
	if c.socket == nil {
		return false
	}
	for {
		found := nothingSensed
		err := c.socket.Read(func(fd uintptr) bool {
			found = c.sense(int(fd))

			return found != nothingSensed
		})
		if found != excessSensed {
			return found == closeSensed || (err != nil && !isTimeout(err))
		}
		if c.isAbortedSoon() {
			return false
		}
		c.discardRest()
	}
}

// sensed is the result of a look at a connection whose request is handled.
type sensed int

const (
	nothingSensed sensed = iota
	// closeSensed means that the peer has closed the connection, and excessSensed that it has sent too much ahead.
	closeSensed
	excessSensed
)

// sense looks at the connection. A little that the peer sends ahead of its next request stays where it is; more is discarded in the end, as
// it would take memory, and the end behind it would not be noticed.
func (c *sensingConn) sense(fd int) sensed {
	scratch := scratchPool.Get().(*[scratchBytes]byte)
	defer scratchPool.Put(scratch)
	for !c.isAborted() {
		n, err := 0, error(nil)
		if c.discards {
			n, err = syscall.Read(fd, scratch[:])
			c.listener.counter.AddReceived(max(0, n))
		} else {
			n, _, err = syscall.Recvfrom(fd, scratch[:maxBytesAhead+1], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		}
		switch {
		case n <= 0 && isWouldBlock(err):
			return nothingSensed
		case n <= 0:
			return closeSensed
		case c.discards:
		case len(c.rest)+n <= maxBytesAhead:
			return nothingSensed
		default:
			return excessSensed
		}
	}

	return nothingSensed
}

func (c *sensingConn) isAborted() bool {
	select {
	case <-c.aborted:
		return true
	default:
		return false
	}
}

// isAbortedSoon waits for a short time, and reports whether the response has ended in it: what arrives may be the next request, since the
// client has the whole response a moment before the wait for its close ends. Several short pauses leave time for that also if the process was
// suspended in one of them.
func (c *sensingConn) isAbortedSoon() bool {
	ticker := time.NewTicker(excessPause)
	defer ticker.Stop()
	for range excessPauses {
		select {
		case <-c.aborted:
			return true
		case <-ticker.C:
		}
	}

	return c.isAborted()
}
