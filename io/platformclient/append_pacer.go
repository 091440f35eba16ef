package platformclient

import "time"

const (
	// minRateLimitBackoff is the extra interval after the log's first rate-limit error.
	minRateLimitBackoff = 20 * time.Millisecond
	// maxRateLimitBackoff bounds the extra interval.
	maxRateLimitBackoff = 2 * time.Second
	// backoffDecayDivisor is the divisor for the decay of the extra interval: each accepted append reduces it by 1/8.
	backoffDecayDivisor = 8
)

// appendPacer spaces a host's appends and backs off exponentially while the log rejects them with rate-limit errors.
type appendPacer struct {
	lastAppendAt     time.Time
	rateLimitBackoff time.Duration
}

// delay returns how long to wait before the next append.
func (p *appendPacer) delay(now time.Time, minAppendInterval time.Duration) time.Duration {
	return max(0, p.lastAppendAt.Add(minAppendInterval+p.rateLimitBackoff).Sub(now))
}

func (p *appendPacer) recordAttempt(now time.Time) { p.lastAppendAt = now }

func (p *appendPacer) recordRateLimit() {
	p.rateLimitBackoff = min(maxRateLimitBackoff, max(minRateLimitBackoff, 2*p.rateLimitBackoff))
}

func (p *appendPacer) recordSuccess() {
	p.rateLimitBackoff -= p.rateLimitBackoff / backoffDecayDivisor
	if p.rateLimitBackoff < minRateLimitBackoff/2 {
		p.rateLimitBackoff = 0
	}
}
