package gatewayhost_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cardamomward/platform"
	"cardamomward/platform/standin"
)

// longLease makes memberships outlast the test, so that slots move only when hosts evict others or leave.
func longLease(_ *testCluster, settings *platform.HostSettings) {
	settings.Store.MinLeaseDuration = time.Hour
}

func TestHostWithoutStoreConnectionRelaysThroughPeer(t *testing.T) {
	c := newTestCluster(t, 3)
	first := c.doUntilStatus("host-1", standin.NewTurnRequest("/chat/", "secret", "p", "", "one;"), http.StatusOK)
	c.storeLinks["host-0"].SetDown(true)
	// The host still receives the newest configuration, and the turns of its programs still become durable.
	standin.Configuration{Version: 2, APIKeys: []string{"newer"}}.WriteToStore(c.store)
	c.doUntilStatus("host-0", standin.CallerRequest{Path: "/look/", APIKey: "secret"}, http.StatusUnauthorized)
	for i := range 24 {
		program := fmt.Sprintf("relayed-%d", i)
		turn := c.doUntilStatus("host-0", standin.NewTurnRequest("/chat/", "newer", program, "", "one;"), http.StatusOK)
		c.doUntilStatus("host-2", standin.NewTurnRequest("/chat/", "newer", program, turn.RequestID, "two;"), http.StatusOK)
	}
	second := c.doUntilStatus("host-0", standin.NewTurnRequest("/chat/", "newer", "p", first.RequestID, "two;"), http.StatusOK)
	require.Equal(t, "one;word-1\nword-2\nword-3\nword-4\nword-5\ntwo;", c.executionsOf(second.RequestID)[0].Body)
	c.storeLinks["host-0"].SetDown(false)
	c.doUntilStatus("host-0", standin.NewTurnRequest("/chat/", "newer", "p", second.RequestID, "three;"), http.StatusOK)
}

func TestSilentOwnerIsReplacedBeforeLeaseExpiry(t *testing.T) {
	c := newTestCluster(t, 4, longLease)
	first := make(map[string]standin.CallerResponse)
	for i := range 24 {
		program := fmt.Sprintf("program-%d", i)
		first[program] = c.doUntilStatus("host-1", standin.NewTurnRequest("/chat/", "secret", program, "", "one;"), http.StatusOK)
	}
	c.kill("host-0")
	for program, turn := range first {
		c.doUntilStatus("host-2", standin.NewTurnRequest("/chat/", "secret", program, turn.RequestID, "two;"), http.StatusOK)
	}
}

func TestIsolatedHostDirectsCallersToOtherHosts(t *testing.T) {
	c := newTestCluster(t, 3, longLease)
	c.kill("host-1")
	c.kill("host-2")
	// The store still lists the other hosts as owners, but their heartbeats have stopped.
	require.Eventually(t, func() bool {
		addresses := c.addresses("host-0")

		return !strings.Contains(addresses, c.hosts["host-0"].settings.CallerAddress) &&
			strings.Contains(addresses, c.hosts["host-1"].settings.CallerAddress)
	}, waitTimeout, 20*time.Millisecond)
	response := c.do("host-0", standin.NewTurnRequest("/draft/", "secret", "p", "", "x"))
	require.Equal(t, http.StatusServiceUnavailable, response.Status)
	require.True(t, response.ClosesConnection, "the response closes the connection")
	c.start("host-1")
	c.start("host-2")
	c.waitReady()
	c.doUntilStatus("host-0", standin.NewTurnRequest("/draft/", "secret", "p", "", "x"), http.StatusOK)
}

func TestProgramsAreServedWhenHostDrainsDuringStoreOutage(t *testing.T) {
	c := newTestCluster(t, 3, func(_ *testCluster, settings *platform.HostSettings) { settings.Bounds.GracePeriod = 10 * time.Second })
	c.store.SetFaults(standin.Faults{Down: true})
	c.hosts["host-0"].instance.Drain(context.Background())
	for i := range 24 {
		c.doUntilStatus("host-1", standin.NewTurnRequest("/draft/", "secret", fmt.Sprintf("program-%d", i), "", "x"), http.StatusOK)
	}
	c.store.SetFaults(standin.Faults{})
	<-c.hosts["host-0"].done
	for i := range 24 {
		c.doUntilStatus("host-1", standin.NewTurnRequest("/draft/", "secret", fmt.Sprintf("program-%d", i), "", "x"), http.StatusOK)
	}
}

func TestTurnsRetainedDuringStoreOutageAreWrittenOverSlowLink(t *testing.T) {
	// At this rate a full batch takes longer than the timeout of a call to a healthy store.
	const linkBytesPerSecond = 1 << 20
	c := newTestCluster(t, 2, func(_ *testCluster, settings *platform.HostSettings) {
		settings.LinkBytesPerSecond = 4 * linkBytesPerSecond
	})
	c.store.SetFaults(standin.Faults{Down: true})
	time.AfterFunc(time.Second, func() { c.store.SetFaults(standin.Faults{RequestBytesPerSecond: linkBytesPerSecond}) })
	input := strings.Repeat("x", 60_000)
	turns := c.sendTurnsOf("host-0", 60, input)
	for i := range 60 {
		program := fmt.Sprintf("program-%d", i)
		if _, ok := turns[program]; !ok {
			turns[program] = c.doUntilStatus("host-0", standin.NewTurnRequest("/chat/", "secret", program, "", input), http.StatusOK)
		}
	}
	for program, turn := range turns {
		c.doUntilStatus("host-1", standin.NewTurnRequest("/chat/", "secret", program, turn.RequestID, "two;"), http.StatusOK)
	}
	c.kill("host-0")
	c.kill("host-1")
	c.start("host-1")
	for program, turn := range turns {
		c.doUntilStatus("host-1", standin.NewTurnRequest("/chat/", "secret", program, turn.RequestID, "three;"), http.StatusOK)
	}
}

func TestActingOwnerServesSlotsOfOwnerLostDuringStoreOutage(t *testing.T) {
	c := newTestCluster(t, 4)
	begun := make(map[string]standin.CallerResponse)
	for i := range 24 {
		program := fmt.Sprintf("begun-%d", i)
		begun[program] = c.doUntilStatus("host-1", standin.NewTurnRequest("/draft/", "secret", program, "", "x"), http.StatusOK)
	}
	c.store.SetFaults(standin.Faults{Down: true})
	c.kill("host-0")
	for program := range begun {
		c.doUntilStatus("host-2", standin.NewTurnRequest("/draft/", "secret", program, "", "x"), http.StatusOK)
	}
	require.Empty(t, c.sendTurns("host-2", 24), "a retained turn cannot become durable")
	time.AfterFunc(time.Second, func() { c.store.SetFaults(standin.Faults{}) })
	retained := c.sendTurns("host-2", 24)
	require.NotEmpty(t, retained, "turns that were begun at acting owners end once they are durable")
	for program, turn := range retained {
		c.doUntilStatus("host-3", standin.NewTurnRequest("/chat/", "secret", program, turn.RequestID, "two;"), http.StatusOK)
		c.doUntilStatus("host-1", standin.NewTurnRequest("/chat/", "secret", program, turn.RequestID, "three;"), http.StatusOK)
	}
}

func TestBudgetIsEnforcedWhenOwnerIsLostDuringStoreOutage(t *testing.T) {
	c := newTestCluster(t, 4)
	turns := 0
	sendTurn := func(name string) int {
		response := c.do(name, standin.NewTurnRequest("/draft/", "secret", "looping", "", "x"))
		if response.Status == http.StatusOK {
			turns++
		}

		return response.Status
	}
	for i := 0; turns < 6; i++ {
		sendTurn(c.names[i%4])
	}
	c.store.SetFaults(standin.Faults{Down: true})
	c.kill("host-1")
	// A quarter of the budget of 1000, five turns, may be spent undurably, in addition to a last turn that is durable already.
	for until := time.Now().Add(3 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		sendTurn("host-0")
		sendTurn("host-2")
	}
	require.Greater(t, turns, 6, "the program goes on during the outage")
	require.LessOrEqual(t, turns, 6+6)
	c.store.SetFaults(standin.Faults{})
	deadline := time.Now().Add(waitTimeout)
	for i := 0; sendTurn(c.names[2*(i%2)]) != http.StatusPaymentRequired; i++ {
		require.True(t, time.Now().Before(deadline))
	}
	c.doUntilStatus("host-3", standin.NewTurnRequest("/draft/", "secret", "looping", "", "x"), http.StatusPaymentRequired)
	// Each turn has five events of ten tokens.
	require.LessOrEqual(t, turns*50, 1000+100)
}

func TestSlotsAreServedWhilePartitionsAreDown(t *testing.T) {
	c := newTestCluster(t, 3)
	// Partition 0 stays up: it is the only one of the consumed topics.
	c.store.SetFaults(standin.Faults{DownPartitions: []int{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}})
	serve := func(name string) {
		for i := range 24 {
			c.doUntilStatus(name, standin.NewTurnRequest("/draft/", "secret", fmt.Sprintf("program-%d", i), "", "x"), http.StatusOK)
		}
	}
	serve("host-0")
	serve("host-1")
	retained := c.sendTurns("host-0", 24)
	c.kill("host-0")
	serve("host-2")
	c.store.SetFaults(standin.Faults{})
	c.kill("host-1")
	c.kill("host-2")
	for _, name := range c.names {
		c.start(name)
	}
	for program, turn := range retained {
		c.doUntilStatus("host-1", standin.NewTurnRequest("/chat/", "secret", program, turn.RequestID, "two;"), http.StatusOK)
	}
	for i := range 24 {
		c.doUntilStatus("host-1", standin.NewTurnRequest("/chat/", "secret", fmt.Sprintf("program-%d", i), "", "three;"), http.StatusOK)
	}
}

func TestTimedOutRequestsAreNotCountedAsCrashes(t *testing.T) {
	c := newTestCluster(t, 1)
	for i := range 2 {
		engine := standin.NewUpstream(fmt.Sprintf("engine-more-%d", i), "engines", 5)
		t.Cleanup(engine.Close)
		c.engines = append(c.engines, engine)
		engine.Register(c.store, "ready")
	}
	for _, engine := range c.engines {
		engine.EventInterval = 100 * time.Millisecond
	}
	for i := range 16 {
		// Programs and prompts differ, so that the requests are balanced over all upstreams.
		shortDeadline := standin.NewTurnRequest("/draft/", "secret", fmt.Sprintf("hurried-%d", i), "", "the same body")
		shortDeadline.Header["Time-Remaining-Ms"] = "250"
		shortDeadline.Header["Prompt-Prefix"] = fmt.Sprintf("a%d:400,b%d:100", i, i)
		response := c.do("host-0", shortDeadline)
		require.True(t, response.Truncated, "the stream ends at the caller's deadline")
	}
	used := make(map[string]bool)
	for _, engine := range c.engines {
		for _, executed := range engine.ExecutedRequests() {
			if executed.Body == "the same body" {
				used[engine.ID] = true
			}
		}
	}
	require.GreaterOrEqual(t, len(used), 3, "a request is blocked after crashes of three upstreams")
	longDeadline := standin.NewTurnRequest("/draft/", "secret", "patient", "", "the same body")
	require.Equal(t, wholeStream, c.doUntilStatus("host-0", longDeadline, http.StatusOK).Body)
}

func TestMinorityOfHostsCutOffFromStoreRefusesRequests(t *testing.T) {
	c := newTestCluster(t, 5)
	for _, name := range c.names[:2] {
		c.storeLinks[name].SetDown(true)
	}
	// The two remaining hosts cannot tell killed hosts from a network partition.
	for _, name := range c.names[2:] {
		c.kill(name)
	}
	allRefused := func() bool {
		for i := range 24 {
			response := c.do("host-0", standin.NewTurnRequest("/chat/", "secret", fmt.Sprintf("program-%d", i), "", "one;"))
			if response.Status != http.StatusServiceUnavailable {
				return false
			}
		}

		return true
	}
	require.Eventually(t, allRefused, waitTimeout, 20*time.Millisecond)
	for range 3 {
		require.True(t, allRefused(), "the majority may still serve the slots")
	}
	for _, name := range c.names[:2] {
		c.storeLinks[name].SetDown(false)
	}
	for i := range 24 {
		c.doUntilStatus("host-0", standin.NewTurnRequest("/chat/", "secret", fmt.Sprintf("program-%d", i), "", "one;"), http.StatusOK)
	}
}

func TestUpstreamsExpiredDuringStoreOutageStayAvailable(t *testing.T) {
	c := newTestCluster(t, 1)
	c.store.SetFaults(standin.Faults{Down: true})
	time.Sleep(1500 * time.Millisecond)
	// The registrations expired during the outage; after it the upstreams write them again.
	for _, upstream := range append(append([]*standin.Upstream(nil), c.engines...), c.plainUpstreams...) {
		c.store.PutRecord(platform.UpstreamsTopic, upstream.ID, nil)
	}
	c.store.SetFaults(standin.Faults{})
	time.Sleep(time.Second)
	for _, upstream := range append(append([]*standin.Upstream(nil), c.engines...), c.plainUpstreams...) {
		upstream.Register(c.store, "ready")
	}
	c.doUntilStatus("host-0", standin.CallerRequest{Path: "/look/", APIKey: "secret"}, http.StatusOK)
	for until := time.Now().Add(3 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		require.Equal(t, http.StatusOK, c.do("host-0", standin.CallerRequest{Path: "/look/", APIKey: "secret"}).Status)
	}
}

func TestSlotIsLoadedOverSlowStoreLink(t *testing.T) {
	c := newTestCluster(t, 2, func(_ *testCluster, settings *platform.HostSettings) { settings.LinkBytesPerSecond = 100e6 })
	input := strings.Repeat("x", 60_000)
	turn := c.doUntilStatus("host-0", standin.NewTurnRequest("/chat/", "secret", "p", "", input), http.StatusOK)
	for range 11 {
		turn = c.doUntilStatus("host-0", standin.NewTurnRequest("/chat/", "secret", "p", turn.RequestID, input), http.StatusOK)
	}
	c.kill("host-0")
	c.kill("host-1")
	// A page of the slot takes half a second, much longer than a call to a healthy store.
	c.store.SetFaults(standin.Faults{ListBytesPerSecond: 2 << 20})
	c.start("host-1")
	c.doUntilStatus("host-1", standin.NewTurnRequest("/chat/", "secret", "p", turn.RequestID, "last;"), http.StatusOK)
}

// ownedSlotsDown lets the partitions of all slots but one fail; the one that stays up is that of the consumed topics.
var ownedSlotsDown = standin.Faults{DownPartitions: []int{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}}

func fiveSecondGracePeriod(_ *testCluster, settings *platform.HostSettings) {
	settings.Bounds.GracePeriod = 5 * time.Second
}

// sendTurns sends the first turn of each program to a host at once and returns the whole responses by program.
func (c *testCluster) sendTurns(name string, programs int) map[string]standin.CallerResponse {
	c.t.Helper()

	return c.sendTurnsOf(name, programs, "one;")
}

// sendTurnsOf is sendTurns with an input.
func (c *testCluster) sendTurnsOf(name string, programs int, input string) map[string]standin.CallerResponse {
	c.t.Helper()
	responses := make([]standin.CallerResponse, programs)
	var tasks sync.WaitGroup
	for i := range programs {
		tasks.Go(func() {
			call := standin.NewTurnRequest("/chat/", "secret", fmt.Sprintf("program-%d", i), "", input)
			request := fmt.Sprintf("request-%d", c.requestCount.Add(1))
			var err error
			responses[i], err = call.Send(context.Background(), request, c.hosts[name].settings.CallerAddress)
			assert.NoError(c.t, err)
		})
	}
	tasks.Wait()
	turns := make(map[string]standin.CallerResponse)
	for i, response := range responses {
		if response.Status == http.StatusOK && !response.Truncated {
			turns[fmt.Sprintf("program-%d", i)] = response
		}
	}

	return turns
}

// requireTurnsAreFound continues all programs at a host and requires that no turn is reported as unknown.
func (c *testCluster) requireTurnsAreFound(name string, turns map[string]standin.CallerResponse) {
	c.t.Helper()
	var tasks sync.WaitGroup
	for program, turn := range turns {
		tasks.Go(func() {
			call := standin.NewTurnRequest("/chat/", "secret", program, turn.RequestID, "two;")
			status := 0
			for until := time.Now().Add(waitTimeout); status != http.StatusOK && status != http.StatusNotFound && time.Now().Before(until); {
				time.Sleep(20 * time.Millisecond)
				request := fmt.Sprintf("request-%d", c.requestCount.Add(1))
				if response, err := call.Send(context.Background(), request, c.hosts[name].settings.CallerAddress); err == nil {
					status = response.Status
				}
			}
			assert.Equal(c.t, http.StatusOK, status, "a turn of %s that was answered whole is lost", program)
		})
	}
	tasks.Wait()
}

func TestTurnsAnsweredByDrainingHostSurviveOwnerLoss(t *testing.T) {
	c := newTestCluster(t, 4, fiveSecondGracePeriod)
	for _, engine := range c.engines {
		engine.EventInterval = 300 * time.Millisecond
	}
	time.AfterFunc(100*time.Millisecond, func() { c.hosts["host-0"].instance.Drain(context.Background()) })
	time.AfterFunc(1200*time.Millisecond, func() { c.store.SetFaults(ownedSlotsDown) })
	time.AfterFunc(2*time.Second, func() { c.store.SetFaults(standin.Faults{}) })
	turns := c.sendTurns("host-0", 24)
	require.NotEmpty(t, turns)
	c.kill("host-1")
	<-c.hosts["host-0"].done
	c.requireTurnsAreFound("host-2", turns)
}

func TestTurnsAnsweredByHostsThatDrainInOutageOutliveThem(t *testing.T) {
	c := newTestCluster(t, 6, fiveSecondGracePeriod)
	c.store.SetFaults(standin.Faults{Down: true})
	time.AfterFunc(300*time.Millisecond, func() {
		for _, name := range c.names[:4] {
			c.hosts[name].instance.Drain(context.Background())
		}
	})
	time.AfterFunc(time.Second, func() { c.store.SetFaults(standin.Faults{}) })
	turns := c.sendTurns("host-0", 64)
	require.NotEmpty(t, turns)
	for _, name := range c.names[:4] {
		<-c.hosts[name].done
	}
	c.requireTurnsAreFound("host-4", turns)
}

func TestDrainingHostServesTurnsUntilItStopsAccepting(t *testing.T) {
	c := newTestCluster(t, 3)
	c.hosts["host-0"].instance.Drain(context.Background())
	// Peers that do not hear a host stop counting it as live after a second.
	time.Sleep(1200 * time.Millisecond)
	response := c.do("host-0", standin.NewTurnRequest("/draft/", "secret", "p", "", "x"))
	require.Equal(t, http.StatusOK, response.Status)
}

func TestHostWhoseEntryIsDeletedLateIsListedAgain(t *testing.T) {
	c := newTestCluster(t, 2)
	lists := func(name string) bool {
		return strings.Contains(c.addresses(name), c.hosts["host-0"].settings.CallerAddress)
	}
	// The store executes a call of the host's previous process.
	c.store.PutRecord(platform.CompactedTopic("hosts"), "host-0", nil)
	for until := time.Now().Add(time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		require.True(t, lists("host-1"), "a host that still hears it keeps it")
	}
	c.start("host-2")
	require.Eventually(t, func() bool { return lists("host-2") }, 2*time.Second, 20*time.Millisecond, "a new host reads its entry")
}

func TestBrokenStreamOfUnlistedUpstreamStaysWithinItsAttempts(t *testing.T) {
	c := newTestCluster(t, 1)
	standin.Configuration{Version: 2, APIKeys: []string{"secret"}, MaxAttempts: 1}.WriteToStore(c.store)
	c.slowStreams(300 * time.Millisecond)
	for _, engine := range c.engines {
		engine.BreakStreamsAtEvent(4)
	}
	time.Sleep(registrationDelay)
	broken := make(chan standin.CallerResponse, 1)
	go func() {
		response, err := standin.NewTurnRequest("/draft/", "secret", "p", "", "x").Send(context.Background(), "unlisted", c.hosts["host-0"].settings.CallerAddress)
		assert.NoError(t, err)
		broken <- response
	}()
	require.Eventually(t, func() bool { return len(c.executionsOf("unlisted")) == 1 }, waitTimeout, 5*time.Millisecond)
	// An upstream that leaves without a draining state loses its entry and continues to run.
	for _, engine := range c.engines {
		for _, executed := range engine.ExecutedRequests() {
			if executed.Header.Get("Request-Id") == "unlisted" {
				engine.Deregister(c.store)
			}
		}
	}
	require.True(t, (<-broken).Truncated)
	require.Len(t, c.executionsOf("unlisted"), 1, "the upstreams that ran the request")
}
