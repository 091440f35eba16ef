package serviceclient

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/joomcode/errorx"

	"cardamomward/io/http1"
)

var (
	errs = errorx.NewNamespace("service")

	// ErrNotSent is the type of errors for a request that never reached the service.
	ErrNotSent = errs.NewType("not-sent")
	// ErrOutcomeUnknown is the type of errors for a request that may or may not have run.
	ErrOutcomeUnknown = errs.NewType("unknown")
)

// maxResponseBytes bounds the body of a response; the outcome of a call with a longer one is unknown.
const maxResponseBytes = 4 << 20

// Request is a request to a plain service; no other headers of the caller are passed on.
type Request struct {
	Path        string
	ContentType string
	Body        []byte
	// IdempotencyKey is sent to services that can report the outcome of a key; empty sends none.
	IdempotencyKey string
}

// Response is a service's response.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// Client sends requests to one upstream of a plain service.
type Client struct {
	// Address is the upstream's IP address and port.
	Address string
	// HTTPClient sends the requests; it must not retry them.
	HTTPClient *http.Client
}

// Do sends a request exactly once. Errors are of type ErrNotSent or ErrOutcomeUnknown.
func (c *Client) Do(ctx context.Context, request Request) (Response, error) {
	url := fmt.Sprintf("http://%s/%s", c.Address, request.Path)
	// NopCloser hides the reader's type, without which the transport could rewind the body and retry the request.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, io.NopCloser(bytes.NewReader(request.Body)))
	if err != nil {
		return Response{}, ErrNotSent.Wrap(err, "build request")
	}
	req.ContentLength = int64(len(request.Body))
	req.Header.Set("Content-Type", request.ContentType)
	if request.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", request.IdempotencyKey)
	}
	resp, err := c.strictClient().Do(req)
	if err != nil {
		return Response{}, classifySendError(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Response{}, ErrOutcomeUnknown.Wrap(err, "read response")
	}

	return Response{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

// strictClient returns the HTTP client with the limit of responses.
func (c *Client) strictClient() *http.Client {
	return http1.NewStrictClient(c.HTTPClient, maxResponseBytes)
}

// classifySendError returns ErrNotSent if the connection could not be established, else ErrOutcomeUnknown.
func classifySendError(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return ErrNotSent.Wrap(err, "connect")
	}

	return ErrOutcomeUnknown.Wrap(err, "send")
}

// IsNotSent reports whether the request certainly never reached the service.
func IsNotSent(err error) bool { return errorx.IsOfType(err, ErrNotSent) }

// FetchOutcome asks the service for the response of an idempotency key; ok is false if the service does not know the key.
// A failed query returns ErrOutcomeUnknown.
func (c *Client) FetchOutcome(ctx context.Context, key string) (response Response, ok bool, err error) {
	url := fmt.Sprintf("http://%s/outcomes/%s", c.Address, key)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Response{}, false, err
	}
	resp, err := c.strictClient().Do(req)
	if err != nil {
		return Response{}, false, ErrOutcomeUnknown.Wrap(err, "query outcome")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Response{}, false, ErrOutcomeUnknown.Wrap(err, "read outcome")
	}
	if resp.StatusCode != http.StatusOK {
		return Response{}, false, nil
	}

	return Response{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, true, nil
}
