package streamorigin

import (
	"time"

	"cardamomward/core/id"
)

const (
	// rotationInterval is how long attempts are recorded in one generation; two generations are kept, so each attempt is
	// remembered for one to two intervals.
	rotationInterval = 15 * time.Second
	// maxAttemptsPerGeneration bounds the memory; a generation that reaches it is replaced early.
	maxAttemptsPerGeneration = 1 << 15
	// clockTolerance bounds the difference between the clocks of a host and an upstream.
	clockTolerance = 2500 * time.Millisecond
)

// Attempt is the request id of a caller's attempt.
type Attempt string

// Origin is where the first event of a stream was generated.
type Origin struct {
	Service     id.Service
	Upstream    id.Upstream
	Incarnation int64
	Version     id.SoftwareVersion
	// StartedAt is when the first event arrived, by the clock of the host that received it.
	StartedAt time.Time
	// IsConfirmed is set if the stream is known to have begun at the process of the incarnation, and not at one whose registration
	// had not been read.
	IsConfirmed bool
	// ObservedAt is the time at which this host learned of the origin, by its own clock, which is after the stream began.
	ObservedAt time.Time
}

// IsUncertain reports whether the stream may have begun at another version than the recorded one: the upstream is
// registered with another version now and may have been restarted before the stream began. The incarnation is the time
// of the start in milliseconds since the Unix epoch.
func (o Origin) IsUncertain(incarnation int64, version id.SoftwareVersion) bool {
	if incarnation == o.Incarnation || version == o.Version {
		return false
	}

	return time.UnixMilli(incarnation).Before(o.StartedAt.Add(clockTolerance))
}

// Index holds the origins of recent attempts; its zero value is empty.
type Index struct {
	// MaxAttempts bounds the attempts of a generation; zero, or more than 32,768, means 32,768.
	MaxAttempts int

	current, previous map[Attempt]Origin
	rotatedAt         time.Time
}

// Record stores the origin of an attempt.
func (x *Index) Record(now time.Time, attempt Attempt, origin Origin) {
	if x.current == nil || now.Sub(x.rotatedAt) >= rotationInterval || len(x.current) >= x.maxAttempts() {
		x.rotate(now)
	}
	x.current[attempt] = origin
}

func (x *Index) maxAttempts() int {
	if x.MaxAttempts > 0 {
		return min(x.MaxAttempts, maxAttemptsPerGeneration)
	}

	return maxAttemptsPerGeneration
}

// Lookup returns the origin of an attempt, and false if it is not known.
func (x *Index) Lookup(attempt Attempt) (Origin, bool) {
	if origin, ok := x.current[attempt]; ok {
		return origin, true
	}
	origin, ok := x.previous[attempt]

	return origin, ok
}

// RemoveExpired removes attempts that were recorded more than two rotation intervals ago.
func (x *Index) RemoveExpired(now time.Time) {
	if x.current != nil && now.Sub(x.rotatedAt) >= rotationInterval {
		x.rotate(now)
	}
}

func (x *Index) rotate(now time.Time) {
	x.previous, x.current, x.rotatedAt = x.current, make(map[Attempt]Origin), now
}
