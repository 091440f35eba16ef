package upstreamstats

import (
	"math"
	"time"

	"cardamomward/core/id"
)

const (
	// latencyWeight is the weight of a new sample in the moving average.
	latencyWeight = 0.15
	// failureHalfLife is the half-life of a failure in the failure score.
	failureHalfLife = 3 * time.Second
	// latencyTTL is how long an average is used without a new sample.
	latencyTTL = 6 * time.Second
)

type upstreamRecord struct {
	millisPerUnit float64
	sampledAt     time.Time
	failureScore  float64
	failedAt      time.Time
}

// Tracker keeps the statistics of upstreams; its zero value is empty.
type Tracker struct {
	records map[id.Upstream]*upstreamRecord
	// serviceAverage is the average of milliseconds per unit of work over all upstreams of a service.
	serviceAverage map[id.Service]float64
}

// RecordLatency adds a sample of an upstream, in milliseconds per unit of work.
func (t *Tracker) RecordLatency(now time.Time, service id.Service, upstream id.Upstream, millisPerUnit float64) {
	r := t.recordOf(upstream)
	if r.sampledAt.IsZero() || now.Sub(r.sampledAt) > latencyTTL {
		r.millisPerUnit = millisPerUnit
	}
	r.millisPerUnit += latencyWeight * (millisPerUnit - r.millisPerUnit)
	r.sampledAt = now
	if t.serviceAverage == nil {
		t.serviceAverage = make(map[id.Service]float64)
	}
	if average, ok := t.serviceAverage[service]; ok {
		t.serviceAverage[service] = average + latencyWeight/4*(millisPerUnit-average)
	} else {
		t.serviceAverage[service] = millisPerUnit
	}
}

// RecordFailure adds a failed request to an upstream's failure score.
func (t *Tracker) RecordFailure(now time.Time, upstream id.Upstream) {
	r := t.recordOf(upstream)
	r.failureScore = r.decayedFailureScore(now) + 1
	r.failedAt = now
}

// MillisPerUnit returns an upstream's average in milliseconds per unit of work. Without recent samples it returns the
// average of the service, and the fallback if there is none.
func (t *Tracker) MillisPerUnit(now time.Time, service id.Service, upstream id.Upstream, fallback float64) float64 {
	if r, ok := t.records[upstream]; ok && !r.sampledAt.IsZero() && now.Sub(r.sampledAt) <= latencyTTL {
		return r.millisPerUnit
	}
	if average, ok := t.serviceAverage[service]; ok {
		return average
	}

	return fallback
}

// FailureScore returns the number of failures of an upstream, each weighted by exponential decay over its age.
func (t *Tracker) FailureScore(now time.Time, upstream id.Upstream) float64 {
	r, ok := t.records[upstream]
	if !ok {
		return 0
	}

	return r.decayedFailureScore(now)
}

func (r *upstreamRecord) decayedFailureScore(now time.Time) float64 {
	if r.failureScore == 0 {
		return 0
	}

	return r.failureScore * math.Exp2(-now.Sub(r.failedAt).Seconds()/failureHalfLife.Seconds())
}

func (t *Tracker) recordOf(upstream id.Upstream) *upstreamRecord {
	if t.records == nil {
		t.records = make(map[id.Upstream]*upstreamRecord)
	}
	r, ok := t.records[upstream]
	if !ok {
		r = &upstreamRecord{}
		t.records[upstream] = r
	}

	return r
}

// RemoveUnlisted removes upstreams that are not listed any more.
func (t *Tracker) RemoveUnlisted(isListed func(id.Upstream) bool) {
	for upstream := range t.records {
		if !isListed(upstream) {
			delete(t.records, upstream)
		}
	}
}
