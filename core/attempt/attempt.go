package attempt

import "time"

// Outcome is what became of one send to an upstream.
type Outcome int

// Outcomes of a send.
const (
	// NotSent requests did not reach the upstream.
	NotSent Outcome = iota
	// NotRun requests were refused by the upstream, which promises that it did not run them.
	NotRun
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
	// Repeatable requests may run more than once.
	Repeatable bool
	// MaxAttempts bounds the upstreams that may run one request.
	MaxAttempts int
}

// Tries counts the sends of one request; its zero value has none.
type Tries struct {
	// Ran counts sends that may have run.
	Ran int
	// Unrun counts sends that did not run.
	Unrun int
}

// maxUnrun bounds the sends that did not run, so that a request does not wander among full upstreams.
const maxUnrun = 6

// Note counts an outcome.
func (t *Tries) Note(outcome Outcome) {
	switch outcome {
	case NotSent, NotRun:
		t.Unrun++
	case Lost, Answered:
		t.Ran++
	}
}

// Again reports whether the request may be sent to another upstream after an outcome; gone is set where the upstream
// that lost it has ended since, so that its run counts no more.
func (t *Tries) Again(p Policy, outcome Outcome, gone bool, remaining time.Duration) bool {
	if remaining < minRemaining {
		return false
	}
	switch outcome {
	case NotSent, NotRun:
		return t.Unrun < maxUnrun && (t.Ran == 0 || p.Repeatable)
	case Lost:
		return p.Repeatable && (t.Ran < p.MaxAttempts || (gone && t.Ran <= p.MaxAttempts))
	case Answered:
	}

	return false
}
