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

// logCounts returns how much was appended to the log so far.
func (f *fleet) logCounts(t *testing.T) logserver.CountsResponse {
	t.Helper()
	resp, err := http.Get("http://" + f.logAddress + "/v1/counts")
	require.NoError(t, err)
	defer resp.Body.Close()
	var counts logserver.CountsResponse
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&counts))

	return counts
}

// live returns how many hosts are live and how many slots they own, as one host sees it, or zeros without an answer.
func live(ctx context.Context, address string) (hosts, slots int) {
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

// awaitOwned waits until a number of hosts are live and own all slots.
func awaitOwned(t *testing.T, address string, hosts int) {
	t.Helper()
	require.Eventually(t, func() bool {
		alive, slots := live(t.Context(), address)

		return alive == hosts && slots == id.SlotCount
	}, readyTimeout, reachPoll)
}

// TestDomainLoss kills all hosts of a failure domain at once and prints what the others do about its slots.
func TestDomainLoss(t *testing.T) {
	counts, period := []int{domains}, time.Second
	if os.Getenv(hostsVariable) != "" {
		counts, _, period = sizes(t)
	}
	for _, count := range counts {
		f := startFleet(t, count, 0)
		survivor := f.operators[1]
		awaitOwned(t, survivor, count)
		before := f.logCounts(t)
		began := time.Now()
		lost := 0
		for i := 0; i < count; i += domains {
			require.NoError(t, f.hosts[i].cmd.Process.Kill())
			lost++
		}
		require.Eventually(t, func() bool {
			hosts, _ := live(t.Context(), survivor)

			return hosts == count-lost
		}, readyTimeout, reachPoll)
		noticed := time.Since(began)
		awaitOwned(t, survivor, count-lost)
		owned := time.Since(began)
		time.Sleep(period)
		after := f.logCounts(t)
		t.Logf("hosts %d, lost %d: silence noticed after %s, all slots owned after %s, %d appends of %d bytes in all",
			count, lost, noticed, owned, after.Appends-before.Appends, after.Bytes-before.Bytes)
	}
}
