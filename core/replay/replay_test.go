package replay_test

import (
	"flag"
	"fmt"
	"math"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"cardamomward/core/replay"
)

var (
	table = flag.Bool("table", false, "run all scenarios under all policies and print the tables")
	seed  = flag.Uint64("seed", 7, "seed of the scenarios")
)

// runAll runs scenarios under policies, a few at a time.
func runAll(scenarios []replay.Scenario, policies []replay.Policy) []map[replay.Policy]*replay.Result {
	const atATime = 4
	all := make([]map[replay.Policy]*replay.Result, len(scenarios))
	limit := make(chan struct{}, atATime)
	var group sync.WaitGroup
	var mu sync.Mutex
	for i, s := range scenarios {
		all[i] = make(map[replay.Policy]*replay.Result)
		for _, policy := range policies {
			group.Go(func() {
				limit <- struct{}{}
				defer func() { <-limit }()
				result := replay.Run(s.Config, policy, s.Programs())
				mu.Lock()
				defer mu.Unlock()
				all[i][policy] = result
			})
		}
	}
	group.Wait()

	return all
}

func TestTable(t *testing.T) {
	if !*table {
		t.Skip("prints the tables of docs/MEASURES.md with -table")
	}
	scenarios := replay.Scenarios(*seed)
	for i, results := range runAll(scenarios, replay.Policies()) {
		fmt.Printf("### %s\n\n%s", scenarios[i].Title(), replay.TableHeader)
		for _, policy := range replay.Policies() {
			fmt.Print(results[policy].Row(scenarios[i]))
		}
		fmt.Println(replay.AloneRow(scenarios[i]))
	}
}

func scenario(t *testing.T, name string) replay.Scenario {
	t.Helper()
	for _, s := range replay.Scenarios(*seed) {
		if s.Name == name {
			return s
		}
	}
	require.Fail(t, "no such scenario", name)

	return replay.Scenario{}
}

// surge runs the lunch-hour surge under all policies once.
var surge = sync.OnceValue(func() map[replay.Policy]*replay.Result {
	return runAll(replay.Scenarios(*seed)[:1], replay.Policies())[0]
})

// best returns the lowest figure of the baselines.
func best(results map[replay.Policy]*replay.Result, figure func(*replay.Result) float64) float64 {
	lowest := math.Inf(1)
	for policy, r := range results {
		if policy != replay.Cardamomward {
			lowest = min(lowest, figure(r))
		}
	}

	return lowest
}

func p95(r *replay.Result) float64 { return r.Latency(0.95).Seconds() }

func TestSurgeLatencyIsAtMostThatOfEachBaseline(t *testing.T) {
	results := surge()
	require.LessOrEqual(t, p95(results[replay.Cardamomward]), best(results, p95))
}

func TestSurgeLatencyTarget(t *testing.T) {
	const target = 0.7
	results := surge()
	require.LessOrEqual(t, p95(results[replay.Cardamomward]), target*best(results, p95))
}

func TestWastedCacheTarget(t *testing.T) {
	const target = 0.5
	results := surge()
	require.LessOrEqual(t, results[replay.Cardamomward].Wasted(), target*best(results, (*replay.Result).Wasted))
}

func TestFloodLeavesOtherWorkspacesTheirShare(t *testing.T) {
	const target = 1.5
	s := scenario(t, "one workspace at six times its rate")
	worst, mean := replay.Run(s.Config, replay.Cardamomward, s.Programs()).Fairness(s.Flooders()...)
	require.LessOrEqual(t, worst, target*mean)
}

func TestUrgentCallsDoNotWaitBehindRoutineOnes(t *testing.T) {
	const target = 0.1
	s := scenario(t, "urgent faults amid a full queue")
	r := replay.Run(s.Config, replay.Cardamomward, s.Programs())
	require.LessOrEqual(t, r.Wait(true, 0.99).Seconds(), target*r.Wait(false, 0.99).Seconds())
}

func TestNothingIsRefusedWhileHostsAreHealthy(t *testing.T) {
	require.Zero(t, surge()[replay.Cardamomward].Refused)
}

func TestHostLossRefusesAtMostOneInAHundred(t *testing.T) {
	const target = 0.01
	s := scenario(t, "a host lost")
	require.LessOrEqual(t, replay.Run(s.Config, replay.Cardamomward, s.Programs()).RefusedShare(), target)
}

func TestARunRepeatsExactly(t *testing.T) {
	s := scenario(t, "an engine lost mid-surge")
	s.Length /= 5
	s.Config.EngineLostAt /= 5
	s.Config.HostLostAt = s.Config.EngineLostAt
	first := replay.Run(s.Config, replay.Cardamomward, s.Programs())
	second := replay.Run(s.Config, replay.Cardamomward, s.Programs())
	require.Equal(t, first.Row(s), second.Row(s))
}
