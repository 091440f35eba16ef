package ratelimit

import (
	"math"
	"time"
)

// Bucket is a token bucket; its zero value is full at first use.
type Bucket struct {
	level    float64
	filledAt time.Time
}

// NewWithLevel returns a bucket that holds level tokens at now.
func NewWithLevel(now time.Time, level float64) Bucket { return Bucket{level: level, filledAt: now} }

// Level returns the tokens that the bucket held when it was last used.
func (b *Bucket) Level() float64 { return b.level }

// Take takes up to want whole tokens; if there is none, it returns the time until there is one, or zero if the limit
// never allows one.
func (b *Bucket) Take(now time.Time, rate, burst float64, want int64) (taken int64, wait time.Duration) {
	b.refill(now, rate, burst)
	taken = min(want, int64(math.Floor(b.level)))
	if taken > 0 {
		b.level -= float64(taken)

		return taken, 0
	}
	if rate <= 0 || burst < 1 {
		return 0, 0
	}

	return 0, time.Duration(math.Ceil((1 - b.level) / rate * float64(time.Second)))
}

func (b *Bucket) refill(now time.Time, rate, burst float64) {
	if b.filledAt.IsZero() {
		b.level = burst
	} else if elapsed := now.Sub(b.filledAt).Seconds(); elapsed > 0 {
		b.level += elapsed * rate
	}
	b.level = min(burst, b.level)
	if now.After(b.filledAt) {
		b.filledAt = now
	}
}
