package circuitbreaker

import "time"

const (
	// failureThreshold is the number of consecutive failures needed to open the breaker.
	failureThreshold = 2
	// minTimeSinceSuccess is the time since the last answered call needed to open the breaker.
	minTimeSinceSuccess = 150 * time.Millisecond
	// probeInterval is the time between probes of the direct path while the breaker is open.
	probeInterval = 300 * time.Millisecond
)

// Breaker tracks the results of calls on the direct path; its zero value is closed.
type Breaker struct {
	consecutiveFailures int
	lastSuccess         time.Time
	lastProbe           time.Time
}

// IsOpen reports whether calls should avoid the direct path.
func (b *Breaker) IsOpen(now time.Time) bool {
	return b.consecutiveFailures >= failureThreshold && now.Sub(b.lastSuccess) >= minTimeSinceSuccess
}

// TryProbe reports whether the direct path should be probed now; if so, it starts the next probe interval.
func (b *Breaker) TryProbe(now time.Time) bool {
	if !b.IsOpen(now) || now.Sub(b.lastProbe) < probeInterval {
		return false
	}
	b.lastProbe = now

	return true
}

// RecordResult records whether a call on the direct path was answered.
func (b *Breaker) RecordResult(now time.Time, answered bool) {
	if answered {
		b.consecutiveFailures, b.lastSuccess = 0, now

		return
	}
	b.consecutiveFailures++
}

// LastSuccess returns when a call on the direct path was last answered; zero if none was.
func (b *Breaker) LastSuccess() time.Time { return b.lastSuccess }
