package quota

import (
	"math"
	"time"

	"cardamomward/core/ratelimit"
)

const (
	// demandSmoothing is the weight of the newest interval in the moving average of a host's demand.
	demandSmoothing = 0.3
	// demandHeadroom is the factor between the expected demand during one lease and the requests asked for.
	demandHeadroom = 1.2
	// fallbackBurstSeconds is the burst of a host that cannot reach the owner, in seconds of its share of the rate.
	fallbackBurstSeconds = 0.5
)

// Client is a host's side of a workspace's quota; its zero value holds no requests.
type Client struct {
	// remaining and used count the requests of the current lease; arrivals counts all requests since the last renewal.
	remaining       int64
	used            int64
	expiresAt       time.Time
	renewedAt       time.Time
	demandPerSecond float64
	arrivals        int64
	renewing        bool
	fallback        ratelimit.Bucket
}

// TryAcquire admits a request if the current lease has requests left.
func (c *Client) TryAcquire(now time.Time) bool {
	c.arrivals++
	if c.remaining <= 0 || now.After(c.expiresAt) {
		return false
	}
	c.remaining--
	c.used++

	return true
}

// BeginRenewal returns the requests that were used of the last lease and those wanted for the next one. It ends the
// current lease, because its unused requests return to the owner.
func (c *Client) BeginRenewal(now time.Time) (used, want int64) {
	if elapsed := now.Sub(c.renewedAt).Seconds(); !c.renewedAt.IsZero() && elapsed > 0 {
		rate := float64(c.arrivals) / elapsed
		c.demandPerSecond += demandSmoothing * (rate - c.demandPerSecond)
	}
	c.renewedAt, c.arrivals, c.renewing = now, 0, true
	used = c.used
	c.remaining, c.used = 0, 0

	return used, int64(math.Ceil(c.demandPerSecond*LeaseDuration.Seconds()*demandHeadroom)) + 1
}

// CompleteRenewal starts a lease of the granted requests, which runs from the time at which they were asked for.
func (c *Client) CompleteRenewal(askedAt time.Time, requests int64) {
	c.renewing = false
	c.remaining = requests
	c.expiresAt = askedAt.Add(LeaseDuration)
}

// AbortRenewal ends a renewal that the owner did not answer.
func (c *Client) AbortRenewal() { c.renewing = false }

// IsRenewing reports whether a renewal is in progress.
func (c *Client) IsRenewing() bool { return c.renewing }

// TryAcquireFallback admits a request on the host's own share of the rate, for use while the owner is unreachable.
func (c *Client) TryAcquireFallback(now time.Time, share Limit) bool {
	burst := max(1, share.Rate*fallbackBurstSeconds)
	taken, _ := c.fallback.Take(now, share.Rate, burst, 1)

	return taken == 1
}
