package affinity

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"cardamomward/core/id"
)

const (
	// cacheTTL is how long an upstream is assumed to cache a part after it last read it.
	cacheTTL = 20 * time.Second
	// announceInterval is the age from which a repeated read of a part is announced to other hosts again.
	announceInterval = 3 * time.Second
)

// PromptPart is the hash of the name of a shared part of prompts.
type PromptPart uint64

// NewPromptPart returns the part with the given name.
func NewPromptPart(name string) PromptPart { return PromptPart(xxhash.Sum64String(name)) }

// CacheIndex records which upstreams have which parts in their cache; its zero value is empty.
type CacheIndex struct {
	upstreams map[id.Upstream]map[PromptPart]time.Time
}

// RecordRead records that an upstream reads a part, and reports whether to announce it to other hosts.
func (c *CacheIndex) RecordRead(now time.Time, upstream id.Upstream, part PromptPart) bool {
	if c.upstreams == nil {
		c.upstreams = make(map[id.Upstream]map[PromptPart]time.Time)
	}
	parts := c.upstreams[upstream]
	if parts == nil {
		parts = make(map[PromptPart]time.Time)
		c.upstreams[upstream] = parts
	}
	last, known := parts[part]
	parts[part] = now

	return !known || now.Sub(last) > announceInterval
}

// IsCached reports whether an upstream is assumed to have a part in its cache.
func (c *CacheIndex) IsCached(now time.Time, upstream id.Upstream, part PromptPart) bool {
	last, ok := c.upstreams[upstream][part]

	return ok && now.Sub(last) <= cacheTTL
}

// RemoveUpstream removes all parts of an upstream whose process has restarted with an empty cache.
func (c *CacheIndex) RemoveUpstream(upstream id.Upstream) { delete(c.upstreams, upstream) }

// RemoveExpired removes parts that were last read longer ago than cacheTTL.
func (c *CacheIndex) RemoveExpired(now time.Time) {
	for upstream, parts := range c.upstreams {
		for part, last := range parts {
			if now.Sub(last) > cacheTTL {
				delete(parts, part)
			}
		}
		if len(parts) == 0 {
			delete(c.upstreams, upstream)
		}
	}
}
