package adaptivetimeout

import "time"

const (
	// minTimeout is ten times the response time of a healthy store.
	minTimeout = 120 * time.Millisecond
	// maxTimeout bounds the timeout for a store whose responses are slow.
	maxTimeout = 1500 * time.Millisecond
	// maxBackedOffTimeout bounds the timeout after calls without a response, so that a call that began in an outage ends
	// within this time after the store recovers.
	maxBackedOffTimeout = 800 * time.Millisecond
	// latencyMultiplier is the ratio of the timeout to the average latency.
	latencyMultiplier = 6
	// latencyWeight is the weight of a new response in the average latency.
	latencyWeight = 0.2
	// backoffMultiplier multiplies the timeout after each call without a response.
	backoffMultiplier = 1.7
)

// Estimator estimates a retry timeout from the latency of responses; its zero value starts with a timeout of 120 ms.
type Estimator struct {
	averageLatency time.Duration
	// backoffFactor multiplies the timeout; a value below 1 counts as 1.
	backoffFactor float64
}

// RecordResponse records the latency of a response and resets the backoff.
func (e *Estimator) RecordResponse(latency time.Duration) {
	if e.averageLatency == 0 {
		e.averageLatency = latency
	}
	e.averageLatency += time.Duration(latencyWeight * float64(latency-e.averageLatency))
	e.backoffFactor = 1
}

// RecordTimeout records that a call got no response within the timeout, and increases the backoff.
func (e *Estimator) RecordTimeout() {
	e.backoffFactor = min(max(1, e.backoffFactor)*backoffMultiplier, float64(maxBackedOffTimeout)/float64(minTimeout))
}

// Timeout returns how long to wait for the next response, from 120 ms to 1.5 s.
func (e *Estimator) Timeout() time.Duration {
	timeout := min(maxTimeout, max(minTimeout, latencyMultiplier*e.averageLatency))

	return max(timeout, min(maxBackedOffTimeout, time.Duration(float64(timeout)*max(1, e.backoffFactor))))
}
