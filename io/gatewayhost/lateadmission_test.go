package gatewayhost_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/platform"
	"cardamomward/platform/standin"
)

const (
	// shortGracePeriod lets a draining host accept requests for half a second and finish them for two more.
	shortGracePeriod = 3 * time.Second
	// longStreamInterval is the interval of events with which a stream takes longer than that, and less than its route's timeout.
	longStreamInterval = 550 * time.Millisecond
)

func withShortGracePeriod(_ *testCluster, settings *platform.HostSettings) {
	settings.Bounds.GracePeriod = shortGracePeriod
}

// A draining host took requests that it could not finish, and cut their responses at the end of the grace period.
func TestDrainingHostRefusesRequestThatItCannotFinish(t *testing.T) {
	c := newTestCluster(t, 2, withShortGracePeriod)
	c.slowStreams(longStreamInterval)
	paths := []string{"/draft/late", "/chat/late"}
	send := func(host string) []standin.CallerResponse {
		responses := make([]standin.CallerResponse, len(paths))
		var tasks sync.WaitGroup
		for i, path := range paths {
			tasks.Go(func() { responses[i] = c.do(host, standin.NewTurnRequest(path, "secret", host+path, "", "x")) })
		}
		tasks.Wait()

		return responses
	}
	for _, response := range send("host-0") {
		require.Equal(t, wholeStream, response.Body, "the host learns how long such streams take")
	}
	c.hosts["host-0"].instance.Drain(context.Background())
	refused := send("host-0")
	for i, response := range refused {
		require.False(t, response.Truncated, "%s: the response is cut", paths[i])
		require.Equal(t, http.StatusServiceUnavailable, response.Status, paths[i])
		require.True(t, response.ClosesConnection, paths[i])
		require.NotEmpty(t, response.Header.Get("Retry-After"), paths[i])
	}
	for i, response := range send("host-1") {
		require.Equal(t, wholeStream, response.Body, "%s: another host serves it", paths[i])
	}
	<-c.hosts["host-0"].done
	for _, response := range refused {
		require.Empty(t, c.executionsOf(response.RequestID), "a 503 means that the request was not executed")
	}
}

func TestDrainingHostTakesRequestThatItCanFinish(t *testing.T) {
	c := newTestCluster(t, 2, withShortGracePeriod)
	for range 2 {
		require.Equal(t, http.StatusOK, c.do("host-0", standin.NewTurnRequest("/draft/before", "secret", "before", "", "x")).Status)
	}
	c.hosts["host-0"].instance.Drain(context.Background())
	stream := c.do("host-0", standin.NewTurnRequest("/draft/late", "secret", "late", "", "x"))
	require.Equal(t, wholeStream, stream.Body, "such streams have been short")
	for _, path := range []string{"/order/late", "/look/late"} {
		response := c.do("host-0", standin.CallerRequest{Path: path, APIKey: "secret"})
		require.Equal(t, http.StatusOK, response.Status, "the route's timeout ends in time")
	}
	limited := standin.NewTurnRequest("/chat/late", "secret", "late", "", "x")
	limited.Header["Time-Remaining-Ms"] = "1000"
	response := c.do("host-0", limited)
	require.Equal(t, wholeStream, response.Body, "the caller's deadline ends in time")
	<-c.hosts["host-0"].done
}

// A request that takes longer than expected gets a response before the host ends.
func TestRequestThatDrainingHostTookIsAnswered(t *testing.T) {
	c := newTestCluster(t, 2, withShortGracePeriod, withRawEngines(t, func(conn *net.TCPConn, req *http.Request) {
		io.Copy(io.Discard, req.Body) //nolint:errcheck // a test
		if req.URL.Path == "/draft/late" {
			return
		}
		named := "Request-Id: " + req.Header.Get("Request-Id") + "\r\nResponse-Signature: sig\r\nConnection: close\r\n"
		io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+named+eventStream+"\r\n"+wholeStream) //nolint:errcheck // a test
		conn.Close()                                                                     //nolint:errcheck // a test
	}))
	c.hosts["host-0"].instance.Drain(context.Background())
	response := c.do("host-0", standin.NewTurnRequest("/draft/late", "secret", "late", "", "x"))
	require.Equal(t, http.StatusGatewayTimeout, response.Status)
	require.False(t, response.Truncated)
	<-c.hosts["host-0"].done
}

// A stopping host closed connections on which a response was still being written, as if they were idle.
func TestStoppingHostFinishesResponseThatIsRead(t *testing.T) {
	const responseBytes = 12 << 20
	c := newTestCluster(t, 2, withShortGracePeriod)
	for _, upstream := range c.plainUpstreams {
		upstream.ResponsePadding = responseBytes
	}
	conn, err := net.Dial("tcp4", c.hosts["host-0"].settings.CallerAddress)
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	_, err = io.WriteString(conn, "POST /order/slow HTTP/1.1\r\nHost: agents.example\r\nRequest-Id: slow\r\nAuthorization: Bearer secret\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReaderSize(conn, 4<<10), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	c.hosts["host-0"].instance.Drain(context.Background())
	require.Eventually(t, func() bool {
		probe, err := net.Dial("tcp4", c.hosts["host-0"].settings.CallerAddress)
		if err == nil {
			probe.Close()
		}

		return err != nil
	}, waitTimeout, 10*time.Millisecond, "the host stops accepting")
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err, "%d bytes arrived", len(body))
	require.Greater(t, len(body), responseBytes)
	<-c.hosts["host-0"].done
}
