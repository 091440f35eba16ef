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
	// convergenceTime is how long the hosts may take to agree once they hear each other.
	convergenceTime = 10 * time.Second
)

// cluster is a set of hosts on one log, in steps of fake time.
type cluster struct {
	now   time.Time
	log   []*record.Record
	hosts []*host
	// claims and forced count the slots in valid claims, appends all records.
	claims, forced, appends int
}

type host struct {
	name        id.Host
	run         id.Incarnation
	state       *projection.Programs
	read        int
	planner     *slotassignment.Planner
	heard       map[id.Host]time.Time
	unreachable map[id.Host]bool
	// logUnreachable cuts the host from the log; dead and frozen ones do nothing.
	logUnreachable, dead, frozen, leaving bool
}

func newCluster(count int) *cluster {
	f := &cluster{now: time.Unix(1_000_000, 0)}
	for range count {
		f.addHost()
	}

	return f
}

func (f *cluster) addHost() *host {
	h := &host{
		name:        id.Host(fmt.Sprintf("host-%02d", len(f.hosts)+1)),
		run:         id.Incarnation(id.NewRandom()),
		state:       &projection.Programs{},
		planner:     &slotassignment.Planner{},
		heard:       make(map[id.Host]time.Time),
		unreachable: make(map[id.Host]bool),
	}
	f.hosts = append(f.hosts, h)

	return h
}

func (f *cluster) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tick) {
		for _, h := range f.hosts {
			if !h.dead && !h.frozen {
				f.stepHost(h)
			}
		}
	}
}

func (f *cluster) stepHost(h *host) {
	for _, other := range f.hosts {
		if other != h && !other.dead && !other.frozen && !h.unreachable[other.name] {
			h.heard[other.name] = f.now
		}
	}
	if h.logUnreachable {
		return
	}
	f.applyLog(h)
	plan := h.planner.Plan(f.now, f.view(h))
	f.claim(h, plan.Claims, false)
	f.claim(h, plan.ForcedClaims, true)
	if len(plan.Releases) > 0 {
		slots, epochs := columns(plan.Releases)
		f.append(h, &recordpb.Record{Body: &recordpb.Record_Release{Release: &recordpb.Release{Slots: slots, Epochs: epochs}}})
	}
	f.applyLog(h)
}

func (f *cluster) view(h *host) slotassignment.ClusterView {
	var live []id.Host
	listed := 0
	for _, other := range f.hosts {
		if !other.leaving {
			listed++
		}
		heard := f.now.Sub(h.heard[other.name]) < slotassignment.SilenceTimeout
		if !other.leaving && (other == h || heard) {
			live = append(live, other.name)
		}
	}
	slices.Sort(live)

	return slotassignment.ClusterView{
		Self: h.name, Run: h.run, Leaving: h.leaving, LiveHosts: live, ListedHostCount: listed, Slots: &h.state.Slots,
		SilenceOf:         func(name id.Host) time.Duration { return f.now.Sub(h.heard[name]) },
		HasRunningCalls:   func(id.Slot) bool { return false },
		HasPendingRelease: func(id.Slot) bool { return false },
	}
}

func (f *cluster) claim(h *host, targets []slotassignment.SlotEpoch, forced bool) {
	if len(targets) == 0 {
		return
	}
	slots, epochs := columns(targets)
	f.append(h, &recordpb.Record{Body: &recordpb.Record_Claim{Claim: &recordpb.Claim{
		Slots: slots, Epochs: epochs, Forced: forced, Run: string(h.run),
	}}})
	f.claims += len(targets)
	if forced {
		f.forced += len(targets)
	}
}

func columns(targets []slotassignment.SlotEpoch) (slots []uint32, epochs []uint64) {
	for _, target := range targets {
		slots = append(slots, uint32(target.Slot))
		epochs = append(epochs, uint64(target.Epoch))
	}

	return slots, epochs
}

func (f *cluster) append(h *host, rec *recordpb.Record) {
	rec.Id, rec.Host = fmt.Sprint(len(f.log)), string(h.name)
	f.log = append(f.log, rec)
	f.appends++
}

func (f *cluster) applyLog(h *host) {
	for ; h.read < len(f.log); h.read++ {
		h.state.Apply(id.NewPosition(id.Offset(h.read), 0), f.log[h.read])
	}
}

// owners returns how many slots each live host owns, as the log says.
func (f *cluster) owners() map[id.Host]int {
	reader := &host{state: &projection.Programs{}}
	f.applyLog(reader)
	owners := make(map[id.Host]int)
	for number := range id.SlotCount {
		if state := reader.state.Slot(id.Slot(number)); state.State == projection.SlotOwned {
			owners[state.Owner]++
		}
	}

	return owners
}

// settled reports whether each slot is with the host that rendezvous hashing names.
func (f *cluster) converged() bool {
	var table slotassignment.RendezvousTable
	var live []id.Host
	for _, h := range f.hosts {
		if !h.dead && !h.leaving {
			live = append(live, h.name)
		}
	}
	table.Update(live)
	reader := &host{state: &projection.Programs{}}
	f.applyLog(reader)
	for number := range id.SlotCount {
		state := reader.state.Slot(id.Slot(number))
		if state.State != projection.SlotOwned || state.Owner != table.Owner(id.Slot(number)) {
			return false
		}
	}

	return true
}

func (f *cluster) resetCounts() { f.claims, f.forced, f.appends = 0, 0, 0 }

// Whatever was cut, frozen or lost, the owners agree once the hosts hear each other.
func TestOwnersConvergeAfterRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts, minutes = 4, 3
		f := newCluster(hosts)
		f.advance(convergenceTime)
		f.resetCounts()
		for end := f.now.Add(minutes * time.Minute); f.now.Before(end); {
			h := f.hosts[rapid.IntRange(0, hosts-1).Draw(t, "host")]
			other := f.hosts[rapid.IntRange(0, hosts-1).Draw(t, "other")]
			switch rapid.IntRange(0, 3).Draw(t, "fault") {
			case 0:
				h.unreachable[other.name], other.unreachable[h.name] = !h.unreachable[other.name], !h.unreachable[other.name]
			case 1:
				h.unreachable[other.name] = !h.unreachable[other.name]
			case 2:
				h.logUnreachable = !h.logUnreachable
			default:
				h.frozen = !h.frozen
			}
			f.advance(time.Duration(rapid.IntRange(200, 8000).Draw(t, "ms")) * time.Millisecond)
		}
		require.LessOrEqual(t, f.forced, hosts*(minutes+1)*id.SlotCount, "forced claims are capped")
		for _, h := range f.hosts {
			h.unreachable, h.logUnreachable, h.frozen = make(map[id.Host]bool), false, false
		}
		f.advance(convergenceTime)
		require.True(t, f.converged(), "owners: %v", f.owners())
		f.resetCounts()
		f.advance(time.Minute)
		require.Zero(t, f.appends, "nothing is claimed once all agree")
	})
}

func TestHostsThatForceEachOthersSlotsBackOff(t *testing.T) {
	for _, c := range []struct {
		name  string
		hosts int
		time  time.Duration
		// most bounds the claims of each slot.
		most int
	}{{"two hosts", 2, 10 * time.Minute, 15}, {"one of twelve", 12, time.Minute, 5}} {
		t.Run(c.name, func(t *testing.T) {
			f := newCluster(c.hosts)
			f.advance(convergenceTime)
			f.resetCounts()
			f.isolate(f.hosts[0])
			f.advance(c.time)
			t.Logf("%d hosts, one cut from the others but not from the log, %s: %d forced claims of slots (%.1f a slot) in %d appends",
				c.hosts, c.time, f.forced, float64(f.forced)/id.SlotCount, f.appends)
			require.Positive(t, f.forced)
			require.Less(t, f.forced, c.most*id.SlotCount)
			require.Less(t, f.appends, int(c.time/time.Second))
		})
	}
}

func TestOnlySlotsOfLostHostMove(t *testing.T) {
	f := newCluster(12)
	f.advance(convergenceTime)
	require.True(t, f.converged())
	t.Logf("12 hosts start: %d slots claimed in %d appends", f.claims, f.appends)
	f.resetCounts()
	lost := f.owners()[f.hosts[3].name]
	f.hosts[3].dead = true
	begin := f.now
	for !f.converged() {
		f.advance(tick)
		require.Less(t, f.now.Sub(begin), convergenceTime)
	}
	t.Logf("loss of one of 12 hosts: %d slots forced in %d appends, all owned after %s", f.forced, f.appends, f.now.Sub(begin))
	require.Equal(t, lost, f.forced, "only the lost host's slots move")
	require.Equal(t, lost, f.claims)
	require.LessOrEqual(t, f.appends, 11)
}

func TestJoinLeaveAndFlapMoveOnlyTheHostsShare(t *testing.T) {
	f := newCluster(11)
	f.advance(convergenceTime)
	f.resetCounts()
	joined := f.addHost()
	f.advance(convergenceTime)
	require.True(t, f.converged())
	share := f.owners()[joined.name]
	require.Equal(t, share, f.claims, "only the joining host's share moves")
	require.Zero(t, f.forced)
	t.Logf("join of the twelfth host: %d slots in %d appends", share, f.appends)

	f.resetCounts()
	joined.leaving = true
	f.advance(convergenceTime)
	require.True(t, f.converged())
	require.Equal(t, share, f.claims)
	require.Zero(t, f.forced)
	t.Logf("leave of the twelfth host: %d slots in %d appends", f.claims, f.appends)

	f.resetCounts()
	joined.leaving = false
	for range 10 {
		f.advance(3 * time.Second)
		joined.frozen = !joined.frozen
	}
	joined.frozen = false
	f.advance(convergenceTime)
	require.True(t, f.converged())
	require.LessOrEqual(t, f.claims, 12*share)
	t.Logf("a host that freezes for 3 s five times in 30 s: %d slots claimed, %d by force, in %d appends", f.claims, f.forced, f.appends)
}

func TestResumedProcessForcesNoClaims(t *testing.T) {
	f := newCluster(3)
	f.advance(convergenceTime)
	for _, h := range f.hosts {
		h.frozen = true
	}
	f.advance(time.Minute)
	f.resetCounts()
	for _, h := range f.hosts {
		h.frozen = false
	}
	// All were paused, so none has written; the first one hears of nobody before it decides.
	f.applyLog(f.hosts[0])
	plan := f.hosts[0].planner.Plan(f.now, f.view(f.hosts[0]))
	require.Empty(t, plan.ForcedClaims, "all others seem silent to a process that slept")
	f.advance(convergenceTime)
	require.True(t, f.converged())
	require.Zero(t, f.forced)
}

func TestRestartedHostReclaimsItsSlots(t *testing.T) {
	f := newCluster(3)
	f.advance(convergenceTime)
	f.resetCounts()
	h := f.hosts[0]
	owned := f.owners()[h.name]
	h.run, h.planner, h.state, h.read = "another-run", &slotassignment.Planner{}, &projection.Programs{}, 0
	f.advance(time.Second)
	require.Equal(t, owned, f.forced)
	require.True(t, f.converged())
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
		t.Logf("%d hosts: the fullest has %.2f times the mean", hosts, float64(most)/mean)
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
	require.Equal(t, slots, slotassignment.SlotsDueForSnapshot(now, retention, slots, ahead), "a clock that ran ahead does not put the next one off")
}

// split makes a host and all others deaf to each other.
func (f *cluster) isolate(lone *host) {
	for _, h := range f.hosts {
		if h != lone {
			h.unreachable[lone.name], lone.unreachable[h.name] = true, true
		}
	}
}

func TestHostWithRecentRecordsIsNotSilent(t *testing.T) {
	f := newCluster(2)
	f.advance(convergenceTime)
	f.resetCounts()
	f.isolate(f.hosts[0])
	for range 20 {
		for _, h := range f.hosts {
			f.append(h, &recordpb.Record{Body: &recordpb.Record_Release{Release: &recordpb.Release{}}})
		}
		f.advance(time.Second)
	}
	require.Zero(t, f.forced, "records are heard where heartbeats are not")
}

func TestHostThatHearsMinorityWaitsLonger(t *testing.T) {
	f := newCluster(12)
	f.advance(convergenceTime)
	f.resetCounts()
	lone := f.hosts[0]
	share := f.owners()[lone.name]
	f.isolate(lone)
	f.advance(convergenceTime)
	require.Equal(t, share, f.forced, "the others take the lone host's slots, and it takes none of theirs")
	require.Zero(t, f.owners()[lone.name])
}

func TestRepeatedForcedClaimsCountOnceAgainstCap(t *testing.T) {
	f := newCluster(2)
	f.advance(convergenceTime)
	lost := f.owners()[f.hosts[1].name]
	f.hosts[1].dead = true
	h := f.hosts[0]
	forced := 0
	for range 50 {
		// The log takes none of the claims.
		f.now = f.now.Add(tick)
		forced = len(h.planner.Plan(f.now, f.view(h)).ForcedClaims)
	}
	require.Equal(t, lost, forced, "each attempt asks for all of the lost host's slots")
}
