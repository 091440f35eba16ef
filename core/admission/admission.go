package admission

import "time"

const (
	// window is the time over which the rate of service is averaged.
	window = 10 * time.Second
	// continuing is how much longer than its deadline a call of a program that is under way may seem to take.
	continuing = 1.5
	// minRetry is the shortest time to come back.
	minRetry = time.Second
	// margin is how much longer than expected a refused caller waits, so that it is not refused again.
	margin = 1.1
	// maxRetry is the longest time to come back.
	maxRetry = 2 * time.Minute
)

// Call describes a call that wants to wait.
type Call struct {
	// TimeToDeadline is the time until the call's deadline; zero is no deadline.
	TimeToDeadline time.Duration
	// ContinuesProgram says that the program has had turns, whose work a refusal would put at risk.
	ContinuesProgram bool
	// Urgent calls wait for urgent calls alone.
	Urgent bool
}

// Backlog describes the calls that wait.
type Backlog struct {
	Routine int
	Urgent  int
}

// Controller measures how fast calls are served; its zero value admits all until it has seen a window of service.
type Controller struct {
	since  time.Time
	served float64
	took   float64
}

// RecordDispatch notes that a waiting call went to an upstream.
func (g *Controller) RecordDispatch(now time.Time) {
	g.decay(now)
	g.served++
}

// RecordDuration notes how long a call ran at its upstream.
func (g *Controller) RecordDuration(took time.Duration) {
	const weight = 0.02
	if g.took == 0 {
		g.took = took.Seconds()
	}
	g.took += weight * (took.Seconds() - g.took)
}

// decay halves what the window holds each time that it has passed.
func (g *Controller) decay(now time.Time) {
	if g.since.IsZero() {
		g.since = now
	}
	for now.Sub(g.since) >= 2*window {
		g.since = g.since.Add(window)
		g.served /= 2
	}
}

// EstimateWait estimates how long a call that comes now waits, and false while too little was seen to tell.
func (g *Controller) EstimateWait(now time.Time, call Call, backlog Backlog) (time.Duration, bool) {
	g.decay(now)
	elapsed := now.Sub(g.since)
	if elapsed < window {
		return 0, false
	}
	ahead := backlog.Urgent
	if !call.Urgent {
		ahead += backlog.Routine
	}
	if ahead == 0 {
		return 0, true
	}
	// One call more than was served keeps a halt from dividing by nothing.
	perSecond := (g.served + 1) / elapsed.Seconds()

	return time.Duration(float64(ahead) / perSecond * float64(time.Second)), true
}

// Admit reports whether a call can end before its deadline; if not, it returns when a place is expected.
func (g *Controller) Admit(now time.Time, call Call, backlog Backlog) (retryAfter time.Duration, ok bool) {
	wait, known := g.EstimateWait(now, call, backlog)
	if !known || call.TimeToDeadline <= 0 {
		return 0, true
	}
	left := call.TimeToDeadline
	if call.ContinuesProgram {
		left = time.Duration(float64(left) * continuing)
	}
	expected := wait + time.Duration(g.took*float64(time.Second))
	// A call that finds nobody before it is never refused, however long calls take.
	if wait == 0 || expected <= left {
		return 0, true
	}

	return min(maxRetry, max(minRetry, time.Duration(margin*float64(expected-left)))), false
}
