package ratelimit

import "time"

const (
	// MaxLease is the longest time that a grant may be used after it was asked for.
	MaxLease = 250 * time.Millisecond
	// leaseBurstShare is the maximum part of the pool's burst that is reserved for outstanding grants; it bounds their lease.
	leaseBurstShare = 0.25
	// floorRateShare is the part of the rate that the floors of all hosts together get.
	floorRateShare = 0.05
	// floorBurstShare limits the part of the burst that the floors of all hosts together get.
	floorBurstShare = 0.5
)

// Split divides a workspace's rate and burst between a floor bucket at each host and the owner's pool.
//
// Over any window of t seconds each floor admits at most FloorRate·t + FloorBurst requests. The pool grants at most
// PoolRate·t + PoolBurst, and a grant is used within Lease of being asked for, so at most
// PoolRate·(t + Lease) + PoolBurst requests are admitted on grants. With the maximum number of hosts, the sum stays
// within rate·t + burst.
type Split struct {
	// FloorRate and FloorBurst limit one host's floor bucket, in requests per second and requests.
	FloorRate  float64
	FloorBurst float64
	// PoolRate and PoolBurst limit the owner's pool, in requests per second and requests.
	PoolRate  float64
	PoolBurst float64
	// Lease is the lifetime of a grant, counted from before it was asked for.
	Lease time.Duration
}

// NewSplit divides rate, in requests per second, and burst, in requests, over at most maxHosts hosts.
func NewSplit(rate, burst float64, maxHosts int) Split {
	hosts := float64(max(1, maxHosts))
	split := Split{PoolRate: rate, PoolBurst: burst}
	// A floor needs a burst of one whole request to admit any, so small bursts get no floors.
	if totalFloorBurst := hosts; totalFloorBurst <= burst*floorBurstShare {
		split.FloorBurst = 1
		split.FloorRate = rate * floorRateShare / hosts
		split.PoolBurst = burst - totalFloorBurst
		split.PoolRate = rate * (1 - floorRateShare)
	}
	lease := time.Duration(split.PoolBurst * leaseBurstShare / split.PoolRate * float64(time.Second))
	split.Lease = min(MaxLease, lease)
	split.PoolBurst -= split.PoolRate * split.Lease.Seconds()

	return split
}
