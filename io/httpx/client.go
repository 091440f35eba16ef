package httpx

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/joomcode/errorx"

	"cardamomward/core/apierror"
)

var (
	errs = errorx.NewNamespace("httpx")

	// ErrUnreachable marks a request without an answer: its effect is unknown.
	ErrUnreachable = errs.NewType("unreachable")
	// ErrStatus marks an answer whose status tells of a failure.
	ErrStatus = errs.NewType("status")
)

// maxAnswer bounds the JSON answer that Do reads, in bytes.
const maxAnswer = 64 << 20

// Do sends a JSON request and decodes the JSON answer into resp, which may be nil.
func Do(ctx context.Context, client *http.Client, method, url string, req, resp any) error {
	var body io.Reader
	if req != nil {
		data, err := json.Marshal(req)
		if err != nil {
			return err
		}
		body = bytes.NewReader(data)
	}

	return DoRaw(ctx, client, method, url, body, resp)
}

// DoRaw is Do with a body that is sent as it is.
func DoRaw(ctx context.Context, client *http.Client, method, url string, body io.Reader, resp any) error {
	httpReq, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return err
	}
	httpReq.Header.Set("Content-Type", "application/json")
	answer, err := client.Do(httpReq)
	if err != nil {
		return ErrUnreachable.Wrap(err, "%s %s", method, url)
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	if err != nil {
		return ErrUnreachable.Wrap(err, "read answer of %s %s", method, url)
	}
	if answer.StatusCode >= http.StatusMultipleChoices {
		return statusError(answer.StatusCode, data)
	}
	if resp == nil {
		return nil
	}

	return json.Unmarshal(data, resp)
}

// statusError returns the refusal in the answer if there is one.
func statusError(status int, data []byte) error {
	var refused apierror.Body
	if err := json.Unmarshal(data, &refused); err == nil && refused.Error.Kind != "" {
		return refused.ToError()
	}

	return ErrStatus.New("status %d: %.200s", status, data)
}
