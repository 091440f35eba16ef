package quota_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cardamomward/core/id"
	"cardamomward/core/quota"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "300"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var (
	start = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	limit = quota.Limit{Rate: 50, Burst: 40}
)

func TestAllocateReturnsUnusedRequestsToBucket(t *testing.T) {
	allocator := quota.Allocator{StartFull: true}
	granted, _ := allocator.Allocate(start, limit, "h", quota.Renewal{Lease: 1, Want: 30})
	require.EqualValues(t, 30, granted)
	granted, _ = allocator.Allocate(start, limit, "h", quota.Renewal{Lease: 2, Settles: 1, Used: 10, Want: 40})
	require.EqualValues(t, 30, granted, "20 unused requests return to the 10 that were left")
}

func TestAllocateStartsBelowBurstForNewOwner(t *testing.T) {
	var allocator quota.Allocator
	granted, _ := allocator.Allocate(start, limit, "h", quota.Renewal{Lease: 1, Want: 100})
	require.EqualValues(t, 5, granted)
	granted, retryAfter := allocator.Allocate(start, limit, "i", quota.Renewal{Lease: 1, Want: 100})
	require.Zero(t, granted)
	require.Positive(t, retryAfter)
}

// Offers twice the rate, in programs of eleven requests over two seconds. Programs must be refused at their start, and
// started programs must not be refused midway.
func TestAdmitProgramRefusesStartsInsteadOfLaterRequests(t *testing.T) {
	const requestsPerProgram, programsPerSecond = 11, 9
	allocator := quota.Allocator{StartFull: true}
	dueRequests := map[int]int{}
	started, refusedStarts, refusedMidway, admitted := 0, 0, 0, 0
	lease := quota.LeaseNumber(0)
	for tick := range 600 {
		now := start.Add(time.Duration(tick) * 50 * time.Millisecond)
		if tick%(20/programsPerSecond) == 0 {
			if ok, _ := allocator.AdmitProgram(now, limit); ok {
				started++
				admitted++
				for i := 1; i < requestsPerProgram; i++ {
					dueRequests[tick+4*i]++
				}
			} else {
				refusedStarts++
			}
		}
		for range dueRequests[tick] {
			host := id.Host(fmt.Sprint(tick % 12))
			lease += 2
			if granted, _ := allocator.Allocate(now, limit, host, quota.Renewal{Lease: lease - 1, Settles: lease - 2, Want: 1}); granted == 1 {
				allocator.Allocate(now, limit, host, quota.Renewal{Lease: lease, Settles: lease - 1, Used: 1})
				admitted++
			} else {
				refusedMidway++
			}
		}
	}
	t.Logf("started %d, refused at the start %d, midway %d, admitted %d of %0.f", started, refusedStarts, refusedMidway, admitted, limit.Rate*30)
	require.Greater(t, refusedStarts, started/3)
	require.Less(t, refusedMidway, started*requestsPerProgram/100)
	require.Greater(t, float64(admitted), 0.75*limit.Rate*30)
}

// Draws hosts that ask, use a part of each grant at any time of its lease and ask again, and an owner that is replaced
// once. No window may admit more than the rate, the burst and the allowed excess.
func TestAdmissionsStayWithinRateOverOwnerChange(t *testing.T) {
	const window = 5 * time.Second
	rapid.Check(t, func(rt *rapid.T) {
		hosts := make([]quota.Client, 12)
		allocator := &quota.Allocator{StartFull: true}
		replacedAtStep := rapid.IntRange(10, 900).Draw(rt, "replaced")
		var admitted []time.Time
		for step := range 1000 {
			now := start.Add(time.Duration(step) * 10 * time.Millisecond)
			if step == replacedAtStep {
				allocator = &quota.Allocator{}
			}
			for range rapid.IntRange(0, 4).Draw(rt, "arrivals") {
				index := rapid.IntRange(0, len(hosts)-1).Draw(rt, "host")
				host := &hosts[index]
				if !host.TryAcquire(now) {
					renewal := host.BeginRenewal(now)
					granted, _ := allocator.Allocate(now, limit, id.Host(fmt.Sprint(index)), renewal)
					host.CompleteRenewal(now, renewal, granted)
					if !host.TryAcquire(now) {
						continue
					}
				}
				admitted = append(admitted, now)
			}
		}
		bound := int((limit.Rate*window.Seconds()+limit.Burst)*1.1 + 20)
		first := 0
		for last, at := range admitted {
			for at.Sub(admitted[first]) > window {
				first++
			}
			require.LessOrEqual(rt, last-first+1, bound)
		}
	})
}

func TestTryAcquireFailsAfterLeaseExpires(t *testing.T) {
	var client quota.Client
	require.False(t, client.TryAcquire(start))
	renewal := client.BeginRenewal(start)
	require.Zero(t, renewal.Used)
	require.EqualValues(t, 1, renewal.Want)
	require.True(t, client.IsRenewing())
	client.CompleteRenewal(start, renewal, 3)
	require.True(t, client.TryAcquire(start.Add(quota.LeaseDuration)))
	require.False(t, client.TryAcquire(start.Add(quota.LeaseDuration+time.Millisecond)))
	next := client.BeginRenewal(start.Add(time.Second))
	require.EqualValues(t, 1, next.Used)
	require.Equal(t, renewal.Lease, next.Settles)
	client.AbortRenewal()
	require.False(t, client.IsRenewing())
}

func TestFallbackAdmitsHostShareOfRate(t *testing.T) {
	var client quota.Client
	admitted := 0
	for tick := range 1000 {
		if client.TryAcquireFallback(start.Add(time.Duration(tick)*10*time.Millisecond), limit.Scale(1.0/12), 0) {
			admitted++
		}
	}
	require.InDelta(t, 42, admitted, 4)
}
