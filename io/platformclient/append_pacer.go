package platformclient

import "time"

const (
	// minRateBackoff is the extra interval after the log's first rate-limit error.
	minRateBackoff = 20 * time.Millisecond
	// maxRateBackoff bounds the extra interval.
	maxRateBackoff = 2 * time.Second
	// backoffDecayDivisor: each accepted append reduces the extra interval by 1/8 of it.
	backoffDecayDivisor = 8
)

// appendPacer spaces a host's appends and backs off exponentially while the log rejects them with rate-limit errors.
type appendPacer struct {
	lastAppendAt time.Time
	backoff      time.Duration
}

// delay returns how long to wait before the next append.
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
