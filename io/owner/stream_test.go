package owner_test

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/apierror"
	"cardamomward/core/id"
	"cardamomward/standin/engine"
)

func (s *system) engineFaults(faults engine.Faults) {
	for _, e := range s.Engines {
		e.SetFaults(faults)
	}
}

// chats returns how many model calls with this text have reached the engines.
func (s *system) chats(text string) int {
	total := 0
	for _, e := range s.Engines {
		for _, seen := range e.Seen() {
			if seen.Path == "/v1/chat/completions" && strings.Contains(seen.Body, text) {
				total++
			}
		}
	}

	return total
}

func (s *system) crashes() int {
	total := 0
	for _, e := range s.Engines {
		total += e.Crashes()
	}

	return total
}

func TestTurnsOverFaultyStreams(t *testing.T) {
	s := startSystem(t, engine.Config{TokenInterval: 20 * time.Millisecond, Keepalive: 50 * time.Millisecond})
	ctx := t.Context()
	ask := func(host int, text string) (string, error) {
		program, err := s.client(host, "clerks").OpenProgram(ctx, openRequest("streams"))
		require.NoError(t, err)
		answer, err := s.client((host+1)%3, "clerks").SendMessage(ctx, program.ID, "manual-7b", text)

		return answer.Text, err
	}
	want, err := ask(0, "draft the stand rules")
	require.NoError(t, err)

	for name, faults := range map[string]engine.Faults{
		"cut": {CutAfter: 4}, "crossed": {Crossed: 2}, "repeated": {Repeated: true},
	} {
		t.Run(name, func(t *testing.T) {
			s.engineFaults(faults)
			defer s.engineFaults(engine.Faults{})
			for host := range 3 {
				got, err := ask(host, "draft the stand rules")
				require.NoError(t, err)
				require.Equal(t, want, got)
			}
		})
	}

	t.Run("crossed for good", func(t *testing.T) {
		s.engineFaults(engine.Faults{Crossed: 1000})
		defer s.engineFaults(engine.Faults{})
		_, err := ask(0, "draft the stand rules")
		require.Equal(t, apierror.UpstreamFailed, apierror.From(err).Kind, "an error, never another's answer")
		require.Equal(t, apierror.ExecutionUnknown, apierror.From(err).Execution)
	})

	t.Run("connections gone silent", func(t *testing.T) {
		before := s.chats("draft the stand rules")
		var group sync.WaitGroup
		for host := range 3 {
			group.Go(func() {
				got, err := ask(host, "draft the stand rules")
				require.NoError(t, err)
				require.Equal(t, want, got)
			})
		}
		require.Eventually(t, func() bool { return s.chats("draft the stand rules") == before+3 }, awaitFor, time.Millisecond)
		s.engineFaults(engine.Faults{Silent: true})
		group.Wait()
		require.Equal(t, before+3, s.chats("draft the stand rules"), "each turn was resumed where it ran, not run again")
		require.Zero(t, s.crashes())
	})
}

func TestRequestThatCrashesEnginesIsStoppedAfterTheSecond(t *testing.T) {
	s := startSystem(t, engine.Config{Slots: 4, TokenInterval: 10 * time.Millisecond, Keepalive: 50 * time.Millisecond})
	s.engineFaults(engine.Faults{CrashOn: "poison", CrashAfterMillis: 60})

	stop := make(chan struct{})
	var group sync.WaitGroup
	var mu sync.Mutex
	served := make(map[id.Workspace]int)
	for n := range 9 {
		workspace := []id.Workspace{"clerks", "crews"}[n%2]
		group.Go(func() {
			for turn := 0; ; turn++ {
				select {
				case <-stop:
					return
				case <-t.Context().Done():
					return
				default:
				}
				s.untilAnswered(t, n%3, workspace, fmt.Sprintf("innocent %d turn %d", n, turn))
				mu.Lock()
				served[workspace]++
				mu.Unlock()
			}
		})
	}
	var last error
	require.Eventually(t, func() bool {
		for host := range 3 {
			last = s.askOnce(t, host, "clerks", "poison")
			if apierror.From(last).Kind == apierror.Quarantined {
				return true
			}
		}

		return false
	}, 2*awaitFor, 10*time.Millisecond)
	require.Equal(t, apierror.ExecutionUnknown, apierror.From(last).Execution)
	require.Equal(t, 2, s.crashes(), "it stops after the second crash")

	// A later copy is answered at once at every host, and runs nowhere.
	ran := s.chats("poison")
	for host := range 3 {
		require.Eventually(t, func() bool {
			err := s.askOnce(t, host, "clerks", "poison")

			return apierror.From(err).Kind == apierror.Quarantined
		}, awaitFor, time.Millisecond)
	}
	require.Equal(t, ran, s.chats("poison"))
	mu.Lock()
	before := served["clerks"]
	mu.Unlock()
	require.Eventually(t, func() bool {
		mu.Lock()
		defer mu.Unlock()

		return served["clerks"] > before+3
	}, awaitFor, time.Millisecond, "the workspace goes on")
	close(stop)
	group.Wait()
	require.Equal(t, 2, s.crashes())
}

// askOnce opens a program and asks one question.
func (s *system) askOnce(t *testing.T, host int, workspace id.Workspace, text string) error {
	t.Helper()
	program, err := s.client(host, workspace).OpenProgram(t.Context(), openRequest(text))
	if err != nil {
		return err
	}
	_, err = s.client(host, workspace).SendMessage(t.Context(), program.ID, "manual-7b", text)

	return err
}

// untilAnswered asks until there is an answer, as a caller does that is told when to come back.
func (s *system) untilAnswered(t *testing.T, host int, workspace id.Workspace, text string) {
	t.Helper()
	deadline := time.Now().Add(2 * awaitFor)
	for {
		err := s.askOnce(t, host, workspace, text)
		if err == nil || t.Context().Err() != nil {
			return
		}
		var refused *apierror.Error
		if !errors.As(err, &refused) || refused.Kind == apierror.Quarantined || time.Now().After(deadline) {
			t.Errorf("%s: %v", text, err)

			return
		}
		time.Sleep(min(refused.RetryAfter, 100*time.Millisecond))
	}
}
