package httpx_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/stretchr/testify/require"

	"cardamomward/io/httpx"
	"cardamomward/platform"
)

const (
	memoryLimit = 26 << 20
	// largeResponse exceeds what the kernel buffers for a caller that reads nothing.
	largeResponse = 6 << 20
)

// memoryServer answers with largeResponse bytes if the budget has room for them, and counts the answers.
type memoryServer struct {
	*httpx.Server

	budget *httpx.MemoryBudget
	// advanced is added to the clock of the budget, in nanoseconds.
	advanced atomic.Int64
	peak     atomic.Int64
	closed   atomic.Int64
}

func startMemoryServer(t *testing.T) *memoryServer {
	t.Helper()
	s := &memoryServer{}
	s.budget = httpx.NewMemoryBudget(memoryLimit, func() time.Time { return time.Now().Add(time.Duration(s.advanced.Load())) })
	s.budget.OnIdleClosed = func(string, int64) { s.closed.Add(1) }
	server, err := httpx.NewServer(httpx.Options{Address: "127.0.0.1:0", MaxBodyBytes: 64 << 20, Forwarding: true, Memory: s.budget})
	require.NoError(t, err)
	s.Server = server
	server.NoRoute(func(_ context.Context, c *app.RequestContext) {
		if !s.budget.Reserve(c.RemoteAddr().String(), largeResponse) {
			c.SetStatusCode(http.StatusServiceUnavailable)

			return
		}
		used, _, _ := s.budget.Usage()
		s.peak.Store(max(s.peak.Load(), used))
		c.SetStatusCode(http.StatusOK)
		c.Response.SetBodyRaw(make([]byte, largeResponse))
	})
	server.Start()
	t.Cleanup(server.Abort)

	return s
}

func (s *memoryServer) used() int64 {
	used, _, _ := s.budget.Usage()

	return used
}

func (s *memoryServer) requireReleased(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool { return s.used() == 0 }, testTimeout, 5*time.Millisecond, "held bytes")
}

// get sends a request and returns the status of its response, whose body is read.
func (s *memoryServer) get(t *testing.T) int {
	t.Helper()
	conn := dial(t, s.Server)
	defer conn.Close()
	send(t, conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)

	return resp.StatusCode
}

// Guards against a process that is killed since it reads bodies that do not fit.
func TestBodyThatDoesNotFitIsRefusedBeforeItArrives(t *testing.T) {
	s := startMemoryServer(t)
	conn := dial(t, s.Server)
	send(t, conn, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\nfirst bytes", memoryLimit+1))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	s.requireReleased(t)
	require.Equal(t, http.StatusOK, s.get(t))
}

// Guards against callers that cannot tell which of their requests was refused, whatever way its head and body arrive, and against a
// request id that is taken from a body or from an earlier request.
func TestRefusalOfBodyThatIsNotReadHasRequestID(t *testing.T) {
	budget := httpx.NewMemoryBudget(1<<20, time.Now)
	server, err := httpx.NewServer(httpx.Options{
		Address: "127.0.0.1:0", MaxBodyBytes: 64 << 20, Forwarding: true, Memory: budget, RefusalHeader: platform.RefusalHeader,
	})
	require.NoError(t, err)
	server.NoRoute(func(_ context.Context, c *app.RequestContext) { c.SetStatusCode(http.StatusOK) })
	server.Start()
	t.Cleanup(server.Abort)
	const contentLength = "Content-Length: 2000000\r\n"
	for name, test := range map[string]struct {
		parts []string
		want  string
	}{
		"one part":          {[]string{"POST / HTTP/1.1\r\nHost: h\r\nRequest-Id: r-1\r\n" + contentLength + "\r\n"}, "r-1"},
		"other case":        {[]string{"POST / HTTP/1.1\r\nhost: h\r\nrequest-id:r-1\r\n" + contentLength + "\r\nfirst bytes"}, "r-1"},
		"several parts":     {[]string{"POST / HTTP/1.1\r\nHost: h\r\nReq", "uest-Id: r", "-1\r\n" + contentLength, "\r", "\n", "first bytes"}, "r-1"},
		"expects a reply":   {[]string{"POST / HTTP/1.1\r\nHost: h\r\nRequest-Id: r-1\r\nExpect: 100-continue\r\n" + contentLength + "\r\n"}, "r-1"},
		"unknown length":    {[]string{"POST / HTTP/1.1\r\nHost: h\r\nRequest-Id: r-1\r\nTransfer-Encoding: chunked\r\n\r\n1e8480\r\n", strings.Repeat("x", 1<<20+1)}, "r-1"},
		"long head":         {[]string{"POST / HTTP/1.1\r\nHost: h\r\nRequest-Id: r-1\r\nLong: " + strings.Repeat("x", 20<<10) + "\r\n" + contentLength + "\r\n"}, "r-1"},
		"no request id":     {[]string{"POST / HTTP/1.1\r\nHost: h\r\n" + contentLength + "\r\n", "Request-Id: r-2\r\n\r\n"}, ""},
		"after another one": {[]string{"POST / HTTP/1.1\r\nHost: h\r\nRequest-Id: r-0\r\nContent-Length: 1\r\n\r\nx", "", "POST / HTTP/1.1\r\nHost: h\r\n" + contentLength + "\r\n"}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			conn := dial(t, server)
			responses := bufio.NewReader(conn)
			for _, part := range test.parts {
				if part == "" {
					resp, err := http.ReadResponse(responses, nil)
					require.NoError(t, err)
					resp.Body.Close()
				}
				send(t, conn, part)
				time.Sleep(20 * time.Millisecond)
			}
			resp, err := http.ReadResponse(responses, nil)
			require.NoError(t, err)
			if resp.StatusCode == http.StatusContinue {
				resp, err = http.ReadResponse(responses, nil)
				require.NoError(t, err)
			}
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
			require.Equal(t, "{\"error\":\"no-memory\"}\n", string(body))
			require.Equal(t, test.want, resp.Header.Get("Request-Id"))
			require.Equal(t, "0.500", resp.Header.Get("Retry-After"))
		})
	}
}

func TestBodyOfUnknownLengthIsRefusedWhenItExceedsBudget(t *testing.T) {
	s := startMemoryServer(t)
	conn := dial(t, s.Server)
	send(t, conn, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
	go func() {
		for range 2 * memoryLimit >> 16 {
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", 1<<16, strings.Repeat("x", 1<<16)); err != nil {
				return
			}
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	s.requireReleased(t)
}

// Guards against slow callers in large numbers that use up the memory, and against a host that serves nobody else meanwhile.
func TestOthersAreServedWhileManyCallersReadNothing(t *testing.T) {
	s := startMemoryServer(t)
	const callers = 100
	var slow sync.WaitGroup
	for range callers {
		slow.Go(func() {
			conn, err := net.Dial("tcp4", s.Address())
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			conn.(*net.TCPConn).SetReadBuffer(4 << 10)                //nolint:errcheck // a larger buffer only hides the slow caller
			io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n") //nolint:errcheck // the host may refuse it
		})
	}
	slow.Wait()
	require.Eventually(t, func() bool { return s.used() > memoryLimit-largeResponse }, testTimeout, 5*time.Millisecond)
	require.Equal(t, http.StatusServiceUnavailable, s.get(t), "no caller has been idle for long enough")
	require.Zero(t, s.closed.Load())
	// The kernel's buffers fill before a write waits for its caller.
	time.Sleep(500 * time.Millisecond)
	s.advanced.Store(int64(time.Minute))
	require.Equal(t, http.StatusOK, s.get(t), "the connection of an idle caller is closed")
	require.EqualValues(t, 1, s.closed.Load(), "no more connections are closed than necessary")
	require.LessOrEqual(t, s.peak.Load(), int64(memoryLimit))
}

// Guards against accounting that does not return to zero: callers that complete, cancel before or during the response, send
// half a body, a body that is too large or no valid request, on new and on used connections.
func TestHeldBytesReturnToZeroWhateverCallersDo(t *testing.T) {
	s := startMemoryServer(t)
	random := rand.New(rand.NewPCG(1, 1))
	behaviours := []func(conn net.Conn){
		func(conn net.Conn) {
			io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n") //nolint:errcheck // part of the random behaviour
			if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
				io.Copy(io.Discard, resp.Body) //nolint:errcheck // part of the random behaviour
				resp.Body.Close()
			}
		},
		func(conn net.Conn) { io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n") }, //nolint:errcheck // cancels
		func(conn net.Conn) {
			io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n") //nolint:errcheck // part of the random behaviour
			io.CopyN(io.Discard, conn, 100<<10)                       //nolint:errcheck // cancels during the response
		},
		func(conn net.Conn) {
			io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 500000\r\n\r\nhalf") //nolint:errcheck // half a body
		},
		func(conn net.Conn) {
			io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 30000000\r\n\r\nlarge") //nolint:errcheck // too large
		},
		func(conn net.Conn) { io.WriteString(conn, "no request\r\n\r\n") }, //nolint:errcheck // part of the random behaviour
	}
	var callers sync.WaitGroup
	for range 150 {
		sequence := []func(net.Conn){behaviours[random.IntN(len(behaviours))], behaviours[random.IntN(len(behaviours))]}
		callers.Go(func() {
			conn, err := net.Dial("tcp4", s.Address())
			if err != nil {
				return
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(time.Second)) //nolint:errcheck // some behaviours wait for a response that does not come
			for _, behave := range sequence {
				behave(conn)
			}
		})
	}
	callers.Wait()
	s.requireReleased(t)
	require.LessOrEqual(t, s.peak.Load(), int64(memoryLimit))
}

// Guards against connections that keep what they have held while they wait for the next request.
func TestKeptConnectionHoldsNothing(t *testing.T) {
	s := startMemoryServer(t)
	conn := dial(t, s.Server)
	for range 3 {
		send(t, conn, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 1<<20, strings.Repeat("x", 1<<20)))
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		resp.Body.Close()
		s.requireReleased(t)
	}
}

// Guards against a stream that is closed since its upstream sends nothing, though its caller has read all of it.
func TestCallerThatWaitsForUpstreamIsNotIdle(t *testing.T) {
	s := startMemoryServer(t)
	written, release := make(chan struct{}), make(chan struct{})
	s.GET("/stream", func(_ context.Context, c *app.RequestContext) {
		s.budget.Reserve(c.RemoteAddr().String(), memoryLimit-largeResponse/2)
		c.GetConn().WriteBinary([]byte("HTTP/1.1 200 OK\r\n")) //nolint:errcheck // the caller sees it
		c.GetConn().Flush()                                    //nolint:errcheck // the caller sees it
		close(written)
		<-release
	})
	conn := dial(t, s.Server)
	send(t, conn, "GET /stream HTTP/1.1\r\nHost: h\r\n\r\n")
	_, err := io.ReadFull(conn, make([]byte, 10))
	require.NoError(t, err)
	// The caller may have read the bytes before the server knows that they are written.
	<-written
	s.advanced.Store(int64(time.Minute))
	require.Equal(t, http.StatusServiceUnavailable, s.get(t))
	require.Zero(t, s.closed.Load())
	close(release)
}
