package cluster

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/memorybudget"
	"cardamomward/io/fleet/fleetpb"
	"cardamomward/io/httpx"
	"cardamomward/io/reverseproxy"
)

const (
	callMemoryBytes = 8 << 20
	// largeTextBytes is the size of the texts of the tests' turns; three copies exceed what a class is guaranteed.
	largeTextBytes = 1 << 20
)

// newCallMemory returns a budget in which each class is guaranteed an eighth.
func newCallMemory() *httpx.MemoryBudget {
	memory := httpx.NewMemoryBudget(callMemoryBytes, time.Now)
	for class := memorybudget.Callers; class <= memorybudget.Storage; class++ {
		memory.Guarantee(class, callMemoryBytes/8)
	}

	return memory
}

// fillMemory holds what is left for some classes, and returns a function that gives it back.
func fillMemory(memory *httpx.MemoryBudget, classes ...memorybudget.Class) (release func()) {
	var releases []func()
	for _, class := range classes {
		for release, ok := memory.Hold(class, 4<<10); ok; release, ok = memory.Hold(class, 4<<10) {
			releases = append(releases, release)
		}
	}

	return func() {
		for _, release := range releases {
			release()
		}
	}
}

func usedByCalls(memory *httpx.MemoryBudget) int64 {
	return memory.UsedBy(memorybudget.Calls) + memory.UsedBy(memorybudget.Storage)
}

// newRemoteOwner returns an owner of a slot with a memory budget, whose calls are served at an address, and a host with a budget of its
// own that calls it there.
func newRemoteOwner(t *testing.T) (owner *Cluster, caller *Cluster, address string) {
	t.Helper()
	owner, store := newTestCluster(t)
	caller = newTestHost(t, store, "127.0.0.2")
	owner.Memory, caller.Memory = newCallMemory(), newCallMemory()
	server, err := owner.newPeerServer("127.0.0.1:0")
	require.NoError(t, err)
	address = server.Address()
	owner.self, owner.peers.selfEntry.PeerAddress = address, address
	server.Start()
	t.Cleanup(server.Abort)
	join(t, owner)
	caller.setOwnership(owner.ownership.Load())

	return owner, caller, address
}

func newLargeTurn(turn, previous string) *fleetpb.KeptTurn {
	kept := newKeptTurn(turn, previous)
	kept.Input = bytes.Repeat([]byte("x"), largeTextBytes)

	return kept
}

func requireNoCallMemory(t *testing.T, hosts ...*Cluster) {
	t.Helper()
	for _, c := range hosts {
		require.Eventually(t, func() bool { return usedByCalls(c.Memory) == 0 }, testTimeout, time.Millisecond)
	}
}

// Guards against answered turns that are not stored since callers, relayed connections or other calls hold the memory of their owner
// or of the host that has answered, and against calls whose memory is not given back.
func TestAnsweredTurnIsStoredWhateverOthersHold(t *testing.T) {
	owner, caller, address := newRemoteOwner(t)
	for _, c := range []*Cluster{owner, caller} {
		t.Cleanup(fillMemory(c.Memory, memorybudget.Callers, memorybudget.Relays, memorybudget.Calls))
	}
	before := [2]int64{usedByCalls(owner.Memory), usedByCalls(caller.Memory)}
	kept := newLargeTurn("first", "")
	reply, err := caller.peerClient(address).EndTurn(t.Context(), &fleetpb.EndTurnRequest{Workspace: kept.Workspace, Program: kept.Program, Kept: kept})
	require.NoError(t, err)
	require.True(t, reply.Durable)
	_, err = caller.peerClient(address).Hold(t.Context(), &fleetpb.HoldRequest{Turn: newLargeTurn("second", "first")})
	require.NoError(t, err)
	recalled, err := caller.peerClient(address).Recall(t.Context(), &fleetpb.RecallRequest{})
	require.NoError(t, err)
	require.LessOrEqual(t, len(recalled.Turns), 1)
	require.Eventually(t, func() bool {
		return before == [2]int64{usedByCalls(owner.Memory), usedByCalls(caller.Memory)}
	}, testTimeout, time.Millisecond, "the turns that the owner has stored are not counted")
}

// Guards against owners that assemble and send transcripts without memory, and against turns that are taken for unknown, or have had an
// effect, where there was no memory.
func TestTranscriptWithoutMemoryIsNotSent(t *testing.T) {
	owner, caller, address := newRemoteOwner(t)
	storeTurn(t, owner, newLargeTurn("first", ""))
	begin := &fleetpb.BeginTurnRequest{
		Workspace: string(testWorkspace), Program: string(testProgram), Attempt: "attempt", Budget: 1000, MaxTokens: 400, Previous: "first",
		DeadlineMillis: testTimeout.Milliseconds(), WaitMillis: testTimeout.Milliseconds(),
	}
	find := &fleetpb.FindTurnRequest{Workspace: string(testWorkspace), Turn: "first"}
	for _, c := range []*Cluster{owner, caller} {
		t.Run(c.self, func(t *testing.T) {
			release := fillMemory(c.Memory, memorybudget.Calls)
			_, err := caller.peerClient(address).FindTurn(t.Context(), find)
			require.ErrorContains(t, err, "memory budget")
			_, err = caller.peerClient(address).BeginTurn(t.Context(), begin)
			require.ErrorContains(t, err, "memory budget")
			if c == owner {
				require.Zero(t, owner.slots[0].ledger.Count(testProgram).Tokens)
			}
			result := caller.BeginTurn(t.Context(), newTurn("second", "first"))
			require.Equal(t, reverseproxy.OwnerUnavailable, result.Status)
			release()
			requireNoCallMemory(t, owner, caller)
		})
	}
	result := caller.BeginTurn(t.Context(), newTurn("second", "first"))
	require.Equal(t, reverseproxy.TurnAllowed, result.Status)
	require.Len(t, result.PriorTranscript, largeTextBytes+len("done\n"))
	requireNoCallMemory(t, owner, caller)
}

// Guards against transcripts that an owner sends or a host receives without counting them.
func TestTranscriptOfCallIsCountedUntilItIsSent(t *testing.T) {
	owner, caller, address := newRemoteOwner(t)
	storeTurn(t, owner, newLargeTurn("first", ""))
	var mostAtOwner, mostAtCaller int64
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 20 {
			if _, err := caller.peerClient(address).FindTurn(t.Context(), &fleetpb.FindTurnRequest{Workspace: string(testWorkspace), Turn: "first"}); err != nil {
				t.Errorf("find the turn: %v", err)
			}
		}
	}()
	for isDone := false; !isDone; {
		select {
		case <-done:
			isDone = true
		default:
			mostAtOwner = max(mostAtOwner, owner.Memory.UsedBy(memorybudget.Calls))
			mostAtCaller = max(mostAtCaller, caller.Memory.UsedBy(memorybudget.Calls))
		}
	}
	require.InEpsilon(t, replyCopies*largeTextBytes, mostAtOwner, 0.01)
	require.InEpsilon(t, receivedReplyCopies*largeTextBytes, mostAtCaller, 0.01)
	requireNoCallMemory(t, owner, caller)
}
