package bucket

import "time"

// Bucket is a token bucket; its zero value is full at first use.
type Bucket struct {
	level  float64
	filled time.Time
}

// Take takes one request if there is room, or returns how long until there is.
func (b *Bucket) Take(now time.Time, rate, burst float64) (ok bool, wait time.Duration) {
	b.fill(now, rate, burst)
	if b.level >= 1 {
		b.level--

		return true, 0
	}

	return false, time.Duration((1 - b.level) / rate * float64(time.Second))
}

func (b *Bucket) fill(now time.Time, rate, burst float64) {
	if b.filled.IsZero() {
		b.level = burst
	} else if elapsed := now.Sub(b.filled).Seconds(); elapsed > 0 {
		b.level = min(burst, b.level+elapsed*rate)
	}
	b.filled = now
}
