package cluster

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"cardamomward/core/id"
	"cardamomward/io/fleet/fleetpb"
	"cardamomward/platform"
)

// simulate runs a test in simulated time, and lets the calls end that are retried until a turn's retention ends.
func simulate(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(2 * maxHoldTime)
		test(t)
	})
}

// connect makes calls of a host to another one reach it.
func connect(from, to *Cluster) { from.setPeerClient(to.self, &slotServer{cluster: to}) }

func (c *Cluster) setPeerClient(member string, client fleetpb.Slots) {
	c.peerClientsMu.Lock()
	defer c.peerClientsMu.Unlock()
	c.peerClients[member] = client
}

// requireDurable requires that the store has a turn soon. The limit allows for a busy machine.
func requireDurable(t *testing.T, c *Cluster, store *fakeStore, turn string) {
	t.Helper()
	require.Eventually(t, func() bool { return store.hasRecord(c.slots[0].partition(), turnKeyPrefix+turn) }, testTimeout, 5*time.Millisecond)
}

// The hosts that hold the copies of a turn are lost, and no request comes for its slot after the outage.
func TestTurnThatOnlyActingOwnerHasIsDurableAfterOutage(t *testing.T) {
	acting, store := newTestCluster(t)
	go acting.releaseActingSlotsLoop(t.Context())
	store.lastResponseTime.set(func() time.Time { return time.Time{} })
	s := acting.slots[0]
	s.mu.Lock()
	s.actForOwner(t.Context())
	s.mu.Unlock()
	require.Eventually(t, acting.isServing, testTimeout, time.Millisecond)
	reply, err := (&slotServer{cluster: acting}).EndTurn(t.Context(), &fleetpb.EndTurnRequest{
		Workspace: string(testWorkspace), Program: string(testProgram), Kept: newKeptTurn("first", ""),
	})
	require.NoError(t, err)
	require.Equal(t, fleetpb.Outcome_OUTCOME_OK, reply.Outcome)
	require.False(t, reply.Durable)

	owner := newTestHost(t, store, "127.0.0.2")
	connect(acting, owner)
	store.lastResponseTime.clear()
	join(t, owner)
	requireDurable(t, owner, store, "first")
}

// holdDuringOutage returns a host that holds a turn while the store is down and nobody owns the turn's slot.
func holdDuringOutage(t *testing.T, kept *fleetpb.KeptTurn) (*Cluster, *fakeStore) {
	t.Helper()
	holder, store := newTestCluster(t)
	store.lastResponseTime.set(func() time.Time { return time.Time{} })
	_, err := (&slotServer{cluster: holder}).Hold(t.Context(), &fleetpb.HoldRequest{Turn: kept})
	require.NoError(t, err)

	return holder, store
}

// Copies of turns were given up 20 s after the turns, and lost with the owner.
func TestCopyOfTurnIsHeldThroughLongOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		holder, store := holdDuringOutage(t, newKeptTurn("first", ""))
		time.Sleep(50 * time.Second)
		store.lastResponseTime.clear()
		owner := newTestHost(t, store, "127.0.0.2")
		connect(holder, owner)
		join(t, owner)
		requireDurable(t, owner, store, "first")
	})
}

func TestCopyOfTurnIsGivenUpAfterItsRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		holder, _ := holdDuringOutage(t, newKeptTurn("first", ""))
		time.Sleep(time.Minute + time.Second)
		holder.heldMu.Lock()
		defer holder.heldMu.Unlock()
		require.Empty(t, holder.heldTurns)
	})
}

// hangingOwner is an owner whose connection is lost without a sign: calls get no response until it is replaced.
type hangingOwner struct {
	fleetpb.Slots

	// calls are the remaining calls without a response.
	calls atomic.Int64
}

func (o *hangingOwner) EndTurn(ctx context.Context, req *fleetpb.EndTurnRequest) (*fleetpb.EndTurnReply, error) {
	if o.calls.Add(-1) >= 0 {
		<-ctx.Done()

		return nil, ctx.Err()
	}

	return o.Slots.EndTurn(ctx, req)
}

// A host that loses power and starts again keeps its address, so callers do not see that the owner has changed.
func TestTurnIsSentAgainAfterCallWithoutResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		holder, store := newTestCluster(t)
		owner := newTestHost(t, store, "127.0.0.2")
		hanging := &hangingOwner{Slots: &slotServer{cluster: owner}}
		hanging.calls.Store(1)
		holder.setPeerClient(owner.self, hanging)
		join(t, owner)
		holder.setOwnership(&ownership{owners: []string{owner.self}})
		_, err := (&slotServer{cluster: holder}).Hold(t.Context(), &fleetpb.HoldRequest{Turn: newKeptTurn("first", "")})
		require.NoError(t, err)
		time.Sleep(settleCallTimeout)
		requireDurable(t, owner, store, "first")
	})
}

// After an outage, an owner that served its slot from memory reads the slot's records first. Turns that were answered meanwhile were in
// memory only, although the store was back.
func TestTurnWaitsForStoreOnceItsPartitionIsUp(t *testing.T) {
	simulate(t, func(t *testing.T) {
		c, store := newTestCluster(t)
		c.Settings.LinkBytesPerSecond = 75e6
		replaceStore(t, c, &slowStore{fakeStore: store, delay: time.Second})
		store.beforeAppend.set(func(platform.AppendBatch) error { return platform.ErrInDoubt.New("no response") })
		c.renewMembership(t.Context())
		time.Sleep(2 * storeContactTimeout)
		require.True(t, c.isServing())
		endTurn := func(kept *fleetpb.KeptTurn) *fleetpb.EndTurnReply {
			reply, err := (&slotServer{cluster: c}).EndTurn(t.Context(), &fleetpb.EndTurnRequest{Workspace: kept.Workspace, Program: kept.Program, Kept: kept})
			require.NoError(t, err)

			return reply
		}
		reply := endTurn(newKeptTurn("first", ""))
		require.Equal(t, fleetpb.Outcome_OUTCOME_OK, reply.Outcome)
		require.False(t, reply.Durable, "the partition is down")
		store.beforeAppend.clear()
		time.Sleep(200 * time.Millisecond)
		require.False(t, store.hasRecord(c.slots[0].partition(), turnKeyPrefix+"first"), "the records are being read")
		second := newKeptTurn("second", "first")
		second.Base = []byte("first;done\n")
		reply = endTurn(second)
		require.Equal(t, fleetpb.Outcome_OUTCOME_OK, reply.Outcome)
		require.True(t, reply.Durable)
		require.True(t, store.hasRecord(c.slots[0].partition(), turnKeyPrefix+"second"))
		requireDurable(t, c, store, "first")
	})
}

// The replies of hosts that hold the turns of a long outage took longer than a new owner waits, and the counts of programs were lost
// with them.
func TestReplyToNewOwnerIsSmallAndHeldTurnsReachItAnyway(t *testing.T) {
	const turns = 200
	simulate(t, func(t *testing.T) {
		holder, store := newTestCluster(t)
		store.lastResponseTime.set(func() time.Time { return time.Time{} })
		holder.recordWatermark(string(testProgram), 100, 50)
		var ids []string
		for i := range turns {
			kept := newKeptTurn(fmt.Sprintf("turn-%d", i), "")
			kept.Input = make([]byte, 10_000)
			ids = append(ids, kept.Id)
			_, err := (&slotServer{cluster: holder}).Hold(t.Context(), &fleetpb.HoldRequest{Turn: kept})
			require.NoError(t, err)
		}
		reply, err := (&slotServer{cluster: holder}).Recall(t.Context(), &fleetpb.RecallRequest{ById: true})
		require.NoError(t, err)
		require.Len(t, reply.Marks, 1)
		require.ElementsMatch(t, ids, reply.TurnIds)
		require.Less(t, proto.Size(reply), 4<<10)
		reply, err = (&slotServer{cluster: holder}).Recall(t.Context(), &fleetpb.RecallRequest{Turns: ids})
		require.NoError(t, err)
		require.NotEmpty(t, reply.Turns)
		require.Less(t, proto.Size(reply), maxRecalledTurnBytes+4<<10)
		owner := newTestHost(t, store, "127.0.0.2")
		store.lastResponseTime.clear()
		connect(holder, owner)
		join(t, owner)
		for _, id := range ids {
			requireDurable(t, owner, store, id)
		}
	})
}

// All leases expire during an outage, so the slots of hosts that were not lost move, too.
func TestOwnerWritesTurnsOfOutageBeforeItReleasesReassignedSlot(t *testing.T) {
	simulate(t, func(t *testing.T) {
		c, store := newTestCluster(t)
		join(t, c)
		store.beforeAppend.set(func(platform.AppendBatch) error { return platform.ErrInDoubt.New("no response") })
		time.Sleep(time.Second)
		kept := newKeptTurn("first", "")
		reply, err := (&slotServer{cluster: c}).EndTurn(t.Context(), &fleetpb.EndTurnRequest{Workspace: kept.Workspace, Program: kept.Program, Kept: kept})
		require.NoError(t, err)
		require.Equal(t, fleetpb.Outcome_OUTCOME_OK, reply.Outcome)
		require.False(t, reply.Durable)
		store.mu.Lock()
		store.parts = nil
		store.generation++
		store.mu.Unlock()
		var outcome fleetpb.Outcome
		store.beforeAppend.set(func(platform.AppendBatch) error {
			reply, err := (&slotServer{cluster: c}).EndTurn(t.Context(), &fleetpb.EndTurnRequest{Workspace: kept.Workspace, Program: kept.Program})
			require.NoError(t, err)
			outcome = reply.Outcome

			return nil
		})
		c.renewMembership(t.Context())
		requireDurable(t, c, store, "first")
		require.Equal(t, fleetpb.Outcome_OUTCOME_NOT_OWNER, outcome, "the slot is served no more")
		require.False(t, c.isServing())
	})
}

// The first host that renews its lease after an outage is assigned all slots until the others have renewed theirs.
func TestHostDoesNotTakeSlotsOfOthersRightAfterOutage(t *testing.T) {
	const slots, share = 12, 2
	for name, test := range map[string]struct {
		assigned int
		isTaken  bool
	}{"all slots": {slots, false}, "its share": {share, true}} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(t *testing.T) {
				c, store := newTestCluster(t)
				for index := 1; index < slots; index++ {
					c.slots = append(c.slots, newSlot(c, index))
				}
				renew := func() {
					c.peers.mu.Lock()
					for i := range slots/share - 1 {
						address := fmt.Sprintf("127.0.1.%d:1", i)
						c.peers.byHost[id.Host(address)] = &peer{hostEntry: hostEntry{PeerAddress: address, CPUCores: c.Settings.CPUCores}, listedAt: time.Now()}
						c.setPeerClient(address, &slotServer{cluster: c})
					}
					c.peers.mu.Unlock()
					c.renewMembership(t.Context())
				}
				store.mu.Lock()
				store.parts = nil
				for _, s := range c.slots[:test.assigned] {
					store.parts = append(store.parts, s.partition())
				}
				store.mu.Unlock()
				time.Sleep(2 * startupPhaseDuration)
				renew()
				require.Equal(t, test.isTaken, c.ownsAnySlot())
				time.Sleep(startupPhaseDuration + time.Millisecond)
				renew()
				require.True(t, c.ownsAnySlot(), "the others have not renewed their leases")
			})
		})
	}
}
