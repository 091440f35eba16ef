package httpx

import (
	"sync"
	"time"

	"cardamomward/core/memorybudget"
)

const (
	// uncountedRequestBytes is what a request may hold without a reservation; most requests fit.
	uncountedRequestBytes = 8 << 10
	// idleCallerTimeout is the time without a read of a response after which its connection may be closed.
	idleCallerTimeout = 3 * time.Second
	// storageWait is the longest wait of a request of memorybudget.Storage for memory, during which it is not read, and storagePollInterval
	// how often it tries.
	storageWait         = time.Second
	storagePollInterval = 5 * time.Millisecond
)

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
// do not fit. The connections whose callers read nothing are closed first, the largest first, then those whose requests have been
// arriving longest.
func (m *MemoryBudget) Reserve(remote string, bytes int64) bool {
	return m.reserve(remote, bytes, false)
}

// ReserveResponse is Reserve for the response to a request, which can wait until young requests have arrived.
func (m *MemoryBudget) ReserveResponse(remote string, bytes int64) bool {
	return m.reserve(remote, bytes, true)
}

func (m *MemoryBudget) reserve(remote string, bytes int64, canWait bool) bool {
	for m != nil && !m.tryReserve(remote, bytes) {
		if !m.evictUnfinished(remote, canWait) {
			m.countRefusal(remote)

			return false
		}
	}

	return true
}

// evictUnfinished closes a connection whose request is not whole yet for one whose request is, and reports false if there is none.
func (m *MemoryBudget) evictUnfinished(remote string, canWait bool) bool {
	m.mu.Lock()
	c, open := m.byRemote[remote]
	m.mu.Unlock()

	return open && c.listener.budgetsRequests() && c.listener.intake.makeRoom(c, canWait)
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

// budgetedRequest is what the present request of a connection takes of the memory budget.
type budgetedRequest struct {
	class    memorybudget.Class
	hasClass bool
	// heldBytes are the bytes of the request's buffers, and reservedBytes what is reserved for them and their copies.
	heldBytes     int64
	reservedBytes int64
}

// requestMemory accounts for the buffers of a connection's request.
type requestMemory struct{ conn *conn }

// Reserve reserves bytes before they are allocated. Other connections are closed if necessary, those with the oldest unfinished requests
// first.
func (m requestMemory) Reserve(bytes int64) bool {
	c := m.conn
	if !c.listener.intake.reserve(c, bytes) {
		return false
	}
	if c.listener.budgetsRequests() {
		for !c.reserveBudgeted(bytes) {
			if c.class == memorybudget.Storage || !c.listener.intake.makeRoom(c, true) {
				c.listener.intake.release(c, bytes)
				c.memory.countRefusal(c.remoteAddr)

				return false
			}
		}
	}

	return true
}

// Release gives bytes back.
func (m requestMemory) Release(bytes int64) {
	c := m.conn
	c.listener.intake.release(c, bytes)
	if !c.listener.budgetsRequests() {
		return
	}
	c.heldBytes -= bytes
	if needed := c.budgetFor(c.heldBytes); needed < c.reservedBytes {
		c.memory.Release(c.remoteAddr, c.reservedBytes-needed)
		c.reservedBytes = needed
	}
}

// CanHold reports whether a body could fit if nothing else were held. A call between hosts always fits by itself.
func (m requestMemory) CanHold(bytes int64) bool {
	c := m.conn
	if _, limit := c.listener.intake.Usage(); bytes > limit {
		return false
	}
	if !c.listener.budgetsRequests() {
		return true
	}
	c.classify()
	if c.class == memorybudget.Calls || c.class == memorybudget.Storage {
		return true
	}
	_, limit, _ := c.memory.Usage()

	return c.budgetFor(bytes) <= limit
}

// budgetFor returns what is reserved for a request: nothing for a small one, else all copies of it.
func (c *conn) budgetFor(bytes int64) int64 {
	if bytes <= uncountedRequestBytes {
		return 0
	}

	return bytes * c.listener.bodyCopies()
}

// classify sets the class of the request once its head is known.
func (c *conn) classify() {
	if !c.hasClass && c.request.HasHead() && c.listener.classOf != nil {
		c.class, c.hasClass = c.listener.classOf(headPath(c.request.Head())), true
	}
}

// reserveBudgeted reserves bytes of the request and their copies.
func (c *conn) reserveBudgeted(bytes int64) bool {
	c.classify()
	needed := c.budgetFor(c.heldBytes + bytes)
	if needed > c.reservedBytes {
		if !c.reserveRequest(needed - c.reservedBytes) {
			return false
		}
		c.reservedBytes = needed
	}
	c.heldBytes += bytes

	return true
}

// reserveRequest reserves bytes of a request, which are not read yet. A request without which an answered turn does not become durable
// waits for memory, since only others of its kind can hold what it is guaranteed, and none for long.
func (c *conn) reserveRequest(bytes int64) bool {
	isReserved := c.memory.tryReserve(c.remoteAddr, bytes)
	for waitUntil := time.Now().Add(storageWait); !isReserved && c.class == memorybudget.Storage && time.Now().Before(waitUntil); {
		time.Sleep(storagePollInterval)
		isReserved = c.memory.tryReserve(c.remoteAddr, bytes)
	}

	return isReserved
}
