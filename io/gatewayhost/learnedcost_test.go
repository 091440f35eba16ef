package gatewayhost_test

import (
	"context"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/gatewaysettings"
	"cardamomward/platform/standin"
)

var learnedCost = inTwoDomains(gatewaysettings.Placement{LearnedCost: true})

// gauge returns the value of a metric without a label at host-0.
func (c *testCluster) gauge(name string) int {
	c.t.Helper()
	match := regexp.MustCompile(`(?m)^` + name + ` (\d+)$`).FindStringSubmatch(c.metrics("host-0"))
	require.NotNil(c.t, match, c.metrics("host-0"))
	value, err := strconv.Atoi(match[1])
	require.NoError(c.t, err)

	return value
}

func TestLengthHintsOfAnyKindAreForwardedUnchanged(t *testing.T) {
	c := newTestCluster(t, 1, learnedCost)
	for _, hint := range []string{"250", "0", "-7", "1e300", "NaN", "Inf", "many", ""} {
		call := newDraft(c.requestCount.Add(1))
		call.Header["Length-Hint"] = hint
		response := c.do("host-0", call)
		require.Equal(t, http.StatusOK, response.Status, hint)
		executions := c.executionsOf(response.RequestID)
		require.Len(t, executions, 1)
		require.Equal(t, hint, executions[0].Header.Get("Length-Hint"))
	}
}

// TestWorkEndsWithItsRequest guards against work that is left at an upstream when its request ends in any way.
func TestWorkEndsWithItsRequest(t *testing.T) {
	c := newTestCluster(t, 1, learnedCost)
	requireNoWork := func(cause string) {
		t.Helper()
		require.Eventually(t, func() bool {
			return c.gauge("tracked-requests") == 0 && c.gauge("outstanding-work-millis") == 0 && c.gauge("reserved-tokens") == 0
		}, waitTimeout, 10*time.Millisecond, cause)
	}
	c.do("host-0", newDraft(1))
	c.do("host-0", newOrder(1))
	requireNoWork("answered")
	c.plainUpstreams[0].SetOverloaded(true)
	c.plainUpstreams[1].SetDropResponses(true)
	for range 6 {
		c.do("host-0", newOrder(1))
	}
	requireNoWork("rejected and lost")
	c.engines[0].BreakStreamsAtEvent(3)
	for i := range int64(6) {
		c.do("host-0", newDraft(i))
	}
	requireNoWork("broken and resumed")
	c.engines[0].BreakStreamsAtEvent(0)
	c.slowStreams(200 * time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	done := c.startRequest(ctx, "canceled", newDraft(100))
	require.Equal(t, 1, c.gauge("tracked-requests"))
	require.Positive(t, c.gauge("outstanding-work-millis"))
	cancel()
	<-done
	requireNoWork("canceled")
}

func TestOutputIsLearnedFromResponses(t *testing.T) {
	c := newTestCluster(t, 1, learnedCost)
	for _, upstream := range c.engines {
		upstream.EventCount = 9
	}
	for range 40 {
		require.Equal(t, http.StatusOK, c.do("host-0", newDraft(c.requestCount.Add(1))).Status)
	}
	c.slowStreams(100 * time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	done := c.startRequest(ctx, "measured", newDraft(1000))
	require.Greater(t, c.gauge("reserved-tokens"), 180, "100 tokens of the prompt and 90 of output, not 45 as without samples")
	cancel()
	<-done
}

func TestWorkThatPeersReportDirectsRequests(t *testing.T) {
	c := newTestCluster(t, 2, learnedCost)
	c.slowStreams(400 * time.Millisecond)
	c.engines[1].SetOverloaded(true)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := range int64(10) {
		c.startRequest(ctx, fmt.Sprint("busy-", i), newDraft(2000+i))
	}
	c.engines[1].SetOverloaded(false)
	time.Sleep(300 * time.Millisecond)
	before := len(c.engines[1].ExecutedRequests())
	for i := range int64(3) {
		go newDraft(3000+i).Send(ctx, fmt.Sprint("other-", i), c.hosts["host-1"].settings.CallerAddress) //nolint:errcheck // the test looks at what upstreams ran
	}
	require.Eventually(t, func() bool { return len(c.engines[1].ExecutedRequests()) == before+3 }, waitTimeout, 5*time.Millisecond,
		"host-1 sends requests where host-0 has much work")
}

func TestSpeedIsLearnedFromEventsAsTheyArrive(t *testing.T) {
	c := newTestCluster(t, 1, learnedCost)
	for _, upstream := range c.engines {
		upstream.EventCount = 10
	}
	c.engines[0].EventInterval, c.engines[1].EventInterval = 20*time.Millisecond, 100*time.Millisecond
	c.sendConcurrently(3*time.Second, newDraft)
	slow, quick := len(c.engines[1].ExecutedRequests()), len(c.engines[0].ExecutedRequests())
	for range 20 {
		c.do("host-0", newDraft(c.requestCount.Add(1)))
	}
	require.Less(t, len(c.engines[1].ExecutedRequests())-slow, 5, "idle upstreams get equal parts though one is slow")
	require.Greater(t, len(c.engines[0].ExecutedRequests())-quick, 15)
}

func TestWorkShrinksAsEventsArrive(t *testing.T) {
	c := newTestCluster(t, 1, learnedCost)
	c.slowStreams(200 * time.Millisecond)
	done := c.startRequest(context.Background(), "observed", newDraft(1))
	atStart := c.gauge("outstanding-work-millis")
	require.Positive(t, atStart)
	require.Eventually(t, func() bool {
		return c.gauge("tracked-requests") == 1 && c.gauge("outstanding-work-millis") <= atStart/2
	}, waitTimeout, 10*time.Millisecond)
	<-done
}

// TestFirstTurnsFindFreeUpstreamBesideFullAndLimitedOnes guards against refusals because the compared upstreams are full while another
// one is free.
func TestFirstTurnsFindFreeUpstreamBesideFullAndLimitedOnes(t *testing.T) {
	c := newTestCluster(t, 1, learnedCost)
	// An engine that has read the shared prompt first would get all requests while none run beside each other.
	c.engines[1].SetOverloaded(true)
	c.exhaustLimit(c.engines[0])
	c.engines[1].SetOverloaded(false)
	c.slowStreams(550 * time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := range int64(16) {
		c.startRequest(ctx, fmt.Sprint("busy-", i), newDraft(4000+i))
	}
	free := standin.NewUpstream("engine-2", "engines", 5)
	t.Cleanup(free.Close)
	free.Register(c.store, "ready")
	time.Sleep(registrationDelay)
	for i := range int64(12) {
		require.Equal(t, http.StatusOK, c.do("host-0", newDraft(5000+i)).Status)
	}
}
