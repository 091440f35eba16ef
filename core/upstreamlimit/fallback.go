package upstreamlimit

import "time"

// Fallback paces a host's requests to an upstream on the host's share of the limit while it cannot reach the owner of the limit.
// Its zero value is ready to use.
type Fallback struct {
	nextAt      time.Time
	lastAskedAt time.Time
}

// Take reports whether a request may be sent, at a share in requests per second. The phase, from 0 to 1, delays the first
// request by a part of the interval, so that the hosts that lose an owner at the same time do not send at once. A share of zero
// admits none.
func (f *Fallback) Take(now time.Time, share, phase float64) bool {
	if share <= 0 {
		return false
	}
	interval := time.Duration(float64(time.Second) / share)
	if f.lastAskedAt.IsZero() || now.Sub(f.lastAskedAt) > interval {
		f.nextAt = now.Add(time.Duration(phase * float64(interval)))
	}
	f.lastAskedAt = now
	if now.Before(f.nextAt) {
		return false
	}
	f.nextAt = now.Add(interval)

	return true
}
