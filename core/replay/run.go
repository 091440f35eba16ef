package replay

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

// Config describes the fleet of a run and what happens to it.
type Config struct {
	Seed    uint64
	Hosts   int
	Engines int
	Domains int
	Model   EngineModel
	// ReportEvery is how often engines report their load, ReportLag how old a report is on arrival.
	ReportEvery time.Duration
	ReportLag   time.Duration
	// EventLag is how late cache events come, EventLoss the part that is lost.
	EventLag  time.Duration
	EventLoss float64
	// EventsStopAt is when cache events stop, for EventsStopFor.
	EventsStopAt  time.Duration
	EventsStopFor time.Duration
	// EngineLostAt and HostLostAt are when the first engine or host is lost; zero is never.
	EngineLostAt time.Duration
	HostLostAt   time.Duration
	// Timeout is a call's deadline for admission.
	Timeout time.Duration
}

// detect is how long it takes to notice that an engine or a host is lost.
const detect = time.Second

// call is one model call on its way.
type call struct {
	program      *Program
	agent        *agentRun
	turn         int
	number       int
	item         fairqueue.Item
	chain        []link
	stored       []link
	prefixes     []prompt.PrefixHash
	lengths      []id.Tokens
	promptTokens id.Tokens
	output       id.Tokens
	cached       id.Tokens
	host         int
	engine       int
	pushed       time.Time
	sent         time.Time
	prefill      float64
	decode       float64
	failed       bool
}

// agentRun is an agent under way.
type agentRun struct {
	run   *programRun
	agent Agent
	turn  int
	chain []link
	total id.Tokens
	name  string
	done  func(now time.Time)
}

type programRun struct {
	program  *Program
	attained id.Tokens
}

type event struct {
	at  time.Time
	seq int
	do  func(now time.Time)
}

type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}

	return e[i].seq < e[j].seq
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) {
	if ev, ok := x.(event); ok {
		*e = append(*e, ev)
	}
}

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]

	return last
}

// host is an entry host of the run.
type host struct {
	scheduler scheduler
	dead      bool
	waiting   map[*call]struct{}
	retryAt   time.Time
}

// world is the state of a run.
type world struct {
	config  Config
	policy  Policy
	start   time.Time
	queue   events
	seq     int
	open    int
	hosts   []*host
	engines []*engine
	rng     *rand.Rand
	once    map[prompt.PrefixHash]struct{}
	result  *Result
}

// Run runs the programs under a policy until all have ended.
func Run(config Config, policy Policy, programs []Program) *Result {
	w := &world{
		config: config, policy: policy, start: time.Unix(0, 0).UTC(), open: len(programs),
		rng: rand.New(rand.NewPCG(config.Seed, 11)), once: make(map[prompt.PrefixHash]struct{}), result: &Result{Policy: policy},
	}
	for i := range config.Engines {
		w.engines = append(w.engines, &engine{
			index: i, name: id.Upstream(fmt.Sprintf("engine-%02d", i)), model: config.Model, updated: w.start,
			domain: domainOf(i, config.Domains), cache: prefixCache{capacity: config.Model.Cache},
		})
	}
	for i := range config.Hosts {
		w.hosts = append(w.hosts, &host{scheduler: w.scheduler(i), waiting: make(map[*call]struct{})})
	}
	for i := range programs {
		w.at(w.start.Add(programs[i].Arrive), func(now time.Time) { w.begin(now, &programs[i]) })
	}
	w.at(w.start, w.report)
	w.faults()
	for w.open > 0 && len(w.queue) > 0 {
		e, ok := heap.Pop(&w.queue).(event)
		if !ok {
			break
		}
		e.do(e.at)
	}

	return w.result
}

func domainOf(i, domains int) id.FailureDomain {
	return id.FailureDomain(fmt.Sprintf("domain-%d", i%max(1, domains)))
}

func (w *world) scheduler(i int) scheduler {
	seed := w.config.Seed + uint64(i)
	if w.policy == Cardamomward {
		return newOwn(w.engines, domainOf(i, w.config.Domains), w.config.Hosts, w.config.Timeout, seed)
	}

	return newBaseline(w.policy, w.engines, seed)
}

func (w *world) at(at time.Time, do func(now time.Time)) {
	w.seq++
	heap.Push(&w.queue, event{at: at, seq: w.seq, do: do})
}

func (w *world) faults() {
	if at := w.config.EngineLostAt; at > 0 {
		w.at(w.start.Add(at), func(now time.Time) { w.loseEngine(now, w.engines[0]) })
	}
	if at := w.config.HostLostAt; at > 0 {
		w.at(w.start.Add(at), func(now time.Time) { w.loseHost(now, w.hosts[0]) })
	}
}

// report sends each engine's load to all hosts, late.
func (w *world) report(now time.Time) {
	for i, e := range w.engines {
		if e.dead {
			continue
		}
		load := e.load()
		w.at(now.Add(w.config.ReportLag), func(later time.Time) {
			for _, h := range w.hosts {
				h.scheduler.report(i, now, load)
			}
			if i == len(w.engines)-1 {
				w.pumpAll(later)
			}
		})
	}
	w.at(now.Add(w.config.ReportEvery), w.report)
}

func (w *world) begin(now time.Time, p *Program) {
	run := &programRun{program: p}
	chain := []link{{prefix: p.Manual, tokens: p.ManualTokens}}
	a := &agentRun{run: run, agent: p.Agent, chain: chain, total: p.ManualTokens, name: string(p.ID)}
	a.done = func(now time.Time) {
		w.open--
		w.result.program(p, now.Sub(w.start)-p.Arrive, w.config.Model.alone(p.Agent))
	}
	w.step(now, a)
}

// step submits an agent's next turn.
func (w *world) step(now time.Time, a *agentRun) {
	t := a.agent.Turns[a.turn]
	p := a.run.program
	prefix := prompt.PrefixHash(xxhash.Sum64String(fmt.Sprintf("%s/%d", a.name, a.turn)))
	a.chain = append(a.chain, link{prefix: prefix, tokens: t.Input})
	a.total += t.Input
	c := &call{
		program: p, agent: a, turn: a.turn, promptTokens: a.total, output: t.Output,
		chain: a.chain[:len(a.chain):len(a.chain)],
		item: fairqueue.Item{
			Workspace: p.Workspace, Weight: p.Weight, Program: p.ID, Urgent: p.Urgent,
			EstimatedTokens: t.Input + t.Output, AttainedTokens: a.run.attained,
		},
	}
	c.prefixes, c.lengths = lengthsOf(c.chain)
	w.result.Calls++
	c.number = w.result.Calls
	w.submit(now, c)
}

func (w *world) submit(now time.Time, c *call) {
	c.host = int(xxhash.Sum64String(string(c.program.ID)) % uint64(len(w.hosts)))
	for w.hosts[c.host].dead {
		c.host = (c.host + 1) % len(w.hosts)
	}
	c.pushed = now
	c.failed = false
	h := w.hosts[c.host]
	if after, ok := h.scheduler.push(now, c); !ok {
		w.result.Refused++
		w.at(now.Add(after), func(now time.Time) { w.submit(now, c) })

		return
	}
	h.waiting[c] = struct{}{}
	w.pump(now, h)
}

func (w *world) pumpAll(now time.Time) {
	for _, h := range w.hosts {
		w.pump(now, h)
	}
}

// pump sends what the host's scheduler has to send.
func (w *world) pump(now time.Time, h *host) {
	if h.dead {
		return
	}
	for {
		c, engine, ok := h.scheduler.next(now)
		if !ok {
			break
		}
		delete(h.waiting, c)
		c.engine, c.sent = engine, now
		w.send(now, c)
	}
	if at, ok := h.scheduler.retry(); ok && at.After(h.retryAt) {
		h.retryAt = at
		w.at(at, func(now time.Time) { w.pump(now, h) })
	}
}

func (w *world) send(now time.Time, c *call) {
	e := w.engines[c.engine]
	if e.dead {
		w.at(now.Add(detect), func(now time.Time) { w.fail(now, c) })

		return
	}
	e.advance(now)
	e.accept(c, w.policy == Cardamomward)
	w.schedule(now, e)
}

// fail returns a call that was lost with its engine or host to its host.
func (w *world) fail(now time.Time, c *call) {
	c.failed = true
	h := w.hosts[c.host]
	if !h.dead {
		h.scheduler.lost(c.engine)
		h.scheduler.ended(now, c)
	}
	w.submit(now, c)
}

// schedule starts what the engine has room for and plans its next change.
func (w *world) schedule(now time.Time, e *engine) {
	for _, c := range e.start() {
		w.result.waited(c.item.Urgent, now.Sub(c.pushed))
		w.result.prompt(c, w.once)
	}
	e.version++
	version := e.version
	if after, ok := e.next(); ok {
		w.at(now.Add(after), func(now time.Time) {
			if e.version == version && !e.dead {
				w.progress(now, e)
			}
		})
	}
}

func (w *world) progress(now time.Time, e *engine) {
	e.advance(now)
	done := e.finished()
	for _, c := range done {
		a := c.agent
		answer := prompt.PrefixHash(xxhash.Sum64String(fmt.Sprintf("%s/%d/answer", a.name, a.turn)))
		c.stored = slices.Concat(c.chain, []link{{prefix: answer, tokens: c.output}})
		e.cache.store(c.stored)
		for _, l := range c.stored {
			w.once[l.prefix] = struct{}{}
		}
	}
	w.publish(now, e)
	w.schedule(now, e)
	for _, c := range done {
		w.answered(now, c)
	}
}

// publish sends the engine's cache events to all hosts, late and with gaps.
func (w *world) publish(now time.Time, e *engine) {
	batch := e.cache.drain()
	since := now.Sub(w.start) - w.config.EventsStopAt
	lost := w.config.EventsStopFor > 0 && since >= 0 && since < w.config.EventsStopFor
	if lost || w.rng.Float64() < w.config.EventLoss {
		w.at(now.Add(w.config.EventLag), func(time.Time) {
			for _, h := range w.hosts {
				h.scheduler.gap(e.index)
			}
		})

		return
	}
	w.at(now.Add(w.config.EventLag), func(time.Time) {
		for _, h := range w.hosts {
			for _, event := range batch {
				h.scheduler.event(e.index, event)
			}
		}
	})
}

func (w *world) answered(now time.Time, c *call) {
	h := w.hosts[c.host]
	h.scheduler.ended(now, c)
	a := c.agent
	a.chain = c.stored
	a.total += c.output
	a.run.attained += c.promptTokens - c.cached + c.output
	w.follow(now, a)
	w.pump(now, h)
}

// follow runs the sub-agents of the turn that has ended, then the pause, then the next turn.
func (w *world) follow(now time.Time, a *agentRun) {
	t := a.agent.Turns[a.turn]
	next := func(now time.Time) {
		a.turn++
		if a.turn == len(a.agent.Turns) {
			a.done(now)

			return
		}
		w.at(now.Add(t.Pause), func(now time.Time) { w.step(now, a) })
	}
	left := len(t.Agents)
	if left == 0 {
		next(now)

		return
	}
	for i, child := range t.Agents {
		p := a.run.program
		sub := &agentRun{
			run: a.run, agent: child, total: p.ManualTokens, name: fmt.Sprintf("%s.%d-%d", a.name, a.turn, i),
			chain: []link{{prefix: p.Manual, tokens: p.ManualTokens}},
		}
		sub.done = func(now time.Time) {
			if left--; left == 0 {
				next(now)
			}
		}
		w.step(now, sub)
	}
}

func (w *world) loseEngine(now time.Time, e *engine) {
	e.dead = true
	lost := slices.Concat(e.running, e.waiting)
	e.running, e.waiting = nil, nil
	for _, c := range lost {
		w.at(now.Add(detect), func(now time.Time) { w.fail(now, c) })
	}
}

func (w *world) loseHost(now time.Time, h *host) {
	h.dead = true
	for _, e := range w.engines {
		e.advance(now)
		e.running = w.drop(now, e.running, h)
		e.waiting = w.drop(now, e.waiting, h)
		w.schedule(now, e)
	}
	lost := slices.SortedFunc(maps.Keys(h.waiting), func(a, b *call) int { return cmp.Compare(a.number, b.number) })
	for _, c := range lost {
		w.at(now.Add(detect), func(now time.Time) { w.submit(now, c) })
	}
}

// drop cancels a lost host's calls at an engine; their callers send them to another host.
func (w *world) drop(now time.Time, calls []*call, h *host) []*call {
	kept := make([]*call, 0, len(calls))
	for _, c := range calls {
		if w.hosts[c.host] != h {
			kept = append(kept, c)

			continue
		}
		w.at(now.Add(detect), func(now time.Time) { w.submit(now, c) })
	}

	return kept
}
