package httpx_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/stretchr/testify/require"

	"cardamomward/core/http1"
	"cardamomward/io/httpx"
	"cardamomward/platform"
)

// startIntakeServer starts a server that answers with the bodies of requests.
func startIntakeServer(t *testing.T, opts httpx.Options) *httpx.Server {
	t.Helper()
	opts.Address, opts.RefusalHeader = "127.0.0.1:0", platform.RefusalHeader
	server, err := httpx.NewServer(opts)
	require.NoError(t, err)
	server.NoRoute(func(_ context.Context, c *app.RequestContext) { c.Data(http.StatusOK, "text/plain", c.Request.Body()) })
	server.Start()
	t.Cleanup(server.Abort)

	return server
}

func readResponse(t *testing.T, conn net.Conn) (status int, header http.Header, body string) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	if resp.Close {
		resp.Header.Set("Connection", "close")
	}
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)

	return resp.StatusCode, resp.Header, string(data)
}

const intakeHead = "POST / HTTP/1.1\r\nHost: h\r\nRequest-Id: r-1\r\n"

// Guards against callers that cannot tell what became of their requests.
func TestRefusalsOfRequestsThatAreNotReadNameThem(t *testing.T) {
	server := startIntakeServer(t, httpx.Options{RequestLimits: func() httpx.RequestLimits {
		return httpx.RequestLimits{Limits: http1.Limits{HeadBytes: 1000, BodyBytes: 1000}, HeadTimeout: 200 * time.Millisecond}
	}, ReadTimeout: 400 * time.Millisecond})
	for name, test := range map[string]struct {
		request string
		status  int
	}{
		"large head":          {intakeHead + "A: " + strings.Repeat("x", 1000), http.StatusRequestHeaderFieldsTooLarge},
		"announced body":      {intakeHead + "Content-Length: 1001\r\n\r\n", http.StatusRequestEntityTooLarge},
		"announced chunk":     {intakeHead + "Transfer-Encoding: chunked\r\n\r\n3e9\r\n", http.StatusRequestEntityTooLarge},
		"endless trailer":     {intakeHead + "Transfer-Encoding: chunked\r\n\r\n0\r\nA: " + strings.Repeat("x", 1000), http.StatusRequestHeaderFieldsTooLarge},
		"ambiguous length":    {intakeHead + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", http.StatusBadRequest},
		"head without end":    {intakeHead, http.StatusRequestTimeout},
		"body without end":    {intakeHead + "Content-Length: 5\r\n\r\nhell", http.StatusRequestTimeout},
		"too large continued": {intakeHead + "Expect: 100-continue\r\nContent-Length: 1001\r\n\r\n", http.StatusRequestEntityTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			conn := dial(t, server)
			send(t, conn, test.request)
			status, header, _ := readResponse(t, conn)
			require.Equal(t, test.status, status)
			require.Equal(t, "r-1", header.Get("Request-Id"))
			require.Equal(t, "close", header.Get("Connection"))
			requireClosed(t, conn)
		})
	}
}

// Guards against requests at the limits that are refused.
func TestRequestsAtTheLimitsAreServed(t *testing.T) {
	const head, body = 1000, 100_000
	server := startIntakeServer(t, httpx.Options{MaxHeaderBytes: head, MaxBodyBytes: body, Intake: httpx.NewIntake(3*body, time.Now)})
	text := strings.Repeat("x", body)
	padded := func(fields string) string {
		start := intakeHead + fields + "A: "

		return start + strings.Repeat("x", head-len(start)-len("\r\n\r\n")) + "\r\n\r\n"
	}
	conn := dial(t, server)
	for _, size := range []int{1, 2, 1000, 16<<10 - 1, body} {
		var chunks strings.Builder
		for rest := text; rest != ""; {
			part := rest[:min(size, len(rest))]
			fmt.Fprintf(&chunks, "%x\r\n%s\r\n", len(part), part)
			rest = rest[len(part):]
		}
		send(t, conn, padded("Transfer-Encoding: chunked\r\n")+chunks.String()+"0\r\n\r\n")
		status, _, got := readResponse(t, conn)
		require.Equal(t, http.StatusOK, status, "chunks of %d", size)
		require.Equal(t, text, got)
	}
	send(t, conn, padded("Expect: 100-continue\r\nContent-Length: 100000\r\n"))
	status, _, _ := readResponse(t, conn)
	require.Equal(t, http.StatusContinue, status)
	send(t, conn, text)
	status, _, got := readResponse(t, conn)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, text, got)
}

// Guards against a crowd whose requests never end and keep all others out, and against refusals that hide that they promise something.
func TestRequestIsServedBesideOnesThatDoNotEnd(t *testing.T) {
	intake := httpx.NewIntake(100_000, time.Now)
	server := startIntakeServer(t, httpx.Options{MaxBodyBytes: 1 << 20, Intake: intake})
	var crowd []net.Conn
	for range 20 {
		conn := dial(t, server)
		send(t, conn, intakeHead+"Content-Length: 40000\r\n\r\n"+strings.Repeat("x", 20_000))
		crowd = append(crowd, conn)
	}
	text := strings.Repeat("y", 20_000)
	conn := dial(t, server)
	send(t, conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n"+text)
	status, _, got := readResponse(t, conn)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, text, got)
	used, limit := intake.Usage()
	require.LessOrEqual(t, used, limit)
	status, header, _ := readResponse(t, crowd[0])
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, "r-1", header.Get("Request-Id"))
	require.NotEmpty(t, header.Get("Retry-After"))
	for _, conn := range append(crowd, conn) {
		conn.Close()
	}
	require.Eventually(t, func() bool {
		used, _ := intake.Usage()

		return used == 0
	}, testTimeout, 5*time.Millisecond)
}

// Guards against connections without a request that keep others out, and against requests in progress that are cut off for them.
func TestNewConnectionTakesThePlaceOfOneWithoutRequest(t *testing.T) {
	server := startIntakeServer(t, httpx.Options{MaxBodyBytes: 1 << 10, MaxConns: 3, Forwarding: true})
	entered, release := make(chan struct{}), make(chan struct{})
	server.GET("/slow", func(_ context.Context, c *app.RequestContext) {
		close(entered)
		<-release
		c.SetStatusCode(http.StatusOK)
	})
	slow := dial(t, server)
	send(t, slow, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	<-entered
	var silent []net.Conn
	for range 10 {
		silent = append(silent, dial(t, server))
	}
	conn := dial(t, server)
	send(t, conn, firstRequest)
	requireAnswer(t, conn, "first")
	requireClosed(t, silent[0])
	close(release)
	status, _, _ := readResponse(t, slow)
	require.Equal(t, http.StatusOK, status)
}

// Guards against requests that are read ahead without a bound while another one is handled.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	server := startIntakeServer(t, httpx.Options{MaxBodyBytes: 1 << 10, Forwarding: true})
	conn := dial(t, server)
	send(t, conn, firstRequest+secondRequest+intakeHead+"Transfer-Encoding: chunked\r\n\r\n5\r\nthird\r\n0\r\n\r\n"+"GET / HT")
	responses := bufio.NewReader(conn)
	for _, want := range []string{"first", "second", "third"} {
		resp, err := http.ReadResponse(responses, nil)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, want, string(body))
	}
	send(t, conn, "TP/1.1\r\nHost: h\r\n\r\n")
	resp, err := http.ReadResponse(responses, nil)
	require.NoError(t, err)
	resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode)
}

// Guards against handlers that go on for callers who are gone.
func TestContextEndsWithTheConnection(t *testing.T) {
	server := startIntakeServer(t, httpx.Options{MaxBodyBytes: 1 << 10, Forwarding: true})
	canceled := make(chan struct{})
	server.GET("/wait", func(ctx context.Context, _ *app.RequestContext) {
		<-ctx.Done()
		close(canceled)
	})
	conn := dial(t, server)
	send(t, conn, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	time.Sleep(20 * time.Millisecond)
	conn.Close()
	select {
	case <-canceled:
	case <-time.After(testTimeout):
		require.FailNow(t, "the handler goes on")
	}
}

// Guards against handlers that go on for callers who are gone, since what they sent behind their request hides the end.
func TestContextEndsWithTheConnectionBehindManyBytes(t *testing.T) {
	server := startIntakeServer(t, httpx.Options{MaxBodyBytes: 1 << 10, Forwarding: true})
	handling, canceled := make(chan struct{}), make(chan struct{})
	server.GET("/wait", func(ctx context.Context, _ *app.RequestContext) {
		close(handling)
		<-ctx.Done()
		close(canceled)
	})
	conn := dial(t, server)
	send(t, conn, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	receive(t, handling)
	send(t, conn, strings.Repeat("x", 1<<20))
	conn.Close()
	select {
	case <-canceled:
	case <-time.After(testTimeout):
		require.FailNow(t, "the handler goes on")
	}
}

// Guards against a request that is discarded since it arrives, after the whole response to the one before it, while that is still handled.
func TestLargeRequestRightAfterResponseIsServed(t *testing.T) {
	server := startIntakeServer(t, httpx.Options{MaxBodyBytes: 1 << 10, Forwarding: true})
	server.GET("/stream", func(_ context.Context, c *app.RequestContext) {
		writer := resp.NewChunkedBodyWriter(&c.Response, c.GetWriter())
		c.Response.HijackWriter(writer)
		writer.Write([]byte("event")) //nolint:errcheck // the client is there
		writer.Flush()                //nolint:errcheck // the client is there
		writer.Finalize()             //nolint:errcheck // the client is there
		c.Flush()                     //nolint:errcheck // the client is there
		time.Sleep(20 * time.Millisecond)
	})
	conn := dial(t, server)
	responses := bufio.NewReader(conn)
	for range 20 {
		send(t, conn, "GET /stream HTTP/1.1\r\nHost: h\r\nA: "+strings.Repeat("x", 10<<10)+"\r\n\r\n")
		response, err := http.ReadResponse(responses, nil)
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, "event", string(body))
	}
}

// Guards against a response that is lost, or followed by another one, if many bytes arrive behind its request.
func TestRequestIsAnsweredBeforeManyBytesBehindItEndTheConnection(t *testing.T) {
	server := startIntakeServer(t, httpx.Options{MaxBodyBytes: 1 << 10, Forwarding: true})
	for _, delay := range []time.Duration{0, 20 * time.Millisecond} {
		conn := dial(t, server)
		send(t, conn, firstRequest)
		time.Sleep(delay)
		go func() { io.WriteString(conn, strings.Repeat(secondRequest, 10_000)) }() //nolint:errcheck // the server may close the connection
		requireAnswer(t, conn, "first")
	}
}

// Guards against a server that ends for good since it could not accept one connection.
func TestServerGoesOnAfterErrorsOfAccept(t *testing.T) {
	server, failures := startFailingServer(t)
	failures.Store(3)
	for range 5 {
		conn := dial(t, server)
		send(t, conn, firstRequest)
		requireAnswer(t, conn, "first")
		conn.Close()
	}
	require.LessOrEqual(t, failures.Load(), int64(0))
	select {
	case err := <-server.Ended():
		require.FailNow(t, "the server has ended", "%v", err)
	default:
	}
	server.Abort()
	select {
	case err := <-server.Ended():
		require.NoError(t, err)
	case <-time.After(testTimeout):
		require.FailNow(t, "the end is not reported")
	}
}

// startFailingServer starts a server whose listener fails as often as the returned counter says.
func startFailingServer(t *testing.T) (*httpx.Server, *atomic.Int64) {
	t.Helper()
	failures := &atomic.Int64{}
	server := startIntakeServer(t, httpx.Options{MaxBodyBytes: 1 << 10, Listen: func(network, address string) (net.Listener, error) {
		listener, err := net.Listen(network, address)

		return &failingListener{Listener: listener, failures: failures}, err
	}})

	return server, failures
}

var errTooManyFiles = errors.New("too many open files")

type failingListener struct {
	net.Listener

	failures *atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, errTooManyFiles
	}

	return l.Listener.Accept()
}

// Guards against accounts that grow with each connection, whatever clients do at the same time.
func TestIntakeIsEmptyAfterManyClients(t *testing.T) {
	intake := httpx.NewIntake(200_000, time.Now)
	server := startIntakeServer(t, httpx.Options{MaxBodyBytes: 1 << 20, MaxConns: 20, Intake: intake, Forwarding: true})
	var clients sync.WaitGroup
	for i := range 200 {
		clients.Go(func() {
			conn, err := net.Dial("tcp4", server.Address())
			if err != nil {
				return
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(time.Second)) //nolint:errcheck // the server closes it in the end
			behaviours := []string{
				firstRequest, intakeHead, intakeHead + "Content-Length: 50000\r\n\r\n" + strings.Repeat("x", 30_000),
				intakeHead + "Content-Length: 50000\r\n\r\n" + strings.Repeat("x", 50_000), "nothing", firstRequest + secondRequest,
			}
			io.WriteString(conn, behaviours[i%len(behaviours)]) //nolint:errcheck // the server may refuse it
			io.CopyN(io.Discard, conn, 50)                      //nolint:errcheck // any part of a response
		})
	}
	clients.Wait()
	require.Eventually(t, func() bool {
		used, _ := intake.Usage()

		return used == 0
	}, testTimeout, 5*time.Millisecond)
	conn := dial(t, server)
	send(t, conn, firstRequest)
	requireAnswer(t, conn, "first")
}
