package promises_test

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
	"cardamomward/standin/cut"
	"cardamomward/standin/engine"
	"cardamomward/standin/fleet"
)

const document = `workspaces:
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
	model = "manual-7b"
	// hosts is the size of a test's fleet.
	hosts = 3
)

// patience bounds every wait of a test; it is no pass mark.
const patience = 60 * time.Second

// world is a running fleet with its network.
type world struct {
	*fleet.Fleet

	t       *testing.T
	network *cut.Network
	opts    fleet.Options
}

func start(t *testing.T, config engine.Config) *world {
	t.Helper()
	w := &world{t: t, network: &cut.Network{}}
	w.opts = fleet.Options{
		Hosts: hosts, Document: []byte(document), Engine: config,
		WhereLifetime: 300 * time.Millisecond, Logger: logr.Discard(), Network: w.network,
	}
	f, err := fleet.Start(t.Context(), w.opts)
	require.NoError(t, err)
	w.Fleet = f
	t.Cleanup(f.Stop)
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	require.NoError(t, f.Ready(ctx))
	resp, err := f.Operator(0).PublishSettings(ctx, operatorapi.PublishRequest{
		Document: string(f.Document), Author: "test", WaitMillis: patience.Milliseconds(),
	})
	require.NoError(t, err)
	require.Len(t, resp.AppliedHosts, hosts)

	return w
}

// key issues a key and returns it with its id once every host knows it.
func (w *world) key(workspace id.Workspace) operatorapi.IssueKeyResponse {
	w.t.Helper()
	issued, err := w.Operator(0).IssueKey(w.t.Context(), workspace)
	require.NoError(w.t, err)
	for i := range w.Hosts {
		w.eventually(func() bool {
			keys, err := w.Operator(i).ListKeys(w.t.Context())
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

// client returns a caller at a host.
func (w *world) client(host int, bearer string) *caller.Client {
	return &caller.Client{Address: w.Hosts[host].HostEntry().CallerAddress, APIKey: bearer}
}

func (w *world) eventually(condition func() bool) {
	w.t.Helper()
	require.Eventually(w.t, condition, patience, 20*time.Millisecond)
}

// kindOf returns the kind of a refusal, or "" for other errors.
func kindOf(err error) apierror.Kind {
	var refused *apierror.Error
	if errors.As(err, &refused) {
		return refused.Kind
	}

	return ""
}

// result is the end of a call that ran in the background.
type result struct {
	answer caller.Response
	err    error
}

// background runs a call and returns where its result will be.
func background(call func() (caller.Response, error)) <-chan result {
	done := make(chan result, 1)
	go func() {
		answer, err := call()
		done <- result{answer, err}
	}()

	return done
}

func (w *world) await(done <-chan result) result {
	w.t.Helper()
	select {
	case r := <-done:
		return r
	case <-time.After(patience):
		require.FailNow(w.t, "the call has not ended")

		return result{}
	}
}
