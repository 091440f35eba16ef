package gatewayhost_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/platform"
	"cardamomward/platform/standin"
	"cardamomward/standin/netsim"
)

const (
	// partitionDetectionTime is the time after which a partition from upstreams must no longer be seen by callers, and
	// partitionLoad the duration of the load that follows.
	partitionDetectionTime = 3 * time.Second
	partitionLoad          = 2 * time.Second
)

// linkFault changes the link between a host and an upstream.
type linkFault func(n *netsim.Network, host, upstream string)

// linkFaults are the ways in which a link between a host and an upstream fails.
var linkFaults = map[string]linkFault{
	"hanging": (*netsim.Network).CutLink,
	"refused": (*netsim.Network).RefuseLink,
	"reset":   (*netsim.Network).ResetLink,
}

// partition changes the links between hosts and upstreams.
func (c *testCluster) partition(fault linkFault, upstreams []*standin.Upstream, hosts ...string) {
	for _, host := range hosts {
		for _, upstream := range upstreams {
			fault(&c.network, host, upstream.ID)
		}
	}
}

func (c *testCluster) allUpstreams() []*standin.Upstream {
	return append(append([]*standin.Upstream(nil), c.engines...), c.plainUpstreams...)
}

// sendToHost sends calls to a host for a time, each as soon as the one before has ended, and returns how many were sent and
// how many served.
func (c *testCluster) sendToHost(name string, duration time.Duration, newCall func(int64) standin.CallerRequest) (served, sent int) {
	for until := time.Now().Add(duration); time.Now().Before(until); {
		number := c.requestCount.Add(1)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		response, err := newCall(number).Send(ctx, fmt.Sprintf("request-%d", number), c.hosts[name].settings.CallerAddress)
		cancel()
		sent++
		if err == nil && response.Status == http.StatusOK && !response.Truncated {
			served++
		}
		time.Sleep(10 * time.Millisecond)
	}

	return served, sent
}

// requireServed sends calls to hosts for a time and requires that two thirds of them are served at each.
func (c *testCluster) requireServed(duration time.Duration, newCall func(int64) standin.CallerRequest, hosts ...string) {
	c.t.Helper()
	served, sent := make([]int, len(hosts)), make([]int, len(hosts))
	var tasks sync.WaitGroup
	for i, name := range hosts {
		tasks.Go(func() { served[i], sent[i] = c.sendToHost(name, duration, newCall) })
	}
	tasks.Wait()
	for i, name := range hosts {
		require.GreaterOrEqual(c.t, 3*served[i], 2*sent[i], "%s served %d of %d", name, served[i], sent[i])
	}
}

func TestCallersAreServedByHostsPartitionedFromAllUpstreams(t *testing.T) {
	for name, fault := range linkFaults {
		for kind, newCall := range map[string]func(int64) standin.CallerRequest{"plain": newOrder, "stream": newDraft} {
			t.Run(name+"/"+kind, func(t *testing.T) {
				t.Parallel()
				c := newTestCluster(t, 4)
				partitioned := c.names[:3]
				c.partition(fault, c.allUpstreams(), partitioned...)
				for _, name := range partitioned {
					go c.sendToHost(name, partitionDetectionTime, newCall)
				}
				time.Sleep(partitionDetectionTime)
				c.requireServed(partitionLoad, newCall, partitioned...)
			})
		}
	}
}

// newOrder returns a request that may not be repeated.
func newOrder(int64) standin.CallerRequest {
	return standin.CallerRequest{Path: "/order/", APIKey: "secret"}
}

func TestHostPartitionedFromOneServiceServesBoth(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 2)
	c.partition((*netsim.Network).CutLink, c.plainUpstreams, "host-0")
	c.sendToHost("host-0", time.Second, newOrder)
	c.requireServed(partitionLoad, newOrder, "host-0")
	c.requireServed(partitionLoad, newDraft, "host-0")
}

func TestHostUsesItsOwnLinksAgainAfterPartition(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 2)
	c.partition((*netsim.Network).CutLink, c.allUpstreams(), "host-0")
	c.sendToHost("host-0", time.Second, newOrder)
	c.requireServed(time.Second, newOrder, "host-0")
	require.Positive(t, c.network.ConnCount("host-1"), "the peer relays connections")
	c.partition((*netsim.Network).RestoreLink, c.allUpstreams(), "host-0")
	require.Eventually(t, func() bool {
		c.requireServed(100*time.Millisecond, newOrder, "host-0")

		return c.network.ConnCount("host-0") > 0 && c.network.ConnCount("host-1") == 0
	}, waitTimeout, time.Millisecond)
}

func TestRequestsAreRefusedWhileNoHostReachesUpstreams(t *testing.T) {
	for name, fault := range linkFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newTestCluster(t, 3)
			c.partition(fault, c.allUpstreams(), c.names...)
			c.sendToHost("host-0", partitionDetectionTime, newOrder)
			for range 5 {
				sentAt := time.Now()
				response := c.do("host-0", newOrder(0))
				if response.Status == http.StatusOK && name == "refused" {
					continue // An open connection lives on.
				}
				require.Less(t, time.Since(sentAt), 500*time.Millisecond)
				require.Equal(t, http.StatusServiceUnavailable, response.Status)
				require.NotEmpty(t, response.Header.Get("Retry-After"))
				require.Empty(t, c.executionsOf(response.RequestID))
			}
		})
	}
}

func TestOrdersRunAtMostOnceWhileLinksFailAndRecover(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 3)
	for _, upstream := range c.plainUpstreams {
		upstream.ResponseDelay = 20 * time.Millisecond
	}
	var mu sync.Mutex
	statuses := make(map[string]int)
	var tasks sync.WaitGroup
	until := time.Now().Add(4 * time.Second)
	for i := range 9 {
		tasks.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				request := fmt.Sprintf("order-%d-%d", i, n)
				response, err := newOrder(0).Send(context.Background(), request, c.hosts[c.names[i%3]].settings.CallerAddress)
				if err != nil {
					continue
				}
				mu.Lock()
				statuses[request] = response.Status
				mu.Unlock()
			}
		})
	}
	for step := 0; time.Now().Before(until); step++ {
		host := c.names[step%len(c.names)]
		fault := []linkFault{(*netsim.Network).CutLink, (*netsim.Network).ResetLink, (*netsim.Network).RefuseLink}[step%len(linkFaults)]
		c.partition(fault, c.allUpstreams(), host)
		time.Sleep(400 * time.Millisecond)
		c.partition((*netsim.Network).RestoreLink, c.allUpstreams(), host)
	}
	tasks.Wait()
	served := 0
	for request, status := range statuses {
		executions := len(c.executionsOf(request))
		require.LessOrEqual(t, executions, 1, request)
		switch status {
		case http.StatusOK:
			served++
			require.Equal(t, 1, executions, request)
		case http.StatusServiceUnavailable:
			require.Zero(t, executions, "%s was refused", request)
		}
	}
	require.Greater(t, 3*served, 2*len(statuses))
}

func TestLostLinksAreNotTakenForCrashesOfUpstreams(t *testing.T) {
	for name, fault := range linkFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var logs logRecorder
			c := newTestCluster(t, 2, func(c *testCluster, _ *platform.HostSettings) { c.newLogger = logs.newLogger })
			c.slowStreams(200 * time.Millisecond)
			var tasks sync.WaitGroup
			for i := range 6 {
				tasks.Go(func() {
					newDraft(int64(i)).Send(context.Background(), fmt.Sprintf("linked-%d", i), c.hosts["host-0"].settings.CallerAddress) //nolint:errcheck // the log counts
				})
			}
			require.Eventually(t, func() bool {
				return c.engines[0].RunningRequests()+c.engines[1].RunningRequests() == 6
			}, waitTimeout, time.Millisecond)
			c.partition(fault, c.allUpstreams(), "host-0")
			tasks.Wait()
			require.False(t, logs.contains("answer-broke-off"))
		})
	}
}

// Requests of one kind may all go to one upstream, whose failing path shows no partition: the upstream itself may be unreachable.
func TestMetricsShowPartitionAndRelayedConnections(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 2, func(c *testCluster, _ *platform.HostSettings) { c.servesMetrics = true })
	c.plainUpstreams[0].Deregister(c.store)
	time.Sleep(registrationDelay)
	require.Contains(t, c.metrics("host-0"), "upstreams-partitioned 0\n")
	c.partition((*netsim.Network).CutLink, c.allUpstreams(), "host-0")
	c.sendToHost("host-0", time.Second, newOrder)
	c.requireServed(500*time.Millisecond, newOrder, "host-0")
	require.Contains(t, c.metrics("host-0"), "upstreams-partitioned 0\n", "the path to one upstream fails")
	require.Regexp(t, "relayed-conns [1-9]", c.metrics("host-1"))
	c.sendToHost("host-0", time.Second, newDraft)
	c.requireServed(500*time.Millisecond, newDraft, "host-0")
	require.Contains(t, c.metrics("host-0"), "upstreams-partitioned 1\n")
	require.Regexp(t, "relayed-conns [1-9]", c.metrics("host-1"))
	c.requireServed(500*time.Millisecond, newOrder, "host-0")
}

// startRequest sends a request to host-0 and returns once an upstream runs it; the channel is closed when it has ended.
func (c *testCluster) startRequest(ctx context.Context, id string, call standin.CallerRequest) <-chan struct{} {
	c.t.Helper()
	done := make(chan struct{})
	go func() {
		defer close(done)
		call.Send(ctx, id, c.hosts["host-0"].settings.CallerAddress) //nolint:errcheck // tests look at what upstreams ran
	}()
	require.Eventually(c.t, func() bool { return len(c.executionsOf(id)) == 1 }, waitTimeout, time.Millisecond)

	return done
}

func TestSilentUpstreamIsNotTakenForEnded(t *testing.T) {
	t.Parallel()
	const silence = 1200 * time.Millisecond
	c := newTestCluster(t, 2)
	standin.Configuration{Version: 2, APIKeys: []string{"secret"}, MaxAttempts: 1}.WriteToStore(c.store)
	time.Sleep(registrationDelay)
	c.slowStreams(100 * time.Millisecond)
	done := c.startRequest(context.Background(), "silenced", newDraft(0))
	c.partition((*netsim.Network).PauseLink, c.allUpstreams(), c.names...)
	time.Sleep(silence)
	c.partition((*netsim.Network).ResumeLink, c.allUpstreams(), c.names...)
	<-done
	require.Len(t, c.executionsOf("silenced"), 1, "the route allows one attempt")
}

func TestStreamOnOpenConnectionGoesOnWhileNewOnesAreRefused(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 2)
	c.slowStreams(time.Second)
	request := newDraft(0)
	request.Header["Time-Remaining-Ms"] = "10000"
	done := c.startRequest(context.Background(), "slow", request)
	c.partition((*netsim.Network).RefuseLink, c.allUpstreams(), "host-0")
	<-done
	require.Len(t, c.executionsOf("slow"), 1, "the stream was not given up")
}

func TestStreamsThroughStoppingRelayAreWhole(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 3)
	c.partition((*netsim.Network).CutLink, c.allUpstreams(), "host-0")
	c.sendToHost("host-0", time.Second, newOrder)
	c.slowStreams(100 * time.Millisecond)
	var tasks sync.WaitGroup
	for i := range 8 {
		tasks.Go(func() {
			for n := range 8 {
				request := fmt.Sprintf("relayed-%d-%d", i, n)
				response, err := newDraft(int64(i*100+n)).Send(context.Background(), request, c.hosts["host-0"].settings.CallerAddress)
				require.NoError(t, err)
				require.Equal(t, wholeStream, response.Body, "%s: status %d", request, response.Status)
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	c.hosts["host-1"].drain()
	tasks.Wait()
	<-c.hosts["host-1"].done
}

func TestRelayedStreamIsCanceledWithItsCaller(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 2)
	c.partition((*netsim.Network).CutLink, c.allUpstreams(), "host-0")
	c.sendToHost("host-0", time.Second, newOrder)
	c.slowStreams(500 * time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	c.startRequest(ctx, "left", newDraft(0))
	running := func() int { return c.engines[0].RunningRequests() + c.engines[1].RunningRequests() }
	require.Equal(t, 1, running())
	cancel()
	require.Eventually(t, func() bool { return running() == 0 }, 500*time.Millisecond, time.Millisecond)
}
