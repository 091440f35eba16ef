package gateway

import (
	"time"

	"cardamomward/core/affinity"
	"cardamomward/core/id"
	"cardamomward/core/leastcost"
	"cardamomward/core/registry"
)

const (
	// expectedOutput is the part of the most tokens that a turn generates on average.
	expectedOutput = 0.45
	// unknownPace is the time for a token, or for a plain request, in milliseconds, before any was seen.
	unknownPace = 1.2
	// minSample is the least number of tokens from which an engine's pace is read.
	minSample = 60
)

// sharedPart returns the part of the prompt that other lines have in common.
func (j *job) sharedPart() (affinity.PromptPart, bool) {
	if len(j.PromptParts) < 2 {
		return 0, false
	}

	return affinity.NewPromptPart(j.PromptParts[0].ID), true
}

func (j *job) work() leastcost.Request {
	work := leastcost.Request{AffinityKey: j.ResolveAffinityKey(), IsModelCall: j.service.Engine != nil}
	if !work.IsModelCall {
		return work
	}
	work.OwnPromptTokens = j.ownTokens()
	work.SharedPromptTokens = j.PromptTokens - work.OwnPromptTokens
	work.LastUpstream, work.CachedOwnTokens = j.begun.Last.Upstream, j.begun.Last.CachedTokens
	work.ExpectedOutputTokens = id.Tokens(expectedOutput * float64(j.MaxTokens))

	return work
}

// ownTokens returns the tokens of the prompt after its shared part.
func (j *job) ownTokens() id.Tokens {
	if len(j.PromptParts) < 2 {
		return j.PromptTokens
	}

	return max(0, j.PromptTokens-j.PromptParts[0].Tokens)
}

func (g *Gateway) choose(j *job) *registry.Instance {
	work := j.work()
	part, shared := j.sharedPart()
	now := g.Now()
	g.pacesMu.Lock()
	defer g.pacesMu.Unlock()
	condition := func(instance *registry.Instance) leastcost.UpstreamState {
		return leastcost.UpstreamState{
			RunningRequests:    g.Loads.RunningRequests(instance.ID),
			UnitLatencyMS:      g.paces.MillisPerUnit(now, instance.Service, instance.ID, unknownPace),
			FailureScore:       g.paces.FailureScore(now, instance.ID),
			CachesSharedPrefix: shared && g.Loads.CachesPromptPart(instance.ID, part),
		}
	}

	return leastcost.ChooseUpstream(g.Catalog.Serving(j.service.Name), work, condition, j.excluded)
}

// Sweep forgets what was learned of upstreams that are not listed any more.
func (g *Gateway) Sweep() {
	g.pacesMu.Lock()
	defer g.pacesMu.Unlock()
	g.paces.RemoveUnlisted(func(upstream id.Upstream) bool {
		_, listed := g.Catalog.Get(upstream)

		return listed
	})
}

// noteFailure counts a failure against an upstream.
func (g *Gateway) noteFailure(instance *registry.Instance) {
	g.pacesMu.Lock()
	defer g.pacesMu.Unlock()
	g.paces.RecordFailure(g.Now(), instance.ID)
}

// notePace reads an upstream's pace from an answer: tokens over the time after the first event, or the whole request.
func (g *Gateway) notePace(j *job, instance *registry.Instance, took time.Duration, tokens id.Tokens) {
	running := float64(max(0, g.Loads.RunningRequests(instance.ID)-1))
	places := float64(max(1, instance.Concurrency))
	ms := took.Seconds() * 1000
	switch {
	case j.service.Engine == nil:
		ms /= 1 + running/places
	case tokens < minSample:
		return
	default:
		ms /= float64(tokens) * (1 + leastcost.SlowdownPerRequest*min(running, places))
	}
	g.pacesMu.Lock()
	defer g.pacesMu.Unlock()
	g.paces.RecordLatency(g.Now(), instance.Service, instance.ID, ms)
}
