package gatewayhost_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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
