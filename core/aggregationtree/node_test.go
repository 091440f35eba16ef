package aggregationtree_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cardamomward/core/aggregationtree"
	"cardamomward/core/id"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func add(a, b int) int { return a + b }

type edge struct{ from, to id.Host }

// network delivers the messages of a tree in the order of sending and counts them.
type network struct {
	nodes  map[id.Host]*aggregationtree.Node[int]
	values map[id.Host]int
	total  int
	// edgeMessages counts, for the ordered pair (u, v), the messages by which v learns the aggregate of u; nil counts none.
	edgeMessages map[edge]int
	queue        []aggregationtree.Message[int]
	reads        map[id.Host]int
}

func newNetwork(tree aggregationtree.Tree, policy aggregationtree.Policy) *network {
	n := &network{
		nodes:  make(map[id.Host]*aggregationtree.Node[int]),
		values: make(map[id.Host]int),
		reads:  make(map[id.Host]int),
	}
	for host, neighbours := range tree {
		n.nodes[host] = aggregationtree.New(host, neighbours, policy, add)
	}

	return n
}

func (n *network) enqueue(messages []aggregationtree.Message[int]) {
	n.total += len(messages)
	n.queue = append(n.queue, messages...)
	if n.edgeMessages == nil {
		return
	}
	for _, m := range messages {
		switch m.Kind {
		case aggregationtree.Probe, aggregationtree.Release:
			n.edgeMessages[edge{m.To, m.From}]++
		default:
			n.edgeMessages[edge{m.From, m.To}]++
		}
	}
}

// deliver delivers the queued message at index.
func (n *network) deliver(index int) {
	m := n.queue[index]
	n.queue = append(n.queue[:index:index], n.queue[index+1:]...)
	value, known, out := n.nodes[m.To].Receive(m)
	if known {
		n.reads[m.To] = value
	}
	n.enqueue(out)
}

// deliverAll delivers all messages in the order of sending.
func (n *network) deliverAll() {
	for len(n.queue) > 0 {
		m := n.queue[0]
		n.queue = n.queue[1:]
		value, known, out := n.nodes[m.To].Receive(m)
		if known {
			n.reads[m.To] = value
		}
		n.enqueue(out)
	}
}

func (n *network) write(host id.Host, value int) {
	n.values[host] = value
	n.enqueue(n.nodes[host].Write(value))
}

func (n *network) read(host id.Host) {
	value, known, out := n.nodes[host].Read()
	if known {
		n.reads[host] = value
	}
	n.enqueue(out)
}

func (n *network) sum() int {
	total := 0
	for _, value := range n.values {
		total += value
	}

	return total
}

func TestMessagesAndLeasesOnOneEdge(t *testing.T) {
	for _, test := range []struct {
		name     string
		policy   aggregationtree.Policy
		requests string
		messages int
		held     int
	}{
		{"a read takes a lease", aggregationtree.RWW, "r", 2, 1},
		{"a second read is local", aggregationtree.RWW, "rr", 2, 1},
		{"one write is forwarded", aggregationtree.RWW, "rw", 3, 1},
		{"a read between two writes keeps the lease", aggregationtree.RWW, "rwrw", 4, 1},
		{"two writes end the lease", aggregationtree.RWW, "rww", 5, 0},
		{"writes without a lease are local", aggregationtree.RWW, "rwwww", 5, 0},
		{"worst case: each read is followed by two writes", aggregationtree.RWW, "rwwrww", 10, 0},
		{"on-demand probes at each read", aggregationtree.OnDemand, "rwwrww", 4, 0},
		{"always-lease forwards each write", aggregationtree.AlwaysLease, "rwwrww", 6, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			n := newNetwork(aggregationtree.Tree{"u": {"v"}, "v": {"u"}}, test.policy)
			for i, request := range test.requests {
				if request == 'r' {
					n.read("v")
				} else {
					n.write("u", i)
				}
				n.deliverAll()
			}
			held, _ := n.nodes["v"].LeaseCounts()
			require.Equal(t, test.messages, n.total)
			require.Equal(t, test.held, held)
		})
	}
}

// TestResponseGrantsLeaseOnlyIfOtherSidesAreLeased releases a lease while the response of another neighbour is due; the
// later response to the first probe must then grant no lease.
func TestResponseGrantsLeaseOnlyIfOtherSidesAreLeased(t *testing.T) {
	node := aggregationtree.New("v", []id.Host{"r", "w", "x"}, aggregationtree.RWW, add)
	node.Receive(aggregationtree.Message[int]{From: "r", Kind: aggregationtree.Probe})
	node.Receive(aggregationtree.Message[int]{From: "w", Kind: aggregationtree.Response, Value: 1, GrantsLease: true})
	node.Receive(aggregationtree.Message[int]{From: "w", Kind: aggregationtree.Update, Value: 2, UpdateNumber: 1})
	_, _, out := node.Receive(aggregationtree.Message[int]{From: "w", Kind: aggregationtree.Update, Value: 3, UpdateNumber: 2})
	require.Equal(t, []aggregationtree.Message[int]{{From: "v", To: "w", Kind: aggregationtree.Release, UpdateNumber: 1}}, out)

	_, _, out = node.Receive(aggregationtree.Message[int]{From: "x", Kind: aggregationtree.Response, Value: 10, GrantsLease: true})
	require.Equal(t, []aggregationtree.Message[int]{{From: "v", To: "r", Kind: aggregationtree.Response, Value: 13}}, out)
}

// drawTree returns a random tree of two to nine hosts.
func drawTree(t *rapid.T) (aggregationtree.Tree, []id.Host) {
	tree := make(aggregationtree.Tree)
	hosts := []id.Host{"host-0"}
	for i := range rapid.IntRange(1, 8).Draw(t, "more hosts") {
		host := id.Host(fmt.Sprintf("host-%d", i+1))
		parent := rapid.SampledFrom(hosts).Draw(t, "parent")
		tree[host] = append(tree[host], parent)
		tree[parent] = append(tree[parent], host)
		hosts = append(hosts, host)
	}

	return tree, hosts
}

type request struct {
	host id.Host
	read bool
}

func drawRequests(t *rapid.T, hosts []id.Host) []request {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) request {
		return request{rapid.SampledFrom(hosts).Draw(t, "host"), rapid.Bool().Draw(t, "read")}
	}), 1, 60).Draw(t, "requests")
}

// TestSequentialReadsAreExact checks that each read returns the sum of the latest writes for each policy if one request
// follows the other.
func TestSequentialReadsAreExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree, hosts := drawTree(t)
		policy := rapid.SampledFrom([]aggregationtree.Policy{aggregationtree.OnDemand, aggregationtree.AlwaysLease, aggregationtree.RWW}).Draw(t, "policy")
		n := newNetwork(tree, policy)
		for i, r := range drawRequests(t, hosts) {
			if r.read {
				n.read(r.host)
				n.deliverAll()
				require.Equal(t, n.sum(), n.reads[r.host])
			} else {
				n.write(r.host, i+1)
				n.deliverAll()
			}
		}
	})
}

// isOnSide reports whether host is on u's side of the edge between u and v.
func isOnSide(tree aggregationtree.Tree, u, v, host id.Host) bool {
	if host == u {
		return true
	}
	seen := map[id.Host]bool{u: true, v: true}
	next := []id.Host{u}
	for len(next) > 0 {
		at := next[0]
		next = next[1:]
		for _, neighbour := range tree[at] {
			if seen[neighbour] {
				continue
			}
			if neighbour == host {
				return true
			}
			seen[neighbour] = true
			next = append(next, neighbour)
		}
	}

	return false
}

// optimalMessages returns the least number of messages of any lease-based algorithm on the ordered pair (u, v). It is
// computed by dynamic programming over the requests, with the least cost of ending without and with a lease.
func optimalMessages(tree aggregationtree.Tree, u, v id.Host, requests []request) int {
	const unreachableCost = 1 << 30
	withoutLease, withLease := 0, unreachableCost
	for _, r := range requests {
		switch onSenderSide := isOnSide(tree, u, v, r.host); {
		case r.read && !onSenderSide:
			withoutLease, withLease = min(withoutLease+2, withLease+1), min(withoutLease+2, withLease)
		case !r.read && onSenderSide:
			withoutLease, withLease = min(withoutLease, withLease+2), withLease+1
		}
		withoutLease = min(withoutLease, withLease+1)
	}

	return min(withoutLease, withLease)
}

// TestRWWSendsAtMostFiveHalvesOfOptimum checks theorem 1 of the paper: on each edge, RWW sends at most 5/2 of the
// messages of the best lease-based algorithm.
func TestRWWSendsAtMostFiveHalvesOfOptimum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree, hosts := drawTree(t)
		requests := drawRequests(t, hosts)
		n := newNetwork(tree, aggregationtree.RWW)
		n.edgeMessages = make(map[edge]int)
		for i, r := range requests {
			if r.read {
				n.read(r.host)
			} else {
				n.write(r.host, i+1)
			}
			n.deliverAll()
		}
		for u, neighbours := range tree {
			for _, v := range neighbours {
				require.LessOrEqual(t, 2*n.edgeMessages[edge{u, v}], 5*optimalMessages(tree, u, v, requests), "edge %s to %s", u, v)
			}
		}
	})
}

// TestConcurrentReadsAreAnsweredAndConverge delivers the messages of concurrent requests in random order, but in the
// order of sending on each channel.
func TestConcurrentReadsAreAnsweredAndConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree, hosts := drawTree(t)
		n := newNetwork(tree, aggregationtree.RWW)
		readers := make(map[id.Host]bool)
		for i, r := range drawRequests(t, hosts) {
			if r.read {
				n.read(r.host)
				readers[r.host] = true
			} else {
				n.write(r.host, i+1)
			}
			for range rapid.IntRange(0, 3).Draw(t, "deliveries") {
				n.deliverOne(t)
			}
		}
		for len(n.queue) > 0 {
			n.deliverOne(t)
		}
		for host := range readers {
			require.Contains(t, n.reads, host, "a read was never answered")
		}
		for _, host := range hosts {
			n.read(host)
			n.deliverAll()
			require.Equal(t, n.sum(), n.reads[host])
		}
	})
}

// deliverOne delivers the oldest message of a random channel.
func (n *network) deliverOne(t *rapid.T) {
	if len(n.queue) == 0 {
		return
	}
	index := rapid.IntRange(0, len(n.queue)-1).Draw(t, "message")
	for i, m := range n.queue {
		if m.From == n.queue[index].From && m.To == n.queue[index].To {
			n.deliver(i)

			return
		}
	}
}
