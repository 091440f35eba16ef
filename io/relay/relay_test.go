package relay_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"cardamomward/core/id"
	"cardamomward/io/relay"
	"cardamomward/platform/standin"
)

const testTimeout = 5 * time.Second

// listen starts a listener that handles each connection.
func listen(t *testing.T, handle func(conn net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() }) //nolint:errcheck // the test is over
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go handle(conn)
		}
	}()

	return listener.Addr().String()
}

// newRelay starts a relay with free places, which a test may change before the first connection.
func newRelay(t *testing.T, change func(*relay.Server)) (*relay.Server, string) {
	t.Helper()
	server := &relay.Server{
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		},
		IsAvailable: func() bool { return true }, DomainOfAddress: func(string) (id.FailureDomain, bool) { return "zone-a", true }, IsEvacuated: func(id.FailureDomain) bool { return false }, MaxConns: 4,
	}
	change(server)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); server.Serve(ctx, listener) }()
	t.Cleanup(func() { cancel(); <-done })

	return server, listener.Addr().String()
}

func dial(t *testing.T, relayAddress, upstream string) net.Conn {
	t.Helper()
	conn, err := relay.Dial(t.Context(), relayAddress, upstream)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))

	return conn
}

func TestBytesPassInBothDirectionsUntilUpstreamEnds(t *testing.T) {
	upstream := listen(t, func(conn net.Conn) {
		defer conn.Close()
		request := make([]byte, len("request"))
		if _, err := io.ReadFull(conn, request); err == nil {
			conn.Write(append([]byte("response to "), request...)) //nolint:errcheck // the test reads it
		}
	})
	_, address := newRelay(t, func(*relay.Server) {})
	conn := dial(t, address, upstream)
	_, err := conn.Write([]byte("request"))
	require.NoError(t, err)
	response, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Equal(t, "response to request", string(response))
}

func TestResponseThatUpstreamBreaksOffDoesNotLookComplete(t *testing.T) {
	upstream := listen(t, func(conn net.Conn) {
		io.ReadFull(conn, make([]byte, len("request"))) //nolint:errcheck // the response follows in any case
		conn.Write([]byte("half"))                      //nolint:errcheck // the test reads it
		time.Sleep(50 * time.Millisecond)
		conn.(*net.TCPConn).SetLinger(0) //nolint:errcheck // Close resets the connection
		conn.Close()
	})
	_, address := newRelay(t, func(*relay.Server) {})
	conn := dial(t, address, upstream)
	_, err := conn.Write([]byte("request"))
	require.NoError(t, err)
	_, err = io.ReadAll(conn)
	require.Error(t, err, "the end of the bytes is a reset, not their regular end")
}

// Bytes that a relay sends in place of a response were read without a bound, and a framing whose name has a blank was none.
func TestMalformedResponseOfRelayIsNoConnection(t *testing.T) {
	for name, tt := range map[string]struct{ text, repeated string }{
		"status 000":         {text: "HTTP/1.1 000 None\r\n\r\n"},
		"space after a name": {text: "HTTP/1.1 200 OK\r\nRelay-Framing : length-prefixed\r\n\r\n"},
		"endless head":       {text: "HTTP/1.1 200 OK\r\n", repeated: strings.Repeat("Name: x\r\n", 100)},
		"endless line":       {text: "HTTP/1.1 200 OK\r\nName: ", repeated: strings.Repeat("x", 1000)},
		"endless body":       {text: "HTTP/1.1 503 Busy\r\n\r\n", repeated: strings.Repeat("x", 1000)},
	} {
		t.Run(name, func(t *testing.T) {
			address := listen(t, func(conn net.Conn) {
				defer conn.Close()
				_, err := io.WriteString(conn, tt.text)
				for err == nil && tt.repeated != "" {
					_, err = io.WriteString(conn, tt.repeated)
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			_, err := relay.Dial(ctx, address, "127.0.0.1:1")
			require.True(t, errorx.IsOfType(err, relay.ErrBusy), "%v", err)
			require.NoError(t, ctx.Err(), "the response is given up before the deadline")
		})
	}
}

// The writer of a request can get the only report of a reset, and the reader of the response the end of the connection.
func TestResponseThatUpstreamBreaksOffDuringRequestDoesNotLookComplete(t *testing.T) {
	dialed := make(chan *standin.ResetConn, 1)
	upstream := listen(t, func(conn net.Conn) {
		conn.Read(make([]byte, 1)) //nolint:errcheck // the response follows in any case
		conn.Write([]byte("half")) //nolint:errcheck // the test reads it
		(<-dialed).AwaitRead()
		conn.(*net.TCPConn).SetLinger(0) //nolint:errcheck // Close resets the connection
		conn.Close()
	})
	_, address := newRelay(t, func(s *relay.Server) {
		s.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			ordered := standin.NewResetConn(conn)
			dialed <- ordered

			return ordered, err
		}
	})
	conn := dial(t, address, upstream)
	go conn.Write(make([]byte, 32<<20)) //nolint:errcheck // the upstream does not read it
	response, err := io.ReadAll(conn)
	require.Error(t, err, "the end of the bytes is a reset, not their regular end")
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
	require.Equal(t, "half", string(response))
}

// An upstream may end its response and read the rest of the request afterwards.
func TestRequestIsPassedOnAfterEndOfResponse(t *testing.T) {
	const requestBytes = 32 << 20
	received := make(chan int64, 1)
	upstream := listen(t, func(conn net.Conn) {
		defer conn.Close()
		conn.Read(make([]byte, 1))       //nolint:errcheck // the response follows in any case
		conn.Write([]byte("whole"))      //nolint:errcheck // the test reads it
		conn.(*net.TCPConn).CloseWrite() //nolint:errcheck // the test reads the end
		n, _ := io.CopyN(io.Discard, conn, requestBytes-1)
		received <- n
	})
	_, address := newRelay(t, func(*relay.Server) {})
	conn := dial(t, address, upstream)
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write(make([]byte, requestBytes))
		written <- err
	}()
	response, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Equal(t, "whole", string(response))
	require.NoError(t, <-written)
	require.EqualValues(t, requestBytes-1, <-received)
}

// interruptedListener keeps the connections that it accepts, so that a test can end them as the kernel does for a process that is killed.
type interruptedListener struct {
	net.Listener

	accepted chan net.Conn
}

func (l *interruptedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.accepted <- conn
	}

	return conn, err
}

// relayEnd ends a relay: its connection to the caller, or its context.
type relayEnd func(t *testing.T, conn net.Conn, stop context.CancelFunc)

// killRelay ends the connection as the kernel does for a process that is killed.
func killRelay(t *testing.T, conn net.Conn, _ context.CancelFunc) {
	t.Helper()
	require.NoError(t, conn.(*net.TCPConn).CloseWrite())
}

// stopRelay stops the relay as a host does that shuts down.
func stopRelay(_ *testing.T, _ net.Conn, stop context.CancelFunc) { stop() }

// readUntilRelayIsLost returns the result of reading a response whose relay ends after the first half. The proxy between both may ignore
// framing, as earlier releases do.
func readUntilRelayIsLost(t *testing.T, end relayEnd, proxy func(address string) string) (string, error) {
	t.Helper()
	upstream := listen(t, func(conn net.Conn) {
		io.ReadFull(conn, make([]byte, len("request"))) //nolint:errcheck // the response follows in any case
		conn.Write([]byte("half"))                      //nolint:errcheck // the test reads it
		io.Copy(io.Discard, conn)                       //nolint:errcheck // the response goes on until the relay is lost
	})
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	listener := &interruptedListener{Listener: inner, accepted: make(chan net.Conn, 1)}
	server, _ := newRelay(t, func(*relay.Server) {})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); server.Serve(ctx, listener) }()
	t.Cleanup(func() { cancel(); <-done })
	conn := dial(t, proxy(inner.Addr().String()), upstream)
	_, err = conn.Write([]byte("request"))
	require.NoError(t, err)
	half := make([]byte, len("half"))
	_, err = io.ReadFull(conn, half)
	require.NoError(t, err)
	end(t, <-listener.accepted, cancel)
	rest, err := io.ReadAll(conn)

	return string(half) + string(rest), err
}

// Responses without a length ended with their relay and looked complete.
func TestResponseWhoseRelayIsLostDoesNotLookComplete(t *testing.T) {
	for name, end := range map[string]relayEnd{"killed": killRelay, "stopped": stopRelay} {
		t.Run(name, func(t *testing.T) {
			response, err := readUntilRelayIsLost(t, end, func(address string) string { return address })
			require.Error(t, err)
			require.Equal(t, "half", response)
		})
	}
}

// A relay of an earlier release does not say how the upstream's bytes have ended.
func TestResponseThroughRelayOfEarlierReleaseDoesNotLookComplete(t *testing.T) {
	response, err := readUntilRelayIsLost(t, killRelay, func(address string) string {
		return listen(t, func(caller net.Conn) {
			defer caller.Close()
			server, err := net.Dial("tcp4", address)
			if err != nil {
				return
			}
			defer server.Close()
			req, err := http.ReadRequest(bufio.NewReader(caller))
			if err != nil {
				return
			}
			fmt.Fprintf(server, "CONNECT %s HTTP/1.1\r\nHost: %s\r\n\r\n", req.Host, req.Host)
			go io.Copy(server, caller) //nolint:errcheck // any end is the caller's
			io.Copy(caller, server)    //nolint:errcheck // any end is the relay's
		})
	})
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Equal(t, "half", response)
}

// A host of an earlier release requests no framing.
func TestCallerOfEarlierReleaseGetsBytesWithoutFrames(t *testing.T) {
	upstream := listen(t, func(conn net.Conn) {
		defer conn.Close()
		io.ReadFull(conn, make([]byte, len("request"))) //nolint:errcheck // the response follows in any case
		conn.Write([]byte("response"))                  //nolint:errcheck // the test reads it
	})
	_, address := newRelay(t, func(*relay.Server) {})
	conn, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	_, err = fmt.Fprintf(conn, "CONNECT %s HTTP/1.1\r\nHost: %s\r\n\r\n", upstream, upstream)
	require.NoError(t, err)
	head := make([]byte, len("HTTP/1.1 200 OK\r\n\r\n"))
	_, err = io.ReadFull(conn, head)
	require.NoError(t, err)
	require.Equal(t, "HTTP/1.1 200 OK\r\n\r\n", string(head))
	_, err = conn.Write([]byte("request"))
	require.NoError(t, err)
	response, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Equal(t, "response", string(response))
}

func TestLargeResponsePassesThroughRelayUnchanged(t *testing.T) {
	sent := make([]byte, 1<<20)
	for i := range sent {
		sent[i] = byte(i * i >> 8)
	}
	upstream := listen(t, func(conn net.Conn) {
		defer conn.Close()
		io.ReadFull(conn, make([]byte, len("request"))) //nolint:errcheck // the response follows in any case
		conn.Write(sent)                                //nolint:errcheck // the test reads it
	})
	_, address := newRelay(t, func(*relay.Server) {})
	conn := dial(t, address, upstream)
	_, err := conn.Write([]byte("request"))
	require.NoError(t, err)
	received, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.True(t, bytes.Equal(sent, received))
}

func TestUpstreamSeesThatCallerHasCanceled(t *testing.T) {
	canceled := make(chan struct{})
	upstream := listen(t, func(conn net.Conn) {
		defer conn.Close()
		io.Copy(io.Discard, conn) //nolint:errcheck // any end is the caller's
		close(canceled)
	})
	server, address := newRelay(t, func(*relay.Server) {})
	conn := dial(t, address, upstream)
	require.Equal(t, 1, server.ConnCount())
	conn.Close()
	select {
	case <-canceled:
	case <-time.After(testTimeout):
		require.Fail(t, "the upstream's connection is still open")
	}
	require.Eventually(t, func() bool { return server.ConnCount() == 0 }, testTimeout, time.Millisecond)
}

func TestRelayRefusesWhatItCannotRelay(t *testing.T) {
	upstream := listen(t, func(conn net.Conn) { io.Copy(io.Discard, conn) }) //nolint:errcheck // any end is the caller's
	for name, test := range map[string]struct {
		change func(*relay.Server)
		want   interface{ String() string }
	}{
		"unavailable": {func(s *relay.Server) { s.IsAvailable = func() bool { return false } }, relay.ErrBusy},
		"full":        {func(s *relay.Server) { s.MaxConns = 0 }, relay.ErrBusy},
		"no memory":   {func(s *relay.Server) { s.Reserve = func() (func(), bool) { return nil, false } }, relay.ErrBusy},
		"unknown upstream": {func(s *relay.Server) {
			s.DomainOfAddress = func(string) (id.FailureDomain, bool) { return "", false }
		}, relay.ErrUnknownUpstream},
		"evacuated domain":  {func(s *relay.Server) { s.IsEvacuated = func(id.FailureDomain) bool { return true } }, relay.ErrUnknownUpstream},
		"upstream is ended": {func(s *relay.Server) { s.Dial = refuse }, relay.ErrUpstream},
	} {
		t.Run(name, func(t *testing.T) {
			server, address := newRelay(t, test.change)
			_, err := relay.Dial(t.Context(), address, upstream)
			require.ErrorContains(t, err, test.want.String())
			require.Zero(t, server.ConnCount())
		})
	}
}

func refuse(context.Context, string) (net.Conn, error) { return nil, io.ErrUnexpectedEOF }

func TestPlaceIsFreeAgainAfterConnectionEnds(t *testing.T) {
	upstream := listen(t, func(conn net.Conn) { io.Copy(io.Discard, conn) }) //nolint:errcheck // any end is the caller's
	server, address := newRelay(t, func(s *relay.Server) { s.MaxConns = 1 })
	first := dial(t, address, upstream)
	_, err := relay.Dial(t.Context(), address, upstream)
	require.ErrorContains(t, err, relay.ErrBusy.String())
	first.Close()
	require.Eventually(t, func() bool { return server.ConnCount() == 0 }, testTimeout, time.Millisecond)
	dial(t, address, upstream)
}

// Guards against relayed connections whose memory is not given back, whether they end or are never established.
func TestMemoryOfRelayedConnectionIsHeldUntilItEnds(t *testing.T) {
	upstream := listen(t, func(conn net.Conn) { io.Copy(io.Discard, conn) }) //nolint:errcheck // any end is the caller's
	var reserved, dials atomic.Int64
	server, address := newRelay(t, func(s *relay.Server) {
		dial := s.Dial
		s.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			if dials.Add(1) == 1 {
				return nil, io.ErrUnexpectedEOF
			}

			return dial(ctx, address)
		}
		s.Reserve = func() (func(), bool) {
			if reserved.Add(1) > 2 {
				reserved.Add(-1)

				return nil, false
			}

			return func() { reserved.Add(-1) }, true
		}
	})
	_, err := relay.Dial(t.Context(), address, upstream)
	require.ErrorContains(t, err, relay.ErrUpstream.String())
	require.Zero(t, reserved.Load())
	first := dial(t, address, upstream)
	dial(t, address, upstream)
	_, err = relay.Dial(t.Context(), address, upstream)
	require.ErrorContains(t, err, relay.ErrBusy.String())
	require.Equal(t, 2, server.ConnCount())
	require.EqualValues(t, 3, dials.Load(), "a connection without memory reaches no upstream")
	first.Close()
	require.Eventually(t, func() bool { return reserved.Load() == 1 }, testTimeout, time.Millisecond)
	dial(t, address, upstream)
}

func TestResponseOfEvacuatedDomainEndsAndNextRequestIsNotPassedOn(t *testing.T) {
	requests := make(chan string, 4)
	resume := make(chan struct{})
	upstream := listen(t, func(conn net.Conn) {
		defer conn.Close()
		for {
			request := make([]byte, len("request"))
			if _, err := io.ReadFull(conn, request); err != nil {
				return
			}
			requests <- string(request)
			conn.Write([]byte("first half, ")) //nolint:errcheck // the test reads it
			<-resume
			conn.Write([]byte("second half")) //nolint:errcheck // the test reads it
		}
	})
	var evacuated atomic.Bool
	_, address := newRelay(t, func(s *relay.Server) {
		s.IsEvacuated = func(id.FailureDomain) bool { return evacuated.Load() }
	})
	busy, idle := dial(t, address, upstream), dial(t, address, upstream)
	_, err := busy.Write([]byte("req"))
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	evacuated.Store(true)
	_, err = busy.Write([]byte("uest"))
	require.NoError(t, err)
	require.Equal(t, "request", <-requests, "a request that has begun is passed on to its end")
	close(resume)
	response := make([]byte, len("first half, second half"))
	_, err = io.ReadFull(busy, response)
	require.NoError(t, err)
	require.Equal(t, "first half, second half", string(response))
	for _, conn := range []net.Conn{busy, idle} {
		_, err = conn.Write([]byte("request"))
		require.NoError(t, err)
		_, err = io.ReadAll(conn)
		require.NotErrorIs(t, err, context.DeadlineExceeded)
	}
	require.Empty(t, requests)
}
