package simulation_test

import (
	"flag"
	"fmt"
	"math"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"cardamomward/core/simulation"
)

var (
	tableFlag = flag.Bool("table", false, "run all scenarios under all policies and print the tables")
	seedFlag  = flag.Uint64("seed", 7, "seed of the scenarios")
)

// runAll runs the scenarios under the policies with bounded parallelism.
func runAll(scenarios []simulation.Scenario, policies []simulation.Policy) []map[simulation.Policy]*simulation.Result {
	const maxConcurrentRuns = 4
	results := make([]map[simulation.Policy]*simulation.Result, len(scenarios))
	semaphore := make(chan struct{}, maxConcurrentRuns)
	var group sync.WaitGroup
	var mu sync.Mutex
	for i, s := range scenarios {
		results[i] = make(map[simulation.Policy]*simulation.Result)
		for _, policy := range policies {
			group.Go(func() {
				semaphore <- struct{}{}
				defer func() { <-semaphore }()
				result := simulation.Run(s.Config, policy, s.GeneratePrograms())
				mu.Lock()
				defer mu.Unlock()
				results[i][policy] = result
			})
		}
	}
	group.Wait()

	return results
}

func TestTable(t *testing.T) {
	if !*tableFlag {
		t.Skip("prints the tables of docs/MEASURES.md with -table")
	}
	scenarios := simulation.Scenarios(*seedFlag)
	for i, results := range runAll(scenarios, simulation.Policies()) {
		fmt.Printf("### %s\n\n%s", scenarios[i].Title(), simulation.MarkdownTableHeader)
		for _, policy := range simulation.Policies() {
			fmt.Print(results[policy].MarkdownRow(scenarios[i]))
		}
		fmt.Println(simulation.UnloadedMarkdownRow(scenarios[i]))
	}
}

func findScenario(t *testing.T, name string) simulation.Scenario {
	t.Helper()
	for _, s := range simulation.Scenarios(*seedFlag) {
		if s.Name == name {
			return s
		}
	}
	require.Fail(t, "no such scenario", name)

	return simulation.Scenario{}
}

// surgeResults runs the lunch-hour surge under all policies, once per test process.
var surgeResults = sync.OnceValue(func() map[simulation.Policy]*simulation.Result {
	return runAll(simulation.Scenarios(*seedFlag)[:1], simulation.Policies())[0]
})

// lowestBaseline returns the lowest value of a metric over the baselines.
func lowestBaseline(results map[simulation.Policy]*simulation.Result, metric func(*simulation.Result) float64) float64 {
	lowest := math.Inf(1)
	for policy, r := range results {
		if policy != simulation.Cardamomward {
			lowest = min(lowest, metric(r))
		}
	}

	return lowest
}

func p95Seconds(r *simulation.Result) float64 { return r.ProgramLatency(0.95).Seconds() }

func TestSurgeLatencyNotAboveAnyBaseline(t *testing.T) {
	results := surgeResults()
	require.LessOrEqual(t, p95Seconds(results[simulation.Cardamomward]), lowestBaseline(results, p95Seconds))
}

func TestSurgeLatencyTarget(t *testing.T) {
	const maxRatioToBaseline = 0.7
	results := surgeResults()
	require.LessOrEqual(t, p95Seconds(results[simulation.Cardamomward]), maxRatioToBaseline*lowestBaseline(results, p95Seconds))
}

func TestWastedCacheTarget(t *testing.T) {
	const maxRatioToBaseline = 0.5
	results := surgeResults()
	require.LessOrEqual(t, results[simulation.Cardamomward].WastedCacheShare(), maxRatioToBaseline*lowestBaseline(results, (*simulation.Result).WastedCacheShare))
}

func TestOverloadingWorkspaceDoesNotSlowOthers(t *testing.T) {
	const maxRatioToMean = 1.5
	s := findScenario(t, "one workspace at six times its rate")
	worst, mean := simulation.Run(s.Config, simulation.Cardamomward, s.GeneratePrograms()).WorstAndMeanSlowdown(s.OverloadingWorkspaces()...)
	require.LessOrEqual(t, worst, maxRatioToMean*mean)
}

func TestUrgentCallsWaitLessThanRoutineCalls(t *testing.T) {
	const maxRatioToRoutine = 0.1
	s := findScenario(t, "urgent faults amid a full queue")
	r := simulation.Run(s.Config, simulation.Cardamomward, s.GeneratePrograms())
	require.LessOrEqual(t, r.QueueWait(true, 0.99).Seconds(), maxRatioToRoutine*r.QueueWait(false, 0.99).Seconds())
}

func TestNoRefusalsWithHealthyHosts(t *testing.T) {
	require.Zero(t, surgeResults()[simulation.Cardamomward].RefusalCount)
}

func TestHostLossRefusesAtMostOnePercent(t *testing.T) {
	const maxRefusalsPerCall = 0.01
	s := findScenario(t, "a host lost")
	require.LessOrEqual(t, simulation.Run(s.Config, simulation.Cardamomward, s.GeneratePrograms()).RefusalsPerCall(), maxRefusalsPerCall)
}

func TestRunIsDeterministicForSeed(t *testing.T) {
	s := findScenario(t, "an engine lost mid-surge")
	s.ArrivalDuration /= 5
	s.Config.EngineFailureAt /= 5
	s.Config.HostFailureAt = s.Config.EngineFailureAt
	first := simulation.Run(s.Config, simulation.Cardamomward, s.GeneratePrograms())
	second := simulation.Run(s.Config, simulation.Cardamomward, s.GeneratePrograms())
	require.Equal(t, first.MarkdownRow(s), second.MarkdownRow(s))
}
