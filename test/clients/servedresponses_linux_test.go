package clients

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
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
