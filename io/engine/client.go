package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/joomcode/errorx"

	"cardamomward/core/stall"
	"cardamomward/io/httpx"
)

var (
	errs = errorx.NewNamespace("engine")

	// ErrNotStarted marks a request that the engine refused before running it.
	ErrNotStarted = errs.NewType("not-started")
	// ErrCut marks a stream that ended before the answer was complete.
	ErrCut = errs.NewType("cut")
	// ErrLost marks a stream that was cut and whose request the engine does not know any more.
	ErrLost = errs.NewType("lost")
	// ErrSilent marks a connection on which nothing has come within the deadline.
	ErrSilent = errs.NewType("silent")
	// ErrStalled marks a stream that shows life without progress within the deadline.
	ErrStalled = errs.NewType("stalled")
	// ErrCrossed marks an event that belongs to another request.
	ErrCrossed = errs.NewType("crossed")
)

const (
	// maxEvent bounds one server-sent event, in bytes.
	maxEvent = 1 << 20
	// doneMarker ends a stream that is complete.
	doneMarker = "[DONE]"
)

// Client speaks to one engine.
type Client struct {
	// Address is the engine's IP number and port.
	Address string
	// Conns sends the requests and can replace connections that have gone silent.
	Conns *Conns
	// progress is the longest silence that a stream may have, in nanoseconds.
	progress atomic.Int64
	// keepalives is set once the engine has shown life on a stream that waited.
	keepalives atomic.Bool
}

// SetProgress sets the longest silence that streams may have from now on.
func (c *Client) SetProgress(silence time.Duration) { c.progress.Store(int64(silence)) }

// Options tell how a stream is followed.
type Options struct {
	// Prefill is the expected time until the prompt is computed.
	Prefill time.Duration
	// Ran, if set, is called with the engine's process once it has taken the request.
	Ran func(run string)
	// Visit is called for each chunk, in order.
	Visit func(*Chunk) error
}

// Chat runs a request until its answer is complete.
func (c *Client) Chat(ctx context.Context, req *ChatRequest, opts Options) error {
	body, err := json.Marshal(req)
	if err != nil {
		return err
	}
	url := fmt.Sprintf("http://%s/v1/chat/completions", c.Address)

	return c.stream(ctx, &call{
		method: http.MethodPost, url: url, body: bytes.NewReader(body), requestID: req.RequestID,
		prefill: opts.Prefill, ran: opts.Ran, visit: opts.Visit,
	})
}

// Resume continues a cut stream from the chunk with index from.
func (c *Client) Resume(ctx context.Context, requestID string, from int, opts Options) error {
	url := fmt.Sprintf("http://%s/v1/requests/%s?from=%d", c.Address, requestID, from)

	err := c.stream(ctx, &call{
		method: http.MethodGet, url: url, requestID: requestID, next: from, prefill: opts.Prefill, visit: opts.Visit,
	})
	if errorx.IsOfType(err, ErrNotStarted) {
		// The request did start: it is the resumption that the engine refused.
		return ErrLost.Wrap(err, "resume from chunk %d", from)
	}

	return err
}

// Cancel stops a request and frees what it holds.
func (c *Client) Cancel(ctx context.Context, requestID string) error {
	return httpx.Do(ctx, c.Conns.client(), http.MethodDelete, fmt.Sprintf("http://%s/v1/requests/%s", c.Address, requestID), nil, nil)
}

// Load returns the engine's report of its load.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var load Load
	err := httpx.Do(ctx, c.Conns.client(), http.MethodGet, fmt.Sprintf("http://%s/v1/load", c.Address), nil, &load)

	return load, err
}

// Cache lists what the engine holds.
func (c *Client) Cache(ctx context.Context) (CacheList, error) {
	var list CacheList
	err := httpx.Do(ctx, c.Conns.client(), http.MethodGet, fmt.Sprintf("http://%s/v1/cache", c.Address), nil, &list)

	return list, err
}

// Events returns cache events from a sequence number on.
func (c *Client) Events(ctx context.Context, from uint64) (CacheEvents, error) {
	var events CacheEvents
	err := httpx.Do(ctx, c.Conns.client(), http.MethodGet, fmt.Sprintf("http://%s/v1/cache/events?from=%d", c.Address, from), nil, &events)

	return events, err
}

// Release drops what the engine holds for owners.
func (c *Client) Release(ctx context.Context, release CacheRelease) error {
	return httpx.Do(ctx, c.Conns.client(), http.MethodPost, fmt.Sprintf("http://%s/v1/cache/release", c.Address), release, nil)
}

// call is a stream on one connection.
type call struct {
	method    string
	url       string
	body      io.Reader
	requestID string
	// next is the index of the chunk that is due.
	next    int
	prefill time.Duration
	visit   func(*Chunk) error
	// ran is called with the engine's process once it has taken the request.
	ran func(run string)
	// started is when the request went out.
	started time.Time
}

func (c *Client) stream(ctx context.Context, call *call) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	call.started = time.Now()
	limits := stall.TimeoutsFor(time.Duration(c.progress.Load()), call.prefill, c.keepalives.Load())
	guard := watchStream(stall.New(limits, call.started, call.next > 0), cancel)
	defer guard.stop()

	conns, generation := c.Conns.use()
	err := c.exchange(ctx, conns, call, guard)
	if errorx.IsOfType(err, ErrSilent) || errorx.IsOfType(err, ErrCrossed) || errorx.IsOfType(err, ErrCut) {
		// What the pool still holds to this engine is as suspect as this connection.
		c.Conns.renew(generation)
	}

	return err
}

func (c *Client) exchange(ctx context.Context, client *http.Client, call *call, guard *guard) error {
	req, err := http.NewRequestWithContext(ctx, call.method, call.url, call.body)
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "text/event-stream")
	resp, err := client.Do(req)
	if notSent(err) {
		return ErrNotStarted.Wrap(err, "connect")
	}
	if err != nil {
		return cutError(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		// The body may repeat the prompt, which belongs in no error or log.
		return ErrNotStarted.New("status %d", resp.StatusCode)
	}
	guard.alive()
	if run := resp.Header.Get(HeaderRun); run != "" && call.ran != nil {
		call.ran(run)
	}
	err = c.readEvents(resp.Body, call, guard)
	if errorx.IsOfType(err, ErrCut) {
		return cutError(ctx, err)
	}

	return err
}

// notSent reports whether no connection came about.
func notSent(err error) bool {
	var failed *net.OpError

	return errors.As(err, &failed) && failed.Op == "dial"
}

// Refused reports whether nothing listens at the engine's address.
func Refused(err error) bool {
	for err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return true
		}
		wrapped := errorx.Cast(err)
		if wrapped == nil {
			return false
		}
		err = wrapped.Cause()
	}

	return false
}

// cutError prefers the reason for which the stream was cancelled.
func cutError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}

	return ErrCut.Wrap(err, "stream ended early")
}

// readEvents decodes server-sent events up to the marker that ends a complete answer.
func (c *Client) readEvents(body io.Reader, call *call, guard *guard) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEvent)
	for scanner.Scan() {
		line := scanner.Bytes()
		if bytes.HasPrefix(line, []byte(":")) {
			c.keepalives.Store(true)
			guard.alive()
		}
		data, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == doneMarker {
			return nil
		}
		if err := call.event(data, guard); err != nil {
			return err
		}
	}
	if err := scanner.Err(); err != nil {
		return ErrCut.Wrap(err, "read stream")
	}

	return ErrCut.New("no end marker")
}

// event passes a chunk on if it belongs to this request and is the one that is due.
func (call *call) event(data []byte, guard *guard) error {
	var chunk Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return ErrCut.Wrap(err, "event is not a chunk")
	}
	switch {
	case chunk.ID != call.requestID:
		return ErrCrossed.New("chunk of request %s in the stream of %s", chunk.ID, call.requestID)
	case chunk.Index < call.next:
		// A late copy of what has been passed on already.
		return nil
	case chunk.Index > call.next:
		return ErrCut.New("chunk %d came where %d was due", chunk.Index, call.next)
	}
	guard.token(call)
	call.next++

	return call.visit(&chunk)
}
