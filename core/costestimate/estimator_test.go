package costestimate_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/costestimate"
	"cardamomward/core/id"
)

var start = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

// recordLogNormal records n samples around a median, with hints that are off by a factor.
func recordLogNormal(e *costestimate.Estimator, kind costestimate.Kind, n int, median, hintFactor float64) {
	random := rand.New(rand.NewPCG(1, 1))
	for range n {
		work := median * math.Exp(0.8*random.NormFloat64())
		e.Record(start, kind, work*hintFactor, work)
	}
}

func TestEstimateWithoutSamplesIsTheFallback(t *testing.T) {
	var e costestimate.Estimator
	estimate := e.Estimate(start, costestimate.Kind{Route: "r"}, 0, 300)
	require.InDelta(t, 300, estimate.Mean, 0)
	require.Zero(t, estimate.Samples)
	require.Positive(t, estimate.Spread())
}

func TestEstimateLearnsQuantilesByRouteWorkspaceAndTurn(t *testing.T) {
	var e costestimate.Estimator
	first, later := costestimate.Kind{Route: "r", Workspace: "w", IsFirstTurn: true}, costestimate.Kind{Route: "r", Workspace: "w"}
	other := costestimate.Kind{Route: "r", Workspace: "v"}
	recordLogNormal(&e, first, 400, 800, 0)
	recordLogNormal(&e, later, 400, 200, 0)
	recordLogNormal(&e, other, 400, 50, 0)
	require.InEpsilon(t, 800, e.Estimate(start, first, 0, 1).P50, 0.15)
	require.InEpsilon(t, 200, e.Estimate(start, later, 0, 1).P50, 0.15)
	require.InEpsilon(t, 50, e.Estimate(start, other, 0, 1).P50, 0.15)
	require.InDelta(t, 0.8, e.Estimate(start, later, 0, 1).Spread(), 0.15)
	require.Equal(t, 400, e.Estimate(start, later, 0, 1).Samples)
	require.Equal(t, 3*time.Second, e.Estimate(start.Add(3*time.Second), later, 0, 1).Age)
}

func TestEstimateOfUnknownWorkspaceFallsBackToItsRoute(t *testing.T) {
	var e costestimate.Estimator
	recordLogNormal(&e, costestimate.Kind{Route: "long", Workspace: "w"}, 100, 900, 0)
	recordLogNormal(&e, costestimate.Kind{Route: "short", Workspace: "w"}, 100, 40, 0)
	require.InEpsilon(t, 900, e.Estimate(start, costestimate.Kind{Route: "long", Workspace: "new"}, 0, 1).P50, 0.25)
	require.InEpsilon(t, 40, e.Estimate(start, costestimate.Kind{Route: "short", Workspace: "new"}, 0, 1).P50, 0.6)
	single := costestimate.Kind{Route: "long", Workspace: "single"}
	e.Record(start, single, 0, 5)
	require.Greater(t, e.Estimate(start, single, 0, 1).P50, 500.0, "one sample outweighs those of the route")
}

func TestEstimateForgetsOldSamples(t *testing.T) {
	var e costestimate.Estimator
	kind := costestimate.Kind{Route: "r"}
	recordLogNormal(&e, kind, 200, 900, 0)
	require.Positive(t, e.Estimate(start.Add(3*time.Minute), kind, 0, 10).Samples, "samples of the previous generation count")
	require.Zero(t, e.Estimate(start.Add(10*time.Minute), kind, 0, 10).Samples)
	require.InDelta(t, 10, e.Estimate(start.Add(10*time.Minute), kind, 0, 10).Mean, 0)
	var idle costestimate.Estimator
	recordLogNormal(&idle, kind, 200, 900, 0)
	require.Zero(t, idle.Estimate(start.Add(10*time.Minute), kind, 0, 10).Samples, "samples from before a long pause count")
}

func TestGoodHintsMoveTheEstimateAndBadOnesHardlyDo(t *testing.T) {
	kind := costestimate.Kind{Route: "r", Workspace: "w"}
	var trusted, liars costestimate.Estimator
	recordLogNormal(&trusted, kind, 200, 200, 1)
	recordLogNormal(&liars, kind, 200, 200, 1.0/50)
	without := trusted.Estimate(start, kind, 0, 1).Mean
	require.Greater(t, trusted.Estimate(start, kind, 600, 1).Mean, 1.8*without, "a hint that was always right is not used")
	require.InEpsilon(t, without, liars.Estimate(start, kind, 4, 1).Mean, 0.35, "a hint that was always wrong moves the estimate")
}

func TestHintsStayInTheWidenedRangeOfTheRoute(t *testing.T) {
	var e costestimate.Estimator
	kind := costestimate.Kind{Route: "r", Workspace: "w"}
	recordLogNormal(&e, kind, 200, 200, 1)
	without := e.Estimate(start, kind, 0, 1)
	for _, hint := range []float64{0, -1, math.NaN(), math.Inf(1), math.Inf(-1)} {
		require.Equal(t, without, e.Estimate(start, kind, hint, 1), hint)
	}
	for _, hint := range []float64{1e-9, 1, 1e9, math.MaxFloat64} {
		estimate := e.Estimate(start, kind, hint, 1)
		require.LessOrEqual(t, estimate.Mean, 2*200*math.Exp(0.8*1.9), hint)
		require.GreaterOrEqual(t, estimate.Mean, 200*math.Exp(-0.8*2.2)/2, hint)
	}
	var skewed costestimate.Estimator
	for i := range 200 {
		work := []float64{100, 100, 100, 100, 1000}[i%5]
		skewed.Record(start, kind, work, work)
	}
	require.LessOrEqual(t, skewed.Estimate(start, kind, 1e9, 1).Mean, 2*1000*1.1, "the mean leaves the range with the median inside")
	var untried costestimate.Estimator
	recordLogNormal(&untried, kind, 200, 200, 0)
	require.Less(t, untried.Estimate(start, kind, 1e9, 1).Mean, 1100.0, "an absurd hint counts for more than one at the edge of the range")
}

func TestMemoryIsBoundedWithManyWorkspaces(t *testing.T) {
	var e costestimate.Estimator
	for i := range 2000 {
		e.Record(start.Add(time.Duration(i)*time.Millisecond), costestimate.Kind{Route: "r", Workspace: id.Workspace(fmt.Sprint(i))}, 0, 10)
	}
	require.LessOrEqual(t, e.Len(), 256)
	require.Greater(t, e.Estimate(start.Add(2*time.Second), costestimate.Kind{Route: "r"}, 0, 10).Samples, 1000, "the route was removed")
}

func TestSamplesThatAreNotPositiveNumbersAreIgnored(t *testing.T) {
	var e costestimate.Estimator
	for _, work := range []float64{0, -1, math.NaN(), math.Inf(1)} {
		e.Record(start, costestimate.Kind{Route: "r"}, 0, work)
	}
	require.Zero(t, e.Len())
}

func BenchmarkEstimate(b *testing.B) {
	var e costestimate.Estimator
	kind := costestimate.Kind{Route: "r", Workspace: "w"}
	recordLogNormal(&e, kind, 200, 200, 1)
	b.ReportAllocs()
	for b.Loop() {
		e.Estimate(start, kind, 100, 1)
	}
}

func BenchmarkRecord(b *testing.B) {
	var e costestimate.Estimator
	kind := costestimate.Kind{Route: "r", Workspace: "w"}
	b.ReportAllocs()
	for b.Loop() {
		e.Record(start, kind, 100, 120)
	}
}

// TestPreviewChangesNoLaterEstimate guards against previews that begin a generation and so decide how long samples count.
func TestPreviewChangesNoLaterEstimate(t *testing.T) {
	var previewed, other costestimate.Estimator
	kind := costestimate.Kind{Route: "r"}
	for i := range 40 {
		previewed.Record(start, kind, 0, float64(100+i))
		other.Record(start, kind, 0, float64(100+i))
	}
	for _, age := range []time.Duration{time.Minute, 2 * time.Minute, 3 * time.Minute, 10 * time.Minute} {
		preview := previewed.Preview(start.Add(age), kind, 0, 10)
		fresh := other.Preview(start.Add(age), kind, 0, 10)
		require.Equal(t, fresh, preview)
	}
	at := start.Add(150 * time.Second)
	preview := previewed.Preview(at, kind, 0, 10)
	require.Equal(t, other.Estimate(at, kind, 0, 10), preview)
	require.Equal(t, preview, previewed.Estimate(at, kind, 0, 10))
	at = at.Add(130 * time.Second)
	require.Equal(t, other.Estimate(at, kind, 0, 10), previewed.Estimate(at, kind, 0, 10))
}
