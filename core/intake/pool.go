package intake

import (
	"container/list"
	"time"
)

// Port identifies a listener of a process.
type Port int

// yieldAfter is the age from which an unfinished request is closed for another one. Younger ones are likely to be whole soon.
const yieldAfter = 250 * time.Millisecond

// Verdict says what becomes of a reservation.
type Verdict int

// Values of Verdict.
const (
	// Reserved means that the bytes are reserved.
	Reserved Verdict = iota
	// Evict means that another connection is to be closed first.
	Evict
	// Wait means that the bytes may soon be free.
	Wait
	// Refuse means that the bytes do not fit.
	Refuse
)

const (
	// largeBytes is the size above which a request is large, and smallShare the part of the limit that large ones leave to others.
	largeBytes = 64 << 10
	smallShare = 8
)

// stalledAfter is the time without progress of a response after which its connection may be closed for another one.
const stalledAfter = 3 * time.Second

// phase is what a connection does.
type phase int

const (
	// awaitingFirst connections have not sent a whole request yet, and awaitingNext ones wait for a further request.
	awaitingFirst phase = iota
	awaitingNext
	// receiving connections have sent a part of a request.
	receiving
	// handling connections wait for the response to a request.
	handling
	// writing connections wait for the client to read.
	writing
	// evicted connections are about to give back what they hold and to close, and refused ones to close.
	evicted
	refused
)

// entry is the account of a connection.
type entry[C comparable] struct {
	conn  C
	port  Port
	phase phase
	// since is the beginning of the phase; a connection keeps the time of its first byte, or of its accept, until its request is whole.
	since time.Time
	bytes int64
	// isYielding is set while an evicted connection has not given back the bytes of its unfinished request.
	isYielding bool
	// place and holder are those in the queues of the port and of the holders of unfinished requests; nil if it is in none.
	place, holder *list.Element
}

// isClosing reports whether the connection is about to close.
func (e *entry[C]) isClosing() bool { return e.phase == evicted || e.phase == refused }

// queues are the connections of a port that may be closed for others, the oldest of each phase first.
type queues struct {
	limit, count                int
	unfinished, waiting, stalls list.List
}

// Pool accounts for the connections of all ports of a process. It is not safe for use from many goroutines.
type Pool[C comparable] struct {
	limit, used int64
	// usedByLarge are the bytes of large requests.
	usedByLarge int64
	ports       map[Port]*queues
	entries     map[C]*entry[C]
	// yielding is the number of connections with isYielding.
	yielding int
	// holders are the connections with bytes of an unfinished request, the oldest first.
	holders list.List
}

// New returns a pool of some bytes.
func New[C comparable](limit int64) *Pool[C] {
	return &Pool[C]{limit: limit, ports: make(map[Port]*queues), entries: make(map[C]*entry[C])}
}

// SetMaxConns bounds the connections of a port.
func (p *Pool[C]) SetMaxConns(port Port, limit int) { p.port(port).limit = limit }

func (p *Pool[C]) port(port Port) *queues {
	if _, ok := p.ports[port]; !ok {
		p.ports[port] = &queues{}
	}

	return p.ports[port]
}

// Limit returns the bytes that may be held at the same time, and Used those that are held.
func (p *Pool[C]) Limit() int64 { return p.limit }

// Used returns the bytes that are held.
func (p *Pool[C]) Used() int64 { return p.used }

// Conns returns the number of connections of a port.
func (p *Pool[C]) Conns(port Port) int { return p.port(port).count }

// Add takes a new connection. If its port has too many, it returns the one to close first, if there is one: the connection that has taken
// longest for a request, then the one that has waited longest for a further request, then one whose client does not read. The new
// connection is refused if there is none.
func (p *Pool[C]) Add(now time.Time, port Port, conn C) (victim C, hasVictim, ok bool) {
	q := p.port(port)
	if q.limit > 0 && q.count >= q.limit {
		if victim, hasVictim = p.oldest(now, q); !hasVictim {
			return victim, false, false
		}
		p.MarkEvicted(victim)
	}
	e := &entry[C]{conn: conn, port: port, phase: awaitingFirst, since: now}
	p.entries[conn] = e
	q.count++
	e.place = q.unfinished.PushBack(e)

	return victim, hasVictim, true
}

// OldestConn returns the connection of a port to close when descriptors are short.
func (p *Pool[C]) OldestConn(now time.Time, port Port) (conn C, ok bool) {
	return p.oldest(now, p.port(port))
}

func (p *Pool[C]) oldest(now time.Time, q *queues) (conn C, ok bool) {
	for _, queue := range []*list.List{&q.unfinished, &q.waiting} {
		if first := queue.Front(); first != nil {
			return first.Value.(*entry[C]).conn, true
		}
	}
	if first := q.stalls.Front(); first != nil {
		if e := first.Value.(*entry[C]); now.Sub(e.since) >= stalledAfter {
			return e.conn, true
		}
	}

	return conn, false
}

// Begin notes the first byte of a request.
func (p *Pool[C]) Begin(now time.Time, conn C) {
	e, ok := p.entries[conn]
	if !ok || (e.phase != awaitingFirst && e.phase != awaitingNext) {
		return
	}
	q := p.port(e.port)
	if e.phase == awaitingNext {
		p.leave(e)
		e.since = now
		e.place = q.unfinished.PushBack(e)
	}
	e.phase = receiving
}

// Reserve takes bytes for the request of a connection. If they do not fit, the connection that has held an unfinished request longest is
// closed, once that has taken a while; it is refused if it is the one that asks. Large requests leave a part of the limit to others.
func (p *Pool[C]) Reserve(now time.Time, conn C, bytes int64) (victim C, verdict Verdict) {
	e, known := p.entries[conn]
	if !known || e.isClosing() {
		return victim, Refuse
	}
	if p.used+bytes > p.limit {
		return p.yield(now, e, e.phase != handling, func(*entry[C]) bool { return true })
	}
	if large := asLarge(e.bytes + bytes); large > 0 && p.usedByLarge-asLarge(e.bytes)+large > p.limit-p.limit/smallShare {
		return p.yield(now, e, e.phase != handling, func(other *entry[C]) bool { return asLarge(other.bytes) > 0 })
	}
	p.setBytes(e, e.bytes+bytes)
	if e.holder == nil && e.phase == receiving {
		e.holder = p.pushHolder(e)
	}

	return victim, Reserved
}

// yield returns which of the connections with unfinished requests that match yields to another one: the oldest, for one that can wait once it
// has taken a while. One is closed at a time, since its memory may be enough.
func (p *Pool[C]) yield(now time.Time, asking *entry[C], canWait bool, match func(*entry[C]) bool) (victim C, verdict Verdict) {
	var oldest *entry[C]
	holders := 0
	for place := p.holders.Front(); place != nil && holders < 2; place = place.Next() {
		if e := place.Value.(*entry[C]); match(e) {
			if holders++; oldest == nil {
				oldest = e
			}
		}
	}
	switch {
	case p.yielding > 0:
		return victim, Wait
	case holders == 0, holders == 1 && oldest == asking:
		return victim, Refuse
	case canWait && now.Sub(oldest.since) < yieldAfter:
		return victim, Wait
	case oldest == asking:
		return victim, Refuse
	default:
		return oldest.conn, Evict
	}
}

// Yield returns which connection of the same port yields to another one, of those that hold more than some bytes of an unfinished request. A
// request that is whole does not wait for one that is not, unless its own response can wait.
func (p *Pool[C]) Yield(now time.Time, conn C, bytes int64, canWait bool) (victim C, verdict Verdict) {
	own, known := p.entries[conn]
	if !known || own.isClosing() {
		return victim, Refuse
	}

	return p.yield(now, own, canWait || own.phase != handling, func(e *entry[C]) bool { return e.port == own.port && e.bytes > bytes })
}

// pushHolder adds a holder behind those whose requests began earlier, which is near the end in most cases.
func (p *Pool[C]) pushHolder(e *entry[C]) *list.Element {
	for other := p.holders.Back(); other != nil; other = other.Prev() {
		if !other.Value.(*entry[C]).since.After(e.since) {
			return p.holders.InsertAfter(e, other)
		}
	}

	return p.holders.PushFront(e)
}

// Release gives back bytes of a connection, at most those that it has.
func (p *Pool[C]) Release(conn C, bytes int64) {
	if e, ok := p.entries[conn]; ok {
		p.setBytes(e, e.bytes-min(bytes, e.bytes))
	}
}

// setBytes sets what a connection holds.
func (p *Pool[C]) setBytes(e *entry[C], bytes int64) {
	p.used += bytes - e.bytes
	p.usedByLarge += asLarge(bytes) - asLarge(e.bytes)
	e.bytes = bytes
}

// asLarge returns the bytes of a request if they make it a large one, else zero.
func asLarge(bytes int64) int64 {
	if bytes > largeBytes {
		return bytes
	}

	return 0
}

// Finish notes that a request has arrived whole, and reports false if its connection is to be closed.
func (p *Pool[C]) Finish(conn C) bool {
	e, ok := p.entries[conn]
	if !ok || e.isClosing() {
		return false
	}
	p.leave(e)
	e.phase = handling

	return true
}

// AwaitNext notes that the response to a request has been sent, which ends what the connection holds.
func (p *Pool[C]) AwaitNext(now time.Time, conn C) {
	e, ok := p.entries[conn]
	if !ok || e.isClosing() {
		return
	}
	p.leave(e)
	p.Release(conn, e.bytes)
	e.phase, e.since = awaitingNext, now
	e.place = p.port(e.port).waiting.PushBack(e)
}

// BeginWrite notes that a connection waits for its client to read, and EndWrite that it has read.
func (p *Pool[C]) BeginWrite(now time.Time, conn C) {
	if e, ok := p.entries[conn]; ok && e.phase == handling {
		e.phase, e.since = writing, now
		e.place = p.port(e.port).stalls.PushBack(e)
	}
}

// EndWrite notes that the client of a connection has read.
func (p *Pool[C]) EndWrite(conn C) {
	if e, ok := p.entries[conn]; ok && e.phase == writing {
		p.leave(e)
		e.phase = handling
	}
}

// MarkEvicted marks a connection that is about to close, so that no other one is closed in its place. What it holds counts until Remove.
func (p *Pool[C]) MarkEvicted(conn C) {
	if e, ok := p.entries[conn]; ok {
		// A handler may hold its request for a while after the connection has been closed.
		if e.phase == receiving && e.bytes > 0 {
			e.isYielding = true
			p.yielding++
		}
		p.leave(e)
		e.phase = evicted
	}
}

// endYielding notes that a connection has given back its bytes.
func (p *Pool[C]) endYielding(e *entry[C]) {
	if e.isYielding {
		e.isYielding = false
		p.yielding--
	}
}

// MarkRefused notes that a connection holds nothing any more and is about to close. Until then it is the first to be closed for others.
func (p *Pool[C]) MarkRefused(conn C) {
	e, ok := p.entries[conn]
	if !ok {
		return
	}
	p.leave(e)
	p.Release(conn, e.bytes)
	p.endYielding(e)
	e.phase = refused
	e.place = p.port(e.port).unfinished.PushFront(e)
}

// Remove forgets a connection that is closed.
func (p *Pool[C]) Remove(conn C) {
	e, ok := p.entries[conn]
	if !ok {
		return
	}
	p.leave(e)
	p.setBytes(e, 0)
	p.endYielding(e)
	p.port(e.port).count--
	delete(p.entries, conn)
}

// leave takes a connection out of the queues.
func (p *Pool[C]) leave(e *entry[C]) {
	q := p.port(e.port)
	if e.place != nil {
		switch e.phase {
		case awaitingFirst, receiving, refused:
			q.unfinished.Remove(e.place)
		case awaitingNext:
			q.waiting.Remove(e.place)
		case writing:
			q.stalls.Remove(e.place)
		case handling, evicted:
		}
	}
	if e.holder != nil {
		p.holders.Remove(e.holder)
	}
	e.place, e.holder = nil, nil
}
