package cluster

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/id"
	"cardamomward/core/tokenbudget"
	"cardamomward/io/fleet/fleetpb"
)

func TestMemoryOfMajorityDecidesWhichCountsAreForgotten(t *testing.T) {
	now := time.Now()
	complete := &fleetpb.RecallReply{Complete: true, AgeMillis: 100_000}
	started := func(age time.Duration) *fleetpb.RecallReply {
		return &fleetpb.RecallReply{AgeMillis: age.Milliseconds()}
	}
	for name, test := range map[string]struct {
		replies []*fleetpb.RecallReply
		since   time.Time
	}{
		"all remember":            {[]*fleetpb.RecallReply{complete, complete, complete}, time.Time{}},
		"one has restarted":       {[]*fleetpb.RecallReply{complete, started(time.Second), complete}, time.Time{}},
		"most have restarted":     {[]*fleetpb.RecallReply{started(time.Second), started(3 * time.Second), complete}, now.Add(-3 * time.Second)},
		"most have just started":  {[]*fleetpb.RecallReply{started(time.Second), started(3 * time.Second), nil}, now.Add(-time.Second)},
		"most have not responded": {[]*fleetpb.RecallReply{complete, nil, nil}, now},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.since, rememberedSince(now, test.replies))
		})
	}
}

// All hosts are killed and start again, after an outage of the store or without one.
func TestForgottenTurnsAreChargedOnlyAfterOutage(t *testing.T) {
	const durable, maxTokens, budget id.Tokens = 100, 50, 1000
	for name, test := range map[string]struct {
		newestRecord, restarted time.Duration
		charged                 id.Tokens
	}{
		"killed at once":          {newestRecord: 1500 * time.Millisecond, restarted: 300 * time.Millisecond, charged: 0},
		"killed after an outage":  {newestRecord: 4 * time.Second, restarted: 300 * time.Millisecond, charged: budget / 4},
		"outage after the losses": {newestRecord: 4 * time.Second, restarted: 3500 * time.Millisecond, charged: 0},
	} {
		t.Run(name, func(t *testing.T) {
			c, _ := newTestCluster(t)
			s, now := c.slots[0], time.Now()
			s.mu.Lock()
			defer s.mu.Unlock()
			written := now.Add(-test.newestRecord)
			s.ledger.Restore(tokenbudget.Watermark{Program: testProgram, Tokens: durable, ExpiresAt: now.Add(time.Minute), WrittenAt: written})
			s.recordWrittenAt(written)
			s.chargeForgottenTurns(now, []*fleetpb.RecallReply{{AgeMillis: test.restarted.Milliseconds()}})
			_, watermark := s.ledger.Reserve(now, tokenbudget.Turn{
				Program: testProgram, Attempt: "a", BudgetTokens: budget, MaxTokens: maxTokens, Deadline: now.Add(time.Second), Retention: time.Minute,
			}, false)
			require.Equal(t, durable+test.charged+maxTokens, watermark.Tokens)
			s.state, s.servingSince = serving, now.Add(-authoritativeAfter)
			require.Equal(t, test.charged == 0, s.isAuthoritative(now), "a turn that nobody knows is reported as missing only if none can be forgotten")
		})
	}
}

// A host that has just started may find the store silent before its first response.
func TestOutageLastsSinceLastResponseOfStore(t *testing.T) {
	now := time.Now()
	for name, test := range map[string]struct {
		lastResponse time.Time
		least, most  time.Duration
	}{
		"responds":        {lastResponse: now.Add(-100 * time.Millisecond)},
		"silent":          {lastResponse: now.Add(-2 * time.Second), least: 2 * time.Second, most: 2 * time.Second},
		"never responded": {lastResponse: time.Time{}, least: time.Hour, most: math.MaxInt64},
	} {
		t.Run(name, func(t *testing.T) {
			c, store := newTestCluster(t)
			store.lastResponseTime.set(func() time.Time { return test.lastResponse })
			s := c.slots[0]
			s.mu.Lock()
			defer s.mu.Unlock()
			duration := s.outageDuration(now)
			require.GreaterOrEqual(t, duration, test.least)
			require.LessOrEqual(t, duration, test.most)
			require.Equal(t, test.most > 0, s.isDurabilityUnavailable(now))
		})
	}
}

func TestOutageOfPartitionLastsSinceItsFirstFailure(t *testing.T) {
	c, _ := newTestCluster(t)
	s, now := c.slots[0], time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	require.Zero(t, s.outageDuration(now))
	s.writer.failingSince = now.Add(-storeContactTimeout / 2)
	require.Zero(t, s.outageDuration(now), "a short failure is no outage")
	s.writer.failingSince = now.Add(-3 * time.Second)
	require.Equal(t, 3*time.Second, s.outageDuration(now))
}
