package owner_test

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

func openRequest(name string) caller.OpenRequest { return caller.OpenRequest{Name: name} }

// awaitFor bounds how long a test waits for a condition.
const awaitFor = 30 * time.Second

// system is a fleet in this process with a key for each workspace.
type system struct {
	*fleet.Fleet

	keys map[id.Workspace]string
}

func startSystem(t *testing.T, config engine.Config) *system {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), awaitFor)
	defer cancel()
	f, err := fleet.Start(context.WithoutCancel(ctx), fleet.Options{
		Document: []byte(testSettings), Engine: config, WhereLifetime: 100 * time.Millisecond, Logger: logr.Discard(),
	})
	require.NoError(t, err)
	t.Cleanup(f.Stop)
	require.NoError(t, f.Ready(ctx))
	s := &system{Fleet: f, keys: make(map[id.Workspace]string)}
	_, err = f.Operator(0).PublishSettings(ctx, operatorapi.PublishRequest{Document: string(f.Document), Author: "test"})
	require.NoError(t, err)
	for name := range f.Settings.Workspaces {
		issued, err := f.Operator(0).IssueKey(ctx, name)
		require.NoError(t, err)
		s.keys[name] = issued.BearerToken
	}
	s.awaitKeys(t)

	return s
}

// awaitKeys waits until every host knows the settings and all keys.
func (s *system) awaitKeys(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool {
		for i := range s.Hosts {
			for name := range s.keys {
				if _, err := s.client(i, name).History(t.Context(), "none"); apierror.From(err).Kind != apierror.NotFound {
					return false
				}
			}
		}

		return true
	}, awaitFor, 10*time.Millisecond)
}

func (s *system) client(host int, workspace id.Workspace) *caller.Client {
	return &caller.Client{
		Address: s.Hosts[host].HostEntry().CallerAddress, Bearer: s.keys[workspace], HTTP: &http.Client{Transport: &http.Transport{}},
	}
}

// effects returns how often the upstreams of a service ran a call with this body.
func (s *system) effects(name id.Service, body string) int {
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

func (s *system) serviceFaults(name id.Service, faults service.Faults) {
	for _, upstream := range s.Settings.Services[name].Upstreams {
		s.Services[upstream.ID].SetFaults(faults)
	}
}

// ownerOf returns the index of the host that owns a slot.
func (s *system) ownerOf(t *testing.T, slot id.Slot) int {
	t.Helper()
	for i, host := range s.Hosts {
		if owner, err := host.Owner(slot); err == nil && owner == host.Local() {
			return i
		}
	}
	require.FailNow(t, "no owner", "slot %d", slot)

	return -1
}

// attempt is what a caller was told about one try of a call.
type attempt struct {
	answer caller.Answer
	err    error
}

func (a attempt) ran() apierror.Execution {
	var refused *apierror.Error
	switch {
	case a.err == nil:
		return apierror.Executed
	case errors.As(a.err, &refused):
		return refused.Execution
	default:
		return apierror.ExecutionUnknown
	}
}

// ledger notes what callers were told about each body and checks it against the effects.
type ledger struct {
	mu       sync.Mutex
	attempts map[string][]attempt
	services map[string]id.Service
}

func (l *ledger) call(ctx context.Context, c *caller.Client, name id.Service, key, body string) attempt {
	answer, err := c.Call(ctx, "", name, "do", key, rawJSON(body))
	a := attempt{answer, err}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.attempts == nil {
		l.attempts, l.services = make(map[string][]attempt), make(map[string]id.Service)
	}
	l.attempts[body] = append(l.attempts[body], a)
	l.services[body] = name

	return a
}

// rawJSON is a body that is sent as it is.
type rawJSON string

// MarshalJSON implements json.Marshaler.
func (r rawJSON) MarshalJSON() ([]byte, error) { return []byte(r), nil }

// check proves that each call ran at most once, that "not-run" was true and that all answers to a call are the first.
func (l *ledger) check(t *testing.T, s *system) {
	t.Helper()
	for body, attempts := range l.attempts {
		effects := s.effects(l.services[body], body)
		require.LessOrEqual(t, effects, 1, "%s ran more than once", body)
		var first []byte
		allNotRun := true
		for _, a := range attempts {
			allNotRun = allNotRun && a.ran() == apierror.NotExecuted
			if a.err != nil {
				continue
			}
			require.Equal(t, 1, effects, "%s was answered", body)
			if first == nil {
				first = a.answer.Body
			}
			require.Equal(t, string(first), string(a.answer.Body), "%s has one outcome", body)
		}
		if allNotRun {
			require.Zero(t, effects, "%s ran although each caller was told not-run", body)
		}
	}
}
