package httpx

import (
	"sync"
	"time"

	"cardamomward/core/intake"
)

// defaultIntakeBytes bounds the requests of a server without an Intake, in bytes.
const defaultIntakeBytes = 64 << 20

// Intake bounds what the servers of a process hold for requests, from their first byte until their responses have been sent. It may be used
// from many goroutines.
type Intake struct {
	// Now returns the present time.
	Now func() time.Time

	mu       sync.Mutex
	pool     *intake.Pool[*conn]
	lastPort intake.Port
}

// NewIntake returns an intake with some bytes for requests.
func NewIntake(bytes int64, now func() time.Time) *Intake {
	return &Intake{Now: now, pool: intake.New[*conn](bytes)}
}

// Usage returns the bytes that are held for requests, and their limit.
func (i *Intake) Usage() (used, limit int64) {
	i.mu.Lock()
	defer i.mu.Unlock()

	return i.pool.Used(), i.pool.Limit()
}

// addPort returns a port for up to maxConns connections.
func (i *Intake) addPort(maxConns int) intake.Port {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lastPort++
	i.pool.SetMaxConns(i.lastPort, maxConns)

	return i.lastPort
}

// add takes a new connection and closes another one for it if necessary. It reports false if there is no place.
func (i *Intake) add(port intake.Port, c *conn) bool {
	i.mu.Lock()
	victim, hasVictim, ok := i.pool.Add(i.Now(), port, c)
	i.mu.Unlock()
	if hasVictim {
		victim.closeForOthers()
	}

	return ok
}

// closeOldest closes the oldest connection of a port that may be closed for others, and reports whether there was one.
func (i *Intake) closeOldest(port intake.Port) bool {
	i.mu.Lock()
	victim, ok := i.pool.OldestConn(i.Now(), port)
	if ok {
		i.pool.Evict(victim)
	}
	i.mu.Unlock()
	if ok {
		victim.closeForOthers()
	}

	return ok
}

// reserve takes bytes for the request of a connection. Connections with older unfinished requests are closed if necessary.
func (i *Intake) reserve(c *conn, bytes int64) bool {
	for {
		i.mu.Lock()
		victim, hasVictim, ok := i.pool.Reserve(c, bytes)
		if hasVictim {
			i.pool.Evict(victim)
		}
		i.mu.Unlock()
		if ok || !hasVictim || !c.awaitEviction(victim) {
			return ok
		}
	}
}

// evictOldestHolder closes the connection of the same port with the oldest unfinished request, and reports false if it is the one that asks.
func (i *Intake) evictOldestHolder(c *conn) bool {
	i.mu.Lock()
	victim, ok := i.pool.OldestHolderOfPort(c)
	if ok {
		i.pool.Evict(victim)
	}
	i.mu.Unlock()

	return ok && c.awaitEviction(victim)
}

// closeForOthers closes a connection whose descriptor is needed. It gets a short time to tell its client.
func (c *conn) closeForOthers() {
	c.evict()
	timer := time.NewTimer(evictedRefusalTimeout)
	defer timer.Stop()
	select {
	case <-c.closed:
	case <-timer.C:
		c.Close() //nolint:errcheck // the connection is given up
	}
}

// awaitEviction evicts another connection and waits until it has given back its memory. It reports false if this one is evicted meanwhile.
func (c *conn) awaitEviction(victim *conn) bool {
	victim.evict()
	select {
	case <-victim.freed:
		return true
	case <-c.evicted:
		return false
	}
}

// release gives back bytes of a connection.
func (i *Intake) release(c *conn, bytes int64) {
	i.do(func(pool *intake.Pool[*conn]) { pool.Release(c, bytes) })
}

// remove forgets a connection that is closed.
func (i *Intake) remove(c *conn) {
	i.do(func(pool *intake.Pool[*conn]) { pool.Remove(c) })
}

// finish notes that a request has arrived whole, and reports false if its connection is to be closed.
func (i *Intake) finish(c *conn) bool {
	i.mu.Lock()
	defer i.mu.Unlock()

	return i.pool.Finish(c)
}

// do runs an operation of the pool that closes no connection.
func (i *Intake) do(operation func(pool *intake.Pool[*conn])) {
	i.mu.Lock()
	defer i.mu.Unlock()
	operation(i.pool)
}
