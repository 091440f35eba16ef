package upstreamclient_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"cardamomward/io/upstreamclient"
	"cardamomward/platform/standin"
)

// uploadBytes is the size of a body that does not fit into the kernel's buffers while the upstream does not read.
const uploadBytes = 32 << 20

// newUpload returns a request with a long body.
func newUpload(address string) upstreamclient.Request {
	return upstreamclient.Request{
		Address: address, Method: http.MethodPost,
		Head: fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", uploadBytes), Body: bytes.Repeat([]byte("x"), uploadBytes),
		Deadline: time.Now().Add(10 * time.Second),
		ID:       "mine", ResponseID: func(_ int, h http.Header) string { return h.Get("Request-Id") },
	}
}

func startRawServer(t *testing.T, respond standin.Respond) string {
	t.Helper()
	server, err := standin.NewRawServer(respond)
	require.NoError(t, err)
	t.Cleanup(server.Close)

	return server.Address()
}

// An upstream that answers a long upload at once and resets the connection while the upload is written reached callers as one whose response
// is complete.
func TestResponseWithoutLengthIsLostIfUploadIsReset(t *testing.T) {
	for name, head := range map[string]string{
		"plain":             "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\n\r\n",
		"closes":            "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nConnection: close\r\n\r\n",
		"HTTP/1.0":          "HTTP/1.0 200 OK\r\nRequest-Id: mine\r\n\r\n",
		"events":            "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nContent-Type: text/event-stream\r\n\r\n",
		"length":            "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nContent-Length: 100\r\n\r\n",
		"after interim one": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: mine\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			dialed := make(chan *standin.ResetConn, 1)
			address := startRawServer(t, func(conn *net.TCPConn, _ *http.Request) {
				io.WriteString(conn, head+"part") //nolint:errcheck // a test
				(<-dialed).AwaitRead()
				conn.SetLinger(0) //nolint:errcheck // Close resets the connection
				conn.Close()      //nolint:errcheck // a test
			})
			client := upstreamclient.Client{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
				ordered := standin.NewResetConn(conn)
				dialed <- ordered

				return ordered, err
			}}
			x, err := client.Send(t.Context(), time.Now(), newUpload(address))
			require.NoError(t, err)
			body, err := io.ReadAll(x.Body)
			require.Error(t, err, "a part of the response looks complete")
			require.Equal(t, "part", string(body))
			x.Abort()
		})
	}
}

func TestResponseToUploadIsReadWhole(t *testing.T) {
	readRest := func(conn *net.TCPConn, req *http.Request) {
		io.Copy(io.Discard, req.Body) //nolint:errcheck // a test
		conn.Close()                  //nolint:errcheck // a test
	}
	for name, respond := range map[string]standin.Respond{
		"without a length, before the upload is read": func(conn *net.TCPConn, req *http.Request) {
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\n\r\nwhole") //nolint:errcheck // a test
			conn.CloseWrite()                                                        //nolint:errcheck // a test
			readRest(conn, req)
		},
		"without a length, after the upload": func(conn *net.TCPConn, req *http.Request) {
			io.Copy(io.Discard, req.Body)                                            //nolint:errcheck // a test
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\n\r\nwhole") //nolint:errcheck // a test
			conn.Close()                                                             //nolint:errcheck // a test
		},
		"with a length, then a reset": func(conn *net.TCPConn, _ *http.Request) {
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nContent-Length: 5\r\n\r\nwhole") //nolint:errcheck // a test
			conn.Close()                                                                                  //nolint:errcheck // what was not read resets the connection
		},
		"in chunks, then a reset": func(conn *net.TCPConn, _ *http.Request) {
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n") //nolint:errcheck // a test
			conn.Close()                                                                                                             //nolint:errcheck // what was not read resets the connection
		},
	} {
		t.Run(name, func(t *testing.T) {
			var client upstreamclient.Client
			address := startRawServer(t, respond)
			x, err := client.Send(t.Context(), time.Now(), newUpload(address))
			require.NoError(t, err)
			body, err := io.ReadAll(x.Body)
			require.NoError(t, err)
			require.Equal(t, "whole", string(body))
			x.Finish(time.Now())
			require.Zero(t, client.OpenConnCount(address), "the connection is not used again")
		})
	}
}

// An upstream that ends its response and does not read the request may have broken off: whether the request was written is not known
// before the deadline.
func TestResponseWithoutLengthIsLostIfUploadIsNotRead(t *testing.T) {
	ended := make(chan struct{})
	defer close(ended)
	address := startRawServer(t, func(conn *net.TCPConn, _ *http.Request) {
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\n\r\npart") //nolint:errcheck // a test
		conn.CloseWrite()                                                       //nolint:errcheck // a test
		<-ended
	})
	var client upstreamclient.Client
	req := newUpload(address)
	req.Deadline = time.Now().Add(200 * time.Millisecond)
	x, err := client.Send(t.Context(), time.Now(), req)
	require.NoError(t, err)
	_, err = io.ReadAll(x.Body)
	require.True(t, errorx.IsOfType(err, upstreamclient.ErrResponseLost), "%v", err)
	x.Abort()
}
