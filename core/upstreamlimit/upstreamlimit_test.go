package upstreamlimit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/id"
	"cardamomward/core/upstreamlimit"
)

var start = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

func limited(rate float64, receivedAt time.Time) upstreamlimit.Statement {
	return upstreamlimit.Statement{Upstream: "u", Incarnation: 1, IsLimited: true, Rate: rate, ReceivedAt: receivedAt}
}

func requireRate(t *testing.T, x *upstreamlimit.Index, rate float64) {
	t.Helper()
	statement, ok := x.Limit("u", 1)
	require.True(t, ok)
	require.Equal(t, rate, statement.Rate)
}

func TestOlderStatementDoesNotReplaceNewerOne(t *testing.T) {
	var x upstreamlimit.Index
	require.True(t, x.RecordOwn(limited(5, start.Add(time.Second))))
	require.False(t, x.RecordReported(limited(9, start)))
	require.False(t, x.RecordOwn(upstreamlimit.Statement{Upstream: "u", Incarnation: 1, ReceivedAt: start}))
	requireRate(t, &x, 5)
	require.True(t, x.RecordReported(limited(3, start.Add(2*time.Second))))
	requireRate(t, &x, 3)
}

func TestResponseWithoutLimitEndsLimit(t *testing.T) {
	var x upstreamlimit.Index
	x.RecordReported(limited(5, start))
	require.True(t, x.RecordOwn(upstreamlimit.Statement{Upstream: "u", Incarnation: 1, ReceivedAt: start.Add(time.Second)}))
	_, ok := x.Limit("u", 1)
	require.False(t, ok)
	require.False(t, x.RecordReported(limited(5, start.Add(500*time.Millisecond))), "a late report does not restore it")
}

func TestLimitEndsWithItsProcess(t *testing.T) {
	var x upstreamlimit.Index
	x.RecordOwn(limited(5, start))
	_, ok := x.Limit("u", 2)
	require.False(t, ok)
	next := upstreamlimit.Statement{Upstream: "u", Incarnation: 2, ReceivedAt: start.Add(time.Second)}
	x.RecordOwn(next)
	require.False(t, x.RecordReported(limited(5, start.Add(2*time.Second))), "a late response of the earlier process")
	_, ok = x.Limit("u", 1)
	require.False(t, ok)
}

func TestZeroLimitStillLetsRequestsShowItsEnd(t *testing.T) {
	var x upstreamlimit.Index
	x.RecordOwn(limited(0, start))
	statement, ok := x.Limit("u", 1)
	require.True(t, ok)
	require.Positive(t, statement.Rate)
	require.LessOrEqual(t, 4*statement.Rate, 5.0)
}

func TestAdmissionDelayEndsWithoutResponses(t *testing.T) {
	var x upstreamlimit.Index
	require.Zero(t, x.AdmissionDelay(start, "u", 1))
	x.RecordOwn(limited(5, start))
	require.Equal(t, 150*time.Millisecond, x.AdmissionDelay(start.Add(50*time.Millisecond), "u", 1))
	require.Zero(t, x.AdmissionDelay(start.Add(time.Second), "u", 1), "an upstream without requests is tried again")
}

func TestOnlyOwnRecentStatementsAreGossiped(t *testing.T) {
	var x upstreamlimit.Index
	require.False(t, x.RecordOwn(upstreamlimit.Statement{Upstream: "other", ReceivedAt: start}), "no limit was known")
	x.RecordOwn(limited(5, start))
	require.Equal(t, []upstreamlimit.Statement{limited(5, start)}, x.ToGossip(start.Add(time.Second)))
	require.Empty(t, x.ToGossip(start.Add(time.Minute)))
	x.RecordOwn(limited(6, start.Add(time.Minute)))
	x.RecordReported(limited(7, start.Add(2*time.Minute)))
	require.Empty(t, x.ToGossip(start.Add(2*time.Minute)))
}

func TestLimitOutlivesLostRegistration(t *testing.T) {
	var x upstreamlimit.Index
	x.RecordOwn(limited(5, start))
	unlisted := func(id.Upstream) bool { return false }
	x.RemoveUnlisted(start.Add(10*time.Second), unlisted)
	requireRate(t, &x, 5)
	x.RemoveUnlisted(start.Add(time.Minute), func(id.Upstream) bool { return true })
	requireRate(t, &x, 5)
	x.RemoveUnlisted(start.Add(time.Minute), unlisted)
	_, ok := x.Limit("u", 1)
	require.False(t, ok)
}

func TestHostsThatLoseOwnerTogetherStayWithinLimit(t *testing.T) {
	const hosts, rate = 60, 4.0
	fallbacks := make([]upstreamlimit.Fallback, hosts)
	var sent []time.Time
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(50 * time.Millisecond) {
		for i := range fallbacks {
			if fallbacks[i].Take(now, rate/hosts, (float64(i)+0.5)/hosts) {
				sent = append(sent, now)
			}
		}
	}
	require.Greater(t, len(sent), 40*4)
	for i := range sent {
		if last := i + int(4*rate) + 2; last < len(sent) {
			require.Greater(t, sent[last].Sub(sent[i]), 4*time.Second)
		}
	}
}
