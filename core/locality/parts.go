package locality

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"cardamomward/core/id"
)

const (
	// memory is how long an upstream is taken to keep a part after it was last read there.
	memory = 20 * time.Second
	// refresh is how old a note may grow before it is worth telling others again.
	refresh = 3 * time.Second
)

// Part identifies a part of prompts.
type Part uint64

// NewPart returns the identity of a part with a name.
func NewPart(name string) Part { return Part(xxhash.Sum64String(name)) }

// Parts knows which upstreams keep which parts; its zero value is empty.
type Parts struct {
	upstreams map[id.Upstream]map[Part]time.Time
}

// Note notes that an upstream reads a part, and reports whether others should be told.
func (p *Parts) Note(now time.Time, upstream id.Upstream, part Part) bool {
	if p.upstreams == nil {
		p.upstreams = make(map[id.Upstream]map[Part]time.Time)
	}
	parts := p.upstreams[upstream]
	if parts == nil {
		parts = make(map[Part]time.Time)
		p.upstreams[upstream] = parts
	}
	last, known := parts[part]
	parts[part] = now

	return !known || now.Sub(last) > refresh
}

// Has reports whether an upstream is taken to keep a part.
func (p *Parts) Has(now time.Time, upstream id.Upstream, part Part) bool {
	last, ok := p.upstreams[upstream][part]

	return ok && now.Sub(last) <= memory
}

// Forget drops what is known of an upstream, because its process is new.
func (p *Parts) Forget(upstream id.Upstream) { delete(p.upstreams, upstream) }

// Expire drops what has grown old.
func (p *Parts) Expire(now time.Time) {
	for upstream, parts := range p.upstreams {
		for part, last := range parts {
			if now.Sub(last) > memory {
				delete(parts, part)
			}
		}
		if len(parts) == 0 {
			delete(p.upstreams, upstream)
		}
	}
}
