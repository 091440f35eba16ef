package http1

import (
	"errors"
	"io"
	"net/http"

	"cardamomward/core/http1"
)

// ErrBodyTooLarge means that the body of a response exceeds its limit.
var ErrBodyTooLarge = errors.New("the body of the response is too large")

// StrictTransport rejects responses that net/http accepts although they are malformed or exceed a limit. The request may have run then.
type StrictTransport struct {
	// Inner makes the requests; nil means http.DefaultTransport.
	Inner http.RoundTripper
	// MaxBodyBytes bounds the body of a response; zero means no bound.
	MaxBodyBytes int64
}

// NewStrictClient returns a copy of a client with a StrictTransport, which follows no redirects: they would send a second request. A
// limit of zero means no bound of bodies.
func NewStrictClient(client *http.Client, maxBodyBytes int64) *http.Client {
	strict := *client
	strict.Transport = &StrictTransport{Inner: client.Transport, MaxBodyBytes: maxBodyBytes}
	strict.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

	return &strict
}

func (t *StrictTransport) inner() http.RoundTripper {
	if t.Inner == nil {
		return http.DefaultTransport
	}

	return t.Inner
}

// RoundTrip makes a request. Errors that are not those of Inner wrap http1.ErrMalformedResponse or ErrBodyTooLarge, which reads of the
// body return too.
func (t *StrictTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.inner().RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := http1.CheckResponse(resp.StatusCode, resp.Header); err != nil {
		resp.Body.Close()

		return nil, err
	}
	if t.MaxBodyBytes <= 0 {
		return resp, nil
	}
	if resp.ContentLength > t.MaxBodyBytes && req.Method != http.MethodHead {
		resp.Body.Close()

		return nil, ErrBodyTooLarge
	}
	resp.Body = &boundedBody{ReadCloser: resp.Body, remaining: t.MaxBodyBytes}

	return resp, nil
}

// CloseIdleConnections closes the idle connections of Inner.
func (t *StrictTransport) CloseIdleConnections() {
	if closer, ok := t.inner().(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

// boundedBody is a body that fails beyond its limit, and so never looks complete there.
type boundedBody struct {
	io.ReadCloser

	remaining int64
}

// Read returns ErrBodyTooLarge once more than the limit has arrived.
func (b *boundedBody) Read(p []byte) (int, error) {
	if b.remaining < 0 {
		return 0, ErrBodyTooLarge
	}
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.remaining+1)])
	if b.remaining -= int64(n); b.remaining < 0 {
		return n - 1, ErrBodyTooLarge
	}

	return n, err
}
