package httpx

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"cardamomward/core/memorybudget"
)

const (
	// uncountedRequestBytes is what a connection may read of a request without a reservation; the header of most requests fits.
	uncountedRequestBytes = 8 << 10
	// writeChunkBytes is the size of the parts in which a response is written, to notice that its caller reads.
	writeChunkBytes = 64 << 10
	// idleCallerTimeout is the time without a read of a response after which its connection may be closed.
	idleCallerTimeout = 3 * time.Second
	// refusalTimeout bounds how long a refused body is read and dropped, so that the caller receives the refusal before its
	// connection is reset.
	refusalTimeout = 500 * time.Millisecond
	// storageWait is the longest wait of a request of memorybudget.Storage for memory, during which it is not read, and storagePollInterval
	// how often it tries.
	storageWait         = time.Second
	storagePollInterval = 5 * time.Millisecond
	// dropBufferBytes is the size of the buffer for dropped bodies.
	dropBufferBytes = 4 << 10
)

// refusalBody and refusalRetryAfter are those of the response to a request whose body does not fit into the budget. It is sent before the
// body is read.
const (
	refusalBody       = "{\"error\":\"no-memory\"}\n"
	refusalRetryAfter = "0.500"
)

// errOverBudget ends a connection whose request does not fit into the budget.
var errOverBudget = errors.New("the request does not fit into the memory budget")

// MemoryBudget bounds the bytes that are held for the connections of a server; it may be used from many goroutines. A nil
// *MemoryBudget has no bound.
type MemoryBudget struct {
	// Now returns the present time.
	Now func() time.Time
	// OnIdleClosed is called with the bytes of a connection that was closed since its caller read nothing; it may be nil.
	OnIdleClosed func(remote string, bytes int64)

	mu         sync.Mutex
	budget     memorybudget.Budget
	lastHolder memorybudget.Holder
	conns      map[memorybudget.Holder]*conn
	byRemote   map[string]*conn
	refused    int64
}

// NewMemoryBudget returns a budget of some bytes.
func NewMemoryBudget(limit int64, now func() time.Time) *MemoryBudget {
	return &MemoryBudget{
		Now: now, budget: memorybudget.New(limit), conns: make(map[memorybudget.Holder]*conn), byRemote: make(map[string]*conn),
	}
}

// Guarantee keeps bytes free for a class; it is called before the budget is used.
func (m *MemoryBudget) Guarantee(class memorybudget.Class, bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Guarantee(class, bytes)
}

// Hold reserves bytes that belong to no connection of a server, and returns a function that gives them back; it reports false if they
// do not fit. Bytes of memorybudget.Storage are those of a turn in memory, and are reserved whether they fit or not.
func (m *MemoryBudget) Hold(class memorybudget.Class, bytes int64) (release func(), ok bool) {
	if m == nil || bytes <= 0 {
		return func() {}, true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastHolder++
	holder := m.lastHolder
	if class == memorybudget.Storage {
		m.budget.Add(class, holder, bytes)
	} else if !m.budget.Reserve(class, holder, bytes) {
		m.refused++

		return func() {}, false
	}

	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.budget.ReleaseAll(holder)
	}, true
}

// Reserve reserves bytes for the connection from a remote address until its response has been written, and reports false if they
// do not fit. The connections whose callers read nothing are closed first, the largest first.
func (m *MemoryBudget) Reserve(remote string, bytes int64) bool {
	if m == nil || m.tryReserve(remote, bytes) {
		return true
	}
	m.countRefusal(remote)

	return false
}

// countRefusal counts a refused reservation, unless the connection has been closed.
func (m *MemoryBudget) countRefusal(remote string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, open := m.byRemote[remote]; open {
		m.refused++
	}
}

// tryReserve is Reserve for a caller that may try again.
func (m *MemoryBudget) tryReserve(remote string, bytes int64) bool {
	for {
		m.mu.Lock()
		c, ok := m.byRemote[remote]
		if !ok || m.budget.Reserve(c.class, c.holder, bytes) {
			m.mu.Unlock()

			return ok
		}
		idle, found := m.largestIdle(c)
		if !found {
			m.mu.Unlock()

			return false
		}
		held := m.budget.Held(idle.holder)
		m.mu.Unlock()
		idle.Close() //nolint:errcheck // the connection is given up
		if m.OnIdleClosed != nil {
			m.OnIdleClosed(idle.remoteAddr, held)
		}
	}
}

// Add counts bytes that the connection from a remote address holds already, whether they fit or not.
func (m *MemoryBudget) Add(remote string, bytes int64) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if c, ok := m.byRemote[remote]; ok {
		m.budget.Add(c.class, c.holder, bytes)
	}
}

// largestIdle returns the connection to close; the caller holds the lock.
func (m *MemoryBudget) largestIdle(except *conn) (*conn, bool) {
	holder, ok := m.budget.LargestIdle(except.class, m.Now(), idleCallerTimeout)
	if !ok || holder == except.holder {
		return nil, false
	}

	return m.conns[holder], true
}

// Release gives bytes of a connection back before its response has been written.
func (m *MemoryBudget) Release(remote string, bytes int64) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if c, ok := m.byRemote[remote]; ok {
		m.budget.Release(c.holder, bytes)
	}
}

// UsedBy returns the bytes that are held for a class.
func (m *MemoryBudget) UsedBy(class memorybudget.Class) int64 {
	if m == nil {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.budget.UsedBy(class)
}

// Usage returns the bytes that are held, the limit, and how many reservations have been refused.
func (m *MemoryBudget) Usage() (used, limit, refused int64) {
	if m == nil {
		return 0, 0, 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.budget.Used(), m.budget.Limit(), m.refused
}

func (m *MemoryBudget) add(c *conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastHolder++
	c.holder = m.lastHolder
	m.conns[c.holder], m.byRemote[c.remoteAddr] = c, c
}

func (m *MemoryBudget) remove(c *conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.ReleaseAll(c.holder)
	delete(m.conns, c.holder)
	if m.byRemote[c.remoteAddr] == c {
		delete(m.byRemote, c.remoteAddr)
	}
}

// endResponse gives back what a connection holds once its response has been written.
func (m *MemoryBudget) endResponse(c *conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.ReleaseAll(c.holder)
}

func (m *MemoryBudget) setWaiting(c *conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, open := m.conns[c.holder]; open {
		m.budget.SetWaiting(m.Now(), c.holder)
	}
}

func (m *MemoryBudget) setProgress(c *conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.SetProgress(c.holder)
}

// budgetedConn is the part of a connection that counts toward the memory budget. A connection is read by one goroutine at a time.
type budgetedConn struct {
	holder memorybudget.Holder
	// class is that of the present request.
	class memorybudget.Class
	// readBytes were read of the present request, and reservedBytes are reserved for it.
	readBytes     int64
	reservedBytes int64
	// head is the read part of the present request's head.
	head requestHead
}

// trackHandler marks connections while their requests are handled. The server reads from them meanwhile to detect that the
// caller disconnects, which does not end the response.
func (m *MemoryBudget) trackHandler(ctx context.Context, request *app.RequestContext) {
	m.mu.Lock()
	c, ok := m.byRemote[request.RemoteAddr().String()]
	m.mu.Unlock()
	if ok {
		c.isHandled.Store(true)
		defer c.isHandled.Store(false)
	}
	request.Next(ctx)
}

// readBudgeted reads a part of a request. The server's buffer is as large as the rest of a body whose length is known, so that a
// body that does not fit is refused before it is read; others are refused when they exceed the budget.
func (c *conn) readBudgeted(p []byte) (int, error) {
	if !c.isHandled.Load() && c.hasWritten.Swap(false) {
		c.memory.endResponse(c)
		c.readBytes, c.reservedBytes = 0, 0
		c.head.reset()
	}
	if c.readBytes == 0 {
		// The server offers the buffer of an earlier body, which is not reserved while the connection is idle.
		p = p[:min(len(p), uncountedRequestBytes)]
	}
	needed := c.readBytes + int64(len(p))
	if needed > uncountedRequestBytes {
		needed *= c.listener.bodyCopies()
	}
	if needed > uncountedRequestBytes && needed > c.reservedBytes {
		if !c.reserveRequest(needed - c.reservedBytes) {
			c.refuse()

			return 0, errOverBudget
		}
		c.reservedBytes = needed
	}
	n, err := c.Conn.Read(p)
	c.readBytes += int64(n)
	if c.head.add(p[:n]) && c.listener.classOf != nil {
		c.class = c.listener.classOf(c.head.path())
	}

	return n, err
}

// reserveRequest reserves bytes of a request, which are not read yet. A request without which an answered turn does not become durable
// waits for memory, since only others of its kind can hold what it is guaranteed, and none for long.
func (c *conn) reserveRequest(bytes int64) bool {
	if c.class != memorybudget.Storage {
		return c.memory.Reserve(c.remoteAddr, bytes)
	}
	for waitUntil := time.Now().Add(storageWait); !c.memory.tryReserve(c.remoteAddr, bytes); {
		if !time.Now().Before(waitUntil) {
			c.memory.countRefusal(c.remoteAddr)

			return false
		}
		time.Sleep(storagePollInterval)
	}

	return true
}

// refuse sends the refusal, and drops what the caller still sends for a short time.
func (c *conn) refuse() {
	c.SetDeadline(time.Now().Add(refusalTimeout)) //nolint:errcheck // the connection is about to end
	if _, err := c.Conn.Write(c.encodeRefusal()); err != nil {
		return
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.CloseWrite() //nolint:errcheck // the connection is about to end
	}
	buf := make([]byte, dropBufferBytes)
	for {
		if _, err := c.Conn.Read(buf); err != nil {
			return
		}
	}
}

// encodeRefusal returns the refusal of the present request.
func (c *conn) encodeRefusal() []byte {
	header := http.Header{}
	if c.listener.refusalHeader != nil {
		header = c.listener.refusalHeader(c.head.fields())
	}
	header.Set("Retry-After", refusalRetryAfter)
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(refusalBody)))
	header.Set("Connection", "close")
	var response bytes.Buffer
	response.WriteString("HTTP/1.1 503 Service Unavailable\r\n")
	header.Write(&response) //nolint:errcheck // a buffer takes all bytes
	response.WriteString("\r\n" + refusalBody)

	return response.Bytes()
}

// writeBudgeted writes a part of a response and notes whether its caller reads.
func (c *conn) writeBudgeted(p []byte) (int, error) {
	if !bytes.Equal(p, continueResponse) {
		c.hasWritten.Store(true)
	}
	written := 0
	for {
		c.memory.setWaiting(c)
		n, err := c.Conn.Write(p[:min(len(p), writeChunkBytes)])
		c.memory.setProgress(c)
		written += n
		if p = p[n:]; err != nil || len(p) == 0 {
			return written, err
		}
	}
}
