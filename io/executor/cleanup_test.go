package executor_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/apierror"
	"cardamomward/core/id"
	"cardamomward/standin/engine"
)

// memoryReleaseTimeout bounds the release of an ended program's memory: one listing, the grace period, a second listing
// and their timeouts. After a takeover, the time until the engine's slot has an owner again adds to it.
const memoryReleaseTimeout = 15 * time.Second

// engineHoldsProgram reports whether any engine holds memory of a program.
func (s *testFleet) engineHoldsProgram(program id.Program) bool {
	for _, e := range s.Engines {
		for _, held := range e.ListCacheOwners() {
			if held.Owner == string(program) {
				return true
			}
		}
	}

	return false
}

func (s *testFleet) openAndAsk(t *testing.T, host int, workspace id.Workspace, text string) id.Program {
	t.Helper()
	program, err := s.client(host, workspace).OpenProgram(t.Context(), openRequest(text))
	require.NoError(t, err)
	_, err = s.client(host, workspace).SendMessage(t.Context(), program.ID, "manual-7b", text)
	require.NoError(t, err)

	return program.ID
}

func TestEnginesReleaseMemoryOfEndedPrograms(t *testing.T) {
	s := startFleet(t, engine.Config{})
	ctx := t.Context()
	openProgram := s.openAndAsk(t, 0, "crews", "a conversation that goes on")

	t.Run("ended", func(t *testing.T) {
		program := s.openAndAsk(t, 0, "crews", "ended")
		require.True(t, s.engineHoldsProgram(program))
		_, err := s.client(1, "crews").EndProgram(ctx, program)
		require.NoError(t, err)
		require.Eventually(t, func() bool { return !s.engineHoldsProgram(program) }, memoryReleaseTimeout, 10*time.Millisecond)
	})

	t.Run("expired", func(t *testing.T) {
		program := s.openAndAsk(t, 1, "clerks", "forgotten")
		require.True(t, s.engineHoldsProgram(program))
		require.Eventually(t, func() bool {
			state, err := s.client(0, "clerks").ProgramHistory(ctx, program)

			return err == nil && state.EndReason == "expired"
		}, testTimeout, 10*time.Millisecond)
		require.Eventually(t, func() bool { return !s.engineHoldsProgram(program) }, memoryReleaseTimeout, 10*time.Millisecond)
		_, err := s.client(0, "clerks").SendMessage(ctx, program, "manual-7b", "too late")
		require.Equal(t, apierror.ProgramEnded, apierror.From(err).Kind)
	})

	t.Run("unknown to the log", func(t *testing.T) {
		upstream := s.Settings.Services["drafting"].Upstreams[0]
		s.Engines[upstream.ID].AddCacheOwner("nobody")
		require.True(t, s.engineHoldsProgram("nobody"))
		require.Eventually(t, func() bool { return !s.engineHoldsProgram("nobody") }, memoryReleaseTimeout, 10*time.Millisecond)
	})

	t.Run("ended while the engine refuses releases and the host that collects its memory fails", func(t *testing.T) {
		program := s.openAndAsk(t, 2, "crews", "lost release")
		s.setEngineFaults(engine.Faults{RefuseCacheRelease: true})
		_, err := s.client(1, "crews").EndProgram(ctx, program)
		require.NoError(t, err)
		var engineName id.Upstream
		for name, e := range s.Engines {
			if slices.ContainsFunc(e.ListCacheOwners(), holdsProgram(program)) {
				engineName = name
			}
		}
		killed := s.slotOwnerIndex(t, id.UpstreamSlot(engineName))
		s.KillHost(killed)
		s.setEngineFaults(engine.Faults{})
		require.Eventually(t, func() bool { return !s.engineHoldsProgram(program) }, testTimeout, 10*time.Millisecond)

		// The memory of the open program was not released.
		require.True(t, s.engineHoldsProgram(openProgram))
		survivor := (killed + 1) % 3
		var group sync.WaitGroup
		for n := range 3 {
			group.Go(func() { s.askUntilAnswered(t, survivor, "crews", fmt.Sprintf("after %d", n)) })
		}
		group.Wait()
		require.True(t, s.engineHoldsProgram(openProgram))
	})
}

func holdsProgram(program id.Program) func(engine.CacheOwner) bool {
	return func(h engine.CacheOwner) bool { return h.Owner == string(program) }
}
