package upstreamclient_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/io/upstreamclient"
)

// startEndlessServer responds to each request with start and then with chunk again and again, until the client closes.
func startEndlessServer(t *testing.T, start, chunk string) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() {
		listener.Close() //nolint:errcheck // a test
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, err := io.WriteString(conn, start)
				for err == nil {
					_, err = io.WriteString(conn, chunk)
				}
			}()
		}
	}()

	return listener
}

func TestEndlessHeadIsAbandonedBeforeDeadline(t *testing.T) {
	for name, answer := range map[string][2]string{
		"no line end":       {"", strings.Repeat("x", 4096)},
		"endless field":     {"HTTP/1.1 200 OK\r\nX-Long: ", strings.Repeat("x", 4096)},
		"endless fields":    {"HTTP/1.1 200 OK\r\n", strings.Repeat("X-Field: value\r\n", 256)},
		"interim responses": {"", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 128)},
	} {
		t.Run(name, func(t *testing.T) {
			listener := startEndlessServer(t, answer[0], answer[1])
			var client upstreamclient.Client
			now := time.Now()
			_, err := client.Send(context.Background(), now, upstreamclient.Request{
				Address: listener.Addr().String(), Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"),
				Deadline: now.Add(5 * time.Second), ResponseID: func(int, http.Header) string { return "" },
			})
			require.ErrorContains(t, err, "lost")
			require.Less(t, time.Since(now), 2*time.Second)
			require.Zero(t, client.OpenConnCount(listener.Addr().String()))
		})
	}
}

// endlessReader returns one byte value without end and counts what was read.
type endlessReader struct{ readBytes int }

func (r *endlessReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	if r.readBytes += len(p); r.readBytes > 64<<20 {
		return 0, io.ErrClosedPipe
	}

	return len(p), nil
}

func TestEndlessEventIsAbandoned(t *testing.T) {
	body := &endlessReader{}
	_, err := upstreamclient.NewEventReader(body).Next()
	require.ErrorContains(t, err, "larger than")
	require.Less(t, body.readBytes, 4<<20)
}
