package patience

import "time"

const (
	// least is the shortest wait: an answer of a healthy store takes a tenth of it.
	least = 120 * time.Millisecond
	// most is the longest wait for a store whose answers are slow.
	most = 1500 * time.Millisecond
	// mostStretched is the longest wait that calls without an answer lead to: a call that was begun in an outage ends
	// by then after the store's return.
	mostStretched = 800 * time.Millisecond
	// factor multiplies the time that answers have taken.
	factor = 6
	// weight is that of the newest answer.
	weight = 0.2
	// growth multiplies the wait after each call without an answer.
	growth = 1.7
)

// Patience follows the time that answers take; its zero value starts with the shortest wait.
type Patience struct {
	usual   time.Duration
	stretch float64
}

// Answered notes how long an answer took.
func (p *Patience) Answered(took time.Duration) {
	if p.usual == 0 {
		p.usual = took
	}
	p.usual += time.Duration(weight * float64(took-p.usual))
	p.stretch = 1
}

// Unanswered notes that no answer came in time.
func (p *Patience) Unanswered() {
	p.stretch = min(max(1, p.stretch)*growth, float64(mostStretched)/float64(least))
}

// Wait returns how long to wait for the next answer.
func (p *Patience) Wait() time.Duration {
	wait := min(most, max(least, factor*p.usual))

	return max(wait, min(mostStretched, time.Duration(float64(wait)*max(1, p.stretch))))
}
