package owner_test

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

// memoryBound is within how long an engine holds nothing more of a program that has ended: one look, the grace period,
// a second look and their timeouts. A takeover adds the time until the engine's slot has an owner again.
const memoryBound = 15 * time.Second

// holds reports whether any engine holds something for a program.
func (s *system) holds(program id.Program) bool {
	for _, e := range s.Engines {
		for _, held := range e.Held() {
			if held.Owner == string(program) {
				return true
			}
		}
	}

	return false
}

func (s *system) openAndAsk(t *testing.T, host int, workspace id.Workspace, text string) id.Program {
	t.Helper()
	program, err := s.client(host, workspace).OpenProgram(t.Context(), openRequest(text))
	require.NoError(t, err)
	_, err = s.client(host, workspace).SendMessage(t.Context(), program.ID, "manual-7b", text)
	require.NoError(t, err)

	return program.ID
}

func TestEnginesHoldNothingOfProgramsThatAreGone(t *testing.T) {
	s := startSystem(t, engine.Config{})
	ctx := t.Context()
	live := s.openAndAsk(t, 0, "crews", "a conversation that goes on")

	t.Run("ended", func(t *testing.T) {
		program := s.openAndAsk(t, 0, "crews", "ended")
		require.True(t, s.holds(program))
		_, err := s.client(1, "crews").EndProgram(ctx, program)
		require.NoError(t, err)
		require.Eventually(t, func() bool { return !s.holds(program) }, memoryBound, 10*time.Millisecond)
	})

	t.Run("expired", func(t *testing.T) {
		program := s.openAndAsk(t, 1, "clerks", "forgotten")
		require.True(t, s.holds(program))
		require.Eventually(t, func() bool {
			state, err := s.client(0, "clerks").ProgramHistory(ctx, program)

			return err == nil && state.EndReason == "expired"
		}, awaitFor, 10*time.Millisecond)
		require.Eventually(t, func() bool { return !s.holds(program) }, memoryBound, 10*time.Millisecond)
		_, err := s.client(0, "clerks").SendMessage(ctx, program, "manual-7b", "too late")
		require.Equal(t, apierror.ProgramEnded, apierror.From(err).Kind)
	})

	t.Run("unknown to the log", func(t *testing.T) {
		upstream := s.Settings.Services["drafting"].Upstreams[0]
		s.Engines[upstream.ID].Hold("nobody")
		require.True(t, s.holds("nobody"))
		require.Eventually(t, func() bool { return !s.holds("nobody") }, memoryBound, 10*time.Millisecond)
	})

	t.Run("ended when no release reaches the engine, and its reconciler dies", func(t *testing.T) {
		program := s.openAndAsk(t, 2, "crews", "lost release")
		s.engineFaults(engine.Faults{RefuseRelease: true})
		_, err := s.client(1, "crews").EndProgram(ctx, program)
		require.NoError(t, err)
		var at id.Upstream
		for name, e := range s.Engines {
			if slices.ContainsFunc(e.Held(), held(program)) {
				at = name
			}
		}
		dead := s.ownerOf(t, id.UpstreamSlot(at))
		s.Kill(dead)
		s.engineFaults(engine.Faults{})
		require.Eventually(t, func() bool { return !s.holds(program) }, awaitFor, 10*time.Millisecond)

		// All the while the live program's memory was left alone.
		require.True(t, s.holds(live))
		entry := (dead + 1) % 3
		var group sync.WaitGroup
		for n := range 3 {
			group.Go(func() { s.untilAnswered(t, entry, "crews", fmt.Sprintf("after %d", n)) })
		}
		group.Wait()
		require.True(t, s.holds(live))
	})
}

func held(program id.Program) func(engine.Holding) bool {
	return func(h engine.Holding) bool { return h.Owner == string(program) }
}
