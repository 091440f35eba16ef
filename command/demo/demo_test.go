package demo

import (
	"bytes"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"cardamomward/command/cmdutil"
	"cardamomward/core/settings"
)

// examples are the example deployments with the sizes that the users specified.
var examples = []struct {
	file                string
	domains, workspaces int
	engines             map[string]int
}{
	{"../../examples/authority/fleet.yaml", 3, 8, map[string]int{"manual-drafting": 12, "exhibitor-desk": 4}},
	{"../../examples/nyabugogo/fleet.yaml", 4, 8, map[string]int{"fault-repair": 11, "ticketing-dispatch": 4}},
}

func TestExampleSettingsHaveExpectedSizes(t *testing.T) {
	for _, example := range examples {
		source, err := os.ReadFile(example.file)
		require.NoError(t, err)
		fleet, findings := settings.Parse(example.file, source)
		require.Empty(t, findings)
		require.Len(t, listFailureDomains(fleet), example.domains)
		require.Len(t, fleet.Workspaces, example.workspaces)
		nonIdempotentCount := 0
		for _, svc := range fleet.SortedServices() {
			if want, ok := example.engines[string(svc.ID)]; ok {
				require.Len(t, svc.Upstreams, want, svc.ID)
			}
			if svc.Kind == settings.KindPlain && len(svc.Upstreams) > 0 && !svc.Idempotent {
				nonIdempotentCount++
			}
		}
		require.GreaterOrEqual(t, nonIdempotentCount, 3)
	}
}

// constrainedSettings has nested workspaces, a rate too low for all steps of the demo, a budget for a single short call,
// and an upstream that is leaving.
const constrainedSettings = `open-routes: []
workspaces:
  slow: {rate: 2/h, burst: 2, services: [chat]}
  root:
    services: [chat, orders]
    workspaces:
      middle:
        workspaces:
          poor: {rate: 4/s, burst: 2, budget: 70 tokens, priority: urgent}
services:
  chat:
    kind: engine
    model: chat-1b
    max-tokens: 64 tokens
    upstreams:
      - {name: chat-1, address: "192.0.2.1:80", failure-domain: d1}
      - {name: chat-2, address: "192.0.2.1:8000", failure-domain: d1, leaving: true}
  orders:
    kind: plain
    upstreams: [{name: orders-1, address: "192.0.2.2:80", failure-domain: d2}]
`

// plainOnlySettings has no engine services.
const plainOnlySettings = `workspaces:
  desk: {services: [lookups]}
services:
  lookups:
    kind: plain
    idempotent: true
    upstreams: [{name: lookups-1, address: "[2001:db8::1]:80", failure-domain: d1}]
`

// runDemo runs the demo with a settings file and returns its output.
func runDemo(t *testing.T, file string, source []byte) (string, error) {
	t.Helper()
	var out, errOut bytes.Buffer
	f := cmdutil.NewFactory()
	f.IOStreams = cmdutil.IOStreams{Out: &out, Err: &errOut}
	f.ReadFile = func(string) ([]byte, error) { return source, nil }
	err := demoRun(t.Context(), &DemoOptions{Factory: f, SettingsFile: file, Verbosity: verbositySilent})

	return out.String() + errOut.String(), err
}

func TestDemoCompletesWithEachSettings(t *testing.T) {
	sources := map[string][]byte{"sample": sampleSettings, "narrow": []byte(constrainedSettings), "plain-only": []byte(plainOnlySettings)}
	for _, example := range examples {
		source, err := os.ReadFile(example.file)
		require.NoError(t, err)
		sources[example.file] = source
	}
	expectedTexts := map[string][]string{
		"sample": {"tool pause: called dispatch", "opened sub-agent", "idempotency-key-reused", "budget-exhausted", "unauthenticated"},
		"narrow": {
			"workspace poor", "waiting", "the program's budget of 70 tokens is used up", "workspace slow", "leaves no time for the rest",
		},
		"plain-only": {"tool pause: called lookups", "unauthenticated"},
	}
	for name, source := range sources {
		t.Run(name, func(t *testing.T) {
			out, err := runDemo(t, name, source)
			require.NoError(t, err, out)
			require.Contains(t, out, "every step ended as it should")
			for _, expected := range expectedTexts[name] {
				require.Contains(t, out, expected)
			}
		})
	}
}

func TestDemoRejectsUnusableSettings(t *testing.T) {
	out, err := runDemo(t, "broken.yaml", []byte("workspaces: {a: {rate: 1}}\n"))
	require.Equal(t, cmdutil.ExitUsage, cmdutil.ExitCodeFor(err))
	require.Contains(t, out, `broken.yaml:1:24: workspaces.a.rate: "1" has no unit`)
	_, err = runDemo(t, "idle.yaml", []byte("workspaces: {a: {}}\n"))
	require.ErrorContains(t, err, "no workspace may use a service")
}
