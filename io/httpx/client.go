package httpx

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/joomcode/errorx"

	"cardamomward/core/apierror"
	"cardamomward/io/http1"
)

var (
	errs = errorx.NewNamespace("httpx")

	// ErrNoResponse is the type of errors for a request without a complete response: its effect is unknown.
	ErrNoResponse = errs.NewType("unreachable")
	// ErrStatus is the type of errors for a response with status 300 or above and no error body.
	ErrStatus = errs.NewType("status")
)

// maxResponseBytes bounds the response body that SendBody reads.
const maxResponseBytes = 64 << 20

// SendJSON sends req as JSON and decodes the JSON response into resp; either may be nil. An error body is returned as
// its *apierror.Error.
func SendJSON(ctx context.Context, client *http.Client, method, url string, req, resp any) error {
	var body io.Reader
	if req != nil {
		data, err := json.Marshal(req)
		if err != nil {
			return err
		}
		body = bytes.NewReader(data)
	}

	return SendBody(ctx, client, method, url, body, resp)
}

// SendBody is SendJSON with a body that is already encoded.
func SendBody(ctx context.Context, client *http.Client, method, url string, body io.Reader, resp any) error {
	httpReq, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return err
	}
	httpReq.Header.Set("Content-Type", "application/json")
	httpResp, err := http1.NewStrictClient(client, maxResponseBytes).Do(httpReq)
	if err != nil {
		return ErrNoResponse.Wrap(err, "%s %s", method, url)
	}
	defer httpResp.Body.Close()
	data, err := io.ReadAll(httpResp.Body)
	if err != nil {
		return ErrNoResponse.Wrap(err, "read the response of %s %s", method, url)
	}
	if httpResp.StatusCode >= http.StatusMultipleChoices {
		return statusError(httpResp.StatusCode, data)
	}
	if resp == nil {
		return nil
	}

	return json.Unmarshal(data, resp)
}

// statusError returns the API error in the response body, or else ErrStatus.
func statusError(status int, data []byte) error {
	var errorBody apierror.Body
	if err := json.Unmarshal(data, &errorBody); err == nil && errorBody.Error.Kind != "" {
		return errorBody.ToError()
	}

	return ErrStatus.New("status %d: %.200s", status, data)
}
