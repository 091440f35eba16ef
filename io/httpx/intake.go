package httpx

import (
	"sync"
	"time"

	"cardamomward/core/intake"
)

const (
	// defaultIntakeBytes bounds the requests of a server without an Intake, in bytes.
	defaultIntakeBytes = 64 << 20
	// roomPollInterval is how often a connection tries again that waits for others.
	roomPollInterval = 2 * time.Millisecond
)

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
		i.pool.MarkEvicted(victim)
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
		victim, verdict := i.pool.Reserve(i.Now(), c, bytes)
		if verdict == intake.Evict {
			i.pool.MarkEvicted(victim)
		}
		i.mu.Unlock()
		if verdict == intake.Reserved {
			return true
		}
		if !c.followVerdict(victim, verdict) {
			return false
		}
	}
}

// makeRoom closes the connection of the same port with the oldest unfinished request of those that the memory budget counts, or waits for one
// to be whole. It reports false if there is nothing to wait for.
func (i *Intake) makeRoom(c *conn, canWait bool) bool {
	i.mu.Lock()
	victim, verdict := i.pool.Yield(i.Now(), c, uncountedRequestBytes, canWait)
	if verdict == intake.Evict {
		i.pool.MarkEvicted(victim)
	}
	i.mu.Unlock()

	return c.followVerdict(victim, verdict)
}

// followVerdict waits until there may be room, and reports false if there will be none for this connection.
func (c *conn) followVerdict(victim *conn, verdict intake.Verdict) bool {
	switch verdict {
	case intake.Evict:
		victim.evict()

		return c.waitFor(victim.freed, nil)
	case intake.Wait:
		timer := time.NewTimer(roomPollInterval)
		defer timer.Stop()

		return c.waitFor(nil, timer.C)
	case intake.Reserved, intake.Refuse:
	}

	return false
}

// waitFor waits for one of the events, and reports false if the connection is evicted meanwhile.
func (c *conn) waitFor(freed <-chan struct{}, passed <-chan time.Time) bool {
	select {
	case <-freed:
		return true
	case <-passed:
		return true
	case <-c.evicted:
		return false
	}
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
