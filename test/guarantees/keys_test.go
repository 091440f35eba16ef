package guarantees_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/apierror"
	"cardamomward/io/caller"
	"cardamomward/standin/engine"
	"cardamomward/standin/fleet"
)

func TestWithdrawnKeyEndsRunningAndQueuedCalls(t *testing.T) {
	// Two engines run one call each, which does not end; the other calls wait in the queue.
	tc := startCluster(t, engine.Config{MaxConcurrentRequests: 1, TokenInterval: time.Hour})
	issued := tc.issueKey("clerks")
	var calls []<-chan callResult
	for i := range 6 {
		client := tc.clientAt(i%3, issued.BearerToken)
		calls = append(calls, runInBackground(func() (caller.Response, error) {
			program, err := client.OpenProgram(t.Context(), caller.OpenRequest{})
			if err != nil {
				return caller.Response{}, err
			}

			return client.SendMessage(t.Context(), program.ID, modelName, "endless")
		}))
	}
	tc.requireEventually(func() bool { return tc.runningCalls() >= len(calls) })
	_, err := tc.OperatorClient(1).WithdrawKey(t.Context(), issued.Key)
	require.NoError(t, err)
	for _, call := range calls {
		require.Equal(t, apierror.Unauthenticated, errorKind(tc.awaitResult(call).err))
	}
	// The engines have capacity again.
	other := tc.issueKey("desk")
	client := tc.clientAt(0, other.BearerToken)
	program, err := client.OpenProgram(t.Context(), caller.OpenRequest{})
	require.NoError(t, err)
	call := runInBackground(func() (caller.Response, error) {
		return client.SendMessage(t.Context(), program.ID, modelName, "free")
	})
	tc.requireEventually(func() bool {
		for _, server := range tc.Engines {
			for _, seen := range server.ReceivedRequests() {
				if strings.Contains(seen.Body, "free") {
					return true
				}
			}
		}

		return false
	})
	_, err = tc.OperatorClient(0).WithdrawKey(t.Context(), other.Key)
	require.NoError(t, err)
	require.Equal(t, apierror.Unauthenticated, errorKind(tc.awaitResult(call).err))
}

func TestHostWithoutLogAccessLearnsKeyWithdrawalFromPeers(t *testing.T) {
	tc := startCluster(t, engine.Config{})
	issued := tc.issueKey("clerks")
	validKey := tc.issueKey("desk")
	tc.network.CutLink("host-1", fleet.LogName)
	_, err := tc.OperatorClient(1).WithdrawKey(t.Context(), issued.Key)
	require.NoError(t, err)
	client := tc.clientAt(0, issued.BearerToken)
	tc.requireEventually(func() bool {
		_, err := client.FindHost(t.Context(), "")
		require.NoError(t, err)
		_, err = client.OpenProgram(t.Context(), caller.OpenRequest{})

		return errorKind(err) == apierror.Unauthenticated
	})
	// The host reads the control stream through its peers, so it still accepts keys that are valid.
	require.Never(t, func() bool {
		_, err := tc.clientAt(0, validKey.BearerToken).ProgramHistory(t.Context(), "none")

		return errorKind(err) == apierror.Unauthenticated
	}, time.Second, 100*time.Millisecond)
}

func TestHostWithoutLogAndPeersRefusesCalls(t *testing.T) {
	tc := startCluster(t, engine.Config{})
	issued := tc.issueKey("clerks")
	tc.network.CutLink("host-1", fleet.LogName)
	tc.network.CutLink("host-1", "host-2")
	tc.network.CutLink("host-1", "host-3")
	client := tc.clientAt(0, issued.BearerToken)
	tc.requireEventually(func() bool {
		// Listing models needs a valid key but no slot owner.
		_, err := client.ListModels(t.Context())

		return errorKind(err) == apierror.LogUnavailable
	})
	tc.network.RestoreLink("host-1", fleet.LogName)
	tc.requireEventually(func() bool {
		_, err := client.ListModels(t.Context())

		return err == nil
	})
}

func TestCallersKeyIsNotSentToUpstreams(t *testing.T) {
	tc := startCluster(t, engine.Config{})
	issued := tc.issueKey("clerks")
	secret := issued.BearerToken[strings.LastIndex(issued.BearerToken, "_")+1:]
	for i := range tc.Hosts {
		client := tc.clientAt(i, issued.BearerToken)
		program, err := client.OpenProgram(t.Context(), caller.OpenRequest{Name: "keys"})
		require.NoError(t, err)
		_, err = client.SendMessage(t.Context(), program.ID, modelName, "hello")
		require.NoError(t, err)
		_, err = client.CallService(t.Context(), program.ID, "bookings", "confirm", "key-"+string(program.ID), "body")
		require.NoError(t, err)
	}
	requests := 0
	for _, server := range tc.Engines {
		for _, seen := range server.ReceivedRequests() {
			requests++
			requireNoAPIKey(t, secret, string(issued.Key), seen.Path, seen.Body, seen.Headers)
		}
	}
	for _, server := range tc.Services {
		for _, effect := range server.Effects() {
			requests++
			requireNoAPIKey(t, secret, string(issued.Key), effect.Path+effect.IdempotencyKey, effect.Body, effect.Headers)
		}
	}
	require.GreaterOrEqual(t, requests, 6)
}

func requireNoAPIKey(t *testing.T, secret, key, path, body string, headers map[string]string) {
	t.Helper()
	texts := []string{path, body}
	for name, value := range headers {
		texts = append(texts, name, value)
	}
	for _, text := range texts {
		require.NotContains(t, text, secret)
		require.NotContains(t, text, key)
		require.NotContains(t, strings.ToLower(text), "bearer")
	}
}

func TestCallIsCancelledWhenCallerDisconnects(t *testing.T) {
	tc := startCluster(t, engine.Config{MaxConcurrentRequests: 1, TokenInterval: time.Hour})
	issued := tc.issueKey("clerks")
	// One call runs and one waits at each engine; then their callers close their connections.
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var calls []<-chan callResult
	for i := range 4 {
		client := tc.clientAt(i%hostCount, issued.BearerToken)
		program, err := client.OpenProgram(t.Context(), caller.OpenRequest{})
		require.NoError(t, err)
		calls = append(calls, runInBackground(func() (caller.Response, error) {
			return client.SendMessage(ctx, program.ID, modelName, "endless")
		}))
	}
	tc.requireEventually(func() bool { return tc.runningCalls() == len(calls) })
	cancel()
	for _, call := range calls {
		require.Error(t, tc.awaitResult(call).err)
	}
	tc.requireEventually(func() bool { return tc.runningCalls() == 0 })
}

// runningCalls returns the number of running calls at all hosts.
func (tc *testCluster) runningCalls() int {
	tc.t.Helper()
	total := 0
	for i := range tc.Hosts {
		dump, err := tc.OperatorClient(i).GetHostDump(tc.t.Context())
		require.NoError(tc.t, err)
		total += dump.RunningCalls
	}

	return total
}
