package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/standin/logserver"
	"cardamomward/standin/service"
	"cardamomward/test/linearizability"
)

const (
	// callers run programs one after another while something fails, each of so many turns.
	callers   = 16
	turnsEach = 6
	// workTimeout bounds the whole work of a test; it is no pass mark.
	workTimeout = 3 * time.Minute
	// checkTimeout bounds the check of a history.
	checkTimeout = 2 * time.Minute
)

// work runs programs while fail does its worst, and checks what callers and the service saw.
func work(t *testing.T, s *system, bearer string, fail func(ctx context.Context, runner *linearizability.Workload)) *linearizability.Workload {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), workTimeout)
	defer cancel()
	runner := &linearizability.Workload{Recorder: &linearizability.Recorder{}, APIKey: bearer, Model: "manual-7b", Service: "bookings"}
	runner.SetAddresses(s.callers)
	failed := make(chan struct{})
	go func() {
		defer close(failed)
		fail(ctx, runner)
	}()
	errs := make([]error, callers)
	counts := make([]int, callers)
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			for errs[i] == nil && (counts[i] == 0 || !isClosed(failed)) {
				errs[i] = runner.RunProgram(ctx, i, turnsEach)
				counts[i]++
			}
		})
	}
	group.Wait()
	<-failed
	for _, err := range errs {
		require.NoError(t, err)
	}
	kinds, broken := runner.RefusalCounts()
	t.Logf("programs by caller %v, refusals %v, requests without a whole answer %d", counts, kinds, broken)
	checkHistory(t, runner.Recorder, s)

	return runner
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

func checkHistory(t *testing.T, recorder *linearizability.Recorder, s *system) {
	t.Helper()
	turns := recorder.OperationsOfKinds(linearizability.OpRunTurn, linearizability.OpReadHistory)
	require.Empty(t, linearizability.FindViolation(linearizability.ProgramModel(), turns, checkTimeout))
	noteEffects(t, recorder, s)
	calls := recorder.OperationsOfKinds(linearizability.OpCallService, linearizability.OpListEffects)
	require.Empty(t, linearizability.FindViolation(linearizability.ServiceCallModel(), calls, checkTimeout))
}

// noteEffects records what the service ran for each key, as the last operation on it.
func noteEffects(t *testing.T, recorder *linearizability.Recorder, s *system) {
	t.Helper()
	var list service.EffectList
	getJSON(t, "http://"+s.service+"/effects", &list)
	ran := make(map[string][]string)
	for _, effect := range list.Effects {
		answer, err := json.Marshal(service.Response{Confirmation: fmt.Sprintf("confirmed-%d", effect.Number), Path: effect.Path})
		require.NoError(t, err)
		key := strings.TrimPrefix(effect.Path, "confirm/")
		ran[key] = append(ran[key], string(answer))
	}
	keys := make(map[string]bool)
	for _, op := range recorder.OperationsOfKinds(linearizability.OpCallService) {
		input, ok := op.Input.(linearizability.Input)
		require.True(t, ok)
		keys[input.PartitionKey] = true
	}
	for key := range keys {
		recorder.RunAndRecord(0, linearizability.Input{Kind: linearizability.OpListEffects, PartitionKey: key}, func() linearizability.Output {
			return linearizability.Output{Texts: ran[key]}
		})
	}
}

func getJSON(t *testing.T, url string, value any) {
	t.Helper()
	resp, err := http.Get(url)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.NoError(t, json.NewDecoder(resp.Body).Decode(value))
}

// setLogFaults switches the faults of the log.
func (s *system) setLogFaults(t *testing.T, faults logserver.Faults) {
	t.Helper()
	body, err := json.Marshal(faults)
	require.NoError(t, err)
	req, err := http.NewRequest(http.MethodPut, "http://"+s.logAddr+"/v1/faults", bytes.NewReader(body))
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode)
}

// pause waits between two steps of a failure; its length decides nothing about the verdict.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func TestHostsAreKilled(t *testing.T) {
	s := startSystem(t)
	bearer := s.publish(t.Context(), t)
	work(t, s, bearer, func(ctx context.Context, _ *linearizability.Workload) {
		pause(ctx, 300*time.Millisecond)
		require.NoError(t, s.hosts[0].cmd.Process.Kill())
		pause(ctx, 4*time.Second)
		require.NoError(t, s.hosts[1].cmd.Process.Kill())
	})
}

func TestHostIsFrozenAndWakes(t *testing.T) {
	s := startSystem(t)
	bearer := s.publish(t.Context(), t)
	work(t, s, bearer, func(ctx context.Context, _ *linearizability.Workload) {
		for i := range s.hosts {
			pause(ctx, 300*time.Millisecond)
			require.NoError(t, s.hosts[i].cmd.Process.Signal(syscall.SIGSTOP))
			pause(ctx, 5*time.Second)
			require.NoError(t, s.hosts[i].cmd.Process.Signal(syscall.SIGCONT))
		}
	})
}

func TestLogIsDownAndLosesAnswers(t *testing.T) {
	s := startSystem(t)
	bearer := s.publish(t.Context(), t)
	work(t, s, bearer, func(ctx context.Context, _ *linearizability.Workload) {
		pause(ctx, 300*time.Millisecond)
		s.setLogFaults(t, logserver.Faults{LostAppendResponses: 20})
		pause(ctx, time.Second)
		s.setLogFaults(t, logserver.Faults{Down: true})
		pause(ctx, 7*time.Second)
		s.setLogFaults(t, logserver.Faults{LostAppendResponses: 5})
	})
}

func TestLogIsSlow(t *testing.T) {
	s := startSystem(t)
	bearer := s.publish(t.Context(), t)
	work(t, s, bearer, func(ctx context.Context, _ *linearizability.Workload) {
		pause(ctx, 300*time.Millisecond)
		s.setLogFaults(t, logserver.Faults{ResponseDelayMillis: 400})
		pause(ctx, 5*time.Second)
		s.setLogFaults(t, logserver.Faults{MaxAppendsPerSecond: 20})
		pause(ctx, 2*time.Second)
		s.setLogFaults(t, logserver.Faults{})
	})
}

func TestHostIsKilledDuringALogOutage(t *testing.T) {
	s := startSystem(t)
	bearer := s.publish(t.Context(), t)
	work(t, s, bearer, func(ctx context.Context, _ *linearizability.Workload) {
		pause(ctx, 300*time.Millisecond)
		s.setLogFaults(t, logserver.Faults{Down: true})
		pause(ctx, 500*time.Millisecond)
		require.NoError(t, s.hosts[2].cmd.Process.Kill())
		pause(ctx, 4*time.Second)
		s.setLogFaults(t, logserver.Faults{})
	})
}

func TestEveryHostIsReplacedWithoutARefusalThatCallersSee(t *testing.T) {
	s := startSystem(t)
	bearer := s.publish(t.Context(), t)
	runner := work(t, s, bearer, func(ctx context.Context, runner *linearizability.Workload) {
		for i := range 3 {
			s.addHost(t)
			runner.SetAddresses(s.callers[i+1:])
			// Callers keep an address for the lifetime of where's answer.
			pause(ctx, time.Second)
			require.NoError(t, s.hosts[i].cmd.Process.Signal(syscall.SIGTERM))
			select {
			case err := <-s.hosts[i].done:
				require.NoError(t, err)
			case <-ctx.Done():
				return
			}
		}
	})
	_, broken := runner.RefusalCounts()
	require.Zero(t, broken, "requests were cut")
}
