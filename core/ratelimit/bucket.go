package ratelimit

import (
	"math"
	"time"
)

// Bucket is a token bucket; its zero value is full at first use.
type Bucket struct {
	level  float64
	filled time.Time
}

// NewWithLevel returns a bucket that holds level at now.
func NewWithLevel(now time.Time, level float64) Bucket { return Bucket{level: level, filled: now} }

// Level returns what the bucket held when it was last used.
func (b *Bucket) Level() float64 { return b.level }

// Take takes up to want requests that there is room for, or returns how long until there is room for one; zero where there never is.
func (b *Bucket) Take(now time.Time, rate, burst float64, want int64) (taken int64, wait time.Duration) {
	b.fill(now, rate, burst)
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

func (b *Bucket) fill(now time.Time, rate, burst float64) {
	if b.filled.IsZero() {
		b.level = burst
	} else if elapsed := now.Sub(b.filled).Seconds(); elapsed > 0 {
		b.level += elapsed * rate
	}
	b.level = min(burst, b.level)
	if now.After(b.filled) {
		b.filled = now
	}
}
