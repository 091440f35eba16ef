package cacheaware

import (
	"math"
	"time"

	"cardamomward/core/id"
)

const (
	// storedTokensDecayTime is the age at which the weight of newly cached tokens has fallen to 1/e.
	storedTokensDecayTime = 30 * time.Second
	// evictionCostFactor multiplies the prefill time of a program's own prompt, as the cost of placing it at an upstream
	// that caches new tokens at the mean rate.
	evictionCostFactor = 10
	// maxRelativeStoreRate bounds the rate of an upstream relative to the mean.
	maxRelativeStoreRate = 2
	// programTokensSmoothing is the weight of the latest prompt in the mean length of a program's own prompt.
	programTokensSmoothing = 0.05
)

// decayingSum is a sum whose terms lose weight exponentially with age; its zero value is empty.
type decayingSum struct {
	value     float64
	updatedAt time.Time
}

func (d *decayingSum) at(now time.Time) float64 {
	return d.value * math.Exp(-max(0, now.Sub(d.updatedAt)).Seconds()/storedTokensDecayTime.Seconds())
}

func (d *decayingSum) add(now time.Time, value float64) {
	d.value = d.at(now) + value
	d.updatedAt = now
}

// RecordStoredTokens records that an upstream has newly cached tokens. An upstream that stores many of them evicts its
// least recently used prefixes sooner.
func (b *Balancer) RecordStoredTokens(upstream id.Upstream, now time.Time, tokens id.Tokens) {
	s, ok := b.upstreams[upstream]
	if !ok {
		return
	}
	s.storedTokens.add(now, float64(tokens))
	b.storedTokens.add(now, float64(tokens))
}

// relativeStoreRate returns the rate at which the upstream caches new tokens, relative to the mean of all upstreams.
func (b *Balancer) relativeStoreRate(s *upstreamState, now time.Time) float64 {
	total := b.storedTokens.at(now)
	if total <= 0 {
		return 0
	}

	return min(maxRelativeStoreRate, s.storedTokens.at(now)*float64(len(b.upstreams))/total)
}

// recordProgramTokens adds the prompt of a call to the mean length of the prompts with the same first prefix. The means
// are kept for cached prefixes only, which bounds their number.
func (b *Balancer) recordProgramTokens(req *Request) {
	if len(req.Prefixes) == 0 || len(b.holders[req.Prefixes[0]]) == 0 {
		return
	}
	own := float64(req.ownTokens())
	mean, ok := b.programTokens[req.Prefixes[0]]
	if !ok {
		mean = own
	}
	b.programTokens[req.Prefixes[0]] = mean + programTokensSmoothing*(own-mean)
}

// ownTokens returns the length of the prompt without its first prefix, which programs share.
func (r *Request) ownTokens() id.Tokens { return max(0, r.PromptTokens-r.PrefixTokens[0]) }

// evictionSeconds returns the cost of placing the program at the upstream, whose evictions make the program compute its
// own prompt again. The length of a new program's prompt is estimated by those of programs with the same first prefix.
func (s *pickSearch) evictionSeconds(u *upstreamState) float64 {
	if len(s.req.Prefixes) == 0 {
		return 0
	}
	tokens := s.balancer.programTokens[s.req.Prefixes[0]]
	if s.req.ContinuesProgram {
		tokens = float64(s.req.ownTokens())
	}

	return evictionCostFactor * tokens / u.prefillTokensPerSecond() * s.balancer.relativeStoreRate(u, s.now)
}
