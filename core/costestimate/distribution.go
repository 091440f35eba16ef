package costestimate

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// generationLength is the age at which a histogram is replaced: samples count for one to two generations.
	generationLength = 2 * time.Minute
	// maxWork bounds a sample, and with it the size of a histogram.
	maxWork = 1 << 18
	// significantFigures is the precision of a histogram.
	significantFigures = 1
	// samplesPerSummary is the number of samples after which the quantiles are computed again, once there are as many.
	samplesPerSummary = 8
	// hintErrorSamples is the number of samples over which the error of hints is averaged.
	hintErrorSamples = 64
	// lowPercentile and highPercentile bound the observed range.
	lowPercentile  = 5
	highPercentile = 95
)

// distribution holds the samples of one level in two generations, and a summary of both.
type distribution struct {
	current, previous *hdrhistogram.Histogram
	startedAt         time.Time
	recordedAt        time.Time
	summary           Estimate
	low, high         float64
	unsummarized      int
	// hints counts the samples with hints, and hintVariance is the mean square of the logarithm of their error.
	hints        int
	hintVariance float64
}

func newDistribution(now time.Time) *distribution {
	newHistogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxWork, significantFigures) }

	return &distribution{current: newHistogram(), previous: newHistogram(), startedAt: now}
}

func (d *distribution) record(now time.Time, hint, work float64) {
	d.rotate(now)
	d.current.RecordValue(int64(min(max(work, 1), maxWork))) //nolint:errcheck // the value is in the histogram's range
	d.recordedAt = now
	d.unsummarized++
	if d.unsummarized >= min(samplesPerSummary, d.summary.Samples) {
		d.summarize()
	}
	if !isUsable(hint) {
		return
	}
	deviation := math.Log(min(hint, maxWork) / work)
	d.hints++
	d.hintVariance += (deviation*deviation - d.hintVariance) / float64(min(d.hints, hintErrorSamples))
}

// rotate starts a new generation if the present one has ended, and drops both if no sample came for two.
func (d *distribution) rotate(now time.Time) {
	age := now.Sub(d.startedAt)
	if age < generationLength {
		return
	}
	d.current, d.previous = d.previous, d.current
	d.current.Reset()
	if age >= 2*generationLength {
		d.previous.Reset()
	}
	d.startedAt = now
	d.summarize()
}

// rotatedCopy returns what the distribution is after rotate, and does not change it.
func (d *distribution) rotatedCopy(now time.Time) *distribution {
	if now.Sub(d.startedAt) < generationLength {
		return d
	}
	rotated := *d
	rotated.current, rotated.previous = d.current.Clone(), d.previous.Clone()
	rotated.rotate(now)

	return &rotated
}

func (d *distribution) summarize() {
	merged := d.current
	if d.previous.TotalCount() > 0 {
		merged = d.current.Clone()
		merged.Merge(d.previous)
	}
	d.unsummarized = 0
	d.summary = Estimate{Samples: int(merged.TotalCount())}
	if d.summary.Samples == 0 {
		return
	}
	d.summary.Mean = merged.Mean()
	quantiles := merged.ValueAtPercentiles([]float64{lowPercentile, 50, 90, highPercentile})
	d.low, d.high = float64(quantiles[lowPercentile]), float64(quantiles[highPercentile])
	d.summary.P50, d.summary.P90 = float64(quantiles[50]), float64(quantiles[90])
}
