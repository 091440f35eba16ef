package executor_test

import (
	"bytes"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/apierror"
	"cardamomward/io/operatorapi"
	"cardamomward/standin/engine"
	"cardamomward/standin/service"
)

func TestRetriesLimitedByBudget(t *testing.T) {
	s := startFleet(t, engine.Config{})
	s.setServiceFaults("lookup", service.Faults{LostResponses: 1000})
	const calls = 90
	for n := range calls {
		_, err := s.client(n%3, "clerks").CallService(t.Context(), "", "lookup", "do", "", rawJSON(jsonString(fmt.Sprint(n))))
		require.Equal(t, apierror.UpstreamFailed, apierror.From(err).Kind)
		require.Equal(t, apierror.ExecutionUnknown, apierror.From(err).Execution)
		require.Positive(t, apierror.From(err).RetryAfter, "the error has a retry delay")
	}
	sends := len(s.Services["lookup-1"].Effects()) + len(s.Services["lookup-2"].Effects())
	// Each host starts with a budget of ten retries, and there is no success to refill it.
	require.LessOrEqual(t, sends, calls+3*10)
	require.Greater(t, sends, calls)
}

func TestLeavingUpstreamGetsNoNewCalls(t *testing.T) {
	s := startFleet(t, engine.Config{MaxConcurrentRequests: 2, TokenInterval: 30 * time.Millisecond})
	ctx := t.Context()
	var group sync.WaitGroup
	// More calls than the engines run at a time: some run at each engine, others wait.
	for n := range 18 {
		group.Go(func() { s.askUntilAnswered(t, n%3, "crews", fmt.Sprintf("before %d", n)) })
	}
	leaving := s.Engines["draft-1"]
	require.Eventually(t, func() bool { return len(leaving.ReceivedRequests()) > 0 }, testTimeout, time.Millisecond)

	line := []byte(`address: "` + leaving.Address() + `"`)
	document := bytes.Replace(s.SettingsDocument, line, append(line, []byte(", leaving: true")...), 1)
	require.NotEqual(t, s.SettingsDocument, document)
	current, err := s.OperatorClient(0).GetSettings(ctx)
	require.NoError(t, err)
	published, err := s.OperatorClient(0).PublishSettings(ctx, operatorapi.PublishRequest{
		BaseVersion: current.Version, Document: string(document), Author: "test", WaitMillis: testTimeout.Milliseconds(),
	})
	require.NoError(t, err)
	require.Len(t, published.AppliedHosts, 3)
	// Hosts report settings as in force once they have read them; they apply them to their engines a moment later.
	require.Eventually(t, func() bool {
		for i := range s.Hosts {
			dump, err := s.OperatorClient(i).GetHostDump(ctx)
			if err != nil {
				return false
			}
			for _, u := range dump.Upstreams {
				if u.Upstream == "draft-1" && !u.Leaving {
					return false
				}
			}
		}

		return true
	}, testTimeout, time.Millisecond)
	for n := range 6 {
		s.askUntilAnswered(t, n%3, "crews", fmt.Sprintf("after %d", n))
	}
	group.Wait()
	for _, seen := range leaving.ReceivedRequests() {
		require.NotContains(t, seen.Body, `"after `, "a new call after all hosts had applied the settings")
	}
	require.Zero(t, leaving.CanceledCount(), "running calls are not cancelled")
}
