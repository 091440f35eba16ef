package cluster

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/coldstart"
	"cardamomward/core/id"
	"cardamomward/core/registry"
	"cardamomward/core/upstreamlimit"
	"cardamomward/io/fleet/fleetpb"
)

var coldPolicy = coldstart.Policy{Duration: time.Minute, RequestsPerSecond: 24}

// maxColdAdmissions is the most that may be admitted to a cold upstream in a second.
const maxColdAdmissions = 24*1.5 + 5

func coldInstance() *registry.Instance {
	return &registry.Instance{ID: "u", Incarnation: time.Now().UnixMilli()}
}

// admitAll lets hosts ask for admissions as fast as they may for a time, and returns the most that were admitted in a second.
func admitAll(hosts []*Cluster, instance *registry.Instance, duration time.Duration) (most, total int) {
	var mu sync.Mutex
	var admitted []time.Time
	var tasks sync.WaitGroup
	until := time.Now().Add(duration)
	for _, host := range hosts {
		tasks.Go(func() {
			for time.Now().Before(until) {
				ok, _ := host.AdmitToUpstream(context.Background(), instance, coldPolicy)
				if ok {
					mu.Lock()
					admitted = append(admitted, time.Now())
					mu.Unlock()
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	tasks.Wait()
	slices.SortFunc(admitted, func(a, b time.Time) int { return a.Compare(b) })
	first := 0
	for i, at := range admitted {
		for at.Sub(admitted[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}

	return most, len(admitted)
}

func TestRateOfColdUpstreamHoldsWhileHostsArePartitionedFromOwnerAndEachOther(t *testing.T) {
	for name, lastHeard := range map[string]time.Duration{"silent": 5 * time.Second, "owner still hears the others": 0} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const hostCount = 12
			instance := coldInstance()
			hosts := make([]*Cluster, hostCount)
			for i := range hosts {
				owner, _ := newTestCluster(t)
				hosts[i] = owner
				for other := range hostCount - 1 {
					owner.peers.addSilentPeer(fmt.Sprintf("127.0.0.1:%d", other+2), time.Now().Add(-lastHeard))
				}
				owner.RecordRegistration(instance, 0, coldPolicy)
				if i > 0 {
					// No host listens at the owner's address.
					owner.setOwnership(&ownership{generation: 1, owners: []string{"127.0.0.1:1"}})
				}
			}
			join(t, hosts[0])
			most, total := admitAll(hosts, instance, 2*time.Second)
			require.LessOrEqual(t, most, int(maxColdAdmissions))
			require.GreaterOrEqual(t, total, 12, "the partitioned hosts use their shares")
		})
	}
}

func TestHostThatKnowsNoOtherHostsYetAdmitsNothingToColdUpstream(t *testing.T) {
	c, _ := newTestCluster(t)
	c.peers.hostListRead = make(chan struct{})
	c.setOwnership(&ownership{generation: 1, owners: []string{""}})
	instance := coldInstance()
	c.RecordRegistration(instance, 0, coldPolicy)
	ok, _ := c.AdmitToUpstream(context.Background(), instance, coldPolicy)
	require.False(t, ok)
}

func TestBucketOfNewOwnerIsEmpty(t *testing.T) {
	c, _ := newTestCluster(t)
	join(t, c)
	instance := coldInstance()
	c.RecordRegistration(instance, 0, coldPolicy)
	ok, retryAfter := c.AdmitToUpstream(context.Background(), instance, coldPolicy)
	require.False(t, ok, "the previous owner may just have admitted its burst")
	require.Positive(t, retryAfter)
}

func TestOwnerPacesRequestsToUpstreamThatOnlyOthersTakeForCold(t *testing.T) {
	synctest.Test(t, requireOwnerPacesReportedColdUpstream)
}

func requireOwnerPacesReportedColdUpstream(t *testing.T) {
	t.Helper()
	c, _ := newTestCluster(t)
	join(t, c)
	srv := &slotServer{cluster: c}
	admitted := 0
	for until := time.Now().Add(time.Second); time.Now().Before(until); time.Sleep(time.Millisecond) {
		reply, err := srv.AdmitToUpstream(context.Background(), &fleetpb.AdmitToUpstreamRequest{
			Cold: &fleetpb.ColdUpstream{Upstream: "u", Incarnation: 1, RemainingMillis: 3000, Rate: 24},
		})
		require.NoError(t, err)
		require.Equal(t, fleetpb.Outcome_OUTCOME_OK, reply.Outcome)
		admitted += int(reply.Allowed)
	}
	require.InDelta(t, 24, admitted, 6)
}

func TestOwnerAdmitsSmallerRateToUpstreamThatIsLimitedAndCold(t *testing.T) {
	for name, tt := range map[string]struct{ limit, want float64 }{"limit": {4, 8}, "cold": {100, 48}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c, _ := newTestCluster(t)
				join(t, c)
				instance := coldInstance()
				c.RecordRegistration(instance, 0, coldPolicy)
				c.RecordUpstreamLimit(upstreamlimit.Statement{
					Upstream: instance.ID, Incarnation: instance.Incarnation, IsLimited: true, Rate: tt.limit, ReceivedAt: time.Now(),
				})
				_, total := admitAll([]*Cluster{c}, instance, 2*time.Second)
				require.InEpsilon(t, tt.want, total, 0.4)
			})
		})
	}
}

// Guards against an owner and hosts that ignore the tolerance of the platform's settings.
func TestStatedToleranceBoundsAdmissionsOfOwnerAndOfHostsThatCannotReachIt(t *testing.T) {
	t.Run("owner", func(t *testing.T) {
		t.Parallel()
		synctest.Test(t, func(t *testing.T) {
			c, _ := newTestCluster(t)
			c.Settings.Bounds.ColdTolerance = coldstart.Tolerance{IsStated: true, Overshoot: 1}
			join(t, c)
			instance := coldInstance()
			c.RecordRegistration(instance, 0, coldPolicy)
			// 24 requests may arrive in a second, also if they arrive half a second late.
			most, total := admitAll([]*Cluster{c}, instance, 2*time.Second)
			require.LessOrEqual(t, most, 17)
			require.InDelta(t, 30, total, 6)
		})
	})
	t.Run("host without owner", func(t *testing.T) {
		t.Parallel()
		synctest.Test(t, func(t *testing.T) {
			c, _ := newTestCluster(t)
			c.Settings.Bounds.ColdTolerance = coldstart.Tolerance{IsStated: true, Slack: 5}
			c.setOwnership(&ownership{generation: 1, owners: []string{""}})
			instance := coldInstance()
			c.RecordRegistration(instance, 0, coldPolicy)
			_, total := admitAll([]*Cluster{c}, instance, time.Second)
			require.LessOrEqual(t, total, 5, "its share is half of 24 requests a second without a tolerance")
		})
	})
}

func TestUpstreamThatIsNeitherLimitedNorColdCostsNoCall(t *testing.T) {
	c, _ := newTestCluster(t)
	c.setOwnership(&ownership{generation: 1, owners: []string{""}})
	instance := coldInstance()
	c.RecordRegistration(instance, time.Minute, coldstart.Policy{})
	for range 1000 {
		ok, _ := c.AdmitToUpstream(context.Background(), instance, coldstart.Policy{})
		require.True(t, ok)
	}
}

func TestPeersLearnColdUpstreamFromDatagram(t *testing.T) {
	c, _ := newTestCluster(t)
	peer, _ := newTestCluster(t)
	instance := coldInstance()
	c.RecordCold(instance, time.Second, coldPolicy, coldstart.FromResponse)
	now := time.Now()
	peer.peers.handleHeartbeat(now, &fleetpb.Beat{Cold: c.coldToGossip(now)})
	isCold, _ := peer.ColdDelay(instance, coldPolicy)
	require.True(t, isCold)
	require.Empty(t, peer.coldToGossip(now), "delays of messages would add up")
}

// recordConcurrently records a registration in another goroutine, and requires that this does not wait for the caller.
func recordConcurrently(t *testing.T, c *Cluster, instance *registry.Instance, policy coldstart.Policy) {
	t.Helper()
	recorded := make(chan struct{})
	go func() {
		defer close(recorded)
		c.RecordRegistration(instance, 0, policy)
	}()
	select {
	case <-recorded:
	case <-time.After(testTimeout):
		require.FailNow(t, "the registration waits")
	}
}

// The lookup of an upstream waits for a registration that is being applied, and that waits until it is recorded here: a host whose
// clean-up held the lock in between served nothing from then on.
func TestRegistrationIsRecordedWhileUnlistedLimitsAreRemoved(t *testing.T) {
	c, _ := newTestCluster(t)
	c.RecordRegistration(coldInstance(), 0, coldPolicy)
	// An upstream that has never been cold is looked up at each clean-up.
	c.RecordRegistration(&registry.Instance{ID: "never-cold"}, 0, coldstart.Policy{})
	lookups := 0
	c.RemoveUnlistedLimits(func(id.Upstream) bool {
		lookups++
		recordConcurrently(t, c, coldInstance(), coldPolicy)

		return true
	})
	require.Positive(t, lookups)
}

// An upstream that registers after its lookup must not be forgotten: it would not be paced if the configuration is read later.
func TestUpstreamThatRegistersDuringCleanUpIsNotForgotten(t *testing.T) {
	c, _ := newTestCluster(t)
	instance := coldInstance()
	c.RecordRegistration(instance, 0, coldstart.Policy{})
	c.RemoveUnlistedLimits(func(id.Upstream) bool {
		recordConcurrently(t, c, instance, coldstart.Policy{})

		return false
	})
	isCold, _ := c.ColdDelay(instance, coldPolicy)
	require.True(t, isCold)
	c.RemoveUnlistedLimits(func(id.Upstream) bool { return false })
	isCold, _ = c.ColdDelay(instance, coldPolicy)
	require.False(t, isCold, "an upstream that is not registered is forgotten")
}
