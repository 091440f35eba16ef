package retrybudget

import (
	"math/rand/v2"
	"time"
)

const (
	// retriesPerSuccess is the fraction of a retry that each success adds to the budget.
	retriesPerSuccess = 0.1
	// initialRetries is the budget of a service before any success.
	initialRetries = 10
	// maxRetries bounds the budget that successes accumulate.
	maxRetries = 100
	// initialMaxBackoff is the upper bound of the backoff before the first retry.
	initialMaxBackoff = 50 * time.Millisecond
	// maxBackoff is the upper bound of the backoff before any retry.
	maxBackoff = 2 * time.Second
)

// Budget limits the retries of one service to a fraction of its successes; its zero value holds the initial retries.
type Budget struct {
	// spentRetries is negative if successes have added more to the initial retries than was spent.
	spentRetries float64
}

// RecordSuccess adds a fraction of a retry to the budget, up to its maximum.
func (b *Budget) RecordSuccess() {
	b.spentRetries = max(initialRetries-maxRetries, b.spentRetries-retriesPerSuccess)
}

// Available returns how many retries the budget allows now.
func (b *Budget) Available() int { return int(initialRetries - b.spentRetries) }

// TryAcquire takes a retry from the budget and returns the backoff before it. It returns false and takes none if the budget
// is empty or the backoff would not end within timeLeft, the time to the deadline of the call; there is no deadline unless
// timeLeft is positive. attempt counts the retries of the call from zero.
func (b *Budget) TryAcquire(attempt int, timeLeft time.Duration) (backoff time.Duration, ok bool) {
	backoff = JitteredBackoff(attempt)
	if timeLeft > 0 && backoff >= timeLeft {
		return 0, false
	}
	if b.spentRetries+1 > initialRetries {
		return 0, false
	}
	b.spentRetries++

	return backoff, true
}

// JitteredBackoff returns a uniformly random duration below a bound that doubles with each attempt, up to a maximum.
func JitteredBackoff(attempt int) time.Duration {
	bound := maxBackoff
	if attempt < 10 {
		bound = min(maxBackoff, initialMaxBackoff<<attempt)
	}

	return rand.N(bound)
}
