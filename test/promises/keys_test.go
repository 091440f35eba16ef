package promises_test

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
	// Two engines with one slot each and endless answers: two calls run, the rest wait.
	w := start(t, engine.Config{Slots: 1, TokenInterval: time.Hour})
	issued := w.key("clerks")
	var calls []<-chan result
	for i := range 6 {
		client := w.client(i%3, issued.BearerToken)
		calls = append(calls, background(func() (caller.Response, error) {
			program, err := client.OpenProgram(t.Context(), caller.OpenRequest{})
			if err != nil {
				return caller.Response{}, err
			}

			return client.SendMessage(t.Context(), program.ID, model, "endless")
		}))
	}
	w.eventually(func() bool { return w.running() >= len(calls) })
	_, err := w.Operator(1).WithdrawKey(t.Context(), issued.Key)
	require.NoError(t, err)
	for _, call := range calls {
		require.Equal(t, apierror.Unauthenticated, kindOf(w.await(call).err))
	}
	// The engines' places are free again.
	other := w.key("desk")
	client := w.client(0, other.BearerToken)
	program, err := client.OpenProgram(t.Context(), caller.OpenRequest{})
	require.NoError(t, err)
	answered := background(func() (caller.Response, error) { return client.SendMessage(t.Context(), program.ID, model, "free") })
	w.eventually(func() bool {
		for _, server := range w.Engines {
			for _, seen := range server.Seen() {
				if strings.Contains(seen.Body, "free") {
					return true
				}
			}
		}

		return false
	})
	_, err = w.Operator(0).WithdrawKey(t.Context(), other.Key)
	require.NoError(t, err)
	require.Equal(t, apierror.Unauthenticated, kindOf(w.await(answered).err))
}

func TestWithdrawnKeyStopsAtAHostThatOnlyPeersReach(t *testing.T) {
	w := start(t, engine.Config{})
	issued := w.key("clerks")
	kept := w.key("desk")
	w.network.Cut("host-1", fleet.LogName)
	_, err := w.Operator(1).WithdrawKey(t.Context(), issued.Key)
	require.NoError(t, err)
	client := w.client(0, issued.BearerToken)
	w.eventually(func() bool {
		_, err := client.FindHost(t.Context(), "")
		require.NoError(t, err)
		_, err = client.OpenProgram(t.Context(), caller.OpenRequest{})

		return kindOf(err) == apierror.Unauthenticated
	})
	// The host knows keys as freshly as its peers do, so it still tells keys apart.
	require.Never(t, func() bool {
		_, err := w.client(0, kept.BearerToken).ProgramHistory(t.Context(), "none")

		return kindOf(err) == apierror.Unauthenticated
	}, time.Second, 100*time.Millisecond)
}

func TestHostThatReachesNeitherLogNorPeersStopsAdmitting(t *testing.T) {
	w := start(t, engine.Config{})
	issued := w.key("clerks")
	w.network.Cut("host-1", fleet.LogName)
	w.network.Cut("host-1", "host-2")
	w.network.Cut("host-1", "host-3")
	client := w.client(0, issued.BearerToken)
	w.eventually(func() bool {
		// The list of models needs a key and no owner of any slot.
		_, err := client.ListModels(t.Context())

		return kindOf(err) == apierror.LogUnavailable
	})
	w.network.Heal("host-1", fleet.LogName)
	w.eventually(func() bool {
		_, err := client.ListModels(t.Context())

		return err == nil
	})
}

func TestNoUpstreamSeesACallersKey(t *testing.T) {
	w := start(t, engine.Config{})
	issued := w.key("clerks")
	secret := issued.BearerToken[strings.LastIndex(issued.BearerToken, "_")+1:]
	for i := range w.Hosts {
		client := w.client(i, issued.BearerToken)
		program, err := client.OpenProgram(t.Context(), caller.OpenRequest{Name: "keys"})
		require.NoError(t, err)
		_, err = client.SendMessage(t.Context(), program.ID, model, "hello")
		require.NoError(t, err)
		_, err = client.CallService(t.Context(), program.ID, "bookings", "confirm", "key-"+string(program.ID), "body")
		require.NoError(t, err)
	}
	requests := 0
	for _, server := range w.Engines {
		for _, seen := range server.Seen() {
			requests++
			requireNoKey(t, secret, string(issued.Key), seen.Path, seen.Body, seen.Headers)
		}
	}
	for _, server := range w.Services {
		for _, effect := range server.Effects() {
			requests++
			requireNoKey(t, secret, string(issued.Key), effect.Path+effect.Key, effect.Body, effect.Headers)
		}
	}
	require.GreaterOrEqual(t, requests, 6)
}

func requireNoKey(t *testing.T, secret, key, path, body string, headers map[string]string) {
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

func TestCallOfACallerThatHasGoneIsCancelled(t *testing.T) {
	w := start(t, engine.Config{Slots: 1, TokenInterval: time.Hour})
	issued := w.key("clerks")
	// One call runs and one waits at each engine; then their callers close their connections.
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var calls []<-chan result
	for i := range 4 {
		client := w.client(i%hosts, issued.BearerToken)
		program, err := client.OpenProgram(t.Context(), caller.OpenRequest{})
		require.NoError(t, err)
		calls = append(calls, background(func() (caller.Response, error) {
			return client.SendMessage(ctx, program.ID, model, "endless")
		}))
	}
	w.eventually(func() bool { return w.running() == len(calls) })
	cancel()
	for _, call := range calls {
		require.Error(t, w.await(call).err)
	}
	w.eventually(func() bool { return w.running() == 0 })
}

// running returns how many calls are under way at all hosts.
func (w *world) running() int {
	w.t.Helper()
	total := 0
	for i := range w.Hosts {
		dump, err := w.Operator(i).GetHostDump(w.t.Context())
		require.NoError(w.t, err)
		total += dump.RunningCalls
	}

	return total
}
