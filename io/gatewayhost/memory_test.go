package gatewayhost_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/gatewaysettings"
	"cardamomward/io/relay"
	"cardamomward/platform"
	"cardamomward/platform/standin"
)

// memoryBudgetBytes is the budget of the tests' hosts.
const memoryBudgetBytes = 4 << 20

func newMemoryCluster(t *testing.T) *testCluster {
	t.Helper()

	return newTestCluster(t, 1, func(c *testCluster, settings *platform.HostSettings) {
		c.servesMetrics = true
		c.gatewaySettings = &gatewaysettings.Settings{Memory: gatewaysettings.Memory{BudgetShare: 0.5}}
		settings.MemoryBytes = 2 * memoryBudgetBytes
	})
}

var heldBytesPattern = regexp.MustCompile(`memory-held-bytes (\d+)`)

// heldBytes returns the bytes that host-0 holds for callers and upstreams.
func (c *testCluster) heldBytes() int64 {
	c.t.Helper()
	match := heldBytesPattern.FindStringSubmatch(c.metrics("host-0"))
	require.NotNil(c.t, match)
	held, err := strconv.ParseInt(match[1], 10, 64)
	require.NoError(c.t, err)

	return held
}

func (c *testCluster) requireNothingHeld() {
	c.t.Helper()
	require.Eventually(c.t, func() bool { return c.heldBytes() == 0 }, waitTimeout, 20*time.Millisecond)
}

// Guards against bodies that are held without a reservation, and against memory that is not given back.
func TestRequestsBeyondMemoryBudgetAreRefusedAndOthersServed(t *testing.T) {
	c := newMemoryCluster(t)
	large := strings.Repeat("x", memoryBudgetBytes/2)
	response, err := standin.CallerRequest{Path: "/look/", APIKey: "secret", Body: large}.Send(context.Background(), "large", c.hosts["host-0"].settings.CallerAddress)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.Status, "its copies do not fit")
	require.Contains(t, response.Body, "no-memory")
	require.Empty(t, c.executionsOf("large"))
	response, err = standin.CallerRequest{Path: "/look/", APIKey: "secret", Body: large + large}.Send(context.Background(), "too-large", c.hosts["host-0"].settings.CallerAddress)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.Status, "it is not read")
	require.Equal(t, "too-large", response.Header.Get("Request-Id"))
	require.Empty(t, c.executionsOf("too-large"))
	require.Equal(t, http.StatusOK, c.do("host-0", standin.CallerRequest{Path: "/look/", APIKey: "secret", Body: large[:memoryBudgetBytes/8]}).Status)
	c.requireNothingHeld()
}

// Guards against slow upstreams in large numbers that hold the bodies of their requests, and against turns whose memory is kept.
func TestSlowUpstreamsStayWithinMemoryBudget(t *testing.T) {
	c := newMemoryCluster(t)
	c.slowStreams(200 * time.Millisecond)
	body := strings.Repeat("x", 256<<10)
	var mu sync.Mutex
	statuses := make(map[int]int)
	most := int64(0)
	var tasks sync.WaitGroup
	for i := range 20 {
		tasks.Go(func() {
			// The fingerprints of the requests differ, as one that fails often is blocked.
			response, err := standin.NewTurnRequest("/draft/", "secret", fmt.Sprintf("slow-%d", i), "", fmt.Sprint(i)+body).Send(context.Background(), fmt.Sprintf("slow-%d", i), c.hosts["host-0"].settings.CallerAddress)
			if err != nil {
				c.t.Errorf("request %d: %v", i, err)
			}
			mu.Lock()
			defer mu.Unlock()
			statuses[response.Status]++
		})
	}
	for range 10 {
		most = max(most, c.heldBytes())
		time.Sleep(50 * time.Millisecond)
	}
	require.Equal(t, http.StatusOK, c.do("host-0", newLookup(0)).Status, "small requests are served")
	tasks.Wait()
	require.Greater(t, most, int64(memoryBudgetBytes/2))
	require.LessOrEqual(t, most, int64(memoryBudgetBytes))
	require.Positive(t, statuses[http.StatusOK])
	require.Positive(t, statuses[http.StatusServiceUnavailable])
	require.Len(t, statuses, 2)
	c.requireNothingHeld()
}

// Guards against memory of responses that are not forwarded, which an upstream may send without end.
func TestMemoryOfEndlessResponsesIsReleased(t *testing.T) {
	c := newMemoryCluster(t)
	for _, upstream := range c.plainUpstreams {
		upstream.SetEndlessResponses(true)
	}
	require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, c.do("host-0", newLookup(0)).Status)
	c.requireNothingHeld()
}

// Guards against transcripts that are held without a reservation, and against callers that name any number of tokens.
func TestMemoryOfRetainedTurnsIsReserved(t *testing.T) {
	c := newMemoryCluster(t)
	c.slowStreams(100 * time.Millisecond)
	sendAs := func(request string, call standin.CallerRequest) int {
		response, err := call.Send(context.Background(), request, c.hosts["host-0"].settings.CallerAddress)
		if err != nil {
			t.Errorf("request %s: %v", request, err)
		}

		return response.Status
	}
	first := standin.NewTurnRequest("/chat/", "secret", "retained", "", strings.Repeat("x", 200<<10))
	require.Equal(t, http.StatusOK, sendAs("retained-1", first))
	c.requireNothingHeld()
	second := standin.NewTurnRequest("/chat/", "secret", "retained", "retained-1", "next")
	second.Header["Token-Usage"] = "1000000000,100"
	done := make(chan int)
	go func() {
		done <- sendAs("retained-2", second)
	}()
	require.Eventually(t, func() bool {
		held := c.heldBytes()

		return held >= 2*200<<10 && held < 3*200<<10
	}, waitTimeout, 10*time.Millisecond, "the transcript and its copy, not what the caller expects")
	require.Equal(t, http.StatusOK, <-done)
	c.requireNothingHeld()
}

// relayUntilRefused opens connections through host-0 as another host does, until it refuses one, and returns them.
func (c *testCluster) relayUntilRefused() (conns []net.Conn) {
	c.t.Helper()
	settings := c.hosts["host-0"].settings
	for {
		conn, err := relay.Dial(c.t.Context(), net.JoinHostPort(settings.IP, strconv.Itoa(settings.PeerPorts[1])), c.plainUpstreams[0].Address())
		if err != nil {
			require.ErrorContains(c.t, err, "503")

			return conns
		}
		c.t.Cleanup(func() { conn.Close() })
		conns = append(conns, conn)
	}
}

// Guards against relayed connections that take the memory of callers, and against callers that take that of relayed connections.
func TestRelayedConnectionsAndCallersLeaveMemoryToEachOther(t *testing.T) {
	const relayedBytes, body = 64 << 10, 200 << 10
	c := newMemoryCluster(t)
	conns := c.relayUntilRefused()
	require.Len(t, conns, memoryBudgetBytes/4/relayedBytes, "connections take a quarter of the budget at most")
	require.EqualValues(t, memoryBudgetBytes/4, c.heldBytes())
	require.Equal(t, http.StatusOK, c.do("host-0", standin.CallerRequest{Path: "/look/", APIKey: "secret", Body: strings.Repeat("x", body)}).Status)
	for _, conn := range conns {
		conn.Close()
	}
	c.requireNothingHeld()
	c.slowStreams(200 * time.Millisecond)
	var callers sync.WaitGroup
	var refused atomic.Int64
	for i := range 20 {
		callers.Go(func() {
			name := fmt.Sprintf("greedy-%d", i)
			response, err := standin.NewTurnRequest("/draft/", "secret", name, "", name+strings.Repeat("x", body)).Send(context.Background(), name, c.hosts["host-0"].settings.CallerAddress)
			if err != nil {
				c.t.Errorf("%s: %v", name, err)
			}
			if response.Status == http.StatusServiceUnavailable {
				refused.Add(1)
			}
		})
	}
	require.Eventually(t, func() bool { return refused.Load() > 0 }, waitTimeout, 5*time.Millisecond, "callers hold all that they can get")
	require.GreaterOrEqual(t, len(c.relayUntilRefused()), memoryBudgetBytes/8/relayedBytes)
	callers.Wait()
}
