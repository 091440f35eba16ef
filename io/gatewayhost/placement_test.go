package gatewayhost_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/gatewaysettings"
	"cardamomward/core/id"
	"cardamomward/platform"
	"cardamomward/platform/standin"
	"cardamomward/standin/netsim"
)

// inTwoDomains puts the hosts with even numbers into zone-a and the others into zone-b, with all parts of the placement enabled by
// the given settings.
func inTwoDomains(placement gatewaysettings.Placement) func(*testCluster, *platform.HostSettings) {
	return func(c *testCluster, settings *platform.HostSettings) {
		c.servesMetrics = true
		c.gatewaySettings = &gatewaysettings.Settings{Placement: placement}
		number, err := strconv.Atoi(string(settings.Name[len("host-"):]))
		require.NoError(c.t, err)
		settings.FailureDomain = id.FailureDomain([]string{"zone-a", "zone-b"}[number%2])
		settings.LinkBytesPerSecond = 1e8
	}
}

// nearbyAddresses returns the addresses of the directory of host-1 for a failure domain.
func (c *testCluster) nearbyAddresses(domain string) []string {
	c.t.Helper()
	resp, err := http.Get(fmt.Sprintf("http://%s%s?zone=%s", c.hosts["host-1"].settings.ResolveAddress, platform.ResolvePath, domain)) //nolint:noctx // a test
	require.NoError(c.t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(c.t, err)
	var decoded struct {
		Addresses []string `json:"addresses"`
	}
	require.NoError(c.t, json.Unmarshal(body, &decoded))

	return decoded.Addresses
}

func TestDirectoryNamesHostsOfTheCallersFailureDomain(t *testing.T) {
	c := newTestCluster(t, 6, inTwoDomains(gatewaysettings.Placement{LocalDirectory: true}))
	addressesOf := func(names ...string) []string {
		var addresses []string
		for _, name := range names {
			addresses = append(addresses, c.hosts[name].settings.CallerAddress)
		}

		return addresses
	}
	require.ElementsMatch(t, addressesOf("host-0", "host-2", "host-4"), c.nearbyAddresses("zone-a"))
	require.ElementsMatch(t, addressesOf("host-1", "host-3", "host-5"), c.nearbyAddresses("zone-b"))
	require.Len(t, c.nearbyAddresses("zone-c"), 6, "callers of a domain without hosts get no host")
	c.kill("host-2")
	require.Eventually(t, func() bool { return len(c.nearbyAddresses("zone-a")) == 5 }, waitTimeout, 50*time.Millisecond,
		"a domain with two hosts is not preferred")
}

func TestDirectoryIgnoresTheFailureDomainUnlessEnabled(t *testing.T) {
	c := newTestCluster(t, 6, inTwoDomains(gatewaysettings.Placement{}))
	require.Len(t, c.nearbyAddresses("zone-a"), 6)
}

func TestRequestsStayInTheFailureDomainOfTheHost(t *testing.T) {
	for _, cost := range []time.Duration{0, time.Second} {
		t.Run(cost.String(), func(t *testing.T) {
			c := newTestCluster(t, 2, inTwoDomains(gatewaysettings.Placement{FailureDomainCost: cost}))
			c.moveToDomain(c.plainUpstreams[1], "zone-b")
			for i := range 20 {
				call := standin.CallerRequest{Path: "/order/", APIKey: "secret", Header: map[string]string{"Affinity-Key": fmt.Sprint(i)}}
				for _, name := range c.names {
					require.Equal(t, http.StatusOK, c.do(name, call).Status)
				}
			}
			total := len(c.plainUpstreams[0].ExecutedRequests()) + len(c.plainUpstreams[1].ExecutedRequests())
			require.Equal(t, 40, total)
			crossing := c.countedBytes("host-0", "sent", "upstream-across")
			if cost == 0 {
				require.Positive(t, crossing, "without a cost both upstreams are used")

				return
			}
			require.Zero(t, crossing)
			require.Len(t, c.plainUpstreams[1].ExecutedRequests(), 20)
		})
	}
}

// moveToDomain registers an upstream in another failure domain and waits until all hosts have read it.
func (c *testCluster) moveToDomain(upstream *standin.Upstream, domain string) {
	c.t.Helper()
	value, err := json.Marshal(map[string]any{
		"service": upstream.Service, "address": upstream.Address(), "zone": domain, "version": standin.InitialVersion, "slots": 16, "state": "ready",
	})
	require.NoError(c.t, err)
	c.store.PutRecord(platform.UpstreamsTopic, upstream.ID, value)
	time.Sleep(registrationDelay)
}

func TestRelayedBytesAreCountedAtBothHosts(t *testing.T) {
	c := newTestCluster(t, 2, inTwoDomains(gatewaysettings.Placement{}))
	for _, upstream := range c.plainUpstreams {
		c.moveToDomain(upstream, "zone-b")
	}
	c.partition((*netsim.Network).CutLink, c.allUpstreams(), "host-0")
	c.sendToHost("host-0", time.Second, newOrder)
	c.requireServed(500*time.Millisecond, newOrder, "host-0")
	require.Positive(t, c.countedBytes("host-0", "sent", "relay-across"))
	require.Positive(t, c.countedBytes("host-0", "received", "relay-across"))
	require.Positive(t, c.countedBytes("host-1", "received", "relay-across"), "bytes of the peer in zone-a")
	require.Positive(t, c.countedBytes("host-1", "sent", "relay-within"), "bytes to the upstream in zone-b")
}

// countedBytes returns the value of a counter of bytes in a host's metrics.
func (c *testCluster) countedBytes(host, direction, label string) int {
	match := regexp.MustCompile(regexp.QuoteMeta(fmt.Sprintf("bytes-%s{%q} ", direction, label)) + `(\d+)`).FindStringSubmatch(c.metrics(host))
	if match == nil {
		return 0
	}
	bytes, err := strconv.Atoi(match[1])
	require.NoError(c.t, err)

	return bytes
}

func TestBytesAreCountedByCauseAndFailureDomain(t *testing.T) {
	c := newTestCluster(t, 2, inTwoDomains(gatewaysettings.Placement{}))
	body := string(make([]byte, 20_000))
	before := map[string]int{"host-0": c.countedBytes("host-0", "sent", "upstream-within"), "host-1": c.countedBytes("host-1", "sent", "upstream-across")}
	for _, name := range c.names {
		require.Equal(t, http.StatusOK, c.do(name, standin.CallerRequest{Path: "/order/", APIKey: "secret", Body: body}).Status)
	}
	require.Greater(t, c.countedBytes("host-0", "sent", "upstream-within"), before["host-0"]+len(body))
	require.Greater(t, c.countedBytes("host-1", "sent", "upstream-across"), before["host-1"]+len(body), "all upstreams are in zone-a")
	require.Zero(t, c.countedBytes("host-0", "sent", "upstream-across"))
	for _, name := range c.names {
		require.Greater(t, c.countedBytes(name, "received", "caller-unknown"), len(body))
		require.Positive(t, c.countedBytes(name, "sent", "caller-unknown"))
		require.Positive(t, c.countedBytes(name, "received", "upstream-"+map[string]string{"host-0": "within", "host-1": "across"}[name]))
		require.Positive(t, c.countedBytes(name, "sent", "heartbeat-across"))
		require.Positive(t, c.countedBytes(name, "received", "heartbeat-across"))
		require.Positive(t, c.countedBytes(name, "sent", "owner-across"), "turns of programs whose owner is the other host")
		require.Positive(t, c.countedBytes(name, "received", "owner-across"))
	}
}
