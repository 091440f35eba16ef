package cluster

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"cardamomward/core/id"
	"cardamomward/core/inbound"
	"cardamomward/io/fleet/fleetpb"
	"cardamomward/io/reverseproxy"
	"cardamomward/platform"
)

const (
	testWorkspace = id.Workspace("workspace")
	testProgram   = id.Program("program")
	// testTimeout bounds the waits of the tests.
	testTimeout = 3 * time.Second
)

// newTestCluster returns a host with a single slot and a fake store; it has not joined the group yet.
func newTestCluster(t *testing.T) (*Cluster, *fakeStore) {
	t.Helper()
	store := &fakeStore{partitions: make(map[platform.Partition]*fakePartition)}

	return newTestHost(t, store, "127.0.0.1"), store
}

// newTestHost returns a host with a single slot that uses the given store.
func newTestHost(t *testing.T, store *fakeStore, ip string) *Cluster {
	t.Helper()
	c := New(Options{
		Settings: &platform.HostSettings{Name: id.Host(ip), IP: ip, PeerPorts: [2]int{7780, 7780}, Store: platform.StoreSettings{
			Partitions: 1, MinLeaseDuration: time.Hour,
		}},
		Store: platform.NewStore("127.0.0.1:1"), Logger: logr.Discard(), Now: time.Now, IsPartitionedFromUpstreams: func() bool { return false },
		LastStoreResponse: store.lastResponse, RecordStoreResponse: func() {}, HasConfig: func() bool { return true },
	})
	c.store = &swappableStore{}
	store.mu.Lock()
	store.parts = []platform.Partition{c.slots[0].partition()}
	store.mu.Unlock()
	replaceStore(t, c, store)
	c.peers.markHostListRead(nil)
	c.setOwnership(&ownership{owners: []string{c.self}})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go c.slots[0].writer.run(ctx)
	go c.refreshOwnersLoop(ctx)

	return c
}

func (c *Cluster) isServing() bool {
	s := c.slots[0]
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.state == serving && s.unconfirmedSince.IsZero()
}

// join renews the membership until the host serves its slot.
func join(t *testing.T, c *Cluster) {
	t.Helper()
	require.Eventually(t, func() bool {
		c.renewMembership(context.Background())

		return c.isServing()
	}, testTimeout, 20*time.Millisecond)
}

func newKeptTurn(turn, previous string) *fleetpb.KeptTurn {
	return &fleetpb.KeptTurn{
		Id: turn, Program: string(testProgram), Workspace: string(testWorkspace), Previous: previous, Input: []byte(turn + ";"),
		Output: []byte("done\n"), RetentionMillis: time.Minute.Milliseconds(), EndedUnixMillis: time.Now().UnixMilli(),
	}
}

// storeTurn stores a turn at the slot's owner and requires the reply that it is durable.
func storeTurn(t *testing.T, c *Cluster, kept *fleetpb.KeptTurn) {
	t.Helper()
	reply, err := (&slotServer{cluster: c}).EndTurn(t.Context(), &fleetpb.EndTurnRequest{
		Workspace: kept.Workspace, Program: kept.Program, Kept: kept,
	})
	require.NoError(t, err)
	require.Equal(t, fleetpb.Outcome_OUTCOME_OK, reply.Outcome)
	require.True(t, reply.Durable)
}

// appendTurn writes a turn to the store as an owner with the given epoch does.
func appendTurn(t *testing.T, c *Cluster, store *fakeStore, epoch int64, kept *fleetpb.KeptTurn) {
	t.Helper()
	value, err := proto.Marshal(&fleetpb.Record{Kind: &fleetpb.Record_Turn{Turn: kept}})
	require.NoError(t, err)
	_, err = store.Append(t.Context(), platform.AppendBatch{
		Partition: c.slots[0].partition(), Producer: ownerProducer, Epoch: epoch, Sequence: 1,
		Records: []platform.Record{{Key: turnKeyPrefix + kept.Id, Value: value}},
	})
	require.NoError(t, err)
}

// newTurn returns a turn as the proxy passes it to the cluster.
func newTurn(turn, previous string) reverseproxy.Turn {
	return reverseproxy.Turn{
		Request:   &inbound.Request{ID: turn, Program: testProgram, PreviousTurn: previous, Body: []byte(turn + ";")},
		Workspace: testWorkspace, Deadline: time.Now().Add(testTimeout), Retention: time.Minute, RetainsContext: true,
	}
}

// serveForLong makes the slot's owner authoritative, as if it had served for longer than turns can be in doubt.
func serveForLong(c *Cluster) {
	const served = 2 * budgetRetention
	s := c.slots[0]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servingSince, s.turnsInDoubtUntil = s.servingSince.Add(-served), s.turnsInDoubtUntil.Add(-served)
}

func TestDurableTurnIsStoredAfterUnansweredLeave(t *testing.T) {
	c, store := newTestCluster(t)
	join(t, c)
	storeTurn(t, c, newKeptTurn("first", ""))
	store.beforeLeave.set(func() error { return platform.ErrInDoubt.New("no response") })
	c.resignMembership(t.Context())
	store.beforeLeave.clear()
	join(t, c)
	storeTurn(t, c, newKeptTurn("second", "first"))
	require.True(t, store.hasRecord(c.slots[0].partition(), turnKeyPrefix+"second"), "the owner reported the turn as durable")
}

func TestTurnIsKnownAfterUnansweredLeaveAndOwnerLoss(t *testing.T) {
	lost, store := newTestCluster(t)
	join(t, lost)
	storeTurn(t, lost, newKeptTurn("first", ""))
	store.beforeLeave.set(func() error { return platform.ErrInDoubt.New("no response") })
	lost.resignMembership(t.Context())
	store.beforeLeave.clear()
	join(t, lost)
	storeTurn(t, lost, newKeptTurn("second", "first"))
	storeTurn(t, lost, newKeptTurn("third", "second"))
	begun := lost.BeginTurn(t.Context(), newTurn("fourth", "third"))
	require.Equal(t, reverseproxy.TurnAllowed, begun.Status)
	next := newTestHost(t, store, "127.0.0.2")
	join(t, next)
	result := reverseproxy.TurnResult{PriorTranscript: begun.PriorTranscript, Output: []byte("done\n"), IsComplete: true}
	require.True(t, next.EndTurn(t.Context(), newTurn("fourth", "third"), result))
	serveForLong(next)
	require.Equal(t, reverseproxy.TurnAllowed, next.BeginTurn(t.Context(), newTurn("fifth", "fourth")).Status)
}

func TestDurableTurnIsStoredAfterSlotIsFencedDuringRenewal(t *testing.T) {
	c, store := newTestCluster(t)
	join(t, c)
	storeTurn(t, c, newKeptTurn("first", ""))
	store.beforeJoin.set(func() error {
		c.slots[0].release("fenced")
		c.mustRejoin.Store(true)

		return nil
	})
	c.renewMembership(t.Context())
	store.beforeJoin.clear()
	// A host that acquires the slot in the same epoch does so now; others join again.
	for until := time.Now().Add(200 * time.Millisecond); !c.isServing() && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	if !c.isServing() {
		join(t, c)
	}
	storeTurn(t, c, newKeptTurn("second", "first"))
	require.True(t, store.hasRecord(c.slots[0].partition(), turnKeyPrefix+"second"), "the owner reported the turn as durable")
}

func TestStoredTurnIsKnownIfItsChainIsIncomplete(t *testing.T) {
	c, store := newTestCluster(t)
	appendTurn(t, c, store, 0, newKeptTurn("second", "first"))
	join(t, c)
	result := reverseproxy.TurnResult{PriorTranscript: []byte("first;done\nsecond;done\n"), Output: []byte("done\n"), IsComplete: true}
	require.True(t, c.EndTurn(t.Context(), newTurn("third", "second"), result))
	serveForLong(c)
	begun := c.BeginTurn(t.Context(), newTurn("fourth", "third"))
	require.Equal(t, reverseproxy.TurnAllowed, begun.Status)
	require.Equal(t, "first;done\nsecond;done\nthird;done\n", string(begun.PriorTranscript))
}

func TestFencedOwnerDoesNotDenyTurn(t *testing.T) {
	c, store := newTestCluster(t)
	join(t, c)
	serveForLong(c)
	appendTurn(t, c, store, 100, newKeptTurn("first", ""))
	require.NotEqual(t, reverseproxy.PreviousTurnNotFound, c.BeginTurn(t.Context(), newTurn("second", "first")).Status,
		"another owner has stored the turn")
}

func TestFencedWriteOfEarlierEpochKeepsSlot(t *testing.T) {
	c, store := newTestCluster(t)
	join(t, c)
	blocked, resume := make(chan struct{}), make(chan struct{})
	epoch := c.slots[0].epoch
	store.beforeAppend.set(func(batch platform.AppendBatch) error {
		if batch.Epoch != epoch || len(batch.Records) == 0 {
			return nil
		}
		close(blocked)
		<-resume

		return platform.ErrFenced.New("epoch %d", epoch)
	})
	go (&slotServer{cluster: c}).EndTurn(context.Background(), &fleetpb.EndTurnRequest{ //nolint:errcheck // the slot moves
		Workspace: string(testWorkspace), Program: string(testProgram), Kept: newKeptTurn("first", ""),
	})
	<-blocked
	c.slots[0].release("reassigned")
	c.slots[0].acquire(t.Context(), epoch+1)
	require.Eventually(t, c.isServing, testTimeout, time.Millisecond)
	close(resume)
	require.Never(t, func() bool { return !c.isServing() || c.mustRejoin.Load() }, 300*time.Millisecond, 10*time.Millisecond)
}

func TestHeldTurnReachesNewOwnerWithoutHeartbeats(t *testing.T) {
	c, store := newTestCluster(t)
	join(t, c)
	c.setOwnership(&ownership{generation: c.generation.Load(), owners: []string{"127.0.0.1:1"}})
	c.holdUntilDurable(t.Context(), &fleetpb.EndTurnRequest{
		Workspace: string(testWorkspace), Program: string(testProgram), Kept: newKeptTurn("first", ""),
	}, maxStatusInterval)
	require.Eventually(t, func() bool { return store.hasRecord(c.slots[0].partition(), turnKeyPrefix+"first") }, testTimeout, 20*time.Millisecond)
}

// newOversizedTurn lets the host serve its slot in a store that takes small records, and returns a turn of several of them.
func newOversizedTurn(t *testing.T, c *Cluster, store *fakeStore) *fleetpb.KeptTurn {
	t.Helper()
	store.maxRecordBytes = 1 << 10
	c.Settings.Store.MaxRecordBytes = store.maxRecordBytes
	join(t, c)
	large := newKeptTurn("large", "")
	large.Input = slices.Repeat([]byte("word "), store.maxRecordBytes)

	return large
}

func TestOversizedTurnDoesNotBlockSlot(t *testing.T) {
	c, store := newTestCluster(t)
	large := newOversizedTurn(t, c, store)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := (&slotServer{cluster: c}).EndTurn(ctx, &fleetpb.EndTurnRequest{
		Workspace: large.Workspace, Program: large.Program, Kept: large,
	})
	require.True(t, err == nil || errors.Is(err, context.DeadlineExceeded))
	storeTurn(t, c, newKeptTurn("small", ""))
}

func TestOversizedTurnIsContinuedByNextOwner(t *testing.T) {
	c, store := newTestCluster(t)
	large := newOversizedTurn(t, c, store)
	storeTurn(t, c, large)
	epoch := c.slots[0].epoch
	appendTurn(t, c, store, epoch+100, newKeptTurn("other", ""))
	store.mu.Lock()
	store.generation = epoch + 101
	store.mu.Unlock()
	c.renewMembership(t.Context())
	join(t, c)
	begun := c.BeginTurn(t.Context(), newTurn("next", "large"))
	require.Equal(t, reverseproxy.TurnAllowed, begun.Status)
	require.Contains(t, string(begun.PriorTranscript), string(large.Input))
	s := c.slots[0]
	s.removeExpired(time.Now().Add(time.Hour))
	require.Eventually(t, func() bool { return !s.writer.hasPending() }, testTimeout, 10*time.Millisecond)
	store.mu.Lock()
	defer store.mu.Unlock()
	for index := range 3 {
		require.Empty(t, store.partition(s.partition()).records[turnPartKey("large", index)].Value, "the parts of an expired turn are deleted")
	}
}

func TestSlotIsReloadedAfterAnotherHostOwnedItBetweenRenewals(t *testing.T) {
	c, store := newTestCluster(t)
	join(t, c)
	storeTurn(t, c, newKeptTurn("first", ""))
	appendTurn(t, c, store, 100, newKeptTurn("second", "first"))
	store.mu.Lock()
	store.generation = 101
	store.mu.Unlock()
	c.renewMembership(t.Context())
	join(t, c)
	require.Equal(t, reverseproxy.TurnAllowed, c.BeginTurn(t.Context(), newTurn("third", "second")).Status)
}

func TestSlotIsNotReloadedIfOnlyItsOwnerHasWritten(t *testing.T) {
	c, store := newTestCluster(t)
	join(t, c)
	storeTurn(t, c, newKeptTurn("first", ""))
	resume := make(chan struct{})
	appended := make(chan struct{})
	store.afterAppend.set(func() {
		close(appended)
		<-resume
	})
	go (&slotServer{cluster: c}).EndTurn(context.Background(), &fleetpb.EndTurnRequest{ //nolint:errcheck // the reply is not needed
		Workspace: string(testWorkspace), Program: string(testProgram), Kept: newKeptTurn("second", "first"),
	})
	<-appended
	epoch := c.slots[0].epoch
	store.skipGenerations()
	c.renewMembership(t.Context())
	close(resume)
	require.Eventually(t, c.isServing, testTimeout, time.Millisecond)
	require.Equal(t, epoch, c.slots[0].epoch)
}
