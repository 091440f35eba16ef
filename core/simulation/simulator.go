package simulation

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cardamomward/core/fairqueue"
	"cardamomward/core/id"
	"cardamomward/core/prompt"
)

// Config describes the fleet of a run and the failures in it.
type Config struct {
	Seed           uint64
	Hosts          int
	Engines        int
	FailureDomains int
	EngineModel    EngineModel
	// ReportInterval is the interval of the engines' load reports, ReportLag the age of a report on arrival.
	ReportInterval time.Duration
	ReportLag      time.Duration
	// EventLag is the delay of cache events, which tell the hosts what an engine cached or evicted. EventLossRate is the
	// fraction of batches of events that are lost.
	EventLag      time.Duration
	EventLossRate float64
	// EventOutageStart and EventOutageDuration define a time in which all cache events are lost.
	EventOutageStart    time.Duration
	EventOutageDuration time.Duration
	// EngineFailureAt and HostFailureAt are the times from the start of the run to the failure of the first engine or
	// host; zero means never.
	EngineFailureAt time.Duration
	HostFailureAt   time.Duration
	// CallTimeout is the time to the deadline of a new call, used only by admission control; calls never time out.
	CallTimeout time.Duration
}

// failureDetectionDelay is the time until the failure of an engine or a host is detected.
const failureDetectionDelay = time.Second

// call is a model call in progress, with the parts of its prompt; promptAndAnswerParts is set when the call ends.
type call struct {
	program              *Program
	agent                *agentRun
	turn                 int
	number               int
	item                 fairqueue.Item
	promptParts          []promptPart
	promptAndAnswerParts []promptPart
	prefixes             []prompt.PrefixHash
	prefixTokens         []id.Tokens
	promptTokens         id.Tokens
	outputTokens         id.Tokens
	cachedTokens         id.Tokens
	host                 int
	engine               int
	submittedAt          time.Time
	sentAt               time.Time
	prefillTokensLeft    float64
	decodeTokensLeft     float64
	isLost               bool
}

// agentRun is an agent in progress.
type agentRun struct {
	programRun   *programRun
	agent        Agent
	turn         int
	promptParts  []promptPart
	promptTokens id.Tokens
	name         string
	onDone       func(now time.Time)
}

// programRun is the state that the agents of a program share; attainedTokens are the tokens that engines have computed for it.
type programRun struct {
	program        *Program
	attainedTokens id.Tokens
}

// event is a function to run at a virtual time; seq orders events of the same time.
type event struct {
	at  time.Time
	seq int
	run func(now time.Time)
}

// eventQueue is a heap of events by time and sequence number.
type eventQueue []event

// Len implements heap.Interface.
func (e eventQueue) Len() int { return len(e) }

// Less implements heap.Interface.
func (e eventQueue) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}

	return e[i].seq < e[j].seq
}

// Swap implements heap.Interface.
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *eventQueue) Push(x any) {
	if ev, ok := x.(event); ok {
		*e = append(*e, ev)
	}
}

// Pop implements heap.Interface.
func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]

	return last
}

// host is a host of the fleet with its scheduler, the calls that wait there, and the time of the latest scheduled retry.
type host struct {
	scheduler        scheduler
	failed           bool
	waiting          map[*call]struct{}
	scheduledRetryAt time.Time
}

// simulator is the state of a run.
type simulator struct {
	config       Config
	policy       Policy
	startTime    time.Time
	events       eventQueue
	lastSeq      int
	openPrograms int
	hosts        []*host
	engines      []*engine
	rng          *rand.Rand
	everCached   map[prompt.PrefixHash]struct{}
	result       *Result
}

// Run simulates the programs under a policy until all have ended.
func Run(config Config, policy Policy, programs []Program) *Result {
	sim := &simulator{
		config: config, policy: policy, startTime: time.Unix(0, 0).UTC(), openPrograms: len(programs),
		rng: rand.New(rand.NewPCG(config.Seed, 11)), everCached: make(map[prompt.PrefixHash]struct{}), result: &Result{Policy: policy},
	}
	for i := range config.Engines {
		sim.engines = append(sim.engines, &engine{
			index: i, name: id.Upstream(fmt.Sprintf("engine-%02d", i)), model: config.EngineModel, updatedAt: sim.startTime,
			failureDomain: failureDomainOf(i, config.FailureDomains), cache: prefixCache{capacityTokens: config.EngineModel.CacheTokens},
		})
	}
	for i := range config.Hosts {
		sim.hosts = append(sim.hosts, &host{scheduler: sim.newScheduler(i), waiting: make(map[*call]struct{})})
	}
	for i := range programs {
		sim.scheduleAt(sim.startTime.Add(programs[i].ArrivalOffset), func(now time.Time) { sim.startProgram(now, &programs[i]) })
	}
	sim.scheduleAt(sim.startTime, sim.reportLoads)
	sim.scheduleFailures()
	for sim.openPrograms > 0 && len(sim.events) > 0 {
		next, ok := heap.Pop(&sim.events).(event)
		if !ok {
			break
		}
		next.run(next.at)
	}

	return sim.result
}

func failureDomainOf(i, domains int) id.FailureDomain {
	return id.FailureDomain(fmt.Sprintf("domain-%d", i%max(1, domains)))
}

func (sim *simulator) newScheduler(i int) scheduler {
	seed := sim.config.Seed + uint64(i)
	if sim.policy == Cardamomward {
		return newProductionScheduler(sim.engines, failureDomainOf(i, sim.config.FailureDomains), sim.config.Hosts, sim.config.CallTimeout, seed)
	}

	return newBaselineScheduler(sim.policy, sim.engines, seed)
}

func (sim *simulator) scheduleAt(at time.Time, run func(now time.Time)) {
	sim.lastSeq++
	heap.Push(&sim.events, event{at: at, seq: sim.lastSeq, run: run})
}

func (sim *simulator) scheduleFailures() {
	if at := sim.config.EngineFailureAt; at > 0 {
		sim.scheduleAt(sim.startTime.Add(at), func(now time.Time) { sim.failEngine(now, sim.engines[0]) })
	}
	if at := sim.config.HostFailureAt; at > 0 {
		sim.scheduleAt(sim.startTime.Add(at), func(now time.Time) { sim.failHost(now, sim.hosts[0]) })
	}
}

// reportLoads sends the load of each engine to all hosts after the report lag.
func (sim *simulator) reportLoads(now time.Time) {
	for i, e := range sim.engines {
		if e.failed {
			continue
		}
		load := e.loadReport()
		sim.scheduleAt(now.Add(sim.config.ReportLag), func(arrival time.Time) {
			for _, h := range sim.hosts {
				h.scheduler.recordLoad(i, now, load)
			}
			if i == len(sim.engines)-1 {
				sim.dispatchAll(arrival)
			}
		})
	}
	sim.scheduleAt(now.Add(sim.config.ReportInterval), sim.reportLoads)
}

func (sim *simulator) startProgram(now time.Time, p *Program) {
	programState := &programRun{program: p}
	parts := []promptPart{{prefix: p.SharedPrefix, tokens: p.SharedPrefixTokens}}
	agent := &agentRun{programRun: programState, agent: p.Agent, promptParts: parts, promptTokens: p.SharedPrefixTokens, name: string(p.ID)}
	agent.onDone = func(now time.Time) {
		sim.openPrograms--
		sim.result.recordProgram(p, now.Sub(sim.startTime)-p.ArrivalOffset, sim.config.EngineModel.unloadedLatency(p.Agent))
	}
	sim.startTurn(now, agent)
}

// startTurn submits the next turn of an agent.
func (sim *simulator) startTurn(now time.Time, agent *agentRun) {
	turn := agent.agent.Turns[agent.turn]
	program := agent.programRun.program
	prefix := prompt.PrefixHash(xxhash.Sum64String(fmt.Sprintf("%s/%d", agent.name, agent.turn)))
	agent.promptParts = append(agent.promptParts, promptPart{prefix: prefix, tokens: turn.InputTokens})
	agent.promptTokens += turn.InputTokens
	c := &call{
		program: program, agent: agent, turn: agent.turn, promptTokens: agent.promptTokens, outputTokens: turn.OutputTokens,
		promptParts: agent.promptParts[:len(agent.promptParts):len(agent.promptParts)],
		item: fairqueue.Item{
			Workspace: program.Workspace, Weight: program.Weight, Program: program.ID, Urgent: program.Urgent,
			EstimatedTokens: turn.InputTokens + turn.OutputTokens, AttainedTokens: agent.programRun.attainedTokens,
		},
	}
	c.prefixes, c.prefixTokens = prefixesOf(c.promptParts)
	sim.result.CallCount++
	c.number = sim.result.CallCount
	sim.submitCall(now, c)
}

func (sim *simulator) submitCall(now time.Time, c *call) {
	c.host = int(xxhash.Sum64String(string(c.program.ID)) % uint64(len(sim.hosts)))
	for sim.hosts[c.host].failed {
		c.host = (c.host + 1) % len(sim.hosts)
	}
	c.submittedAt = now
	c.isLost = false
	h := sim.hosts[c.host]
	if retryAfter, ok := h.scheduler.submit(now, c); !ok {
		sim.result.RefusalCount++
		sim.scheduleAt(now.Add(retryAfter), func(now time.Time) { sim.submitCall(now, c) })

		return
	}
	h.waiting[c] = struct{}{}
	sim.dispatch(now, h)
}

func (sim *simulator) dispatchAll(now time.Time) {
	for _, h := range sim.hosts {
		sim.dispatch(now, h)
	}
}

// dispatch sends the calls that the host's scheduler releases.
func (sim *simulator) dispatch(now time.Time, h *host) {
	if h.failed {
		return
	}
	for {
		c, engine, ok := h.scheduler.nextCall(now)
		if !ok {
			break
		}
		delete(h.waiting, c)
		c.engine, c.sentAt = engine, now
		sim.sendToEngine(now, c)
	}
	if at, ok := h.scheduler.nextRetryTime(); ok && at.After(h.scheduledRetryAt) {
		h.scheduledRetryAt = at
		sim.scheduleAt(at, func(now time.Time) { sim.dispatch(now, h) })
	}
}

func (sim *simulator) sendToEngine(now time.Time, c *call) {
	e := sim.engines[c.engine]
	if e.failed {
		sim.scheduleAt(now.Add(failureDetectionDelay), func(now time.Time) { sim.resubmitLostCall(now, c) })

		return
	}
	e.advanceTo(now)
	e.enqueue(c, sim.policy == Cardamomward)
	sim.startCalls(now, e)
}

// resubmitLostCall submits a call again that was lost with its engine or host.
func (sim *simulator) resubmitLostCall(now time.Time, c *call) {
	c.isLost = true
	h := sim.hosts[c.host]
	if !h.failed {
		h.scheduler.markEngineFailed(c.engine)
		h.scheduler.recordCallEnd(now, c)
	}
	sim.submitCall(now, c)
}

// startCalls starts the calls that fit into the engine's batch and schedules its next event.
func (sim *simulator) startCalls(now time.Time, e *engine) {
	for _, c := range e.startWaitingCalls() {
		sim.result.recordQueueWait(c.item.Urgent, now.Sub(c.submittedAt))
		sim.result.recordPrompt(c, sim.everCached)
	}
	e.batchVersion++
	version := e.batchVersion
	if after, ok := e.timeToNextPhase(); ok {
		sim.scheduleAt(now.Add(after), func(now time.Time) {
			if e.batchVersion == version && !e.failed {
				sim.finishCalls(now, e)
			}
		})
	}
}

func (sim *simulator) finishCalls(now time.Time, e *engine) {
	e.advanceTo(now)
	done := e.removeFinished()
	for _, c := range done {
		agent := c.agent
		answer := prompt.PrefixHash(xxhash.Sum64String(fmt.Sprintf("%s/%d/answer", agent.name, agent.turn)))
		c.promptAndAnswerParts = slices.Concat(c.promptParts, []promptPart{{prefix: answer, tokens: c.outputTokens}})
		e.cache.store(c.promptAndAnswerParts)
		for _, part := range c.promptAndAnswerParts {
			sim.everCached[part.prefix] = struct{}{}
		}
	}
	sim.publishCacheEvents(now, e)
	sim.startCalls(now, e)
	for _, c := range done {
		sim.handleResponse(now, c)
	}
}

// publishCacheEvents sends the engine's cache events to all hosts after the event lag, or a gap if they are lost.
func (sim *simulator) publishCacheEvents(now time.Time, e *engine) {
	events := e.cache.takeEvents()
	sinceOutage := now.Sub(sim.startTime) - sim.config.EventOutageStart
	isOutage := sim.config.EventOutageDuration > 0 && sinceOutage >= 0 && sinceOutage < sim.config.EventOutageDuration
	if isOutage || sim.rng.Float64() < sim.config.EventLossRate {
		sim.scheduleAt(now.Add(sim.config.EventLag), func(time.Time) {
			for _, h := range sim.hosts {
				h.scheduler.recordEventGap(e.index)
			}
		})

		return
	}
	sim.scheduleAt(now.Add(sim.config.EventLag), func(arrival time.Time) {
		for _, h := range sim.hosts {
			for _, event := range events {
				h.scheduler.applyCacheEvent(e.index, arrival, event)
			}
		}
	})
}

func (sim *simulator) handleResponse(now time.Time, c *call) {
	h := sim.hosts[c.host]
	h.scheduler.recordCallEnd(now, c)
	agent := c.agent
	agent.promptParts = c.promptAndAnswerParts
	agent.promptTokens += c.outputTokens
	agent.programRun.attainedTokens += c.promptTokens - c.cachedTokens + c.outputTokens
	sim.continueAgent(now, agent)
	sim.dispatch(now, h)
}

// continueAgent runs the sub-agents of the ended turn, then the tool pause, then the next turn.
func (sim *simulator) continueAgent(now time.Time, agent *agentRun) {
	turn := agent.agent.Turns[agent.turn]
	continueWithNextTurn := func(now time.Time) {
		agent.turn++
		if agent.turn == len(agent.agent.Turns) {
			agent.onDone(now)

			return
		}
		sim.scheduleAt(now.Add(turn.ToolPause), func(now time.Time) { sim.startTurn(now, agent) })
	}
	unfinished := len(turn.SubAgents)
	if unfinished == 0 {
		continueWithNextTurn(now)

		return
	}
	for i, subAgent := range turn.SubAgents {
		program := agent.programRun.program
		child := &agentRun{
			programRun: agent.programRun, agent: subAgent, promptTokens: program.SharedPrefixTokens, name: fmt.Sprintf("%s.%d-%d", agent.name, agent.turn, i),
			promptParts: []promptPart{{prefix: program.SharedPrefix, tokens: program.SharedPrefixTokens}},
		}
		child.onDone = func(now time.Time) {
			if unfinished--; unfinished == 0 {
				continueWithNextTurn(now)
			}
		}
		sim.startTurn(now, child)
	}
}

func (sim *simulator) failEngine(now time.Time, e *engine) {
	e.failed = true
	lost := slices.Concat(e.running, e.waiting)
	e.running, e.waiting = nil, nil
	for _, c := range lost {
		sim.scheduleAt(now.Add(failureDetectionDelay), func(now time.Time) { sim.resubmitLostCall(now, c) })
	}
}

func (sim *simulator) failHost(now time.Time, h *host) {
	h.failed = true
	for _, e := range sim.engines {
		e.advanceTo(now)
		e.running = sim.cancelHostCalls(now, e.running, h)
		e.waiting = sim.cancelHostCalls(now, e.waiting, h)
		sim.startCalls(now, e)
	}
	lost := slices.SortedFunc(maps.Keys(h.waiting), func(a, b *call) int { return cmp.Compare(a.number, b.number) })
	for _, c := range lost {
		sim.scheduleAt(now.Add(failureDetectionDelay), func(now time.Time) { sim.submitCall(now, c) })
	}
}

// cancelHostCalls removes a failed host's calls from an engine; their callers submit them to another host.
func (sim *simulator) cancelHostCalls(now time.Time, calls []*call, h *host) []*call {
	remaining := make([]*call, 0, len(calls))
	for _, c := range calls {
		if sim.hosts[c.host] != h {
			remaining = append(remaining, c)

			continue
		}
		sim.scheduleAt(now.Add(failureDetectionDelay), func(now time.Time) { sim.submitCall(now, c) })
	}

	return remaining
}
