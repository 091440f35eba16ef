package platformclient

import "time"

const (
	// minPenalty is the extra spacing after the log's first refusal for its rate.
	minRateBackoff = 20 * time.Millisecond
	// maxPenalty bounds the extra spacing.
	maxRateBackoff = 2 * time.Second
	// penaltyDecay is the part of the extra spacing that each accepted append takes off.
	backoffDecayDivisor = 8
)

// pacer spaces a host's appends; it backs off while the log refuses them for its rate.
type appendPacer struct {
	lastAppendAt time.Time
	backoff      time.Duration
}

// wait returns how long to wait before the next append.
func (p *appendPacer) delay(now time.Time, minAppendInterval time.Duration) time.Duration {
	return max(0, p.lastAppendAt.Add(minAppendInterval+p.backoff).Sub(now))
}

func (p *appendPacer) recordAttempt(now time.Time) { p.lastAppendAt = now }

func (p *appendPacer) recordRateLimit() {
	p.backoff = min(maxRateBackoff, max(minRateBackoff, 2*p.backoff))
}

func (p *appendPacer) recordSuccess() {
	p.backoff -= p.backoff / backoffDecayDivisor
	if p.backoff < minRateBackoff/2 {
		p.backoff = 0
	}
}
