package clients

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"cardamomward/platform/standin"
)

// Responses within the limits are served beside a small host's other memory, one after the other.
func TestLargestResponseIsServed(t *testing.T) {
	const responseBytes = 16 << 20
	for name, framing := range map[string]string{"length": fmt.Sprintf("Content-Length: %d\r\n\r\n", responseBytes), "close": "\r\n"} {
		t.Run(name, func(t *testing.T) {
			h := startHost(t, hostOptions{hasNoBudget: true, memoryBytes: 2 * hostBytes, respond: func(conn *net.TCPConn, req *http.Request) {
				defer conn.Close()            //nolint:errcheck // a test
				io.Copy(io.Discard, req.Body) //nolint:errcheck // a test
				named := "Request-Id: " + req.Header.Get("Request-Id") + "\r\nResponse-Signature: sig\r\nConnection: close\r\n"
				io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+named+framing+strings.Repeat("x", responseBytes)) //nolint:errcheck // a test
			}})
			status, err := h.lookUp("")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status)
			h.requireWithinBounds(hostFiles, "after the response")
		})
	}
}

func TestLargeRetainedTurnIsServed(t *testing.T) {
	const eventBytes, events = 50_000, 20
	event := "data: " + strings.Repeat("x", eventBytes) + "\n\n"
	for name, hasNoBudget := range map[string]bool{"with a budget": false, "without a budget": true} {
		t.Run(name, func(t *testing.T) {
			h := startHost(t, hostOptions{hasNoBudget: hasNoBudget, respond: func(conn *net.TCPConn, req *http.Request) {
				defer conn.Close()            //nolint:errcheck // a test
				io.Copy(io.Discard, req.Body) //nolint:errcheck // a test
				named := "Request-Id: " + req.Header.Get("Request-Id") + "\r\nResponse-Signature: sig\r\nConnection: close\r\n"
				body, fields := "done", "Content-Length: 4\r\n"
				if strings.HasPrefix(req.URL.Path, "/chat/") {
					body, fields = strings.Repeat(event, events), "Content-Type: text/event-stream\r\n"
				}
				io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+named+fields+"\r\n"+body) //nolint:errcheck // a test
			}})
			call := standin.NewTurnRequest("/chat/large", "secret", "p", "", "x")
			response, err := call.Send(t.Context(), "large", h.settings.CallerAddress)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, response.Status)
			require.False(t, response.Truncated)
			require.Len(t, response.Body, events*len(event))
		})
	}
}
