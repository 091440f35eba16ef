package admission

import "time"

const (
	// rateWindow is the time over which the dispatch rate is averaged.
	rateWindow = 10 * time.Second
	// continuingDeadlineFactor scales the deadline of a call whose program has had turns, which a refusal would waste.
	continuingDeadlineFactor = 1.5
	minRetryAfter            = time.Second
	// retryMargin scales the time after which a refused caller retries, so that it is not refused again.
	retryMargin   = 1.1
	maxRetryAfter = 2 * time.Minute
)

// Call describes a call that asks to be queued.
type Call struct {
	// TimeToDeadline is the time until the call's deadline; zero means no deadline.
	TimeToDeadline time.Duration
	// ContinuesProgram is set if the program has had turns, whose work a refusal would put at risk.
	ContinuesProgram bool
	// Urgent calls wait only for other urgent calls.
	Urgent bool
}

// Backlog counts the queued calls by priority.
type Backlog struct {
	Routine int
	Urgent  int
}

// Controller measures the dispatch rate; its zero value admits all calls until it has measured for one window.
type Controller struct {
	windowStart    time.Time
	dispatched     float64
	averageSeconds float64
}

// RecordDispatch counts a queued call that was sent to an upstream.
func (c *Controller) RecordDispatch(now time.Time) {
	c.decayDispatched(now)
	c.dispatched++
}

// RecordDuration adds the time that a call ran at its upstream to the moving average.
func (c *Controller) RecordDuration(duration time.Duration) {
	const smoothing = 0.02
	if c.averageSeconds == 0 {
		c.averageSeconds = duration.Seconds()
	}
	c.averageSeconds += smoothing * (duration.Seconds() - c.averageSeconds)
}

// decayDispatched halves the count for each window that has passed, so that it covers one to two windows.
func (c *Controller) decayDispatched(now time.Time) {
	if c.windowStart.IsZero() {
		c.windowStart = now
	}
	for now.Sub(c.windowStart) >= 2*rateWindow {
		c.windowStart = c.windowStart.Add(rateWindow)
		c.dispatched /= 2
	}
}

// EstimateWait returns the expected queueing time of a new call, and false if less than one window was measured.
func (c *Controller) EstimateWait(now time.Time, call Call, backlog Backlog) (time.Duration, bool) {
	c.decayDispatched(now)
	elapsed := now.Sub(c.windowStart)
	if elapsed < rateWindow {
		return 0, false
	}
	callsAhead := backlog.Urgent
	if !call.Urgent {
		callsAhead += backlog.Routine
	}
	if callsAhead == 0 {
		return 0, true
	}
	// Counting one more call avoids a division by zero when nothing was dispatched.
	perSecond := (c.dispatched + 1) / elapsed.Seconds()

	return time.Duration(float64(callsAhead) / perSecond * float64(time.Second)), true
}

// Admit reports whether a call is expected to end before its deadline; if not, it returns when to retry.
func (c *Controller) Admit(now time.Time, call Call, backlog Backlog) (retryAfter time.Duration, ok bool) {
	wait, known := c.EstimateWait(now, call, backlog)
	if !known || call.TimeToDeadline <= 0 {
		return 0, true
	}
	allowed := call.TimeToDeadline
	if call.ContinuesProgram {
		allowed = time.Duration(float64(allowed) * continuingDeadlineFactor)
	}
	expected := wait + time.Duration(c.averageSeconds*float64(time.Second))
	// A call with no calls ahead of it is never refused, however long calls take.
	if wait == 0 || expected <= allowed {
		return 0, true
	}

	return min(maxRetryAfter, max(minRetryAfter, time.Duration(retryMargin*float64(expected-allowed)))), false
}
