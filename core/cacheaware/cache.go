package cacheaware

import (
	"cardamomward/core/id"
	"cardamomward/core/prompt"
)

// AddCachedPrefix records that an upstream has cached a prefix.
func (b *Balancer) AddCachedPrefix(upstream id.Upstream, prefix prompt.PrefixHash) {
	s, ok := b.upstreams[upstream]
	if !ok {
		return
	}
	if h, ok := s.cachedPrefixes[prefix]; ok {
		h.confirmedAtGap = s.eventGaps

		return
	}
	if s.cachedPrefixes == nil {
		s.cachedPrefixes = make(map[prompt.PrefixHash]*cachedPrefix)
	}
	h := &cachedPrefix{upstream: s, confirmedAtGap: s.eventGaps, holderIndex: len(b.holders[prefix])}
	s.cachedPrefixes[prefix] = h
	b.holders[prefix] = append(b.holders[prefix], h)
}

// RemoveCachedPrefix records that an upstream has evicted a prefix.
func (b *Balancer) RemoveCachedPrefix(upstream id.Upstream, prefix prompt.PrefixHash) {
	s, ok := b.upstreams[upstream]
	if !ok {
		return
	}
	h, ok := s.cachedPrefixes[prefix]
	if !ok {
		return
	}
	delete(s.cachedPrefixes, prefix)
	list := b.holders[prefix]
	last := len(list) - 1
	list[h.holderIndex] = list[last]
	list[h.holderIndex].holderIndex = h.holderIndex
	list[last] = nil
	if last == 0 {
		delete(b.holders, prefix)
		delete(b.programTokens, prefix)

		return
	}
	b.holders[prefix] = list[:last]
}

// RecordEventGap records that cache events of an upstream were lost. Its known prefixes become less certain; they
// are not dropped, because a gap does not mean an empty cache.
func (b *Balancer) RecordEventGap(upstream id.Upstream) {
	s, ok := b.upstreams[upstream]
	if !ok {
		return
	}
	s.eventGaps++
	if s.eventGaps%maxEventGaps != 0 {
		return
	}
	for prefix, h := range s.cachedPrefixes {
		if s.eventGaps-h.confirmedAtGap >= maxEventGaps {
			b.RemoveCachedPrefix(upstream, prefix)
		}
	}
}

// ClearCache records that an upstream has lost its whole cache, as after a restart.
func (b *Balancer) ClearCache(upstream id.Upstream) {
	s, ok := b.upstreams[upstream]
	if !ok {
		return
	}
	for prefix := range s.cachedPrefixes {
		b.RemoveCachedPrefix(upstream, prefix)
	}
}

const (
	// confidencePerGap is the factor by which each gap in the events reduces the confidence that a prefix is cached. A gap
	// hides few of an upstream's evictions; 0.7 made programs leave upstreams that still had their prefixes.
	confidencePerGap = 0.95
	// maxEventGaps is the number of gaps without a confirming event after which a prefix counts as evicted.
	maxEventGaps = 8
)

// confidence returns the estimated probability that the upstream still has the prefix cached.
func (h *cachedPrefix) confidence() float64 {
	gaps := min(maxEventGaps, h.upstream.eventGaps-h.confirmedAtGap)
	confidence := 1.0
	for range gaps {
		confidence *= confidencePerGap
	}

	return confidence
}
