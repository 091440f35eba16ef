package quota

import (
	"math"
	"time"

	"cardamomward/core/ratelimit"
)

const (
	// demandWeight is the weight of the newest interval in the estimate of a host's demand.
	demandWeight = 0.3
	// ahead is how much of the estimated demand over a lease is asked for.
	ahead = 1.2
	// floorSeconds is the burst of a host that cannot reach the owner, in seconds of its share of the rate.
	floorSeconds = 0.5
)

// Client is a host's side of a workspace's bucket; its zero value has no allowance.
type Client struct {
	left    int64
	used    int64
	expires time.Time
	asked   time.Time
	demand  float64
	arrived int64
	asking  bool
	floor   ratelimit.Bucket
}

// TryAcquire admits a request on the present allowance.
func (l *Client) TryAcquire(now time.Time) bool {
	l.arrived++
	if l.left <= 0 || now.After(l.expires) {
		return false
	}
	l.left--
	l.used++

	return true
}

// BeginRenewal begins a request to the owner: what was used of the last allowance, and what is wanted. The present
// allowance ends, since what is left of it goes back.
func (l *Client) BeginRenewal(now time.Time) (used, want int64) {
	if elapsed := now.Sub(l.asked).Seconds(); !l.asked.IsZero() && elapsed > 0 {
		rate := float64(l.arrived) / elapsed
		l.demand += demandWeight * (rate - l.demand)
	}
	l.asked, l.arrived, l.asking = now, 0, true
	used = l.used
	l.left, l.used = 0, 0

	return used, int64(math.Ceil(l.demand*LeaseDuration.Seconds()*ahead)) + 1
}

// CompleteRenewal ends a request to the owner; the allowance runs from when it was asked for.
func (l *Client) CompleteRenewal(asked time.Time, requests int64) {
	l.asking = false
	l.left = requests
	l.expires = asked.Add(LeaseDuration)
}

// AbortRenewal ends a request to the owner without an answer.
func (l *Client) AbortRenewal() { l.asking = false }

// IsRenewing reports whether a request to the owner is under way.
func (l *Client) IsRenewing() bool { return l.asking }

// TryAcquireFallback admits a request on the host's own share of the rate, for as long as the owner cannot be reached.
func (l *Client) TryAcquireFallback(now time.Time, share Limit) bool {
	burst := max(1, share.Rate*floorSeconds)
	taken, _ := l.floor.Take(now, share.Rate, burst, 1)

	return taken == 1
}
