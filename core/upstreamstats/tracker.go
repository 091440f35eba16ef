package upstreamstats

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"cardamomward/core/id"
)

const (
	// latencyWeight is the weight of a new sample in the moving average.
	latencyWeight = 0.15
	// failureHalfLife is the half-life of a failure in the failure score.
	failureHalfLife = 3 * time.Second
	// minErrorScore is the error score below which hosts do not report an upstream to each other.
	minErrorScore = 0.2
	// maxReportedErrors bounds the upstreams that a host reports, since heartbeats are bounded in size.
	maxReportedErrors = 32
	// latencyTTL is the lifetime of an average without a new sample.
	latencyTTL = 6 * time.Second
)

// upstreamStats holds the statistics of one upstream: its moving average of the latency and its decayed count of failures.
type upstreamStats struct {
	millisPerUnit float64
	sampledAt     time.Time
	failureScore  float64
	failedAt      time.Time
	// errorScore is the part of the failures that are server errors.
	errorScore float64
	erredAt    time.Time
}

// Tracker keeps the statistics of upstreams; its zero value is empty.
type Tracker struct {
	stats map[id.Upstream]*upstreamStats
	// serviceMillisPerUnit is the moving average over all upstreams of a service, in which a sample has a quarter of the weight
	// that it has for its upstream.
	serviceMillisPerUnit map[id.Service]float64
}

// RecordLatency adds a latency sample of an upstream, in milliseconds per unit of work: a token of a model engine, or a request
// of a plain service.
func (t *Tracker) RecordLatency(now time.Time, service id.Service, upstream id.Upstream, millisPerUnit float64) {
	r := t.getOrCreate(upstream)
	if r.sampledAt.IsZero() || now.Sub(r.sampledAt) > latencyTTL {
		r.millisPerUnit = millisPerUnit
	}
	r.millisPerUnit += latencyWeight * (millisPerUnit - r.millisPerUnit)
	r.sampledAt = now
	if t.serviceMillisPerUnit == nil {
		t.serviceMillisPerUnit = make(map[id.Service]float64)
	}
	if average, ok := t.serviceMillisPerUnit[service]; ok {
		t.serviceMillisPerUnit[service] = average + latencyWeight/4*(millisPerUnit-average)
	} else {
		t.serviceMillisPerUnit[service] = millisPerUnit
	}
}

// RecordFailure adds a failed request to an upstream's failure score.
func (t *Tracker) RecordFailure(now time.Time, upstream id.Upstream) {
	r := t.getOrCreate(upstream)
	r.failureScore = r.decayedFailureScore(now) + 1
	r.failedAt = now
}

// RecordError adds a response with a server error to an upstream's failure score and error score.
func (t *Tracker) RecordError(now time.Time, upstream id.Upstream) {
	t.RecordFailure(now, upstream)
	r := t.stats[upstream]
	r.errorScore = decay(now, r.errorScore, r.erredAt) + 1
	r.erredAt = now
}

// Errors returns the upstreams with the highest error scores, at most maxReportedErrors of those with at least minErrorScore, for
// the exchange between hosts.
func (t *Tracker) Errors(now time.Time) map[id.Upstream]float64 {
	scores := make(map[id.Upstream]float64)
	for upstream, r := range t.stats {
		if score := decay(now, r.errorScore, r.erredAt); score >= minErrorScore {
			scores[upstream] = score
		}
	}
	if len(scores) <= maxReportedErrors {
		return scores
	}
	upstreams := slices.SortedFunc(maps.Keys(scores), func(a, b id.Upstream) int { return cmp.Compare(scores[b], scores[a]) })
	for _, upstream := range upstreams[maxReportedErrors:] {
		delete(scores, upstream)
	}

	return scores
}

// MillisPerUnit returns an upstream's average in milliseconds per unit of work. Without recent samples it returns the
// average of the service, and the fallback if there is none.
func (t *Tracker) MillisPerUnit(now time.Time, service id.Service, upstream id.Upstream, fallback float64) float64 {
	if r, ok := t.stats[upstream]; ok && !r.sampledAt.IsZero() && now.Sub(r.sampledAt) <= latencyTTL {
		return r.millisPerUnit
	}
	if average, ok := t.serviceMillisPerUnit[service]; ok {
		return average
	}

	return fallback
}

// LatencyAge returns the age of an upstream's latest latency sample, and false if MillisPerUnit does not use its samples.
func (t *Tracker) LatencyAge(now time.Time, upstream id.Upstream) (time.Duration, bool) {
	r, ok := t.stats[upstream]
	if !ok || r.sampledAt.IsZero() || now.Sub(r.sampledAt) > latencyTTL {
		return 0, false
	}

	return now.Sub(r.sampledAt), true
}

// FailureScore returns the number of failures of an upstream, each weighted by exponential decay over its age.
func (t *Tracker) FailureScore(now time.Time, upstream id.Upstream) float64 {
	r, ok := t.stats[upstream]
	if !ok {
		return 0
	}

	return r.decayedFailureScore(now)
}

func (r *upstreamStats) decayedFailureScore(now time.Time) float64 {
	return decay(now, r.failureScore, r.failedAt)
}

// decay returns a score that was last changed at a time in the past.
func decay(now time.Time, score float64, changedAt time.Time) float64 {
	if score == 0 {
		return 0
	}

	return score * math.Exp2(-now.Sub(changedAt).Seconds()/failureHalfLife.Seconds())
}

func (t *Tracker) getOrCreate(upstream id.Upstream) *upstreamStats {
	if t.stats == nil {
		t.stats = make(map[id.Upstream]*upstreamStats)
	}
	r, ok := t.stats[upstream]
	if !ok {
		r = &upstreamStats{}
		t.stats[upstream] = r
	}

	return r
}

// RemoveUnlisted removes upstreams that are not listed any more.
func (t *Tracker) RemoveUnlisted(isListed func(id.Upstream) bool) {
	for upstream := range t.stats {
		if !isListed(upstream) {
			delete(t.stats, upstream)
		}
	}
}
