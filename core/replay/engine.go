package replay

import (
	"container/list"
	"math"
	"slices"
	"time"

	"cardamomward/core/cacheaware"
	"cardamomward/core/id"
	"cardamomward/core/prompt"
)

// EngineModel describes all engines of a run.
type EngineModel struct {
	// Slots is how many calls an engine runs at a time.
	Slots int
	// Prefill is how many prompt tokens an engine computes a second.
	Prefill float64
	// Interval is the time between a call's tokens when it runs alone.
	Interval time.Duration
	// Growth is how many times the interval grows by until the batch is full.
	Growth float64
	// Cache is how many prompt tokens an engine keeps.
	Cache id.Tokens
}

// engine is a simple model of continuous batching: calls share the prefill rate, and tokens come slower in a
// larger batch.
type engine struct {
	index   int
	name    id.Upstream
	domain  id.FailureDomain
	model   EngineModel
	dead    bool
	running []*call
	waiting []*call
	updated time.Time
	version int
	cache   prefixCache
}

// load returns what the engine would report now.
func (e *engine) load() cacheaware.LoadReport {
	return cacheaware.LoadReport{
		MaxConcurrentCalls: e.model.Slots, RunningCalls: len(e.running), QueuedCalls: len(e.waiting), PrefillTokensPerSecond: e.model.Prefill,
	}
}

// advance brings the progress of all calls up to now.
func (e *engine) advance(now time.Time) {
	elapsed := now.Sub(e.updated).Seconds()
	e.updated = now
	prefill, decode := e.rates()
	for _, c := range e.running {
		if c.prefill > 0 {
			c.prefill = max(0, c.prefill-elapsed*prefill)
		} else {
			c.decode = max(0, c.decode-elapsed*decode)
		}
	}
}

// rates returns the prompt and answer tokens that each call gets a second.
func (e *engine) rates() (prefill, decode float64) {
	prefilling := 0
	for _, c := range e.running {
		if c.prefill > 0 {
			prefilling++
		}
	}
	batch := float64(len(e.running)) / float64(e.model.Slots)

	return e.model.Prefill / float64(max(1, prefilling)), 1 / (e.model.Interval.Seconds() * (1 + e.model.Growth*batch))
}

// next returns the time until a call finishes a phase, and false while none runs.
func (e *engine) next() (time.Duration, bool) {
	prefill, decode := e.rates()
	shortest := math.Inf(1)
	for _, c := range e.running {
		left := c.decode / decode
		if c.prefill > 0 {
			left = c.prefill / prefill
		}
		shortest = min(shortest, left)
	}

	return time.Duration(math.Ceil(shortest * float64(time.Second))), len(e.running) > 0
}

// finished takes out the calls that have ended.
func (e *engine) finished() []*call {
	const residue = 1e-6
	var done []*call
	kept := e.running[:0]
	for _, c := range e.running {
		if c.prefill <= residue && c.prefill > 0 {
			c.prefill = 0
		}
		if c.prefill == 0 && c.decode <= residue {
			done = append(done, c)
		} else {
			kept = append(kept, c)
		}
	}
	e.running = kept

	return done
}

// accept takes a call in; urgent ones wait before routine ones.
func (e *engine) accept(c *call, priorities bool) {
	if !priorities || !c.item.Urgent {
		e.waiting = append(e.waiting, c)

		return
	}
	at := slices.IndexFunc(e.waiting, func(w *call) bool { return !w.item.Urgent })
	if at < 0 {
		at = len(e.waiting)
	}
	e.waiting = slices.Insert(e.waiting, at, c)
}

// start moves waiting calls into the batch and returns them.
func (e *engine) start() []*call {
	var started []*call
	for len(e.running) < e.model.Slots && len(e.waiting) > 0 {
		c := e.waiting[0]
		e.waiting = e.waiting[1:]
		c.cached = e.cache.lookup(c.chain)
		c.prefill = float64(c.promptTokens - c.cached)
		c.decode = float64(c.output)
		e.running = append(e.running, c)
		started = append(started, c)
	}

	return started
}

// link is a part of a prompt: the prefix that ends with it and its own length.
type link struct {
	prefix prompt.PrefixHash
	tokens id.Tokens
}

// cacheEvent says that an engine stored or removed a prefix.
type cacheEvent struct {
	prefix prompt.PrefixHash
	stored bool
}

// prefixCache evicts the least recently used prefix beyond its capacity.
type prefixCache struct {
	capacity id.Tokens
	used     id.Tokens
	order    list.List
	entries  map[prompt.PrefixHash]*list.Element
	events   []cacheEvent
}

func (c *prefixCache) lookup(chain []link) id.Tokens {
	var tokens id.Tokens
	for _, l := range chain {
		element, ok := c.entries[l.prefix]
		if !ok {
			break
		}
		c.order.MoveToFront(element)
		tokens += l.tokens
	}

	return tokens
}

func (c *prefixCache) store(chain []link) {
	if c.entries == nil {
		c.entries = make(map[prompt.PrefixHash]*list.Element)
	}
	for _, l := range slices.Backward(chain) {
		if element, ok := c.entries[l.prefix]; ok {
			c.order.MoveToFront(element)

			continue
		}
		c.entries[l.prefix] = c.order.PushFront(l)
		c.used += l.tokens
		c.events = append(c.events, cacheEvent{prefix: l.prefix, stored: true})
	}
	for c.used > c.capacity {
		c.evict()
	}
}

func (c *prefixCache) evict() {
	element := c.order.Back()
	if l, ok := c.order.Remove(element).(link); ok {
		delete(c.entries, l.prefix)
		c.used -= l.tokens
		c.events = append(c.events, cacheEvent{prefix: l.prefix})
	}
}

// drain returns the events since the last call.
func (c *prefixCache) drain() []cacheEvent {
	events := c.events
	c.events = nil

	return events
}
