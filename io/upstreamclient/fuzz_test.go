package upstreamclient

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"cardamomward/platform"
)

// scriptedConn is a connection in memory: each request makes the bytes of the next reply available. After the last one, reads return
// io.EOF.
type scriptedConn struct {
	replies [][]byte
	// isEndless repeats what is available.
	isEndless bool
	// maxRead bounds the bytes of one read.
	maxRead int

	available []byte
	offset    int
	readBytes int
	isClosed  bool
}

func (c *scriptedConn) Write(p []byte) (int, error) {
	if c.isClosed {
		return 0, net.ErrClosed
	}
	if len(c.replies) > 0 {
		c.available = append(c.available[c.offset:], c.replies[0]...)
		c.offset, c.replies = 0, c.replies[1:]
	}

	return len(p), nil
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	if c.isEndless && c.offset == len(c.available) {
		c.offset = 0
	}
	if c.isClosed || c.offset == len(c.available) || c.readBytes > maxEndlessBytes {
		return 0, io.EOF
	}
	n := copy(p[:min(len(p), c.maxRead)], c.available[c.offset:])
	c.offset += n
	c.readBytes += n

	return n, nil
}

func (c *scriptedConn) Close() error {
	c.isClosed = true

	return nil
}

func (c *scriptedConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (c *scriptedConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (c *scriptedConn) SetDeadline(time.Time) error      { return nil }
func (c *scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (c *scriptedConn) SetWriteDeadline(time.Time) error { return nil }

const (
	// maxEndlessBytes ends an endless response that a client without a bound would read.
	maxEndlessBytes = 16 << 20
	fuzzedBody      = "the body of the second response"
	// fuzzedStatus differs from what other responses have.
	fuzzedStatus = http.StatusMultiStatus
	// maxFuzzedBodyBytes bounds the bytes of the first response that the test reads.
	maxFuzzedBodyBytes = 1 << 16
	// maxChunkOverhead is how much larger a chunked body is than its content at most, by the limit of net/http.
	maxChunkOverhead = 24
	// maxBytesBeforeResponse bounds what is read for one response head: interim responses and skipped ones.
	maxBytesBeforeResponse = (maxStaleResponses+1)*(maxInterimResponses*maxHeadBytes+maxChunkOverhead*maxStaleBodyBytes) + readBufferBytes
)

// fuzzedExchange sends a request and reads its response; the exchange is nil if there is none.
func fuzzedExchange(t *testing.T, client *Client, requestID string) (x *Exchange, body []byte, readErr error) {
	t.Helper()
	now := time.Now()
	x, err := client.Send(context.Background(), now, Request{
		Address: "upstream", Method: http.MethodPost, Head: []byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"), ID: requestID,
		ResponseID: func(status int, header http.Header) string {
			return platform.DecodeResponseHead(status, header).RequestID
		},
	})
	if err != nil {
		require.True(t, errorx.IsOfType(err, ErrResponseLost), "a request that was sent may have been executed: %v", err)

		return nil, nil, err
	}
	headBytes := 0
	for name, values := range x.Header {
		for _, value := range values {
			headBytes += len(name) + len(value)
		}
	}
	require.LessOrEqual(t, headBytes, maxHeadBytes)
	body, readErr = io.ReadAll(io.LimitReader(x.Body, maxFuzzedBodyBytes))
	if readErr == nil && len(body) < maxFuzzedBodyBytes {
		x.Finish(now)
	} else {
		x.Abort()
	}

	return x, body, readErr
}

// FuzzUpstreamResponse sends two requests. The upstream answers the first with any bytes, and precedes the response to the second with
// any bytes, such as a late copy of the first response or a piece of one. Each "{1}" of the bytes stands for the id of the first request;
// the id of the second cannot be guessed. Invariants: there is no panic; what is read for one response is bounded, also if the upstream
// sends without end; an error says that the request may have been executed; the first response names the first request or none; the
// second has the status, the fields and the body of the second, or is lost.
func FuzzUpstreamResponse(f *testing.F) {
	named := "HTTP/1.1 200 OK\r\nRequest-Id: {1}\r\nContent-Length: 3\r\nKeep-Alive: timeout=5\r\n\r\nold"
	chunked := "HTTP/1.1 200 OK\r\nRequest-Id: {1}\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nold\r\n0\r\n\r\n"
	f.Add([]byte(named), []byte(named), uint16(4000), false)
	f.Add([]byte(chunked), []byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold"), uint16(0), false)
	f.Add([]byte("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"+named), []byte("HTTP/1.1 103 Early Hints\r\n\r\n"+chunked), uint16(20), false)
	f.Add([]byte(named), []byte("old\r\n\r\n"), uint16(4000), false)
	f.Add([]byte(named), []byte("HTTP/1.1 404 Not Found\r\nX-Field: a"), uint16(4000), false)
	f.Add([]byte(named), []byte("HTTP/1.1 304 Not Modified"), uint16(4000), false)
	f.Add([]byte(named), []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Field: a\r\n "), uint16(4000), false)
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n"), []byte{}, uint16(4000), true)
	f.Add([]byte("X-Field: value\r\n"), []byte{}, uint16(4000), true)
	f.Add([]byte("HTTP/1.1 200 "), []byte{}, uint16(4000), true)
	f.Add([]byte("HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 2\r\n\r\nab"), []byte{}, uint16(4000), true)
	f.Add([]byte("HTTP/1.1 204 No Content\r\nRequest-Id: {1}\r\nConnection: close\r\n\r\n"), []byte{}, uint16(1), false)
	f.Fuzz(func(t *testing.T, reply, late []byte, maxRead uint16, isEndless bool) {
		firstID := fmt.Sprintf("first-%016x", xxhash.Sum64(append(bytes.Clone(reply), late...)))
		secondID := fmt.Sprintf("second-%016x", xxhash.Sum64String(firstID))
		fillIn := func(data []byte) []byte { return bytes.ReplaceAll(data, []byte("{1}"), []byte(firstID)) }
		second := fmt.Appendf(nil, "HTTP/1.1 %d Second\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", fuzzedStatus, secondID, len(fuzzedBody), fuzzedBody)
		first := &scriptedConn{
			replies: [][]byte{fillIn(reply), append(fillIn(late), second...)}, isEndless: isEndless && len(reply) > 0, maxRead: int(maxRead) + 1,
		}
		conns := []*scriptedConn{first}
		client := &Client{Dial: func(context.Context, string, string) (net.Conn, error) {
			if len(conns) == 0 {
				return &scriptedConn{replies: [][]byte{second}, maxRead: int(maxRead) + 1}, nil
			}
			conn := conns[0]
			conns = nil

			return conn, nil
		}}
		if x, _, _ := fuzzedExchange(t, client, firstID); x != nil {
			require.Contains(t, []string{"", firstID}, x.Header.Get("Request-Id"))
		}
		require.LessOrEqual(t, first.readBytes, maxBytesBeforeResponse+maxChunkOverhead*maxFuzzedBodyBytes)
		first.isEndless = false
		x, body, err := fuzzedExchange(t, client, secondID)
		if x != nil {
			require.Equal(t, fuzzedStatus, x.Status)
			require.Equal(t, http.Header{"Request-Id": {secondID}, "Content-Length": {fmt.Sprint(len(fuzzedBody))}}, x.Header)
			require.NoError(t, err)
			require.Equal(t, fuzzedBody, string(body))
		}
		require.LessOrEqual(t, client.OpenConnCount("upstream"), 1)
		client.CloseExpired(time.Now().Add(time.Hour))
		require.Zero(t, client.OpenConnCount("upstream"))
	})
}

// repeatingReader returns its bytes once or without end, at most maxRead at a time, and counts them.
type repeatingReader struct {
	data      []byte
	isEndless bool
	maxRead   int
	offset    int
	readBytes int
}

func (r *repeatingReader) Read(p []byte) (int, error) {
	if r.isEndless && r.offset == len(r.data) {
		r.offset = 0
	}
	if r.offset == len(r.data) {
		return 0, io.EOF
	}
	n := copy(p[:min(len(p), r.maxRead)], r.data[r.offset:])
	r.offset += n
	r.readBytes += n

	return n, nil
}

// maxFuzzedEvents bounds the events that the test reads of an endless stream.
const maxFuzzedEvents = 64

// FuzzStreamEvents reads the events of any bytes. Invariants: there is no panic; what is read for one event is bounded, also if the
// stream has no end; each event ends with its empty line and no event is passed over or joined with another, so that the raw events are
// the input up to the last empty line; id and data come from the event itself; how the bytes arrive changes neither ids nor data. A line
// ends with a line feed, a carriage return or both, and a line feed that arrives late may follow in the next raw event.
func FuzzStreamEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\ndata: b\n\nid:2\r\ndata:c\r\n\r\nid: 3\nda"), uint16(4000), false)
	f.Add([]byte(": comment\n\n\n\n\r\n:\nid"), uint16(0), false)
	f.Add([]byte("data: a"), uint16(4000), true)
	f.Add([]byte("data: a\n"), uint16(4000), true)
	f.Add([]byte("id: 1\n\n"), uint16(2), true)
	f.Add([]byte("\xef\xbb\xbfdata:\rdata: a\r\rid: 2\x00\rdata\r\r\n"), uint16(0), false)
	f.Fuzz(func(t *testing.T, data []byte, maxRead uint16, isEndless bool) {
		body := &repeatingReader{data: data, isEndless: isEndless && len(data) > 0, maxRead: int(maxRead) + 1}
		whole := NewEventReader(&repeatingReader{data: data, isEndless: body.isEndless, maxRead: eventBufferBytes})
		passed, err := []byte(nil), error(nil)
		for events, count := NewEventReader(body), 0; err == nil && count < maxFuzzedEvents; count++ {
			before := body.readBytes
			var event Event
			event, err = events.Next()
			require.LessOrEqual(t, body.readBytes-before, 2*(maxEventBytes+eventBufferBytes))
			if err == nil {
				requireOneEvent(t, passed, event)
				passed = append(passed, event.Raw...)
			}
			if err != nil || !event.IsComment() {
				same, sameErr := nextNamedEvent(whole)
				require.Equal(t, err == nil, sameErr == nil)
				require.Equal(t, same.ID, event.ID)
				require.Equal(t, same.Data, event.Data)
			}
		}
		if body.isEndless {
			require.LessOrEqual(t, len(passed), maxFuzzedEvents*maxEventBytes)

			return
		}
		require.True(t, bytes.HasPrefix(data, passed))
		rest := data[len(passed):]
		if err != nil && len(rest) <= maxEventBytes {
			require.Equal(t, len(rest) == 0, err == io.EOF, "%v", err) //nolint:errorlint // an error that wraps io.EOF is one within an event
			require.Equal(t, len(rest) > 0, errors.Is(err, io.ErrUnexpectedEOF))
			require.NotContains(t, linesAfter(passed, rest), "\n\n")
		}
	})
}

// nextNamedEvent returns the next event that is no comment.
func nextNamedEvent(events *EventReader) (Event, error) {
	for {
		if event, err := events.Next(); err != nil || !event.IsComment() {
			return event, err
		}
	}
}

// linesAfter returns bytes that follow others with line feeds for all ends of lines.
func linesAfter(passed, data []byte) string {
	if bytes.HasSuffix(passed, []byte("\r")) {
		data = bytes.TrimPrefix(data, []byte("\n"))
	}

	return strings.NewReplacer("\r\n", "\n", "\r", "\n").Replace(string(data))
}

// requireOneEvent checks that the raw bytes of an event are those of one event, from which its id and data come.
func requireOneEvent(t *testing.T, passed []byte, event Event) {
	t.Helper()
	require.LessOrEqual(t, len(event.Raw), maxEventBytes)
	text := linesAfter(passed, event.Raw)
	if text == "" {
		require.Equal(t, Event{Raw: []byte("\n")}, event, "the end of the empty line before")

		return
	}
	if len(passed) == 0 {
		text = strings.TrimPrefix(text, string(byteOrderMark))
	}
	require.True(t, strings.HasSuffix(text, "\n"))
	lines := strings.Split(strings.TrimSuffix(text, "\n"), "\n")
	for i, line := range lines {
		require.Equal(t, i == len(lines)-1, line == "", "only the last line is empty")
	}
	require.Contains(t, text, event.ID)
	for line := range bytes.SplitSeq(event.Data, []byte("\n")) {
		require.Contains(t, text, string(line))
	}
}

// FuzzEventsAreReadAsWritten writes events in the format of the standard and reads them back, whatever their data are.
func FuzzEventsAreReadAsWritten(f *testing.F) {
	f.Add("1", "\nline 2", uint16(0), uint8(0))
	f.Add("2", "\n\n", uint16(4000), uint8(1))
	f.Add("3", "", uint16(2), uint8(2))
	f.Add("", " a: b\n: c\n", uint16(7), uint8(0))
	f.Fuzz(func(t *testing.T, id, data string, maxRead uint16, terminator uint8) {
		if strings.ContainsAny(id, "\r\n\x00") || strings.Contains(data, "\r") || len(id)+8*len(data) > maxEventBytes/2 {
			return
		}
		end := []string{"\n", "\r\n", "\r"}[terminator%3]
		var written strings.Builder
		written.WriteString(string(byteOrderMark) + ": comment" + end + end)
		const copies = 3
		for range copies {
			if id != "" {
				written.WriteString("id: " + id + end)
			}
			for line := range strings.SplitSeq(data, "\n") {
				written.WriteString("data: " + line + end)
			}
			written.WriteString(end)
		}
		events := NewEventReader(&repeatingReader{data: []byte(written.String()), maxRead: int(maxRead) + 1})
		for range copies {
			event, err := nextNamedEvent(events)
			require.NoError(t, err)
			require.Equal(t, id, event.ID)
			require.NotNil(t, event.Data)
			require.Equal(t, data, string(event.Data))
		}
		_, err := nextNamedEvent(events)
		require.Equal(t, io.EOF, err)
	})
}
