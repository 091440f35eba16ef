package aggregationtree_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"cardamomward/core/aggregationtree"
	"cardamomward/core/id"
)

// clusterSize is a number of hosts and failure domains for which messages are counted.
type clusterSize struct {
	hosts   int
	domains int
}

// clusterSizes are the present size, one in between, and the size that the design must support.
var clusterSizes = []clusterSize{{12, 3}, {100, 8}, {830, 16}}

func (size clusterSize) layout() ([][]id.Host, []id.Host) {
	domains := make([][]id.Host, size.domains)
	hosts := make([]id.Host, size.hosts)
	for i := range hosts {
		hosts[i] = id.Host(fmt.Sprintf("host-%03d", i))
		domains[i%size.domains] = append(domains[i%size.domains], hosts[i])
	}

	return domains, hosts
}

// workload is a sequence of reads and writes in rounds; periodic mechanisms send once a round.
type workload struct {
	name   string
	rounds int
	round  func(random *rand.Rand, hosts []id.Host) []request
}

var workloads = []workload{
	{"demand of one workspace: 8 hosts report, the bucket's owner reads once", 50, fewWriteOneReadsRound},
	{"lowest version in force: all report one change, the publisher reads 4 times", 4, allWriteOneReadsRound},
	{"lowest version in force at rest: one host writes, the publishers of 4 hosts read", 50, readMostlyRound},
	{"load: every host writes and every host reads", 1, allWriteAllReadRound},
}

// writingHosts is the number of hosts that serve callers of one workspace and report their demand.
const writingHosts = 8

func fewWriteOneReadsRound(random *rand.Rand, hosts []id.Host) []request {
	var requests []request
	for range writingHosts {
		requests = append(requests, request{host: hosts[1+random.IntN(len(hosts)-1)]})
	}

	return append(requests, request{host: hosts[0], read: true})
}

// readsPerRound is the number of reads in a round, such as those of a publisher until all hosts have applied its change.
const readsPerRound = 4

func allWriteOneReadsRound(random *rand.Rand, hosts []id.Host) []request {
	publisher := hosts[random.IntN(len(hosts))]
	var requests []request
	for i, index := range random.Perm(len(hosts)) {
		requests = append(requests, request{host: hosts[index]})
		if (i+1)%(len(hosts)/readsPerRound) == 0 {
			requests = append(requests, request{host: publisher, read: true})
		}
	}

	return requests
}

func readMostlyRound(random *rand.Rand, hosts []id.Host) []request {
	requests := []request{{host: hosts[random.IntN(len(hosts))]}}
	for range readsPerRound {
		requests = append(requests, request{host: hosts[random.IntN(len(hosts))], read: true})
	}

	return requests
}

func allWriteAllReadRound(random *rand.Rand, hosts []id.Host) []request {
	var requests []request
	for _, host := range hosts {
		requests = append(requests, request{host: host}, request{host: host, read: true})
	}
	random.Shuffle(len(requests), func(i, j int) { requests[i], requests[j] = requests[j], requests[i] })

	return requests
}

// sequence returns the requests of all rounds, the same for each mechanism.
func (m workload) sequence(size clusterSize) [][]request {
	random := rand.New(rand.NewPCG(6, uint64(size.hosts)))
	_, hosts := size.layout()
	sequence := make([][]request, m.rounds)
	for i := range sequence {
		sequence[i] = m.round(random, hosts)
	}

	return sequence
}

func countReadsAndWrites(round []request) (reads, writes int, readers map[id.Host]bool) {
	readers = make(map[id.Host]bool)
	for _, r := range round {
		if r.read {
			reads++
			readers[r.host] = true
		} else {
			writes++
		}
	}

	return reads, writes, readers
}

// mechanism is a way to distribute values; count returns the number of messages that it sends for a sequence of requests.
type mechanism struct {
	name  string
	count func(size clusterSize, sequence [][]request) int
}

var mechanisms = []mechanism{
	{"direct, each write to all", countPushToAll},
	{"direct, each read asks all", countPullFromAll},
	{"direct, writes to readers", countPushToReaders},
	{"direct, by period", countPeriodicPushToAll},
	{"tree, each read asks all", func(size clusterSize, s [][]request) int {
		return countOverTwoLevelTree(size, s, aggregationtree.OnDemand)
	}},
	{"tree, leases for ever", func(size clusterSize, s [][]request) int {
		return countOverTwoLevelTree(size, s, aggregationtree.AlwaysLease)
	}},
	{"tree, RWW leases", func(size clusterSize, s [][]request) int { return countOverTwoLevelTree(size, s, aggregationtree.RWW) }},
	{"narrow tree, RWW leases", func(size clusterSize, s [][]request) int {
		domains, _ := size.layout()

		return countOverTree(aggregationtree.Layered(domains, narrowTreeChildren), s, aggregationtree.RWW)
	}},
	{"tree, by period", countPeriodicOverTree},
}

func countPushToAll(size clusterSize, sequence [][]request) int {
	total := 0
	for _, round := range sequence {
		_, writes, _ := countReadsAndWrites(round)
		total += writes * (size.hosts - 1)
	}

	return total
}

func countPullFromAll(size clusterSize, sequence [][]request) int {
	total := 0
	for _, round := range sequence {
		reads, _, _ := countReadsAndWrites(round)
		total += 2 * reads * (size.hosts - 1)
	}

	return total
}

// countPushToReaders counts the messages if each write is sent to the hosts that read in the same round, as if the readers
// were known.
func countPushToReaders(_ clusterSize, sequence [][]request) int {
	total := 0
	for _, round := range sequence {
		_, _, readers := countReadsAndWrites(round)
		for _, r := range round {
			switch {
			case r.read:
			case readers[r.host]:
				total += len(readers) - 1
			default:
				total += len(readers)
			}
		}
	}

	return total
}

// countPeriodicPushToAll counts the messages if each host sends its value to all others once a period, as heartbeats do.
func countPeriodicPushToAll(size clusterSize, sequence [][]request) int {
	return len(sequence) * size.hosts * (size.hosts - 1)
}

// countPeriodicOverTree counts the messages if, once a period, all hosts send their values to the head of their domain,
// the heads exchange sums, and each head sends the total back to its domain.
func countPeriodicOverTree(size clusterSize, sequence [][]request) int {
	return len(sequence) * (2*(size.hosts-size.domains) + size.domains*(size.domains-1))
}

func countOverTwoLevelTree(size clusterSize, sequence [][]request, policy aggregationtree.Policy) int {
	domains, _ := size.layout()

	return countOverTree(aggregationtree.TwoLevel(domains), sequence, policy)
}

// narrowTreeChildren is the maximum number of children of a host within its domain in the narrow tree.
const narrowTreeChildren = 2

func countOverTree(tree aggregationtree.Tree, sequence [][]request, policy aggregationtree.Policy) int {
	n := newNetwork(tree, policy)
	for _, round := range sequence {
		for i, r := range round {
			if r.read {
				n.read(r.host)
			} else {
				n.write(r.host, i)
			}
			n.deliverAll()
		}
	}

	return n.total
}

// TestMessageCounts compares the number of messages of each mechanism for the same requests with the golden table.
func TestMessageCounts(t *testing.T) {
	var table strings.Builder
	for _, m := range workloads {
		fmt.Fprintf(&table, "%s\n%-28s", m.name, fmt.Sprintf("messages, rounds: %d", m.rounds))
		for _, size := range clusterSizes {
			fmt.Fprintf(&table, "%12d", size.hosts)
		}
		table.WriteString("\n")
		for _, mechanism := range mechanisms {
			fmt.Fprintf(&table, "%-28s", mechanism.name)
			for _, size := range clusterSizes {
				fmt.Fprintf(&table, "%12d", mechanism.count(size, m.sequence(size)))
			}
			table.WriteString("\n")
		}
		table.WriteString("\n")
	}
	t.Log("\n" + table.String())
	goldie.New(t, goldie.WithNameSuffix(".txt")).Assert(t, "messages", []byte(table.String()))
}

// TestBusiestHost checks the number of messages to the host that receives most while all hosts apply one change.
func TestBusiestHost(t *testing.T) {
	for _, test := range []struct {
		clusterSize clusterSize
		// direct is the number of messages to the publisher, wide and narrow those to the busiest host of each tree with RWW.
		direct, wide, narrow int
	}{
		{clusterSizes[0], 11, 18, 17},
		{clusterSizes[1], 99, 84, 72},
		{clusterSizes[2], 829, 241, 172},
	} {
		t.Run(fmt.Sprintf("hosts=%d", test.clusterSize.hosts), func(t *testing.T) {
			round := workload{rounds: 1, round: allWriteOneReadsRound}.sequence(test.clusterSize)
			domains, _ := test.clusterSize.layout()
			require.Equal(t, test.direct, countPushToReaders(test.clusterSize, round))
			require.Equal(t, test.wide, maxMessagesToOneHost(aggregationtree.TwoLevel(domains), round[0]))
			require.Equal(t, test.narrow, maxMessagesToOneHost(aggregationtree.Layered(domains, narrowTreeChildren), round[0]))
		})
	}
}

// maxMessagesToOneHost returns the number of messages to the host that receives the most.
func maxMessagesToOneHost(tree aggregationtree.Tree, round []request) int {
	n := newNetwork(tree, aggregationtree.RWW)
	received := make(map[id.Host]int)
	for i, r := range round {
		if r.read {
			n.read(r.host)
		} else {
			n.write(r.host, i)
		}
		for len(n.queue) > 0 {
			received[n.queue[0].To]++
			n.deliver(0)
		}
	}
	maxCount := 0
	for _, count := range received {
		maxCount = max(maxCount, count)
	}

	return maxCount
}
