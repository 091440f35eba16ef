package service

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/joomcode/errorx"
)

var (
	errs = errorx.NewNamespace("service")

	// ErrNotSent marks a call that never reached the service.
	ErrNotSent = errs.NewType("not-sent")
	// ErrUnknown marks a call whose effect is unknown.
	ErrUnknown = errs.NewType("unknown")
)

// maxAnswer bounds an answer in bytes.
const maxAnswer = 4 << 20

// Call is a request to a plain service; only these fields reach it.
type Call struct {
	Path        string
	ContentType string
	Body        []byte
	// Key is the idempotency key, for services that can tell what they ran.
	Key string
}

// Answer is what a service returned.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Client speaks to one upstream of a plain service.
type Client struct {
	// Address is the service's IP number and port.
	Address string
	// HTTP sends the requests; it must not retry.
	HTTP *http.Client
}

// Do sends a call once.
func (c *Client) Do(ctx context.Context, call Call) (Answer, error) {
	url := fmt.Sprintf("http://%s/%s", c.Address, call.Path)
	// The reader hides the body's type so that the transport can't send it a second time.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, io.NopCloser(bytes.NewReader(call.Body)))
	if err != nil {
		return Answer{}, ErrNotSent.Wrap(err, "build request")
	}
	req.ContentLength = int64(len(call.Body))
	req.Header.Set("Content-Type", call.ContentType)
	if call.Key != "" {
		req.Header.Set("Idempotency-Key", call.Key)
	}
	resp, err := c.client().Do(req)
	if err != nil {
		return Answer{}, sendError(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return Answer{}, ErrUnknown.Wrap(err, "read answer")
	}

	return Answer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

// client returns the client without redirects: following one would be a second request.
func (c *Client) client() *http.Client {
	client := *c.HTTP
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

	return &client
}

// sendError tells a call that surely reached nobody, because no connection came about, from one that may have run.
func sendError(err error) error {
	var failed *net.OpError
	if errors.As(err, &failed) && failed.Op == "dial" {
		return ErrNotSent.Wrap(err, "connect")
	}

	return ErrUnknown.Wrap(err, "send")
}

// NotSent reports whether a call surely never reached the service.
func NotSent(err error) bool { return errorx.IsOfType(err, ErrNotSent) }

// Outcome asks the service what became of an idempotency key; ok is false where it does not know the key.
func (c *Client) Outcome(ctx context.Context, key string) (answer Answer, ok bool, err error) {
	url := fmt.Sprintf("http://%s/outcomes/%s", c.Address, key)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Answer{}, false, err
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return Answer{}, false, ErrUnknown.Wrap(err, "ask for outcome")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return Answer{}, false, ErrUnknown.Wrap(err, "read outcome")
	}
	if resp.StatusCode != http.StatusOK {
		return Answer{}, false, nil
	}

	return Answer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, true, nil
}
