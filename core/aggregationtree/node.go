package aggregationtree

import (
	"slices"

	"cardamomward/core/id"
)

// MessageKind is the purpose of a message.
type MessageKind string

// Kinds of messages between neighbours.
const (
	// Probe asks for the aggregate of the receiver's side of the tree.
	Probe MessageKind = "probe"
	// Response answers a probe and may grant a lease.
	Response MessageKind = "response"
	// Update sends a changed aggregate to the holder of a lease.
	Update MessageKind = "update"
	// Release returns a lease to the neighbour that granted it.
	Release MessageKind = "release"
)

// Message is sent from a host to a neighbour in the tree.
type Message[V any] struct {
	From id.Host
	To   id.Host
	Kind MessageKind
	// Value is the aggregate of the sender's side of the tree, in a response or an update.
	Value V
	// GrantsLease is true in a response that grants a lease.
	GrantsLease bool
	// UpdateNumber is the sequence number of an update of the sender; in a release it is that of the first update that
	// no read followed.
	UpdateNumber uint64
}

// Policy says when leases are granted and released.
type Policy struct {
	// GrantLeases enables leases; without them every read probes the whole tree.
	GrantLeases bool
	// MaxUnreadWrites is the number of writes without a read in between that end a lease; zero means that leases never end.
	MaxUnreadWrites int
}

// Policies that the paper named in the package comment compares.
var (
	// OnDemand probes the whole tree at each read.
	OnDemand = Policy{}
	// AlwaysLease grants a lease at the first read and never releases it.
	AlwaysLease = Policy{GrantLeases: true}
	// RWW grants a lease at a read and ends it after two writes without a read in between.
	RWW = Policy{GrantLeases: true, MaxUnreadWrites: 2}
)

// minUnreadUpdatesKept is the number of unread updates that are kept of a neighbour if the policy sets no limit.
const minUnreadUpdatesKept = 1

// neighbour is the state that a node keeps for one neighbour.
type neighbour[V any] struct {
	host id.Host
	// leaseHeld is true while this node holds a lease from the neighbour, leaseGranted while the neighbour holds one
	// from this node.
	leaseHeld    bool
	leaseGranted bool
	// value is the latest aggregate of the neighbour's side of the tree.
	value V
	// unreadUpdates are the latest updates from the neighbour that no read has followed, oldest first.
	unreadUpdates []unreadUpdate
	// responseDue is true while a probe to the neighbour is unanswered.
	responseDue bool
}

// unreadUpdate holds the sequence numbers of an update as it was received and as it was forwarded.
type unreadUpdate struct {
	receivedNumber uint64
	sentNumber     uint64
}

// Node is the state machine of one host in the tree; the caller transports the messages.
type Node[V any] struct {
	self       id.Host
	policy     Policy
	combine    func(V, V) V
	value      V
	neighbours []neighbour[V]
	// pendingProbes lists the neighbours whose probes wait for responses of other neighbours.
	pendingProbes []int
	readPending   bool
	updatesSent   uint64
	outbox        []Message[V]
}

// New returns a node with the zero value, which must be the identity element of combine.
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
	if n.hasGrantedLeaseExcept(-1) {
		n.updatesSent++
		n.sendUpdates(-1)
	}

	return n.takeOutbox()
}

// Read returns the aggregate over all hosts if it is known; otherwise it returns the probes to send, and Receive returns
// the aggregate once all of them are answered.
func (n *Node[V]) Read() (value V, known bool, out []Message[V]) {
	n.clearUnreadUpdates(-1)
	if n.lacksLeaseExcept(-1) {
		n.readPending = true
		n.sendProbes(-1)

		return value, false, n.takeOutbox()
	}

	return n.aggregateExcept(-1), true, nil
}

// Receive handles a message of a neighbour and returns the messages to send, and the aggregate if it completes a read.
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

// LeaseCounts returns the number of leases that the node holds from its neighbours and that it has granted to them.
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
	if !n.lacksLeaseExcept(from) {
		n.sendResponse(from)

		return
	}
	n.pendingProbes = append(n.pendingProbes, from)
	n.sendProbes(from)
}

// handleResponse records a response, answers the probes that waited for it and reports whether a read of this host is
// complete.
func (n *Node[V]) handleResponse(from int, m Message[V]) bool {
	v := &n.neighbours[from]
	v.value, v.leaseHeld, v.responseDue, v.unreadUpdates = m.Value, m.GrantsLease, false, nil
	waiting := n.pendingProbes[:0]
	var done []int
	for _, requester := range n.pendingProbes {
		if n.awaitsResponseExcept(requester) {
			waiting = append(waiting, requester)
		} else {
			done = append(done, requester)
		}
	}
	n.pendingProbes = waiting
	for _, requester := range done {
		n.sendResponse(requester)
	}
	known := n.readPending && !n.awaitsResponseExcept(-1)
	if known {
		n.readPending = false
	}

	return known
}

func (n *Node[V]) handleUpdate(from int, m Message[V]) {
	v := &n.neighbours[from]
	v.value = m.Value
	last := unreadUpdate{receivedNumber: m.UpdateNumber}
	forwards := n.hasGrantedLeaseExcept(from)
	if forwards {
		n.updatesSent++
		last.sentNumber = n.updatesSent
	}
	v.unreadUpdates = append(v.unreadUpdates, last)
	if limit := max(n.policy.MaxUnreadWrites, minUnreadUpdatesKept); len(v.unreadUpdates) > limit {
		v.unreadUpdates = v.unreadUpdates[1:]
	}
	if forwards {
		n.sendUpdates(from)

		return
	}
	n.releaseLeases()
}

// handleRelease ends a lease; updates that the neighbour has read no longer count as unread.
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

// releaseLeases releases the leases that the policy ends, except those on which a lease granted by this node depends.
func (n *Node[V]) releaseLeases() {
	if n.policy.MaxUnreadWrites == 0 {
		return
	}
	for i := range n.neighbours {
		v := &n.neighbours[i]
		if !v.leaseHeld || n.hasGrantedLeaseExcept(i) || len(v.unreadUpdates) < n.policy.MaxUnreadWrites {
			continue
		}
		v.leaseHeld = false
		n.addMessage(i, Message[V]{Kind: Release, UpdateNumber: v.unreadUpdates[0].receivedNumber})
		v.unreadUpdates = nil
	}
}

// sendResponse answers a probe; it grants a lease only if this node holds leases from all other neighbours.
func (n *Node[V]) sendResponse(to int) {
	grantsLease := n.policy.GrantLeases && !n.lacksLeaseExcept(to)
	n.neighbours[to].leaseGranted = grantsLease
	n.addMessage(to, Message[V]{Kind: Response, Value: n.aggregateExcept(to), GrantsLease: grantsLease})
}

// sendUpdates sends the new aggregate to all lease holders but one.
func (n *Node[V]) sendUpdates(except int) {
	for i := range n.neighbours {
		if i != except && n.neighbours[i].leaseGranted {
			n.addMessage(i, Message[V]{Kind: Update, Value: n.aggregateExcept(i), UpdateNumber: n.updatesSent})
		}
	}
}

// sendProbes sends probes to all neighbours but one, unless a lease is held or a probe is unanswered already.
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

// clearUnreadUpdates marks the updates of all neighbours but one as read.
func (n *Node[V]) clearUnreadUpdates(except int) {
	for i := range n.neighbours {
		if i != except {
			n.neighbours[i].unreadUpdates = nil
		}
	}
}

// lacksLeaseExcept reports whether this node lacks a lease from a neighbour other than except.
func (n *Node[V]) lacksLeaseExcept(except int) bool {
	for i := range n.neighbours {
		if i != except && !n.neighbours[i].leaseHeld {
			return true
		}
	}

	return false
}

// awaitsResponseExcept reports whether a probe to a neighbour other than except is unanswered.
func (n *Node[V]) awaitsResponseExcept(except int) bool {
	for i := range n.neighbours {
		if i != except && n.neighbours[i].responseDue {
			return true
		}
	}

	return false
}

// hasGrantedLeaseExcept reports whether a neighbour other than except holds a lease.
func (n *Node[V]) hasGrantedLeaseExcept(except int) bool {
	for i := range n.neighbours {
		if i != except && n.neighbours[i].leaseGranted {
			return true
		}
	}

	return false
}

// aggregateExcept returns the aggregate of this host and the sides of all neighbours but one.
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
