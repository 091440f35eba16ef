package slotassignment_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cardamomward/core/id"
	"cardamomward/core/projection"
	"cardamomward/core/record"
	"cardamomward/core/record/recordpb"
	"cardamomward/core/slotassignment"
)

const (
	tick = 200 * time.Millisecond
	// convergenceTime bounds the time until the hosts agree on all owners once they hear each other.
	convergenceTime = 10 * time.Second
)

// cluster simulates hosts that share one log, in steps of fake time.
type cluster struct {
	now   time.Time
	log   []*record.Record
	hosts []*host
	// claims counts the slots of all claims, forced those of forced claims, appends all records.
	claims, forced, appends int
}

type host struct {
	name            id.Host
	incarnation     id.Incarnation
	state           *projection.Programs
	nextRecord      int
	planner         *slotassignment.Planner
	lastHeartbeatAt map[id.Host]time.Time
	// heartbeatsCut holds the hosts whose heartbeats do not arrive at this host.
	heartbeatsCut map[id.Host]bool
	// A host with logUnreachable can neither read nor append; a dead or frozen one does nothing.
	logUnreachable, dead, frozen, leaving bool
}

func newCluster(count int) *cluster {
	c := &cluster{now: time.Unix(1_000_000, 0)}
	for range count {
		c.addHost()
	}

	return c
}

func (c *cluster) addHost() *host {
	h := &host{
		name:            id.Host(fmt.Sprintf("host-%02d", len(c.hosts)+1)),
		incarnation:     id.Incarnation(id.NewRandom()),
		state:           &projection.Programs{},
		planner:         &slotassignment.Planner{},
		lastHeartbeatAt: make(map[id.Host]time.Time),
		heartbeatsCut:   make(map[id.Host]bool),
	}
	c.hosts = append(c.hosts, h)

	return h
}

func (c *cluster) advance(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(tick) {
		for _, h := range c.hosts {
			if !h.dead && !h.frozen {
				c.stepHost(h)
			}
		}
	}
}

func (c *cluster) stepHost(h *host) {
	for _, other := range c.hosts {
		if other != h && !other.dead && !other.frozen && !h.heartbeatsCut[other.name] {
			h.lastHeartbeatAt[other.name] = c.now
		}
	}
	if h.logUnreachable {
		return
	}
	c.applyLog(h)
	plan := h.planner.Plan(c.now, c.view(h))
	c.claim(h, plan.Claims, false)
	c.claim(h, plan.ForcedClaims, true)
	if len(plan.Releases) > 0 {
		slots, epochs := splitSlotEpochs(plan.Releases)
		c.append(h, &recordpb.Record{Body: &recordpb.Record_Release{Release: &recordpb.Release{Slots: slots, Epochs: epochs}}})
	}
	c.applyLog(h)
}

func (c *cluster) view(h *host) slotassignment.ClusterView {
	var live []id.Host
	listed := 0
	for _, other := range c.hosts {
		if !other.leaving {
			listed++
		}
		isHeard := c.now.Sub(h.lastHeartbeatAt[other.name]) < slotassignment.SilenceTimeout
		if !other.leaving && (other == h || isHeard) {
			live = append(live, other.name)
		}
	}
	slices.Sort(live)

	return slotassignment.ClusterView{
		Self: h.name, Incarnation: h.incarnation, Leaving: h.leaving, LiveHosts: live, ListedHostCount: listed, Slots: &h.state.Slots,
		SilenceOf:         func(name id.Host) time.Duration { return c.now.Sub(h.lastHeartbeatAt[name]) },
		HasRunningCalls:   func(id.Slot) bool { return false },
		HasPendingRelease: func(id.Slot) bool { return false },
	}
}

func (c *cluster) claim(h *host, targets []slotassignment.SlotEpoch, forced bool) {
	if len(targets) == 0 {
		return
	}
	slots, epochs := splitSlotEpochs(targets)
	c.append(h, &recordpb.Record{Body: &recordpb.Record_Claim{Claim: &recordpb.Claim{
		Slots: slots, Epochs: epochs, Forced: forced, Run: string(h.incarnation),
	}}})
	c.claims += len(targets)
	if forced {
		c.forced += len(targets)
	}
}

func splitSlotEpochs(targets []slotassignment.SlotEpoch) (slots []uint32, epochs []uint64) {
	for _, target := range targets {
		slots = append(slots, uint32(target.Slot))
		epochs = append(epochs, uint64(target.Epoch))
	}

	return slots, epochs
}

func (c *cluster) append(h *host, rec *recordpb.Record) {
	rec.Id, rec.Host = fmt.Sprint(len(c.log)), string(h.name)
	c.log = append(c.log, rec)
	c.appends++
}

func (c *cluster) applyLog(h *host) {
	for ; h.nextRecord < len(c.log); h.nextRecord++ {
		h.state.Apply(id.NewPosition(id.Offset(h.nextRecord), 0), c.log[h.nextRecord])
	}
}

// owners returns how many slots each host owns according to the log.
func (c *cluster) owners() map[id.Host]int {
	reader := &host{state: &projection.Programs{}}
	c.applyLog(reader)
	owners := make(map[id.Host]int)
	for number := range id.SlotCount {
		if state := reader.state.Slot(id.Slot(number)); state.State == projection.SlotOwned {
			owners[state.Owner]++
		}
	}

	return owners
}

// hasConverged reports whether each slot is owned by the host that rendezvous hashing assigns.
func (c *cluster) hasConverged() bool {
	var table slotassignment.RendezvousTable
	var live []id.Host
	for _, h := range c.hosts {
		if !h.dead && !h.leaving {
			live = append(live, h.name)
		}
	}
	table.Update(live)
	reader := &host{state: &projection.Programs{}}
	c.applyLog(reader)
	for number := range id.SlotCount {
		state := reader.state.Slot(id.Slot(number))
		if state.State != projection.SlotOwned || state.Owner != table.Owner(id.Slot(number)) {
			return false
		}
	}

	return true
}

func (c *cluster) resetCounts() { c.claims, c.forced, c.appends = 0, 0, 0 }

// After random network cuts, lost access to the log and frozen processes, all hosts agree on the owners within
// convergenceTime once the faults have ended.
func TestOwnersConvergeAfterRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts, minutes = 4, 3
		c := newCluster(hosts)
		c.advance(convergenceTime)
		c.resetCounts()
		for end := c.now.Add(minutes * time.Minute); c.now.Before(end); {
			h := c.hosts[rapid.IntRange(0, hosts-1).Draw(t, "host")]
			other := c.hosts[rapid.IntRange(0, hosts-1).Draw(t, "other")]
			switch rapid.IntRange(0, 3).Draw(t, "fault") {
			case 0:
				h.heartbeatsCut[other.name], other.heartbeatsCut[h.name] = !h.heartbeatsCut[other.name], !h.heartbeatsCut[other.name]
			case 1:
				h.heartbeatsCut[other.name] = !h.heartbeatsCut[other.name]
			case 2:
				h.logUnreachable = !h.logUnreachable
			default:
				h.frozen = !h.frozen
			}
			c.advance(time.Duration(rapid.IntRange(200, 8000).Draw(t, "ms")) * time.Millisecond)
		}
		require.LessOrEqual(t, c.forced, hosts*(minutes+1)*id.SlotCount, "forced claims exceed the cap")
		for _, h := range c.hosts {
			h.heartbeatsCut, h.logUnreachable, h.frozen = make(map[id.Host]bool), false, false
		}
		c.advance(convergenceTime)
		require.True(t, c.hasConverged(), "owners: %v", c.owners())
		c.resetCounts()
		c.advance(time.Minute)
		require.Zero(t, c.appends, "hosts append records although they agree on all owners")
	})
}

func TestHostsThatForceEachOthersSlotsBackOff(t *testing.T) {
	for _, test := range []struct {
		name  string
		hosts int
		time  time.Duration
		// maxClaimsPerSlot is the exclusive upper bound of the mean number of forced claims of a slot.
		maxClaimsPerSlot int
	}{{"two hosts", 2, 10 * time.Minute, 15}, {"one of twelve", 12, time.Minute, 5}} {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(test.hosts)
			c.advance(convergenceTime)
			c.resetCounts()
			c.isolate(c.hosts[0])
			c.advance(test.time)
			t.Logf("%d hosts, one cut from the others but not from the log, %s: %d forced claims of slots (%.1f a slot) in %d appends",
				test.hosts, test.time, c.forced, float64(c.forced)/id.SlotCount, c.appends)
			require.Positive(t, c.forced)
			require.Less(t, c.forced, test.maxClaimsPerSlot*id.SlotCount)
			require.Less(t, c.appends, int(test.time/time.Second))
		})
	}
}

func TestOnlySlotsOfLostHostMove(t *testing.T) {
	c := newCluster(12)
	c.advance(convergenceTime)
	require.True(t, c.hasConverged())
	t.Logf("12 hosts start: %d slots claimed in %d appends", c.claims, c.appends)
	c.resetCounts()
	lost := c.owners()[c.hosts[3].name]
	c.hosts[3].dead = true
	begin := c.now
	for !c.hasConverged() {
		c.advance(tick)
		require.Less(t, c.now.Sub(begin), convergenceTime)
	}
	t.Logf("loss of one of 12 hosts: %d slots forced in %d appends, all owned after %s", c.forced, c.appends, c.now.Sub(begin))
	require.Equal(t, lost, c.forced, "only the lost host's slots move")
	require.Equal(t, lost, c.claims)
	require.LessOrEqual(t, c.appends, 11)
}

func TestJoinLeaveAndFlapMoveOnlyTheHostsShare(t *testing.T) {
	c := newCluster(11)
	c.advance(convergenceTime)
	c.resetCounts()
	joined := c.addHost()
	c.advance(convergenceTime)
	require.True(t, c.hasConverged())
	share := c.owners()[joined.name]
	require.Equal(t, share, c.claims, "only the joining host's share moves")
	require.Zero(t, c.forced)
	t.Logf("join of the twelfth host: %d slots in %d appends", share, c.appends)

	c.resetCounts()
	joined.leaving = true
	c.advance(convergenceTime)
	require.True(t, c.hasConverged())
	require.Equal(t, share, c.claims)
	require.Zero(t, c.forced)
	t.Logf("leave of the twelfth host: %d slots in %d appends", c.claims, c.appends)

	c.resetCounts()
	joined.leaving = false
	for range 10 {
		c.advance(3 * time.Second)
		joined.frozen = !joined.frozen
	}
	joined.frozen = false
	c.advance(convergenceTime)
	require.True(t, c.hasConverged())
	require.LessOrEqual(t, c.claims, 12*share)
	t.Logf("a host that freezes for 3 s five times in 30 s: %d slots claimed, %d by force, in %d appends", c.claims, c.forced, c.appends)
}

func TestResumedProcessForcesNoClaims(t *testing.T) {
	c := newCluster(3)
	c.advance(convergenceTime)
	for _, h := range c.hosts {
		h.frozen = true
	}
	c.advance(time.Minute)
	c.resetCounts()
	for _, h := range c.hosts {
		h.frozen = false
	}
	// All hosts were paused, so none has appended a record, and the first one plans before it hears a heartbeat.
	c.applyLog(c.hosts[0])
	plan := c.hosts[0].planner.Plan(c.now, c.view(c.hosts[0]))
	require.Empty(t, plan.ForcedClaims, "a resumed process must not force slots of hosts that seem silent")
	c.advance(convergenceTime)
	require.True(t, c.hasConverged())
	require.Zero(t, c.forced)
}

func TestRestartedHostReclaimsItsSlots(t *testing.T) {
	c := newCluster(3)
	c.advance(convergenceTime)
	c.resetCounts()
	h := c.hosts[0]
	owned := c.owners()[h.name]
	h.incarnation, h.planner, h.state, h.nextRecord = "another-run", &slotassignment.Planner{}, &projection.Programs{}, 0
	c.advance(time.Second)
	require.Equal(t, owned, c.forced)
	require.True(t, c.hasConverged())
}

func TestRendezvousHashingSpreadsSlotsEvenly(t *testing.T) {
	for _, hosts := range []int{3, 12, 100} {
		var names []id.Host
		for i := range hosts {
			names = append(names, id.Host(fmt.Sprintf("host-%03d", i)))
		}
		var table slotassignment.RendezvousTable
		table.Update(names)
		counts := make(map[id.Host]int)
		for number := range id.SlotCount {
			counts[table.Owner(id.Slot(number))]++
		}
		most := 0
		for _, count := range counts {
			most = max(most, count)
		}
		mean := float64(id.SlotCount) / float64(hosts)
		t.Logf("%d hosts: the host with most slots has %.2f times the mean", hosts, float64(most)/mean)
		require.Len(t, counts, hosts)
		require.Less(t, float64(most)/mean, 1.6)
	}
}

func TestSlotsDueForSnapshotAreSpreadAndOldestFirst(t *testing.T) {
	const retention = time.Hour
	now := time.Unix(1_000_000, 0)
	slots := []id.Slot{0, 1, 4000, 4095}
	ages := map[id.Slot]time.Duration{0: 16 * time.Minute, 1: 20 * time.Minute, 4000: 16 * time.Minute, 4095: 31 * time.Minute}
	latest := func(s id.Slot) projection.SnapshotMeta {
		return projection.SnapshotMeta{WrittenUnixMillis: now.Add(-ages[s]).UnixMilli()}
	}
	require.Equal(t, []id.Slot{4095, 1, 0}, slotassignment.SlotsDueForSnapshot(now, retention, slots, latest))
	require.Equal(t, slots, slotassignment.SlotsDueForSnapshot(now, retention, slots, func(id.Slot) projection.SnapshotMeta { return projection.SnapshotMeta{} }))
	ahead := func(id.Slot) projection.SnapshotMeta {
		return projection.SnapshotMeta{WrittenUnixMillis: now.Add(time.Hour).UnixMilli()}
	}
	require.Equal(t, slots, slotassignment.SlotsDueForSnapshot(now, retention, slots, ahead), "a snapshot time in the future must not delay the next snapshot")
}

// isolate cuts the heartbeats between a host and all others in both directions.
func (c *cluster) isolate(lone *host) {
	for _, h := range c.hosts {
		if h != lone {
			h.heartbeatsCut[lone.name], lone.heartbeatsCut[h.name] = true, true
		}
	}
}

func TestHostWithRecentRecordsIsNotSilent(t *testing.T) {
	c := newCluster(2)
	c.advance(convergenceTime)
	c.resetCounts()
	c.isolate(c.hosts[0])
	for range 20 {
		for _, h := range c.hosts {
			c.append(h, &recordpb.Record{Body: &recordpb.Record_Release{Release: &recordpb.Release{}}})
		}
		c.advance(time.Second)
	}
	require.Zero(t, c.forced, "records of a host count as signs of life")
}

func TestHostThatHearsMinorityWaitsLonger(t *testing.T) {
	c := newCluster(12)
	c.advance(convergenceTime)
	c.resetCounts()
	lone := c.hosts[0]
	share := c.owners()[lone.name]
	c.isolate(lone)
	c.advance(convergenceTime)
	require.Equal(t, share, c.forced, "the others take the lone host's slots, and it takes none of theirs")
	require.Zero(t, c.owners()[lone.name])
}

func TestRepeatedForcedClaimsCountOnceAgainstCap(t *testing.T) {
	c := newCluster(2)
	c.advance(convergenceTime)
	lost := c.owners()[c.hosts[1].name]
	c.hosts[1].dead = true
	h := c.hosts[0]
	forced := 0
	for range 50 {
		// No claim is appended to the log.
		c.now = c.now.Add(tick)
		forced = len(h.planner.Plan(c.now, c.view(h)).ForcedClaims)
	}
	require.Equal(t, lost, forced, "each attempt asks for all of the lost host's slots")
}
