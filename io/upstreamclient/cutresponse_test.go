package upstreamclient_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"cardamomward/io/upstreamclient"
)

// Guards against a response whose upstream closed within the head, and that reaches a caller as a whole one with a short or an empty body.
func TestResponseThatEndsEarlyIsLostWhereverItEnds(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
	withoutLength := statusLine + named
	for name, tt := range map[string]struct {
		response string
		// end is the length from which on the response is whole; zero means all of it.
		end int
	}{
		"with a length":              {response: formatResponse("mine", "done")},
		"of length zero":             {response: formatResponse("mine", "")},
		"in chunks":                  {response: chunkedHead + "4;a=b\r\ndone\r\n0\r\nGood: x\r\n\r\n"},
		"without a length":           {response: withoutLength + "\r\ndone", end: len(withoutLength) + len("\r\n")},
		"of HTTP/1.0":                {response: "HTTP/1.0 200 OK\r\n" + named + "\r\n", end: len(withoutLength) + len("\r\n")},
		"with line feeds alone":      {response: "HTTP/1.1 200 OK\nRequest-Id: mine\nContent-Length: 4\n\ndone"},
		"without content":            {response: "HTTP/1.1 204 No Content\r\n" + named + "\r\n"},
		"a refusal":                  {response: "HTTP/1.1 503 Busy\r\n" + named + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"},
		"after an interim one":       {response: interim + formatResponse("mine", "done")},
		"stream of unknown length":   {response: statusLine + named + "Content-Type: text/event-stream\r\n\r\n", end: len(statusLine + named + "Content-Type: text/event-stream\r\n\r\n")},
		"whole of an ended exchange": {response: statusLine + "Connection: close\r\n" + named + "Content-Length: 4\r\n\r\ndone"},
	} {
		t.Run(name, func(t *testing.T) {
			end := tt.end
			if end == 0 {
				end = len(tt.response)
			}
			for cut := range end {
				requireLost(t, tt.response[:cut])
			}
			listener := startServer(t, func(int) string { return tt.response + closes })
			var client upstreamclient.Client
			x, err := client.Send(context.Background(), time.Now(), newRequest(listener))
			require.NoError(t, err, "the whole response")
			_, err = io.ReadAll(x.Body)
			require.NoError(t, err, "the whole response")
		})
	}
}

// requireLost requires that a response which ends so counts as lost, or as broken off in its body.
func requireLost(t *testing.T, response string) {
	t.Helper()
	listener := startServer(t, func(int) string { return response + closes })
	var client upstreamclient.Client
	x, err := client.Send(context.Background(), time.Now(), newRequest(listener))
	if err != nil {
		require.True(t, errorx.IsOfType(err, upstreamclient.ErrResponseLost), "the request may have run: %v after %q", err, response)

		return
	}
	body, err := io.ReadAll(x.Body)
	require.Error(t, err, "status %d, %v: %q after %q", x.Status, x.Header, body, response)
	x.Abort()
}
