package gatewayhost_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/platform"
	"cardamomward/platform/standin"
)

// registerAtRawServer starts a server that responds with any bytes, and returns a function that registers upstreams at it.
func registerAtRawServer(t *testing.T, respond standin.Respond) func(c *testCluster, upstreams []*standin.Upstream) {
	t.Helper()
	server, err := standin.NewRawServer(respond)
	require.NoError(t, err)
	t.Cleanup(server.Close)

	return func(c *testCluster, upstreams []*standin.Upstream) {
		for _, upstream := range upstreams {
			upstream.RegisteredAddress = server.Address()
			upstream.Register(c.store, "ready")
		}
	}
}

// withRawUpstreams registers the upstreams of plain requests at a server that responds with any bytes.
func withRawUpstreams(t *testing.T, respond standin.Respond) func(*testCluster, *platform.HostSettings) {
	t.Helper()
	register := registerAtRawServer(t, respond)

	return func(c *testCluster, _ *platform.HostSettings) { register(c, c.plainUpstreams) }
}

// withRawEngines does the same for the upstreams of streams.
func withRawEngines(t *testing.T, respond standin.Respond) func(*testCluster, *platform.HostSettings) {
	t.Helper()
	register := registerAtRawServer(t, respond)

	return func(c *testCluster, _ *platform.HostSettings) { register(c, c.engines) }
}

// respondWith returns a responder that reads the whole request, writes the text that its path names, and closes the connection. In the
// text, ID stands for the fields that name the request, the signature and the end of the connection.
func respondWith(texts map[string]string) standin.Respond {
	return func(conn *net.TCPConn, req *http.Request) {
		defer conn.Close()            //nolint:errcheck // a test
		io.Copy(io.Discard, req.Body) //nolint:errcheck // the client may have left
		fields := "Request-Id: " + req.Header.Get("Request-Id") + "\r\nResponse-Signature: sig\r\nConnection: close"
		name := strings.ReplaceAll(req.URL.Path[strings.LastIndex(req.URL.Path, "/")+1:], "-", " ")
		io.WriteString(conn, strings.ReplaceAll(texts[name], "ID", fields)) //nolint:errcheck // the client may have left
	}
}

// Callers got such responses as the upstream's, with bytes that were not its body, or with the malformed line.
func TestMalformedResponseIsNotReturnedToCaller(t *testing.T) {
	const inner = "HTTP/1.1 200 OK\r\nID\r\nContent-Length: 5\r\n\r\ninner"
	texts := map[string]string{
		"status 000":                  "HTTP/1.1 000 None\r\nID\r\nContent-Length: 4\r\n\r\ndone",
		"status 000 with a response":  "HTTP/1.1 000 None\r\nID\r\nContent-Length: 200\r\n\r\n" + inner,
		"interim with a body":         "HTTP/1.1 103 Early Hints\r\nContent-Length: 200\r\n\r\n" + inner,
		"switching protocols":         "HTTP/1.1 101 Switching Protocols\r\nContent-Length: 200\r\n\r\n" + inner,
		"space in a name":             "HTTP/1.1 200 OK\r\nID\r\nBad Name: x\r\nContent-Length: 4\r\n\r\ndone",
		"space after a length's name": "HTTP/1.1 200 OK\r\nID\r\nContent-Length : 4\r\n\r\ndone and more",
		"space after a coding's name": "HTTP/1.1 200 OK\r\nID\r\nTransfer-Encoding : chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
		"control byte in a name":      "HTTP/1.1 200 OK\r\nID\r\nBa\x01d: x\r\nContent-Length: 4\r\n\r\ndone",
		"head without its end":        "HTTP/1.1 200 OK\r\nID\r\n",
		"head that ends in a line":    "HTTP/1.1 200 OK\r\nID\r\nContent-Le",
		"refusal without its end":     "HTTP/1.1 503 Busy\r\nID\r\nNot-Executed: 1\r\n",
		"refusal":                     "HTTP/1.1 503 Busy\r\nID\r\nNot-Executed: 1\r\nBad Name: x\r\nContent-Length: 0\r\n\r\n",
	}
	c := newTestCluster(t, 1, withRawUpstreams(t, respondWith(texts)))
	for name := range texts {
		t.Run(name, func(t *testing.T) {
			path := "/order/" + strings.ReplaceAll(name, " ", "-")
			response := c.do("host-0", standin.CallerRequest{Path: path, APIKey: "secret", Body: "x"})
			require.Equal(t, http.StatusBadGateway, response.Status, "the request may have run: %q", response.Body)
			require.Empty(t, response.Header.Get("Response-Signature"))
		})
	}
}

func TestUnusualResponseIsReturnedToCaller(t *testing.T) {
	texts := map[string]string{
		"without a length":   "HTTP/1.1 200 OK\r\nID\r\n\r\ndone",
		"after interim ones": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nID\r\nContent-Length: 4\r\n\r\ndone",
		"with extensions":    "HTTP/1.1 200 OK\r\nID\r\nTransfer-Encoding: chunked\r\n\r\n4;a=b\r\ndone\r\n0\r\nGood: x\r\n\r\n",
		"of HTTP 1.0":        "HTTP/1.0 200 OK\r\nID\r\nContent-Length: 4\r\n\r\ndone",
		"with odd fields":    "HTTP/1.1 200 Fine\r\nID\r\nEmpty:\r\n!#$%&'*+-.^_`|~: a\tb\r\nContent-Length: 4\r\n\r\ndone",
	}
	c := newTestCluster(t, 1, withRawUpstreams(t, respondWith(texts)))
	for name := range texts {
		t.Run(name, func(t *testing.T) {
			path := "/order/" + strings.ReplaceAll(name, " ", "-")
			response := c.do("host-0", standin.CallerRequest{Path: path, APIKey: "secret", Body: "x"})
			require.Equal(t, http.StatusOK, response.Status)
			require.Equal(t, "sig", response.Header.Get("Response-Signature"))
			require.Equal(t, "done", response.Body)
		})
	}
}

// An upstream that resets the connection during a long request has not completed a response without a length.
func TestResponseWithoutLengthIsNotCompleteIfUploadIsReset(t *testing.T) {
	const uploadBytes = 4<<20 - 1
	for name, tt := range map[string]struct{ path, fields string }{
		"plain":  {"/order/", ""},
		"stream": {"/chat/", "Content-Type: text/event-stream\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			dialed := make(chan *standin.ResetConn, 1)
			respond := func(conn *net.TCPConn, req *http.Request) {
				io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: "+req.Header.Get("Request-Id")+"\r\nResponse-Signature: sig\r\n"+tt.fields+"\r\nid: 1\ndata: part\n\n") //nolint:errcheck // a test
				(<-dialed).AwaitRead()
				conn.SetLinger(0) //nolint:errcheck // Close resets the connection
				conn.Close()      //nolint:errcheck // a test
			}
			c := newTestCluster(t, 1)
			c.kill("host-0")
			registerAtRawServer(t, respond)(c, c.allUpstreams())
			c.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				ordered := standin.NewResetConn(conn)
				dialed <- ordered

				return ordered, nil
			}
			c.start("host-0")
			var response standin.CallerResponse
			require.Eventually(t, func() bool {
				call := standin.NewTurnRequest(tt.path, "secret", "p", "", strings.Repeat("x", uploadBytes))
				var err error
				response, err = call.Send(t.Context(), "upload", c.hosts["host-0"].settings.CallerAddress)

				return err == nil && response.Status != http.StatusServiceUnavailable
			}, waitTimeout, 50*time.Millisecond, "the host is ready")
			require.True(t, response.Truncated || response.Status == http.StatusBadGateway, "%d: %q", response.Status, response.Body)
		})
	}
}
