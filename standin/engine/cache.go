package engine

import (
	"cmp"
	"container/list"
	"slices"
	"sync"
	"time"

	"cardamomward/core/id"
	"cardamomward/core/prompt"
	protocol "cardamomward/io/engineclient"
)

type cacheEntry struct {
	prefix prompt.PrefixHash
	tokens id.Tokens
	owners map[string]struct{}
}

// maxEvents is how many cache events are kept for readers.
const maxEvents = 4096

// cache is a prefix cache that evicts the least recently used prefixes when it exceeds its capacity.
type cache struct {
	mu       sync.Mutex
	capacity id.Tokens
	used     id.Tokens
	lru      list.List
	byPrefix map[prompt.PrefixHash]*list.Element
	events   []timedEvent
	seq      uint64
	// eventDelay is the delay until events are visible to readers; every dropEveryNth-th event is dropped, or none if it is 0.
	eventDelay   time.Duration
	dropEveryNth uint64
}

// lookup returns the tokens of the longest cached prefix of the messages.
func (c *cache) lookup(messages []prompt.Message) id.Tokens {
	c.mu.Lock()
	defer c.mu.Unlock()
	var tokens id.Tokens
	for i, prefix := range prompt.PrefixHashes(messages) {
		element, ok := c.byPrefix[prefix]
		if !ok {
			break
		}
		c.lru.MoveToFront(element)
		tokens += prompt.EstimateTokens(messages[i])
	}

	return tokens
}

// store adds all prefixes of the messages and an owner of them.
func (c *cache) store(messages []prompt.Message, owner string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byPrefix == nil {
		c.byPrefix = make(map[prompt.PrefixHash]*list.Element)
	}
	prefixes := prompt.PrefixHashes(messages)
	// Longest first, so that the shortest prefix is the most recently used.
	for i := len(prefixes) - 1; i >= 0; i-- {
		c.storePrefix(prefixes[i], prompt.EstimateTokens(messages[i]), owner)
	}
	for c.used > c.capacity && c.lru.Len() > 0 {
		c.evict(c.lru.Back())
	}
}

func (c *cache) storePrefix(prefix prompt.PrefixHash, tokens id.Tokens, owner string) {
	element, ok := c.byPrefix[prefix]
	if !ok {
		entry := &cacheEntry{prefix: prefix, tokens: tokens, owners: make(map[string]struct{})}
		element = c.lru.PushFront(entry)
		c.byPrefix[prefix] = element
		c.used += tokens
		c.recordEvent(protocol.EventStored, entry, owner)
	}
	c.lru.MoveToFront(element)
	if entry, ok := element.Value.(*cacheEntry); ok && owner != "" {
		entry.owners[owner] = struct{}{}
	}
}

func (c *cache) evict(element *list.Element) {
	entry, ok := element.Value.(*cacheEntry)
	if !ok {
		return
	}
	c.lru.Remove(element)
	delete(c.byPrefix, entry.prefix)
	c.used -= entry.tokens
	c.recordEvent(protocol.EventRemoved, entry, "")
}

func (c *cache) recordEvent(kind string, entry *cacheEntry, owner string) {
	c.seq++
	if c.dropEveryNth > 0 && c.seq%c.dropEveryNth == 0 {
		return
	}
	c.events = append(c.events, timedEvent{at: time.Now(), CacheEvent: protocol.CacheEvent{
		Seq: c.seq, Kind: kind, Prefix: entry.prefix, Tokens: entry.tokens, Owner: owner,
	}})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// releaseOwners removes owners and evicts the prefixes that have lost their last owner.
func (c *cache) releaseOwners(owners []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var next *list.Element
	for element := c.lru.Front(); element != nil; element = next {
		next = element.Next()
		entry, ok := element.Value.(*cacheEntry)
		if !ok {
			continue
		}
		held := len(entry.owners) > 0
		for _, owner := range owners {
			delete(entry.owners, owner)
		}
		if held && len(entry.owners) == 0 {
			c.evict(element)
		}
	}
}

// listOwners returns the cached tokens of each owner.
func (c *cache) listOwners() []protocol.CacheOwner {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := make(map[string]id.Tokens)
	for element := c.lru.Front(); element != nil; element = element.Next() {
		entry, ok := element.Value.(*cacheEntry)
		if !ok {
			continue
		}
		for owner := range entry.owners {
			held[owner] += entry.tokens
		}
	}
	owners := make([]protocol.CacheOwner, 0, len(held))
	for owner, tokens := range held {
		owners = append(owners, protocol.CacheOwner{Owner: owner, Tokens: tokens})
	}
	slices.SortFunc(owners, func(a, b protocol.CacheOwner) int { return cmp.Compare(a.Owner, b.Owner) })

	return owners
}

// timedEvent is a cache event and its time.
type timedEvent struct {
	protocol.CacheEvent

	at time.Time
}

// eventsSince returns the visible events from a sequence number on, and the sequence number to continue from.
func (c *cache) eventsSince(from uint64, now time.Time) ([]protocol.CacheEvent, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	events := make([]protocol.CacheEvent, 0)
	for _, event := range c.events {
		if event.at.Add(c.eventDelay).After(now) {
			return events, event.Seq
		}
		if event.Seq >= from {
			events = append(events, event.CacheEvent)
		}
	}

	return events, c.seq + 1
}

func (c *cache) usedTokens() id.Tokens {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.used
}

// clear empties the cache without events, as a restart of the engine does.
func (c *cache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lru.Init()
	c.byPrefix = nil
	c.events = nil
	c.used = 0
	c.seq = 0
}
