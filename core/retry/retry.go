package retry

import (
	"math/rand/v2"
	"time"
)

const (
	// share is how many retries each success pays for.
	share = 0.1
	// reserve is how many retries a service has before any success.
	reserve = 10
	// most bounds the retries saved up.
	most = 100
	// base is the longest wait before the first retry.
	base = 50 * time.Millisecond
	// longest is the longest wait before any retry.
	longest = 2 * time.Second
)

// Budget limits the retries of one service to a part of its successes; its zero value is full of the reserve.
type Budget struct{ spent float64 }

// Succeeded pays for a part of a retry.
func (b *Budget) Succeeded() { b.spent = max(reserve-most, b.spent-share) }

// Left returns how many retries may be made now.
func (b *Budget) Left() int { return int(reserve - b.spent) }

// Take reports whether a retry may be made after the given wait, with the time left before the deadline;
// attempt counts the retries of the call from zero.
func (b *Budget) Take(attempt int, left time.Duration) (wait time.Duration, ok bool) {
	wait = Jitter(attempt)
	if left > 0 && wait >= left {
		return 0, false
	}
	if b.spent+1 > reserve {
		return 0, false
	}
	b.spent++

	return wait, true
}

// Jitter returns a wait drawn evenly below a bound that doubles with each attempt.
func Jitter(attempt int) time.Duration {
	bound := longest
	if attempt < 10 {
		bound = min(longest, base<<attempt)
	}

	return rand.N(bound)
}
