package cluster

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"cardamomward/io/fleet/fleetpb"
	"cardamomward/io/reverseproxy"
	"cardamomward/platform"
)

// turnMemoryLimit is the memory for turns of the hosts of these tests, and largeTurns the number of turns that do not fit into it together.
const (
	turnMemoryLimit = 1000
	largeTurns      = 6
)

// newHostWithTurnMemory returns a host with memory for few turns.
func newHostWithTurnMemory(t *testing.T, store *fakeStore, ip string) *Cluster {
	t.Helper()
	c := newTestHost(t, store, ip)
	c.Settings.Store.MaxRecordBytes = store.maxRecordBytes
	c.turnMemory = newTurnMemory(turnMemoryLimit * turnShare)
	go c.evictTurnsLoop(t.Context())

	return c
}

func newTextTurn(turn, previous string) *fleetpb.KeptTurn {
	kept := newKeptTurn(turn, previous)
	kept.Input = []byte(strings.Repeat(turn+";", turnMemoryLimit/len(turn)/2))

	return kept
}

// requireTranscript continues a turn and requires that it has the inputs of the given turns.
func requireTranscript(t *testing.T, c *Cluster, previous string, turns ...string) {
	t.Helper()
	var begun reverseproxy.BeginResult
	require.Eventually(t, func() bool {
		begun = c.BeginTurn(t.Context(), newTurn("continues-"+previous, previous))

		return begun.Status == reverseproxy.TurnAllowed
	}, testTimeout, 5*time.Millisecond, "turn %s is continued", previous)
	want := ""
	for _, turn := range turns {
		want += string(newTextTurn(turn, "").Input) + "done\n"
	}
	require.Equal(t, want, string(begun.PriorTranscript))
}

func requireWithinTurnMemory(t *testing.T, c *Cluster) {
	t.Helper()
	require.Eventually(t, func() bool { return c.turnMemory.excess() == 0 }, testTimeout, 5*time.Millisecond)
}

// Owners kept the text of all retained turns of their slots in memory, and the next owners read all of it.
func TestTurnsBeyondMemoryAreContinuedFromStore(t *testing.T) {
	for name, maxRecordBytes := range map[string]int{"in one record": 0, "in parts": 200} {
		for pages, maxPageItems := range map[string]int{"one page": 0, "pages of one record": 1} {
			t.Run(name+", "+pages, func(t *testing.T) {
				simulate(t, func(t *testing.T) {
					store := &fakeStore{partitions: make(map[platform.Partition]*fakePartition), maxRecordBytes: maxRecordBytes, maxPageItems: maxPageItems}
					owner := newHostWithTurnMemory(t, store, "127.0.0.1")
					join(t, owner)
					for turn := range largeTurns {
						storeTurn(t, owner, newTextTurn(fmt.Sprint(turn), ""))
					}
					storeTurn(t, owner, newTextTurn("second", "0"))
					requireWithinTurnMemory(t, owner)
					requireTranscript(t, owner, "0", "0")
					requireTranscript(t, owner, "second", "0", "second")
					requireTranscript(t, owner, "5", "5")
					time.Sleep(reloadKeepTime + evictionInterval)
					requireWithinTurnMemory(t, owner)

					next := newHostWithTurnMemory(t, store, "127.0.0.2")
					join(t, next)
					require.LessOrEqual(t, next.turnMemory.resident.Load(), int64(turnMemoryLimit))
					for turn := range largeTurns {
						requireTranscript(t, next, fmt.Sprint(turn), fmt.Sprint(turn))
						time.Sleep(reloadKeepTime + evictionInterval)
					}
					requireTranscript(t, next, "second", "0", "second")
					s := next.slots[0]
					s.removeExpired(time.Now().Add(time.Hour))
					require.Eventually(t, func() bool { return !s.writer.hasPending() }, testTimeout, 10*time.Millisecond)
					require.Zero(t, next.turnMemory.resident.Load())
					page, err := store.ReadNewestPage(t.Context(), s.partition(), checkpointKey, 0)
					require.NoError(t, err)
					require.Empty(t, page.Records, "all records of expired turns are deleted")
				})
			})
		}
	}
}

// Guards against a 404 for a turn whose text cannot be read now.
func TestEvictedTurnIsNotMissingWhileStoreIsDown(t *testing.T) {
	simulate(t, func(t *testing.T) {
		store := &fakeStore{partitions: make(map[platform.Partition]*fakePartition)}
		owner := newHostWithTurnMemory(t, store, "127.0.0.1")
		join(t, owner)
		for turn := range largeTurns {
			storeTurn(t, owner, newTextTurn(fmt.Sprint(turn), ""))
		}
		serveForLong(owner)
		requireWithinTurnMemory(t, owner)
		var evicted []string
		s := owner.slots[0]
		s.mu.Lock()
		for turn := range largeTurns {
			evicted = append(evicted, s.turns.Evicted(testWorkspace, fmt.Sprint(turn))...)
		}
		s.mu.Unlock()
		require.NotEmpty(t, evicted)
		store.beforePage.set(func() error { return platform.ErrRefused.New("the store is down") })
		require.Equal(t, reverseproxy.OwnerUnavailable, owner.BeginTurn(t.Context(), newTurn("next", evicted[0])).Status)
		found, err := (&slotServer{cluster: owner}).FindTurn(t.Context(), &fleetpb.FindTurnRequest{Workspace: string(testWorkspace), Turn: evicted[0]})
		require.NoError(t, err)
		require.Equal(t, fleetpb.Outcome_OUTCOME_UNSURE, found.Outcome)
		store.beforePage.clear()
		requireTranscript(t, owner, evicted[0], evicted[0])
	})
}

// Hosts of earlier releases write the parts of turns under other keys.
func TestPartsOfEarlierReleaseAreReadAndDeleted(t *testing.T) {
	simulate(t, func(t *testing.T) {
		store := &fakeStore{partitions: make(map[platform.Partition]*fakePartition), maxRecordBytes: 200}
		c := newHostWithTurnMemory(t, store, "127.0.0.1")
		for turn := range largeTurns {
			appendEarlierParts(t, c, store, newTextTurn(fmt.Sprint(turn), ""))
		}
		join(t, c)
		for turn := range largeTurns {
			requireTranscript(t, c, fmt.Sprint(turn), fmt.Sprint(turn))
			time.Sleep(reloadKeepTime + evictionInterval)
		}
		requireWithinTurnMemory(t, c)
		s := c.slots[0]
		s.removeExpired(time.Now().Add(time.Hour))
		require.Eventually(t, func() bool { return !s.writer.hasPending() }, testTimeout, 10*time.Millisecond)
		page, err := store.ReadNewestPage(t.Context(), s.partition(), checkpointKey, 0)
		require.NoError(t, err)
		require.Empty(t, page.Records)
	})
}

// appendEarlierParts writes the parts of a turn as hosts of earlier releases do.
func appendEarlierParts(t *testing.T, c *Cluster, store *fakeStore, kept *fleetpb.KeptTurn) {
	t.Helper()
	value, err := proto.Marshal(&fleetpb.Record{Kind: &fleetpb.Record_Turn{Turn: kept}})
	require.NoError(t, err)
	records, err := c.turnRecords(kept.Id, value)
	require.NoError(t, err)
	require.Greater(t, len(records), 1)
	for index := range records {
		records[index].Key = fmt.Sprintf("p%d:%s", index, kept.Id)
	}
	_, err = store.Append(t.Context(), platform.AppendBatch{Partition: c.slots[0].partition(), Records: records})
	require.NoError(t, err)
}

// The loads of slots that a host takes at once, each of a large turn in parts, must not add up.
func TestLargeLoadsOfSmallHostWaitForEachOther(t *testing.T) {
	for bytes, want := range map[int64]int{0: maxLargeLoads, 112 << 20: 1, 144 << 20: 2, 536 << 20: 8, 64 << 30: maxLargeLoads} {
		require.Equal(t, want, cap(newTurnMemory(bytes).largeLoads), "a host with %d bytes", bytes)
	}
}

// Turns that could not become durable in an outage took memory without a bound.
func TestTurnsOfOutageBeyondMemoryAreNotStored(t *testing.T) {
	simulate(t, func(t *testing.T) {
		store := &fakeStore{partitions: make(map[platform.Partition]*fakePartition)}
		owner := newHostWithTurnMemory(t, store, "127.0.0.1")
		join(t, owner)
		storeTurn(t, owner, newTextTurn("before", ""))
		endOutage := silenceStore(store)
		end := func(turn string) *fleetpb.EndTurnReply {
			reply, err := (&slotServer{cluster: owner}).EndTurn(t.Context(), &fleetpb.EndTurnRequest{
				Workspace: string(testWorkspace), Program: string(testProgram), Kept: newTextTurn(turn, "before"),
			})
			require.NoError(t, err)

			return reply
		}
		require.Equal(t, fleetpb.Outcome_OUTCOME_OK, end("first").Outcome, "one turn may wait")
		for range 3 {
			require.Equal(t, fleetpb.Outcome_OUTCOME_UNSURE, end("second").Outcome)
		}
		require.LessOrEqual(t, owner.turnMemory.undurable.Load(), int64(turnMemoryLimit))
		require.Equal(t, fleetpb.Outcome_OUTCOME_OK, end("first").Outcome, "a turn that waits is asked for again")
		endOutage()
		require.True(t, end("second").Durable)
		require.Zero(t, owner.turnMemory.undurable.Load())
		requireTranscript(t, owner, "first", "before", "first")
		requireTranscript(t, owner, "second", "before", "second")
		silenceStore(store)
		require.Equal(t, fleetpb.Outcome_OUTCOME_OK, end("third").Outcome)
		owner.slots[0].release("lost")
		require.Zero(t, owner.turnMemory.undurable.Load())
	})
}

// Guards against the text of many turns that are continued at the same time: each is kept for its continuation.
func TestContinuationsOfManyEvictedTurnsDoNotAddUp(t *testing.T) {
	simulate(t, func(t *testing.T) {
		const turns = 20
		store := &fakeStore{partitions: make(map[platform.Partition]*fakePartition)}
		owner := newHostWithTurnMemory(t, store, "127.0.0.1")
		join(t, owner)
		for turn := range turns {
			storeTurn(t, owner, newTextTurn(fmt.Sprint(turn), ""))
		}
		requireWithinTurnMemory(t, owner)
		var most atomic.Int64
		store.beforePage.set(func() error {
			most.Store(max(most.Load(), owner.turnMemory.resident.Load()))

			return nil
		})
		var callers sync.WaitGroup
		for turn := range turns {
			// Callers that leave before their turns are read.
			callers.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
				defer cancel()
				owner.BeginTurn(ctx, newTurn(fmt.Sprintf("next-%d", turn), fmt.Sprint(turn)))
			})
		}
		callers.Wait()
		time.Sleep(time.Minute)
		require.LessOrEqual(t, most.Load(), int64(2*turnMemoryLimit))
		store.beforePage.clear()
		requireTranscript(t, owner, "7", "7")
	})
}

// Callers that wait for their turns waited for those of others that had left, too.
func TestTurnsAreNotReadForCallersThatHaveLeft(t *testing.T) {
	simulate(t, func(t *testing.T) {
		store := &fakeStore{partitions: make(map[platform.Partition]*fakePartition)}
		owner := newHostWithTurnMemory(t, store, "127.0.0.1")
		join(t, owner)
		for turn := range largeTurns {
			storeTurn(t, owner, newTextTurn(fmt.Sprint(turn), ""))
		}
		requireWithinTurnMemory(t, owner)
		var pages atomic.Int64
		store.beforePage.set(func() error {
			pages.Add(1)
			time.Sleep(time.Second)

			return nil
		})
		s := owner.slots[0]
		s.mu.Lock()
		for turn := range largeTurns {
			if evicted := s.turns.Evicted(testWorkspace, fmt.Sprint(turn)); len(evicted) > 0 {
				s.startReload(testWorkspace, fmt.Sprint(turn), evicted)
			}
		}
		require.Greater(t, len(s.reloading), 1)
		s.mu.Unlock()
		time.Sleep(time.Minute)
		require.EqualValues(t, 1, pages.Load(), "the others have left meanwhile")
	})
}
