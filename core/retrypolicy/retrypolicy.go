package retrypolicy

import "time"

// Outcome is the result of one attempt to send a request to an upstream.
type Outcome int

// Outcomes of an attempt.
const (
	// NotSent means that the request did not reach the upstream.
	NotSent Outcome = iota
	// NotExecuted means that the upstream refused the request and guarantees that it did not run it.
	NotExecuted
	// Lost means that the request may have run, but no complete answer arrived.
	Lost
	// Answered means that the upstream answered the request itself.
	Answered
)

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	return [...]string{"not-sent", "not-run", "lost", "answered"}[o]
}

// minTimeLeft is the shortest time to the deadline in which another attempt can still succeed.
const minTimeLeft = 15 * time.Millisecond

// Policy limits the retries of a route's requests.
type Policy struct {
	// AllowReexecution is set if the request may run more than once.
	AllowReexecution bool
	// MaxAttempts limits the attempts of one request that may have run.
	MaxAttempts int
}

// Attempts counts the attempts of one request; its zero value counts none.
type Attempts struct {
	// Executed counts attempts that may have run.
	Executed int
	// Unexecuted counts attempts that certainly did not run.
	Unexecuted int
}

// maxUnexecuted limits the attempts that did not run, so that a request does not try every full upstream in turn.
const maxUnexecuted = 6

// Record counts the outcome of an attempt.
func (a *Attempts) Record(outcome Outcome) {
	switch outcome {
	case NotSent, NotExecuted:
		a.Unexecuted++
	case Lost, Answered:
		a.Executed++
	}
}

// ShouldRetry reports whether the request may be sent to another upstream after an outcome, with timeLeft until its deadline.
// upstreamEnded is set if the process that lost the request has ended since, so that its execution does not count against
// MaxAttempts.
func (a *Attempts) ShouldRetry(policy Policy, outcome Outcome, upstreamEnded bool, timeLeft time.Duration) bool {
	if timeLeft < minTimeLeft {
		return false
	}
	switch outcome {
	case NotSent, NotExecuted:
		return a.Unexecuted < maxUnexecuted && (a.Executed == 0 || policy.AllowReexecution)
	case Lost:
		return policy.AllowReexecution && (a.Executed < policy.MaxAttempts || (upstreamEnded && a.Executed <= policy.MaxAttempts))
	case Answered:
	}

	return false
}
