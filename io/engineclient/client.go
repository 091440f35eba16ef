package engineclient

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

	// ErrNotStarted is the type of errors for a request that the engine did not run: it refused it or was not reached.
	ErrNotStarted = errs.NewType("not-started")
	// ErrTruncated is the type of errors for a stream that ended or became invalid before its end marker.
	ErrTruncated = errs.NewType("cut")
	// ErrRequestLost is the type of errors for a resumption that failed because the engine no longer has the request.
	ErrRequestLost = errs.NewType("lost")
	// ErrSilent is the type of errors for a connection that received no data within its timeout.
	ErrSilent = errs.NewType("silent")
	// ErrStalled is the type of errors for a stream that received keepalives but no token within its timeout.
	ErrStalled = errs.NewType("stalled")
	// ErrWrongRequest is the type of errors for a stream event that carries another request's id.
	ErrWrongRequest = errs.NewType("crossed")
)

const (
	// maxEventBytes bounds the size of one server-sent event.
	maxEventBytes = 1 << 20
	// doneMarker is the data of the last event of a complete stream.
	doneMarker = "[DONE]"
)

// Client sends requests to one engine.
type Client struct {
	// Address is the engine's IP address and port.
	Address string
	// ConnPool holds the connections and replaces those that stop responding.
	ConnPool *ConnPool
	// progressTimeoutNanos is the longest time that a stream may go without a token, in nanoseconds.
	progressTimeoutNanos atomic.Int64
	// sendsKeepalives is set once the engine has sent a keepalive comment on any stream.
	sendsKeepalives atomic.Bool
}

// SetProgressTimeout sets the longest time that new streams may go without a token.
func (c *Client) SetProgressTimeout(timeout time.Duration) {
	c.progressTimeoutNanos.Store(int64(timeout))
}

// StreamOptions are the options of one streamed request.
type StreamOptions struct {
	// ExpectedPrefill is the estimated duration of the prefill; it extends the timeout of the first token.
	ExpectedPrefill time.Duration
	// OnAccepted, if set, is called with the id of the engine process that accepted the request.
	OnAccepted func(run string)
	// OnChunk is called for each chunk, in the order of its index; an error ends the stream.
	OnChunk func(*Chunk) error
}

// Chat runs a chat completion and returns once the stream is complete.
func (c *Client) Chat(ctx context.Context, req *ChatRequest, opts StreamOptions) error {
	body, err := json.Marshal(req)
	if err != nil {
		return err
	}
	url := fmt.Sprintf("http://%s/v1/chat/completions", c.Address)

	return c.runStream(ctx, &streamRequest{
		method: http.MethodPost, url: url, body: bytes.NewReader(body), requestID: req.RequestID,
		expectedPrefill: opts.ExpectedPrefill, onAccepted: opts.OnAccepted, onChunk: opts.OnChunk,
	})
}

// Resume continues a truncated stream at the chunk with index from.
func (c *Client) Resume(ctx context.Context, requestID string, from int, opts StreamOptions) error {
	url := fmt.Sprintf("http://%s/v1/requests/%s?from=%d", c.Address, requestID, from)

	err := c.runStream(ctx, &streamRequest{
		method: http.MethodGet, url: url, requestID: requestID, nextIndex: from, expectedPrefill: opts.ExpectedPrefill, onChunk: opts.OnChunk,
	})
	if errorx.IsOfType(err, ErrNotStarted) {
		// The request did start; the engine refused only the resumption.
		return ErrRequestLost.Wrap(err, "resume from chunk %d", from)
	}

	return err
}

// Cancel stops a request and frees its resources on the engine.
func (c *Client) Cancel(ctx context.Context, requestID string) error {
	return httpx.SendJSON(ctx, c.ConnPool.currentClient(), http.MethodDelete, fmt.Sprintf("http://%s/v1/requests/%s", c.Address, requestID), nil, nil)
}

// FetchLoad returns the engine's load report.
func (c *Client) FetchLoad(ctx context.Context) (LoadReport, error) {
	var load LoadReport
	err := httpx.SendJSON(ctx, c.ConnPool.currentClient(), http.MethodGet, fmt.Sprintf("http://%s/v1/load", c.Address), nil, &load)

	return load, err
}

// ListCache returns the tokens that the engine caches for each owner.
func (c *Client) ListCache(ctx context.Context) (CacheList, error) {
	var list CacheList
	err := httpx.SendJSON(ctx, c.ConnPool.currentClient(), http.MethodGet, fmt.Sprintf("http://%s/v1/cache", c.Address), nil, &list)

	return list, err
}

// FetchCacheEvents returns the cache events from sequence number from on.
func (c *Client) FetchCacheEvents(ctx context.Context, from uint64) (CacheEvents, error) {
	var events CacheEvents
	err := httpx.SendJSON(ctx, c.ConnPool.currentClient(), http.MethodGet, fmt.Sprintf("http://%s/v1/cache/events?from=%d", c.Address, from), nil, &events)

	return events, err
}

// ReleaseCache asks the engine to drop what it caches for the given owners.
func (c *Client) ReleaseCache(ctx context.Context, release CacheRelease) error {
	return httpx.SendJSON(ctx, c.ConnPool.currentClient(), http.MethodPost, fmt.Sprintf("http://%s/v1/cache/release", c.Address), release, nil)
}

// streamRequest is one streamed HTTP request and the position in its stream.
type streamRequest struct {
	method    string
	url       string
	body      io.Reader
	requestID string
	// nextIndex is the index of the next expected chunk.
	nextIndex       int
	expectedPrefill time.Duration
	onChunk         func(*Chunk) error
	// onAccepted, if set, is called with the id of the engine process that accepted the request.
	onAccepted func(run string)
	sentAt     time.Time
}

func (c *Client) runStream(ctx context.Context, call *streamRequest) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	call.sentAt = time.Now()
	limits := stall.TimeoutsFor(time.Duration(c.progressTimeoutNanos.Load()), call.expectedPrefill, c.sendsKeepalives.Load())
	guard := startWatchdog(stall.New(limits, call.sentAt, call.nextIndex > 0), cancel)
	defer guard.stop()

	conns, generation := c.ConnPool.clientWithGeneration()
	err := c.sendAndReadStream(ctx, conns, call, guard)
	if errorx.IsOfType(err, ErrSilent) || errorx.IsOfType(err, ErrWrongRequest) || errorx.IsOfType(err, ErrTruncated) {
		// The other pooled connections to this engine may be broken in the same way.
		c.ConnPool.replaceGeneration(generation)
	}

	return err
}

func (c *Client) sendAndReadStream(ctx context.Context, client *http.Client, call *streamRequest, guard *watchdog) error {
	req, err := http.NewRequestWithContext(ctx, call.method, call.url, call.body)
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "text/event-stream")
	resp, err := client.Do(req)
	if isDialError(err) {
		return ErrNotStarted.Wrap(err, "connect")
	}
	if err != nil {
		return cancelCauseOrTruncated(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		// The body may contain the prompt, which must not appear in errors or logs.
		return ErrNotStarted.New("status %d", resp.StatusCode)
	}
	guard.recordKeepalive()
	if run := resp.Header.Get(HeaderEngineRun); run != "" && call.onAccepted != nil {
		call.onAccepted(run)
	}
	err = c.readEvents(resp.Body, call, guard)
	if errorx.IsOfType(err, ErrTruncated) {
		return cancelCauseOrTruncated(ctx, err)
	}

	return err
}

// isDialError reports whether the connection could not be established.
func isDialError(err error) bool {
	var opErr *net.OpError

	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// IsConnectionRefused reports whether the engine's address refused the connection, so no process listens there.
func IsConnectionRefused(err error) bool {
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

// cancelCauseOrTruncated returns the cause of the context's cancellation, or else ErrTruncated.
func cancelCauseOrTruncated(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}

	return ErrTruncated.Wrap(err, "stream ended early")
}

// readEvents decodes server-sent events up to the end marker.
func (c *Client) readEvents(body io.Reader, call *streamRequest, guard *watchdog) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventBytes)
	for scanner.Scan() {
		line := scanner.Bytes()
		if bytes.HasPrefix(line, []byte(":")) {
			c.sendsKeepalives.Store(true)
			guard.recordKeepalive()
		}
		data, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == doneMarker {
			return nil
		}
		if err := call.handleEvent(data, guard); err != nil {
			return err
		}
	}
	if err := scanner.Err(); err != nil {
		return ErrTruncated.Wrap(err, "read stream")
	}

	return ErrTruncated.New("no end marker")
}

// handleEvent passes a chunk to onChunk if it has this request's id and the expected index.
func (call *streamRequest) handleEvent(data []byte, guard *watchdog) error {
	var chunk Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return ErrTruncated.Wrap(err, "event is not a chunk")
	}
	switch {
	case chunk.ID != call.requestID:
		return ErrWrongRequest.New("chunk of request %s in the stream of %s", chunk.ID, call.requestID)
	case chunk.Index < call.nextIndex:
		// A duplicate of a chunk that was delivered already.
		return nil
	case chunk.Index > call.nextIndex:
		return ErrTruncated.New("chunk %d came where %d was due", chunk.Index, call.nextIndex)
	}
	guard.recordToken(call)
	call.nextIndex++

	return call.onChunk(&chunk)
}
