package queue

import (
	"time"

	"cardamomward/core/id"
)

// ageing is how many tokens of attained service one second of waiting makes up for.
const ageing = 400

// chain is a program with calls that wait or run; its parallel sub-agents share it.
type chain[T any] struct {
	program  id.Program
	attained float64
	key      float64
	waiting  tree[*Ticket[T]]
	running  int
	index    int
}

func (c *chain[T]) before(other *chain[T]) bool {
	if c.key != other.key {
		return c.key < other.key
	}

	return c.waiting.first().seq < other.waiting.first().seq
}

func (c *chain[T]) place() *int { return &c.index }

// rank recomputes the key: attained service, reduced by the age of the oldest waiting call.
func (c *chain[T]) rank(origin time.Time) {
	c.key = c.attained + ageing*c.waiting.first().Enqueued.Sub(origin).Seconds()
}

// flow is a workspace within a class.
type flow[T any] struct {
	workspace id.Workspace
	// virtual is the served tokens divided by the weight, lifted after idle times.
	virtual float64
	weight  float64
	chains  map[id.Program]*chain[T]
	ready   tree[*chain[T]]
	running int
	index   int
}

func (f *flow[T]) before(other *flow[T]) bool {
	if f.virtual != other.virtual {
		return f.virtual < other.virtual
	}

	return f.workspace < other.workspace
}

func (f *flow[T]) place() *int { return &f.index }

// class holds the workspaces of one class of urgency.
type class[T any] struct {
	flows map[id.Workspace]*flow[T]
	ready tree[*flow[T]]
	// floor is the virtual time of the flow that was served last.
	floor float64
}

// add puts a ticket in its place.
func (c *class[T]) add(t *Ticket[T], origin time.Time) {
	f := c.flow(t.Item)
	p, ok := f.chains[t.Item.Program]
	if !ok {
		p = &chain[T]{program: t.Item.Program, attained: float64(t.Item.Attained)}
		f.chains[t.Item.Program] = p
	}
	was := p.waiting.len()
	p.waiting.add(t)
	p.rank(origin)
	if was > 0 {
		f.ready.fix(p)

		return
	}
	f.ready.add(p)
	if f.ready.len() > 1 {
		return
	}
	// The workspace comes back from idle: it may not claim the time that it did not use.
	f.virtual = max(f.virtual, c.floor)
	c.ready.add(f)
}

func (c *class[T]) flow(item Item) *flow[T] {
	if c.flows == nil {
		c.flows = make(map[id.Workspace]*flow[T])
	}
	f, ok := c.flows[item.Workspace]
	if !ok {
		f = &flow[T]{workspace: item.Workspace, virtual: c.floor, chains: make(map[id.Program]*chain[T])}
		c.flows[item.Workspace] = f
	}
	f.weight = item.weight()

	return f
}

// remove takes a waiting ticket out.
func (c *class[T]) remove(t *Ticket[T], origin time.Time) {
	f := c.flows[t.Item.Workspace]
	p := f.chains[t.Item.Program]
	p.waiting.remove(t)
	if p.waiting.len() > 0 {
		p.rank(origin)
		f.ready.fix(p)

		return
	}
	f.ready.remove(p)
	f.tidy(p)
	if f.ready.len() == 0 {
		c.ready.remove(f)
		c.tidy(f)
	}
}

// begin charges the estimated cost of a ticket that is about to be served.
func (c *class[T]) begin(t *Ticket[T]) {
	f := c.flows[t.Item.Workspace]
	c.floor = max(c.floor, f.virtual)
	f.running++
	f.chains[t.Item.Program].running++
	c.charge(f, f.chains[t.Item.Program], float64(t.Item.Cost))
}

// end corrects the estimate once the real cost is known.
func (c *class[T]) end(item Item, served id.Tokens, origin time.Time) {
	f, ok := c.flows[item.Workspace]
	if !ok {
		return
	}
	p, ok := f.chains[item.Program]
	if !ok || p.running == 0 {
		return
	}
	f.running--
	p.running--
	c.charge(f, p, float64(served-item.Cost))
	if p.waiting.len() > 0 {
		p.rank(origin)
		f.ready.fix(p)
	}
	f.tidy(p)
	c.tidy(f)
}

func (c *class[T]) charge(f *flow[T], p *chain[T], tokens float64) {
	p.attained += tokens
	f.virtual += tokens / f.weight
	if f.ready.len() > 0 {
		c.ready.fix(f)
	}
}

// tidy forgets a program that neither waits nor runs.
func (f *flow[T]) tidy(p *chain[T]) {
	if p.waiting.len() == 0 && p.running == 0 {
		delete(f.chains, p.program)
	}
}

// tidy forgets a workspace that neither waits nor runs and has no more than it is due.
func (c *class[T]) tidy(f *flow[T]) {
	if f.ready.len() == 0 && f.running == 0 && f.virtual <= c.floor {
		delete(c.flows, f.workspace)
	}
}
