package simulation

import (
	"container/list"
	"math"
	"slices"
	"time"

	"cardamomward/core/cacheaware"
	"cardamomward/core/id"
	"cardamomward/core/prompt"
)

// EngineModel holds the parameters of the engines of a run.
type EngineModel struct {
	// MaxConcurrentCalls is the batch size: how many calls an engine runs at a time.
	MaxConcurrentCalls int
	// PrefillTokensPerSecond is the rate of prompt tokens of an engine, shared by the calls in prefill.
	PrefillTokensPerSecond float64
	// TokenInterval is the time between the output tokens of a call that runs alone.
	TokenInterval time.Duration
	// BatchSlowdown is the relative increase of the token interval in a full batch; 1 doubles it.
	BatchSlowdown float64
	// CacheTokens is the capacity of the prefix cache in prompt tokens.
	CacheTokens id.Tokens
}

// engine models continuous batching: calls in prefill share the prefill rate, and the token interval grows with the batch.
type engine struct {
	index         int
	name          id.Upstream
	failureDomain id.FailureDomain
	model         EngineModel
	failed        bool
	running       []*call
	waiting       []*call
	updatedAt     time.Time
	// batchVersion changes with the batch, so that events scheduled for an earlier batch are ignored.
	batchVersion int
	cache        prefixCache
}

// loadReport returns the load that the engine reports now.
func (e *engine) loadReport() cacheaware.LoadReport {
	return cacheaware.LoadReport{
		MaxConcurrentCalls: e.model.MaxConcurrentCalls, RunningCalls: len(e.running), QueuedCalls: len(e.waiting), PrefillTokensPerSecond: e.model.PrefillTokensPerSecond,
	}
}

// advanceTo updates the progress of all running calls to the given time.
func (e *engine) advanceTo(now time.Time) {
	elapsed := now.Sub(e.updatedAt).Seconds()
	e.updatedAt = now
	prefillRate, decodeRate := e.tokenRates()
	for _, c := range e.running {
		if c.prefillTokensLeft > 0 {
			c.prefillTokensLeft = max(0, c.prefillTokensLeft-elapsed*prefillRate)
		} else {
			c.decodeTokensLeft = max(0, c.decodeTokensLeft-elapsed*decodeRate)
		}
	}
}

// tokenRates returns the prompt and output tokens per second of each running call.
func (e *engine) tokenRates() (prefillRate, decodeRate float64) {
	prefilling := 0
	for _, c := range e.running {
		if c.prefillTokensLeft > 0 {
			prefilling++
		}
	}
	batch := float64(len(e.running)) / float64(e.model.MaxConcurrentCalls)

	return e.model.PrefillTokensPerSecond / float64(max(1, prefilling)), 1 / (e.model.TokenInterval.Seconds() * (1 + e.model.BatchSlowdown*batch))
}

// timeToNextPhase returns the time until a call ends its prefill or its decoding, and false if none runs.
func (e *engine) timeToNextPhase() (time.Duration, bool) {
	prefillRate, decodeRate := e.tokenRates()
	shortest := math.Inf(1)
	for _, c := range e.running {
		secondsLeft := c.decodeTokensLeft / decodeRate
		if c.prefillTokensLeft > 0 {
			secondsLeft = c.prefillTokensLeft / prefillRate
		}
		shortest = min(shortest, secondsLeft)
	}

	return time.Duration(math.Ceil(shortest * float64(time.Second))), len(e.running) > 0
}

// removeFinished removes the calls that have ended from the batch and returns them.
func (e *engine) removeFinished() []*call {
	const tokenTolerance = 1e-6
	var done []*call
	running := e.running[:0]
	for _, c := range e.running {
		if c.prefillTokensLeft <= tokenTolerance && c.prefillTokensLeft > 0 {
			c.prefillTokensLeft = 0
		}
		if c.prefillTokensLeft == 0 && c.decodeTokensLeft <= tokenTolerance {
			done = append(done, c)
		} else {
			running = append(running, c)
		}
	}
	e.running = running

	return done
}

// enqueue adds a call to the engine's queue. With priorities, urgent calls go before routine ones.
func (e *engine) enqueue(c *call, priorities bool) {
	if !priorities || !c.item.Urgent {
		e.waiting = append(e.waiting, c)

		return
	}
	index := slices.IndexFunc(e.waiting, func(w *call) bool { return !w.item.Urgent })
	if index < 0 {
		index = len(e.waiting)
	}
	e.waiting = slices.Insert(e.waiting, index, c)
}

// startWaitingCalls moves waiting calls into the batch while it has room and returns them.
func (e *engine) startWaitingCalls() []*call {
	var started []*call
	for len(e.running) < e.model.MaxConcurrentCalls && len(e.waiting) > 0 {
		c := e.waiting[0]
		e.waiting = e.waiting[1:]
		c.cachedTokens = e.cache.lookup(c.promptParts)
		c.prefillTokensLeft = float64(c.promptTokens - c.cachedTokens)
		c.decodeTokensLeft = float64(c.outputTokens)
		e.running = append(e.running, c)
		started = append(started, c)
	}

	return started
}

// promptPart is a part of a prompt: the hash of the prefix that ends with it, and its own length in tokens.
type promptPart struct {
	prefix prompt.PrefixHash
	tokens id.Tokens
}

// cacheEvent reports that an engine stored or removed a prefix; tokens is the length of its last part.
type cacheEvent struct {
	prefix prompt.PrefixHash
	tokens id.Tokens
	stored bool
}

// prefixCache is an LRU cache of prompt prefixes with a capacity in tokens.
type prefixCache struct {
	capacityTokens id.Tokens
	usedTokens     id.Tokens
	lru            list.List
	entries        map[prompt.PrefixHash]*list.Element
	events         []cacheEvent
}

// lookup returns the length of the longest cached prefix in tokens and marks its parts as used.
func (c *prefixCache) lookup(parts []promptPart) id.Tokens {
	var tokens id.Tokens
	for _, part := range parts {
		element, ok := c.entries[part.prefix]
		if !ok {
			break
		}
		c.lru.MoveToFront(element)
		tokens += part.tokens
	}

	return tokens
}

// store adds the parts of a prompt and evicts the least recently used ones beyond the capacity. A part counts as older
// than those before it, so that a prefix is not evicted before its extensions.
func (c *prefixCache) store(parts []promptPart) {
	if c.entries == nil {
		c.entries = make(map[prompt.PrefixHash]*list.Element)
	}
	for _, part := range slices.Backward(parts) {
		if element, ok := c.entries[part.prefix]; ok {
			c.lru.MoveToFront(element)

			continue
		}
		c.entries[part.prefix] = c.lru.PushFront(part)
		c.usedTokens += part.tokens
		c.events = append(c.events, cacheEvent{prefix: part.prefix, tokens: part.tokens, stored: true})
	}
	for c.usedTokens > c.capacityTokens {
		c.evict()
	}
}

func (c *prefixCache) evict() {
	element := c.lru.Back()
	if part, ok := c.lru.Remove(element).(promptPart); ok {
		delete(c.entries, part.prefix)
		c.usedTokens -= part.tokens
		c.events = append(c.events, cacheEvent{prefix: part.prefix, tokens: part.tokens})
	}
}

// takeEvents returns the events since the last call.
func (c *prefixCache) takeEvents() []cacheEvent {
	events := c.events
	c.events = nil

	return events
}
