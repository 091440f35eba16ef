package cluster

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/twitchtv/twirp"

	"cardamomward/io/fleet/fleetpb"
	"cardamomward/io/reverseproxy"
	"cardamomward/platform"
)

const testSlotOwner = "slot-owner"

// countingOwner passes calls to the owner of a slot and counts the turns that it is sent.
type countingOwner struct {
	fleetpb.Slots

	sentTurns       atomic.Int64
	sentTranscripts atomic.Int64
	statusCalls     atomic.Int64
	isEarlyRelease  bool
	// transferTime is the time until the owner has received a turn.
	transferTime time.Duration
}

func (o *countingOwner) EndTurn(ctx context.Context, req *fleetpb.EndTurnRequest) (*fleetpb.EndTurnReply, error) {
	o.sentTurns.Add(1)
	if len(req.Kept.Base) > 0 {
		o.sentTranscripts.Add(1)
	}
	time.Sleep(o.transferTime)

	return o.Slots.EndTurn(ctx, req)
}

func (o *countingOwner) TurnStatus(ctx context.Context, req *fleetpb.TurnStatusRequest) (*fleetpb.TurnStatusReply, error) {
	o.statusCalls.Add(1)
	if o.isEarlyRelease {
		return nil, twirp.NewError(twirp.BadRoute, "no handler")
	}

	return o.Slots.TurnStatus(ctx, req)
}

// newTestHolder returns a host that reaches the slot's owner through a counter of its calls, and the store at any time.
func newTestHolder(t *testing.T, owner *countingOwner) *Cluster {
	t.Helper()
	holder := newTestHost(t, &fakeStore{partitions: make(map[platform.Partition]*fakePartition)}, "127.0.0.2")
	holder.setOwnership(&ownership{generation: 1 << 40, owners: []string{testSlotOwner}})
	holder.peerClientsMu.Lock()
	defer holder.peerClientsMu.Unlock()
	holder.peerClients[testSlotOwner] = owner

	return holder
}

// silenceStore makes the store silent for its hosts until the returned function is called.
func silenceStore(store *fakeStore) (end func()) {
	before := time.Now().Add(-time.Minute)
	store.beforeAppend.set(func(platform.AppendBatch) error { return errors.New("the store is unavailable") })
	store.lastResponseTime.set(func() time.Time { return before })

	return func() {
		store.beforeAppend.clear()
		store.lastResponseTime.clear()
	}
}

func holdTurn(t *testing.T, holder *Cluster, turn *fleetpb.KeptTurn) *heldTurn {
	t.Helper()

	return holder.holdUntilDurable(t.Context(), &fleetpb.EndTurnRequest{Workspace: turn.Workspace, Program: turn.Program, Kept: turn}, maxStatusInterval)
}

func requireSettled(t *testing.T, held *heldTurn) {
	t.Helper()
	select {
	case <-held.settled:
	case <-time.After(2 * testTimeout):
		t.Fatal("the turn is still held")
	}
	require.True(t, held.isDurable)
}

// In an outage each of several holders sent the turn and its transcript to the owner five times a second, which took all bandwidth of
// owners with slow links until long after the outage.
func TestHeldTurnIsNotSentAgainToOwnerThatHasIt(t *testing.T) {
	c, store := newTestCluster(t)
	join(t, c)
	endOutage := silenceStore(store)
	turn := newKeptTurn("first", "")
	reply, err := (&slotServer{cluster: c}).EndTurn(t.Context(), &fleetpb.EndTurnRequest{Workspace: turn.Workspace, Program: turn.Program, Kept: turn})
	require.NoError(t, err)
	require.False(t, reply.Durable)
	owner := &countingOwner{Slots: &slotServer{cluster: c}}
	held := holdTurn(t, newTestHolder(t, owner), turn)
	require.Never(t, func() bool { return owner.sentTurns.Load() > 0 }, time.Second, 20*time.Millisecond)
	require.LessOrEqual(t, owner.statusCalls.Load(), int64(6), "the interval grows")
	endOutage()
	requireSettled(t, held)
	require.Zero(t, owner.sentTurns.Load())
	require.True(t, store.hasRecord(c.slots[0].partition(), turnKeyPrefix+"first"))
}

// Holders that find at the same time that the owner lacks a turn all sent it, while the first transfer was still in progress.
func TestTurnThatOwnerLacksIsSentByFewOfItsHolders(t *testing.T) {
	const holders = 8
	simulate(t, func(t *testing.T) {
		c, store := newTestCluster(t)
		join(t, c)
		owner := &countingOwner{Slots: &slotServer{cluster: c}, transferTime: 20 * time.Millisecond}
		turn := newKeptTurn("first", "")
		var all []*heldTurn
		for range holders {
			all = append(all, holdTurn(t, newTestHolder(t, owner), turn))
		}
		for _, held := range all {
			requireSettled(t, held)
		}
		require.Positive(t, owner.sentTurns.Load())
		require.Less(t, owner.sentTurns.Load(), int64(holders), "a holder that has waited finds that the owner has the turn")
		require.True(t, store.hasRecord(c.slots[0].partition(), turnKeyPrefix+"first"))
	})
}

// The transcript is most of a turn's size, and an owner that has the previous turn does not need it.
func TestHeldTurnIsSentWithoutTranscriptToOwnerThatHasPreviousTurn(t *testing.T) {
	c, store := newTestCluster(t)
	join(t, c)
	storeTurn(t, c, newKeptTurn("first", ""))
	owner := &countingOwner{Slots: &slotServer{cluster: c}}
	turn := newKeptTurn("second", "first")
	turn.Base = []byte("first;done\n")
	requireSettled(t, holdTurn(t, newTestHolder(t, owner), turn))
	require.EqualValues(t, 1, owner.sentTurns.Load())
	require.Zero(t, owner.sentTranscripts.Load())
	require.True(t, store.hasRecord(c.slots[0].partition(), turnKeyPrefix+"second"))
}

func TestHeldTurnReachesOwnerOfEarlierRelease(t *testing.T) {
	c, store := newTestCluster(t)
	join(t, c)
	owner := &countingOwner{Slots: &slotServer{cluster: c}, isEarlyRelease: true}
	requireSettled(t, holdTurn(t, newTestHolder(t, owner), newKeptTurn("first", "")))
	require.EqualValues(t, 1, owner.sentTurns.Load())
	require.True(t, store.hasRecord(c.slots[0].partition(), turnKeyPrefix+"first"))
}

// A copy may come without its transcript first.
func TestHeldTurnIsSentWithTranscriptThatCameLater(t *testing.T) {
	c, _ := newTestCluster(t)
	join(t, c)
	owner := &countingOwner{Slots: &slotServer{cluster: c}}
	holder := newTestHolder(t, owner)
	turn := newKeptTurn("second", "first")
	held := holdTurn(t, holder, turn)
	whole := newKeptTurn("second", "first")
	whole.Base = []byte("first;done\n")
	require.Same(t, held, holdTurn(t, holder, whole))
	requireSettled(t, held)
}

// recallingHolder passes calls to a holder and counts the turns that it sends.
type recallingHolder struct {
	fleetpb.Slots

	sentTurns atomic.Int64
}

func (h *recallingHolder) Recall(ctx context.Context, req *fleetpb.RecallRequest) (*fleetpb.RecallReply, error) {
	reply, err := h.Slots.Recall(ctx, req)
	h.sentTurns.Add(int64(len(reply.GetTurns())))

	return reply, err
}

// Each holder of a turn sent it to a new owner, whose link was busy for longer than it waits.
func TestNewOwnerFetchesHeldTurnFromOneOfItsHolders(t *testing.T) {
	c, store := newTestCluster(t)
	var holders []*recallingHolder
	for i := range 4 {
		member := fmt.Sprintf("127.0.0.%d:7780", 2+i)
		holder := newTestHost(t, store, "127.0.0.2")
		holder.isStopped.Store(true) // It holds the turn without calling the owner.
		holder.heldTurns["first"] = &heldTurn{turn: newKeptTurn("first", "")}
		recalling := &recallingHolder{Slots: &slotServer{cluster: holder}}
		holders = append(holders, recalling)
		c.peers.addSilentPeer(member, time.Now())
		c.peerClients[member] = recalling
	}
	join(t, c)
	require.Equal(t, reverseproxy.TurnAllowed, c.BeginTurn(t.Context(), newTurn("second", "first")).Status)
	sent := int64(0)
	for _, holder := range holders {
		sent += holder.sentTurns.Load()
	}
	require.EqualValues(t, 1, sent)
	require.Eventually(t, func() bool { return store.hasRecord(c.slots[0].partition(), turnKeyPrefix+"first") }, testTimeout, 20*time.Millisecond)
}
