package gatewayhost_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cardamomward/platform/standin"
)

const (
	// loopingPrograms is the number of programs that loop without end, enough to be spread over most slots.
	loopingPrograms = 12
	// turnTokens are the tokens of a turn of standin.NewTurnRequest, five events of ten, and maxTurnTokens the most that it
	// may generate.
	turnTokens    = 50
	maxTurnTokens = 100
)

// budgetLoops are programs that send turns until they are refused, with the tokens that each has received.
type budgetLoops struct {
	cluster *testCluster
	budget  int
	mu      sync.Mutex
	tokens  map[string]int
}

func newBudgetLoops(c *testCluster, budget int) *budgetLoops {
	return &budgetLoops{cluster: c, budget: budget, tokens: make(map[string]int)}
}

// spend sends turns of all programs to hosts in turn until each has been refused with 402, or until the time is up.
func (l *budgetLoops) spend(limit time.Duration, names ...string) {
	until := time.Now().Add(limit)
	var tasks sync.WaitGroup
	for i := range loopingPrograms {
		tasks.Go(func() {
			program, status := fmt.Sprintf("looping-%d", i), 0
			for n := i; status != http.StatusPaymentRequired && time.Now().Before(until); n++ {
				status = l.sendTurn(names[n%len(names)], program)
			}
		})
	}
	tasks.Wait()
}

// sendTurn sends one turn and returns its status, or zero if there was no response.
func (l *budgetLoops) sendTurn(name, program string) int {
	request := fmt.Sprintf("request-%d", l.cluster.requestCount.Add(1))
	call := standin.NewTurnRequest("/draft/", "secret", program, "", "x")
	call.Header["Token-Budget"] = strconv.Itoa(l.budget)
	response, err := call.Send(context.Background(), request, l.cluster.hosts[name].settings.CallerAddress)
	if err == nil && response.Status == http.StatusOK {
		l.mu.Lock()
		l.tokens[program] += turnTokens
		l.mu.Unlock()
	} else {
		time.Sleep(20 * time.Millisecond)
	}

	return response.Status
}

// requireWithinBudgets requires that no program has received more than its budget and one turn.
func (l *budgetLoops) requireWithinBudgets() {
	l.cluster.t.Helper()
	for program, tokens := range l.tokens {
		require.LessOrEqual(l.cluster.t, tokens, l.budget+maxTurnTokens, "tokens of %s", program)
	}
}

// killAll stops all hosts at once without draining them.
func (c *testCluster) killAll() {
	for _, name := range c.names {
		c.hosts[name].stop()
	}
	for _, name := range c.names {
		<-c.hosts[name].done
	}
}

// startAll starts all hosts again.
func (c *testCluster) startAll() {
	for _, name := range c.names {
		c.start(name)
	}
}

func TestSpentBudgetsStaySpentWhenAllHostsRestartWhilePartitionsAreDown(t *testing.T) {
	c := newTestCluster(t, 3)
	loops := newBudgetLoops(c, 1000)
	loops.spend(waitTimeout, c.names...)
	c.store.SetFaults(ownedSlotsDown)
	c.killAll()
	c.startAll()
	loops.spend(5*time.Second, c.names...)
	loops.requireWithinBudgets()
}

// requireBudgetsHoldOverOutageAndLoss lets programs loop while partitions are down, and again after the loss of all hosts.
func requireBudgetsHoldOverOutageAndLoss(t *testing.T, budget int) {
	t.Helper()
	c := newTestCluster(t, 3)
	loops := newBudgetLoops(c, budget)
	c.store.SetFaults(ownedSlotsDown)
	loops.spend(4*time.Second, c.names...)
	c.killAll()
	c.store.SetFaults(standin.Faults{})
	c.startAll()
	loops.spend(waitTimeout, c.names...)
	loops.requireWithinBudgets()
}

func TestBudgetsHoldWhenAllHostsAreLostWhilePartitionsAreDown(t *testing.T) {
	requireBudgetsHoldOverOutageAndLoss(t, 4*maxTurnTokens)
}

func TestLargeBudgetsHoldWhenAllHostsAreLostWhilePartitionsAreDown(t *testing.T) {
	requireBudgetsHoldOverOutageAndLoss(t, 10*maxTurnTokens)
}

// Programs run in an outage of the store through a host that owns the slots of some of them. The counts of these were lost with it, and
// their whole budget was spent once more.
func TestBudgetsHoldWhenHostThatOwnsAndServesProgramsIsLostInOutage(t *testing.T) {
	const programs, budget, maxTokens, tokensOfTurn = 24, 1000, 100, 50
	c := newTestCluster(t, 4)
	turns := make([]int, programs)
	sendTurn := func(host string, program int) int {
		response := c.do(host, standin.NewTurnRequest("/draft/", "secret", fmt.Sprintf("program-%d", program), "", "x"))
		if response.Status == http.StatusOK {
			turns[program]++
		}

		return response.Status
	}
	c.store.SetFaults(standin.Faults{Down: true})
	time.Sleep(2 * time.Second)
	var tasks sync.WaitGroup
	for program := range programs {
		tasks.Go(func() {
			for until := time.Now().Add(2 * time.Second); turns[program] < 5 && time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
				sendTurn("host-0", program)
			}
		})
	}
	tasks.Wait()
	c.kill("host-0")
	c.store.SetFaults(standin.Faults{})
	c.start("host-0")
	for program := range programs {
		tasks.Go(func() {
			for until := time.Now().Add(waitTimeout); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
				if sendTurn(c.names[1+program%3], program) == http.StatusPaymentRequired {
					return
				}
			}
			assert.Fail(t, "the budget is never spent")
		})
	}
	tasks.Wait()
	for program := range programs {
		require.LessOrEqual(t, turns[program]*tokensOfTurn, budget+maxTokens, "program %d", program)
	}
}
