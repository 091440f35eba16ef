package fairqueue

import (
	"time"

	"cardamomward/core/id"
)

// ageingTokensPerSecond is the attained service, in tokens, that one second of waiting offsets.
const ageingTokensPerSecond = 400

// programQueue holds the waiting calls of a program, those of its parallel sub-agents included, and counts the
// running ones.
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

// updatePriorityKey recomputes the key; the lowest goes first. It adds the enqueue time of the oldest waiting call,
// counted from baseTime, to the attained service: all calls age alike, so their order does not change with time.
func (p *programQueue[T]) updatePriorityKey(baseTime time.Time) {
	p.priorityKey = p.attainedTokens + ageingTokensPerSecond*p.waiting.first().EnqueuedAt.Sub(baseTime).Seconds()
}

// flow is the queue of one workspace within a priority class.
type flow[T any] struct {
	workspace id.Workspace
	// virtualTime is the served tokens divided by the weight; after an idle time it is raised to the class's
	// systemVirtualTime.
	virtualTime float64
	weight      float64
	programs    map[id.Program]*programQueue[T]
	// readyPrograms are the programs with waiting calls, the lowest priority key first.
	readyPrograms indexedHeap[*programQueue[T]]
	runningCalls  int
	heapIndex     int
}

func (f *flow[T]) less(other *flow[T]) bool {
	if f.virtualTime != other.virtualTime {
		return f.virtualTime < other.virtualTime
	}

	return f.workspace < other.workspace
}

func (f *flow[T]) heapIndexRef() *int { return &f.heapIndex }

// priorityClass holds the flows of the urgent or the routine calls.
type priorityClass[T any] struct {
	flows map[id.Workspace]*flow[T]
	// readyFlows are the flows with waiting calls, the lowest virtual time first.
	readyFlows indexedHeap[*flow[T]]
	// systemVirtualTime is the highest virtual time at which a flow was served.
	systemVirtualTime float64
}

// add queues an entry with its program and workspace.
func (c *priorityClass[T]) add(e *Entry[T], baseTime time.Time) {
	f := c.getOrCreateFlow(e.Item)
	p, ok := f.programs[e.Item.Program]
	if !ok {
		p = &programQueue[T]{program: e.Item.Program, attainedTokens: float64(e.Item.AttainedTokens)}
		f.programs[e.Item.Program] = p
	}
	waitingBefore := p.waiting.len()
	p.waiting.add(e)
	p.updatePriorityKey(baseTime)
	if waitingBefore > 0 {
		f.readyPrograms.fix(p)

		return
	}
	f.readyPrograms.add(p)
	if f.readyPrograms.len() > 1 {
		return
	}
	// A workspace that was idle gets no credit for the time in which it sent no calls.
	f.virtualTime = max(f.virtualTime, c.systemVirtualTime)
	c.readyFlows.add(f)
}

func (c *priorityClass[T]) getOrCreateFlow(item Item) *flow[T] {
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

// remove takes a waiting entry out of its queues.
func (c *priorityClass[T]) remove(e *Entry[T], baseTime time.Time) {
	f := c.flows[e.Item.Workspace]
	p := f.programs[e.Item.Program]
	p.waiting.remove(e)
	if p.waiting.len() > 0 {
		p.updatePriorityKey(baseTime)
		f.readyPrograms.fix(p)

		return
	}
	f.readyPrograms.remove(p)
	f.removeIdleProgram(p)
	if f.readyPrograms.len() == 0 {
		c.readyFlows.remove(f)
		c.removeIdleFlow(f)
	}
}

// chargeEstimate charges the estimated tokens of an entry that is about to be served.
func (c *priorityClass[T]) chargeEstimate(e *Entry[T]) {
	f := c.flows[e.Item.Workspace]
	c.systemVirtualTime = max(c.systemVirtualTime, f.virtualTime)
	f.runningCalls++
	f.programs[e.Item.Program].runningCalls++
	c.addServedTokens(f, f.programs[e.Item.Program], float64(e.Item.EstimatedTokens))
}

// settleCost replaces the estimated by the served tokens once the call has ended.
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
		f.readyPrograms.fix(p)
	}
	f.removeIdleProgram(p)
	c.removeIdleFlow(f)
}

func (c *priorityClass[T]) addServedTokens(f *flow[T], p *programQueue[T], tokens float64) {
	p.attainedTokens += tokens
	f.virtualTime += tokens / f.weight
	if f.readyPrograms.len() > 0 {
		c.readyFlows.fix(f)
	}
}

// removeIdleProgram removes a program that has neither waiting nor running calls.
func (f *flow[T]) removeIdleProgram(p *programQueue[T]) {
	if p.waiting.len() == 0 && p.runningCalls == 0 {
		delete(f.programs, p.program)
	}
}

// removeIdleFlow removes a workspace that has neither waiting nor running calls, unless its virtual time is ahead of
// the class: otherwise its next call would be served as if it had not used more than its share.
func (c *priorityClass[T]) removeIdleFlow(f *flow[T]) {
	if f.readyPrograms.len() == 0 && f.runningCalls == 0 && f.virtualTime <= c.systemVirtualTime {
		delete(c.flows, f.workspace)
	}
}
