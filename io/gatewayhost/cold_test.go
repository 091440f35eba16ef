package gatewayhost_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/platform"
	"cardamomward/platform/standin"
)

const (
	// coldRate is the rate of cold upstreams in requests per second, and coldStart how long they are cold after a start.
	coldRate  = 24.0
	coldStart = 3 * time.Second
	// maxColdArrivals is the most that may arrive at a cold upstream in a second.
	maxColdArrivals = 1.5*coldRate + 5
)

// newColdCluster returns a cluster whose upstreams can be cold, none of which is.
func newColdCluster(t *testing.T, hosts int, adjustSettings ...func(*testCluster, *platform.HostSettings)) *testCluster {
	t.Helper()
	c := newTestCluster(t, hosts, adjustSettings...)
	standin.Configuration{Version: 2, APIKeys: []string{"secret"}, ColdRequestsPerSecond: coldRate, ColdStart: coldStart}.WriteToStore(c.store)
	// The upstreams count as started when they were created.
	time.Sleep(coldStart)

	return c
}

// mostArrivalsInSecond returns the most requests that arrived at an upstream in a second between two times.
func mostArrivalsInSecond(upstream *standin.Upstream, from, to time.Time) int {
	var arrivals []time.Time
	most, first := 0, 0
	for _, at := range upstream.Arrivals() {
		if at.Before(from) || at.After(to) {
			continue
		}
		arrivals = append(arrivals, at)
		for at.Sub(arrivals[first]) >= time.Second {
			first++
		}
		most = max(most, len(arrivals)-first)
	}

	return most
}

// becomeColdByRegistration makes upstreams cold, and returns once the hosts have read it.
func (c *testCluster) becomeColdByRegistration(duration time.Duration, upstreams ...*standin.Upstream) (coldUntil time.Time) {
	coldUntil = time.Now().Add(duration)
	for _, upstream := range upstreams {
		upstream.BecomeCold(duration, false)
		upstream.Register(c.store, "ready")
	}
	time.Sleep(registrationDelay)

	return coldUntil
}

func TestColdUpstreamGetsNoMoreThanItsRateFromAllHosts(t *testing.T) {
	for name, newCall := range map[string]func(int64) standin.CallerRequest{"plain": newLookup, "stream": newDraft} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newColdCluster(t, 4)
			cold := []*standin.Upstream{c.plainUpstreams[0], c.engines[0]}
			coldUntil := c.becomeColdByRegistration(4*time.Second, cold...)
			startedAt := time.Now()
			statuses := c.sendConcurrently(time.Until(coldUntil), newCall)
			require.Equal(t, []int{http.StatusOK}, statusesOf(statuses), "other upstreams serve what exceeds the rate")
			for _, upstream := range cold {
				require.LessOrEqual(t, mostArrivalsInSecond(upstream, startedAt, coldUntil), int(maxColdArrivals), upstream.ID)
			}
		})
	}
}

func TestUpstreamThatStartsDuringTrafficGetsNoBurst(t *testing.T) {
	t.Parallel()
	c := newColdCluster(t, 4)
	var tasks sync.WaitGroup
	tasks.Go(func() { c.sendConcurrently(coldStart+time.Second, newLookup) })
	time.Sleep(time.Second / 2)
	started := standin.NewUpstream("desk-new", "desk", 0)
	t.Cleanup(started.Close)
	startedAt := time.Now()
	started.Register(c.store, "ready")
	tasks.Wait()
	require.Positive(t, arrivalsSince(startedAt, started))
	require.LessOrEqual(t, mostArrivalsInSecond(started, startedAt, startedAt.Add(coldStart)), int(maxColdArrivals))
}

func TestUpstreamsGetNoBurstAfterEvacuationOfTheirDomain(t *testing.T) {
	t.Parallel()
	c := newColdCluster(t, 4)
	c.moveToOtherDomain(c.engines[1], c.plainUpstreams[1])
	c.evacuate(otherDomain)
	var tasks sync.WaitGroup
	tasks.Go(func() { c.sendConcurrently(coldStart+time.Second, newLookup) })
	time.Sleep(time.Second / 2)
	endedAt := time.Now()
	c.plainUpstreams[0].SetOverloaded(true)
	c.store.EndEvacuation(otherDomain)
	tasks.Wait()
	require.Positive(t, arrivalsSince(endedAt, c.plainUpstreams[1]))
	require.LessOrEqual(t, mostArrivalsInSecond(c.plainUpstreams[1], endedAt, endedAt.Add(coldStart)), int(maxColdArrivals))
}

func TestRateOfColdUpstreamHoldsWhileOwnersAreLost(t *testing.T) {
	t.Parallel()
	c := newColdCluster(t, 5)
	coldUntil := c.becomeColdByRegistration(6*time.Second, c.plainUpstreams[0])
	startedAt := time.Now()
	var tasks sync.WaitGroup
	tasks.Go(func() { c.sendConcurrently(time.Until(coldUntil), newLookup) })
	for _, name := range []string{"host-0", "host-1", "host-2"} {
		time.Sleep(time.Second)
		c.kill(name)
	}
	tasks.Wait()
	require.LessOrEqual(t, mostArrivalsInSecond(c.plainUpstreams[0], startedAt, coldUntil), int(maxColdArrivals))
}

func TestUpstreamThatRestartsIsTreatedAsColdBeforeItsRegistrationIsRead(t *testing.T) {
	t.Parallel()
	c := newColdCluster(t, 4)
	for _, upstream := range c.plainUpstreams {
		upstream.ResponseDelay = 50 * time.Millisecond
	}
	c.plainUpstreams[1].SetOverloaded(true)
	var tasks sync.WaitGroup
	tasks.Go(func() { c.sendConcurrently(coldStart+time.Second, newLookup) })
	time.Sleep(time.Second / 2)
	c.plainUpstreams[0].Restart(standin.InitialVersion)
	restartedAt := time.Now()
	tasks.Wait()
	// Diagnosing the lost responses and reporting the result takes up to 0.3 s.
	require.LessOrEqual(t, mostArrivalsInSecond(c.plainUpstreams[0], restartedAt.Add(300*time.Millisecond), restartedAt.Add(coldStart)), int(maxColdArrivals))
}

func TestUpstreamThatNamesColdStartInResponsesIsPaced(t *testing.T) {
	t.Parallel()
	c := newColdCluster(t, 3)
	c.plainUpstreams[0].BecomeCold(coldStart, true)
	coldAt := time.Now()
	c.sendConcurrently(coldStart-100*time.Millisecond, newLookup)
	require.LessOrEqual(t, mostArrivalsInSecond(c.plainUpstreams[0], coldAt.Add(300*time.Millisecond), coldAt.Add(coldStart)), int(maxColdArrivals))
}

func TestSmallerRateAppliesToUpstreamThatIsLimitedAndCold(t *testing.T) {
	t.Parallel()
	c := newColdCluster(t, 3)
	c.becomeColdByRegistration(limitedLoad+2*time.Second, c.plainUpstreams[0])
	nameLimit(upstreamLimit, c.plainUpstreams[0])
	startedAt := time.Now()
	c.sendConcurrently(limitedLoad, newLookup)
	require.LessOrEqual(t, maxArrivals(c.plainUpstreams[0], startedAt.Add(limitLearningTime)), int(maxLimitedArrivals))
}

func TestRetriesUseRateOfColdUpstreamAndDoNotExceedIt(t *testing.T) {
	t.Parallel()
	c := newColdCluster(t, 3)
	c.plainUpstreams[1].SetOverloaded(true)
	coldUntil := c.becomeColdByRegistration(4*time.Second, c.plainUpstreams[0])
	startedAt := time.Now()
	c.sendConcurrently(time.Until(coldUntil), newLookup)
	require.LessOrEqual(t, mostArrivalsInSecond(c.plainUpstreams[0], startedAt, coldUntil), int(maxColdArrivals))
	require.GreaterOrEqual(t, arrivalsSince(startedAt, c.plainUpstreams[0]), int(coldRate*coldUntil.Sub(startedAt).Seconds()/2))
}

func TestColdUpstreamsAreLoggedAndCounted(t *testing.T) {
	t.Parallel()
	var logs logRecorder
	c := newColdCluster(t, 1, func(c *testCluster, _ *platform.HostSettings) {
		c.newLogger, c.servesMetrics = logs.newLogger, true
	})
	require.Contains(t, c.metrics("host-0"), "cold-upstreams 0\n")
	c.becomeColdByRegistration(4*time.Second, c.plainUpstreams[0])
	require.Contains(t, c.metrics("host-0"), "cold-upstreams 1\n")
	require.True(t, logs.contains("upstream-cold"))
}

func TestUpstreamOfServiceThatIsNeverColdIsNotPaced(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 2)
	c.plainUpstreams[1].SetOverloaded(true)
	c.becomeColdByRegistration(4*time.Second, c.plainUpstreams[0])
	startedAt := time.Now()
	c.sendConcurrently(time.Second, newLookup)
	require.Greater(t, arrivalsSince(startedAt, c.plainUpstreams[0]), int(maxColdArrivals))
}
