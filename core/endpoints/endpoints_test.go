package endpoints_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"cardamomward/core/endpoints"
)

func fleet(large, small int) []endpoints.Host {
	var hosts []endpoints.Host
	for i := range large {
		hosts = append(hosts, endpoints.Host{Address: fmt.Sprintf("large-%d", i), CPUCores: 0.8})
	}
	for i := range small {
		hosts = append(hosts, endpoints.Host{Address: fmt.Sprintf("small-%d", i), CPUCores: 0.192})
	}

	return hosts
}

func TestCallersAreSentToLargeHostsWhereTheseAreEnough(t *testing.T) {
	addresses := endpoints.SelectAddresses(fleet(20, 60), 64, 1)
	require.Len(t, addresses, 20)
	for _, address := range addresses {
		require.Contains(t, address, "large")
	}
	require.Len(t, endpoints.SelectAddresses(fleet(5, 60), 64, 1), 64, "small hosts serve where the large ones are lost")
}

func TestHostsOfOneSizeAreAllNamedInTurn(t *testing.T) {
	require.Len(t, endpoints.SelectAddresses(fleet(12, 0), 64, 1), 12)
	named := make(map[string]int)
	for seed := range 400 {
		for _, address := range endpoints.SelectAddresses(fleet(100, 0), 64, uint64(seed)) {
			named[address]++
		}
	}
	require.Len(t, named, 100)
	for address, times := range named {
		require.InDelta(t, 256, times, 64, address)
	}
}

func TestNobodyServes(t *testing.T) {
	require.Empty(t, endpoints.SelectAddresses(nil, 64, 1))
	require.Equal(t, []string{"a"}, endpoints.SelectAddresses([]endpoints.Host{{Address: "a"}}, 64, 1))
}
