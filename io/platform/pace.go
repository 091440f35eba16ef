package platform

import "time"

const (
	// minPenalty is the extra spacing after the log's first refusal for its rate.
	minPenalty = 20 * time.Millisecond
	// maxPenalty bounds the extra spacing.
	maxPenalty = 2 * time.Second
	// penaltyDecay is the part of the extra spacing that each accepted append takes off.
	penaltyDecay = 8
)

// pacer spaces a host's appends; it backs off while the log refuses them for its rate.
type pacer struct {
	last    time.Time
	penalty time.Duration
}

// wait returns how long to wait before the next append.
func (p *pacer) wait(now time.Time, spacing time.Duration) time.Duration {
	return max(0, p.last.Add(spacing+p.penalty).Sub(now))
}

func (p *pacer) sent(now time.Time) { p.last = now }

func (p *pacer) rateLimited() { p.penalty = min(maxPenalty, max(minPenalty, 2*p.penalty)) }

func (p *pacer) accepted() {
	p.penalty -= p.penalty / penaltyDecay
	if p.penalty < minPenalty/2 {
		p.penalty = 0
	}
}
