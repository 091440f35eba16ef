package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"cardamomward/core/id"
	"cardamomward/core/traffic"
	"cardamomward/io/tcp"
)

const (
	// requestTimeout bounds the arrival of a CONNECT request, and maxRequestBytes its size.
	requestTimeout  = time.Second
	maxRequestBytes = 4 << 10
	// dialTimeout bounds the connection to the upstream.
	dialTimeout = 300 * time.Millisecond
	// copyBufferBytes is the size of the buffer of each direction of a connection.
	copyBufferBytes = 4 << 10
)

// keepAlive detects dead peers within a few seconds.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// Server relays connections of other hosts to upstreams.
type Server struct {
	// Dial connects to an upstream on this host's own links; connections are never relayed twice.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// IsAvailable reports whether this host accepts further connections, and DomainOfAddress returns the failure domain of the
	// registered upstream at an address, and false if there is none.
	IsAvailable     func() bool
	DomainOfAddress func(address string) (id.FailureDomain, bool)
	// IsEvacuated reports whether a failure domain is evacuated: its upstreams get no new requests, neither on new connections
	// nor on open ones. The host at the other end may not know of the evacuation.
	IsEvacuated func(domain id.FailureDomain) bool
	// MaxConns limits the connections that are relayed at the same time.
	MaxConns int
	// MaxUnaccepted limits the connections whose CONNECT request is awaited; zero means no limit.
	MaxUnaccepted int
	// Reserve reserves the memory of a connection, and returns a function that gives it back; it reports false if there is none. Nil
	// reserves nothing.
	Reserve func() (release func(), ok bool)
	// PeerCounter and UpstreamCounter return the counters of the bytes of the two ends of a relayed connection; nil count nothing.
	PeerCounter     func(remote net.Addr) *traffic.Counter
	UpstreamCounter func(address string) *traffic.Counter
	Logger          logr.Logger

	connCount  atomic.Int64
	conns      sync.WaitGroup
	unaccepted unacceptedConns
}

// ConnCount returns the number of connections that are relayed now.
func (s *Server) ConnCount() int { return int(s.connCount.Load()) }

// Serve relays the connections of a listener until ctx ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) {
	stop := context.AfterFunc(ctx, func() { listener.Close() }) //nolint:errcheck // the listener is not used any more
	defer stop()
	defer s.conns.Wait()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.Logger.Error(err, "relay-accept-failed")
			time.Sleep(requestTimeout)

			continue
		}
		s.unaccepted.add(conn, s.MaxUnaccepted)
		s.conns.Go(func() { s.serveConn(ctx, conn) })
	}
}

func (s *Server) serveConn(ctx context.Context, caller net.Conn) {
	defer caller.Close()
	defer s.unaccepted.remove(caller)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(ctx, func() { caller.Close() })()
	enableKeepAlive(caller)
	if err := caller.SetDeadline(time.Now().Add(requestTimeout)); err != nil {
		return
	}
	head := &io.LimitedReader{R: caller, N: maxRequestBytes}
	req, err := http.ReadRequest(bufio.NewReaderSize(head, 512)) //nolint:mnd // a CONNECT request is short
	if err != nil {
		return
	}
	upstream, status := s.connect(ctx, req)
	s.unaccepted.remove(caller)
	if upstream == nil {
		fmt.Fprintf(caller, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))

		return
	}
	defer upstream.releasePlace()
	defer upstream.Close()
	defer context.AfterFunc(ctx, func() { upstream.Close() })()
	isFramed, framing := req.Header.Get(framingHeader) == lengthPrefixed, ""
	if isFramed {
		framing = framingHeader + ": " + lengthPrefixed + "\r\n"
	}
	if _, err := fmt.Fprintf(caller, "HTTP/1.1 %d %s\r\n%s\r\n", status, http.StatusText(status), framing); err != nil {
		return
	}
	if err := caller.SetDeadline(time.Time{}); err != nil {
		return
	}
	splice(s.countPeer(caller), s.countUpstream(upstream, req.Host), isFramed, func() bool { return s.IsEvacuated(upstream.domain) })
}

func (s *Server) countPeer(conn net.Conn) end {
	if s.PeerCounter == nil {
		return end{Conn: conn}
	}

	return end{Conn: conn, counter: s.PeerCounter(conn.RemoteAddr())}
}

func (s *Server) countUpstream(conn net.Conn, address string) end {
	if s.UpstreamCounter == nil {
		return end{Conn: conn}
	}

	return end{Conn: conn, counter: s.UpstreamCounter(address)}
}

// end is one end of a relayed connection, with the counter of its bytes.
type end struct {
	net.Conn

	counter *traffic.Counter
}

// upstreamConn is a connection to an upstream of a failure domain, which holds a place until releasePlace is called.
type upstreamConn struct {
	net.Conn

	domain       id.FailureDomain
	releasePlace func()
}

// connect connects to the upstream of a CONNECT request, or returns the status of the refusal. A connection counts as relayed.
func (s *Server) connect(ctx context.Context, req *http.Request) (*upstreamConn, int) {
	address := req.Host
	domain, isUpstream := s.DomainOfAddress(address)
	switch {
	case req.Method != http.MethodConnect:
		return nil, http.StatusMethodNotAllowed
	case !s.IsAvailable():
		return nil, http.StatusServiceUnavailable
	case !isUpstream || s.IsEvacuated(domain):
		return nil, http.StatusForbidden
	}
	releasePlace, ok := s.acquirePlace(address)
	if !ok {
		return nil, http.StatusServiceUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	upstream, err := s.Dial(ctx, address)
	if err != nil {
		releasePlace()
		s.Logger.Info("relay-dial-failed", "address", address, "error", err)

		return nil, http.StatusBadGateway
	}
	enableKeepAlive(upstream)

	return &upstreamConn{Conn: tcp.NewConn(upstream), domain: domain, releasePlace: releasePlace}, http.StatusOK
}

// acquirePlace takes a place and the memory for a connection to an address, and returns a function that gives them back.
func (s *Server) acquirePlace(address string) (release func(), ok bool) {
	releasePlace := func() { s.connCount.Add(-1) }
	if s.connCount.Add(1) > int64(s.MaxConns) {
		releasePlace()
		s.Logger.Info("relay-full", "address", address, "conns", s.MaxConns)

		return nil, false
	}
	if s.Reserve == nil {
		return releasePlace, true
	}
	releaseMemory, ok := s.Reserve()
	if !ok {
		releasePlace()
		s.Logger.Info("relay-no-memory", "address", address, "conns", s.ConnCount())

		return nil, false
	}

	return func() { releaseMemory(); releasePlace() }, true
}

// copyBytes copies until the end or an error. It hides the connections' other methods, since their splice(2) is not available
// everywhere.
func copyBytes(dst io.Writer, src io.Reader) error {
	_, err := io.CopyBuffer(dst, src, make([]byte, copyBufferBytes))

	return err
}

// copyFrames copies as frames until the end, which it marks, or an error.
func copyFrames(dst io.Writer, src io.Reader) error {
	frames := &frameWriter{Writer: dst}
	if err := copyBytes(frames, src); err != nil {
		return err
	}

	return frames.end()
}

// countingWriter counts the bytes that are sent to an end.
type countingWriter struct{ end end }

func (w countingWriter) Write(p []byte) (int, error) {
	n, err := w.end.Write(p)
	w.end.counter.AddSent(n)

	return n, err
}

// countingReader counts the bytes that are received from an end.
type countingReader struct{ end end }

func (r countingReader) Read(p []byte) (int, error) {
	n, err := r.end.Read(p)
	r.end.counter.AddReceived(n)

	return n, err
}

func enableKeepAlive(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetKeepAliveConfig(keepAlive) //nolint:errcheck // the connection works without it
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0) //nolint:errcheck // Close ends the connection in any case
	}
	conn.Close()
}

func closeWrite(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		conn.Close()
	}
}
