package coldstart_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cardamomward/core/coldstart"
	"cardamomward/core/ratelimit"
	"cardamomward/core/upstreamlimit"
)

func drawTolerance(t *rapid.T) coldstart.Tolerance {
	return coldstart.Tolerance{
		IsStated: true, Overshoot: rapid.Float64Range(0.5, 2).Draw(t, "overshoot"), Slack: rapid.Float64Range(0, 10).Draw(t, "slack"),
	}
}

// Guards against an admission rate that ignores the stated tolerance: requests that arrive up to half a second late, or hosts that
// cannot reach the owner while it admits requests of the others, would exceed what may reach an upstream in a second.
func TestArrivalsInAnySecondStayWithinStatedTolerance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tolerance := drawTolerance(t)
		rate := rapid.Float64Range(0.5, 120).Draw(t, "rate")
		hosts := rapid.SampledFrom([]int{1, 2, 12, 80}).Draw(t, "hosts")
		lateFrom := time.Duration(rapid.IntRange(0, 4000).Draw(t, "late from")) * time.Millisecond
		maxDelay := time.Duration(rapid.IntRange(0, 500).Draw(t, "delay")) * time.Millisecond
		pace := tolerance.Pace(rate)
		// arrival returns when a request arrives: those admitted within the delay before a moment arrive together at it.
		arrival := func(admittedAt time.Time) time.Time {
			if until := start.Add(lateFrom + maxDelay); !admittedAt.Before(start.Add(lateFrom)) && admittedAt.Before(until) {
				return until
			}

			return admittedAt
		}
		bucket := ratelimit.NewWithLevel(start, 0)
		var queue coldstart.Queue
		fallbacks := make([]upstreamlimit.Fallback, hosts)
		var arrivals []time.Time
		for now := start; now.Before(start.Add(6 * time.Second)); now = now.Add(5 * time.Millisecond) {
			// Requests do not wait for the delay that the owner names, which is the worst case; the burst has filled before.
			for now.Sub(start) >= time.Second {
				ok, _ := queue.Take(now, &bucket, pace.OwnerRate, hosts)
				if !ok {
					break
				}
				arrivals = append(arrivals, arrival(now))
			}
			for i := range fallbacks {
				if fallbacks[i].Take(now, pace.HostShare(hosts), (float64(i)+0.5)/float64(hosts)) {
					arrivals = append(arrivals, arrival(now))
				}
			}
		}
		slices.SortFunc(arrivals, time.Time.Compare)
		require.LessOrEqual(t, mostInSecond(arrivals), int(tolerance.MaxRequests(rate)), "%+v", pace)
	})
}

// Guards against a tolerance that stops the requests to cold upstreams although it allows some.
func TestStatedToleranceIsUsed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tolerance := drawTolerance(t)
		rate := rapid.Float64Range(0.5, 120).Draw(t, "rate")
		allowed := tolerance.MaxRequests(rate)
		if allowed < 1 {
			require.Zero(t, tolerance.Pace(rate).OwnerRate)

			return
		}
		require.GreaterOrEqual(t, tolerance.Pace(rate).OwnerRate, min(rate, 0.55*allowed))
		if allowed >= 10 {
			require.Positive(t, tolerance.Pace(rate).UnreachedRate)
		}
	})
}

// Guards against a change where the platform states no tolerance, and of the owner's rate under the usual one.
func TestRateIsKeptWithoutToleranceAndUnderUsualOne(t *testing.T) {
	for _, rate := range []float64{1, 24, 50, 100} {
		require.Equal(t, coldstart.Pace{OwnerRate: rate, UnreachedRate: rate / 2}, coldstart.Tolerance{}.Pace(rate))
	}
	usual := coldstart.Tolerance{IsStated: true, Overshoot: 1.5, Slack: 5}
	require.InDelta(t, 24, usual.Pace(24).OwnerRate, 0)
	require.Positive(t, usual.Pace(24).UnreachedRate)
}

// Guards against a smaller limit of the upstream itself that a cold start would raise.
func TestLimitOfColdUpstreamBoundsItsPace(t *testing.T) {
	pace := coldstart.Tolerance{}.Pace(24)
	require.Equal(t, coldstart.Pace{OwnerRate: 4, UnreachedRate: 2}, pace.Limited(4))
	require.Equal(t, pace, pace.Limited(100))
}

func TestRateOfZeroAdmitsNothing(t *testing.T) {
	bucket := ratelimit.NewWithLevel(start, 5)
	var queue coldstart.Queue
	ok, retryAfter := queue.Take(start, &bucket, 0, 12)
	require.False(t, ok)
	require.Positive(t, retryAfter)
	var fallback upstreamlimit.Fallback
	require.False(t, fallback.Take(start, 0, 0))
}
