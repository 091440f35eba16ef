package httpx

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"cardamomward/core/http1"
	"cardamomward/core/intake"
)

const (
	// scratchBytes is the size of the buffers into which sockets are read. A connection has one only while its bytes are taken.
	scratchBytes = 16 << 10
	// refusalTimeout bounds how long the rest of a refused request is read and dropped, so that the client receives the refusal before its
	// connection is reset, and evictedRefusalTimeout how long a connection is open that is closed for another one.
	refusalTimeout        = 500 * time.Millisecond
	evictedRefusalTimeout = 20 * time.Millisecond
	// fieldBytes is the memory of a header field once it has been parsed and copied to be forwarded.
	fieldBytes = 256
	// maxBytesAhead is the most that a connection keeps of what its client sends behind a request that is handled.
	maxBytesAhead = 4 << 10
	// dropBufferBytes is the size of the buffer for dropped bytes.
	dropBufferBytes = 4 << 10
)

// refusalRetryAfter is the Retry-After of a request that does not fit.
const refusalRetryAfter = "0.500"

// errEvicted ends a connection that is closed for others.
var errEvicted = errors.New("the connection is closed for others")

var scratchPool = sync.Pool{New: func() any { return new([scratchBytes]byte) }}

// RequestLimits bound a request and the time that it takes to arrive.
type RequestLimits struct {
	http1.Limits
	// HeadTimeout bounds the time to read a head; zero means the time limit of the whole request.
	HeadTimeout time.Duration
}

// receive reads the next request. On an error, the client has got the refusal if one is due.
func (c *conn) receive() error {
	err := c.receiveWhole(c.listener.limits())
	if err == nil && !c.listener.intake.finish(c) {
		err = errEvicted
	}
	if err != nil {
		c.refuse(err)

		return err
	}
	if c.memory != nil && c.reservedBytes > 0 {
		// The memory budget counts the request until its response has been sent.
		c.listener.intake.release(c, c.request.HeldBytes())
	}
	c.unread = append(c.unread[:0], c.request.Head())
	if body := c.request.Body(); len(body) > 0 {
		c.unread = append(c.unread, body)
	}
	c.hasServed = true
	if len(c.rest) > maxBytesAhead {
		c.discardRest()
	}

	return nil
}

// receiveWhole reads until the request is whole. The time limits of a request begin with its first byte.
func (c *conn) receiveWhole(limits RequestLimits) error {
	timeout := c.listener.readTimeout
	if c.hasServed {
		timeout = c.listener.idleTimeout
	}
	if err := c.setReadDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	var begun time.Time
	hadHead := false
	for !c.request.IsComplete() {
		data, release, err := c.next()
		if err != nil {
			return err
		}
		if begun.IsZero() {
			begun = time.Now()
			c.begin(begun)
			if err = c.setReadDeadline(begun.Add(c.listener.headTimeout(limits))); err != nil {
				return err
			}
		}
		err = c.feed(data, limits)
		release()
		if err == nil && c.request.HasHead() && !hadHead {
			hadHead = true
			err = c.beginBody(begun)
			if err == nil && !c.listener.intake.reserve(c, int64(c.request.FieldCount())*fieldBytes) {
				err = errors.Join(http1.ErrNoMemory, c.evictionError())
			}
		}
		if err != nil {
			return err
		}
	}

	return nil
}

// begin notes the first byte of a request.
func (c *conn) begin(now time.Time) {
	c.requestBegunNanos.CompareAndSwap(0, now.UnixNano())
	c.listener.intake.do(func(pool *intake.Pool[*conn]) { pool.Begin(now, c) })
}

// beginBody sets the deadline of the whole request, and asks for the body if the client waits for that.
func (c *conn) beginBody(begun time.Time) error {
	if err := c.setReadDeadline(begun.Add(c.listener.readTimeout)); err != nil {
		return err
	}
	if !c.request.ExpectsReply() {
		return nil
	}
	_, err := c.Conn.Write(continueResponse)

	return err
}

// setReadDeadline sets the deadline of reads, unless the connection is evicted.
func (c *conn) setReadDeadline(deadline time.Time) error {
	if err := c.SetReadDeadline(deadline); err != nil {
		return err
	}

	return c.evictionError()
}

func (c *conn) evictionError() error {
	if c.evictions.Load() > 0 {
		return errEvicted
	}

	return nil
}

// next returns the next bytes of the connection, and a function that ends their use. A connection that waits has no buffer: there are far
// more connections than buffers.
func (c *conn) next() (data []byte, release func(), err error) {
	if data = c.rest; len(data) > 0 {
		c.rest = nil

		return data, func() {}, nil
	}
	if c.socket == nil {
		return nil, nil, net.ErrClosed
	}
	var scratch *[scratchBytes]byte
	n := 0
	var readErr error
	err = c.socket.Read(func(fd uintptr) bool {
		scratch = scratchPool.Get().(*[scratchBytes]byte)
		n, readErr = syscall.Read(int(fd), scratch[:])
		if isWouldBlock(readErr) {
			scratchPool.Put(scratch)

			return false
		}

		return true
	})
	if err = errors.Join(err, c.evictionError()); err != nil {
		return nil, nil, err
	}
	release = func() { scratchPool.Put(scratch) }
	if n <= 0 {
		release()

		return nil, nil, errors.Join(readErr, io.EOF)
	}
	c.listener.counter.AddReceived(n)

	return scratch[:n], release, nil
}

// feed takes the next bytes of the request, and keeps what follows it.
func (c *conn) feed(data []byte, limits RequestLimits) error {
	taken, err := c.request.Feed(data, limits.Limits, requestMemory{c})
	if err != nil {
		return errors.Join(err, c.evictionError())
	}
	if taken < len(data) {
		c.rest = bytes.Clone(data[taken:])
	}

	return nil
}

// awaitNext ends a request whose response has been sent.
func (c *conn) awaitNext() {
	c.request, c.unread, c.outputBuffer = http1.Request{}, nil, nil
	c.requestBegunNanos.Store(0)
	if c.memory != nil {
		c.memory.endResponse(c)
		c.budgetedRequest = budgetedRequest{}
	}
	c.listener.intake.do(func(pool *intake.Pool[*conn]) { pool.AwaitNext(time.Now(), c) })
}

// evict wakes the goroutine that reads the connection, which closes it.
func (c *conn) evict() {
	c.evictions.Add(1)
	c.evictOnce.Do(func() { close(c.evicted) })
	c.SetDeadline(abortDeadline) //nolint:errcheck // a closed connection is as good
}

// refuse gives back what the connection holds and tells the client why, if it has sent a part of a request.
func (c *conn) refuse(cause error) {
	response, held := c.encodeRefusal(cause), c.request.HeldBytes()
	c.free()
	if response == nil {
		return
	}
	c.listener.logRefusal(time.Now(), c, cause, held)
	timeout, evictions := refusalTimeout, int32(0)
	if errors.Is(cause, errEvicted) {
		timeout, evictions = evictedRefusalTimeout, 1
	}
	c.SetDeadline(time.Now().Add(timeout)) //nolint:errcheck // the connection is about to end
	if _, err := c.Conn.Write(response); err != nil {
		return
	}
	c.linger(evictions)
}

// endDiscarding ends a connection whose bytes behind the last request were discarded.
func (c *conn) endDiscarding() {
	c.free()
	c.SetDeadline(time.Now().Add(refusalTimeout)) //nolint:errcheck // the connection is about to end
	c.linger(0)
}

// linger reads and drops what still arrives, as a reset would take the response from the client, until the deadline of the connection or until
// others need its place. It has been closed for others some times already.
func (c *conn) linger(evictions int32) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.CloseWrite() //nolint:errcheck // the connection is about to end
	}
	buf := make([]byte, dropBufferBytes)
	for c.evictions.Load() <= evictions {
		if _, err := c.Conn.Read(buf); err != nil {
			return
		}
	}
}

// free gives back the memory of the present request.
func (c *conn) free() {
	c.request, c.unread, c.rest = http1.Request{}, nil, nil
	if c.memory != nil {
		c.memory.endResponse(c)
	}
	c.listener.intake.do(func(pool *intake.Pool[*conn]) { pool.MarkRefused(c) })
	c.freeOnce.Do(func() { close(c.freed) })
}

// encodeRefusal returns the refusal of the present request, or nil if none is due: no request has begun, or nobody is there to read it.
func (c *conn) encodeRefusal(cause error) []byte {
	if !c.request.HasBegun() {
		return nil
	}
	status, reason := refusalOf(cause)
	if status == 0 {
		return nil
	}
	header := http.Header{}
	if c.listener.refusalHeader != nil {
		header = c.listener.refusalHeader(headerFields(c.request.Head()))
	}
	if status == http.StatusServiceUnavailable {
		header.Set("Retry-After", refusalRetryAfter)
	}
	body := "{\"error\":\"" + reason + "\"}\n"
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set("Connection", "close")
	var response bytes.Buffer
	response.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	header.Write(&response) //nolint:errcheck // a buffer takes all bytes
	response.WriteString("\r\n" + body)

	return response.Bytes()
}

// refusalOf returns the status and the reason of a refusal, or zero if the connection ended.
func refusalOf(cause error) (status int, reason string) {
	switch {
	case errors.Is(cause, errEvicted), errors.Is(cause, http1.ErrNoMemory):
		return http.StatusServiceUnavailable, "no-memory"
	case errors.Is(cause, http1.ErrBodyTooLarge):
		return http.StatusRequestEntityTooLarge, "large-body"
	case errors.Is(cause, http1.ErrHeadTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge, "large-header"
	case errors.Is(cause, http1.ErrMalformed):
		return http.StatusBadRequest, "malformed"
	case isTimeout(cause):
		return http.StatusRequestTimeout, "timeout"
	default:
		return 0, ""
	}
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

func isWouldBlock(err error) bool {
	return errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
}
