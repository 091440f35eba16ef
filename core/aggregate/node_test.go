package aggregate_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cardamomward/core/aggregate"
	"cardamomward/core/id"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func sum(a, b int) int { return a + b }

type edge struct{ from, to id.Host }

// network carries the messages of a tree in the order of sending and counts them.
type network struct {
	nodes  map[id.Host]*aggregate.Node[int]
	values map[id.Host]int
	total  int
	// charged counts, for the ordered pair (u, v), the messages by which v learns of u; nil counts none.
	charged map[edge]int
	queue   []aggregate.Message[int]
	reads   map[id.Host]int
}

func newNetwork(tree aggregate.Tree, policy aggregate.Policy) *network {
	n := &network{
		nodes:  make(map[id.Host]*aggregate.Node[int]),
		values: make(map[id.Host]int),
		reads:  make(map[id.Host]int),
	}
	for host, neighbours := range tree {
		n.nodes[host] = aggregate.New(host, neighbours, policy, sum)
	}

	return n
}

func (n *network) post(messages []aggregate.Message[int]) {
	n.total += len(messages)
	n.queue = append(n.queue, messages...)
	if n.charged == nil {
		return
	}
	for _, m := range messages {
		switch m.Kind {
		case aggregate.Probe, aggregate.Release:
			n.charged[edge{m.To, m.From}]++
		default:
			n.charged[edge{m.From, m.To}]++
		}
	}
}

// deliver hands the message at index to its receiver.
func (n *network) deliver(index int) {
	m := n.queue[index]
	n.queue = append(n.queue[:index:index], n.queue[index+1:]...)
	value, known, out := n.nodes[m.To].Receive(m)
	if known {
		n.reads[m.To] = value
	}
	n.post(out)
}

// settle delivers all messages in the order of sending.
func (n *network) settle() {
	for len(n.queue) > 0 {
		m := n.queue[0]
		n.queue = n.queue[1:]
		value, known, out := n.nodes[m.To].Receive(m)
		if known {
			n.reads[m.To] = value
		}
		n.post(out)
	}
}

func (n *network) write(host id.Host, value int) {
	n.values[host] = value
	n.post(n.nodes[host].Write(value))
}

func (n *network) read(host id.Host) {
	value, known, out := n.nodes[host].Read()
	if known {
		n.reads[host] = value
	}
	n.post(out)
}

func (n *network) sum() int {
	total := 0
	for _, value := range n.values {
		total += value
	}

	return total
}

func TestLeaseOnOneEdge(t *testing.T) {
	for _, test := range []struct {
		name     string
		policy   aggregate.Policy
		requests string
		messages int
		held     int
	}{
		{"a read takes a lease", aggregate.RWW, "r", 2, 1},
		{"a second read is local", aggregate.RWW, "rr", 2, 1},
		{"one write is passed on", aggregate.RWW, "rw", 3, 1},
		{"a read between two writes keeps the lease", aggregate.RWW, "rwrw", 4, 1},
		{"two writes end the lease", aggregate.RWW, "rww", 5, 0},
		{"writes without a lease are local", aggregate.RWW, "rwwww", 5, 0},
		{"the worst case of an epoch", aggregate.RWW, "rwwrww", 10, 0},
		{"on demand asks each time", aggregate.OnDemand, "rwwrww", 4, 0},
		{"always passes each write on", aggregate.Always, "rwwrww", 6, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			n := newNetwork(aggregate.Tree{"u": {"v"}, "v": {"u"}}, test.policy)
			for i, request := range test.requests {
				if request == 'r' {
					n.read("v")
				} else {
					n.write("u", i)
				}
				n.settle()
			}
			held, _ := n.nodes["v"].Leases()
			require.Equal(t, test.messages, n.total)
			require.Equal(t, test.held, held)
		})
	}
}

// TestNoLeaseWithoutAllSides gives a lease back while another side's answer is due.
func TestNoLeaseWithoutAllSides(t *testing.T) {
	node := aggregate.New("v", []id.Host{"r", "w", "x"}, aggregate.RWW, sum)
	node.Receive(aggregate.Message[int]{From: "r", Kind: aggregate.Probe})
	node.Receive(aggregate.Message[int]{From: "w", Kind: aggregate.Response, Value: 1, Leased: true})
	node.Receive(aggregate.Message[int]{From: "w", Kind: aggregate.Update, Value: 2, Number: 1})
	_, _, out := node.Receive(aggregate.Message[int]{From: "w", Kind: aggregate.Update, Value: 3, Number: 2})
	require.Equal(t, []aggregate.Message[int]{{From: "v", To: "w", Kind: aggregate.Release, Number: 1}}, out)

	_, _, out = node.Receive(aggregate.Message[int]{From: "x", Kind: aggregate.Response, Value: 10, Leased: true})
	require.Equal(t, []aggregate.Message[int]{{From: "v", To: "r", Kind: aggregate.Response, Value: 13}}, out)
}

// drawTree returns a random tree of two to nine hosts.
func drawTree(t *rapid.T) (aggregate.Tree, []id.Host) {
	tree := make(aggregate.Tree)
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

// TestReadsAreExact checks strict consistency in sequential executions for each policy.
func TestReadsAreExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree, hosts := drawTree(t)
		policy := rapid.SampledFrom([]aggregate.Policy{aggregate.OnDemand, aggregate.Always, aggregate.RWW}).Draw(t, "policy")
		n := newNetwork(tree, policy)
		for i, r := range drawRequests(t, hosts) {
			if r.read {
				n.read(r.host)
				n.settle()
				require.Equal(t, n.sum(), n.reads[r.host])
			} else {
				n.write(r.host, i+1)
				n.settle()
			}
		}
	})
}

// side reports whether host is on u's side of the edge between u and v.
func side(tree aggregate.Tree, u, v, host id.Host) bool {
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

// optimal returns the least messages of any lease-based algorithm on the ordered pair (u, v).
func optimal(tree aggregate.Tree, u, v id.Host, requests []request) int {
	const never = 1 << 30
	without, with := 0, never
	for _, r := range requests {
		switch here := side(tree, u, v, r.host); {
		case r.read && !here:
			without, with = min(without+2, with+1), min(without+2, with)
		case !r.read && here:
			without, with = min(without, with+2), with+1
		}
		without = min(without, with+1)
	}

	return min(without, with)
}

// TestRWWIsCompetitive checks the paper's theorem 1: at most 5/2 of the best lease-based algorithm on each edge.
func TestRWWIsCompetitive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree, hosts := drawTree(t)
		requests := drawRequests(t, hosts)
		n := newNetwork(tree, aggregate.RWW)
		n.charged = make(map[edge]int)
		for i, r := range requests {
			if r.read {
				n.read(r.host)
			} else {
				n.write(r.host, i+1)
			}
			n.settle()
		}
		for u, neighbours := range tree {
			for _, v := range neighbours {
				require.LessOrEqual(t, 2*n.charged[edge{u, v}], 5*optimal(tree, u, v, requests), "edge %s to %s", u, v)
			}
		}
	})
}

// TestConcurrentRequestsSettle delivers messages of concurrent requests in any order that keeps each channel's order.
func TestConcurrentRequestsSettle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree, hosts := drawTree(t)
		n := newNetwork(tree, aggregate.RWW)
		asked := make(map[id.Host]bool)
		for i, r := range drawRequests(t, hosts) {
			if r.read {
				n.read(r.host)
				asked[r.host] = true
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
		for host := range asked {
			require.Contains(t, n.reads, host, "a read was never answered")
		}
		for _, host := range hosts {
			n.read(host)
			n.settle()
			require.Equal(t, n.sum(), n.reads[host])
		}
	})
}

// deliverOne delivers the oldest message of a channel.
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
