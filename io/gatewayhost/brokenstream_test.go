package gatewayhost_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"cardamomward/platform"
	"cardamomward/platform/standin"
)

const (
	// begunStream is the part of a stream that arrives before it breaks, and restOfStream what follows it.
	begunStream  = "id: 1\ndata: word-1\n\nid: 2\ndata: word-2\n\n"
	restOfStream = "id: 3\ndata: word-3\n\nid: 4\ndata: word-4\n\n"

	eventStream = "Content-Type: text/event-stream\r\n"
)

// withBreakingEngines registers all engines at a server that breaks the first stream of each request off and sends the given texts in
// response to its resumptions, the last of them again and again. Requests for /draft/x get a whole stream.
func withBreakingEngines(t *testing.T, attempts int, texts ...string) func(*testCluster, *platform.HostSettings) {
	t.Helper()
	var mu sync.Mutex
	counts := make(map[string]int)
	register := registerAtRawServer(t, func(conn *net.TCPConn, req *http.Request) {
		defer conn.Close()            //nolint:errcheck // a test
		io.Copy(io.Discard, req.Body) //nolint:errcheck // a test
		request := req.Header.Get("Request-Id")
		mu.Lock()
		count := counts[request]
		counts[request]++
		mu.Unlock()
		named := "Request-Id: " + request + "\r\nResponse-Signature: sig\r\nConnection: close\r\n"
		text := "HTTP/1.1 200 OK\r\nID" + eventStream + "\r\n" + begunStream + restOfStream
		switch {
		case request == "":
			text = "HTTP/1.1 404 Not Found\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
		case req.URL.Path == "/draft/x":
		case req.URL.Path == "/draft/failing":
			text = texts[0]
		case count == 0:
			text = "HTTP/1.1 200 OK\r\nID" + eventStream + "Content-Length: 1000\r\n\r\n" + begunStream
		default:
			text = texts[min(count, len(texts))-1]
		}
		io.WriteString(conn, strings.Replace(text, "ID", named, 1)) //nolint:errcheck // the client may have left
	})

	return func(c *testCluster, _ *platform.HostSettings) {
		standin.Configuration{Version: 2, APIKeys: []string{"secret"}, MaxAttempts: attempts}.WriteToStore(c.store)
		c.engines = append(c.engines, standin.NewUpstream("engine-2", "engines", 5))
		t.Cleanup(c.engines[len(c.engines)-1].Close)
		register(c, c.engines)
	}
}

// responsesThatDoNotContinue are responses to the resumption of a stream that are no part of it.
var responsesThatDoNotContinue = map[string]string{
	"error as an event":           "HTTP/1.1 500 Failed\r\nID" + eventStream + "\r\nid: 3\ndata: failed\n\n",
	"error as text":               "HTTP/1.1 500 Failed\r\nID" + eventStream + "\r\nfailed\n\n",
	"error in capital letters":    "HTTP/1.1 500 Failed\r\nIDcontent-type: Text/Event-Stream\r\n\r\nid: 3\ndata: failed\n\n",
	"error without a body":        "HTTP/1.1 404 Not Found\r\nID" + eventStream + "Content-Length: 0\r\n\r\n",
	"error with JSON":             "HTTP/1.1 500 Failed\r\nIDContent-Type: application/json\r\n\r\n{}",
	"error without a type":        "HTTP/1.1 500 Failed\r\nID\r\nid: 3\ndata: failed\n\n",
	"error without a signature":   "HTTP/1.1 500 Failed\r\nConnection: close\r\n" + eventStream + "\r\nid: 3\ndata: failed\n\n",
	"success without a signature": "HTTP/1.1 200 OK\r\nConnection: close\r\n" + eventStream + "\r\n" + restOfStream,
	"no content":                  "HTTP/1.1 204 No Content\r\nID" + eventStream + "\r\n",
	"other status":                "HTTP/1.1 206 Partial Content\r\nID" + eventStream + "\r\n" + restOfStream,
	"redirect":                    "HTTP/1.1 302 Found\r\nID" + eventStream + "Location: /\r\n\r\n" + restOfStream,
	"success with text":           "HTTP/1.1 200 OK\r\nIDContent-Type: text/plain\r\n\r\n" + restOfStream,
	"success with a similar type": "HTTP/1.1 200 OK\r\nIDContent-Type: text/event-streams\r\n\r\n" + restOfStream,
	"head without its end":        "HTTP/1.1 200 OK\r\nID" + eventStream,
	"head in the body":            "HTTP/1.1 200 OK\r\nID" + eventStream + "\r\nHTTP/1.1 500 Failed\r\nContent-Type: text/plain\r\n\r\nfailed\n\n" + restOfStream,
	"event without an id":         "HTTP/1.1 200 OK\r\nID" + eventStream + "\r\ndata: failed\n\n" + restOfStream,
	"event after a gap":           "HTTP/1.1 200 OK\r\nID" + eventStream + "\r\nid: 4\ndata: word-4\n\n",
	"gap after received events":   "HTTP/1.1 200 OK\r\nID" + eventStream + "\r\n" + begunStream + "id: 4\ndata: word-4\n\n",
	"event with another id":       "HTTP/1.1 200 OK\r\nID" + eventStream + "\r\nid: other\ndata: failed\n\n" + restOfStream,
}

// An error after a broken stream stood in the middle of the caller's stream, or ended it as complete.
func TestResponseThatDoesNotContinueStreamIsNoPartOfIt(t *testing.T) {
	for name, text := range responsesThatDoNotContinue {
		t.Run(name, func(t *testing.T) {
			c := newTestCluster(t, 1, withBreakingEngines(t, 2, text))
			response := c.do("host-0", standin.NewTurnRequest("/draft/broken", "secret", "p", "", "x"))
			require.Equal(t, http.StatusOK, response.Status, "the stream has begun")
			require.True(t, response.Truncated, "the stream does not look complete: %q", response.Body)
			require.Equal(t, begunStream, response.Body)
		})
	}
}

func TestStreamContinuesAfterResponseThatDoesNot(t *testing.T) {
	const rest = "HTTP/1.1 200 OK\r\nID" + eventStream + "\r\n" + restOfStream
	for name, text := range responsesThatDoNotContinue {
		t.Run(name, func(t *testing.T) {
			c := newTestCluster(t, 1, withBreakingEngines(t, 3, text, rest))
			response := c.do("host-0", standin.NewTurnRequest("/draft/broken", "secret", "p", "", "x"))
			require.False(t, response.Truncated)
			require.Equal(t, begunStream+restOfStream, response.Body)
		})
	}
}

func TestResponseThatContinuesStreamIsPartOfIt(t *testing.T) {
	for name, text := range map[string]string{
		"rest":                     "HTTP/1.1 200 OK\r\nID" + eventStream + "\r\n" + restOfStream,
		"type with a parameter":    "HTTP/1.1 200 OK\r\nIDContent-Type: Text/Event-Stream ; charset=utf-8\r\n\r\n" + restOfStream,
		"from the start":           "HTTP/1.1 200 OK\r\nID" + eventStream + "\r\n" + begunStream + restOfStream,
		"comment before the event": "HTTP/1.1 200 OK\r\nID" + eventStream + "\r\n: alive\n\n" + restOfStream,
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestCluster(t, 1, withBreakingEngines(t, 2, text))
			response := c.do("host-0", standin.NewTurnRequest("/draft/broken", "secret", "p", "", "x"))
			require.False(t, response.Truncated)
			require.Equal(t, begunStream+restOfStream, strings.ReplaceAll(response.Body, ": alive\n\n", ""))
		})
	}
}

// The response to a stream's first attempt is the caller's, whatever it is.
func TestErrorBeforeStreamBeginsIsReturned(t *testing.T) {
	const failure = "HTTP/1.1 500 Failed\r\nID" + eventStream + "\r\nid: 3\ndata: failed\n\n"
	c := newTestCluster(t, 1, withBreakingEngines(t, 1, failure))
	response := c.do("host-0", standin.NewTurnRequest("/draft/failing", "secret", "p", "", "x"))
	require.Equal(t, http.StatusInternalServerError, response.Status)
	require.False(t, response.Truncated)
	require.Equal(t, "id: 3\ndata: failed\n\n", response.Body)
}

// Guards against a stream that looks complete and empty because its upstream closed within the head.
func TestStreamWhoseHeadEndsEarlyIsNotReturned(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\nID" + eventStream, "HTTP/1.1 200 OK\r\nIDContent-Ty", "HTTP/1.1 200 OK\r\n"} {
		c := newTestCluster(t, 1, withBreakingEngines(t, 1, head))
		response := c.do("host-0", standin.NewTurnRequest("/draft/failing", "secret", "p", "", "x"))
		require.Equal(t, http.StatusBadGateway, response.Status, "%q after %q", response.Body, head)
	}
}
