package retrypolicy

import "time"

// Outcome is what became of one send to an upstream.
type Outcome int

// Outcomes of a send.
const (
	// NotSent requests did not reach the upstream.
	NotSent Outcome = iota
	// NotExecuted requests were refused by the upstream, which promises that it did not run them.
	NotExecuted
	// Lost requests may have run; there is no whole answer.
	Lost
	// Answered requests have the upstream's own answer.
	Answered
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"not-sent", "not-run", "lost", "answered"}[o]
}

// minRemaining is the least time in which another send can still be of use.
const minRemaining = 15 * time.Millisecond

// Policy is what a route allows.
type Policy struct {
	// AllowReexecution requests may run more than once.
	AllowReexecution bool
	// MaxAttempts bounds the upstreams that may run one request.
	MaxAttempts int
}

// Attempts counts the sends of one request; its zero value has none.
type Attempts struct {
	// Executed counts sends that may have run.
	Executed int
	// Unexecuted counts sends that did not run.
	Unexecuted int
}

// maxUnrun bounds the sends that did not run, so that a request does not wander among full upstreams.
const maxUnrun = 6

// Record counts an outcome.
func (t *Attempts) Record(outcome Outcome) {
	switch outcome {
	case NotSent, NotExecuted:
		t.Unexecuted++
	case Lost, Answered:
		t.Executed++
	}
}

// ShouldRetry reports whether the request may be sent to another upstream after an outcome; gone is set where the upstream
// that lost it has ended since, so that its run counts no more.
func (t *Attempts) ShouldRetry(p Policy, outcome Outcome, gone bool, remaining time.Duration) bool {
	if remaining < minRemaining {
		return false
	}
	switch outcome {
	case NotSent, NotExecuted:
		return t.Unexecuted < maxUnrun && (t.Executed == 0 || p.AllowReexecution)
	case Lost:
		return p.AllowReexecution && (t.Executed < p.MaxAttempts || (gone && t.Executed <= p.MaxAttempts))
	case Answered:
	}

	return false
}
