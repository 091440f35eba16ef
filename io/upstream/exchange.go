package upstream

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/joomcode/errorx"
)

const (
	// asyncWrite is the size of a request from which on it is written beside the reading of its answer, in bytes.
	asyncWrite = 8 << 10
	// maxStrays bounds the answers to other requests that are passed over.
	maxStrays = 2
	// maxStray bounds the body of such an answer, in bytes.
	maxStray = 64 << 10
)

// Request is one request to one upstream, as bytes.
type Request struct {
	Address string
	Method  string
	Head    []byte
	Body    []byte
	// Deadline ends the exchange.
	Deadline time.Time
	// Stall is how long the upstream may be silent before it is probed, and given up if it cannot be reached; zero
	// means for ever.
	Stall time.Duration
	// Mine tells from the head of an answer whether it belongs to this request.
	Mine func(status int, header http.Header) bool
}

// Exchange is a request that was sent and whose answer has begun.
type Exchange struct {
	Status int
	Header http.Header
	Body   io.Reader

	client  *Client
	conn    *conn
	resp    *http.Response
	written <-chan error
	stop    func() bool
	ended   bool

	watchdog watchdog
}

// Send sends a request and reads the head of its answer. Errors are ErrNotSent and ErrLost; the context's end
// closes the connection, so that the upstream stops its work.
func (c *Client) Send(ctx context.Context, now time.Time, req Request) (*Exchange, error) {
	conn, err := c.get(ctx, req.Address, now)
	if err != nil {
		return nil, err
	}
	if err := conn.SetDeadline(req.Deadline); err != nil {
		c.discard(conn)

		return nil, ErrNotSent.Wrap(err, "set the deadline")
	}
	x := &Exchange{client: c, conn: conn}
	x.stop = context.AfterFunc(ctx, func() { conn.Close() })
	x.watchdog.start(req.Stall, func() bool { return c.Reachable(ctx, conn.address) }, func() { conn.Close() })
	if err := x.write(req); err != nil {
		x.Abort()

		return nil, x.Lost().Wrap(err, "send to %s", req.Address)
	}
	if err := x.readHead(req); err != nil {
		x.Abort()

		return nil, x.Lost().Wrap(err, "read the answer of %s", req.Address)
	}

	return x, nil
}

// Progress notes that the upstream is not silent.
func (x *Exchange) Progress() { x.watchdog.progress() }

// Lost returns the type of the errors of this exchange.
func (x *Exchange) Lost() *errorx.Type {
	if x.watchdog.expired() {
		return ErrGone
	}

	return ErrLost
}

// write sends the request; large ones are sent beside the reading, since an upstream may answer early.
func (x *Exchange) write(req Request) error {
	message := slices.Concat(req.Head, req.Body)
	done := make(chan error, 1)
	x.written = done
	if len(message) < asyncWrite {
		_, err := x.conn.Write(message)
		done <- err

		return err
	}
	go func() {
		_, err := x.conn.Write(message)
		done <- err
	}()

	return nil
}

// readHead reads the head of the answer and passes over late answers to earlier requests.
func (x *Exchange) readHead(req Request) error {
	for strays := 0; ; strays++ {
		resp, err := http.ReadResponse(x.conn.reader, &http.Request{Method: req.Method}) //nolint:bodyclose // the exchange reads it to its end or closes the connection
		if err != nil {
			return err
		}
		if resp.StatusCode < http.StatusOK {
			strays--

			continue
		}
		if req.Mine(resp.StatusCode, resp.Header) {
			x.resp, x.Status, x.Header, x.Body = resp, resp.StatusCode, resp.Header, resp.Body

			return nil
		}
		if strays >= maxStrays || resp.Close {
			return ErrLost.New("the answer belongs to another request")
		}
		if _, err := io.CopyN(io.Discard, resp.Body, maxStray); err != io.EOF { //nolint:errorlint // io.Copy returns io.EOF itself
			return ErrLost.New("the answer to another request does not end")
		}
	}
}

// Abort closes the connection; the upstream stops its work on the request.
func (x *Exchange) Abort() {
	if x.ended {
		return
	}
	x.ended = true
	x.watchdog.stop()
	x.stop()
	x.client.discard(x.conn)
}

// Finish gives the connection back after the answer was read to its end.
func (x *Exchange) Finish(now time.Time) {
	if x.ended {
		return
	}
	x.watchdog.stop()
	if !x.stop() || x.resp.Close || x.conn.reader.Buffered() > 0 || !x.sent() {
		x.ended = true
		x.client.discard(x.conn)

		return
	}
	keep := keepFor(x.Header.Get("Keep-Alive"))
	if keep <= 0 {
		x.ended = true
		x.client.discard(x.conn)

		return
	}
	x.ended = true
	x.client.put(x.conn, now, keep)
}

// sent reports whether the whole request has been written.
func (x *Exchange) sent() bool {
	select {
	case err := <-x.written:
		return err == nil
	default:
		return false
	}
}
