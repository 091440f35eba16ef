package http1_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	corehttp1 "cardamomward/core/http1"
	"cardamomward/io/http1"
	"cardamomward/platform/standin"
)

// startRawServer starts a server that sends a text in response to each request and closes the connection.
func startRawServer(t *testing.T, text string) string {
	t.Helper()
	server, err := standin.NewRawServer(standin.RespondWith(text))
	require.NoError(t, err)
	t.Cleanup(server.Close)

	return "http://" + server.Address()
}

// get requests a text with a limit of 100 bytes for bodies and returns the body.
func get(t *testing.T, text string) (string, error) {
	t.Helper()
	const limit = 100
	client := &http.Client{Transport: &http1.StrictTransport{Inner: &http.Transport{DisableKeepAlives: true}, MaxBodyBytes: limit}}
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, startRawServer(t, text), nil)
	require.NoError(t, err)
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)

	return string(body), err
}

func TestMalformedResponseIsNoResponse(t *testing.T) {
	for name, head := range map[string]string{
		"status 000":          "HTTP/1.1 000 None\r\n",
		"status 099":          "HTTP/1.1 099 None\r\n",
		"status 600":          "HTTP/1.1 600 None\r\n",
		"switching protocols": "HTTP/1.1 101 Switching Protocols\r\n",
		"space in a name":     "HTTP/1.1 200 OK\r\nBad Name: x\r\n",
		"space after a name":  "HTTP/1.1 200 OK\r\nBad : x\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := get(t, head+"Content-Length: 4\r\n\r\ndone")
			require.ErrorIs(t, err, corehttp1.ErrMalformedResponse)
		})
	}
}

func TestBodyBeyondLimitIsNotComplete(t *testing.T) {
	whole, larger := strings.Repeat("x", 100), strings.Repeat("x", 101)
	for _, head := range []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n"} {
		body, err := get(t, head+"\r\n"+whole)
		require.NoError(t, err)
		require.Equal(t, whole, body)
	}
	for _, head := range []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 101\r\n"} {
		_, err := get(t, head+"\r\n"+larger)
		require.ErrorIs(t, err, http1.ErrBodyTooLarge)
	}
}

func TestDefaultTransportRejectsMalformedResponse(t *testing.T) {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, startRawServer(t, "HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\n{}"), nil)
	require.NoError(t, err)
	_, err = new(http1.StrictTransport).RoundTrip(req)
	require.ErrorIs(t, err, corehttp1.ErrMalformedResponse)
}

// Guards against a response that ends within its head and that a client takes for a whole one.
func TestResponseThatEndsEarlyIsNoResponse(t *testing.T) {
	const withoutLength = "HTTP/1.1 200 OK\r\nGood: x\r\n\r\n"
	for name, tt := range map[string]struct {
		response string
		end      int
	}{
		"with a length":    {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone", 0},
		"of length zero":   {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 0},
		"in chunks":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\nGood: x\r\n\r\n", 0},
		"without a length": {withoutLength + "done", len(withoutLength)},
		"without content":  {"HTTP/1.1 204 No Content\r\nGood: x\r\n\r\n", 0},
	} {
		t.Run(name, func(t *testing.T) {
			end := tt.end
			if end == 0 {
				end = len(tt.response)
			}
			for cut := range end {
				_, err := get(t, tt.response[:cut])
				require.Error(t, err, "%q", tt.response[:cut])
			}
			_, err := get(t, tt.response)
			require.NoError(t, err)
		})
	}
}
