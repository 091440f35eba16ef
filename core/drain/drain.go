package drain

import "time"

const (
	// sampleWindow is the period of which durations are remembered at least, and twice it at most.
	sampleWindow = 30 * time.Second
	// minSamples is the number of durations from which the longest of them says how long further requests take.
	minSamples = 8
	// durationMargin is the ratio of the time expected of a request to the longest recent duration.
	durationMargin = 2
)

// Durations remembers how long recent requests of each key took; its zero value is empty.
type Durations[K comparable] struct {
	current, previous map[K]samples
	startedAt         time.Time
}

// samples is the number and the longest of some durations.
type samples struct {
	count   int
	longest time.Duration
}

// Record adds the duration of a request that has ended.
func (d *Durations[K]) Record(now time.Time, key K, duration time.Duration) {
	d.rotate(now)
	recorded := d.current[key]
	d.current[key] = samples{count: recorded.count + 1, longest: max(recorded.longest, duration)}
}

// Limit returns the longest time that a request is expected to take, and false if too few have been recorded lately.
func (d *Durations[K]) Limit(now time.Time, key K) (time.Duration, bool) {
	d.rotate(now)
	current, previous := d.current[key], d.previous[key]

	return durationMargin * max(current.longest, previous.longest), current.count+previous.count >= minSamples
}

// rotate forgets the durations of the window before the previous one.
func (d *Durations[K]) rotate(now time.Time) {
	switch age := now.Sub(d.startedAt); {
	case d.current == nil || age >= 2*sampleWindow:
		d.current, d.previous, d.startedAt = make(map[K]samples), nil, now
	case age >= sampleWindow:
		d.current, d.previous, d.startedAt = make(map[K]samples), d.current, now
	}
}

// Request holds the known limits of a request that arrives at a host that shuts down.
type Request struct {
	// Deadline is the latest end of the request.
	Deadline time.Time
	// IsRepeatable is set if its caller may send it again after its response was lost.
	IsRepeatable bool
	// ExpectedDuration is the longest time that it is expected to take, if IsDurationKnown is set.
	ExpectedDuration time.Duration
	IsDurationKnown  bool
}

// CanFinish reports whether a request can end before the host ends its responses. One that must not be repeated is taken only if that is
// certain.
func CanFinish(now, endsAt time.Time, req Request) bool {
	if !req.Deadline.After(endsAt) {
		return true
	}

	return req.IsRepeatable && req.IsDurationKnown && !now.Add(req.ExpectedDuration).After(endsAt)
}
