package ratelimit

import "time"

const (
	// MaxLease is the longest that a grant may be used after it was asked for.
	MaxLease = 250 * time.Millisecond
	// leaseShare bounds the part of the burst that outstanding grants may stand for.
	leaseShare = 0.25
	// floorRateShare is the part of the rate that hosts may use without asking.
	floorRateShare = 0.05
	// floorBurstShare bounds the part of the burst that the floors take together.
	floorBurstShare = 0.5
)

// Split divides a workspace's rate and burst between the floors of all hosts and the pool of the bucket's owner.
//
// Over any window of t seconds the floors admit at most FloorRate·t + FloorBurst each. The pool grants at
// most PoolRate·t + PoolBurst, and a grant is used within Lease of being asked for, so what is admitted
// on grants is at most PoolRate·(t + Lease) + PoolBurst. The sum over the largest fleet stays within
// rate·t + burst.
type Split struct {
	// FloorRate and FloorBurst are one host's requests a second and at once.
	FloorRate  float64
	FloorBurst float64
	// PoolRate and PoolBurst are what the owner grants.
	PoolRate  float64
	PoolBurst float64
	// Lease is how long a grant may be used, counted from before it was asked for.
	Lease time.Duration
}

// NewSplit divides requests a second and requests at once over at most maxHosts hosts.
func NewSplit(rate, burst float64, maxHosts int) Split {
	hosts := float64(max(1, maxHosts))
	split := Split{PoolRate: rate, PoolBurst: burst}
	// A floor that never reaches one whole request admits nothing, so small bursts have none.
	if floors := hosts; floors <= burst*floorBurstShare {
		split.FloorBurst = 1
		split.FloorRate = rate * floorRateShare / hosts
		split.PoolBurst = burst - floors
		split.PoolRate = rate * (1 - floorRateShare)
	}
	lease := time.Duration(split.PoolBurst * leaseShare / split.PoolRate * float64(time.Second))
	split.Lease = min(MaxLease, lease)
	split.PoolBurst -= split.PoolRate * split.Lease.Seconds()

	return split
}
