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

	// ErrNotStarted is the type of errors for a request that did not run: the engine rejected it or could not be reached.
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

func (c *Client) runStream(ctx context.Context, stream *streamRequest) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stream.sentAt = time.Now()
	timeouts := stall.TimeoutsFor(time.Duration(c.progressTimeoutNanos.Load()), stream.expectedPrefill, c.sendsKeepalives.Load())
	streamWatchdog := startWatchdog(stall.New(timeouts, stream.sentAt, stream.nextIndex > 0), cancel)
	defer streamWatchdog.stop()

	client, generation := c.ConnPool.clientWithGeneration()
	err := c.sendAndReadStream(ctx, client, stream, streamWatchdog)
	if errorx.IsOfType(err, ErrSilent) || errorx.IsOfType(err, ErrWrongRequest) || errorx.IsOfType(err, ErrTruncated) {
		// The other pooled connections to this engine may be broken in the same way.
		c.ConnPool.replaceGeneration(generation)
	}

	return err
}

func (c *Client) sendAndReadStream(ctx context.Context, client *http.Client, stream *streamRequest, streamWatchdog *watchdog) error {
	req, err := http.NewRequestWithContext(ctx, stream.method, stream.url, stream.body)
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
		return newStatusError(resp.StatusCode)
	}
	streamWatchdog.recordKeepalive()
	if run := resp.Header.Get(HeaderEngineRun); run != "" && stream.onAccepted != nil {
		stream.onAccepted(run)
	}
	err = c.readEvents(resp.Body, stream, streamWatchdog)
	if errorx.IsOfType(err, ErrTruncated) {
		return cancelCauseOrTruncated(ctx, err)
	}

	return err
}

// newStatusError returns the error for a status that is no success: only a refusal says that the request did not run. The body may contain
// the prompt, which must not appear in errors or logs.
func newStatusError(status int) error {
	isClientError := status >= http.StatusBadRequest && status < http.StatusInternalServerError
	if isClientError || status == http.StatusServiceUnavailable {
		return ErrNotStarted.New("the engine responded with status %d", status)
	}

	return ErrTruncated.New("the engine responded with status %d", status)
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

	return ErrTruncated.Wrap(err, "the stream ended early")
}

// readEvents decodes server-sent events up to the end marker.
func (c *Client) readEvents(body io.Reader, stream *streamRequest, streamWatchdog *watchdog) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventBytes)
	for scanner.Scan() {
		line := scanner.Bytes()
		if bytes.HasPrefix(line, []byte(":")) {
			c.sendsKeepalives.Store(true)
			streamWatchdog.recordKeepalive()
		}
		data, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == doneMarker {
			return nil
		}
		if err := stream.handleEvent(data, streamWatchdog); err != nil {
			return err
		}
	}
	if err := scanner.Err(); err != nil {
		return ErrTruncated.Wrap(err, "read stream")
	}

	return ErrTruncated.New("the stream ended without the end marker")
}

// handleEvent passes a chunk to onChunk if it has this request's id and the expected index.
func (stream *streamRequest) handleEvent(data []byte, streamWatchdog *watchdog) error {
	var chunk Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return ErrTruncated.Wrap(err, "the event is not a valid chunk")
	}
	switch {
	case chunk.ID != stream.requestID:
		return ErrWrongRequest.New("chunk of request %s in the stream of %s", chunk.ID, stream.requestID)
	case chunk.Index < stream.nextIndex:
		// A duplicate of a chunk that was delivered already.
		return nil
	case chunk.Index > stream.nextIndex:
		return ErrTruncated.New("received chunk %d, expected chunk %d", chunk.Index, stream.nextIndex)
	}
	streamWatchdog.recordToken(stream)
	stream.nextIndex++

	return stream.onChunk(&chunk)
}
