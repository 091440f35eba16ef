package coldstart

import (
	"math"
	"time"

	"cardamomward/core/ratelimit"
)

const (
	// burstSeconds is the burst of the owner's bucket, in seconds of the rate. At 24 requests a second, arrivalWindow of the rate
	// and this burst are 38, and 41 are allowed in a second.
	burstSeconds = 0.1
	// unreachedOwnerShare is the part of the rate that all hosts together use which cannot reach the owner. The owner, if it
	// still hears them, admits the whole rate meanwhile.
	unreachedOwnerShare = 0.5
	// maxQueueDelay bounds the delay that a refused host is told: 300 hosts ask 300 times a second for one upstream.
	maxQueueDelay = time.Second

	// arrivalWindow is the length of the period, in seconds, whose admitted requests may arrive within one second: they arrive up to
	// half a second later than they were admitted, since a connection may have to be established.
	arrivalWindow = 1.5
	// unreachedReserve is kept for hosts that cannot reach the owner, as a part of the owner's rate. With 24 requests a second,
	// an overshoot of 1.5 and a slack of 5, a larger part than 0.07 would lower the rate of the owner.
	unreachedReserve = 0.05
	// minSharedRequests is the smallest number of requests in a second of which a part is kept for these hosts: of fewer ones
	// the reserve would be a large part, since it takes one request for rounding.
	minSharedRequests = 10
	// roundingMargin keeps the rounding of floating-point numbers from admitting one more request.
	roundingMargin = 0.01
)

// Tolerance is by how much the requests that reach a cold upstream in a second may exceed its rate. The zero value means that the
// platform states no tolerance, so that the rate is admitted as it is.
type Tolerance struct {
	// IsStated is set if the platform states a tolerance.
	IsStated bool
	// Overshoot is a factor of the rate, and Slack a number of requests beyond it.
	Overshoot float64
	Slack     float64
}

// MaxRequests returns the most requests that may reach an upstream in a second, at a rate in requests per second.
func (t Tolerance) MaxRequests(rate float64) float64 { return math.Floor(rate*t.Overshoot + t.Slack) }

// Pace holds the rates at which requests are admitted to a cold upstream.
type Pace struct {
	// OwnerRate is the rate, in requests per second, at which the owner of the upstream's slot admits requests of all hosts.
	OwnerRate float64
	// UnreachedRate is the rate of all hosts together that cannot reach the owner.
	UnreachedRate float64
}

// Pace returns the pace of an upstream by its rate in requests per second. If a tolerance is stated, the requests that the owner
// and hosts which cannot reach it admit within arrivalWindow, with the burst, are no more than may arrive in a second.
func (t Tolerance) Pace(rate float64) Pace {
	pace := Pace{OwnerRate: rate, UnreachedRate: unreachedOwnerShare * rate}
	if !t.IsStated {
		return pace
	}
	allowed := t.MaxRequests(rate)
	pace.OwnerRate = max(0, min(rate, fastestRate(allowed+1-roundingMargin, 0)))
	if allowed >= minSharedRequests {
		pace.OwnerRate = min(pace.OwnerRate, fastestRate(allowed-roundingMargin, unreachedReserve))
	}
	// Hosts that cannot reach the owner send at regular intervals, which takes one request more for rounding.
	rest := (allowed-roundingMargin-Burst(pace.OwnerRate))/arrivalWindow - pace.OwnerRate
	pace.UnreachedRate = max(0, min(pace.UnreachedRate, rest))

	return pace
}

// fastestRate returns the highest rate at which a bucket admits fewer requests within arrivalWindow than given, of which a part
// of the rate is reserved.
func fastestRate(requests, reserve float64) float64 {
	window := arrivalWindow * (1 + reserve)

	return min((requests-1)/window, requests/(window+burstSeconds))
}

// Limited returns the pace of an upstream that also names a limit in requests per second.
func (p Pace) Limited(limit float64) Pace {
	return Pace{OwnerRate: min(p.OwnerRate, limit), UnreachedRate: min(p.UnreachedRate, unreachedOwnerShare*limit)}
}

// HostShare returns the rate of one of several hosts that cannot reach the owner.
func (p Pace) HostShare(hosts int) float64 { return p.UnreachedRate / float64(max(1, hosts)) }

// Burst returns the burst, in requests, at a rate in requests per second.
func Burst(rate float64) float64 { return max(1, burstSeconds*rate) }

// Queue admits the requests of all hosts to a cold upstream, from a bucket of the owner of its slot. Its zero value is ready to use.
type Queue struct {
	// refused estimates how many hosts wait for a refused request.
	refused float64
	askedAt time.Time
}

// Take admits a request, or returns after how long to ask again. The delay grows with the refused requests, so that the hosts
// together ask about as often as the upstream admits requests. Several requests of a host may ask at once, but no more than all
// hosts wait. A rate of zero admits none.
func (q *Queue) Take(now time.Time, bucket *ratelimit.Bucket, rate float64, hosts int) (ok bool, retryAfter time.Duration) {
	if rate <= 0 {
		return false, maxQueueDelay
	}
	if elapsed := now.Sub(q.askedAt).Seconds(); elapsed > 0 {
		q.refused = max(0, q.refused-elapsed*rate)
		q.askedAt = now
	}
	taken, wait := bucket.Take(now, rate, Burst(rate), 1)
	if taken > 0 {
		return true, 0
	}
	wait += time.Duration(q.refused / rate * float64(time.Second))
	q.refused = min(q.refused+1, float64(hosts))

	return false, min(wait, maxQueueDelay)
}
