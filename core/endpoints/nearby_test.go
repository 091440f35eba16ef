package endpoints_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"cardamomward/core/endpoints"
	"cardamomward/core/id"
)

const (
	mbit         = 1e6 / 8
	maxAddresses = 64
)

func newDomain(domain id.FailureDomain, n int, cores, mbits float64) []endpoints.Host {
	var hosts []endpoints.Host
	for i := range n {
		hosts = append(hosts, endpoints.Host{Address: fmt.Sprintf("%s-%d", domain, i), CPUCores: cores, LinkBytesPerSecond: mbits * mbit, FailureDomain: domain})
	}

	return hosts
}

// shareOfCallers returns the share of callers of a domain that connect to each host if each chooses an address at random.
func shareOfCallers(t *testing.T, hosts []endpoints.Host, domain id.FailureDomain) map[string]float64 {
	t.Helper()
	const responses = 4000
	shares := make(map[string]float64)
	for seed := range uint64(responses) {
		addresses := endpoints.SelectNearbyAddresses(hosts, domain, maxAddresses, seed)
		require.NotEmpty(t, addresses)
		require.LessOrEqual(t, len(addresses), maxAddresses)
		for _, address := range addresses {
			shares[address] += 1 / float64(len(addresses)) / responses
		}
	}

	return shares
}

func sharesOf(shares map[string]float64, hosts []endpoints.Host) float64 {
	total := 0.0
	for _, host := range hosts {
		total += shares[host.Address]
	}

	return total
}

func TestNearbyAddressesStayInDomainWithItsShareOfCapacity(t *testing.T) {
	near, far := newDomain("a", 10, 0.2, 100), newDomain("b", 8, 0.2, 100)
	shares := shareOfCallers(t, append(near, far...), "a")
	require.InDelta(t, 1, sharesOf(shares, near), 1e-9)
	for _, host := range near {
		require.InDelta(t, 0.1, shares[host.Address], 0.01)
	}
}

func TestNearbyAddressesLeaveDomainForWhatExceedsItsCapacity(t *testing.T) {
	near, far := newDomain("a", 4, 0.2, 100), newDomain("b", 12, 0.2, 100)
	shares := shareOfCallers(t, append(near, far...), "a")
	require.InDelta(t, 0.5, sharesOf(shares, near), 0.03, "a quarter of the capacity takes half of the domain's half of the load")
}

func TestNearbyAddressesCountScarcerOfProcessorAndLink(t *testing.T) {
	slowLink, fastLink := newDomain("a", 5, 0.4, 22), newDomain("b", 5, 0.4, 600)
	shares := shareOfCallers(t, append(slowLink, fastLink...), "")
	require.Less(t, sharesOf(shares, slowLink), 0.09, "hosts with slow links are overloaded")
	require.Positive(t, sharesOf(shares, slowLink))
	shares = shareOfCallers(t, append(slowLink, fastLink...), "a")
	require.Less(t, sharesOf(shares, slowLink), 0.2, "a domain of slow links keeps all of its callers")
	weak := newDomain("c", 5, 0.1, 600)
	require.Less(t, sharesOf(shareOfCallers(t, append(weak, fastLink...), ""), weak), 0.3, "hosts with little processor time are overloaded")
}

func TestNearbyAddressesCountHostsOfEarlierReleasesByProcessor(t *testing.T) {
	older, newer := newDomain("a", 4, 0.2, 0), newDomain("a-new", 4, 0.2, 100)
	shares := shareOfCallers(t, append(older, newer...), "")
	require.InDelta(t, 0.5, sharesOf(shares, older), 0.02, "hosts without a bandwidth in their entry get no callers")
	slow, fast := newDomain("b", 2, 0.2, 200), newDomain("c", 2, 0.2, 600)
	shares = shareOfCallers(t, append(append(older, slow...), fast...), "")
	require.InDelta(t, 0.5, sharesOf(shares, slow)/sharesOf(shares, fast), 0.05, "a slow link hides among hosts of unknown bandwidth")
}

func TestNearbyAddressesOfSmallDomainsNameOtherHostsToo(t *testing.T) {
	near, far := newDomain("a", 2, 0.8, 600), newDomain("b", 2, 0.2, 600)
	shares := shareOfCallers(t, append(near, far...), "a")
	require.Positive(t, sharesOf(shares, far), "callers have no other host if both of the domain are lost")
}

func TestNearbyAddressesCoverLargeFleets(t *testing.T) {
	hosts := append(newDomain("a", 200, 0.2, 100), newDomain("b", 100, 0.2, 100)...)
	shares := shareOfCallers(t, hosts, "")
	require.Len(t, shares, 300)
	for address, share := range shares {
		require.InDelta(t, 1.0/300, share, 0.4/300, address)
	}
	require.Empty(t, endpoints.SelectNearbyAddresses(nil, "a", 64, 1))
	require.Len(t, endpoints.SelectNearbyAddresses([]endpoints.Host{{Address: "x"}}, "a", 64, 1), 1)
}
