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
	// recordCallEnd records that a call ended, or was lost, at its engine.
	recordCallEnd(now time.Time, c *call)
	// recordLoad records the load that an engine reported for a time.
	recordLoad(engine int, at time.Time, load cacheaware.LoadReport)
	// applyCacheEvent records that an engine stored or removed a prefix; at is when the event arrived.
	applyCacheEvent(engine int, at time.Time, e cacheEvent)
	// recordEventGap records that cache events of an engine were lost.
	recordEventGap(engine int)
	// markEngineFailed excludes a failed engine from further calls.
	markEngineFailed(engine int)
}

// productionScheduler schedules with the packages of the daemon: fair queue, admission control and cache-aware balancer.
type productionScheduler struct {
	queue            fairqueue.Queue[*call]
	balancer         cacheaware.Balancer
	admissionControl admission.Controller
	engines          []*engine
	engineIndexes    map[id.Upstream]int
	failureDomain    id.FailureDomain
	backlog          admission.Backlog
	callTimeout      time.Duration
}

func newProductionScheduler(engines []*engine, domain id.FailureDomain, hosts int, timeout time.Duration, seed uint64) *productionScheduler {
	s := &productionScheduler{engines: engines, failureDomain: domain, callTimeout: timeout, engineIndexes: make(map[id.Upstream]int)}
	s.balancer.HostCount = hosts
	s.balancer.SetRandomSeed(seed)
	for i, e := range engines {
		s.balancer.SetUpstream(e.name, e.failureDomain)
		s.engineIndexes[e.name] = i
	}

	return s
}

func (s *productionScheduler) submit(now time.Time, c *call) (time.Duration, bool) {
	admissionCall := admission.Call{TimeToDeadline: s.callTimeout, ContinuesProgram: c.turn > 0, Urgent: c.item.Urgent}
	if retryAfter, ok := s.admissionControl.Admit(now, admissionCall, s.backlog); !ok {
		return retryAfter, false
	}
	s.queue.Push(now, c.item, c)
	s.adjustBacklog(c, 1)

	return 0, true
}

func (s *productionScheduler) adjustBacklog(c *call, delta int) {
	if c.item.Urgent {
		s.backlog.Urgent += delta
	} else {
		s.backlog.Routine += delta
	}
}

func (s *productionScheduler) nextCall(now time.Time) (*call, int, bool) {
	var picked id.Upstream
	entry, ok := s.queue.Pop(now, func(waiting *fairqueue.Entry[*call]) fairqueue.AdmitResult {
		c := waiting.Value
		var result cacheaware.Result
		picked, result = s.balancer.Pick(now, &cacheaware.Request{
			PromptTokens: c.promptTokens, FailureDomain: s.failureDomain, Prefixes: c.prefixes, PrefixTokens: c.prefixTokens,
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
	s.balancer.StartCall(picked, now)
	s.admissionControl.RecordDispatch(now)
	s.adjustBacklog(entry.Value, -1)

	return entry.Value, s.engineIndexes[picked], true
}

func (s *productionScheduler) nextRetryTime() (time.Time, bool) { return s.queue.NextRetryTime() }

func (s *productionScheduler) recordCallEnd(now time.Time, c *call) {
	name := s.engines[c.engine].name
	s.balancer.FinishCall(name, now)
	s.admissionControl.RecordDuration(now.Sub(c.sentAt))
	if c.isLost {
		s.queue.SettleCost(c.item, 0)

		return
	}
	s.queue.SettleCost(c.item, c.promptTokens-c.cachedTokens+c.outputTokens)
	for _, part := range c.promptAndAnswerParts {
		s.balancer.AddCachedPrefix(name, part.prefix)
	}
}

func (s *productionScheduler) recordLoad(engine int, at time.Time, load cacheaware.LoadReport) {
	s.balancer.RecordLoad(s.engines[engine].name, at, load)
}

func (s *productionScheduler) applyCacheEvent(engine int, at time.Time, e cacheEvent) {
	if e.stored {
		s.balancer.AddCachedPrefix(s.engines[engine].name, e.prefix)
		s.balancer.RecordStoredTokens(s.engines[engine].name, at, e.tokens)
	} else {
		s.balancer.RemoveCachedPrefix(s.engines[engine].name, e.prefix)
	}
}

func (s *productionScheduler) recordEventGap(engine int) {
	s.balancer.RecordEventGap(s.engines[engine].name)
}

func (s *productionScheduler) markEngineFailed(engine int) {
	s.balancer.ClearCache(s.engines[engine].name)
	s.balancer.SetAvailable(s.engines[engine].name, false)
}

// baselineScheduler sends calls in the order of arrival and picks engines by a simple rule.
type baselineScheduler struct {
	policy               Policy
	rng                  *rand.Rand
	waiting              []*call
	reportedLoads        []int
	sendTimesSinceReport [][]time.Time
	maxConcurrentCalls   int
	runningCalls         []int
	failed               []bool
	lastEngine           int
	engineOfProgram      map[id.Program]int
}

func newBaselineScheduler(policy Policy, engines []*engine, seed uint64) *baselineScheduler {
	n := len(engines)
	rng := rand.New(rand.NewPCG(seed, 7))

	return &baselineScheduler{
		policy: policy, rng: rng, reportedLoads: make([]int, n), sendTimesSinceReport: make([][]time.Time, n), runningCalls: make([]int, n),
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
	b.sendTimesSinceReport[engine] = append(b.sendTimesSinceReport[engine], now)

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
	return max(b.runningCalls[engine], b.reportedLoads[engine]+len(b.sendTimesSinceReport[engine]))
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

func (b *baselineScheduler) recordCallEnd(_ time.Time, c *call) { b.runningCalls[c.engine]-- }

func (b *baselineScheduler) recordLoad(engine int, at time.Time, load cacheaware.LoadReport) {
	b.reportedLoads[engine] = load.RunningCalls + load.QueuedCalls
	kept := b.sendTimesSinceReport[engine][:0]
	for _, sent := range b.sendTimesSinceReport[engine] {
		if sent.After(at) {
			kept = append(kept, sent)
		}
	}
	b.sendTimesSinceReport[engine] = kept
}

func (b *baselineScheduler) applyCacheEvent(int, time.Time, cacheEvent) {}

func (b *baselineScheduler) recordEventGap(int) {}

func (b *baselineScheduler) markEngineFailed(engine int) { b.failed[engine] = true }

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
