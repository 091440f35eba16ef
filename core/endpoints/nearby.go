package endpoints

import (
	"math/rand/v2"
	"slices"
	"strings"

	"cardamomward/core/id"
)

// minPreferredHosts is the number of hosts that a failure domain needs to be preferred, so that its callers have other hosts
// when one is lost and the directory does not know it yet.
const minPreferredHosts = 3

// SelectNearbyAddresses returns at most limit addresses for callers in a failure domain, shuffled by seed. Over many seeds a host
// is included in proportion to its capacity, since callers choose an included one at random. Hosts of other domains are
// included only for the part of the domain's share of the load that exceeds the capacity of its own hosts.
func SelectNearbyAddresses(hosts []Host, domain id.FailureDomain, limit int, seed uint64) []string {
	sorted := slices.SortedFunc(slices.Values(hosts), func(a, b Host) int { return strings.Compare(a.Address, b.Address) })
	weights := capacities(sorted)
	scaleOtherDomains(sorted, weights, domain)

	return sampleAddresses(sorted, weights, limit, rand.New(rand.NewPCG(seed, 0)))
}

// capacities returns the capacity of each host relative to all: its share of the processor time or of the bandwidth, whichever
// is smaller. A host whose bandwidth is not known counts with its processor time.
func capacities(hosts []Host) []float64 {
	totalCores, knownCores, totalBandwidth := 0.0, 0.0, 0.0
	for _, host := range hosts {
		totalCores += host.CPUCores
		if host.LinkBytesPerSecond > 0 {
			knownCores += host.CPUCores
			totalBandwidth += host.LinkBytesPerSecond
		}
	}
	result := make([]float64, len(hosts))
	for i, host := range hosts {
		if totalCores <= 0 {
			result[i] = 1

			continue
		}
		result[i] = host.CPUCores / totalCores
		if host.LinkBytesPerSecond > 0 {
			result[i] = min(result[i], host.LinkBytesPerSecond/totalBandwidth*knownCores/totalCores)
		}
	}

	return result
}

// scaleOtherDomains scales the weights of hosts in other failure domains, so that they get only what the hosts of the domain
// cannot take of its callers' load. The domain's load is assumed to be as large as that of each other domain.
func scaleOtherDomains(hosts []Host, weights []float64, domain id.FailureDomain) {
	domains := make(map[id.FailureDomain]struct{})
	near, total, nearCount := 0.0, 0.0, 0
	for i, host := range hosts {
		domains[host.FailureDomain] = struct{}{}
		total += weights[i]
		if host.FailureDomain == domain {
			near += weights[i]
			nearCount++
		}
	}
	if domain == "" || nearCount < minPreferredHosts || near <= 0 || near >= total {
		return
	}
	share := total / float64(len(domains))
	scale := max(0, share-near) / (total - near)
	for i, host := range hosts {
		if host.FailureDomain != domain {
			weights[i] *= scale
		}
	}
}

// sampleAddresses returns a systematic sample in random order, in which each host is included with a probability in proportion
// to its weight, and the host with the largest weight at most once.
func sampleAddresses(hosts []Host, weights []float64, limit int, random *rand.Rand) []string {
	total, largest, positive := 0.0, 0.0, 0
	for _, weight := range weights {
		total += weight
		largest = max(largest, weight)
		if weight > 0 {
			positive++
		}
	}
	if positive == 0 {
		return nil
	}
	// A sample of this size includes the largest host always; a larger one would name the others too often.
	size := max(total/largest, float64(min(minPreferredHosts, positive)))
	step := total / min(float64(limit), size)
	order := random.Perm(len(hosts))
	next := random.Float64() * step
	var addresses []string
	passed := 0.0
	for _, i := range order {
		passed += weights[i]
		if weights[i] > 0 && next < passed {
			addresses = append(addresses, hosts[i].Address)
		}
		for next < passed {
			next += step
		}
	}
	random.Shuffle(len(addresses), func(a, b int) { addresses[a], addresses[b] = addresses[b], addresses[a] })

	return addresses[:min(len(addresses), limit)]
}
