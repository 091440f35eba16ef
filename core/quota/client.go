package quota

import (
	"math"
	"time"
)

const (
	// demandWindow is the time constant of the moving average of a host's demand.
	demandWindow = time.Second
	// demandHeadroom is the factor between the expected demand during one lease and the requests asked for.
	demandHeadroom = 1.2
	// fallbackBurstSeconds is the burst of a host that cannot reach the owner, in seconds of its share of the rate.
	fallbackBurstSeconds = 0.5
)

// LeaseNumber identifies a lease among those that a host has asked for, and grows with time; zero is no lease.
type LeaseNumber int64

// Renewal is a host's request for its next lease, and its account of the last one.
type Renewal struct {
	// Lease is the lease that is asked for.
	Lease LeaseNumber
	// Settles is the last lease that the host received, and Used the number of its requests that were admitted.
	Settles LeaseNumber
	Used    int64
	// Want is the number of requests that the host expects to admit with the next lease, the one that waits included.
	Want int64
}

// Client is a host's side of a workspace's quota; its zero value holds no requests.
type Client struct {
	// requested is the last lease that was asked for, and lease the last one that was received. remaining and used count its
	// requests, and arrivals all requests since the last renewal.
	requested       LeaseNumber
	lease           LeaseNumber
	remaining       int64
	used            int64
	expiresAt       time.Time
	renewedAt       time.Time
	demandPerSecond float64
	arrivals        int64
	renewing        bool
	// fallbackLevel and fallbackFilledAt are the bucket of a host that cannot reach the owner; the time is zero while it can.
	fallbackLevel    float64
	fallbackFilledAt time.Time
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

// BeginRenewal returns the next renewal. It ends the current lease, because its unused requests return to the owner.
func (c *Client) BeginRenewal(now time.Time) Renewal {
	c.demandPerSecond *= math.Exp(-max(0, now.Sub(c.renewedAt)).Seconds() / demandWindow.Seconds())
	c.demandPerSecond += float64(c.arrivals) / demandWindow.Seconds()
	c.renewedAt, c.arrivals, c.renewing, c.remaining = now, 0, true, 0
	c.requested = max(c.requested+1, LeaseNumber(now.UnixNano()))

	return Renewal{
		Lease: c.requested, Settles: c.lease, Used: c.used,
		Want: int64(c.demandPerSecond*LeaseDuration.Seconds()*demandHeadroom) + 1,
	}
}

// CompleteRenewal starts the lease of the granted requests, which runs from the time at which they were asked for.
func (c *Client) CompleteRenewal(askedAt time.Time, renewal Renewal, requests int64) {
	c.renewing, c.fallbackFilledAt = false, time.Time{}
	c.lease, c.remaining, c.used = renewal.Lease, requests, 0
	c.expiresAt = askedAt.Add(LeaseDuration)
}

// AbortRenewal ends a renewal that the owner did not answer. The last lease is settled again with the next one.
func (c *Client) AbortRenewal() { c.renewing = false }

// IsRenewing reports whether a renewal is in progress.
func (c *Client) IsRenewing() bool { return c.renewing }

// TryAcquireFallback admits a request on the host's own share of the rate, for use while the owner is unreachable. Its
// bucket starts at initialLevel when the owner becomes unreachable.
func (c *Client) TryAcquireFallback(now time.Time, share Limit, initialLevel float64) bool {
	if c.fallbackFilledAt.IsZero() {
		c.fallbackLevel, c.fallbackFilledAt = initialLevel, now
	}
	elapsed := max(0, now.Sub(c.fallbackFilledAt).Seconds())
	c.fallbackLevel = min(max(1, initialLevel, share.Rate*fallbackBurstSeconds), c.fallbackLevel+elapsed*share.Rate)
	c.fallbackFilledAt = now
	if c.fallbackLevel < 1 {
		return false
	}
	c.fallbackLevel--

	return true
}

// InitialFallbackLevel returns the level at which a host's fallback bucket starts. The hosts draw a number from 0 to 1 each, so
// that together they admit the rate, and at once no more than one change of the owner may admit in excess.
func InitialFallbackLevel(limit Limit, slackRequests float64, hosts int, draw float64) float64 {
	return draw + min(1, limit.changeExcess(slackRequests)/float64(max(1, hosts)))
}
