package relay

import (
	"container/list"
	"net"
	"sync"
)

// unacceptedConns are the connections whose request is awaited, the oldest first. Its zero value is empty.
type unacceptedConns struct {
	mu     sync.Mutex
	queue  list.List
	places map[net.Conn]*list.Element
}

// add adds a connection, and closes the oldest one if there are more than the limit. Whoever sends nothing cannot keep other hosts out.
func (u *unacceptedConns) add(conn net.Conn, limit int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.places == nil {
		u.places = make(map[net.Conn]*list.Element)
	}
	u.places[conn] = u.queue.PushBack(conn)
	if limit <= 0 || u.queue.Len() <= limit {
		return
	}
	oldest := u.queue.Remove(u.queue.Front()).(net.Conn)
	delete(u.places, oldest)
	oldest.Close()
}

// remove removes a connection whose request has arrived, or which has ended.
func (u *unacceptedConns) remove(conn net.Conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if place, ok := u.places[conn]; ok {
		u.queue.Remove(place)
		delete(u.places, conn)
	}
}
