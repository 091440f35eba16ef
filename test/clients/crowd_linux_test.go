package clients

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// crowdSize is the number of clients of a crowd, and rounds the number of crowds that follow each other at one process.
	crowdSize = 200
	rounds    = 2
	// sendTimeout bounds the time in which a client sends what it has, or waits for a response.
	sendTimeout = 8 * time.Second
	// ordinaryBytes is the body of an ordinary request, and largestBytes the limit of the configuration.
	ordinaryBytes = 20 << 10
	largestBytes  = 4 << 20
	// endlessBytes is what a client sends of something that has no end.
	endlessBytes = 2 << 20
	// settleTime is for the host to read what is still in the kernel's buffers.
	settleTime = 500 * time.Millisecond
	// writeBytes is the size of one write.
	writeBytes = 16 << 10
)

// head is the head of a request of a caller, without the empty line that ends it.
const head = "POST /look/x HTTP/1.1\r\nHost: agents.example\r\nRequest-Id: crowd\r\nAuthorization: Bearer secret\r\n"

// client sends what it has to send and returns. Its connection stays open until the whole crowd leaves.
type client func(conn net.Conn)

// repeat sends bytes again and again up to a total, in writes of writeBytes.
func repeat(conn net.Conn, text string, total int) {
	part := strings.Repeat(text, max(1, writeBytes/len(text)))
	for sent := 0; sent < total; sent += len(part) {
		if _, err := io.WriteString(conn, part); err != nil {
			return
		}
	}
}

// send returns a client that sends a text.
func send(text string) client {
	return func(conn net.Conn) {
		io.WriteString(conn, text) //nolint:errcheck // the host may close the connection
	}
}

// sendEndless returns a client that sends a text and then a part of it again and again.
func sendEndless(text, repeated string, total int) client {
	return func(conn net.Conn) {
		send(text)(conn)
		repeat(conn, repeated, total)
	}
}

// sendChunks returns a client that sends chunks of a size, but not the end of the body.
func sendChunks(size, total int) client {
	return sendEndless(head+"Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size)), total)
}

// stopShort returns a client that sends all of a body within the limits but its last byte.
func stopShort(framing string) client {
	const body = 1 << 20
	text := strings.Repeat("x", body-1)
	if framing == "chunked" {
		return send(head + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n", body) + text)
	}

	return send(head + "Content-Length: " + strconv.Itoa(body) + "\r\n\r\n" + text)
}

var (
	// Each client announces much more than it sends.
	announcedChunk  = send(head + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n", 15<<20) + strings.Repeat("x", 64<<10))
	announcedLength = send(head + "Content-Length: 15000000\r\n\r\n" + strings.Repeat("x", 64<<10))
	continued       = send(head + "Expect: 100-continue\r\nContent-Length: 4000000\r\n\r\n")

	endlessTrailer   = sendEndless(head+"Transfer-Encoding: chunked\r\n\r\n0\r\n", "Field: "+strings.Repeat("x", 100)+"\r\n", endlessBytes)
	longHead         = sendEndless(head, "Field: "+strings.Repeat("x", 100)+"\r\n", 60<<10)
	endlessHead      = sendEndless(head, "Field: "+strings.Repeat("x", 100)+"\r\n", endlessBytes)
	endlessLine      = sendEndless("GET /", "x", endlessBytes)
	endlessExtension = sendEndless(head+"Transfer-Encoding: chunked\r\n\r\n1;", "x", endlessBytes)
	emptyLines       = sendEndless("", "\r\n", endlessBytes)
	nothing          = send("")

	// askForStream sends a request for a stream and stays.
	askForStream = ask("/draft/x", "", "")
)

// ask returns a client that sends a whole request to a route, with further header fields and bytes behind it, and stays.
func ask(path, fields, behind string) client {
	return func(conn net.Conn) {
		send("POST " + path + " HTTP/1.1\r\nHost: agents.example\r\nRequest-Id: " + conn.LocalAddr().String() +
			"\r\nAuthorization: Bearer secret\r\nTime-Remaining-Ms: 20000\r\n" + fields + "Content-Length: 0\r\n\r\n" + behind)(conn)
	}
}

// beginPrograms returns a client that begins programs one after the other, and reads the responses.
func beginPrograms(count int) client {
	return func(conn net.Conn) {
		responses := bufio.NewReader(conn)
		for i := range count {
			program := fmt.Sprintf("%s-%d", conn.LocalAddr(), i)
			ask("/draft/x", "Program-Id: "+program+"\r\nSession-Id: "+program+
				"\r\nProgram-Time-Left: 5000\r\nToken-Budget: 1000\r\nToken-Usage: 500,100\r\nModel: m\r\n", "")(conn)
			resp, err := http.ReadResponse(responses, nil)
			if err != nil {
				return
			}
			io.Copy(io.Discard, resp.Body) //nolint:errcheck // the host may break it off
			resp.Body.Close()
		}
	}
}

// emptyFields returns the shortest header fields there are.
func emptyFields(count int) string { return strings.Repeat("a:\r\n", count) }

// distinctFields returns short header fields with different names.
func distinctFields(count int) string {
	var fields strings.Builder
	for i := range count {
		fmt.Fprintf(&fields, "a%x:\r\n", i)
	}

	return fields.String()
}

// completeAndStay sends a large request, reads the response and stays.
func completeAndStay(conn net.Conn) {
	const body = 600 << 10
	send(head + "Content-Length: " + strconv.Itoa(body) + "\r\n\r\n" + strings.Repeat("x", body))(conn)
	if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
		io.Copy(io.Discard, resp.Body) //nolint:errcheck // the host may refuse the request
		resp.Body.Close()
	}
}

// pipeline sends complete requests without reading responses.
func pipeline(conn net.Conn) {
	repeat(conn, head+"Content-Length: 1000\r\n\r\n"+strings.Repeat("x", 1000), endlessBytes)
}

// askOnly sends complete requests to the directory without reading responses.
func askOnly(conn net.Conn) {
	const requests = 512 << 10
	conn.(*net.TCPConn).SetReadBuffer(4 << 10) //nolint:errcheck // a larger buffer only takes more responses
	repeat(conn, "GET /resolve?name=agents.example HTTP/1.1\r\nHost: agents.example\r\n\r\n", requests)
}

// crowd is what clients that do not behave do to a host.
type crowd struct {
	hostOptions

	// size is the number of clients at each address; zero means crowdSize.
	size int
	// addresses returns the addresses of the host to which the clients connect.
	addresses func(h *host) []string
	client    client
	// sendsLargest is set if a request with the largest body is sent beside the crowd, too.
	sendsLargest bool
}

func atCallers(h *host) []string   { return []string{h.settings.CallerAddress} }
func atDirectory(h *host) []string { return []string{h.settings.ResolveAddress} }
func atReadiness(h *host) []string { return []string{h.settings.ReadinessAddress} }
func atMetrics(h *host) []string   { return []string{h.metrics} }
func atPeers(h *host) []string     { return []string{h.peerAddress(0)} }
func atRelay(h *host) []string     { return []string{h.peerAddress(1)} }

func atAll(h *host) []string {
	return []string{h.settings.CallerAddress, h.settings.ResolveAddress, h.settings.ReadinessAddress, h.metrics, h.peerAddress(0), h.peerAddress(1)}
}

func (h *host) peerAddress(i int) string {
	return net.JoinHostPort(h.settings.IP, strconv.Itoa(h.settings.PeerPorts[i]))
}

// run sends the crowd to a host several times, and requires that the host stays within its limits and serves ordinary requests beside
// the crowd and after it.
func (c crowd) run(t *testing.T) {
	t.Helper()
	h := startHost(t, c.hostOptions)
	files := c.files
	if files == 0 {
		files = hostFiles
	}
	h.requireWithinBounds(files, "before the crowd")
	for round := range rounds {
		leave := c.arrive(t, h)
		h.requireWithinBounds(files, fmt.Sprintf("in round %d", round))
		h.requireServes(fmt.Sprintf("in round %d", round))
		if c.sendsLargest {
			status, err := h.lookUp(strings.Repeat("x", largestBytes))
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status, "the largest body in round %d", round)
		}
		leave()
		h.requireServes(fmt.Sprintf("after round %d", round))
		h.requireWithinBounds(files, fmt.Sprintf("after round %d", round))
	}
}

// arrive connects the crowd, waits until each client has sent what it has, and returns a function that closes all connections.
func (c crowd) arrive(t *testing.T, h *host) (leave func()) {
	t.Helper()
	size := c.size
	if size == 0 {
		size = crowdSize
	}
	var mu sync.Mutex
	var conns []net.Conn
	var clients sync.WaitGroup
	for _, address := range c.addresses(h) {
		for range size {
			clients.Go(func() {
				conn, err := net.DialTimeout("tcp4", address, sendTimeout)
				if err != nil {
					return
				}
				mu.Lock()
				conns = append(conns, conn)
				mu.Unlock()
				conn.SetDeadline(time.Now().Add(sendTimeout)) //nolint:errcheck // a client that is not read gives up
				c.client(conn)
			})
		}
	}
	clients.Wait()
	time.Sleep(settleTime)

	return func() {
		for _, conn := range conns {
			conn.Close()
		}
	}
}
