package placement

import (
	"time"

	"cardamomward/core/id"
)

// Candidate is an upstream as this host sees it.
type Candidate struct {
	Upstream      id.Upstream
	FailureDomain id.FailureDomain
	// Slots is how many calls the upstream runs at a time; zero is not known yet.
	Slots int
	// Running and Waiting are the calls at the upstream by its last report.
	Running int
	Waiting int
	// Reported is when the report described the upstream.
	Reported time.Time
	// Own are the calls of this host at the upstream, OwnSince those sent since the report.
	Own      int
	OwnSince int
	// Cached estimates how many of the call's prompt tokens the upstream has cached.
	Cached id.Tokens
	// PrefillPerSecond is how many prompt tokens the upstream computes a second.
	PrefillPerSecond float64
}

// Request describes the call to place.
type Request struct {
	PromptTokens  id.Tokens
	FailureDomain id.FailureDomain
}

// defaultSlots stands for an upstream that has not reported yet.
const defaultSlots = 4

// Choose returns the index of the upstream to use, or false while all are full.
func Choose(_ time.Time, _ Request, candidates []Candidate) (int, bool) {
	best := -1
	for i := range candidates {
		c := &candidates[i]
		slots := c.Slots
		if slots == 0 {
			slots = defaultSlots
		}
		if c.Own >= slots {
			continue
		}
		if best < 0 || c.Own < candidates[best].Own {
			best = i
		}
	}

	return best, best >= 0
}
