package overload_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cardamomward/core/fairshare"
	"cardamomward/core/id"
	"cardamomward/core/overload"
)

const (
	stepAt = 15 * time.Second
	// settledAt is when the load must have followed the step.
	settledAt = stepAt + 6*time.Second
	// maxOccupancy bounds the queue after a step. The load of programs that have begun is never refused, and placement by an
	// old view leaves some upstreams with a longer queue than others.
	maxOccupancy = 1.5
)

func stepTo(factor float64) func(time.Duration, int) float64 {
	return func(at time.Duration, _ int) float64 {
		if at < stepAt {
			return 1
		}

		return factor
	}
}

func newSimulation(hosts int) *simulation {
	return &simulation{hosts: hosts, upstreams: min(50, hosts/4), minDelay: 100 * time.Millisecond, maxDelay: 500 * time.Millisecond, enabled: true}
}

func (r *simulationResult) sum(from int) workspaceCounts {
	var sum workspaceCounts
	for _, counts := range r.byWorkspace[from:] {
		sum.arrived += counts.arrived
		sum.inTime += counts.inTime
		sum.refused += counts.refused
	}

	return sum
}

func (c workspaceCounts) inTimeShare() float64 { return float64(c.inTime) / float64(c.arrived) }

// requireSettled checks that the occupancy stays in a narrow range after a step, without a refusal while slots are free.
func (r *simulationResult) requireSettled(t *testing.T) {
	t.Helper()
	settled := r.occupancy[int(settledAt/viewInterval):]
	require.Less(t, slices.Max(settled), maxOccupancy, "the queue is bounded")
	require.Greater(t, slices.Min(settled), 1.0, "upstreams stay full")
	require.Zero(t, r.refusedWhileFree)
	require.Positive(t, r.refused)
	mean, deviation := 0.0, 0.0
	settledAdmitted := r.admitted[int(settledAt/admittedWindow):int(simulated/admittedWindow)]
	for _, admitted := range settledAdmitted {
		mean += float64(admitted) / float64(len(settledAdmitted))
	}
	for _, admitted := range settledAdmitted {
		deviation += (float64(admitted) - mean) * (float64(admitted) - mean) / float64(len(settledAdmitted))
	}
	// Windows that alternate between nothing and twice the mean would have a deviation of 1.
	require.Less(t, math.Sqrt(deviation)/mean, 0.7, "admitted in each window: %v", settledAdmitted)
}

func forHosts(t *testing.T, test func(t *testing.T, hosts int)) {
	t.Helper()
	for _, hosts := range []int{80, 300} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			t.Parallel()
			test(t, hosts)
		})
	}
}

// Guards against hosts that all admit or all refuse while they share an old view, and against a queue that grows without bound.
func TestAdmittedLoadSettlesAfterStepInDemand(t *testing.T) {
	for _, factor := range []float64{2, 4} {
		t.Run(fmt.Sprint(factor), func(t *testing.T) {
			forHosts(t, func(t *testing.T, hosts int) {
				s, without := newSimulation(hosts), newSimulation(hosts)
				without.enabled = false
				s.demand, without.demand = stepTo(factor), stepTo(factor)
				result := s.run()
				result.requireSettled(t)
				all := result.sum(0)
				require.Greater(t, all.inTimeShare(), 0.7/(baseOccupancy*factor), "most of the capacity serves programs that end in time")
				if factor > 2 { // With a factor of 2 the queue takes longer to grow than the simulated time.
					require.Greater(t, all.inTime, without.run().sum(0).inTime, "more programs end in time than without admission")
				}
			})
		})
	}
}

// Guards against hosts that admit all and then nothing: with a single workspace, all decisions depend on one share.
func TestAdmittedLoadIsSteadyWithSingleWorkspace(t *testing.T) {
	forHosts(t, func(t *testing.T, hosts int) {
		s := newSimulation(hosts)
		s.demand, s.singleWorkspace = stepTo(2), true
		s.run().requireSettled(t)
	})
}

// Guards against admission that goes on for the slots of upstreams that have left.
func TestAdmittedLoadSettlesAfterThirdOfUpstreamsLeaves(t *testing.T) {
	forHosts(t, func(t *testing.T, hosts int) {
		s := newSimulation(hosts)
		s.demand = func(time.Duration, int) float64 { return 1.2 }
		s.gone = func(at time.Duration) int {
			if at < stepAt {
				return 0
			}

			return s.upstreams / 3
		}
		s.run().requireSettled(t)
	})
}

// Guards against refusals of others while one workspace sends 7.5 times its usual load.
func TestHotWorkspaceBearsRefusals(t *testing.T) {
	forHosts(t, func(t *testing.T, hosts int) {
		s, usual := newSimulation(hosts), newSimulation(hosts)
		s.demand = func(_ time.Duration, workspace int) float64 {
			if workspace == hotWorkspace {
				return 7.5
			}

			return 1.05
		}
		usual.demand = func(time.Duration, int) float64 { return 1.05 }
		result := s.run()
		others, undisturbed := result.sum(1), usual.run().sum(1)
		require.InDelta(t, undisturbed.inTimeShare(), others.inTimeShare(), 0.05)
		require.Positive(t, result.byWorkspace[hotWorkspace].refused)
		// With 320 slots, the load of another workspace exceeds the level for moments.
		require.Less(t, float64(others.refused), 0.1*float64(others.arrived), "a workspace within its share is rarely refused")
	})
}

// Guards against refusals below capacity.
func TestNothingIsRefusedAtUsualLoad(t *testing.T) {
	forHosts(t, func(t *testing.T, hosts int) {
		result := newSimulation(hosts).run()
		require.Zero(t, result.refused)
		require.InDelta(t, 1, result.sum(0).inTimeShare(), 0.01)
	})
}

// Guards against a route of high priority that is refused as often as one of low priority, and against one that is starved.
func TestRouteOfLowPriorityIsRefusedFirstButNotStarved(t *testing.T) {
	forHosts(t, func(t *testing.T, hosts int) {
		s := newSimulation(hosts)
		s.demand, s.lowPriorityShare = stepTo(3), 0.5
		result := s.run()
		served := func(c *workspaceCounts) float64 { return 1 - float64(c.refused)/float64(c.attempts) }
		high, low := result.byPriority[0], result.byPriority[2]
		all := 1 - float64(high.refused+low.refused)/float64(high.attempts+low.attempts)
		require.Greater(t, served(high), 1.3*served(low))
		require.Greater(t, served(low), 0.25*all)
	})
}

// Guards against oscillation where heartbeats reach a host only every few seconds, as with 300 hosts and 16 recipients each.
func TestQueueIsBoundedWithViewsOfSeconds(t *testing.T) {
	s := newSimulation(300)
	s.minDelay, s.maxDelay = time.Second, 3500*time.Millisecond
	s.demand = stepTo(2)
	result := s.run()
	require.Less(t, slices.Max(result.occupancy[int(settledAt/viewInterval):]), 1.6)
	require.Greater(t, slices.Min(result.occupancy[int(settledAt/viewInterval):]), 1.0)
}

func TestProgramStartsWhileSlotsAreFree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 5000).Draw(t, "slots")
		view := overload.View{
			Slots: slots, Running: rapid.IntRange(0, slots).Draw(t, "running"), StartsPerSecond: 1000, Age: time.Second,
			Workspaces: []fairshare.Load{{Workspace: "w", Used: 5000}, {Workspace: "v", Used: 1}},
		}
		shares := overload.ClassShares{Higher: 0.5, Own: 0.5}
		require.True(t, overload.Decide(view, "w", shares, 0.999999).Admit, "there is no queue")
		view.Running, view.Free = 10*slots, 1000
		require.True(t, overload.Decide(view, "w", shares, 0.999999).Admit, "free slots take all programs that start meanwhile")
	})
}

func TestRefusalNamesShareAndReason(t *testing.T) {
	view := overload.View{
		Slots: 100, Running: 130, StartsPerSecond: 50,
		Workspaces: []fairshare.Load{{Workspace: "hot", Used: 100}, {Workspace: "light", Used: 30, Weight: 1}},
	}
	hot := overload.Decide(view, "hot", overload.ClassShares{}, 0)
	require.False(t, hot.Admit)
	require.Equal(t, overload.OverShare, hot.Reason)
	require.InDelta(t, 70, hot.Share, 1e-9)
	require.True(t, overload.Decide(view, "light", overload.ClassShares{}, 0.999999).Admit)
	require.True(t, overload.Decide(view, "unreported", overload.ClassShares{}, 0.999999).Admit, "it uses less than all that are reported")
	view.Workspaces[1].Weight = 0.1
	require.False(t, overload.Decide(view, "light", overload.ClassShares{}, 0).Admit, "its weight is small")
	view.Workspaces[0].Used, view.Workspaces[1].Used, view.Workspaces[1].Weight = 10, 3, 1
	require.Equal(t, hot, overload.Decide(view, "hot", overload.ClassShares{}, 0), "a tenth of the hosts reports")
	view.Workspaces = nil
	alone := overload.Decide(view, "hot", overload.ClassShares{}, 0)
	require.False(t, alone.Admit, "without reports the whole load counts")
	require.Equal(t, overload.Overloaded, alone.Reason)
}

// Guards against a workspace that never starts a program at a service with fewer slots than workspaces.
func TestWorkspaceWithOneRequestIsWithinItsShare(t *testing.T) {
	view := overload.View{Slots: 2, Running: 4, StartsPerSecond: 50}
	for _, workspace := range []id.Workspace{"a", "b", "c", "d"} {
		view.Workspaces = append(view.Workspaces, fairshare.Load{Workspace: workspace, Used: 1})
	}
	require.True(t, overload.Decide(view, "a", overload.ClassShares{}, 0.999999).Admit)
}

// Guards against a Retry-After that callers do not honour, and against refused programs that all return together.
func TestRetryAfterGrowsWithOverloadAndIsSpread(t *testing.T) {
	view := overload.View{Slots: 100, Running: 115, StartsPerSecond: 50}
	some := overload.Decide(view, "w", overload.ClassShares{}, 0.9)
	view.Running = 150
	many := overload.Decide(view, "w", overload.ClassShares{}, 0.5)
	require.Less(t, some.RetryAfter, many.RetryAfter)
	require.NotEqual(t, many.RetryAfter, overload.Decide(view, "w", overload.ClassShares{}, 0.2).RetryAfter)
	require.LessOrEqual(t, many.RetryAfter, 4*time.Second)
	require.GreaterOrEqual(t, some.RetryAfter, 500*time.Millisecond)
}

// The fractions of all priorities add up to the common one; each is at least a quarter of it, and none exceeds that of a higher
// priority.
func TestPrioritiesShareCommonFraction(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var classes overload.Classes
		now := clock(time.Minute)
		for _, priority := range rapid.SliceOfN(rapid.IntRange(0, 4), 1, 50).Draw(t, "priorities") {
			classes.Add(now, priority)
		}
		common := rapid.Float64Range(0, 1).Draw(t, "common")
		sum, previous := 0.0, 1.0
		for priority := range 5 {
			shares := classes.Shares(now, priority)
			if shares.Own == 0 {
				continue
			}
			fraction := shares.Fraction(common)
			require.GreaterOrEqual(t, fraction, common/4-1e-9)
			require.LessOrEqual(t, fraction, previous+1e-9)
			previous, sum = fraction, sum+fraction*shares.Own
		}
		require.InDelta(t, common, sum, 1e-9)
	})
}

func TestRateForgetsOldEvents(t *testing.T) {
	var rate overload.Rate
	require.Zero(t, rate.PerSecond(clock(time.Second)))
	for i := range 100 {
		rate.Add(clock(time.Duration(i) * 100 * time.Millisecond))
	}
	require.InDelta(t, 10, rate.PerSecond(clock(10*time.Second)), 1)
	require.Less(t, rate.PerSecond(clock(20*time.Second)), 0.1)
}
