package ratelimit_test

import (
	"flag"
	"fmt"
	"os"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cardamomward/core/id"
	"cardamomward/core/ratelimit"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261203", "rapid.checks": "300"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var start = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

// requireWithin requires that the admissions in every window stay within rate and burst.
func requireWithin(t require.TestingT, rate, burst float64, admitted []time.Time) {
	sort.Slice(admitted, func(i, j int) bool { return admitted[i].Before(admitted[j]) })
	// Computes the maximum over all windows of the admissions minus what the rate allows, in one pass.
	excess := 0.0
	maxExcess := 0.0
	for i, at := range admitted {
		if i > 0 {
			excess -= at.Sub(admitted[i-1]).Seconds() * rate
		}
		excess = max(excess, 0) + 1
		maxExcess = max(maxExcess, excess)
	}
	const rounding = 1e-6
	require.LessOrEqual(t, maxExcess, burst+rounding, "admissions exceed rate %g and burst %g", rate, burst)
}

// fleetModel simulates hosts and the successive owners of one bucket.
type fleetModel struct {
	rate, burst float64
	split       ratelimit.Split
	floors      []ratelimit.Bucket
	admitted    []time.Time
}

func (f *fleetModel) tryFloor(now time.Time, host int) bool {
	taken, _ := f.floors[host].Take(now, f.split.FloorRate, f.split.FloorBurst, 1)
	if taken == 1 {
		f.admitted = append(f.admitted, now)
	}

	return taken == 1
}

// requestGrant asks a pool for a grant, whose requests are admitted when the answer arrives if its lease has not expired.
func (f *fleetModel) requestGrant(askedAt time.Time, pool *ratelimit.Pool, handover ratelimit.Handover, want int64, requestDelay, responseDelay time.Duration) {
	grant := pool.Grant(askedAt.Add(requestDelay), f.split, handover, want)
	arrivedAt := askedAt.Add(requestDelay + responseDelay)
	if arrivedAt.Sub(askedAt) >= grant.Lease {
		return
	}
	for range grant.Requests {
		f.admitted = append(f.admitted, arrivedAt)
	}
}

func TestAdmissionsStayWithinRateAndBurst(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		hosts := rapid.IntRange(1, 12).Draw(rt, "hosts")
		f := &fleetModel{
			rate:   rapid.Float64Range(1, 500).Draw(rt, "rate"),
			burst:  float64(rapid.IntRange(2, 600).Draw(rt, "burst")),
			floors: make([]ratelimit.Bucket, hosts),
		}
		f.split = ratelimit.NewSplit(f.rate, f.burst, 12)
		// The previous owner continues to grant for a while after the next one has claimed the slot.
		const overlap = 3 * time.Second
		pools := []*ratelimit.Pool{{}, {}}
		handovers := []ratelimit.Handover{{Epoch: 1, AcquiredAt: start, StartFull: true}}
		claimedAt := start.Add(time.Duration(rapid.IntRange(0, 8000).Draw(rt, "claimed")) * time.Millisecond)
		handovers = append(handovers, ratelimit.Handover{Epoch: 2, AcquiredAt: claimedAt, GracePeriod: overlap + ratelimit.MaxLease})
		now := start
		for range rapid.IntRange(1, 300).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 80).Draw(rt, "pause")) * time.Millisecond)
			host := rapid.IntRange(0, hosts-1).Draw(rt, "host")
			if f.tryFloor(now, host) {
				continue
			}
			requestDelay := time.Duration(rapid.IntRange(0, 300).Draw(rt, "there")) * time.Millisecond
			responseDelay := time.Duration(rapid.IntRange(0, 300).Draw(rt, "back")) * time.Millisecond
			owner := 0
			if now.After(claimedAt) && rapid.Bool().Draw(rt, "newer") {
				owner = 1
			}
			if owner == 0 && now.Add(requestDelay).After(claimedAt.Add(overlap)) {
				continue
			}
			f.requestGrant(now, pools[owner], handovers[owner], int64(rapid.IntRange(1, 40).Draw(rt, "want")), requestDelay, responseDelay)
		}
		requireWithin(rt, f.rate, f.burst, f.admitted)
	})
}

func TestAdmissionsExceedBurstWithoutHandoverGracePeriod(t *testing.T) {
	split := ratelimit.NewSplit(10, 40, 12)
	f := &fleetModel{rate: 10, burst: 40, split: split, floors: make([]ratelimit.Bucket, 12)}
	for host := range f.floors {
		f.tryFloor(start, host)
	}
	f.requestGrant(start, &ratelimit.Pool{}, ratelimit.Handover{Epoch: 1, AcquiredAt: start, StartFull: true}, 100, 0, 0)
	f.requestGrant(start, &ratelimit.Pool{}, ratelimit.Handover{Epoch: 2, AcquiredAt: start, StartFull: true}, 100, 0, 0)
	require.Greater(t, float64(len(f.admitted)), f.burst)
}

func TestSplitAllocatesWholeRate(t *testing.T) {
	for _, tt := range []struct {
		rate, burst float64
		hasFloors   bool
	}{
		{rate: 10, burst: 2},
		{rate: 10, burst: 20},
		{rate: 10, burst: 24, hasFloors: true},
		{rate: 500, burst: 1000, hasFloors: true},
	} {
		t.Run(fmt.Sprintf("rate %g burst %g", tt.rate, tt.burst), func(t *testing.T) {
			split := ratelimit.NewSplit(tt.rate, tt.burst, 12)
			require.InDelta(t, tt.rate, split.PoolRate+12*split.FloorRate, 1e-9)
			require.Equal(t, tt.hasFloors, split.FloorBurst == 1)
			require.GreaterOrEqual(t, split.PoolBurst, 1.0)
			require.Positive(t, split.Lease)
		})
	}
}

func TestGrantAfterHandoverWaitsGracePeriodAndKeepsLevel(t *testing.T) {
	split := ratelimit.NewSplit(10, 40, 12)
	var pool ratelimit.Pool
	handover := ratelimit.Handover{Epoch: id.Epoch(7), AcquiredAt: start, GracePeriod: time.Second, Level: 3}
	require.Equal(t, ratelimit.Grant{RetryAfter: time.Second}, pool.Grant(start, split, handover, 5))
	grant := pool.Grant(start.Add(time.Second), split, handover, 5)
	require.EqualValues(t, 3, grant.Requests)
	level, ok := pool.Level(7)
	require.True(t, ok)
	require.InDelta(t, 0, level, 1e-9)
	_, ok = pool.Level(6)
	require.False(t, ok)
}

func BenchmarkPoolGrant(b *testing.B) {
	split := ratelimit.NewSplit(1e6, 2e6, 12)
	handover := ratelimit.Handover{Epoch: 1, AcquiredAt: start, StartFull: true}
	var pool ratelimit.Pool
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		pool.Grant(now, split, handover, 1)
	}
}
