package link

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"time"
)

// Fault is a fault of a link; the zero value is none.
type Fault struct {
	// Delay delays what passes, in each direction.
	Delay time.Duration
	// BytesPerSecond limits what passes in each direction; zero means unlimited.
	BytesPerSecond int
	// HoldsRequests and HoldsResponses stop what passes in a direction without a sign to either side. It arrives when the fault has ended,
	// as with a network that loses packets until TCP repeats them.
	HoldsRequests  bool
	HoldsResponses bool
	// Resets resets all connections and each new one.
	Resets bool
}

// Link is a proxy in front of a server.
type Link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	fault Fault
	// changed is closed and replaced when the fault changes.
	changed chan struct{}
	conns   map[net.Conn]struct{}
	// latest are the latest requests that were not safe to repeat, oldest first.
	latest   [][]byte
	isClosed bool
	pumps    sync.WaitGroup
}

const (
	chunkBytes = 16 << 10
	// minTrickleBytes is the size of the pieces that pass through a link with limited bandwidth.
	minTrickleBytes = 16
	// repeatedRequests and maxRepeatedBytes bound what Repeat sends again, and repeatTimeout how long it waits for a response.
	repeatedRequests = 4
	maxRepeatedBytes = 64 << 10
	repeatTimeout    = time.Second
	dialTimeout      = time.Second
)

// New starts a link to the server at an address.
func New(target string) (*Link, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{listener: listener, target: target, changed: make(chan struct{}), conns: make(map[net.Conn]struct{})}
	l.pumps.Go(l.accept)

	return l, nil
}

// Address returns the address at which the link listens.
func (l *Link) Address() string { return l.listener.Addr().String() }

// SetFault replaces the fault of the link.
func (l *Link) SetFault(fault Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = fault
	close(l.changed)
	l.changed = make(chan struct{})
	if fault.Resets {
		l.resetConns()
	}
}

// Close closes the link and its connections and waits for the end of their goroutines.
func (l *Link) Close() {
	l.mu.Lock()
	l.isClosed, l.fault = true, Fault{}
	close(l.changed)
	l.changed = make(chan struct{})
	l.resetConns()
	l.mu.Unlock()
	l.listener.Close() //nolint:errcheck // it is closed once
	l.pumps.Wait()
}

// resetConns resets all connections; the caller holds the lock.
func (l *Link) resetConns() {
	for conn := range l.conns {
		reset(conn)
	}
}

// reset closes a connection so that the other side gets a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0) //nolint:errcheck // the connection may have ended
	}
	conn.Close()
}

func (l *Link) accept() {
	for {
		client, err := l.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		l.pumps.Go(func() { l.serve(client) })
	}
}

// add tracks a connection and reports whether the link lets it pass.
func (l *Link) add(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isClosed || l.fault.Resets {
		reset(conn)

		return false
	}
	l.conns[conn] = struct{}{}

	return true
}

func (l *Link) remove(conn net.Conn) {
	conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}

func (l *Link) serve(client net.Conn) {
	if !l.add(client) {
		return
	}
	defer l.remove(client)
	server, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(context.Background(), "tcp4", l.target)
	if err != nil {
		reset(client)

		return
	}
	if !l.add(server) {
		return
	}
	defer l.remove(server)
	var directions sync.WaitGroup
	directions.Go(func() {
		l.pump(server, client, func(f Fault) bool { return f.HoldsRequests }, &recorder{link: l})
	})
	directions.Go(func() {
		l.pump(client, server, func(f Fault) bool { return f.HoldsResponses }, nil)
	})
	directions.Wait()
}

// pump passes on what arrives until a side ends, then ends the other one.
func (l *Link) pump(dst, src net.Conn, isHeld func(Fault) bool, requests *recorder) {
	chunk := make([]byte, chunkBytes)
	for {
		n, err := src.Read(chunk)
		fault := l.await(isHeld)
		if n > 0 && requests != nil {
			requests.record(chunk[:n])
		}
		if n > 0 && !passOn(dst, chunk[:n], fault) {
			break
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				reset(dst)
			}

			break
		}
	}
	if tcp, ok := dst.(*net.TCPConn); ok {
		tcp.CloseWrite() //nolint:errcheck // the connection may have ended
	}
}

// await waits until a direction is not held and returns the fault at that time.
func (l *Link) await(isHeld func(Fault) bool) Fault {
	for {
		l.mu.Lock()
		fault, changed := l.fault, l.changed
		l.mu.Unlock()
		if !isHeld(fault) {
			return fault
		}
		<-changed
	}
}

// passOn writes a chunk under a fault and reports whether it was written.
func passOn(dst net.Conn, chunk []byte, fault Fault) bool {
	time.Sleep(fault.Delay)
	part := len(chunk)
	if fault.BytesPerSecond > 0 {
		part = minTrickleBytes
	}
	for piece := range slices.Chunk(chunk, part) {
		if _, err := dst.Write(piece); err != nil {
			return false
		}
		if fault.BytesPerSecond > 0 {
			time.Sleep(time.Duration(len(piece)) * time.Second / time.Duration(fault.BytesPerSecond))
		}
	}

	return true
}

// recorder keeps the latest request of a connection for Repeat.
type recorder struct {
	link    *Link
	request []byte
}

// unsafeMethod begins the requests that Repeat sends again.
var unsafeMethod = []byte("POST ")

// record adds a chunk of a connection to its latest request. A client sends a request after the response to the one before, so that each
// begins in a chunk of its own.
func (r *recorder) record(chunk []byte) {
	isUnsafe := bytes.HasPrefix(chunk, unsafeMethod)
	if !isUnsafe && (r.request == nil || bytes.HasPrefix(chunk, []byte("GET "))) {
		r.request = nil

		return
	}
	r.link.mu.Lock()
	defer r.link.mu.Unlock()
	latest := &r.link.latest
	if isUnsafe {
		r.request = nil
	} else if i := slices.IndexFunc(*latest, func(b []byte) bool { return &b[0] == &r.request[0] }); i >= 0 {
		*latest = slices.Delete(*latest, i, i+1)
	}
	r.request = append(slices.Clone(r.request), chunk...)
	if len(r.request) <= maxRepeatedBytes {
		*latest = append(*latest, r.request)
		*latest = (*latest)[max(0, len(*latest)-repeatedRequests):]
	}
}

// Repeat sends the latest unsafe requests to the server again, as a network may that delivers old packets, and discards the responses. It
// returns the number of requests.
func (l *Link) Repeat(ctx context.Context) int {
	l.mu.Lock()
	latest := slices.Clone(l.latest)
	l.mu.Unlock()
	for _, request := range latest {
		conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp4", l.target)
		if err != nil {
			continue
		}
		conn.SetDeadline(time.Now().Add(repeatTimeout)) //nolint:errcheck // the write then fails
		if _, err := conn.Write(request); err == nil {
			conn.Read(make([]byte, 1)) //nolint:errcheck // the response is discarded
		}
		conn.Close()
	}

	return len(latest)
}
