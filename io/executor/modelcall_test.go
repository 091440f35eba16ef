package executor_test

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

func (s *testFleet) setEngineFaults(faults engine.Faults) {
	for _, e := range s.Engines {
		e.SetFaults(faults)
	}
}

// chatRequestCount returns how many model calls with this text have reached the engines.
func (s *testFleet) chatRequestCount(text string) int {
	total := 0
	for _, e := range s.Engines {
		for _, seen := range e.ReceivedRequests() {
			if seen.Path == "/v1/chat/completions" && strings.Contains(seen.Body, text) {
				total++
			}
		}
	}

	return total
}

func (s *testFleet) crashCount() int {
	total := 0
	for _, e := range s.Engines {
		total += e.CrashCount()
	}

	return total
}

func TestTurnsResumeFaultyStreams(t *testing.T) {
	s := startFleet(t, engine.Config{TokenInterval: 20 * time.Millisecond, KeepaliveInterval: 50 * time.Millisecond})
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
		"cut": {TruncateAfterChunks: 4}, "crossed": {WrongRequestChunks: 2}, "repeated": {RepeatChunks: true},
	} {
		t.Run(name, func(t *testing.T) {
			s.setEngineFaults(faults)
			defer s.setEngineFaults(engine.Faults{})
			for host := range 3 {
				got, err := ask(host, "draft the stand rules")
				require.NoError(t, err)
				require.Equal(t, want, got)
			}
		})
	}

	t.Run("crossed permanently", func(t *testing.T) {
		s.setEngineFaults(engine.Faults{WrongRequestChunks: 1000})
		defer s.setEngineFaults(engine.Faults{})
		_, err := ask(0, "draft the stand rules")
		require.Equal(t, apierror.UpstreamFailed, apierror.From(err).Kind, "an error, not the answer to another request")
		require.Equal(t, apierror.ExecutionUnknown, apierror.From(err).Execution)
	})

	t.Run("connections gone silent", func(t *testing.T) {
		before := s.chatRequestCount("draft the stand rules")
		var group sync.WaitGroup
		for host := range 3 {
			group.Go(func() {
				got, err := ask(host, "draft the stand rules")
				require.NoError(t, err)
				require.Equal(t, want, got)
			})
		}
		require.Eventually(t, func() bool { return s.chatRequestCount("draft the stand rules") == before+3 }, testTimeout, time.Millisecond)
		s.setEngineFaults(engine.Faults{SilenceOpenConns: true})
		group.Wait()
		require.Equal(t, before+3, s.chatRequestCount("draft the stand rules"), "each turn was resumed at its engine and not run again")
		require.Zero(t, s.crashCount())
	})
}

func TestPoisonRequestQuarantinedAfterSecondCrash(t *testing.T) {
	s := startFleet(t, engine.Config{MaxConcurrentRequests: 4, TokenInterval: 10 * time.Millisecond, KeepaliveInterval: 50 * time.Millisecond})
	s.setEngineFaults(engine.Faults{CrashOnText: "poison", CrashAfterMillis: 60})

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
				s.askUntilAnswered(t, n%3, workspace, fmt.Sprintf("innocent %d turn %d", n, turn))
				mu.Lock()
				served[workspace]++
				mu.Unlock()
			}
		})
	}
	var last error
	require.Eventually(t, func() bool {
		for host := range 3 {
			last = s.askInNewProgram(t, host, "clerks", "poison")
			if apierror.From(last).Kind == apierror.Quarantined {
				return true
			}
		}

		return false
	}, 2*testTimeout, 10*time.Millisecond)
	require.Equal(t, apierror.ExecutionUnknown, apierror.From(last).Execution)
	require.Equal(t, 2, s.crashCount(), "the request crashes no further engine")

	// Later copies of the request are refused at every host and do not run.
	ran := s.chatRequestCount("poison")
	for host := range 3 {
		require.Eventually(t, func() bool {
			err := s.askInNewProgram(t, host, "clerks", "poison")

			return apierror.From(err).Kind == apierror.Quarantined
		}, testTimeout, time.Millisecond)
	}
	require.Equal(t, ran, s.chatRequestCount("poison"))
	mu.Lock()
	before := served["clerks"]
	mu.Unlock()
	require.Eventually(t, func() bool {
		mu.Lock()
		defer mu.Unlock()

		return served["clerks"] > before+3
	}, testTimeout, time.Millisecond, "other requests of the workspace are still served")
	close(stop)
	group.Wait()
	require.Equal(t, 2, s.crashCount())
}

// askInNewProgram opens a program and runs one turn.
func (s *testFleet) askInNewProgram(t *testing.T, host int, workspace id.Workspace, text string) error {
	t.Helper()
	program, err := s.client(host, workspace).OpenProgram(t.Context(), openRequest(text))
	if err != nil {
		return err
	}
	_, err = s.client(host, workspace).SendMessage(t.Context(), program.ID, "manual-7b", text)

	return err
}

// askUntilAnswered retries askInNewProgram after the retry delays of its errors until it succeeds.
func (s *testFleet) askUntilAnswered(t *testing.T, host int, workspace id.Workspace, text string) {
	t.Helper()
	deadline := time.Now().Add(2 * testTimeout)
	for {
		err := s.askInNewProgram(t, host, workspace, text)
		if err == nil || t.Context().Err() != nil {
			return
		}
		var apiErr *apierror.Error
		if !errors.As(err, &apiErr) || apiErr.Kind == apierror.Quarantined || time.Now().After(deadline) {
			t.Errorf("%s: %v", text, err)

			return
		}
		time.Sleep(min(apiErr.RetryAfter, 100*time.Millisecond))
	}
}
