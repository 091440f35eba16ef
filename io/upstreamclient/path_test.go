package upstreamclient_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/reachability"
	"cardamomward/io/upstreamclient"
)

const (
	// pathTestTimeout bounds what a test waits for, and headStart is more than the head start of the direct path.
	pathTestTimeout = 5 * time.Second
	headStart       = 200 * time.Millisecond
)

// fakePaths are the direct path, which may hang, and a relay.
type fakePaths struct {
	directHangs, relayFails atomic.Bool
	directDials, relayDials atomic.Int64
}

func (f *fakePaths) newClient() *upstreamclient.Client {
	return &upstreamclient.Client{Dial: f.dial, Relays: f}
}

func (f *fakePaths) dial(ctx context.Context, network, address string) (net.Conn, error) {
	f.directDials.Add(1)
	if f.directHangs.Load() {
		<-ctx.Done()

		return nil, ctx.Err()
	}

	return (&net.Dialer{}).DialContext(ctx, network, address)
}

func (f *fakePaths) DialRelayed(ctx context.Context, address string) (net.Conn, upstreamclient.Relay, error) {
	f.relayDials.Add(1)
	if f.relayFails.Load() {
		return nil, "", upstreamclient.ErrNoRelay.New("no relay")
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)

	return conn, "relay", err
}

func (f *fakePaths) IsRelayAvailable(upstreamclient.Relay) bool { return true }

// send sends a request to a server that responds at once, and returns how long that took.
func send(t *testing.T, client *upstreamclient.Client, listener net.Listener) time.Duration {
	t.Helper()
	sentAt := time.Now()
	exchange, err := client.Send(t.Context(), sentAt, newRequest(listener))
	require.NoError(t, err)
	exchange.Abort()

	return time.Since(sentAt)
}

func TestHangingDirectPathDelaysOnlyFirstRequest(t *testing.T) {
	var paths fakePaths
	listener := startServer(t, func(int) string { return formatResponse("mine", "body") })
	client := paths.newClient()
	paths.directHangs.Store(true)
	send(t, client, listener)
	require.Less(t, send(t, client, listener), headStart/4)
	paths.directHangs.Store(false)
	require.Eventually(t, func() bool {
		before := paths.relayDials.Load()
		send(t, client, listener)

		return paths.relayDials.Load() == before
	}, pathTestTimeout, 10*time.Millisecond, "the direct path is used again")
}

func TestRelayIsNotUsedWhileDirectPathWorks(t *testing.T) {
	var paths fakePaths
	listener := startServer(t, func(int) string { return formatResponse("mine", "body") })
	client := paths.newClient()
	for range 5 {
		send(t, client, listener)
	}
	require.Zero(t, paths.relayDials.Load())
}

func TestUnreachableUpstreamIsNotTestedTwice(t *testing.T) {
	var paths fakePaths
	paths.directHangs.Store(true)
	paths.relayFails.Store(true)
	client := paths.newClient()
	require.Equal(t, reachability.TimedOut, client.Diagnose(t.Context(), "127.0.0.1:1"))
	dials := paths.directDials.Load()
	require.Equal(t, reachability.TimedOut, client.Diagnose(t.Context(), "127.0.0.1:1"))
	require.Equal(t, dials, paths.directDials.Load())
}

func TestUnacknowledgedRequestStartsTestOfPath(t *testing.T) {
	var paths fakePaths
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close() //nolint:errcheck // a test
	req := newRequest(listener)
	req.Body = make([]byte, 16<<20) // More than the buffers of both ends, so that a part is not acknowledged.
	req.Deadline = time.Now().Add(3 * time.Second)
	client := paths.newClient()
	_, err = client.Send(t.Context(), time.Now(), req)
	require.Error(t, err)
	require.EqualValues(t, 2, paths.directDials.Load(), "the request's connection and one test")
}

func TestAcknowledgedRequestStartsNoTestOfPath(t *testing.T) {
	var paths fakePaths
	listener := startServer(t, func(int) string { return "" })
	req := newRequest(listener)
	req.Deadline = time.Now().Add(time.Second)
	_, err := paths.newClient().Send(t.Context(), time.Now(), req)
	require.Error(t, err, "the upstream does not respond")
	require.EqualValues(t, 1, paths.directDials.Load())
}
