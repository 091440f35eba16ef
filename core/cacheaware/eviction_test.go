package cacheaware_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/cacheaware"
	"cardamomward/core/id"
	"cardamomward/core/prompt"
)

const manual = prompt.PrefixHash(1)

// newManualRequest returns the first call of a program, or a later one with the given length of its own prompt, that
// begins with the manual.
func newManualRequest(own id.Tokens, continues bool) cacheaware.Request {
	const manualTokens = 8000

	return cacheaware.Request{
		PromptTokens: manualTokens + own, Prefixes: []prompt.PrefixHash{manual, prompt.PrefixHash(own)},
		PrefixTokens: []id.Tokens{manualTokens, manualTokens + own}, ContinuesProgram: continues,
	}
}

// newBalancerWithPressure returns a balancer of two upstreams that both cache the manual; the first one caches new tokens
// at four times the rate of the second.
func newBalancerWithPressure(learnProgram bool) *cacheaware.Balancer {
	balancer := newIdleBalancer(2, 16)
	for i := range 2 {
		balancer.AddCachedPrefix(upstreamName(i), manual)
	}
	if learnProgram {
		req := newManualRequest(12_000, true)
		balancer.Pick(start, &req)
	}
	balancer.RecordStoredTokens(upstreamName(0), start, 80_000)
	balancer.RecordStoredTokens(upstreamName(1), start, 20_000)
	// The first upstream is the better choice by load.
	balancer.RecordLoad(upstreamName(1), start, cacheaware.LoadReport{MaxConcurrentCalls: 16, RunningCalls: 8, PrefillTokensPerSecond: 8000})

	return balancer
}

func TestLongProgramIsNotPlacedWhereItsPromptIsEvicted(t *testing.T) {
	req := newManualRequest(100, false)
	upstream, _ := newBalancerWithPressure(true).Pick(start, &req)
	require.Equal(t, upstreamName(1), upstream)
}

func TestUnknownProgramIsPlacedByLoadDespiteEvictions(t *testing.T) {
	req := newManualRequest(100, false)
	upstream, _ := newBalancerWithPressure(false).Pick(start, &req)
	require.Equal(t, upstreamName(0), upstream)
}

func TestLengthOfProgramsIsForgottenWithTheirSharedPrefix(t *testing.T) {
	balancer := newBalancerWithPressure(true)
	for i := range 2 {
		balancer.RemoveCachedPrefix(upstreamName(i), manual)
	}
	for i := range 2 {
		balancer.AddCachedPrefix(upstreamName(i), manual)
	}
	req := newManualRequest(100, false)
	upstream, _ := balancer.Pick(start, &req)
	require.Equal(t, upstreamName(0), upstream)
}

func TestStoredTokensLoseWeightWithAge(t *testing.T) {
	balancer := newBalancerWithPressure(true)
	now := start.Add(5 * time.Minute)
	balancer.RecordStoredTokens(upstreamName(1), now, 1000)
	req := newManualRequest(100, false)
	upstream, _ := balancer.Pick(now, &req)
	require.Equal(t, upstreamName(0), upstream)
}

func TestRemovedUpstreamDoesNotRaiseMeanStoreRate(t *testing.T) {
	balancer := newBalancerWithPressure(true)
	balancer.SetUpstream("removed", "domain-0")
	balancer.RecordStoredTokens("removed", start, 100_000_000)
	balancer.RemoveUpstream("removed")
	req := newManualRequest(100, false)
	upstream, _ := balancer.Pick(start, &req)
	require.Equal(t, upstreamName(1), upstream)
}
