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

func TestUnusedRequestsGoBack(t *testing.T) {
	p := quota.Allocator{StartFull: true}
	granted, _ := p.Allocate(start, limit, "h", 0, 30)
	require.EqualValues(t, 30, granted)
	granted, _ = p.Allocate(start, limit, "h", 10, 40)
	require.EqualValues(t, 30, granted, "20 went back to the 10 that were left")
}

func TestNewOwnerStartsLow(t *testing.T) {
	var p quota.Allocator
	granted, _ := p.Allocate(start, limit, "h", 0, 100)
	require.EqualValues(t, 20, granted)
	granted, retry := p.Allocate(start, limit, "i", 0, 100)
	require.Zero(t, granted)
	require.Positive(t, retry)
}

// TestProgramsThatBeginAreFinished offers twice what the rate holds, in programs of eleven requests over two seconds:
// programs are refused at their start, and what was begun is not refused midway.
func TestProgramsThatBeginAreFinished(t *testing.T) {
	const needed, offered = 11, 9
	p := quota.Allocator{StartFull: true}
	due := map[int]int{}
	begun, refusedStarts, refusedMidway, admitted := 0, 0, 0, 0
	for tick := range 600 {
		now := start.Add(time.Duration(tick) * 50 * time.Millisecond)
		if tick%(20/offered) == 0 {
			if ok, _ := p.AdmitProgram(now, limit); ok {
				begun++
				admitted++
				for i := 1; i < needed; i++ {
					due[tick+4*i]++
				}
			} else {
				refusedStarts++
			}
		}
		for range due[tick] {
			if granted, _ := p.Allocate(now, limit, id.Host(fmt.Sprint(tick%12)), 0, 1); granted == 1 {
				p.Allocate(now, limit, id.Host(fmt.Sprint(tick%12)), 1, 0)
				admitted++
			} else {
				refusedMidway++
			}
		}
	}
	t.Logf("begun %d, refused at the start %d, midway %d, admitted %d of %0.f", begun, refusedStarts, refusedMidway, admitted, limit.Rate*30)
	require.Greater(t, refusedStarts, begun/3)
	require.Less(t, refusedMidway, begun*needed/100)
	require.Greater(t, float64(admitted), 0.75*limit.Rate*30)
}

// TestAdmissionsStayWithinTheRate draws hosts that ask, use a part of what they get at any time of its lease, and ask
// again, and an owner that is replaced once; no window admits more than the platform's bound.
func TestAdmissionsStayWithinTheRate(t *testing.T) {
	const window = 5 * time.Second
	rapid.Check(t, func(rt *rapid.T) {
		hosts := make([]quota.Client, 12)
		pool := &quota.Allocator{StartFull: true}
		replaceAt := rapid.IntRange(10, 900).Draw(rt, "replaced")
		var admitted []time.Time
		for step := range 1000 {
			now := start.Add(time.Duration(step) * 10 * time.Millisecond)
			if step == replaceAt {
				pool = &quota.Allocator{}
			}
			for range rapid.IntRange(0, 4).Draw(rt, "arrivals") {
				n := rapid.IntRange(0, len(hosts)-1).Draw(rt, "host")
				host := &hosts[n]
				if !host.TryAcquire(now) {
					used, want := host.BeginRenewal(now)
					granted, _ := pool.Allocate(now, limit, id.Host(fmt.Sprint(n)), used, want)
					host.CompleteRenewal(now, granted)
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

func TestAllowanceEndsWithItsLease(t *testing.T) {
	var l quota.Client
	require.False(t, l.TryAcquire(start))
	used, want := l.BeginRenewal(start)
	require.Zero(t, used)
	require.EqualValues(t, 1, want)
	require.True(t, l.IsRenewing())
	l.CompleteRenewal(start, 3)
	require.True(t, l.TryAcquire(start.Add(quota.LeaseDuration)))
	require.False(t, l.TryAcquire(start.Add(quota.LeaseDuration+time.Millisecond)))
	used, _ = l.BeginRenewal(start.Add(time.Second))
	require.EqualValues(t, 1, used)
	l.AbortRenewal()
	require.False(t, l.IsRenewing())
}

func TestHostWithoutAnOwnerAdmitsItsShare(t *testing.T) {
	var l quota.Client
	admitted := 0
	for tick := range 1000 {
		if l.TryAcquireFallback(start.Add(time.Duration(tick)*10*time.Millisecond), limit.Scale(1.0/12)) {
			admitted++
		}
	}
	require.InDelta(t, 42, admitted, 4)
}
