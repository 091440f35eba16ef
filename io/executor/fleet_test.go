package executor_test

import (
	"context"
	"errors"
	"net/http"
	"sync"
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
	"cardamomward/standin/service"
)

const testSettings = `
workspaces:
  clerks:
    rate: 10000/s
    burst: 20000
    budget: 1000k tokens
    program-lease: 2s
    services: [drafting, bookings, orders, lookup]
  crews:
    rate: 10000/s
    burst: 20000
    budget: 1000k tokens
    services: [drafting, bookings, orders, lookup]
services:
  drafting:
    kind: engine
    model: manual-7b
    timeout: 30s
    progress-timeout: 1s
    max-tokens: 64 tokens
    upstreams:
      - {name: draft-1, address: "192.0.2.1:80", failure-domain: domain-a}
      - {name: draft-2, address: "192.0.2.2:80", failure-domain: domain-b}
      - {name: draft-3, address: "192.0.2.3:80", failure-domain: domain-c}
  bookings:
    kind: plain
    timeout: 1s
    upstreams:
      - {name: bookings-1, address: "192.0.2.4:80", failure-domain: domain-a}
      - {name: bookings-2, address: "192.0.2.5:80", failure-domain: domain-b}
  orders:
    kind: plain
    timeout: 1s
    knows-outcomes: true
    upstreams:
      - {name: orders-1, address: "192.0.2.6:80", failure-domain: domain-a}
  lookup:
    kind: plain
    timeout: 1s
    idempotent: true
    upstreams:
      - {name: lookup-1, address: "192.0.2.7:80", failure-domain: domain-a}
      - {name: lookup-2, address: "192.0.2.8:80", failure-domain: domain-b}
`

func openRequest(name string) caller.OpenRequest {
	return caller.OpenRequest{Name: name}
}

// testTimeout bounds the wait of a test for a condition.
const testTimeout = 30 * time.Second

// testFleet is a fleet in this process with an API key for each workspace.
type testFleet struct {
	*fleet.Fleet

	keys map[id.Workspace]string
}

func startFleet(t *testing.T, config engine.Config) *testFleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f, err := fleet.Start(context.WithoutCancel(ctx), fleet.Options{
		SettingsDocument: []byte(testSettings), EngineConfig: config, LocationTTL: 100 * time.Millisecond, Logger: logr.Discard(),
	})
	require.NoError(t, err)
	t.Cleanup(f.Stop)
	require.NoError(t, f.WaitUntilReady(ctx))
	s := &testFleet{Fleet: f, keys: make(map[id.Workspace]string)}
	_, err = f.OperatorClient(0).PublishSettings(ctx, operatorapi.PublishRequest{Document: string(f.SettingsDocument), Author: "test"})
	require.NoError(t, err)
	for name := range f.Settings.Workspaces {
		issued, err := f.OperatorClient(0).IssueKey(ctx, name)
		require.NoError(t, err)
		s.keys[name] = issued.BearerToken
	}
	s.awaitKeys(t)

	return s
}

// awaitKeys waits until every host has the settings and all API keys.
func (s *testFleet) awaitKeys(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool {
		for i := range s.Hosts {
			for name := range s.keys {
				if _, err := s.client(i, name).ProgramHistory(t.Context(), "none"); apierror.From(err).Kind != apierror.NotFound {
					return false
				}
			}
		}

		return true
	}, testTimeout, 10*time.Millisecond)
}

func (s *testFleet) client(host int, workspace id.Workspace) *caller.Client {
	return &caller.Client{
		Address: s.Hosts[host].HostEntry().CallerAddress, APIKey: s.keys[workspace], HTTPClient: &http.Client{Transport: &http.Transport{}},
	}
}

// effectCount returns how often the upstreams of a service ran a call with this body.
func (s *testFleet) effectCount(name id.Service, body string) int {
	total := 0
	for _, upstream := range s.Settings.Services[name].Upstreams {
		for _, effect := range s.Services[upstream.ID].Effects() {
			if effect.Body == body {
				total++
			}
		}
	}

	return total
}

func (s *testFleet) setServiceFaults(name id.Service, faults service.Faults) {
	for _, upstream := range s.Settings.Services[name].Upstreams {
		s.Services[upstream.ID].SetFaults(faults)
	}
}

// slotOwnerIndex returns the index of the host that owns a slot.
func (s *testFleet) slotOwnerIndex(t *testing.T, slot id.Slot) int {
	t.Helper()
	for i, host := range s.Hosts {
		if owner, err := host.OwnerOf(slot); err == nil && owner == host.LocalOwner() {
			return i
		}
	}
	require.FailNow(t, "no owner", "slot %d", slot)

	return -1
}

// callResult is what a caller received for one attempt of a call.
type callResult struct {
	answer caller.Response
	err    error
}

func (r callResult) execution() apierror.Execution {
	var apiErr *apierror.Error
	switch {
	case r.err == nil:
		return apierror.Executed
	case errors.As(r.err, &apiErr):
		return apiErr.Execution
	default:
		return apierror.ExecutionUnknown
	}
}

// callHistory records what callers received for each request body.
type callHistory struct {
	mu       sync.Mutex
	results  map[string][]callResult
	services map[string]id.Service
}

func (h *callHistory) call(ctx context.Context, c *caller.Client, name id.Service, key, body string) callResult {
	answer, err := c.CallService(ctx, "", name, "do", key, rawJSON(body))
	result := callResult{answer, err}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.results == nil {
		h.results, h.services = make(map[string][]callResult), make(map[string]id.Service)
	}
	h.results[body] = append(h.results[body], result)
	h.services[body] = name

	return result
}

// rawJSON is a request body that is sent unchanged.
type rawJSON string

// MarshalJSON implements json.Marshaler.
func (r rawJSON) MarshalJSON() ([]byte, error) { return []byte(r), nil }

// checkAtMostOnce checks that each call ran at most once, that no call reported as not executed ran, and that all replies
// to a call are equal.
func (h *callHistory) checkAtMostOnce(t *testing.T, f *testFleet) {
	t.Helper()
	for body, results := range h.results {
		effectCount := f.effectCount(h.services[body], body)
		require.LessOrEqual(t, effectCount, 1, "%s ran more than once", body)
		var firstBody []byte
		allNotExecuted := true
		for _, result := range results {
			allNotExecuted = allNotExecuted && result.execution() == apierror.NotExecuted
			if result.err != nil {
				continue
			}
			require.Equal(t, 1, effectCount, "%s was answered but did not run once", body)
			if firstBody == nil {
				firstBody = result.answer.Body
			}
			require.Equal(t, string(firstBody), string(result.answer.Body), "replies to %s differ", body)
		}
		if allNotExecuted {
			require.Zero(t, effectCount, "%s ran although every attempt was reported as not executed", body)
		}
	}
}
