package gatewayhost_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cardamomward/core/id"
	"cardamomward/platform"
	"cardamomward/platform/standin"
	"cardamomward/standin/netsim"
)

const (
	// otherDomain is the failure domain of the upstreams that move out of the initial one.
	otherDomain = id.FailureDomain("zone-b")
	// evacuationDelay is enough for all connected hosts to read an evacuation.
	evacuationDelay = 500 * time.Millisecond
)

// moveToOtherDomain registers upstreams in otherDomain and waits until the hosts have read it.
func (c *testCluster) moveToOtherDomain(upstreams ...*standin.Upstream) {
	for _, upstream := range upstreams {
		upstream.FailureDomain = otherDomain
		upstream.Register(c.store, "ready")
	}
	time.Sleep(registrationDelay)
}

// evacuate begins an evacuation and waits until the hosts have read it.
func (c *testCluster) evacuate(domains ...id.FailureDomain) {
	for _, domain := range domains {
		c.store.Evacuate(domain)
	}
	time.Sleep(evacuationDelay)
}

// arrivalsSince returns the number of requests that arrived at upstreams after a time.
func arrivalsSince(after time.Time, upstreams ...*standin.Upstream) int {
	count := 0
	for _, upstream := range upstreams {
		count += len(slices.DeleteFunc(upstream.Arrivals(), func(at time.Time) bool { return at.Before(after) }))
	}

	return count
}

// newEvacuationCluster returns a cluster with one engine and one plain upstream in each of two failure domains.
func newEvacuationCluster(t *testing.T, hosts int) (c *testCluster, evacuated []*standin.Upstream) {
	t.Helper()
	c = newTestCluster(t, hosts)
	c.moveToOtherDomain(c.engines[1], c.plainUpstreams[1])

	return c, []*standin.Upstream{c.engines[0], c.plainUpstreams[0]}
}

func TestEvacuatedDomainGetsNoFirstAttemptsUntilKeyIsRemoved(t *testing.T) {
	t.Parallel()
	c, evacuated := newEvacuationCluster(t, 3)
	c.evacuate(standin.InitialFailureDomain)
	evacuatedAt := time.Now()
	for _, newCall := range []func(int64) standin.CallerRequest{newLookup, newOrder, newDraft} {
		require.Equal(t, []int{http.StatusOK}, statusesOf(c.sendConcurrently(time.Second, newCall)))
	}
	require.Zero(t, arrivalsSince(evacuatedAt, evacuated...))
	c.store.EndEvacuation(standin.InitialFailureDomain)
	time.Sleep(evacuationDelay)
	c.sendConcurrently(time.Second, newLookup)
	c.sendConcurrently(time.Second, newDraft)
	for _, upstream := range evacuated {
		require.Positive(t, arrivalsSince(evacuatedAt, upstream), "%s is used again", upstream.ID)
	}
}

func TestSessionLeavesUpstreamThatHasItsPromptWhenDomainIsEvacuated(t *testing.T) {
	t.Parallel()
	c, evacuated := newEvacuationCluster(t, 1)
	call := newDraft(0)
	for len(evacuated[0].ExecutedRequests()) == 0 {
		call = newDraft(c.requestCount.Add(1))
		c.doUntilStatus("host-0", call, http.StatusOK)
	}
	c.evacuate(standin.InitialFailureDomain)
	evacuatedAt := time.Now()
	for range 5 {
		c.doUntilStatus("host-0", call, http.StatusOK)
	}
	require.Zero(t, arrivalsSince(evacuatedAt, evacuated...))
}

func TestRetryDoesNotReachEvacuatedDomain(t *testing.T) {
	t.Parallel()
	c, evacuated := newEvacuationCluster(t, 1)
	c.evacuate(standin.InitialFailureDomain)
	evacuatedAt := time.Now()
	c.plainUpstreams[1].SetOverloaded(true)
	for range 5 {
		require.Equal(t, http.StatusServiceUnavailable, c.do("host-0", newLookup(0)).Status)
	}
	require.Positive(t, arrivalsSince(evacuatedAt, c.plainUpstreams[1]))
	require.Zero(t, arrivalsSince(evacuatedAt, evacuated...))
}

func TestBrokenStreamIsNotResumedInEvacuatedDomain(t *testing.T) {
	t.Parallel()
	c, evacuated := newEvacuationCluster(t, 1)
	c.engines[0].SetOverloaded(true)
	c.engines[1].EventInterval = 400 * time.Millisecond
	c.engines[1].BreakStreamsAtEvent(4)
	broken := make(chan standin.CallerResponse, 1)
	go func() { broken <- c.do("host-0", newDraft(c.requestCount.Add(1))) }()
	require.Eventually(t, func() bool { return len(c.engines[1].ExecutedRequests()) > 0 }, waitTimeout, 5*time.Millisecond)
	c.engines[0].SetOverloaded(false)
	c.evacuate(standin.InitialFailureDomain)
	evacuatedAt := time.Now()
	require.True(t, (<-broken).Truncated)
	require.Zero(t, arrivalsSince(evacuatedAt, evacuated...))
}

func TestResponseInProgressAtEvacuatedDomainIsWhole(t *testing.T) {
	t.Parallel()
	c, evacuated := newEvacuationCluster(t, 1)
	c.engines[1].SetOverloaded(true)
	c.slowStreams(400 * time.Millisecond)
	whole := make(chan standin.CallerResponse, 1)
	go func() { whole <- c.do("host-0", newDraft(c.requestCount.Add(1))) }()
	require.Eventually(t, func() bool { return evacuated[0].RunningRequests() > 0 }, waitTimeout, 5*time.Millisecond)
	c.evacuate(standin.InitialFailureDomain)
	require.Equal(t, wholeStream, (<-whole).Body)
}

func TestWaitingRequestDoesNotReachDomainThatIsEvacuatedMeanwhile(t *testing.T) {
	t.Parallel()
	c, evacuated := newEvacuationCluster(t, 1)
	nameLimit(upstreamLimit, c.engines...)
	begun := newDraft(0)
	c.doUntilStatus("host-0", begun, http.StatusOK)
	var tasks sync.WaitGroup
	until := time.Now().Add(3 * time.Second)
	for range 4 {
		tasks.Go(func() {
			for time.Now().Before(until) {
				_, err := begun.Send(context.Background(), fmt.Sprintf("request-%d", c.requestCount.Add(1)), c.hosts["host-0"].settings.CallerAddress)
				assert.NoError(t, err)
			}
		})
	}
	time.Sleep(time.Second)
	c.evacuate(standin.InitialFailureDomain)
	evacuatedAt := time.Now()
	tasks.Wait()
	require.Positive(t, arrivalsSince(evacuatedAt, c.engines[1]))
	require.Zero(t, arrivalsSince(evacuatedAt, evacuated...))
}

func TestRelayedRequestsDoNotReachEvacuatedDomain(t *testing.T) {
	t.Parallel()
	c, evacuated := newEvacuationCluster(t, 2)
	c.partition((*netsim.Network).CutLink, c.allUpstreams(), "host-0")
	c.sendToHost("host-0", partitionDetectionTime, newOrder)
	c.requireServed(time.Second, newOrder, "host-0")
	require.Positive(t, arrivalsSince(time.Time{}, evacuated...))
	// The host that sends reads the store through its peer, later than the peer itself.
	c.storeLinks["host-0"].SetDown(true)
	c.evacuate(standin.InitialFailureDomain)
	evacuatedAt := time.Now()
	c.sendToHost("host-0", 2*time.Second, newOrder)
	c.sendToHost("host-0", time.Second, newDraft)
	require.Positive(t, arrivalsSince(evacuatedAt, c.plainUpstreams[1], c.engines[1]))
	require.Zero(t, arrivalsSince(evacuatedAt, evacuated...))
}

func TestHostThatStartsDuringEvacuationSendsNothingToDomain(t *testing.T) {
	t.Parallel()
	c, evacuated := newEvacuationCluster(t, 2)
	c.evacuate(standin.InitialFailureDomain)
	evacuatedAt := time.Now()
	c.kill("host-0")
	c.start("host-0")
	for until := time.Now().Add(3 * time.Second); time.Now().Before(until); {
		request := fmt.Sprintf("request-%d", c.requestCount.Add(1))
		newLookup(0).Send(context.Background(), request, c.hosts["host-0"].settings.CallerAddress) //nolint:errcheck // the host is starting
	}
	c.doUntilStatus("host-0", newLookup(0), http.StatusOK)
	require.Zero(t, arrivalsSince(evacuatedAt, evacuated...))
}

func TestEvacuationLastsThroughStoreOutage(t *testing.T) {
	t.Parallel()
	c, evacuated := newEvacuationCluster(t, 1)
	c.evacuate(standin.InitialFailureDomain)
	evacuatedAt := time.Now()
	c.store.SetFaults(standin.Faults{Down: true})
	c.sendToHost("host-0", 3*time.Second, newLookup)
	require.Positive(t, arrivalsSince(evacuatedAt, c.plainUpstreams[1]))
	require.Zero(t, arrivalsSince(evacuatedAt, evacuated...))
}

func TestEvacuationsFollowListingAfterCompaction(t *testing.T) {
	t.Parallel()
	c, _ := newEvacuationCluster(t, 1)
	c.evacuate(standin.InitialFailureDomain)
	c.store.SetFaults(standin.Faults{DownPartitions: []int{0}})
	time.Sleep(evacuationDelay)
	c.store.EndEvacuation(standin.InitialFailureDomain)
	c.store.Evacuate(otherDomain)
	c.store.ExpireRecords(platform.Partition{Topic: platform.ConfigurationTopic})
	c.store.SetFaults(standin.Faults{})
	time.Sleep(registrationDelay)
	listedAt := time.Now()
	c.requireServed(time.Second, newLookup, "host-0")
	require.Positive(t, arrivalsSince(listedAt, c.plainUpstreams[0]), "the key is missing from the listing")
	require.Zero(t, arrivalsSince(listedAt, c.plainUpstreams[1]), "the listing has the key")
}

func TestRequestsAreRejectedAtOnceWhileAllDomainsAreEvacuated(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 1, func(c *testCluster, _ *platform.HostSettings) { c.servesMetrics = true })
	c.moveToOtherDomain(c.engines[1], c.plainUpstreams[1])
	c.evacuate(standin.InitialFailureDomain, otherDomain)
	for _, call := range []standin.CallerRequest{newLookup(0), newOrder(0), newDraft(0), standin.NewTurnRequest("/chat/", "secret", "p", "", "x")} {
		sentAt := time.Now()
		response := c.do("host-0", call)
		require.Less(t, time.Since(sentAt), 200*time.Millisecond)
		require.Equal(t, http.StatusServiceUnavailable, response.Status)
		require.Contains(t, response.Body, "evacuated")
		require.Empty(t, c.executionsOf(response.RequestID))
	}
	require.Contains(t, c.metrics("host-0"), "evacuated-domains 2\n")
	require.Contains(t, c.metrics("host-0"), "requests{\"evacuated\"} 4\n")
}

func TestUpstreamThatRegistersInEvacuatedDomainGetsNoRequests(t *testing.T) {
	t.Parallel()
	var logs logRecorder
	c := newTestCluster(t, 1, func(c *testCluster, _ *platform.HostSettings) { c.newLogger = logs.newLogger })
	c.evacuate(otherDomain)
	require.True(t, logs.contains("evacuation"), "a domain without upstreams is logged")
	c.requireServed(time.Second, newLookup, "host-0")
	c.moveToOtherDomain(c.plainUpstreams[1])
	movedAt := time.Now()
	c.requireServed(time.Second, newLookup, "host-0")
	require.Zero(t, arrivalsSince(movedAt, c.plainUpstreams[1]))
}

func TestRequestIsWithheldIfDomainIsEvacuatedWhileConnectionIsOpened(t *testing.T) {
	t.Parallel()
	c, _ := newEvacuationCluster(t, 1)
	c.plainUpstreams[1].SetOverloaded(true)
	c.network.PauseLink("host-0", c.plainUpstreams[0].ID)
	withheld := make(chan standin.CallerResponse, 1)
	go func() { withheld <- c.do("host-0", newOrder(0)) }()
	time.Sleep(100 * time.Millisecond)
	c.store.Evacuate(standin.InitialFailureDomain)
	time.Sleep(250 * time.Millisecond)
	c.network.ResumeLink("host-0", c.plainUpstreams[0].ID)
	response := <-withheld
	require.Equal(t, http.StatusServiceUnavailable, response.Status, "a request that is withheld has not been executed")
	require.Zero(t, arrivalsSince(time.Time{}, c.plainUpstreams[0]))
}

// Guards against a shorter wait for the configuration on platforms that evacuate no domain, and a longer one on those that do.
func TestSettingsWithEvacuationsShortenWaitForConfiguration(t *testing.T) {
	for evacuation, want := range map[time.Duration]time.Duration{0: 3 * time.Second, 3 * time.Second: 1500 * time.Millisecond} {
		t.Run(evacuation.String(), func(t *testing.T) {
			c := newTestCluster(t, 1, func(_ *testCluster, settings *platform.HostSettings) { settings.Bounds.Evacuation = evacuation })
			require.Eventually(t, func() bool {
				wait, _ := c.store.ReadWait(platform.Partition{Topic: platform.ConfigurationTopic})

				return wait == want
			}, waitTimeout, 5*time.Millisecond)
		})
	}
}
