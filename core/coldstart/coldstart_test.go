package coldstart_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/coldstart"
	"cardamomward/core/id"
	"cardamomward/core/ratelimit"
	"cardamomward/core/registry"
	"cardamomward/core/upstreamlimit"
)

var (
	start  = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	policy = coldstart.Policy{Duration: 3 * time.Second, RequestsPerSecond: 24}
)

func startedAt(at time.Time) *registry.Instance {
	return &registry.Instance{ID: "u", Incarnation: at.UnixMilli()}
}

func requireColdUntil(t *testing.T, x *coldstart.Index, instance *registry.Instance, until time.Time) {
	t.Helper()
	_, isCold := x.State(until.Add(-time.Millisecond), instance, policy)
	require.True(t, isCold)
	_, isCold = x.State(until, instance, policy)
	require.False(t, isCold)
}

func TestUpstreamIsColdUntilLatestOfAllStatements(t *testing.T) {
	instance := startedAt(start)
	for name, tt := range map[string]struct {
		registered time.Duration
		response   time.Duration
		peer       time.Duration
		want       time.Duration
	}{
		"start":        {want: 3 * time.Second},
		"registration": {registered: 5 * time.Second, response: time.Second, want: 5 * time.Second},
		"response":     {response: 4 * time.Second, peer: time.Second, want: 4 * time.Second},
		"peer":         {response: 4 * time.Second, peer: 5 * time.Second, want: 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			var x coldstart.Index
			x.RecordRegistration(start, instance, tt.registered, policy)
			statement := coldstart.Statement{Upstream: "u", Incarnation: instance.Incarnation, Rate: 24, Source: coldstart.FromResponse}
			statement.Until = start.Add(tt.response)
			x.RecordOwn(start, statement)
			statement.Until = start.Add(tt.peer)
			x.RecordReported(start, statement)
			requireColdUntil(t, &x, instance, start.Add(tt.want))
		})
	}
}

func TestStatementsOfEarlierProcessDoNotConcernLaterOne(t *testing.T) {
	var x coldstart.Index
	earlier, later := startedAt(start.Add(-time.Hour)), startedAt(start)
	x.RecordRegistration(start, earlier, 10*time.Second, policy)
	_, isCold := x.State(start, later, policy)
	require.False(t, isCold, "the later process has not been read")
	x.RecordRegistration(start.Add(time.Second), later, 0, policy)
	requireColdUntil(t, &x, later, start.Add(3*time.Second))
	require.False(t, x.RecordReported(start.Add(2*time.Second), coldstart.Statement{
		Upstream: "u", Incarnation: earlier.Incarnation, Until: start.Add(time.Minute), Rate: 24,
	}), "a late report of the earlier process")
	requireColdUntil(t, &x, later, start.Add(3*time.Second))
	_, isCold = x.State(start.Add(time.Second), earlier, policy)
	require.True(t, isCold, "the later process serves at the address of the earlier one")
}

func TestUpstreamsThatServeSinceLongAreNotColdAtStartOfFleet(t *testing.T) {
	var x coldstart.Index
	instance := startedAt(start.Add(-time.Minute))
	_, began := x.RecordRegistration(start, instance, 0, policy)
	require.False(t, began)
	_, isCold := x.State(start, instance, policy)
	require.False(t, isCold)
}

func TestStartInFutureOfThisClockCountsFromReadOfRegistration(t *testing.T) {
	var x coldstart.Index
	instance := startedAt(start.Add(time.Hour))
	x.RecordRegistration(start, instance, 0, policy)
	requireColdUntil(t, &x, instance, start.Add(3*time.Second))
}

func TestColdStartIsKnownIfConfigurationIsReadAfterRegistration(t *testing.T) {
	var x coldstart.Index
	instance := startedAt(start)
	x.RecordRegistration(start, instance, 0, coldstart.Policy{})
	requireColdUntil(t, &x, instance, start.Add(3*time.Second))
}

func TestServiceWithoutRateIsNeverCold(t *testing.T) {
	var x coldstart.Index
	instance := startedAt(start)
	x.RecordRegistration(start, instance, time.Minute, coldstart.Policy{Duration: time.Minute})
	_, isCold := x.State(start, instance, coldstart.Policy{Duration: time.Minute})
	require.False(t, isCold)
}

func TestWrongStatementEndsAfterMinute(t *testing.T) {
	var x coldstart.Index
	instance := startedAt(start.Add(-time.Hour))
	x.RecordRegistration(start, instance, 1000*time.Hour, policy)
	requireColdUntil(t, &x, instance, start.Add(time.Minute))
}

func TestOnlyRecentStatementsOfThisHostAreReported(t *testing.T) {
	var x coldstart.Index
	x.RecordReported(start, coldstart.Statement{Upstream: "peer", Until: start.Add(5 * time.Second), Rate: 24})
	x.RecordOwn(start, coldstart.Statement{Upstream: "domain", Until: start.Add(5 * time.Second), Rate: 24, Source: coldstart.FromEvacuation})
	require.Empty(t, x.ToGossip(start), "delays of messages would add up")
	x.RecordOwn(start, coldstart.Statement{Upstream: "own", Until: start.Add(5 * time.Second), Rate: 24, Source: coldstart.FromResponse})
	require.Len(t, x.ToGossip(start), 1)
	require.Empty(t, x.ToGossip(start.Add(2*time.Second)))
}

func TestUpstreamOutlivesLostRegistrationWhileItIsCold(t *testing.T) {
	var x coldstart.Index
	instance := startedAt(start)
	x.RecordRegistration(start, instance, 0, policy)
	x.RemoveUnlisted(start.Add(time.Second), func(id.Upstream) bool { return false })
	requireColdUntil(t, &x, instance, start.Add(3*time.Second))
	x.RemoveUnlisted(start.Add(time.Minute), func(id.Upstream) bool { return false })
	_, isCold := x.State(start, instance, policy)
	require.False(t, isCold)
}

// mostInSecond returns the most of the times, which are sorted, that lie within one second.
func mostInSecond(times []time.Time) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}

	return most
}

// allowedInSecond is the most that may arrive in a second: the rate times cold_overshoot, plus cold_slack.
const allowedInSecond = 24*1.5 + 5

func TestHostsThatAskOwnerStayWithinRateAndAskSeldom(t *testing.T) {
	const hosts, rate = 300, 24.0
	bucket := ratelimit.NewWithLevel(start, 0)
	var queue coldstart.Queue
	var sent []time.Time
	asked := 0
	nextAt := make([]time.Time, hosts)
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(5 * time.Millisecond) {
		for i := range nextAt {
			if now.Before(nextAt[i]) {
				continue
			}
			asked++
			ok, retryAfter := queue.Take(now, &bucket, rate, hosts)
			if ok {
				sent = append(sent, now)
			}
			nextAt[i] = now.Add(retryAfter)
		}
	}
	require.LessOrEqual(t, mostInSecond(sent), 24+3)
	require.GreaterOrEqual(t, len(sent), 200, "most of the rate is used")
	require.Less(t, asked, 10*hosts*3, "each host asks less often than every 0.3 s")
}

func TestFewHostsUseRateAlthoughTheirRequestsAskAtOnce(t *testing.T) {
	const hosts, requestsPerHost, rate = 4, 4, 24.0
	bucket := ratelimit.NewWithLevel(start, 0)
	var queue coldstart.Queue
	admitted := 0
	var nextAt [hosts]time.Time
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(5 * time.Millisecond) {
		for i := range nextAt {
			if now.Before(nextAt[i]) {
				continue
			}
			for range requestsPerHost {
				ok, retryAfter := queue.Take(now, &bucket, rate, hosts)
				if ok {
					admitted++
				}
				nextAt[i] = now.Add(retryAfter)
			}
		}
	}
	require.GreaterOrEqual(t, admitted, 160, "two thirds of the rate are used")
}

func TestHostsThatLoseOwnerTogetherStayWithinAllowedRate(t *testing.T) {
	for _, hosts := range []int{2, 12, 80, 300} {
		fallbacks := make([]upstreamlimit.Fallback, hosts)
		bucket := ratelimit.NewWithLevel(start, 0)
		var queue coldstart.Queue
		var sent []time.Time
		for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(5 * time.Millisecond) {
			// The owner serves itself at the whole rate, since it still hears the other hosts.
			if ok, _ := queue.Take(now, &bucket, 24, hosts); ok {
				sent = append(sent, now)
			}
			for i := range fallbacks {
				if fallbacks[i].Take(now, coldstart.Tolerance{}.Pace(24).HostShare(hosts), (float64(i)+0.5)/float64(hosts)) {
					sent = append(sent, now)
				}
			}
		}
		require.LessOrEqual(t, mostInSecond(sent), int(allowedInSecond), "%d hosts", hosts)
	}
}
