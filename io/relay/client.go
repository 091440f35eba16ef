package relay

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"

	"github.com/joomcode/errorx"

	"cardamomward/io/http1"
)

var (
	errs = errorx.NewNamespace("relay")

	// ErrBusy is the type of errors of a host that does not relay now.
	ErrBusy = errs.NewType("busy")
	// ErrUnknownUpstream is the type of errors of a host that does not know the upstream.
	ErrUnknownUpstream = errs.NewType("unknown-upstream")
	// ErrUpstream is the type of errors of a host that cannot connect to the upstream either.
	ErrUpstream = errs.NewType("upstream")
)

// Dial connects to an upstream through the host that listens on an address. Reads from the connection return io.EOF only if the upstream
// has ended its bytes, not if the relay is lost.
func Dial(ctx context.Context, relay, upstream string) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: keepAlive}
	conn, err := dialer.DialContext(ctx, "tcp", relay)
	if err != nil {
		return nil, ErrBusy.Wrap(err, "connect to relay %s", relay)
	}
	framing, err := requestConnection(ctx, conn, relay, upstream)
	if err != nil {
		conn.Close()

		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	switch {
	case !ok:
		conn.Close()

		return nil, ErrBusy.New("the connection to relay %s is not a TCP connection", relay)
	case framing == lengthPrefixed:
		return newFramedConn(tcp), nil
	default:
		return rawConn{tcp}, nil
	}
}

// maxResponseBytes bounds the head of the response to a CONNECT request.
const maxResponseBytes = 4 << 10

// requestConnection requests a connection to an upstream and returns the framing of its bytes.
func requestConnection(ctx context.Context, conn net.Conn, relay, upstream string) (framing string, err error) {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	if _, err := fmt.Fprintf(conn, "CONNECT %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n\r\n", upstream, upstream, framingHeader, lengthPrefixed); err != nil {
		return "", ErrBusy.Wrap(err, "request a connection from relay %s", relay)
	}
	reader := bufio.NewReaderSize(conn, 512) //nolint:mnd // the response is short
	resp, err := http1.ReadResponse(reader, http.MethodConnect, maxResponseBytes)
	if err != nil {
		return "", ErrBusy.Wrap(err, "read the response of relay %s", relay)
	}
	switch {
	case resp.Status == http.StatusBadGateway:
		return "", ErrUpstream.New("relay %s cannot connect to %s", relay, upstream)
	case resp.Status == http.StatusForbidden:
		return "", ErrUnknownUpstream.New("relay %s does not know %s", relay, upstream)
	case resp.Status != http.StatusOK:
		return "", ErrBusy.New("relay %s responds with status %d", relay, resp.Status)
	case reader.Buffered() > 0 || !stop():
		return "", ErrBusy.Wrap(ctx.Err(), "relay %s responded too late or sent further bytes", relay)
	}

	return resp.Header.Get(framingHeader), nil
}
