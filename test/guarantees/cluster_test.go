package guarantees_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"cardamomward/core/apierror"
	"cardamomward/core/id"
	"cardamomward/io/caller"
	"cardamomward/io/operatorapi"
	"cardamomward/standin/engine"
	"cardamomward/standin/fleet"
	"cardamomward/standin/netsim"
)

const settingsDocument = `workspaces:
  clerks:
    rate: 2000/s
    burst: 4000
    budget: 1000k tokens
    services: [drafting, bookings]
  desk:
    rate: 2000/s
    burst: 4000
    budget: 1000k tokens
    services: [drafting, bookings]
services:
  drafting:
    kind: engine
    model: manual-7b
    max-tokens: 64 tokens
    upstreams:
      - {name: draft-1, address: "192.0.2.1:80", failure-domain: domain-a}
      - {name: draft-2, address: "192.0.2.2:80", failure-domain: domain-b}
  bookings:
    kind: plain
    timeout: 5s
    upstreams:
      - {name: bookings-1, address: "192.0.2.3:80", failure-domain: domain-a}
`

const (
	modelName = "manual-7b"
	// hostCount is the number of hosts in a test's fleet.
	hostCount = 3
)

// waitTimeout is the upper bound of every wait; no test requires a response within it as a latency target.
const waitTimeout = 60 * time.Second

// testCluster is a running fleet whose network links can be cut.
type testCluster struct {
	*fleet.Fleet

	t       *testing.T
	network *netsim.Network
	opts    fleet.Options
}

func startCluster(t *testing.T, config engine.Config) *testCluster {
	t.Helper()
	tc := &testCluster{t: t, network: &netsim.Network{}}
	tc.opts = fleet.Options{
		HostCount: hostCount, SettingsDocument: []byte(settingsDocument), EngineConfig: config,
		LocationTTL: 300 * time.Millisecond, Logger: logr.Discard(), Network: tc.network,
	}
	f, err := fleet.Start(t.Context(), tc.opts)
	require.NoError(t, err)
	tc.Fleet = f
	t.Cleanup(f.Stop)
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	require.NoError(t, f.WaitUntilReady(ctx))
	resp, err := f.OperatorClient(0).PublishSettings(ctx, operatorapi.PublishRequest{
		Document: string(f.SettingsDocument), Author: "test", WaitMillis: waitTimeout.Milliseconds(),
	})
	require.NoError(t, err)
	require.Len(t, resp.AppliedHosts, hostCount)

	return tc
}

// issueKey issues an API key and waits until every host lists it.
func (tc *testCluster) issueKey(workspace id.Workspace) operatorapi.IssueKeyResponse {
	tc.t.Helper()
	issued, err := tc.OperatorClient(0).IssueKey(tc.t.Context(), workspace)
	require.NoError(tc.t, err)
	for i := range tc.Hosts {
		tc.requireEventually(func() bool {
			keys, err := tc.OperatorClient(i).ListKeys(tc.t.Context())
			if err != nil {
				return false
			}
			for _, key := range keys.Keys {
				if key.Key == issued.Key {
					return true
				}
			}

			return false
		})
	}

	return issued
}

// clientAt returns a caller's client of the host with an index.
func (tc *testCluster) clientAt(host int, apiKey string) *caller.Client {
	return &caller.Client{Address: tc.Hosts[host].HostEntry().CallerAddress, APIKey: apiKey}
}

func (tc *testCluster) requireEventually(condition func() bool) {
	tc.t.Helper()
	require.Eventually(tc.t, condition, waitTimeout, 20*time.Millisecond)
}

// errorKind returns the kind of an apierror.Error, or "" for other errors.
func errorKind(err error) apierror.Kind {
	var refused *apierror.Error
	if errors.As(err, &refused) {
		return refused.Kind
	}

	return ""
}

// callResult is the result of a call that ran in the background.
type callResult struct {
	response caller.Response
	err      error
}

// runInBackground runs a call and returns a channel that receives its result.
func runInBackground(call func() (caller.Response, error)) <-chan callResult {
	done := make(chan callResult, 1)
	go func() {
		response, err := call()
		done <- callResult{response, err}
	}()

	return done
}

func (tc *testCluster) awaitResult(done <-chan callResult) callResult {
	tc.t.Helper()
	select {
	case r := <-done:
		return r
	case <-time.After(waitTimeout):
		require.FailNow(tc.t, "the call has not ended")

		return callResult{}
	}
}
