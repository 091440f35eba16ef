package leastcost_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/id"
	"cardamomward/core/leastcost"
	"cardamomward/core/registry"
)

var placementTable = flag.Bool("placement-table", false, "print the comparison of placement policies, which takes minutes")

// request returns the request of a call as a host sees it.
func (c *simCall) request(output float64) leastcost.Request {
	return leastcost.Request{
		AffinityKey: c.program.key, IsModelCall: true, SharedPromptTokens: simSharedTokens, OwnPromptTokens: id.Tokens(c.turn.ownTokens),
		LastUpstream: c.program.lastAt, CachedOwnTokens: id.Tokens(c.program.cachedOwn), ExpectedOutputTokens: id.Tokens(output),
	}
}

// presentPolicy is ChooseUpstream with request counts, the output as a share of the maximum and the present latency statistics.
func presentPolicy(w *simWorld, host *simHost, call *simCall) *registry.Instance {
	loads := w.view(host)
	stateOf := func(instance *registry.Instance) leastcost.UpstreamState {
		index := w.indexOf[instance.ID]

		return leastcost.UpstreamState{
			RunningRequests: loads[index].Running, UnitLatencyMS: host.latency.MillisPerUnit(w.time(), "s", instance.ID, simUnit),
			CachesSharedPrefix: w.cachesPart(index, call.turn.part),
		}
	}

	return leastcost.ChooseUpstream(w.instances, call.request([]float64{148, 461}[call.program.route]), stateOf, nil)
}

// workState returns the state of all engines for the policies by outstanding work.
func (w *simWorld) workState(host *simHost, call *simCall) func(*registry.Instance) leastcost.WorkState {
	loads := w.view(host)

	return func(instance *registry.Instance) leastcost.WorkState {
		index := w.indexOf[instance.ID]

		return leastcost.WorkState{
			UpstreamState: leastcost.UpstreamState{
				RunningRequests: loads[index].Running, UnitLatencyMS: host.speed.MillisPerUnit(w.time(), "s", instance.ID, simUnit),
				CachesSharedPrefix: w.cachesPart(index, call.turn.part),
			},
			WorkMillis: loads[index].WorkMillis,
		}
	}
}

// sampledWork compares a sample of the engines by outstanding work: all of them, or the power of some choices.
func sampledWork(size int) simPolicy {
	return func(w *simWorld, host *simHost, call *simCall) *registry.Instance {
		stateOf := w.workState(host, call)
		request := call.request(w.estimate(host, call, call.turn.hint))

		return leastcost.ChooseFromSample(w.instances, request, stateOf, nil, w.random, size)
	}
}

// joinIdleQueue chooses the engine with the least prefill cost among those that are at most half full, and any if there is none.
func joinIdleQueue(w *simWorld, host *simHost, call *simCall) *registry.Instance {
	stateOf := w.workState(host, call)
	request := call.request(w.estimate(host, call, call.turn.hint))
	var idle []*registry.Instance
	for _, instance := range w.instances {
		if stateOf(instance).RunningRequests <= simConcurrency/2 {
			idle = append(idle, instance)
		}
	}
	if len(idle) == 0 {
		return w.instances[w.random.IntN(len(w.instances))]
	}
	withoutLoad := func(instance *registry.Instance) leastcost.WorkState {
		state := stateOf(instance)
		state.RunningRequests, state.WorkMillis = 0, 0

		return state
	}
	request.ExpectedOutputTokens = 0

	return leastcost.ChooseFromSample(idle, request, withoutLoad, nil, w.random, len(idle))
}

// chosenPolicy is ChooseByWork; it also counts the choices that lying hints would have changed.
func chosenPolicy(w *simWorld, host *simHost, call *simCall) *registry.Instance {
	stateOf := w.workState(host, call)
	choose := func(hint float64) *registry.Instance {
		return leastcost.ChooseByWork(w.instances, call.request(w.estimate(host, call, hint)), stateOf, nil, newSimRand(w))
	}
	choice := choose(call.turn.hint)
	for _, lie := range []float64{1, 1e9} {
		w.lieTrials++
		if choose(lie) != choice {
			w.lieChanges++
		}
	}

	return choice
}

type simResult struct {
	p50, p95, p99, worst time.Duration
	programs             int
}

func simulate(scenario simScenario, policy simPolicy) (simResult, *simWorld) {
	world, programs := newSimWorld(scenario, policy)
	world.run(programs)
	result := simResult{quantile(world.latencies, 0.5), quantile(world.latencies, 0.95), quantile(world.latencies, 0.99), 0, len(world.latencies)}
	for _, latencies := range world.ofSpace {
		result.worst = max(result.worst, quantile(latencies, 0.95))
	}

	return result, world
}

// TestPlacementTable prints the table of docs/design/placement.md.
func TestPlacementTable(t *testing.T) {
	if !*placementTable {
		t.Skip("run with -placement-table")
	}
	for _, fleet := range []struct{ hosts, engines int }{{12, 8}, {80, 24}, {300, 44}} {
		for _, utilization := range []float64{0.6, 0.85} {
			for _, policy := range []struct {
				name   string
				choose simPolicy
			}{
				{"present: least cost by request counts", presentPolicy},
				{"least outstanding work of all", sampledWork(1000)},
				{"outstanding work, 8 choices", sampledWork(8)},
				{"outstanding work, 4 choices", sampledWork(4)},
				{"outstanding work, 2 choices (chosen)", sampledWork(2)},
				{"affinity alone, 1 choice", sampledWork(1)},
				{"join idle queue", joinIdleQueue},
			} {
				result, _ := simulate(simScenario{fleet.hosts, fleet.engines, utilization, 40 * time.Second, 3, fleet.hosts == 12}, policy.choose)
				fmt.Printf("| %d | %d | %.2f | %s | %.2f | %.2f | %.2f | %.2f | %d |\n", fleet.hosts, fleet.engines, utilization, policy.name,
					result.p50.Seconds(), result.p95.Seconds(), result.p99.Seconds(), result.worst.Seconds(), result.programs)
			}
		}
	}
}

func TestChosenPolicyIsNotWorseThanThePresentOne(t *testing.T) {
	scenario := simScenario{80, 24, 0.85, 10 * time.Second, 5, false}
	present, _ := simulate(scenario, presentPolicy)
	chosen, world := simulate(scenario, chosenPolicy)
	require.Greater(t, chosen.programs, 100)
	require.LessOrEqual(t, chosen.p95, present.p95, "%v against %v", chosen, present)
	require.LessOrEqual(t, chosen.worst, present.worst, "%v against %v", chosen, present)
	moved := float64(world.lieChanges) / float64(world.lieTrials)
	t.Logf("p95 %v against %v, lying hints move %.3f of %d choices", chosen.p95, present.p95, moved, world.lieTrials)
	require.Less(t, moved, maxMovedByLies, "hints that lie move too much load")
}

// TestSlowEnginesGetTheirProportionOfTokens guards against policies that leave slow engines idle or overload them.
func TestSlowEnginesGetTheirProportionOfTokens(t *testing.T) {
	_, world := simulate(simScenario{40, 12, 0.75, 12 * time.Second, 5, false}, chosenPolicy)
	speeds, tokens := 0.0, 0.0
	for i, engine := range world.engines {
		speeds += engine.speed
		tokens += world.perEngine[i]
	}
	for i, engine := range world.engines {
		share := (world.perEngine[i] / tokens) / (engine.speed / speeds)
		require.Greater(t, share, 0.5, "engine at %.2f of the speed", engine.speed)
		require.Less(t, share, 1.5, "engine at %.2f of the speed", engine.speed)
	}
}

// maxMovedByLies is the share of choices that hints of one token or of a billion may change.
const maxMovedByLies = 0.25
