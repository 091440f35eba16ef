package affinity

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"cardamomward/core/id"
)

const (
	// cacheTTL is the assumed lifetime of a part in an upstream's cache after its last read.
	cacheTTL = 20 * time.Second
	// announceInterval is the age from which a repeated read of a part is announced to other hosts again.
	announceInterval = 3 * time.Second
)

// PromptPartHash is the hash of the name of a prompt part that several programs share.
type PromptPartHash uint64

// HashPromptPart returns the hash of a prompt part's name.
func HashPromptPart(name string) PromptPartHash { return PromptPartHash(xxhash.Sum64String(name)) }

// CacheIndex records which upstreams have which prompt parts in their cache; its zero value is empty.
type CacheIndex struct {
	lastReadAt map[id.Upstream]map[PromptPartHash]time.Time
}

// RecordRead records that an upstream reads a prompt with the given part, and reports whether the caller should announce
// this to other hosts.
func (c *CacheIndex) RecordRead(now time.Time, upstream id.Upstream, part PromptPartHash) bool {
	if c.lastReadAt == nil {
		c.lastReadAt = make(map[id.Upstream]map[PromptPartHash]time.Time)
	}
	parts := c.lastReadAt[upstream]
	if parts == nil {
		parts = make(map[PromptPartHash]time.Time)
		c.lastReadAt[upstream] = parts
	}
	last, known := parts[part]
	parts[part] = now

	return !known || now.Sub(last) > announceInterval
}

// IsCached reports whether an upstream is assumed to have a part in its cache, because it read the part in the last 20 s.
func (c *CacheIndex) IsCached(now time.Time, upstream id.Upstream, part PromptPartHash) bool {
	last, ok := c.lastReadAt[upstream][part]

	return ok && now.Sub(last) <= cacheTTL
}

// CountCached returns the number of parts that an upstream is assumed to have in its cache.
func (c *CacheIndex) CountCached(now time.Time, upstream id.Upstream) int {
	count := 0
	for _, last := range c.lastReadAt[upstream] {
		if now.Sub(last) <= cacheTTL {
			count++
		}
	}

	return count
}

// RemoveUpstream removes all parts of an upstream whose process has restarted with an empty cache.
func (c *CacheIndex) RemoveUpstream(upstream id.Upstream) { delete(c.lastReadAt, upstream) }

// RemoveExpired removes parts that were last read more than 20 s ago.
func (c *CacheIndex) RemoveExpired(now time.Time) {
	for upstream, parts := range c.lastReadAt {
		for part, last := range parts {
			if now.Sub(last) > cacheTTL {
				delete(parts, part)
			}
		}
		if len(parts) == 0 {
			delete(c.lastReadAt, upstream)
		}
	}
}
