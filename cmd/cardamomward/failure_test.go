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
	// callerCount callers each run programs of turnsPerProgram turns, one after another, while faults are injected.
	callerCount     = 16
	turnsPerProgram = 6
	// workloadTimeout bounds the workload of a test; it only stops a test that hangs and is no performance target.
	workloadTimeout = 3 * time.Minute
	// checkTimeout bounds the check of one history.
	checkTimeout = 2 * time.Minute
)

// runWorkload runs programs while injectFaults runs, and checks the history of the callers and of the service.
func runWorkload(t *testing.T, s *testSystem, bearer string, injectFaults func(ctx context.Context, workload *linearizability.Workload)) *linearizability.Workload {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), workloadTimeout)
	defer cancel()
	workload := &linearizability.Workload{Recorder: &linearizability.Recorder{}, APIKey: bearer, Model: "manual-7b", Service: "bookings"}
	workload.SetAddresses(s.callerAddresses)
	faultsDone := make(chan struct{})
	go func() {
		defer close(faultsDone)
		injectFaults(ctx, workload)
	}()
	errs := make([]error, callerCount)
	programCounts := make([]int, callerCount)
	var group sync.WaitGroup
	for i := range callerCount {
		group.Go(func() {
			for errs[i] == nil && (programCounts[i] == 0 || !isClosed(faultsDone)) {
				errs[i] = workload.RunProgram(ctx, i, turnsPerProgram)
				programCounts[i]++
			}
		})
	}
	group.Wait()
	<-faultsDone
	for _, err := range errs {
		require.NoError(t, err)
	}
	kinds, incomplete := workload.RefusalCounts()
	t.Logf("programs by caller %v, refusals %v, requests without a complete response %d", programCounts, kinds, incomplete)
	checkHistory(t, workload.Recorder, s)

	return workload
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

func checkHistory(t *testing.T, recorder *linearizability.Recorder, s *testSystem) {
	t.Helper()
	turns := recorder.OperationsOfKinds(linearizability.OpRunTurn, linearizability.OpReadHistory)
	require.Empty(t, linearizability.FindViolation(linearizability.ProgramModel(), turns, checkTimeout))
	recordEffects(t, recorder, s)
	calls := recorder.OperationsOfKinds(linearizability.OpCallService, linearizability.OpListEffects)
	require.Empty(t, linearizability.FindViolation(linearizability.ServiceCallModel(), calls, checkTimeout))
}

// recordEffects records the calls that the service executed for each key, as the last operation on the key.
func recordEffects(t *testing.T, recorder *linearizability.Recorder, s *testSystem) {
	t.Helper()
	var list service.EffectList
	getJSON(t, "http://"+s.serviceAddress+"/effects", &list)
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

// setLogFaults replaces the injected faults of the log server.
func (s *testSystem) setLogFaults(t *testing.T, faults logserver.Faults) {
	t.Helper()
	body, err := json.Marshal(faults)
	require.NoError(t, err)
	req, err := http.NewRequest(http.MethodPut, "http://"+s.logAddress+"/v1/faults", bytes.NewReader(body))
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode)
}

// sleepContext waits between two steps of a fault injection; the checks do not depend on its duration.
func sleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func TestCallsCompleteWhileHostsAreKilled(t *testing.T) {
	s := startSystem(t)
	bearer := s.publishSettings(t.Context(), t)
	runWorkload(t, s, bearer, func(ctx context.Context, _ *linearizability.Workload) {
		sleepContext(ctx, 300*time.Millisecond)
		require.NoError(t, s.hosts[0].cmd.Process.Kill())
		sleepContext(ctx, 4*time.Second)
		require.NoError(t, s.hosts[1].cmd.Process.Kill())
	})
}

func TestCallsCompleteWhileHostsAreSuspended(t *testing.T) {
	s := startSystem(t)
	bearer := s.publishSettings(t.Context(), t)
	runWorkload(t, s, bearer, func(ctx context.Context, _ *linearizability.Workload) {
		for i := range s.hosts {
			sleepContext(ctx, 300*time.Millisecond)
			require.NoError(t, s.hosts[i].cmd.Process.Signal(syscall.SIGSTOP))
			sleepContext(ctx, 5*time.Second)
			require.NoError(t, s.hosts[i].cmd.Process.Signal(syscall.SIGCONT))
		}
	})
}

func TestCallsCompleteDuringLogOutageAndLostResponses(t *testing.T) {
	s := startSystem(t)
	bearer := s.publishSettings(t.Context(), t)
	runWorkload(t, s, bearer, func(ctx context.Context, _ *linearizability.Workload) {
		sleepContext(ctx, 300*time.Millisecond)
		s.setLogFaults(t, logserver.Faults{LostAppendResponses: 20})
		sleepContext(ctx, time.Second)
		s.setLogFaults(t, logserver.Faults{Down: true})
		sleepContext(ctx, 7*time.Second)
		s.setLogFaults(t, logserver.Faults{LostAppendResponses: 5})
	})
}

func TestCallsCompleteWhileLogIsSlow(t *testing.T) {
	s := startSystem(t)
	bearer := s.publishSettings(t.Context(), t)
	runWorkload(t, s, bearer, func(ctx context.Context, _ *linearizability.Workload) {
		sleepContext(ctx, 300*time.Millisecond)
		s.setLogFaults(t, logserver.Faults{ResponseDelayMillis: 400})
		sleepContext(ctx, 5*time.Second)
		s.setLogFaults(t, logserver.Faults{MaxAppendsPerSecond: 20})
		sleepContext(ctx, 2*time.Second)
		s.setLogFaults(t, logserver.Faults{})
	})
}

func TestCallsCompleteWhenHostIsKilledDuringLogOutage(t *testing.T) {
	s := startSystem(t)
	bearer := s.publishSettings(t.Context(), t)
	runWorkload(t, s, bearer, func(ctx context.Context, _ *linearizability.Workload) {
		sleepContext(ctx, 300*time.Millisecond)
		s.setLogFaults(t, logserver.Faults{Down: true})
		sleepContext(ctx, 500*time.Millisecond)
		require.NoError(t, s.hosts[2].cmd.Process.Kill())
		sleepContext(ctx, 4*time.Second)
		s.setLogFaults(t, logserver.Faults{})
	})
}

func TestRollingReplacementCutsNoRequests(t *testing.T) {
	s := startSystem(t)
	bearer := s.publishSettings(t.Context(), t)
	workload := runWorkload(t, s, bearer, func(ctx context.Context, workload *linearizability.Workload) {
		for i := range 3 {
			s.addHost(t)
			workload.SetAddresses(s.callerAddresses[i+1:])
			// Callers may use an address for the lifetime of the where response.
			sleepContext(ctx, time.Second)
			require.NoError(t, s.hosts[i].cmd.Process.Signal(syscall.SIGTERM))
			select {
			case err := <-s.hosts[i].done:
				require.NoError(t, err)
			case <-ctx.Done():
				return
			}
		}
	})
	_, incomplete := workload.RefusalCounts()
	require.Zero(t, incomplete, "requests without a complete response")
}
