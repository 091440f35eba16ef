package aggregate

import (
	"slices"

	"cardamomward/core/id"
)

// Kind says what a message is for.
type Kind string

// Kinds of messages between neighbours.
const (
	// Probe asks for the aggregate of the sender's side of the tree.
	Probe Kind = "probe"
	// Response answers a probe and may grant a lease.
	Response Kind = "response"
	// Update tells a lease holder of a change.
	Update Kind = "update"
	// Release gives a lease back.
	Release Kind = "release"
)

// Message is sent from a host to a neighbour in the tree.
type Message[V any] struct {
	From id.Host
	To   id.Host
	Kind Kind
	// Value is the aggregate of the sender's side of the tree, in a response or an update.
	Value V
	// Leased says that a response grants a lease.
	Leased bool
	// Number counts a sender's updates; in a release it is that of the first update that nobody read.
	Number uint64
}

// Policy decides when leases are granted and given back.
type Policy struct {
	// Grant is false where every read asks the whole tree.
	Grant bool
	// UnreadWrites is how many writes without a read end a lease; zero keeps it for ever.
	UnreadWrites int
}

// Policies that the paper compares.
var (
	// OnDemand asks the whole tree at each read.
	OnDemand = Policy{}
	// Always keeps each lease once it was granted.
	Always = Policy{Grant: true}
	// RWW grants a lease at a read and ends it after two writes in a row.
	RWW = Policy{Grant: true, UnreadWrites: 2}
)

// maxUnread bounds the updates that are remembered where the policy sets no bound.
const maxUnread = 1

// neighbour is what a node keeps of one neighbour.
type neighbour[V any] struct {
	host id.Host
	// taken is set while this node holds a lease from the neighbour, granted while the neighbour holds one.
	taken   bool
	granted bool
	value   V
	// unread are the latest updates of the neighbour that no read has followed, oldest first.
	unread []unread
	// probed is set while an answer of the neighbour is due.
	probed bool
}

// unread is an update that was received and, under another number, passed on.
type unread struct {
	received uint64
	sent     uint64
}

// Node is one host's part of the aggregate; it decides, and the caller carries the messages.
type Node[V any] struct {
	self       id.Host
	policy     Policy
	combine    func(V, V) V
	value      V
	neighbours []neighbour[V]
	// pending lists the neighbours whose probes wait for others' answers.
	pending []int
	reading bool
	updates uint64
	out     []Message[V]
}

// New returns a node whose value is zero, which combine must treat as its identity.
func New[V any](self id.Host, neighbours []id.Host, policy Policy, combine func(V, V) V) *Node[V] {
	n := &Node[V]{self: self, policy: policy, combine: combine}
	for _, host := range neighbours {
		n.neighbours = append(n.neighbours, neighbour[V]{host: host})
	}

	return n
}

// Write replaces the host's own value and returns the messages to send.
func (n *Node[V]) Write(value V) []Message[V] {
	n.value = value
	if n.grants(-1) {
		n.updates++
		n.forward(-1)
	}

	return n.flush()
}

// Read returns the aggregate if it is known; otherwise Receive will return it once the messages are answered.
func (n *Node[V]) Read() (value V, known bool, out []Message[V]) {
	n.markRead(-1)
	if n.lacks(-1) {
		n.reading = true
		n.probe(-1)

		return value, false, n.flush()
	}

	return n.total(-1), true, nil
}

// Receive takes a message of a neighbour and returns the messages to send and the reads that are done.
func (n *Node[V]) Receive(m Message[V]) (value V, known bool, out []Message[V]) {
	from := slices.IndexFunc(n.neighbours, func(v neighbour[V]) bool { return v.host == m.From })
	if from < 0 {
		return value, false, nil
	}
	switch m.Kind {
	case Probe:
		n.probed(from)
	case Response:
		known = n.answered(from, m)
	case Update:
		n.updated(from, m)
	case Release:
		n.released(from, m)
	}
	if known {
		value = n.total(-1)
	}

	return value, known, n.flush()
}

// Leases returns how many leases the node holds and how many it has granted.
func (n *Node[V]) Leases() (held, granted int) {
	for i := range n.neighbours {
		if n.neighbours[i].taken {
			held++
		}
		if n.neighbours[i].granted {
			granted++
		}
	}

	return held, granted
}

func (n *Node[V]) probed(from int) {
	n.markRead(from)
	if slices.Contains(n.pending, from) {
		return
	}
	if !n.lacks(from) {
		n.respond(from)

		return
	}
	n.pending = append(n.pending, from)
	n.probe(from)
}

// answered notes a response and reports whether a read of this host is done.
func (n *Node[V]) answered(from int, m Message[V]) bool {
	v := &n.neighbours[from]
	v.value, v.taken, v.probed, v.unread = m.Value, m.Leased, false, nil
	waiting := n.pending[:0]
	var done []int
	for _, requester := range n.pending {
		if n.awaits(requester) {
			waiting = append(waiting, requester)
		} else {
			done = append(done, requester)
		}
	}
	n.pending = waiting
	for _, requester := range done {
		n.respond(requester)
	}
	known := n.reading && !n.awaits(-1)
	if known {
		n.reading = false
	}

	return known
}

func (n *Node[V]) updated(from int, m Message[V]) {
	v := &n.neighbours[from]
	v.value = m.Value
	last := unread{received: m.Number}
	passOn := n.grants(from)
	if passOn {
		n.updates++
		last.sent = n.updates
	}
	v.unread = append(v.unread, last)
	if limit := max(n.policy.UnreadWrites, maxUnread); len(v.unread) > limit {
		v.unread = v.unread[1:]
	}
	if passOn {
		n.forward(from)

		return
	}
	n.giveBack()
}

// released ends a lease; the updates that the neighbour had read are no longer counted as unread.
func (n *Node[V]) released(from int, m Message[V]) {
	n.neighbours[from].granted = false
	for i := range n.neighbours {
		v := &n.neighbours[i]
		if i == from {
			continue
		}
		v.unread = slices.DeleteFunc(v.unread, func(u unread) bool { return u.sent < m.Number })
	}
	n.giveBack()
}

// giveBack releases the leases that the policy ends and on which no granted lease depends.
func (n *Node[V]) giveBack() {
	if n.policy.UnreadWrites == 0 {
		return
	}
	for i := range n.neighbours {
		v := &n.neighbours[i]
		if !v.taken || n.grants(i) || len(v.unread) < n.policy.UnreadWrites {
			continue
		}
		v.taken = false
		n.send(i, Message[V]{Kind: Release, Number: v.unread[0].received})
		v.unread = nil
	}
}

// respond answers a probe; a lease is granted only while all other sides are leased to this node.
func (n *Node[V]) respond(to int) {
	leased := n.policy.Grant && !n.lacks(to)
	n.neighbours[to].granted = leased
	n.send(to, Message[V]{Kind: Response, Value: n.total(to), Leased: leased})
}

// forward tells all lease holders but one of the new aggregate.
func (n *Node[V]) forward(except int) {
	for i := range n.neighbours {
		if i != except && n.neighbours[i].granted {
			n.send(i, Message[V]{Kind: Update, Value: n.total(i), Number: n.updates})
		}
	}
}

// probe asks the sides that are neither leased nor asked already.
func (n *Node[V]) probe(except int) {
	for i := range n.neighbours {
		v := &n.neighbours[i]
		if i == except || v.taken || v.probed {
			continue
		}
		v.probed = true
		n.send(i, Message[V]{Kind: Probe})
	}
}

// markRead notes that the values of all sides but one are being read.
func (n *Node[V]) markRead(except int) {
	for i := range n.neighbours {
		if i != except {
			n.neighbours[i].unread = nil
		}
	}
}

// lacks reports whether a side other than except is not leased to this node.
func (n *Node[V]) lacks(except int) bool {
	for i := range n.neighbours {
		if i != except && !n.neighbours[i].taken {
			return true
		}
	}

	return false
}

// awaits reports whether an answer of a side other than except is due.
func (n *Node[V]) awaits(except int) bool {
	for i := range n.neighbours {
		if i != except && n.neighbours[i].probed {
			return true
		}
	}

	return false
}

// grants reports whether a neighbour other than except holds a lease.
func (n *Node[V]) grants(except int) bool {
	for i := range n.neighbours {
		if i != except && n.neighbours[i].granted {
			return true
		}
	}

	return false
}

// total returns the aggregate of this host and all sides but one.
func (n *Node[V]) total(except int) V {
	total := n.value
	for i := range n.neighbours {
		if i != except {
			total = n.combine(total, n.neighbours[i].value)
		}
	}

	return total
}

func (n *Node[V]) send(to int, m Message[V]) {
	m.From, m.To = n.self, n.neighbours[to].host
	n.out = append(n.out, m)
}

func (n *Node[V]) flush() []Message[V] {
	out := n.out
	n.out = nil

	return out
}
