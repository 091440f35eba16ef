package upstreamclient

import (
	"context"
	"io"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"cardamomward/io/http1"
)

const (
	// asyncWriteThresholdBytes is the request size from which the request is written concurrently with reading the
	// response.
	asyncWriteThresholdBytes = 8 << 10
	// maxStaleResponses bounds the responses to other requests that are skipped.
	maxStaleResponses = 2
	// maxInterimResponses bounds the 1xx responses before the response.
	maxInterimResponses = 8
	// maxHeadBytes bounds the head of a response.
	maxHeadBytes = 64 << 10
	// maxStaleBodyBytes bounds the body of a skipped response.
	maxStaleBodyBytes = 64 << 10
)

// Request is one serialized request to one upstream.
type Request struct {
	// Address is the upstream's IP address and port.
	Address string
	Method  string
	// Head is the serialized request line and header, including the empty line that ends it.
	Head []byte
	Body []byte
	// Deadline is the time at which reads and writes fail.
	Deadline time.Time
	// ProbeAfter is how long the upstream may send nothing before it is probed; the exchange fails with ErrUnreachable
	// if the probe fails. Zero disables probes.
	ProbeAfter time.Duration
	// MayWrite is asked once a connection is open, which can take half a second, whether the request may still be sent; nil
	// means that it may.
	MayWrite func() bool
	// ID identifies the request, and ResponseID returns from the status and header of a response the id of the request that it
	// belongs to, or an empty string if it names none.
	ID         string
	ResponseID func(status int, header http.Header) string
}

// Exchange is a request that was sent and the response whose header was received.
type Exchange struct {
	Status int
	Header http.Header
	Body   io.Reader
	// ContentLength is the length of the body, -1 if the response does not state it.
	ContentLength int64

	client          *Client
	conn            *conn
	resp            *http1.Response
	stopCancelWatch func() bool
	closed          bool
	// isUnnamed is set if the response names no request.
	isUnnamed bool

	watchdog watchdog
	stall    stallDetector
	write    writeOutcome
}

// Send sends a request and reads the status and header of its response. Errors are of type ErrNotSent or
// ErrResponseLost. When ctx is done, the connection is closed, so that the upstream stops its work.
func (c *Client) Send(ctx context.Context, now time.Time, req Request) (*Exchange, error) {
	conn, err := c.acquireConn(ctx, req.Address, now)
	if err != nil {
		return nil, err
	}
	if req.MayWrite != nil && !req.MayWrite() {
		c.closeConn(conn)

		return nil, ErrWithheld.New("the request to %s is not sent any more", req.Address)
	}
	if err := conn.SetDeadline(req.Deadline); err != nil {
		c.closeConn(conn)

		return nil, ErrNotSent.Wrap(err, "set the connection's deadline")
	}
	x := &Exchange{client: c, conn: conn, write: newWriteOutcome()}
	x.stopCancelWatch = context.AfterFunc(ctx, func() { conn.Close() })
	c.addExchange(x)
	x.watchdog.start(req.ProbeAfter, func() bool { return c.isAlive(ctx, conn) }, func() { conn.Close() })
	if err := x.writeRequest(req); err != nil {
		x.Abort()

		return nil, x.ErrorType().Wrap(err, "send the request to %s", req.Address)
	}
	if conn.relay == "" && c.Relays != nil {
		x.stall.start(ctx, conn.Conn, x.write.isKnown, func(ctx context.Context) { c.checkPath(ctx, conn.address) })
	}
	if err := x.readHead(req); err != nil {
		x.Abort()

		return nil, x.ErrorType().Wrap(err, "read the response header of %s", req.Address)
	}
	x.stall.stop()

	return x, nil
}

func (c *Client) addExchange(x *Exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.exchanges == nil {
		c.exchanges = make(map[*Exchange]struct{})
	}
	c.exchanges[x] = struct{}{}
}

// end stops what watches the exchange.
func (x *Exchange) end() {
	x.closed = true
	x.watchdog.stop()
	x.stall.stop()
	x.client.mu.Lock()
	defer x.client.mu.Unlock()
	delete(x.client.exchanges, x)
}

// RecordProgress restarts the silence timeout, since the upstream has sent data.
func (x *Exchange) RecordProgress() { x.watchdog.recordProgress() }

// ConnectedAt returns when the connection to the upstream had been opened.
func (x *Exchange) ConnectedAt() time.Time { return x.conn.openedAt }

// ErrorType returns the type for errors of this exchange: ErrUnreachable if the watchdog has expired, else
// ErrResponseLost.
func (x *Exchange) ErrorType() *errorx.Type {
	if x.watchdog.hasExpired() {
		return ErrUnreachable
	}

	return ErrResponseLost
}

// writeRequest sends the request; large ones are sent in the background, since an upstream may respond before it has read all.
func (x *Exchange) writeRequest(req Request) error {
	message := slices.Concat(req.Head, req.Body)
	if len(message) < asyncWriteThresholdBytes {
		_, err := x.conn.Write(message)
		x.write.set(err)

		return err
	}
	go func() {
		_, err := x.conn.Write(message)
		x.write.set(err)
	}()

	return nil
}

// readHead reads the header of the response and skips late responses to earlier requests.
func (x *Exchange) readHead(req Request) error {
	for staleResponses := 0; ; staleResponses++ {
		resp, err := x.readFinalHead(req.Method)
		if err != nil {
			return err
		}
		if x.conn.reused && containsStatusLine(resp) {
			return ErrResponseLost.New("the head of the response begins with a piece of another")
		}
		if x.belongsToRequest(req, resp) {
			x.resp, x.Status, x.Header, x.Body, x.ContentLength = resp, resp.Status, resp.Header, resp.Body, resp.Length
			if resp.EndsWithConnection() {
				x.Body = &connectionBody{inner: resp.Body, write: &x.write}
			}

			return nil
		}
		if staleResponses >= maxStaleResponses || resp.Closes {
			return ErrResponseLost.New("the response belongs to another request")
		}
		if _, err := io.CopyN(io.Discard, resp.Body, maxStaleBodyBytes); err != io.EOF { //nolint:errorlint // io.Copy returns io.EOF itself
			return ErrResponseLost.New("the response to another request is too large or incomplete")
		}
	}
}

// embeddedStatusLine matches text that ends with the status line of a response.
var embeddedStatusLine = regexp.MustCompile(`HTTP/1\.[01] \d{3}( .*)?$`)

// containsStatusLine reports whether the head of a response contains the status line of another one: the head of a late response that
// ends within a line is continued by the head of the next one on its connection.
func containsStatusLine(resp *http1.Response) bool {
	isEmbedded := func(text string) bool {
		return strings.Contains(text, "HTTP/1.") && embeddedStatusLine.MatchString(text)
	}
	if isEmbedded(resp.Reason) {
		return true
	}
	for _, values := range resp.Header {
		if slices.ContainsFunc(values, isEmbedded) {
			return true
		}
	}

	return false
}

// belongsToRequest reports whether a response belongs to the request. One that names no request may be a late copy of an earlier
// response, unless it is the first one of its connection.
func (x *Exchange) belongsToRequest(req Request, resp *http1.Response) bool {
	responseID := req.ResponseID(resp.Status, resp.Header)
	x.isUnnamed = responseID == ""

	return responseID == req.ID || (x.isUnnamed && !x.conn.reused)
}

// readFinalHead reads the head of the next response that is not an interim one.
func (x *Exchange) readFinalHead(method string) (*http1.Response, error) {
	for range maxInterimResponses {
		resp, err := http1.ReadResponse(x.conn.reader, method, maxHeadBytes)
		if err != nil || !resp.IsInterim() {
			return resp, err
		}
	}

	return nil, ErrResponseLost.New("more than %d interim responses", maxInterimResponses)
}

// Abort closes the connection, so that the upstream stops its work on the request.
func (x *Exchange) Abort() {
	if x.closed {
		return
	}
	x.end()
	x.stopCancelWatch()
	x.client.closeConn(x.conn)
}

// Finish returns the connection to the pool after the response was read to its end, or closes it if it is not reusable.
func (x *Exchange) Finish(now time.Time) {
	if x.closed {
		return
	}
	x.end()
	if !x.stopCancelWatch() || x.isUnnamed || x.resp.Closes || x.conn.reader.Buffered() > 0 || !x.write.hasSucceeded() {
		x.client.closeConn(x.conn)

		return
	}
	idleTimeout := parseKeepAlive(x.Header.Get("Keep-Alive"))
	if idleTimeout <= 0 {
		x.client.closeConn(x.conn)

		return
	}
	x.client.releaseConn(x.conn, now, idleTimeout)
}
