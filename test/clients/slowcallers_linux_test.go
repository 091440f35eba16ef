package clients

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/io/relay"
)

const (
	// smallHostBytes is the memory of the smallest host.
	smallHostBytes = 112 << 20
	slowCallers    = 800
	// slowCallTime is for how long they call, and slowCallDeadline their deadline.
	slowCallTime     = 6 * time.Second
	slowCallDeadline = 3 * time.Second
	// slowReadBytes is what they read in each slowReadInterval.
	slowReadBytes    = 4 << 10
	slowReadInterval = 200 * time.Millisecond
	// slowCallPause is the pause between two calls of a caller.
	slowCallPause = 250 * time.Millisecond
	// minRelayed is the least number of connections that a host relays.
	minRelayed = 100
)

// Guards against a small host that is killed above its memory limit, since callers read slowly while other hosts relay through it.
func TestSmallHostSurvivesSlowCallersWhilePeersRelayThroughIt(t *testing.T) {
	h := startHost(t, hostOptions{responseBytes: 1 << 20, memoryBytes: smallHostBytes})
	conns := h.relayUntilRefused()
	for i, conn := range conns {
		_, err := fmt.Fprintf(conn, "POST /look/ HTTP/1.1\r\nHost: h\r\nRequest-Id: relayed-%d\r\nExpect-Instance: desk-1\r\nContent-Length: 0\r\n\r\n", i)
		require.NoError(t, err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), slowCallTime)
	defer cancel()
	var statuses [600]atomic.Int64
	var callers sync.WaitGroup
	for number := range slowCallers {
		callers.Go(func() {
			for ctx.Err() == nil {
				statuses[h.callSlowly(ctx, number)].Add(1)
				time.Sleep(slowCallPause)
			}
		})
	}
	callers.Wait()
	t.Logf("%d relayed connections, responses: %d served, %d refused, %d without", len(conns),
		statuses[http.StatusOK].Load(), statuses[http.StatusServiceUnavailable].Load(), statuses[0].Load())
	require.Positive(t, statuses[http.StatusOK].Load())
	require.GreaterOrEqual(t, len(conns), minRelayed)
	h.requireWithinBounds(hostFiles, "beside slow callers")
	for _, conn := range conns {
		conn.Close()
	}
	h.requireServes("after slow callers")
	h.requireWithinBounds(hostFiles, "after slow callers")
}

// relayUntilRefused opens relayed connections to an upstream until the host refuses one.
func (h *host) relayUntilRefused() (conns []net.Conn) {
	h.t.Helper()
	for {
		conn, err := relay.Dial(h.t.Context(), h.peerAddress(1), h.upstream)
		if err != nil {
			require.ErrorContains(h.t, err, "503")

			return conns
		}
		h.t.Cleanup(func() { conn.Close() })
		conns = append(conns, conn)
	}
}

// callSlowly sends one call and reads its response slowly until ctx ends, and returns its status, 0 if there is none.
func (h *host) callSlowly(ctx context.Context, number int) int {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp4", h.settings.CallerAddress)
	if err != nil {
		return 0
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	conn.(*net.TCPConn).SetReadBuffer(slowReadBytes) //nolint:errcheck // a larger buffer only hides the slow caller
	fmt.Fprintf(conn, "POST /look/ HTTP/1.1\r\nHost: agents.example\r\nRequest-Id: slow-%d\r\nAuthorization: Bearer secret\r\nTime-Remaining-Ms: %d\r\nContent-Length: 0\r\n\r\n",
		number, slowCallDeadline.Milliseconds())
	resp, err := http.ReadResponse(bufio.NewReaderSize(conn, slowReadBytes), nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode
	}
	for ctx.Err() == nil {
		if _, err := io.CopyN(io.Discard, resp.Body, slowReadBytes); err != nil {
			break
		}
		time.Sleep(slowReadInterval)
	}

	return resp.StatusCode
}
