package upstreamclient_test

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

	"cardamomward/io/upstreamclient"
)

// closes at the end of a response makes the server close its connection after the response.
const closes = "\x00close"

// startServer responds to the n-th request with script(n); an empty string sends nothing.
func startServer(t *testing.T, script func(n int) string) net.Listener {
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
					response, isLast := strings.CutSuffix(script(n), closes)
					io.WriteString(conn, response) //nolint:errcheck // a test
					if isLast {
						conn.Close()
					}
				}
			}()
		}
	}()

	return listener
}

func formatResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\nKeep-Alive: timeout=5\r\n\r\n%s", id, len(body), body)
}

func newRequest(listener net.Listener) upstreamclient.Request {
	return upstreamclient.Request{
		Address: listener.Addr().String(), Method: http.MethodPost,
		Head: []byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n"), Body: []byte("ab"),
		Deadline: time.Now().Add(10 * time.Second),
		ID:       "mine", ResponseID: func(_ int, h http.Header) string { return h.Get("Request-Id") },
	}
}

func TestConnectionsAreReused(t *testing.T) {
	listener := startServer(t, func(int) string { return formatResponse("mine", "done") })
	var client upstreamclient.Client
	for range 3 {
		x, err := client.Send(context.Background(), time.Now(), newRequest(listener))
		require.NoError(t, err)
		body, err := io.ReadAll(x.Body)
		require.NoError(t, err)
		require.Equal(t, "done", string(body))
		x.Finish(time.Now())
	}
	require.EqualValues(t, 1, client.DialCount)
	client.CloseExpired(time.Now().Add(time.Minute))
	require.Zero(t, client.OpenConnCount(listener.Addr().String()))
}

func TestConnectionWithExtraBytesAfterResponseIsClosed(t *testing.T) {
	listener := startServer(t, func(int) string { return formatResponse("mine", "done") + formatResponse("mine", "again") })
	var client upstreamclient.Client
	for range 2 {
		x, err := client.Send(context.Background(), time.Now(), newRequest(listener))
		require.NoError(t, err)
		body, err := io.ReadAll(x.Body)
		require.NoError(t, err)
		require.Equal(t, "done", string(body))
		x.Finish(time.Now())
	}
	require.EqualValues(t, 2, client.DialCount)
}

// A faulty upstream writes an earlier refusal once more on a kept connection, while it runs the next request. Taken for that request's
// own, the refusal would promise that it has not run.
func TestEarlierRefusalIsNotTakenForAnswerOfNextRequest(t *testing.T) {
	for _, status := range []string{"503 Service Unavailable", "429 Too Many Requests", "421 Misdirected Request", "400 Bad Request"} {
		for name, id := range map[string]string{"named": "Request-Id: earlier\r\n", "unnamed": ""} {
			refusal := "HTTP/1.1 " + status + "\r\n" + id + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
			for _, count := range []int{1, 2, 3} {
				for _, isAnswered := range []bool{true, false} {
					t.Run(fmt.Sprintf("%s, %s, %d times, answered: %t", status, name, count, isAnswered), func(t *testing.T) {
						listener := startServer(t, func(n int) string {
							switch {
							case n == 1:
								return formatResponse("mine", "first")
							case isAnswered:
								return strings.Repeat(refusal, count) + formatResponse("mine", "second")
							default:
								return strings.Repeat(refusal, count)
							}
						})
						var client upstreamclient.Client
						for _, expected := range []string{"first", "second"} {
							req := newRequest(listener)
							req.Deadline = time.Now().Add(200 * time.Millisecond)
							x, err := client.Send(context.Background(), time.Now(), req)
							if err != nil {
								require.NotEqual(t, "first", expected)
								require.True(t, errorx.IsOfType(err, upstreamclient.ErrResponseLost), "the request may have run: %v", err)

								continue
							}
							require.Equal(t, http.StatusOK, x.Status)
							body, err := io.ReadAll(x.Body)
							require.NoError(t, err)
							require.Equal(t, expected, string(body))
							x.Finish(time.Now())
						}
					})
				}
			}
		}
	}
}

// A refusal that arrives while its connection is idle closes it.
func TestConnectionOnWhichRefusalArrivesWhileIdleIsNotUsedAgain(t *testing.T) {
	listener := startServer(t, func(int) string {
		return formatResponse("mine", "done") + "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	})
	var client upstreamclient.Client
	for range 2 {
		x, err := client.Send(context.Background(), time.Now(), newRequest(listener))
		require.NoError(t, err)
		body, err := io.ReadAll(x.Body)
		require.NoError(t, err)
		require.Equal(t, "done", string(body))
		time.Sleep(20 * time.Millisecond)
		x.Finish(time.Now())
	}
	require.EqualValues(t, 2, client.DialCount)
}

// The server sends the answer to the first request once more, a moment after the second request, and then the second answer.
func TestLateCopyOfAnswerIsNotTakenForNextAnswer(t *testing.T) {
	unnamed := "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold"
	for name, copied := range map[string]string{
		"named":                     formatResponse("earlier", "old"),
		"named, after interim head": "HTTP/1.1 103 Early Hints\r\n\r\n" + formatResponse("earlier", "old"),
		"unnamed":                   unnamed,
		"a piece":                   "old\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			listener := startServer(t, func(n int) string {
				if n == 1 {
					return formatResponse("mine", "first")
				}
				time.Sleep(20 * time.Millisecond)

				return copied + formatResponse("mine", "second")
			})
			var client upstreamclient.Client
			for _, expected := range []string{"first", "second"} {
				x, err := client.Send(context.Background(), time.Now(), newRequest(listener))
				if err != nil {
					require.True(t, errorx.IsOfType(err, upstreamclient.ErrResponseLost), err)

					continue
				}
				body, err := io.ReadAll(x.Body)
				require.NoError(t, err)
				require.Equal(t, expected, string(body))
				x.Finish(time.Now())
			}
		})
	}
}

func TestConnectionOfUnnamedAnswerIsNotReused(t *testing.T) {
	listener := startServer(t, func(int) string { return "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone" })
	var client upstreamclient.Client
	for range 2 {
		x, err := client.Send(context.Background(), time.Now(), newRequest(listener))
		require.NoError(t, err)
		_, err = io.ReadAll(x.Body)
		require.NoError(t, err)
		x.Finish(time.Now())
	}
	require.EqualValues(t, 2, client.DialCount)
}

func TestResponsesToOtherRequestsAreRejected(t *testing.T) {
	listener := startServer(t, func(int) string { return strings.Repeat(formatResponse("another", "x"), 5) })
	var client upstreamclient.Client
	_, err := client.Send(context.Background(), time.Now(), newRequest(listener))
	require.True(t, errorx.IsOfType(err, upstreamclient.ErrResponseLost), err)
}

func TestClosedPortReturnsNotSent(t *testing.T) {
	listener := startServer(t, func(int) string { return "" })
	require.NoError(t, listener.Close())
	var client upstreamclient.Client
	_, err := client.Send(context.Background(), time.Now(), newRequest(listener))
	require.True(t, errorx.IsOfType(err, upstreamclient.ErrNotSent), err)
}

func TestSilentUnreachableUpstreamFails(t *testing.T) {
	listener := startServer(t, func(int) string { return "" })
	var client upstreamclient.Client
	req := newRequest(listener)
	req.ProbeAfter = 100 * time.Millisecond
	go func() {
		time.Sleep(250 * time.Millisecond)
		listener.Close() //nolint:errcheck // the connection stays open and silent
	}()
	began := time.Now()
	_, err := client.Send(context.Background(), began, req)
	require.True(t, errorx.IsOfType(err, upstreamclient.ErrUnreachable), err)
	require.True(t, errorx.IsOfType(err, upstreamclient.ErrResponseLost), "ErrUnreachable is a subtype, since the request may have run")
	require.Greater(t, time.Since(began), 200*time.Millisecond, "a slow upstream that is reachable is not given up")
	require.Less(t, time.Since(began), 8*time.Second)
}

func TestSendStopsWhenContextIsDone(t *testing.T) {
	listener := startServer(t, func(int) string { return "" })
	var client upstreamclient.Client
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := client.Send(ctx, time.Now(), newRequest(listener))
	require.Error(t, err)
	require.Zero(t, client.OpenConnCount(listener.Addr().String()))
}

func TestEventReaderReturnsWholeEvents(t *testing.T) {
	events := upstreamclient.NewEventReader(strings.NewReader("id: 1\ndata: a\ndata: b\n\nid:2\r\ndata:" + strings.Repeat("x", 9000) + "\r\n\r\nid: 3\nda"))
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
	_, err = upstreamclient.NewEventReader(strings.NewReader("id: 1\n\n")).Next()
	require.NoError(t, err)
	_, err = upstreamclient.NewEventReader(strings.NewReader("")).Next()
	require.Equal(t, io.EOF, err)
}

// An empty first data line left no line feed before the next one, and data of line feeds only counted as a comment.
func TestDataOfEventKeepsEmptyLines(t *testing.T) {
	for stream, want := range map[string][]string{
		"data: \ndata: line 2\n\n":                  {"\nline 2"},
		"data:\ndata\ndata:\n\n":                    {"\n\n"},
		"data:\n\n":                                 {""},
		"data: a\ndata:\ndata: b\n\n":               {"a\n\nb"},
		"data:  a \n\n":                             {" a "},
		"data: a\r\ndata: b\r\n\r\ndata: c\r\n\r\n": {"a\nb", "c"},
		"data: a\rdata: b\r\rdata: c\r\r":           {"a\nb", "c"},
		"\xef\xbb\xbfdata: a\n\ndata: b\n\n":        {"a", "b"},
		": data: a\ndatum: b\ndata: c\n\n":          {"c"},
	} {
		events := upstreamclient.NewEventReader(strings.NewReader(stream))
		for _, data := range want {
			event, err := events.Next()
			require.NoError(t, err, "%q", stream)
			require.NotNil(t, event.Data, "%q", stream)
			require.Equal(t, data, string(event.Data), "%q", stream)
			require.False(t, event.IsComment(), "%q", stream)
		}
		_, err := events.Next()
		require.Equal(t, io.EOF, err, "%q", stream)
	}
}

func TestEventWithoutDataAndUnusableIDIsComment(t *testing.T) {
	events := upstreamclient.NewEventReader(strings.NewReader("id: 1\x00\n\nid: 2\n\n"))
	event, err := events.Next()
	require.NoError(t, err)
	require.True(t, event.IsComment())
	event, err = events.Next()
	require.NoError(t, err)
	require.Equal(t, "2", event.ID)
	require.Nil(t, event.Data)
}

// A caller gets an event whose stream ends its lines with carriage returns at once, not with the next event.
func TestEventThatEndsWithCarriageReturnIsNotDelayed(t *testing.T) {
	reader, writer := io.Pipe()
	defer time.AfterFunc(time.Second, func() { writer.CloseWithError(io.ErrNoProgress) }).Stop()
	events := upstreamclient.NewEventReader(reader)
	go writer.Write([]byte("data: a\r\n\r")) //nolint:errcheck // the test reads it
	event, err := events.Next()
	require.NoError(t, err)
	require.Equal(t, "a", string(event.Data))
	go writer.Write([]byte("\ndata: b\r\r")) //nolint:errcheck // the test reads it
	event, err = events.Next()
	require.NoError(t, err)
	require.Equal(t, "b", string(event.Data))
}

func TestRequestThatMayNotBeWrittenAnyMoreIsNotSent(t *testing.T) {
	received := make(chan struct{}, 1)
	listener := startServer(t, func(int) string {
		received <- struct{}{}

		return formatResponse("mine", "done")
	})
	var client upstreamclient.Client
	req := newRequest(listener)
	req.MayWrite = func() bool { return false }
	_, err := client.Send(t.Context(), time.Now(), req)
	require.True(t, errorx.IsOfType(err, upstreamclient.ErrWithheld))
	require.True(t, errorx.IsOfType(err, upstreamclient.ErrNotSent))
	require.Zero(t, client.OpenConnCount(req.Address))
	require.Empty(t, received)
}
