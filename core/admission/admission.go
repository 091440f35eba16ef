package admission

import "time"

const (
	// rateWindow is the time over which the dispatch rate is averaged.
	rateWindow = 10 * time.Second
	// continuingDeadlineFactor scales the time to the deadline of a call whose program has had turns, because a refusal
	// would waste their work.
	continuingDeadlineFactor = 1.5
	minRetryAfter            = time.Second
	// retryMargin scales the time after which a refused caller retries, so that it is not refused again.
	retryMargin   = 1.1
	maxRetryAfter = 2 * time.Minute
)

// Call describes a call that is queued if it is admitted.
type Call struct {
	// TimeToDeadline is the time until the call's deadline; zero means no deadline.
	TimeToDeadline time.Duration
	// ContinuesProgram is set if the program has had turns, whose work may be lost if the call is refused.
	ContinuesProgram bool
	// Urgent calls wait only for other urgent calls.
	Urgent bool
}

// Backlog counts the queued calls by priority.
type Backlog struct {
	Routine int
	Urgent  int
}

// Controller admits calls by the measured dispatch rate and the average duration of calls; its zero value admits all
// calls until it has measured dispatches for 10 s.
type Controller struct {
	windowStart        time.Time
	dispatchCount      float64
	averageCallSeconds float64
}

// RecordDispatch counts a queued call that was sent to an upstream.
func (c *Controller) RecordDispatch(now time.Time) {
	c.decayDispatchCount(now)
	c.dispatchCount++
}

// RecordDuration adds the time that a call ran at its upstream to the moving average.
func (c *Controller) RecordDuration(duration time.Duration) {
	const smoothing = 0.02
	if c.averageCallSeconds == 0 {
		c.averageCallSeconds = duration.Seconds()
	}
	c.averageCallSeconds += smoothing * (duration.Seconds() - c.averageCallSeconds)
}

// decayDispatchCount halves the count for each window that has passed, so that it covers one to two windows.
func (c *Controller) decayDispatchCount(now time.Time) {
	if c.windowStart.IsZero() {
		c.windowStart = now
	}
	for now.Sub(c.windowStart) >= 2*rateWindow {
		c.windowStart = c.windowStart.Add(rateWindow)
		c.dispatchCount /= 2
	}
}

// EstimateWait returns the expected queueing time of a new call, and false if dispatches were measured for less than
// 10 s.
func (c *Controller) EstimateWait(now time.Time, call Call, backlog Backlog) (time.Duration, bool) {
	c.decayDispatchCount(now)
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
	perSecond := (c.dispatchCount + 1) / elapsed.Seconds()

	return time.Duration(float64(callsAhead) / perSecond * float64(time.Second)), true
}

// Admit reports whether a call is expected to end before its deadline; if not, it returns when to retry.
func (c *Controller) Admit(now time.Time, call Call, backlog Backlog) (retryAfter time.Duration, ok bool) {
	wait, known := c.EstimateWait(now, call, backlog)
	if !known || call.TimeToDeadline <= 0 {
		return 0, true
	}
	timeLimit := call.TimeToDeadline
	if call.ContinuesProgram {
		timeLimit = time.Duration(float64(timeLimit) * continuingDeadlineFactor)
	}
	expectedDuration := wait + time.Duration(c.averageCallSeconds*float64(time.Second))
	// A call with no calls ahead of it is never refused, however long calls take.
	if wait == 0 || expectedDuration <= timeLimit {
		return 0, true
	}

	return min(maxRetryAfter, max(minRetryAfter, time.Duration(retryMargin*float64(expectedDuration-timeLimit)))), false
}
