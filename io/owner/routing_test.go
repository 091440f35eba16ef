package owner_test

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

func TestRetriesNeverMultiply(t *testing.T) {
	s := startSystem(t, engine.Config{})
	s.serviceFaults("lookup", service.Faults{LoseAnswers: 1000})
	const calls = 90
	for n := range calls {
		_, err := s.client(n%3, "clerks").Call(t.Context(), "", "lookup", "do", "", rawJSON(body(fmt.Sprint(n))))
		require.Equal(t, apierror.UpstreamFailed, apierror.From(err).Kind)
		require.Equal(t, apierror.ExecutionUnknown, apierror.From(err).Execution)
		require.Positive(t, apierror.From(err).RetryAfter, "the caller is told when to come back")
	}
	sends := len(s.Services["lookup-1"].Effects()) + len(s.Services["lookup-2"].Effects())
	// Each host has a reserve of ten retries, and no success pays for more.
	require.LessOrEqual(t, sends, calls+3*10)
	require.Greater(t, sends, calls)
}

func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	s := startSystem(t, engine.Config{Slots: 2, TokenInterval: 30 * time.Millisecond})
	ctx := t.Context()
	var group sync.WaitGroup
	// More calls than there are slots: some run at each engine, others wait.
	for n := range 18 {
		group.Go(func() { s.untilAnswered(t, n%3, "crews", fmt.Sprintf("before %d", n)) })
	}
	leaving := s.Engines["draft-1"]
	require.Eventually(t, func() bool { return len(leaving.Seen()) > 0 }, awaitFor, time.Millisecond)

	line := []byte(`address: "` + leaving.Address() + `"`)
	document := bytes.Replace(s.Document, line, append(line, []byte(", leaving: true")...), 1)
	require.NotEqual(t, s.Document, document)
	current, err := s.Operator(0).GetSettings(ctx)
	require.NoError(t, err)
	published, err := s.Operator(0).PublishSettings(ctx, operatorapi.PublishRequest{
		BaseVersion: current.Version, Document: string(document), Author: "test", WaitMillis: awaitFor.Milliseconds(),
	})
	require.NoError(t, err)
	require.Len(t, published.AppliedHosts, 3)
	// In force is what hosts have folded; taking it over follows at once.
	require.Eventually(t, func() bool {
		for i := range s.Hosts {
			dump, err := s.Operator(i).GetHostDump(ctx)
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
	}, awaitFor, time.Millisecond)
	for n := range 6 {
		s.untilAnswered(t, n%3, "crews", fmt.Sprintf("after %d", n))
	}
	group.Wait()
	for _, seen := range leaving.Seen() {
		require.NotContains(t, seen.Body, `"after `, "no new work once all hosts know")
	}
	require.Zero(t, leaving.Canceled(), "running work ends by itself")
}
