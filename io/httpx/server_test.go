package httpx_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/stretchr/testify/require"

	"cardamomward/io/httpx"
)

const testTimeout = 5 * time.Second

// startServer starts a server that answers each request with its body.
func startServer(t *testing.T) *httpx.Server {
	t.Helper()
	server, err := httpx.NewServer(httpx.Options{Address: "127.0.0.1:0", MaxBodyBytes: 1 << 20, Forwarding: true})
	require.NoError(t, err)
	server.NoRoute(func(_ context.Context, c *app.RequestContext) {
		c.Response.SetBodyRaw(append([]byte(nil), c.Request.Body()...))
	})
	server.Start()
	t.Cleanup(server.Abort)

	return server
}

func dial(t *testing.T, server *httpx.Server) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", server.Address())
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))

	return conn
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(conn, text)
	require.NoError(t, err)
}

func requireAnswer(t *testing.T, conn net.Conn, body string) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, body, string(answer))
}

func requireClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	_, err := conn.Read(make([]byte, 1))
	require.Error(t, err)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the connection is open")
}

func isNeverBusy(string) bool { return false }

const firstRequest, secondRequest = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nfirst", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\nsecond"

func TestRequestThatBeganToArriveIsAnsweredAfterStop(t *testing.T) {
	server := startServer(t)
	kept, idle, fresh := dial(t, server), dial(t, server), dial(t, server)
	for _, conn := range []net.Conn{kept, idle} {
		send(t, conn, firstRequest)
		requireAnswer(t, conn, "first")
	}
	for _, conn := range []net.Conn{kept, fresh} {
		send(t, conn, secondRequest[:len(secondRequest)-3])
	}
	time.Sleep(50 * time.Millisecond)
	server.StopAccepting()
	requireClosed(t, idle)
	require.True(t, server.HasRequests(), "requests have begun to arrive")
	for _, conn := range []net.Conn{kept, fresh} {
		send(t, conn, secondRequest[len(secondRequest)-3:])
		requireAnswer(t, conn, "second")
	}
	require.Eventually(t, func() bool { return !server.HasRequests() }, testTimeout, time.Millisecond)
}

func TestRequestThatArrivesByteByByteDoesNotHoldItsConnection(t *testing.T) {
	server := startServer(t)
	dripping, waiting := dial(t, server), dial(t, server)
	begun := time.Now()
	for _, b := range []byte(firstRequest[:10]) {
		send(t, dripping, string(b))
		time.Sleep(20 * time.Millisecond)
	}
	require.Zero(t, server.CloseStalledRequests(begun, isNeverBusy))
	require.Zero(t, server.CloseStalledRequests(time.Now(), func(string) bool { return true }))
	require.Equal(t, 1, server.CloseStalledRequests(time.Now(), isNeverBusy))
	requireClosed(t, dripping)
	send(t, waiting, firstRequest)
	requireAnswer(t, waiting, "first")
	require.Zero(t, server.CloseStalledRequests(time.Now(), isNeverBusy), "a connection without a request is not stalled")
}
