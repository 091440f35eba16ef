package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"cardamomward/io/httpx"
)

var (
	errs = errorx.NewNamespace("engine")

	// ErrNotStarted marks a request that the engine refused before running it.
	ErrNotStarted = errs.NewType("not-started")
	// ErrCut marks a stream that ended before the answer was complete.
	ErrCut = errs.NewType("cut")
	// ErrStalled marks a stream without progress within the deadline.
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
	// HTTP sends the requests; it must have no overall timeout.
	HTTP *http.Client
	// Progress is the longest silence that a stream may have.
	Progress time.Duration
}

// Chat runs a request and calls visit for each chunk until the answer is complete.
func (c *Client) Chat(ctx context.Context, req *ChatRequest, visit func(*Chunk) error) error {
	body, err := json.Marshal(req)
	if err != nil {
		return err
	}
	url := fmt.Sprintf("http://%s/v1/chat/completions", c.Address)

	return c.stream(ctx, http.MethodPost, url, bytes.NewReader(body), req.RequestID, visit)
}

// Resume continues a cut stream from the chunk with index from.
func (c *Client) Resume(ctx context.Context, requestID string, from int, visit func(*Chunk) error) error {
	url := fmt.Sprintf("http://%s/v1/requests/%s?from=%d", c.Address, requestID, from)

	return c.stream(ctx, http.MethodGet, url, nil, requestID, visit)
}

// Cancel stops a request and frees what it holds.
func (c *Client) Cancel(ctx context.Context, requestID string) error {
	return httpx.Do(ctx, c.HTTP, http.MethodDelete, fmt.Sprintf("http://%s/v1/requests/%s", c.Address, requestID), nil, nil)
}

// Load returns the engine's report of its load.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var load Load
	err := httpx.Do(ctx, c.HTTP, http.MethodGet, fmt.Sprintf("http://%s/v1/load", c.Address), nil, &load)

	return load, err
}

// Cache lists what the engine holds.
func (c *Client) Cache(ctx context.Context) (CacheList, error) {
	var list CacheList
	err := httpx.Do(ctx, c.HTTP, http.MethodGet, fmt.Sprintf("http://%s/v1/cache", c.Address), nil, &list)

	return list, err
}

// Events returns cache events from a sequence number on.
func (c *Client) Events(ctx context.Context, from uint64) (CacheEvents, error) {
	var events CacheEvents
	err := httpx.Do(ctx, c.HTTP, http.MethodGet, fmt.Sprintf("http://%s/v1/cache/events?from=%d", c.Address, from), nil, &events)

	return events, err
}

// Release drops what the engine holds for owners.
func (c *Client) Release(ctx context.Context, release CacheRelease) error {
	return httpx.Do(ctx, c.HTTP, http.MethodPost, fmt.Sprintf("http://%s/v1/cache/release", c.Address), release, nil)
}

func (c *Client) stream(
	ctx context.Context, method, url string, body io.Reader, requestID string, visit func(*Chunk) error,
) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(c.Progress, func() { cancel(ErrStalled.New("no progress within %s", c.Progress)) })
	defer watchdog.Stop()

	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "text/event-stream")
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return cutError(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(io.LimitReader(resp.Body, maxEvent))

		return ErrNotStarted.New("status %d: %.200s", resp.StatusCode, data)
	}
	err = readEvents(resp.Body, requestID, func(chunk *Chunk) error {
		watchdog.Reset(c.Progress)

		return visit(chunk)
	})
	if errorx.IsOfType(err, ErrCut) {
		return cutError(ctx, err)
	}

	return err
}

// cutError prefers the reason for which the stream was cancelled.
func cutError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}

	return ErrCut.Wrap(err, "stream ended early")
}

// readEvents decodes server-sent events up to the marker that ends a complete answer.
func readEvents(body io.Reader, requestID string, visit func(*Chunk) error) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEvent)
	for scanner.Scan() {
		data, ok := bytes.CutPrefix(scanner.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == doneMarker {
			return nil
		}
		var chunk Chunk
		if err := json.Unmarshal(data, &chunk); err != nil {
			return ErrCut.Wrap(err, "event is not a chunk")
		}
		if chunk.ID != requestID {
			return ErrCrossed.New("chunk of request %s in the stream of %s", chunk.ID, requestID)
		}
		if err := visit(&chunk); err != nil {
			return err
		}
	}
	if err := scanner.Err(); err != nil {
		return ErrCut.Wrap(err, "read stream")
	}

	return ErrCut.New("no end marker")
}
