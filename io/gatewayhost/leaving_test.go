package gatewayhost_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/platform"
	"cardamomward/platform/standin"
)

const (
	// leavingDrainTimeout is the drain timeout of the tests' hosts, and reportDelay enough for an announcement to reach a peer.
	leavingDrainTimeout = 2 * time.Second
	reportDelay         = 500 * time.Millisecond
)

// newLeavingCluster returns a cluster whose store is down, so that only responses announce shutdowns.
func newLeavingCluster(t *testing.T, hosts int) *testCluster {
	t.Helper()
	c := newTestCluster(t, hosts, func(c *testCluster, settings *platform.HostSettings) {
		c.servesMetrics = true
		settings.Bounds.DrainTimeout = leavingDrainTimeout
	})
	c.store.SetFaults(standin.Faults{Down: true})

	return c
}

// announceShutdown makes an upstream announce its shutdown, and returns once a response of it has reached host-0.
func (c *testCluster) announceShutdown(upstream *standin.Upstream, newCall func(int64) standin.CallerRequest) {
	c.t.Helper()
	upstream.SetLeavingHeaders("1")
	before := len(upstream.Arrivals())
	require.Eventually(c.t, func() bool {
		c.do("host-0", newCall(c.requestCount.Add(1)))

		return len(upstream.Arrivals()) > before
	}, waitTimeout, time.Millisecond)
}

// requireAvoided requires that none of several calls to hosts reaches an upstream and that all are answered with 200.
func (c *testCluster) requireAvoided(upstream *standin.Upstream, newCall func(int64) standin.CallerRequest, names ...string) {
	c.t.Helper()
	before := len(upstream.Arrivals())
	for i := range 10 * len(names) {
		require.Equal(c.t, http.StatusOK, c.do(names[i%len(names)], newCall(c.requestCount.Add(1))).Status)
	}
	require.Len(c.t, upstream.Arrivals(), before)
}

func TestUpstreamIsAvoidedOnceAnyResponseAnnouncesItsShutdown(t *testing.T) {
	for name, test := range map[string]struct {
		newCall func(int64) standin.CallerRequest
		prepare func(upstream *standin.Upstream)
	}{
		"plain":            {newLookup, func(*standin.Upstream) {}},
		"stream":           {newDraft, func(*standin.Upstream) {}},
		"broken stream":    {newDraft, func(upstream *standin.Upstream) { upstream.BreakStreamsAtEvent(2) }},
		"not executed":     {newLookup, func(upstream *standin.Upstream) { upstream.SetOverloaded(true) }},
		"429":              {newLookup, func(upstream *standin.Upstream) { upstream.SetStatus(http.StatusTooManyRequests) }},
		"503":              {newLookup, func(upstream *standin.Upstream) { upstream.SetStatus(http.StatusServiceUnavailable) }},
		"refused a stream": {newDraft, func(upstream *standin.Upstream) { upstream.SetOverloaded(true) }},
	} {
		t.Run(name, func(t *testing.T) {
			c := newLeavingCluster(t, 1)
			upstream := c.plainUpstreams[0]
			if strings.HasPrefix(test.newCall(0).Path, "/draft/") {
				upstream = c.engines[0]
			}
			test.prepare(upstream)
			c.announceShutdown(upstream, test.newCall)
			c.requireAvoided(upstream, test.newCall, "host-0")
		})
	}
}

func TestLastUpstreamThatLeavesIsUsedUntilDrainTimeoutAndNotAfter(t *testing.T) {
	for name, isolate := range map[string]func(c *testCluster){
		"store down":         func(*testCluster) {},
		"cut off from store": func(c *testCluster) { c.storeLinks["host-0"].SetDown(true); c.store.SetFaults(standin.Faults{}) },
		"in touch":           func(c *testCluster) { c.store.SetFaults(standin.Faults{}) },
	} {
		t.Run(name, func(t *testing.T) {
			c := newLeavingCluster(t, 1)
			isolate(c)
			for _, upstream := range c.plainUpstreams {
				upstream.SetLeavingHeaders("1")
			}
			for i := 0; len(c.plainUpstreams[0].Arrivals()) == 0 || len(c.plainUpstreams[1].Arrivals()) == 0; i++ {
				require.Equal(t, http.StatusOK, c.do("host-0", newLookup(0)).Status)
				require.Less(t, i, 1000)
			}
			announcedAt := time.Now()
			for time.Since(announcedAt) < leavingDrainTimeout/2 {
				require.Equal(t, http.StatusOK, c.do("host-0", newLookup(0)).Status, "no other upstream can serve")
				time.Sleep(50 * time.Millisecond)
			}
			time.Sleep(time.Until(announcedAt.Add(leavingDrainTimeout + 10*time.Millisecond)))
			before := len(c.plainUpstreams[0].Arrivals()) + len(c.plainUpstreams[1].Arrivals())
			for range 10 {
				response := c.do("host-0", newLookup(0))
				require.Equal(t, http.StatusServiceUnavailable, response.Status)
			}
			require.Equal(t, before, len(c.plainUpstreams[0].Arrivals())+len(c.plainUpstreams[1].Arrivals()))
		})
	}
}

func TestUpstreamThatWithdrawsItsShutdownIsStillAvoidedUntilItRestarts(t *testing.T) {
	c := newLeavingCluster(t, 1)
	upstream := c.plainUpstreams[0]
	c.announceShutdown(upstream, newLookup)
	upstream.SetLeavingHeaders()
	c.store.SetFaults(standin.Faults{})
	upstream.Register(c.store, "ready")
	time.Sleep(registrationDelay)
	c.requireAvoided(upstream, newLookup, "host-0")
	upstream.Deregister(c.store)
	time.Sleep(registrationDelay + graceAfterOutage)
	upstream.Register(c.store, "ready")
	time.Sleep(registrationDelay)
	c.requireAvoided(upstream, newLookup, "host-0")
	upstream.Restart(standin.InitialVersion)
	upstream.Register(c.store, "ready")
	time.Sleep(registrationDelay)
	before := len(upstream.Arrivals())
	require.Eventually(t, func() bool {
		c.do("host-0", newLookup(0))

		return len(upstream.Arrivals()) > before
	}, waitTimeout, time.Millisecond, "the new process is used")
}

func TestUnclearAnnouncementsOfShutdownAreIgnored(t *testing.T) {
	for name, announce := range map[string]func(upstream *standin.Upstream){
		"other value":      func(upstream *standin.Upstream) { upstream.SetLeavingHeaders("0") },
		"no number":        func(upstream *standin.Upstream) { upstream.SetLeavingHeaders("true") },
		"empty":            func(upstream *standin.Upstream) { upstream.SetLeavingHeaders("") },
		"repeated":         func(upstream *standin.Upstream) { upstream.SetLeavingHeaders("1", "1") },
		"list":             func(upstream *standin.Upstream) { upstream.SetLeavingHeaders("1, 1") },
		"trailer":          func(upstream *standin.Upstream) { upstream.SetLeavingTrailer("1") },
		"of other process": func(upstream *standin.Upstream) { upstream.SetLeavingHeaders("1"); upstream.ID = "other" },
	} {
		t.Run(name, func(t *testing.T) {
			c := newLeavingCluster(t, 1)
			for _, upstream := range c.plainUpstreams {
				announce(upstream)
			}
			for range 10 {
				c.do("host-0", newLookup(0))
			}
			time.Sleep(leavingDrainTimeout)
			before := len(c.plainUpstreams[0].Arrivals()) + len(c.plainUpstreams[1].Arrivals())
			c.do("host-0", newLookup(0))
			require.Greater(t, len(c.plainUpstreams[0].Arrivals())+len(c.plainUpstreams[1].Arrivals()), before)
		})
	}
}

func TestAnnouncementOfShutdownIsForwarded(t *testing.T) {
	c := newLeavingCluster(t, 1)
	for _, upstream := range c.plainUpstreams {
		upstream.SetLeavingHeaders("1")
	}
	require.Equal(t, "1", c.do("host-0", newLookup(0)).Header.Get("Server-Leaving"))
}

func TestPeersAvoidUpstreamThatAnnouncedItsShutdownToOneHost(t *testing.T) {
	c := newLeavingCluster(t, 3)
	upstream := c.plainUpstreams[0]
	c.announceShutdown(upstream, newLookup)
	time.Sleep(reportDelay)
	c.requireAvoided(upstream, newLookup, "host-1", "host-2")
	for _, name := range c.names {
		require.Contains(t, c.metrics(name), "upstreams-leaving 1\n")
	}
}

func TestStartedHostLearnsOfShutdownFromUpstreamAgain(t *testing.T) {
	c := newLeavingCluster(t, 1)
	upstream := c.plainUpstreams[0]
	c.announceShutdown(upstream, newLookup)
	c.store.SetFaults(standin.Faults{})
	c.restart(0, "host-0")
	c.waitReady()
	c.announceShutdown(upstream, newLookup)
	c.requireAvoided(upstream, newLookup, "host-0")
}

func TestStreamIsNotResumedAtUpstreamThatLeaves(t *testing.T) {
	c := newLeavingCluster(t, 1)
	c.announceShutdown(c.engines[0], newDraft)
	c.engines[0].SetLeavingHeaders()
	time.Sleep(leavingDrainTimeout)
	c.engines[1].BreakStreamsAtEvent(3)
	before := len(c.engines[0].Arrivals())
	for i := range 5 {
		request := fmt.Sprintf("resumed-%d", i)
		response, err := newDraft(c.requestCount.Add(1)).Send(context.Background(), request, c.hosts["host-0"].settings.CallerAddress)
		require.True(t, err != nil || response.Truncated)
	}
	require.Len(t, c.engines[0].Arrivals(), before)
}
