package costestimate

import (
	"math"
	"time"

	"cardamomward/core/id"
)

const (
	// priorSamples is the number of samples at which a specific estimate has the same weight as the more general one.
	priorSamples = 8
	// maxDistributions bounds the memory of an Estimator: a distribution takes about 4 KB.
	maxDistributions = 256
	// hintRangeFactor widens the observed range of a route, within which a hint may move an estimate.
	hintRangeFactor = 2
	// minRangeSamples is the number of samples from which a route has an observed range.
	minRangeSamples = 8
	// defaultHintVariance is the variance of the logarithm of a hint's error until it is learned: a factor of two.
	defaultHintVariance = math.Ln2 * math.Ln2
	// normalP90 is the 90th percentile of the standard normal distribution.
	normalP90 = 1.2816
	// fallbackP90Ratio and fallbackP50Ratio are the quantiles of a fallback relative to its mean.
	fallbackP50Ratio = 0.7
	fallbackP90Ratio = 2
)

// Kind groups requests that are expected to cause similar work.
type Kind struct {
	Route     string
	Workspace id.Workspace
	// IsFirstTurn is set for the first turn of a program.
	IsFirstTurn bool
}

// Estimate is the expected work of a request with its spread: tokens, or milliseconds for plain services.
type Estimate struct {
	Mean, P50, P90 float64
	// Samples and Age are the number of samples of the most specific distribution that has any, and the time since the newest.
	Samples int
	Age     time.Duration
}

// Spread is the standard deviation of the logarithm of the work.
func (e Estimate) Spread() float64 {
	if e.P50 <= 0 || e.P90 <= e.P50 {
		return 0
	}

	return math.Log(e.P90/e.P50) / normalP90
}

// turn is a program's first turn, a later one, or either.
type turn int

const (
	anyTurn turn = iota
	firstTurn
	laterTurn
)

// level is a kind of which properties may be left open.
type level struct {
	route     string
	workspace id.Workspace
	turn      turn
}

// levels returns the kind's levels, the most general one first.
func (k Kind) levels() [4]level {
	position := laterTurn
	if k.IsFirstTurn {
		position = firstTurn
	}

	return [4]level{{}, {route: k.Route}, {route: k.Route, turn: position}, {route: k.Route, workspace: k.Workspace, turn: position}}
}

// Estimator learns the work of requests; its zero value knows nothing.
type Estimator struct {
	distributions map[level]*distribution
}

// Record adds the work of a request that has ended, and the caller's hint of it; zero means no hint.
func (e *Estimator) Record(now time.Time, kind Kind, hint, work float64) {
	if !isUsable(work) {
		return
	}
	for _, l := range kind.levels() {
		e.getOrCreate(now, l).record(now, hint, work)
	}
}

// Estimate returns the estimate of a request's work. Estimates of specific levels with few samples lean on general ones, and those
// on the fallback. A hint moves it within the range observed for the route, the less the more hints have erred.
func (e *Estimator) Estimate(now time.Time, kind Kind, hint, fallback float64) Estimate {
	for _, l := range kind.levels() {
		if d, ok := e.distributions[l]; ok {
			d.rotate(now)
		}
	}

	return e.Preview(now, kind, hint, fallback)
}

// Preview returns what Estimate returns without replacing old samples, so that later estimates do not depend on it.
func (e *Estimator) Preview(now time.Time, kind Kind, hint, fallback float64) Estimate {
	estimate := Estimate{Mean: fallback, P50: fallbackP50Ratio * fallback, P90: fallbackP90Ratio * fallback}
	hintVariance := defaultHintVariance
	low, high := estimate.P50/hintRangeFactor, estimate.P90*hintRangeFactor
	for i, l := range kind.levels() {
		d, ok := e.distributions[l]
		if !ok {
			continue
		}
		if d = d.rotatedCopy(now); d.summary.Samples == 0 {
			continue
		}
		weight := float64(d.summary.Samples) / float64(d.summary.Samples+priorSamples)
		estimate.Mean += weight * (d.summary.Mean - estimate.Mean)
		estimate.P50 += weight * (d.summary.P50 - estimate.P50)
		estimate.P90 += weight * (d.summary.P90 - estimate.P90)
		estimate.Samples, estimate.Age = d.summary.Samples, now.Sub(d.recordedAt)
		if d.hints >= minRangeSamples {
			hintVariance = d.hintVariance
		}
		if i <= 1 && d.summary.Samples >= minRangeSamples {
			low, high = d.low/hintRangeFactor, d.high*hintRangeFactor
		}
	}
	if !isUsable(hint) || estimate.P50 <= 0 || high <= low {
		return estimate
	}
	variance := estimate.Spread() * estimate.Spread()
	shift := math.Log(min(max(hint, low), high)/estimate.P50) * variance / (variance + hintVariance)
	factor := min(max(estimate.Mean*math.Exp(shift), low), high) / estimate.Mean
	estimate.Mean *= factor
	estimate.P50 *= factor
	estimate.P90 *= factor

	return estimate
}

// isUsable reports whether a value is a positive number.
func isUsable(value float64) bool { return value > 0 && !math.IsInf(value, 0) }

// getOrCreate returns the distribution of a level; if there are too many, the one with the oldest sample is removed.
func (e *Estimator) getOrCreate(now time.Time, l level) *distribution {
	if e.distributions == nil {
		e.distributions = make(map[level]*distribution)
	}
	d, ok := e.distributions[l]
	if ok {
		return d
	}
	if len(e.distributions) >= maxDistributions {
		var oldest level
		oldestAt := now.Add(time.Nanosecond)
		for candidate, existing := range e.distributions {
			if existing.recordedAt.Before(oldestAt) {
				oldest, oldestAt = candidate, existing.recordedAt
			}
		}
		delete(e.distributions, oldest)
	}
	d = newDistribution(now)
	e.distributions[l] = d

	return d
}

// Len returns the number of distributions that are kept.
func (e *Estimator) Len() int { return len(e.distributions) }
