package cluster

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/endpoints"
	"cardamomward/core/id"
	"cardamomward/platform"
)

func TestEntriesOfHostsCarryBandwidthAndMayLackIt(t *testing.T) {
	c, _ := newTestCluster(t)
	c.peers.setDraining()
	for name, value := range map[id.Host]string{
		"new": `{"callers":"10.0.0.1:80","peer":"10.0.0.1:7780","failure-domain":"x","cpu-share":0.4,"link-bytes-per-second":75000000}`,
		"old": `{"callers":"10.0.0.2:80","peer":"10.0.0.2:7780","failure-domain":"y","cpu-share":0.2}`,
	} {
		c.peers.applyRecord(platform.Record{Key: string(name), Value: []byte(value)})
		c.peers.byHost[name].lastHeardAt = time.Now()
	}
	require.ElementsMatch(t, []endpoints.Host{
		{Address: "10.0.0.1:80", CPUCores: 0.4, LinkBytesPerSecond: 75e6, FailureDomain: "x"},
		{Address: "10.0.0.2:80", CPUCores: 0.2, FailureDomain: "y"},
	}, c.callerHosts(time.Now()))
	require.Equal(t, id.FailureDomain("y"), c.peers.domains.get("10.0.0.2:5555"))
	c.peers.byHost["old"].lastHeardAt = time.Time{}
	c.peers.applyRecord(platform.Record{Key: "old"})
	require.Empty(t, c.peers.domains.get("10.0.0.2:7780"), "a withdrawn host keeps its domain")
}

func TestOwnEntryTellsBandwidthOnlyIfKnown(t *testing.T) {
	c := New(Options{Settings: &platform.HostSettings{Name: "h", IP: "127.0.0.1", LinkBytesPerSecond: 75e6}, Store: platform.NewStore("127.0.0.1:1"), Now: time.Now})
	value, err := json.Marshal(c.peers.selfEntry)
	require.NoError(t, err)
	require.Contains(t, string(value), `"link-bytes-per-second":75000000`)
	value, err = json.Marshal(hostEntry{})
	require.NoError(t, err)
	require.NotContains(t, string(value), "link-bytes-per-second")
}
