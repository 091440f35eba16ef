package leastcost_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cardamomward/core/costestimate"
	"cardamomward/core/id"
	"cardamomward/core/leastcost"
	"cardamomward/core/registry"
	"cardamomward/core/upstreamstats"
	"cardamomward/core/workleft"
)

const (
	simSharedTokens = 12_600.0
	simWorkspaces   = 6
	simRoutes       = 2
	// simSnapshots is the number of snapshots of a host's loads that are kept, one every 100 ms: views are up to 2 s old.
	simSnapshots     = 21
	simSnapshotEvery = 100 * time.Millisecond
	// unseenShare is the share of hosts whose reports a host does not have.
	unseenShare = 0.1
	simMeanTurn = 330.0
)

var simEpoch = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

// simTurn is a turn of a program, the same for all policies.
type simTurn struct {
	outputTokens float64
	ownTokens    float64
	part         int
	hint         float64
	pause        time.Duration
	host         int
}

type simProgram struct {
	key       string
	workspace int
	route     int
	startAt   time.Duration
	turns     []simTurn
	next      int
	lastAt    id.Upstream
	cachedOwn float64
}

// newSimPrograms returns programs that arrive at random until the end, with log-normal lengths.
func newSimPrograms(scenario simScenario, random *rand.Rand, speedSum float64) []*simProgram {
	tokensPerSecond := scenario.utilization * speedSum * simConcurrency / (simUnit * (1 + leastcost.SlowdownPerRequest*(simConcurrency-1))) * 1000
	programsPerSecond := tokensPerSecond / (simMeanTurn * 5)
	var programs []*simProgram
	for at := 0.0; at < scenario.duration.Seconds(); at += random.ExpFloat64() / programsPerSecond {
		p := &simProgram{
			key: fmt.Sprint(len(programs)), startAt: time.Duration(at * float64(time.Second)),
			workspace: int(float64(simWorkspaces) * math.Pow(random.Float64(), 2)), route: random.IntN(simRoutes),
		}
		own := 1000.0
		part := p.route*4 + int(4*math.Pow(random.Float64(), 2))
		for first := true; first || (len(p.turns) < 20 && random.Float64() < 0.8); first = false {
			median := []float64{90, 280}[p.route] * (0.5 + 0.25*float64(p.workspace))
			output := math.Min(4000, math.Max(4, median*math.Exp(random.NormFloat64())))
			hint := output * math.Exp(0.4*random.NormFloat64())
			if random.Float64() < 0.3 {
				hint = output * math.Exp(2*random.NormFloat64())
			}
			p.turns = append(p.turns, simTurn{
				outputTokens: output, ownTokens: own, part: part, hint: hint,
				pause: time.Duration(50+random.IntN(450)) * time.Millisecond, host: random.IntN(scenario.hosts),
			})
			own += output + 500
		}
		programs = append(programs, p)
	}

	return programs
}

// simHost is a gateway host: what it has learned and what it runs.
type simHost struct {
	latency   upstreamstats.Tracker
	speed     upstreamstats.SpeedTracker
	outputs   costestimate.Estimator
	own       workleft.Tracker
	snapshots [simSnapshots]map[int]workleft.Load
}

type simScenario struct {
	hosts, engines int
	utilization    float64
	duration       time.Duration
	seed           uint64
	// hasFreshViews is set if all hosts hear each other every 0.1 to 0.2 s, as small fleets do.
	hasFreshViews bool
}

// simWorld runs one scenario with one policy.
type simWorld struct {
	simScenario

	choose    simPolicy
	random    *rand.Rand
	engines   []*simEngine
	indexOf   map[id.Upstream]int
	instances []*registry.Instance
	hosts     []*simHost
	partsRead map[[2]int]time.Duration
	now       time.Duration
	snapshot  int
	latencies []time.Duration
	ofSpace   [simWorkspaces][]time.Duration
	perEngine []float64
	// lieChanges counts the choices that another hint would have changed, of lieTrials.
	lieChanges, lieTrials int
}

// simPolicy chooses an engine.
type simPolicy func(w *simWorld, host *simHost, call *simCall) *registry.Instance

func newSimWorld(scenario simScenario, policy simPolicy) (*simWorld, []*simProgram) {
	random := rand.New(rand.NewPCG(scenario.seed, 7))
	w := &simWorld{
		simScenario: scenario, choose: policy, random: random, engines: newSimEngines(scenario.engines, random),
		indexOf: make(map[id.Upstream]int), partsRead: make(map[[2]int]time.Duration), perEngine: make([]float64, scenario.engines),
	}
	speedSum := 0.0
	for i, engine := range w.engines {
		w.indexOf[engine.instance.ID] = i
		w.instances = append(w.instances, engine.instance)
		speedSum += engine.speed
	}
	for range scenario.hosts {
		w.hosts = append(w.hosts, &simHost{})
	}

	return w, newSimPrograms(scenario, random, speedSum)
}

// run simulates until all programs have ended; those that begin in the first fifth do not count.
func (w *simWorld) run(programs []*simProgram) {
	due := make(map[time.Duration][]*simProgram)
	open := len(programs)
	for _, p := range programs {
		at := p.startAt.Truncate(simTick)
		due[at] = append(due[at], p)
	}
	for ; open > 0 && w.now < 4*w.duration; w.now += simTick {
		if w.now%simSnapshotEvery == 0 {
			w.takeSnapshots()
		}
		for _, p := range due[w.now] {
			w.startTurn(p)
		}
		delete(due, w.now)
		for _, engine := range w.engines {
			for _, call := range engine.step(w.now, w.random) {
				call.onEnd()
				p := call.program
				if p.next < len(p.turns) {
					at := (w.now + call.turn.pause).Truncate(simTick)
					due[at] = append(due[at], p)

					continue
				}
				open--
				if p.startAt > w.duration/5 {
					w.latencies = append(w.latencies, w.now-p.startAt)
					w.ofSpace[p.workspace] = append(w.ofSpace[p.workspace], w.now-p.startAt)
				}
			}
		}
	}
}

func (w *simWorld) time() time.Time { return simEpoch.Add(w.now) }

func (w *simWorld) startTurn(p *simProgram) {
	turn := p.turns[p.next]
	host := w.hosts[turn.host]
	call := &simCall{program: p, turn: turn, host: host}
	chosen := w.choose(w, host, call)
	index := w.indexOf[chosen.ID]
	engine := w.engines[index]
	w.perEngine[index] += turn.outputTokens
	estimate := w.estimate(host, call, turn.hint)
	work := host.own.Begin(w.time(), "s", chosen.ID, workleft.Work{
		PrefillMillis: turn.ownTokens * simUnit / 300, OutputTokens: estimate, MillisPerToken: host.speed.MillisPerUnit(w.time(), "s", chosen.ID, simUnit),
		PromptTokens: id.Tokens(turn.ownTokens),
	})
	cached := 0.0
	if p.lastAt == chosen.ID {
		cached = p.cachedOwn
	}
	firstTurn := p.next == 0
	call.onProgress = func(tokens, millis float64) {
		host.own.Progress(work, id.Tokens(tokens))
		host.speed.Record(w.time(), "s", chosen.ID, tokens, millis)
	}
	call.onEnd = func() {
		host.own.End(work)
		host.outputs.Record(w.time(), costestimate.Kind{Route: fmt.Sprint(p.route), Workspace: id.Workspace(fmt.Sprint(p.workspace)), IsFirstTurn: firstTurn}, turn.hint, turn.outputTokens)
		if turn.outputTokens >= 60 {
			elapsed := (w.now - call.firstAt).Seconds() * 1000
			running := float64(len(engine.running))
			host.latency.RecordLatency(w.time(), "s", chosen.ID, elapsed/turn.outputTokens/(1+leastcost.SlowdownPerRequest*running))
		}
	}
	p.next++
	p.lastAt, p.cachedOwn = chosen.ID, turn.ownTokens
	w.partsRead[[2]int{index, turn.part}] = w.now
	engine.start(w.now, call, cached)
}

// estimate returns the learned estimate of a call's output tokens at a host with a given hint.
func (w *simWorld) estimate(host *simHost, call *simCall, hint float64) float64 {
	kind := costestimate.Kind{Route: fmt.Sprint(call.program.route), Workspace: id.Workspace(fmt.Sprint(call.program.workspace)), IsFirstTurn: call.program.next == 0}

	return host.outputs.Estimate(w.time(), kind, hint, []float64{148, 461}[call.program.route]).Mean
}

// takeSnapshots keeps the present loads of all hosts as their heartbeats report them.
func (w *simWorld) takeSnapshots() {
	w.snapshot = (w.snapshot + 1) % simSnapshots
	for _, host := range w.hosts {
		loads := make(map[int]workleft.Load)
		for i, instance := range w.instances {
			if load := host.own.Own(w.time(), instance.ID); load.Running > 0 {
				loads[i] = load
			}
		}
		host.snapshots[w.snapshot] = loads
	}
}

// view returns the loads at all engines as a host knows them: its own exactly, those of the others 0.2 to 2 s old, some not at all.
func (w *simWorld) view(self *simHost) []workleft.Load {
	loads := make([]workleft.Load, len(w.engines))
	for i, instance := range w.instances {
		loads[i] = self.own.Own(w.time(), instance.ID)
	}
	for _, host := range w.hosts {
		if host == self || (!w.hasFreshViews && w.random.Float64() < unseenShare) {
			continue
		}
		steps := 2 + w.random.IntN(simSnapshots-2)
		if w.hasFreshViews {
			steps = 1 + w.random.IntN(2)
		}
		age := time.Duration(steps) * simSnapshotEvery
		for i, load := range host.snapshots[(w.snapshot-steps+simSnapshots)%simSnapshots] {
			loads[i].Running += load.Running
			loads[i].WorkMillis += load.Aged(age)
			loads[i].ReservedTokens += load.ReservedTokens
		}
	}

	return loads
}

func (w *simWorld) cachesPart(index, part int) bool {
	last, ok := w.partsRead[[2]int{index, part}]

	return ok && w.now-last <= partLifetime
}

func quantile(latencies []time.Duration, q float64) time.Duration {
	if len(latencies) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(latencies))

	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// newSimRand returns a generator of its own for a choice, so that the same choice can be repeated with another hint.
func newSimRand(w *simWorld) *rand.Rand {
	return rand.New(rand.NewPCG(uint64(w.now), uint64(len(w.latencies))))
}
