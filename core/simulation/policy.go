package simulation

import (
	"math/rand/v2"
	"time"

	"cardamomward/core/admission"
	"cardamomward/core/cacheaware"
	"cardamomward/core/fairqueue"
	"cardamomward/core/id"
	"cardamomward/core/prompt"
)

// Policy names a scheduling policy.
type Policy string

// The scheduler's own policy and the baselines.
const (
	Cardamomward         Policy = "cardamomward"
	FirstComeFirstServed Policy = "first come first served"
	RoundRobin           Policy = "round robin"
	LeastLoaded          Policy = "least loaded"
	StickyByProgram      Policy = "sticky by program"
)

// Policies returns all policies, the scheduler's own first.
func Policies() []Policy {
	return []Policy{Cardamomward, FirstComeFirstServed, RoundRobin, LeastLoaded, StickyByProgram}
}

// scheduler makes the decisions of one host.
type scheduler interface {
	// submit queues a call, or refuses it with a retry delay.
	submit(now time.Time, c *call) (retryAfter time.Duration, ok bool)
	// nextCall returns a call to send now and the index of its engine, and false if there is none.
	nextCall(now time.Time) (*call, int, bool)
	// nextRetryTime returns when nextCall may return a call without any other event, and false if never.
	nextRetryTime() (time.Time, bool)
	// callEnded records the end of a call at its engine.
	callEnded(now time.Time, c *call)
	// loadReported records an engine's load as of a time.
	loadReported(engine int, at time.Time, load cacheaware.LoadReport)
	// cacheChanged records a cache event of an engine.
	cacheChanged(engine int, e cacheEvent)
	// cacheEventsLost records that cache events of an engine are missing.
	cacheEventsLost(engine int)
	// engineFailed records that an engine is gone.
	engineFailed(engine int)
}

// ownScheduler schedules with the scheduler's own packages: fair queue, admission control and cache-aware balancer.
type ownScheduler struct {
	queue            fairqueue.Queue[*call]
	balancer         cacheaware.Balancer
	admissionControl admission.Controller
	engines          []*engine
	engineIndexes    map[id.Upstream]int
	failureDomain    id.FailureDomain
	backlog          admission.Backlog
	callTimeout      time.Duration
}

func newOwnScheduler(engines []*engine, domain id.FailureDomain, hosts int, timeout time.Duration, seed uint64) *ownScheduler {
	o := &ownScheduler{engines: engines, failureDomain: domain, callTimeout: timeout, engineIndexes: make(map[id.Upstream]int)}
	o.balancer.HostCount = hosts
	o.balancer.SetRandomSeed(seed)
	for i, e := range engines {
		o.balancer.SetUpstream(e.name, e.failureDomain)
		o.engineIndexes[e.name] = i
	}

	return o
}

func (o *ownScheduler) submit(now time.Time, c *call) (time.Duration, bool) {
	admissionCall := admission.Call{TimeToDeadline: o.callTimeout, ContinuesProgram: c.turn > 0, Urgent: c.item.Urgent}
	if retryAfter, ok := o.admissionControl.Admit(now, admissionCall, o.backlog); !ok {
		return retryAfter, false
	}
	o.queue.Push(now, c.item, c)
	o.addWaiting(c, 1)

	return 0, true
}

func (o *ownScheduler) addWaiting(c *call, delta int) {
	if c.item.Urgent {
		o.backlog.Urgent += delta
	} else {
		o.backlog.Routine += delta
	}
}

func (o *ownScheduler) nextCall(now time.Time) (*call, int, bool) {
	var picked id.Upstream
	entry, ok := o.queue.Pop(now, func(waiting *fairqueue.Entry[*call]) fairqueue.AdmitResult {
		c := waiting.Value
		var result cacheaware.Result
		picked, result = o.balancer.Pick(now, &cacheaware.Request{
			PromptTokens: c.promptTokens, FailureDomain: o.failureDomain, Prefixes: c.prefixes, PrefixTokens: c.prefixTokens,
			Urgent: c.item.Urgent, ContinuesProgram: c.turn > 0, WaitTime: now.Sub(waiting.EnqueuedAt),
		})
		switch result {
		case cacheaware.Picked:
			return fairqueue.Admitted
		case cacheaware.NoCapacity:
			return fairqueue.NoCapacity
		default:
			return fairqueue.Skipped
		}
	})
	if !ok {
		return nil, 0, false
	}
	o.balancer.StartCall(picked, now)
	o.admissionControl.RecordDispatch(now)
	o.addWaiting(entry.Value, -1)

	return entry.Value, o.engineIndexes[picked], true
}

func (o *ownScheduler) nextRetryTime() (time.Time, bool) { return o.queue.NextRetryTime() }

func (o *ownScheduler) callEnded(now time.Time, c *call) {
	name := o.engines[c.engine].name
	o.balancer.FinishCall(name, now)
	o.admissionControl.RecordDuration(now.Sub(c.sentAt))
	if c.isLost {
		o.queue.SettleCost(c.item, 0)

		return
	}
	o.queue.SettleCost(c.item, c.promptTokens-c.cachedTokens+c.outputTokens)
	for _, part := range c.cachedParts {
		o.balancer.AddCachedPrefix(name, part.prefix)
	}
}

func (o *ownScheduler) loadReported(engine int, at time.Time, load cacheaware.LoadReport) {
	o.balancer.RecordLoad(o.engines[engine].name, at, load)
}

func (o *ownScheduler) cacheChanged(engine int, e cacheEvent) {
	if e.stored {
		o.balancer.AddCachedPrefix(o.engines[engine].name, e.prefix)
	} else {
		o.balancer.RemoveCachedPrefix(o.engines[engine].name, e.prefix)
	}
}

func (o *ownScheduler) cacheEventsLost(engine int) { o.balancer.RecordEventGap(o.engines[engine].name) }

func (o *ownScheduler) engineFailed(engine int) {
	o.balancer.ClearCache(o.engines[engine].name)
	o.balancer.SetAvailable(o.engines[engine].name, false)
}

// baselineScheduler sends calls in the order of arrival and picks engines by a simple rule.
type baselineScheduler struct {
	policy             Policy
	rng                *rand.Rand
	waiting            []*call
	reportedLoads      []int
	recentSends        [][]time.Time
	maxConcurrentCalls int
	runningCalls       []int
	failed             []bool
	lastEngine         int
	engineOfProgram    map[id.Program]int
}

func newBaselineScheduler(policy Policy, engines []*engine, seed uint64) *baselineScheduler {
	n := len(engines)
	rng := rand.New(rand.NewPCG(seed, 7))

	return &baselineScheduler{
		policy: policy, rng: rng, reportedLoads: make([]int, n), recentSends: make([][]time.Time, n), runningCalls: make([]int, n),
		maxConcurrentCalls: engines[0].model.MaxConcurrentCalls, failed: make([]bool, n), lastEngine: rng.IntN(n), engineOfProgram: make(map[id.Program]int),
	}
}

func (b *baselineScheduler) submit(_ time.Time, c *call) (time.Duration, bool) {
	b.waiting = append(b.waiting, c)

	return 0, true
}

func (b *baselineScheduler) nextCall(now time.Time) (*call, int, bool) {
	if len(b.waiting) == 0 {
		return nil, 0, false
	}
	c := b.waiting[0]
	engine, ok := b.pickEngine(c)
	if !ok {
		return nil, 0, false
	}
	b.waiting = b.waiting[1:]
	b.runningCalls[engine]++
	b.recentSends[engine] = append(b.recentSends[engine], now)

	return c, engine, true
}

func (b *baselineScheduler) pickEngine(c *call) (int, bool) {
	switch b.policy {
	case RoundRobin:
		for {
			b.lastEngine = (b.lastEngine + 1) % len(b.runningCalls)
			if !b.failed[b.lastEngine] {
				return b.lastEngine, true
			}
		}
	case StickyByProgram:
		if engine, ok := b.engineOfProgram[c.program.ID]; ok && !b.failed[engine] {
			return engine, true
		}
		engine := b.leastLoadedEngine()
		b.engineOfProgram[c.program.ID] = engine

		return engine, true
	case FirstComeFirstServed:
		engine := b.leastLoadedEngine()

		return engine, b.estimateLoad(engine) < b.maxConcurrentCalls
	default:
		return b.leastLoadedEngine(), true
	}
}

// estimateLoad returns the larger of this host's running calls and the reported load plus the calls sent since.
func (b *baselineScheduler) estimateLoad(engine int) int {
	return max(b.runningCalls[engine], b.reportedLoads[engine]+len(b.recentSends[engine]))
}

// leastLoadedEngine returns the engine with the least estimated load; ties are broken from a random start.
func (b *baselineScheduler) leastLoadedEngine() int {
	least := -1
	first := b.rng.IntN(len(b.runningCalls))
	for i := range b.runningCalls {
		engine := (first + i) % len(b.runningCalls)
		if !b.failed[engine] && (least < 0 || b.estimateLoad(engine) < b.estimateLoad(least)) {
			least = engine
		}
	}

	return least
}

func (b *baselineScheduler) nextRetryTime() (time.Time, bool) { return time.Time{}, false }

func (b *baselineScheduler) callEnded(_ time.Time, c *call) { b.runningCalls[c.engine]-- }

func (b *baselineScheduler) loadReported(engine int, at time.Time, load cacheaware.LoadReport) {
	b.reportedLoads[engine] = load.RunningCalls + load.QueuedCalls
	kept := b.recentSends[engine][:0]
	for _, sent := range b.recentSends[engine] {
		if sent.After(at) {
			kept = append(kept, sent)
		}
	}
	b.recentSends[engine] = kept
}

func (b *baselineScheduler) cacheChanged(int, cacheEvent) {}

func (b *baselineScheduler) cacheEventsLost(int) {}

func (b *baselineScheduler) engineFailed(engine int) { b.failed[engine] = true }

// prefixesOf returns the prefix hashes of a prompt and the length of each prefix in tokens.
func prefixesOf(parts []promptPart) ([]prompt.PrefixHash, []id.Tokens) {
	prefixes := make([]prompt.PrefixHash, len(parts))
	lengths := make([]id.Tokens, len(parts))
	var total id.Tokens
	for i, part := range parts {
		total += part.tokens
		prefixes[i], lengths[i] = part.prefix, total
	}

	return prefixes, lengths
}
