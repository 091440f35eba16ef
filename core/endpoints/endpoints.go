package endpoints

import (
	"math/rand/v2"
	"slices"
)

const (
	// largePart is the part of the largest host's size from which on a host counts as large.
	largePart = 0.5
	// enoughPart is the part of the fleet's size that the large hosts must have for callers to be sent to them alone.
	enoughPart = 0.5
)

// Host is a host that serves.
type Host struct {
	Address string
	// CPUCores is the processor time that it has, in cores.
	CPUCores float64
}

// SelectAddresses returns where callers may connect, at most so many, in an order of the seed's. Callers pick among the addresses
// at random, so hosts that are much smaller than the others are named only where the large ones are too few: the same
// share of the callers would be served more slowly there.
func SelectAddresses(hosts []Host, most int, seed uint64) []string {
	largest, all := 0.0, 0.0
	for _, host := range hosts {
		largest = max(largest, host.CPUCores)
		all += host.CPUCores
	}
	large := 0.0
	var addresses, small []string
	for _, host := range hosts {
		if host.CPUCores < largePart*largest {
			small = append(small, host.Address)

			continue
		}
		large += host.CPUCores
		addresses = append(addresses, host.Address)
	}
	if large < enoughPart*all {
		addresses = append(addresses, small...)
	}
	slices.Sort(addresses)
	shuffle := rand.New(rand.NewPCG(seed, 0))
	shuffle.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })

	return addresses[:min(len(addresses), most)]
}
