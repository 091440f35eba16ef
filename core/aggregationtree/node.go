package aggregationtree

import (
	"slices"

	"cardamomward/core/id"
)

// MessageKind says what a message is for.
type MessageKind string

// Kinds of messages between neighbours.
const (
	// Probe asks for the aggregate of the sender's side of the tree.
	Probe MessageKind = "probe"
	// Response answers a probe and may grant a lease.
	Response MessageKind = "response"
	// Update tells a lease holder of a change.
	Update MessageKind = "update"
	// Release gives a lease back.
	Release MessageKind = "release"
)

// Message is sent from a host to a neighbour in the tree.
type Message[V any] struct {
	From id.Host
	To   id.Host
	Kind MessageKind
	// Value is the aggregate of the sender's side of the tree, in a response or an update.
	Value V
	// GrantsLease says that a response grants a lease.
	GrantsLease bool
	// UpdateNumber counts a sender's updates; in a release it is that of the first update that nobody read.
	UpdateNumber uint64
}

// Policy decides when leases are granted and given back.
type Policy struct {
	// GrantLeases is false where every read asks the whole tree.
	GrantLeases bool
	// MaxUnreadWrites is how many writes without a read end a lease; zero keeps it for ever.
	MaxUnreadWrites int
}

// Policies that the paper compares.
var (
	// OnDemand asks the whole tree at each read.
	OnDemand = Policy{}
	// AlwaysLease keeps each lease once it was granted.
	AlwaysLease = Policy{GrantLeases: true}
	// RWW grants a lease at a read and ends it after two writes in a row.
	RWW = Policy{GrantLeases: true, MaxUnreadWrites: 2}
)

// minUnreadUpdatesKept bounds the updates that are remembered where the policy sets no bound.
const minUnreadUpdatesKept = 1

// neighbour is what a node keeps of one neighbour.
type neighbour[V any] struct {
	host id.Host
	// leaseHeld is set while this node holds a lease from the neighbour, granted while the neighbour holds one.
	leaseHeld    bool
	leaseGranted bool
	value        V
	// unreadUpdates are the latest updates of the neighbour that no read has followed, oldest first.
	unreadUpdates []unreadUpdate
	// responseDue is set while an answer of the neighbour is due.
	responseDue bool
}

// unreadUpdate is an update that was received and, under another number, passed on.
type unreadUpdate struct {
	receivedNumber uint64
	sentNumber     uint64
}

// Node is one host's part of the aggregate; it decides, and the caller carries the messages.
type Node[V any] struct {
	self       id.Host
	policy     Policy
	combine    func(V, V) V
	value      V
	neighbours []neighbour[V]
	// pendingProbes lists the neighbours whose probes wait for others' answers.
	pendingProbes []int
	readPending   bool
	updatesSent   uint64
	outbox        []Message[V]
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
	if n.hasGrantedLease(-1) {
		n.updatesSent++
		n.sendUpdates(-1)
	}

	return n.takeOutbox()
}

// Read returns the aggregate if it is known; otherwise Receive will return it once the messages are answered.
func (n *Node[V]) Read() (value V, known bool, out []Message[V]) {
	n.clearUnreadUpdates(-1)
	if n.lacksLease(-1) {
		n.readPending = true
		n.sendProbes(-1)

		return value, false, n.takeOutbox()
	}

	return n.aggregateExcept(-1), true, nil
}

// Receive takes a message of a neighbour and returns the messages to send and the reads that are done.
func (n *Node[V]) Receive(m Message[V]) (value V, known bool, out []Message[V]) {
	from := slices.IndexFunc(n.neighbours, func(v neighbour[V]) bool { return v.host == m.From })
	if from < 0 {
		return value, false, nil
	}
	switch m.Kind {
	case Probe:
		n.handleProbe(from)
	case Response:
		known = n.handleResponse(from, m)
	case Update:
		n.handleUpdate(from, m)
	case Release:
		n.handleRelease(from, m)
	}
	if known {
		value = n.aggregateExcept(-1)
	}

	return value, known, n.takeOutbox()
}

// LeaseCounts returns how many leases the node holds and how many it has granted.
func (n *Node[V]) LeaseCounts() (held, granted int) {
	for i := range n.neighbours {
		if n.neighbours[i].leaseHeld {
			held++
		}
		if n.neighbours[i].leaseGranted {
			granted++
		}
	}

	return held, granted
}

func (n *Node[V]) handleProbe(from int) {
	n.clearUnreadUpdates(from)
	if slices.Contains(n.pendingProbes, from) {
		return
	}
	if !n.lacksLease(from) {
		n.sendResponse(from)

		return
	}
	n.pendingProbes = append(n.pendingProbes, from)
	n.sendProbes(from)
}

// handleResponse notes a response and reports whether a read of this host is done.
func (n *Node[V]) handleResponse(from int, m Message[V]) bool {
	v := &n.neighbours[from]
	v.value, v.leaseHeld, v.responseDue, v.unreadUpdates = m.Value, m.GrantsLease, false, nil
	waiting := n.pendingProbes[:0]
	var done []int
	for _, requester := range n.pendingProbes {
		if n.awaitsResponse(requester) {
			waiting = append(waiting, requester)
		} else {
			done = append(done, requester)
		}
	}
	n.pendingProbes = waiting
	for _, requester := range done {
		n.sendResponse(requester)
	}
	known := n.readPending && !n.awaitsResponse(-1)
	if known {
		n.readPending = false
	}

	return known
}

func (n *Node[V]) handleUpdate(from int, m Message[V]) {
	v := &n.neighbours[from]
	v.value = m.Value
	last := unreadUpdate{receivedNumber: m.UpdateNumber}
	passOn := n.hasGrantedLease(from)
	if passOn {
		n.updatesSent++
		last.sentNumber = n.updatesSent
	}
	v.unreadUpdates = append(v.unreadUpdates, last)
	if limit := max(n.policy.MaxUnreadWrites, minUnreadUpdatesKept); len(v.unreadUpdates) > limit {
		v.unreadUpdates = v.unreadUpdates[1:]
	}
	if passOn {
		n.sendUpdates(from)

		return
	}
	n.releaseLeases()
}

// handleRelease ends a lease; the updates that the neighbour had read are no longer counted as unread.
func (n *Node[V]) handleRelease(from int, m Message[V]) {
	n.neighbours[from].leaseGranted = false
	for i := range n.neighbours {
		v := &n.neighbours[i]
		if i == from {
			continue
		}
		v.unreadUpdates = slices.DeleteFunc(v.unreadUpdates, func(u unreadUpdate) bool { return u.sentNumber < m.UpdateNumber })
	}
	n.releaseLeases()
}

// releaseLeases releases the leases that the policy ends and on which no granted lease depends.
func (n *Node[V]) releaseLeases() {
	if n.policy.MaxUnreadWrites == 0 {
		return
	}
	for i := range n.neighbours {
		v := &n.neighbours[i]
		if !v.leaseHeld || n.hasGrantedLease(i) || len(v.unreadUpdates) < n.policy.MaxUnreadWrites {
			continue
		}
		v.leaseHeld = false
		n.addMessage(i, Message[V]{Kind: Release, UpdateNumber: v.unreadUpdates[0].receivedNumber})
		v.unreadUpdates = nil
	}
}

// sendResponse answers a probe; a lease is granted only while all other sides are leased to this node.
func (n *Node[V]) sendResponse(to int) {
	leased := n.policy.GrantLeases && !n.lacksLease(to)
	n.neighbours[to].leaseGranted = leased
	n.addMessage(to, Message[V]{Kind: Response, Value: n.aggregateExcept(to), GrantsLease: leased})
}

// sendUpdates tells all lease holders but one of the new aggregate.
func (n *Node[V]) sendUpdates(except int) {
	for i := range n.neighbours {
		if i != except && n.neighbours[i].leaseGranted {
			n.addMessage(i, Message[V]{Kind: Update, Value: n.aggregateExcept(i), UpdateNumber: n.updatesSent})
		}
	}
}

// sendProbes asks the sides that are neither leased nor asked already.
func (n *Node[V]) sendProbes(except int) {
	for i := range n.neighbours {
		v := &n.neighbours[i]
		if i == except || v.leaseHeld || v.responseDue {
			continue
		}
		v.responseDue = true
		n.addMessage(i, Message[V]{Kind: Probe})
	}
}

// clearUnreadUpdates notes that the values of all sides but one are being read.
func (n *Node[V]) clearUnreadUpdates(except int) {
	for i := range n.neighbours {
		if i != except {
			n.neighbours[i].unreadUpdates = nil
		}
	}
}

// lacksLease reports whether a side other than except is not leased to this node.
func (n *Node[V]) lacksLease(except int) bool {
	for i := range n.neighbours {
		if i != except && !n.neighbours[i].leaseHeld {
			return true
		}
	}

	return false
}

// awaitsResponse reports whether an answer of a side other than except is due.
func (n *Node[V]) awaitsResponse(except int) bool {
	for i := range n.neighbours {
		if i != except && n.neighbours[i].responseDue {
			return true
		}
	}

	return false
}

// hasGrantedLease reports whether a neighbour other than except holds a lease.
func (n *Node[V]) hasGrantedLease(except int) bool {
	for i := range n.neighbours {
		if i != except && n.neighbours[i].leaseGranted {
			return true
		}
	}

	return false
}

// aggregateExcept returns the aggregate of this host and all sides but one.
func (n *Node[V]) aggregateExcept(except int) V {
	total := n.value
	for i := range n.neighbours {
		if i != except {
			total = n.combine(total, n.neighbours[i].value)
		}
	}

	return total
}

func (n *Node[V]) addMessage(to int, m Message[V]) {
	m.From, m.To = n.self, n.neighbours[to].host
	n.outbox = append(n.outbox, m)
}

func (n *Node[V]) takeOutbox() []Message[V] {
	out := n.outbox
	n.outbox = nil

	return out
}
