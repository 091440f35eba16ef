package tcp_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"cardamomward/io/tcp"
	"cardamomward/platform/standin"
)

// uploadBytes is the size of a body that does not fit into the kernel's buffers while the server does not read.
const uploadBytes = 32 << 20

// post sends a long body with a client of net/http and returns the body of the response.
func post(t *testing.T, respond standin.Respond, wrap func(net.Conn) net.Conn) (string, error) {
	t.Helper()
	server, err := standin.NewRawServer(respond)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}

		return tcp.NewConn(wrap(conn)), nil
	}}
	t.Cleanup(transport.CloseIdleConnections)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+server.Address(), bytes.NewReader(make([]byte, uploadBytes)))
	require.NoError(t, err)
	resp, err := (&http.Client{Transport: transport}).Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)

	return string(body), err
}

// Clients of net/http took a part of a response without a length for the whole, if their writer got the reset.
func TestResetDuringUploadIsNotEndOfResponse(t *testing.T) {
	dialed := make(chan *standin.ResetConn, 1)
	_, err := post(t, func(conn *net.TCPConn, _ *http.Request) {
		io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart") //nolint:errcheck // a test
		(<-dialed).AwaitRead()
		conn.SetLinger(0) //nolint:errcheck // Close resets the connection
		conn.Close()      //nolint:errcheck // a test
	}, func(inner net.Conn) net.Conn {
		conn := standin.NewResetConn(inner)
		dialed <- conn

		return conn
	})
	require.ErrorIs(t, err, tcp.ErrReset)
}

func TestConnectionThatEndsAfterUploadEndsResponse(t *testing.T) {
	body, err := post(t, standin.RespondWith("HTTP/1.1 200 OK\r\n\r\nwhole"), func(inner net.Conn) net.Conn { return inner })
	require.NoError(t, err)
	require.Equal(t, "whole", body)
}
