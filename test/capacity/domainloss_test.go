package capacity

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/id"
	"cardamomward/io/operatorapi"
	"cardamomward/standin/logserver"
)

// fetchLogCounts returns the appends and bytes that the log has accepted so far.
func (f *fleet) fetchLogCounts(t *testing.T) logserver.CountsResponse {
	t.Helper()
	resp, err := http.Get("http://" + f.logAddress + "/v1/counts")
	require.NoError(t, err)
	defer resp.Body.Close()
	var counts logserver.CountsResponse
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&counts))

	return counts
}

// countLiveHosts returns the live hosts and the slots they own in the view of one host, or zeros if it does not respond.
func countLiveHosts(ctx context.Context, address string) (hosts, slots int) {
	status, err := (&operatorapi.Client{Address: address}).GetClusterStatus(ctx)
	if err != nil {
		return 0, 0
	}
	for _, host := range status.Hosts {
		if host.Live {
			hosts++
			slots += host.OwnedSlots
		}
	}

	return hosts, slots
}

// awaitAllSlotsOwned waits until exactly the given number of hosts are live and own all slots.
func awaitAllSlotsOwned(t *testing.T, address string, hosts int) {
	t.Helper()
	require.Eventually(t, func() bool {
		alive, slots := countLiveHosts(t.Context(), address)

		return alive == hosts && slots == id.SlotCount
	}, readyTimeout, propagationPollInterval)
}

// TestDomainLoss kills all hosts of a failure domain at once and prints how fast the others take over its slots.
func TestDomainLoss(t *testing.T) {
	counts, period := []int{failureDomainCount}, time.Second
	if os.Getenv(hostsEnvVar) != "" {
		counts, _, period = fleetSizes(t)
	}
	for _, count := range counts {
		f := startFleet(t, count, 0)
		survivor := f.operatorAddresses[1]
		awaitAllSlotsOwned(t, survivor, count)
		before := f.fetchLogCounts(t)
		startedAt := time.Now()
		lost := 0
		for i := 0; i < count; i += failureDomainCount {
			require.NoError(t, f.hosts[i].cmd.Process.Kill())
			lost++
		}
		require.Eventually(t, func() bool {
			hosts, _ := countLiveHosts(t.Context(), survivor)

			return hosts == count-lost
		}, readyTimeout, propagationPollInterval)
		noticed := time.Since(startedAt)
		awaitAllSlotsOwned(t, survivor, count-lost)
		owned := time.Since(startedAt)
		time.Sleep(period)
		after := f.fetchLogCounts(t)
		t.Logf("hosts %d, lost %d: silence noticed after %s, all slots owned after %s, %d appends of %d bytes in all",
			count, lost, noticed, owned, after.Appends-before.Appends, after.Bytes-before.Bytes)
	}
}
