package replay

import (
	"math/rand/v2"
	"time"

	"cardamomward/core/admission"
	"cardamomward/core/cacheaware"
	"cardamomward/core/fairqueue"
	"cardamomward/core/id"
	"cardamomward/core/prompt"
)

// Policy names a way to decide.
type Policy string

// The policy of this project and those to compare with.
const (
	Cardamomward Policy = "cardamomward"
	FirstCome    Policy = "first come first served"
	RoundRobin   Policy = "round robin"
	LeastLoaded  Policy = "least loaded"
	Sticky       Policy = "sticky by program"
)

// Policies are all policies, the project's own first.
func Policies() []Policy { return []Policy{Cardamomward, FirstCome, RoundRobin, LeastLoaded, Sticky} }

// scheduler is what one host decides with.
type scheduler interface {
	// push takes a call, or refuses it with when to come back.
	push(now time.Time, c *call) (retryAfter time.Duration, ok bool)
	// next returns a call to send now and the engine for it.
	next(now time.Time) (*call, int, bool)
	// retry returns when next may find more without any other change.
	retry() (time.Time, bool)
	ended(now time.Time, c *call)
	report(engine int, at time.Time, load cacheaware.LoadReport)
	event(engine int, e cacheEvent)
	gap(engine int)
	lost(engine int)
}

// own schedules with the decisions of this project.
type own struct {
	queue   fairqueue.Queue[*call]
	index   cacheaware.Balancer
	gate    admission.Controller
	engines []*engine
	byName  map[id.Upstream]int
	domain  id.FailureDomain
	waiting admission.Backlog
	timeout time.Duration
}

func newOwn(engines []*engine, domain id.FailureDomain, hosts int, timeout time.Duration, seed uint64) *own {
	o := &own{engines: engines, domain: domain, timeout: timeout, byName: make(map[id.Upstream]int)}
	o.index.HostCount = hosts
	o.index.SetRandomSeed(seed)
	for i, e := range engines {
		o.index.SetUpstream(e.name, e.domain)
		o.byName[e.name] = i
	}

	return o
}

func (o *own) push(now time.Time, c *call) (time.Duration, bool) {
	want := admission.Call{TimeToDeadline: o.timeout, ContinuesProgram: c.turn > 0, Urgent: c.item.Urgent}
	if after, ok := o.gate.Admit(now, want, o.waiting); !ok {
		return after, false
	}
	o.queue.Push(now, c.item, c)
	o.count(c, 1)

	return 0, true
}

func (o *own) count(c *call, delta int) {
	if c.item.Urgent {
		o.waiting.Urgent += delta
	} else {
		o.waiting.Routine += delta
	}
}

func (o *own) next(now time.Time) (*call, int, bool) {
	var chosen id.Upstream
	ticket, ok := o.queue.Pop(now, func(t *fairqueue.Entry[*call]) fairqueue.AdmitResult {
		c := t.Value
		var outcome cacheaware.Result
		chosen, outcome = o.index.Pick(now, &cacheaware.Request{
			PromptTokens: c.promptTokens, FailureDomain: o.domain, Prefixes: c.prefixes, PrefixTokens: c.lengths,
			Urgent: c.item.Urgent, ContinuesProgram: c.turn > 0, WaitTime: now.Sub(t.EnqueuedAt),
		})
		switch outcome {
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
	o.index.StartCall(chosen, now)
	o.gate.RecordDispatch(now)
	o.count(ticket.Value, -1)

	return ticket.Value, o.byName[chosen], true
}

func (o *own) retry() (time.Time, bool) { return o.queue.NextRetryTime() }

func (o *own) ended(now time.Time, c *call) {
	name := o.engines[c.engine].name
	o.index.FinishCall(name, now)
	o.gate.RecordDuration(now.Sub(c.sent))
	if c.failed {
		o.queue.SettleCost(c.item, 0)

		return
	}
	o.queue.SettleCost(c.item, c.promptTokens-c.cached+c.output)
	for _, l := range c.stored {
		o.index.AddCachedPrefix(name, l.prefix)
	}
}

func (o *own) report(engine int, at time.Time, load cacheaware.LoadReport) {
	o.index.RecordLoad(o.engines[engine].name, at, load)
}

func (o *own) event(engine int, e cacheEvent) {
	if e.stored {
		o.index.AddCachedPrefix(o.engines[engine].name, e.prefix)
	} else {
		o.index.RemoveCachedPrefix(o.engines[engine].name, e.prefix)
	}
}

func (o *own) gap(engine int) { o.index.RecordEventGap(o.engines[engine].name) }

func (o *own) lost(engine int) {
	o.index.ClearCache(o.engines[engine].name)
	o.index.SetAvailable(o.engines[engine].name, false)
}

// baseline schedules in the order of arrival with a simple rule of placement.
type baseline struct {
	policy  Policy
	rng     *rand.Rand
	waiting []*call
	loads   []int
	sends   [][]time.Time
	slots   int
	own     []int
	dead    []bool
	turn    int
	sticky  map[id.Program]int
}

func newBaseline(policy Policy, engines []*engine, seed uint64) *baseline {
	n := len(engines)
	rng := rand.New(rand.NewPCG(seed, 7))

	return &baseline{
		policy: policy, rng: rng, loads: make([]int, n), sends: make([][]time.Time, n), own: make([]int, n),
		slots: engines[0].model.Slots, dead: make([]bool, n), turn: rng.IntN(n), sticky: make(map[id.Program]int),
	}
}

func (b *baseline) push(_ time.Time, c *call) (time.Duration, bool) {
	b.waiting = append(b.waiting, c)

	return 0, true
}

func (b *baseline) next(now time.Time) (*call, int, bool) {
	if len(b.waiting) == 0 {
		return nil, 0, false
	}
	c := b.waiting[0]
	engine, ok := b.pick(c)
	if !ok {
		return nil, 0, false
	}
	b.waiting = b.waiting[1:]
	b.own[engine]++
	b.sends[engine] = append(b.sends[engine], now)

	return c, engine, true
}

func (b *baseline) pick(c *call) (int, bool) {
	switch b.policy {
	case RoundRobin:
		for {
			b.turn = (b.turn + 1) % len(b.own)
			if !b.dead[b.turn] {
				return b.turn, true
			}
		}
	case Sticky:
		if engine, ok := b.sticky[c.program.ID]; ok && !b.dead[engine] {
			return engine, true
		}
		engine := b.least()
		b.sticky[c.program.ID] = engine

		return engine, true
	case FirstCome:
		engine := b.least()

		return engine, b.load(engine) < b.slots
	default:
		return b.least(), true
	}
}

func (b *baseline) load(engine int) int {
	return max(b.own[engine], b.loads[engine]+len(b.sends[engine]))
}

func (b *baseline) least() int {
	best := -1
	first := b.rng.IntN(len(b.own))
	for i := range b.own {
		engine := (first + i) % len(b.own)
		if !b.dead[engine] && (best < 0 || b.load(engine) < b.load(best)) {
			best = engine
		}
	}

	return best
}

func (b *baseline) retry() (time.Time, bool) { return time.Time{}, false }

func (b *baseline) ended(_ time.Time, c *call) { b.own[c.engine]-- }

func (b *baseline) report(engine int, at time.Time, load cacheaware.LoadReport) {
	b.loads[engine] = load.RunningCalls + load.QueuedCalls
	kept := b.sends[engine][:0]
	for _, sent := range b.sends[engine] {
		if sent.After(at) {
			kept = append(kept, sent)
		}
	}
	b.sends[engine] = kept
}

func (b *baseline) event(int, cacheEvent) {}

func (b *baseline) gap(int) {}

func (b *baseline) lost(engine int) { b.dead[engine] = true }

// lengthsOf returns the prefixes of a chain and the length of each.
func lengthsOf(chain []link) ([]prompt.PrefixHash, []id.Tokens) {
	prefixes := make([]prompt.PrefixHash, len(chain))
	lengths := make([]id.Tokens, len(chain))
	var total id.Tokens
	for i, l := range chain {
		total += l.tokens
		prefixes[i], lengths[i] = l.prefix, total
	}

	return prefixes, lengths
}
