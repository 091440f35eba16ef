package fairqueue

import (
	"time"

	"cardamomward/core/id"
)

// ageingTokensPerSecond is how many tokens of attained service one second of waiting makes up for.
const ageingTokensPerSecond = 400

// programQueue is a program with calls that wait or run; its parallel sub-agents share it.
type programQueue[T any] struct {
	program        id.Program
	attainedTokens float64
	priorityKey    float64
	waiting        indexedHeap[*Entry[T]]
	runningCalls   int
	heapIndex      int
}

func (p *programQueue[T]) less(other *programQueue[T]) bool {
	if p.priorityKey != other.priorityKey {
		return p.priorityKey < other.priorityKey
	}

	return p.waiting.first().seq < other.waiting.first().seq
}

func (p *programQueue[T]) heapIndexRef() *int { return &p.heapIndex }

// updatePriorityKey recomputes the key: attained service, reduced by the age of the oldest waiting call.
func (p *programQueue[T]) updatePriorityKey(baseTime time.Time) {
	p.priorityKey = p.attainedTokens + ageingTokensPerSecond*p.waiting.first().EnqueuedAt.Sub(baseTime).Seconds()
}

// flow is a workspace within a class.
type flow[T any] struct {
	workspace id.Workspace
	// virtualTime is the served tokens divided by the weight, lifted after idle times.
	virtualTime  float64
	weight       float64
	programs     map[id.Program]*programQueue[T]
	ready        indexedHeap[*programQueue[T]]
	runningCalls int
	heapIndex    int
}

func (f *flow[T]) less(other *flow[T]) bool {
	if f.virtualTime != other.virtualTime {
		return f.virtualTime < other.virtualTime
	}

	return f.workspace < other.workspace
}

func (f *flow[T]) heapIndexRef() *int { return &f.heapIndex }

// priorityClass holds the workspaces of one priorityClass of urgency.
type priorityClass[T any] struct {
	flows map[id.Workspace]*flow[T]
	ready indexedHeap[*flow[T]]
	// systemVirtualTime is the virtual time of the flow that waitingBefore served last.
	systemVirtualTime float64
}

// add puts a ticket in its place.
func (c *priorityClass[T]) add(e *Entry[T], baseTime time.Time) {
	f := c.flowFor(e.Item)
	p, ok := f.programs[e.Item.Program]
	if !ok {
		p = &programQueue[T]{program: e.Item.Program, attainedTokens: float64(e.Item.AttainedTokens)}
		f.programs[e.Item.Program] = p
	}
	waitingBefore := p.waiting.len()
	p.waiting.add(e)
	p.updatePriorityKey(baseTime)
	if waitingBefore > 0 {
		f.ready.fix(p)

		return
	}
	f.ready.add(p)
	if f.ready.len() > 1 {
		return
	}
	// The workspace comes back from idle: it may not claim the time that it did not use.
	f.virtualTime = max(f.virtualTime, c.systemVirtualTime)
	c.ready.add(f)
}

func (c *priorityClass[T]) flowFor(item Item) *flow[T] {
	if c.flows == nil {
		c.flows = make(map[id.Workspace]*flow[T])
	}
	f, ok := c.flows[item.Workspace]
	if !ok {
		f = &flow[T]{workspace: item.Workspace, virtualTime: c.systemVirtualTime, programs: make(map[id.Program]*programQueue[T])}
		c.flows[item.Workspace] = f
	}
	f.weight = item.weight()

	return f
}

// remove takes a waiting ticket out.
func (c *priorityClass[T]) remove(e *Entry[T], baseTime time.Time) {
	f := c.flows[e.Item.Workspace]
	p := f.programs[e.Item.Program]
	p.waiting.remove(e)
	if p.waiting.len() > 0 {
		p.updatePriorityKey(baseTime)
		f.ready.fix(p)

		return
	}
	f.ready.remove(p)
	f.removeIdleProgram(p)
	if f.ready.len() == 0 {
		c.ready.remove(f)
		c.removeIdleFlow(f)
	}
}

// chargeEstimate charges the estimated cost of a ticket that is about to be served.
func (c *priorityClass[T]) chargeEstimate(e *Entry[T]) {
	f := c.flows[e.Item.Workspace]
	c.systemVirtualTime = max(c.systemVirtualTime, f.virtualTime)
	f.runningCalls++
	f.programs[e.Item.Program].runningCalls++
	c.addServedTokens(f, f.programs[e.Item.Program], float64(e.Item.EstimatedTokens))
}

// settleCost corrects the estimate once the real cost is known.
func (c *priorityClass[T]) settleCost(item Item, served id.Tokens, baseTime time.Time) {
	f, ok := c.flows[item.Workspace]
	if !ok {
		return
	}
	p, ok := f.programs[item.Program]
	if !ok || p.runningCalls == 0 {
		return
	}
	f.runningCalls--
	p.runningCalls--
	c.addServedTokens(f, p, float64(served-item.EstimatedTokens))
	if p.waiting.len() > 0 {
		p.updatePriorityKey(baseTime)
		f.ready.fix(p)
	}
	f.removeIdleProgram(p)
	c.removeIdleFlow(f)
}

func (c *priorityClass[T]) addServedTokens(f *flow[T], p *programQueue[T], tokens float64) {
	p.attainedTokens += tokens
	f.virtualTime += tokens / f.weight
	if f.ready.len() > 0 {
		c.ready.fix(f)
	}
}

// removeIdleProgram forgets a program that neither waits nor runs.
func (f *flow[T]) removeIdleProgram(p *programQueue[T]) {
	if p.waiting.len() == 0 && p.runningCalls == 0 {
		delete(f.programs, p.program)
	}
}

// removeIdleFlow forgets a workspace that neither waits nor runs and has no more than it is due.
func (c *priorityClass[T]) removeIdleFlow(f *flow[T]) {
	if f.ready.len() == 0 && f.runningCalls == 0 && f.virtualTime <= c.systemVirtualTime {
		delete(c.flows, f.workspace)
	}
}
