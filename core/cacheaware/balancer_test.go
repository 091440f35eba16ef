package cacheaware_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/cacheaware"
	"cardamomward/core/id"
	"cardamomward/core/prompt"
)

var start = time.Unix(1_000_000, 0)

// newIdleBalancer returns a balancer of idle upstreams that have just reported.
func newIdleBalancer(upstreams, maxConcurrentCalls int) *cacheaware.Balancer {
	balancer := &cacheaware.Balancer{}
	balancer.SetRandomSeed(1)
	for i := range upstreams {
		name := upstreamName(i)
		balancer.SetUpstream(name, id.FailureDomain(fmt.Sprintf("domain-%d", i%4)))
		balancer.RecordLoad(name, start, cacheaware.LoadReport{MaxConcurrentCalls: maxConcurrentCalls, PrefillTokensPerSecond: 8000})
	}

	return balancer
}

func upstreamName(i int) id.Upstream { return id.Upstream(fmt.Sprintf("engine-%05d", i)) }

// newConversationRequest returns a request of the given number of turns of 100 tokens, with a prefix for each turn.
func newConversationRequest(program, turns int) cacheaware.Request {
	req := cacheaware.Request{ContinuesProgram: turns > 1}
	for i := range turns {
		req.PromptTokens += 100
		req.Prefixes = append(req.Prefixes, prompt.PrefixHash(program*1000+i+1))
		req.PrefixTokens = append(req.PrefixTokens, req.PromptTokens)
	}

	return req
}

func TestPickPrefersUpstreamWithCachedPrefix(t *testing.T) {
	balancer := newIdleBalancer(1000, 16)
	req := newConversationRequest(1, 50)
	for _, prefix := range req.Prefixes {
		balancer.AddCachedPrefix(upstreamName(777), prefix)
	}
	chosen, result := balancer.Pick(start, &req)
	require.Equal(t, cacheaware.Picked, result)
	require.Equal(t, upstreamName(777), chosen)
	balancer.RecordEventGap(upstreamName(777))
	chosen, _ = balancer.Pick(start, &req)
	require.Equal(t, upstreamName(777), chosen, "a gap in the events does not clear the cache")
	balancer.ClearCache(upstreamName(777))
	chosen, _ = balancer.Pick(start, &req)
	require.NotEqual(t, upstreamName(777), chosen)
}

func TestCachedPrefixesExpireAfterManyEventGaps(t *testing.T) {
	balancer := newIdleBalancer(1000, 16)
	req := newConversationRequest(1, 50)
	balancer.AddCachedPrefix(upstreamName(777), req.Prefixes[49])
	for range 8 {
		balancer.RecordEventGap(upstreamName(777))
	}
	chosen, _ := balancer.Pick(start, &req)
	require.NotEqual(t, upstreamName(777), chosen)
}

func TestPickPrefersOwnFailureDomain(t *testing.T) {
	balancer := newIdleBalancer(8, 16)
	req := newConversationRequest(1, 1)
	req.FailureDomain = "domain-2"
	chosen, _ := balancer.Pick(start, &req)
	require.Contains(t, []id.Upstream{upstreamName(2), upstreamName(6)}, chosen)
}

func TestPickWaitsForCachedPrefixOnlyWhileItSavesTime(t *testing.T) {
	balancer := newIdleBalancer(2, 4)
	req := newConversationRequest(1, 100)
	for _, prefix := range req.Prefixes {
		balancer.AddCachedPrefix(upstreamName(0), prefix)
	}
	balancer.RecordLoad(upstreamName(0), start, cacheaware.LoadReport{MaxConcurrentCalls: 4, RunningCalls: 4, QueuedCalls: 4, PrefillTokensPerSecond: 800})
	balancer.RecordLoad(upstreamName(1), start, cacheaware.LoadReport{MaxConcurrentCalls: 4, PrefillTokensPerSecond: 800})
	_, result := balancer.Pick(start, &req)
	require.Equal(t, cacheaware.WaitForCachedPrefix, result)
	req.WaitTime = 5 * time.Minute
	chosen, result := balancer.Pick(start, &req)
	require.Equal(t, cacheaware.Picked, result)
	require.Equal(t, upstreamName(1), chosen)
}

func TestPickReportsNoCapacityAndOnlyExcluded(t *testing.T) {
	balancer := newIdleBalancer(2, 4)
	for i := range 2 {
		balancer.RecordLoad(upstreamName(i), start, cacheaware.LoadReport{MaxConcurrentCalls: 4, RunningCalls: 4, QueuedCalls: 4, PrefillTokensPerSecond: 800})
	}
	req := newConversationRequest(1, 1)
	_, result := balancer.Pick(start, &req)
	require.Equal(t, cacheaware.NoCapacity, result)
	balancer.RecordLoad(upstreamName(1), start, cacheaware.LoadReport{MaxConcurrentCalls: 4, PrefillTokensPerSecond: 800})
	req.ExcludedUpstreams = map[id.Upstream]bool{upstreamName(1): true}
	_, result = balancer.Pick(start, &req)
	require.Equal(t, cacheaware.OnlyExcluded, result)
	req.ExcludedUpstreams = nil
	balancer.SetAvailable(upstreamName(1), false)
	_, result = balancer.Pick(start, &req)
	require.Equal(t, cacheaware.NoCapacity, result)
}

func TestHostBelowItsShareMayOverflow(t *testing.T) {
	balancer := newIdleBalancer(1, 16)
	balancer.HostCount = 12
	balancer.RecordLoad(upstreamName(0), start, cacheaware.LoadReport{MaxConcurrentCalls: 16, RunningCalls: 16, QueuedCalls: 8, PrefillTokensPerSecond: 800})
	req := newConversationRequest(1, 1)
	_, result := balancer.Pick(start, &req)
	require.Equal(t, cacheaware.Picked, result)
}

func TestOwnCallsCountBeforeLoadReportIncludesThem(t *testing.T) {
	balancer := newIdleBalancer(1, 4)
	req := newConversationRequest(1, 1)
	sent := 0
	for ; sent < 100; sent++ {
		chosen, result := balancer.Pick(start, &req)
		if result != cacheaware.Picked {
			break
		}
		balancer.StartCall(chosen, start.Add(time.Millisecond))
	}
	require.Equal(t, 6, sent, "four running calls and two that may queue")
	balancer.RecordLoad(upstreamName(0), start.Add(time.Second), cacheaware.LoadReport{MaxConcurrentCalls: 4, RunningCalls: 4, QueuedCalls: 2, PrefillTokensPerSecond: 800})
	_, result := balancer.Pick(start.Add(time.Second), &req)
	require.Equal(t, cacheaware.NoCapacity, result)
	balancer.FinishCall(upstreamName(0), start.Add(2*time.Second))
	_, result = balancer.Pick(start.Add(2*time.Second), &req)
	require.Equal(t, cacheaware.Picked, result)
}

func BenchmarkPickContinuingProgram(b *testing.B) {
	for _, size := range []struct{ upstreams, turns int }{{12, 20}, {10_000, 20}, {10_000, 110}} {
		b.Run(fmt.Sprintf("upstreams=%d/turns=%d", size.upstreams, size.turns), func(b *testing.B) {
			balancer := newIdleBalancer(size.upstreams, 16)
			balancer.HostCount = 10
			const programs = 100
			requests := make([]cacheaware.Request, programs)
			for p := range requests {
				requests[p] = newConversationRequest(p, 2*size.turns)
				for _, prefix := range requests[p].Prefixes[:size.turns] {
					balancer.AddCachedPrefix(upstreamName(p%size.upstreams), prefix)
				}
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				chosen, result := balancer.Pick(start, &requests[i%programs])
				if result == cacheaware.Picked {
					balancer.StartCall(chosen, start)
					balancer.FinishCall(chosen, start)
				}
			}
		})
	}
}
