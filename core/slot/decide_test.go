package slot_test

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
	"cardamomward/core/slot"
)

const (
	tick = 200 * time.Millisecond
	// settleTime is how long the hosts may take to agree once they hear each other.
	settleTime = 10 * time.Second
)

// fleet is a set of hosts on one log, in steps of fake time.
type fleet struct {
	now   time.Time
	log   []*record.Record
	hosts []*host
	// claims and forced count the slots in valid claims, appends all records.
	claims, forced, appends int
}

type host struct {
	name    id.Host
	run     id.Incarnation
	state   *projection.Programs
	read    int
	decider *slot.Decider
	heard   map[id.Host]time.Time
	deaf    map[id.Host]bool
	// noLog cuts the host from the log; dead and frozen ones do nothing.
	noLog, dead, frozen, leaving bool
}

func newFleet(count int) *fleet {
	f := &fleet{now: time.Unix(1_000_000, 0)}
	for range count {
		f.join()
	}

	return f
}

func (f *fleet) join() *host {
	h := &host{
		name:    id.Host(fmt.Sprintf("host-%02d", len(f.hosts)+1)),
		run:     id.Incarnation(id.NewRandom()),
		state:   &projection.Programs{},
		decider: &slot.Decider{},
		heard:   make(map[id.Host]time.Time),
		deaf:    make(map[id.Host]bool),
	}
	f.hosts = append(f.hosts, h)

	return h
}

func (f *fleet) pass(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tick) {
		for _, h := range f.hosts {
			if !h.dead && !h.frozen {
				f.step(h)
			}
		}
	}
}

func (f *fleet) step(h *host) {
	for _, other := range f.hosts {
		if other != h && !other.dead && !other.frozen && !h.deaf[other.name] {
			h.heard[other.name] = f.now
		}
	}
	if h.noLog {
		return
	}
	f.catchUp(h)
	decision := h.decider.Decide(f.now, f.view(h))
	f.claim(h, decision.Claim, false)
	f.claim(h, decision.Force, true)
	if len(decision.Release) > 0 {
		slots, epochs := columns(decision.Release)
		f.append(h, &recordpb.Record{Body: &recordpb.Record_Release{Release: &recordpb.Release{Slots: slots, Epochs: epochs}}})
	}
	f.catchUp(h)
}

func (f *fleet) view(h *host) slot.View {
	var live []id.Host
	listed := 0
	for _, other := range f.hosts {
		if !other.leaving {
			listed++
		}
		heard := f.now.Sub(h.heard[other.name]) < slot.SilenceTimeout
		if !other.leaving && (other == h || heard) {
			live = append(live, other.name)
		}
	}
	slices.Sort(live)

	return slot.View{
		Self: h.name, Run: h.run, Leaving: h.leaving, Live: live, Listed: listed, Slots: &h.state.Slots,
		Silence: func(name id.Host) time.Duration { return f.now.Sub(h.heard[name]) },
		Busy:    func(id.Slot) bool { return false },
		Sealed:  func(id.Slot) bool { return false },
	}
}

func (f *fleet) claim(h *host, targets []slot.Target, forced bool) {
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

func columns(targets []slot.Target) (slots []uint32, epochs []uint64) {
	for _, target := range targets {
		slots = append(slots, uint32(target.Slot))
		epochs = append(epochs, uint64(target.Epoch))
	}

	return slots, epochs
}

func (f *fleet) append(h *host, rec *recordpb.Record) {
	rec.Id, rec.Host = fmt.Sprint(len(f.log)), string(h.name)
	f.log = append(f.log, rec)
	f.appends++
}

func (f *fleet) catchUp(h *host) {
	for ; h.read < len(f.log); h.read++ {
		h.state.Apply(id.NewPosition(id.Offset(h.read), 0), f.log[h.read])
	}
}

// owners returns how many slots each live host owns, as the log says.
func (f *fleet) owners() map[id.Host]int {
	reader := &host{state: &projection.Programs{}}
	f.catchUp(reader)
	owners := make(map[id.Host]int)
	for number := range id.SlotCount {
		if state := reader.state.Slot(id.Slot(number)); state.State == projection.SlotOwned {
			owners[state.Owner]++
		}
	}

	return owners
}

// settled reports whether each slot is with the host that rendezvous hashing names.
func (f *fleet) settled() bool {
	var table slot.Table
	var live []id.Host
	for _, h := range f.hosts {
		if !h.dead && !h.leaving {
			live = append(live, h.name)
		}
	}
	table.Update(live)
	reader := &host{state: &projection.Programs{}}
	f.catchUp(reader)
	for number := range id.SlotCount {
		state := reader.state.Slot(id.Slot(number))
		if state.State != projection.SlotOwned || state.Owner != table.Owner(id.Slot(number)) {
			return false
		}
	}

	return true
}

func (f *fleet) reset() { f.claims, f.forced, f.appends = 0, 0, 0 }

// Whatever was cut, frozen or lost, the owners agree once the hosts hear each other.
func TestOwnersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts, minutes = 4, 3
		f := newFleet(hosts)
		f.pass(settleTime)
		f.reset()
		for end := f.now.Add(minutes * time.Minute); f.now.Before(end); {
			h := f.hosts[rapid.IntRange(0, hosts-1).Draw(t, "host")]
			other := f.hosts[rapid.IntRange(0, hosts-1).Draw(t, "other")]
			switch rapid.IntRange(0, 3).Draw(t, "fault") {
			case 0:
				h.deaf[other.name], other.deaf[h.name] = !h.deaf[other.name], !h.deaf[other.name]
			case 1:
				h.deaf[other.name] = !h.deaf[other.name]
			case 2:
				h.noLog = !h.noLog
			default:
				h.frozen = !h.frozen
			}
			f.pass(time.Duration(rapid.IntRange(200, 8000).Draw(t, "ms")) * time.Millisecond)
		}
		require.LessOrEqual(t, f.forced, hosts*(minutes+1)*id.SlotCount, "forced claims are capped")
		for _, h := range f.hosts {
			h.deaf, h.noLog, h.frozen = make(map[id.Host]bool), false, false
		}
		f.pass(settleTime)
		require.True(t, f.settled(), "owners: %v", f.owners())
		f.reset()
		f.pass(time.Minute)
		require.Zero(t, f.appends, "nothing is claimed once all agree")
	})
}

func TestDuellingHostsBackOff(t *testing.T) {
	for _, c := range []struct {
		name  string
		hosts int
		time  time.Duration
		// most bounds the claims of each slot.
		most int
	}{{"two hosts", 2, 10 * time.Minute, 15}, {"one of twelve", 12, time.Minute, 5}} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(c.hosts)
			f.pass(settleTime)
			f.reset()
			f.split(f.hosts[0])
			f.pass(c.time)
			t.Logf("%d hosts, one cut from the others but not from the log, %s: %d forced claims of slots (%.1f a slot) in %d appends",
				c.hosts, c.time, f.forced, float64(f.forced)/id.SlotCount, f.appends)
			require.Positive(t, f.forced)
			require.Less(t, f.forced, c.most*id.SlotCount)
			require.Less(t, f.appends, int(c.time/time.Second))
		})
	}
}

func TestLossOfAHost(t *testing.T) {
	f := newFleet(12)
	f.pass(settleTime)
	require.True(t, f.settled())
	t.Logf("12 hosts start: %d slots claimed in %d appends", f.claims, f.appends)
	f.reset()
	lost := f.owners()[f.hosts[3].name]
	f.hosts[3].dead = true
	begin := f.now
	for !f.settled() {
		f.pass(tick)
		require.Less(t, f.now.Sub(begin), settleTime)
	}
	t.Logf("loss of one of 12 hosts: %d slots forced in %d appends, all owned after %s", f.forced, f.appends, f.now.Sub(begin))
	require.Equal(t, lost, f.forced, "only the lost host's slots move")
	require.Equal(t, lost, f.claims)
	require.LessOrEqual(t, f.appends, 11)
}

func TestJoinLeaveAndFlap(t *testing.T) {
	f := newFleet(11)
	f.pass(settleTime)
	f.reset()
	joined := f.join()
	f.pass(settleTime)
	require.True(t, f.settled())
	share := f.owners()[joined.name]
	require.Equal(t, share, f.claims, "only the joining host's share moves")
	require.Zero(t, f.forced)
	t.Logf("join of the twelfth host: %d slots in %d appends", share, f.appends)

	f.reset()
	joined.leaving = true
	f.pass(settleTime)
	require.True(t, f.settled())
	require.Equal(t, share, f.claims)
	require.Zero(t, f.forced)
	t.Logf("leave of the twelfth host: %d slots in %d appends", f.claims, f.appends)

	f.reset()
	joined.leaving = false
	for range 10 {
		f.pass(3 * time.Second)
		joined.frozen = !joined.frozen
	}
	joined.frozen = false
	f.pass(settleTime)
	require.True(t, f.settled())
	require.LessOrEqual(t, f.claims, 12*share)
	t.Logf("a host that freezes for 3 s five times in 30 s: %d slots claimed, %d by force, in %d appends", f.claims, f.forced, f.appends)
}

func TestHostThatWakesForcesNothing(t *testing.T) {
	f := newFleet(3)
	f.pass(settleTime)
	for _, h := range f.hosts {
		h.frozen = true
	}
	f.pass(time.Minute)
	f.reset()
	for _, h := range f.hosts {
		h.frozen = false
	}
	// All were paused, so none has written; the first one hears of nobody before it decides.
	f.catchUp(f.hosts[0])
	decision := f.hosts[0].decider.Decide(f.now, f.view(f.hosts[0]))
	require.Empty(t, decision.Force, "all others seem silent to a process that slept")
	f.pass(settleTime)
	require.True(t, f.settled())
	require.Zero(t, f.forced)
}

func TestRestartedHostClaimsItsSlotsAnew(t *testing.T) {
	f := newFleet(3)
	f.pass(settleTime)
	f.reset()
	h := f.hosts[0]
	owned := f.owners()[h.name]
	h.run, h.decider, h.state, h.read = "another-run", &slot.Decider{}, &projection.Programs{}, 0
	f.pass(time.Second)
	require.Equal(t, owned, f.forced)
	require.True(t, f.settled())
}

func TestRendezvousBalance(t *testing.T) {
	for _, hosts := range []int{3, 12, 100} {
		var names []id.Host
		for i := range hosts {
			names = append(names, id.Host(fmt.Sprintf("host-%03d", i)))
		}
		var table slot.Table
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

func TestDueSlotsAreSpreadAndOldestFirst(t *testing.T) {
	const retention = time.Hour
	now := time.Unix(1_000_000, 0)
	slots := []id.Slot{0, 1, 4000, 4095}
	ages := map[id.Slot]time.Duration{0: 16 * time.Minute, 1: 20 * time.Minute, 4000: 16 * time.Minute, 4095: 31 * time.Minute}
	latest := func(s id.Slot) projection.SnapshotMeta {
		return projection.SnapshotMeta{WrittenUnixMillis: now.Add(-ages[s]).UnixMilli()}
	}
	require.Equal(t, []id.Slot{4095, 1, 0}, slot.Due(now, retention, slots, latest))
	require.Equal(t, slots, slot.Due(now, retention, slots, func(id.Slot) projection.SnapshotMeta { return projection.SnapshotMeta{} }))
	ahead := func(id.Slot) projection.SnapshotMeta {
		return projection.SnapshotMeta{WrittenUnixMillis: now.Add(time.Hour).UnixMilli()}
	}
	require.Equal(t, slots, slot.Due(now, retention, slots, ahead), "a clock that ran ahead does not put the next one off")
}

// split makes a host and all others deaf to each other.
func (f *fleet) split(lone *host) {
	for _, h := range f.hosts {
		if h != lone {
			h.deaf[lone.name], lone.deaf[h.name] = true, true
		}
	}
}

func TestHostThatWritesToTheLogIsNotSilent(t *testing.T) {
	f := newFleet(2)
	f.pass(settleTime)
	f.reset()
	f.split(f.hosts[0])
	for range 20 {
		for _, h := range f.hosts {
			f.append(h, &recordpb.Record{Body: &recordpb.Record_Release{Release: &recordpb.Release{}}})
		}
		f.pass(time.Second)
	}
	require.Zero(t, f.forced, "records are heard where heartbeats are not")
}

func TestHostThatHearsFewWaitsLonger(t *testing.T) {
	f := newFleet(12)
	f.pass(settleTime)
	f.reset()
	lone := f.hosts[0]
	share := f.owners()[lone.name]
	f.split(lone)
	f.pass(settleTime)
	require.Equal(t, share, f.forced, "the others take the lone host's slots, and it takes none of theirs")
	require.Zero(t, f.owners()[lone.name])
}

func TestClaimsInDoubtDoNotUseUpTheCap(t *testing.T) {
	f := newFleet(2)
	f.pass(settleTime)
	lost := f.owners()[f.hosts[1].name]
	f.hosts[1].dead = true
	h := f.hosts[0]
	forced := 0
	for range 50 {
		// The log takes none of the claims.
		f.now = f.now.Add(tick)
		forced = len(h.decider.Decide(f.now, f.view(h)).Force)
	}
	require.Equal(t, lost, forced, "each attempt asks for all of the lost host's slots")
}
