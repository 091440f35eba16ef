package coldstart

import (
	"time"

	"cardamomward/core/ratelimit"
)

const (
	// burstSeconds is the burst of the owner's bucket, in seconds of the rate. Admitted requests arrive up to half a second apart
	// from their admission: at 24 requests a second, 1.5 s of the rate and this burst are 38, and 41 are allowed in a second.
	burstSeconds = 0.1
	// unreachedOwnerShare is the part of its share of the rate that a host uses which cannot reach the owner. The owner, if it
	// still hears the host, admits the whole rate meanwhile; both together stay within 1.5 times the rate.
	unreachedOwnerShare = 0.5
	// maxQueueDelay bounds the delay that a refused host is told: 300 hosts ask 300 times a second for one upstream.
	maxQueueDelay = time.Second
)

// Burst returns the burst, in requests, at a rate in requests per second.
func Burst(rate float64) float64 { return max(1, burstSeconds*rate) }

// HostShare returns the rate of one of several hosts that cannot reach the owner.
func HostShare(rate float64, hosts int) float64 {
	return unreachedOwnerShare * rate / float64(max(1, hosts))
}

// Queue admits the requests of all hosts to a cold upstream, from a bucket of the owner of its slot. Its zero value is ready to use.
type Queue struct {
	// refused estimates how many hosts wait for a refused request.
	refused float64
	askedAt time.Time
}

// Take admits a request, or returns after how long to ask again. The delay grows with the refused requests, so that the hosts
// together ask about as often as the upstream admits requests. Several requests of a host may ask at once, but no more than all
// hosts wait.
func (q *Queue) Take(now time.Time, bucket *ratelimit.Bucket, rate float64, hosts int) (ok bool, retryAfter time.Duration) {
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
