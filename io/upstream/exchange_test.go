package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"cardamomward/io/upstream"
)

// serve answers each request on each connection with what script returns; an empty answer is silence.
func serve(t *testing.T, script func(n int) string) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() {
		listener.Close() //nolint:errcheck // a test
	})
	go func() {
		n := 0
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			go func() {
				reader := bufio.NewReader(conn)
				for {
					req, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					io.Copy(io.Discard, req.Body) //nolint:errcheck // a test
					n++
					io.WriteString(conn, script(n)) //nolint:errcheck // a test
				}
			}()
		}
	}()

	return listener
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\nKeep-Alive: timeout=5\r\n\r\n%s", id, len(body), body)
}

func request(listener net.Listener) upstream.Request {
	return upstream.Request{
		Address: listener.Addr().String(), Method: http.MethodPost,
		Head: []byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n"), Body: []byte("ab"),
		Deadline: time.Now().Add(10 * time.Second),
		Mine:     func(_ int, h http.Header) bool { return h.Get("Request-Id") == "mine" },
	}
}

func TestConnectionsAreUsedAgain(t *testing.T) {
	listener := serve(t, func(int) string { return answer("mine", "done") })
	var client upstream.Client
	for range 3 {
		x, err := client.Send(context.Background(), time.Now(), request(listener))
		require.NoError(t, err)
		body, err := io.ReadAll(x.Body)
		require.NoError(t, err)
		require.Equal(t, "done", string(body))
		x.Finish(time.Now())
	}
	require.EqualValues(t, 1, client.Opened)
	client.Sweep(time.Now().Add(time.Minute))
	require.Zero(t, client.Open(listener.Addr().String()))
}

func TestBytesAfterAnAnswerEndTheConnection(t *testing.T) {
	listener := serve(t, func(int) string { return answer("mine", "done") + answer("mine", "again") })
	var client upstream.Client
	for range 2 {
		x, err := client.Send(context.Background(), time.Now(), request(listener))
		require.NoError(t, err)
		body, err := io.ReadAll(x.Body)
		require.NoError(t, err)
		require.Equal(t, "done", string(body))
		x.Finish(time.Now())
	}
	require.EqualValues(t, 2, client.Opened)
}

func TestAnswersToOthersAreNotMine(t *testing.T) {
	listener := serve(t, func(int) string { return strings.Repeat(answer("another", "x"), 5) })
	var client upstream.Client
	_, err := client.Send(context.Background(), time.Now(), request(listener))
	require.True(t, errorx.IsOfType(err, upstream.ErrLost), err)
}

func TestNothingIsSentToAClosedPort(t *testing.T) {
	listener := serve(t, func(int) string { return "" })
	require.NoError(t, listener.Close())
	var client upstream.Client
	_, err := client.Send(context.Background(), time.Now(), request(listener))
	require.True(t, errorx.IsOfType(err, upstream.ErrNotSent), err)
}

func TestSilentUpstreamThatIsGoneIsGivenUp(t *testing.T) {
	listener := serve(t, func(int) string { return "" })
	var client upstream.Client
	req := request(listener)
	req.Stall = 100 * time.Millisecond
	go func() {
		time.Sleep(250 * time.Millisecond)
		listener.Close() //nolint:errcheck // the connection stays open and silent
	}()
	began := time.Now()
	_, err := client.Send(context.Background(), began, req)
	require.True(t, errorx.IsOfType(err, upstream.ErrGone), err)
	require.True(t, errorx.IsOfType(err, upstream.ErrLost), "it may have run")
	require.Greater(t, time.Since(began), 200*time.Millisecond, "one that is only slow is waited for")
	require.Less(t, time.Since(began), 8*time.Second)
}

func TestSendEndsWithItsContext(t *testing.T) {
	listener := serve(t, func(int) string { return "" })
	var client upstream.Client
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := client.Send(ctx, time.Now(), request(listener))
	require.Error(t, err)
	require.Zero(t, client.Open(listener.Addr().String()))
}

func TestEventsAreWhole(t *testing.T) {
	events := upstream.NewEventReader(strings.NewReader("id: 1\ndata: a\ndata: b\n\nid:2\r\ndata:" + strings.Repeat("x", 9000) + "\r\n\r\nid: 3\nda"))
	event, err := events.Next()
	require.NoError(t, err)
	require.Equal(t, "1", event.ID)
	require.Equal(t, "a\nb", string(event.Data))
	require.Equal(t, "id: 1\ndata: a\ndata: b\n\n", string(event.Raw))
	event, err = events.Next()
	require.NoError(t, err)
	require.Equal(t, "2", event.ID)
	require.Len(t, event.Data, 9000)
	_, err = events.Next()
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	_, err = upstream.NewEventReader(strings.NewReader("id: 1\n\n")).Next()
	require.NoError(t, err)
	_, err = upstream.NewEventReader(strings.NewReader("")).Next()
	require.Equal(t, io.EOF, err)
}

func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\n"))
	f.Add([]byte("\n\n\r\n:\nid"))
	f.Fuzz(func(t *testing.T, data []byte) {
		events := upstream.NewEventReader(strings.NewReader(string(data)))
		var passed []byte
		for {
			event, err := events.Next()
			if err != nil {
				break
			}
			passed = append(passed, event.Raw...)
		}
		require.True(t, strings.HasPrefix(string(data), string(passed)), "events are passed on byte for byte")
	})
}
