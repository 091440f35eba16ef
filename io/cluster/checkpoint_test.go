package cluster

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/id"
	"cardamomward/io/fleet/fleetpb"
	"cardamomward/platform"
)

// serveFirstTurn begins and settles a turn at the slot's owner, and returns the tokens that are spent.
func serveFirstTurn(t *testing.T, owner *Cluster) id.Tokens {
	t.Helper()
	spent := reserveTurn(t, owner, testProgram)
	_, err := (&slotServer{cluster: owner}).EndTurn(t.Context(), &fleetpb.EndTurnRequest{
		Workspace: string(testWorkspace), Program: string(testProgram), Attempt: "attempt of " + string(testProgram) + " at " + owner.self,
		Tokens: int64(spent),
	})
	require.NoError(t, err)

	return spent
}

// Programs that paused during a rolling restart were told that their budget is spent: the restarts of other hosts, and of the owner
// after them, were taken for a loss of hosts in an outage, since the slot had no record of that time.
func TestIdleProgramsAreNotChargedAfterRollingRestart(t *testing.T) {
	const pause = 20 * time.Second
	for name, end := range map[string]func(owner *Cluster, stop context.CancelFunc){
		"owner is stopped": func(owner *Cluster, stop context.CancelFunc) {
			owner.releaseAllSlots(context.Background(), "leaving")
			stop()
		},
		"owner is lost": func(_ *Cluster, stop context.CancelFunc) { stop() },
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(t *testing.T) {
				owner, store := newTestCluster(t)
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				go owner.checkpointLoop(ctx)
				join(t, owner)
				spent := serveFirstTurn(t, owner)
				time.Sleep(pause)
				next := newTestHost(t, store, "127.0.0.2")
				time.Sleep(minRestartDelay)
				end(owner, stop)
				join(t, next)
				require.Equal(t, spent+forgottenMaxTokens, reserveTurn(t, next, testProgram), "no count was lost")
			})
		})
	}
}

// A slot that could not be written is no idle one.
func TestOutageOfIdleSlotIsChargedAfterLossOfItsHosts(t *testing.T) {
	simulate(t, func(t *testing.T) {
		owner, store := newTestCluster(t)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go owner.checkpointLoop(ctx)
		join(t, owner)
		spent := serveFirstTurn(t, owner)
		time.Sleep(10 * time.Second)
		store.beforeAppend.set(func(platform.AppendBatch) error { return platform.ErrRefused.New("the store is down") })
		time.Sleep(2*undurableTurnsAfter + minRestartDelay)
		stop()
		owner.slots[0].release("lost")
		store.beforeAppend.clear()
		next := newTestHost(t, store, "127.0.0.2")
		join(t, next)
		require.Equal(t, spent+forgottenBudget/4+forgottenMaxTokens, reserveTurn(t, next, testProgram), "the owner may have admitted turns in the outage")
	})
}

// Each write is paid for, so slots that are written anyway get no checkpoints, and unused ones only when a host has started or left.
func TestCheckpointsAreWrittenOnlyWhereRecordsWouldBeTooOld(t *testing.T) {
	simulate(t, func(t *testing.T) {
		owner, store := newTestCluster(t)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		var checkpoints atomic.Int64
		store.beforeAppend.set(func(batch platform.AppendBatch) error {
			for _, record := range batch.Records {
				if record.Key == checkpointKey {
					checkpoints.Add(1)
				}
			}

			return nil
		})
		join(t, owner)
		go owner.checkpointLoop(ctx)
		requireCheckpoints := func(least, most int64, seconds int, reason string) {
			checkpoints.Store(0)
			time.Sleep(time.Duration(seconds) * time.Second)
			require.GreaterOrEqual(t, checkpoints.Load(), least, reason)
			require.LessOrEqual(t, checkpoints.Load(), most, reason)
		}
		requireCheckpoints(1, 1, 10, "the slot has been taken")
		for attempt := range 20 {
			reserveTurn(t, owner, id.Program(strconv.Itoa(attempt)))
			time.Sleep(checkpointInterval / 2)
		}
		require.Zero(t, checkpoints.Load()-1, "each turn has a dated record")
		requireCheckpoints(10, 14, 10, "programs may return")
		time.Sleep(2 * budgetRetention)
		owner.slots[0].removeExpired(time.Now())
		time.Sleep(time.Second)
		requireCheckpoints(0, 0, 10, "the programs have expired")
		owner.peers.mu.Lock()
		owner.peers.addSilentPeer("127.0.0.2:7780", time.Now())
		owner.peers.mu.Unlock()
		owner.peers.handleHeartbeat(time.Now(), &fleetpb.Beat{Host: "127.0.0.2:7780", Sequence: 1})
		requireCheckpoints(1, 1, 10, "a host has started")
		owner.peers.handleHeartbeat(time.Now(), &fleetpb.Beat{Host: "127.0.0.2:7780", Sequence: 2, Left: true})
		requireCheckpoints(1, 1, 10, "the host has left")
	})
}

// Slots that move while hosts start for the first time were no longer new once they had a checkpoint, and the rates of their workspaces
// started below their bursts.
func TestSlotWithCheckpointsAloneIsNew(t *testing.T) {
	simulate(t, func(t *testing.T) {
		first, store := newTestCluster(t)
		hosts := []*Cluster{first, newTestHost(t, store, "127.0.0.2"), newTestHost(t, store, "127.0.0.3"), newTestHost(t, store, "127.0.0.4")}
		for _, host := range hosts {
			host.Settings.FirstStart = true
		}
		serve := func(host *Cluster) (isNew bool) {
			join(t, host)
			s := host.slots[0]
			s.mu.Lock()
			defer s.mu.Unlock()
			s.writeCheckpoint(time.Now(), true)

			return s.isNew
		}
		leave := func(host *Cluster) { host.releaseAllSlots(t.Context(), "leaving") }
		require.True(t, serve(hosts[0]))
		leave(hosts[0])
		require.True(t, store.hasRecord(first.slots[0].partition(), checkpointKey))
		require.True(t, serve(hosts[1]), "nothing but a checkpoint was stored")
		reserveTurn(t, hosts[1], testProgram)
		hosts[1].slots[0].removeExpired(time.Now().Add(2 * budgetRetention))
		leave(hosts[1])
		require.False(t, serve(hosts[2]), "a program was stored, and is deleted")
		leave(hosts[2])
		require.False(t, serve(hosts[3]), "the checkpoints after it say so too")
	})
}
