package circuitbreaker

import "time"

const (
	// failures is how many calls in a row must fail before calls go another way.
	failures = 2
	// quiet is how long ago the last answer must be by then.
	quiet = 150 * time.Millisecond
	// probeInterval is how often the direct way is tried while it fails.
	probeInterval = 300 * time.Millisecond
)

// Breaker follows how calls fare on the direct way; its zero value goes there.
type Breaker struct {
	failed   int
	answered time.Time
	probed   time.Time
}

// IsOpen reports whether calls should go another way.
func (w *Breaker) IsOpen(now time.Time) bool {
	return w.failed >= failures && now.Sub(w.answered) >= quiet
}

// TryProbe reports whether the direct way is to be tried now, and notes that it is.
func (w *Breaker) TryProbe(now time.Time) bool {
	if !w.IsOpen(now) || now.Sub(w.probed) < probeInterval {
		return false
	}
	w.probed = now

	return true
}

// RecordResult notes whether a call on the direct way was answered.
func (w *Breaker) RecordResult(now time.Time, answered bool) {
	if answered {
		w.failed, w.answered = 0, now

		return
	}
	w.failed++
}

// LastSuccess returns when a call on the direct way was last answered.
func (w *Breaker) LastSuccess() time.Time { return w.answered }
