package endpoints

import (
	"math/rand/v2"
	"slices"

	"cardamomward/core/id"
)

const (
	// largeHostRatio is the fraction of the largest host's cores that a host needs to count as large.
	largeHostRatio = 0.5
	// minLargeShare is the share of the fleet's cores that large hosts must have for the small ones to be left out.
	minLargeShare = 0.5
)

// Host is a host that accepts callers.
type Host struct {
	Address string
	// CPUCores is the number of CPU cores that the host may use, which may be fractional.
	CPUCores float64
	// LinkBytesPerSecond is the bandwidth of the host's link; zero if unknown.
	LinkBytesPerSecond float64
	FailureDomain      id.FailureDomain
}

// SelectAddresses returns at most limit addresses that callers may connect to, shuffled by seed. Callers choose one at
// random, so all hosts get the same share of them, and small hosts serve theirs more slowly; small hosts are therefore
// included only if the large ones have too small a share of the fleet's cores.
func SelectAddresses(hosts []Host, limit int, seed uint64) []string {
	maxCores, totalCores := 0.0, 0.0
	for _, host := range hosts {
		maxCores = max(maxCores, host.CPUCores)
		totalCores += host.CPUCores
	}
	largeCores := 0.0
	var addresses, smallAddresses []string
	for _, host := range hosts {
		if host.CPUCores < largeHostRatio*maxCores {
			smallAddresses = append(smallAddresses, host.Address)

			continue
		}
		largeCores += host.CPUCores
		addresses = append(addresses, host.Address)
	}
	if largeCores < minLargeShare*totalCores {
		addresses = append(addresses, smallAddresses...)
	}
	slices.Sort(addresses)
	random := rand.New(rand.NewPCG(seed, 0))
	random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })

	return addresses[:min(len(addresses), limit)]
}
