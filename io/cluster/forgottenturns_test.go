package cluster

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"cardamomward/core/id"
	"cardamomward/core/tokenbudget"
	"cardamomward/io/fleet/fleetpb"
	"cardamomward/platform"
)

func TestLossOfAllHoldersDecidesWhichCountsAreForgotten(t *testing.T) {
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
		"four of eleven have restarted": {
			append(slices.Repeat([]*fleetpb.RecallReply{complete}, 7), started(time.Second), started(2*time.Second), started(4*time.Second), started(3*time.Second)),
			now.Add(-4 * time.Second),
		},
		"three of eleven have restarted": {
			append(slices.Repeat([]*fleetpb.RecallReply{complete}, 8), started(time.Second), started(2*time.Second), started(3*time.Second)), time.Time{},
		},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.since, rememberedSince(now, inMemoryState{replies: test.replies}.memoryAges()))
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
			s.chargeForgottenTurns(now, []time.Duration{test.restarted})
			_, watermark := s.ledger.Reserve(now, tokenbudget.Turn{
				Program: testProgram, Attempt: "a", BudgetTokens: budget, MaxTokens: maxTokens, Deadline: now.Add(time.Second), Retention: time.Minute,
			}, false)
			require.Equal(t, durable+test.charged+maxTokens, watermark.Tokens)
			s.state, s.servingSince = serving, now.Add(-authoritativeAfter)
			require.Equal(t, test.charged == 0, s.isAuthoritative(now), "a turn that nobody knows is reported as missing only if none can be forgotten")
		})
	}
}

// forgottenBudget is the budget of the programs of reserveTurn, and forgottenMaxTokens the most tokens of one of their turns.
const (
	forgottenBudget    id.Tokens = 1000
	forgottenMaxTokens id.Tokens = 50
)

// reserveTurn begins a turn of a program at the slot's owner and returns the tokens that count as spent with it.
func reserveTurn(t *testing.T, c *Cluster, program id.Program) id.Tokens {
	t.Helper()
	reply, err := (&slotServer{cluster: c}).BeginTurn(t.Context(), &fleetpb.BeginTurnRequest{
		Workspace: string(testWorkspace), Program: string(program), Attempt: "attempt of " + string(program) + " at " + c.self,
		Budget: int64(forgottenBudget), MaxTokens: int64(forgottenMaxTokens), DeadlineMillis: testTimeout.Milliseconds(), WaitMillis: testTimeout.Milliseconds(),
	})
	require.NoError(t, err)
	require.Equal(t, fleetpb.Outcome_OUTCOME_OK, reply.Outcome)

	return id.Tokens(reply.Mark)
}

// appendWatermark writes a program's watermark to the store as an owner did at a time.
func appendWatermark(t *testing.T, c *Cluster, store *fakeStore, program id.Program, tokens id.Tokens, written time.Time) {
	t.Helper()
	value, err := proto.Marshal(&fleetpb.Record{Kind: &fleetpb.Record_Budget{Budget: &fleetpb.BudgetMark{
		Mark: int64(tokens), RetentionMillis: time.Minute.Milliseconds(), WrittenUnixMillis: written.UnixMilli(),
	}}})
	require.NoError(t, err)
	_, err = store.Append(t.Context(), platform.AppendBatch{
		Partition: c.slots[0].partition(), Records: []platform.Record{{Key: budgetKeyPrefix + string(program), Value: value}},
	})
	require.NoError(t, err)
}

// Slots move between hosts while these start one after another. The first owner after a loss of all hosts infers the outage before
// it from the age of the records. The records that it writes hid the outage from the next owner, which charged nothing.
func TestForgottenTurnsAreChargedByNextOwnerToo(t *testing.T) {
	const (
		durable   id.Tokens = 100
		maxTokens           = forgottenMaxTokens
		charge              = forgottenBudget / 4
	)
	nothing := func(*testing.T, *Cluster) {}
	for name, test := range map[string]struct {
		prepare, write func(t *testing.T, first *Cluster)
		// written are the tokens of the program "written" after the first owner.
		written id.Tokens
	}{
		"after a watermark": {nothing, func(t *testing.T, first *Cluster) {
			require.Equal(t, durable+charge+maxTokens, reserveTurn(t, first, "written"))
		}, durable + charge + maxTokens},
		"after a turn": {nothing, func(t *testing.T, first *Cluster) { storeTurn(t, first, newKeptTurn("turn", "")) }, durable + charge},
		"after the watermark of a count that a host remembers": {func(_ *testing.T, first *Cluster) {
			first.recordWatermark("written", int64(durable+maxTokens), int64(durable))
		}, nothing, durable + maxTokens + charge},
	} {
		t.Run(name, func(t *testing.T) {
			first, store := newTestCluster(t)
			for _, program := range []id.Program{"written", "stored"} {
				appendWatermark(t, first, store, program, durable, time.Now().Add(-5*time.Second))
			}
			test.prepare(t, first)
			join(t, first)
			test.write(t, first)
			require.Eventually(t, func() bool { return !first.slots[0].writer.hasPending() }, testTimeout, time.Millisecond)

			next := newTestHost(t, store, "127.0.0.2")
			join(t, next)
			require.Equal(t, durable+charge+maxTokens, reserveTurn(t, next, "stored"))
			require.Equal(t, charge+maxTokens, reserveTurn(t, next, "unknown"))
			require.Equal(t, test.written+maxTokens, reserveTurn(t, next, "written"), "a program is charged once")
			s := next.slots[0]
			s.mu.Lock()
			defer s.mu.Unlock()
			s.servingSince = time.Now().Add(-authoritativeAfter)
			require.False(t, s.isAuthoritative(time.Now()), "a turn that nobody knows may have been forgotten")
		})
	}
}

// The clock of the host that wrote the record may be fast.
func TestRestoredLossIsNotInFuture(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	for name, test := range map[string]struct {
		unixMillis int64
		want       time.Time
	}{
		"none":          {0, time.Time{}},
		"negative":      {-1, time.Time{}},
		"past":          {990_000, time.UnixMilli(990_000)},
		"just assumed":  {1_000_500, now.Add(clockSkewMargin)},
		"in the future": {2_000_000, now.Add(clockSkewMargin)},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.want, restoredLoss(now, test.unixMillis))
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
