package endpoints_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"cardamomward/core/endpoints"
)

func newHosts(large, small int) []endpoints.Host {
	var hosts []endpoints.Host
	for i := range large {
		hosts = append(hosts, endpoints.Host{Address: fmt.Sprintf("large-%d", i), CPUCores: 0.8})
	}
	for i := range small {
		hosts = append(hosts, endpoints.Host{Address: fmt.Sprintf("small-%d", i), CPUCores: 0.192})
	}

	return hosts
}

func TestSelectAddressesOmitsSmallHostsIfLargeOnesSuffice(t *testing.T) {
	addresses := endpoints.SelectAddresses(newHosts(20, 60), 64, 1)
	require.Len(t, addresses, 20)
	for _, address := range addresses {
		require.Contains(t, address, "large")
	}
	require.Len(t, endpoints.SelectAddresses(newHosts(5, 60), 64, 1), 64, "small hosts are included if most large ones are lost")
}

func TestSelectAddressesCoversAllEqualHostsOverSeeds(t *testing.T) {
	require.Len(t, endpoints.SelectAddresses(newHosts(12, 0), 64, 1), 12)
	selected := make(map[string]int)
	for seed := range 400 {
		for _, address := range endpoints.SelectAddresses(newHosts(100, 0), 64, uint64(seed)) {
			selected[address]++
		}
	}
	require.Len(t, selected, 100)
	for address, count := range selected {
		require.InDelta(t, 256, count, 64, address)
	}
}

func TestSelectAddressesOfNoHostAndOneHost(t *testing.T) {
	require.Empty(t, endpoints.SelectAddresses(nil, 64, 1))
	require.Equal(t, []string{"a"}, endpoints.SelectAddresses([]endpoints.Host{{Address: "a"}}, 64, 1))
}
