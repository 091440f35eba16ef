package settings

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/core/id"
)

// validDocument sets every key.
const validDocument = `open-routes: [/healthz, /v1/where]
workspaces:
  clerks:
    rate: 50/s
    burst: 100
    budget: 200k tokens
    weight: 2
    priority: urgent
    program-lease: 8h
    services: [drafting, bookings]
    workspaces:
      desk:
        rate: 300/m
        workspaces:
          night:
  visitors:
    parent: clerks
    budget: 2k tokens
services:
  engines:
    kind: engine
    timeout: 30s
    progress-timeout: 4s
    max-tokens: 512 tokens
    services:
      drafting:
        model: manual-7b
        checks-fence: true
        upstreams:
          - {name: draft-1, address: "192.0.2.1:80", failure-domain: domain-a}
          - name: draft-2
            address: "[2001:db8::1]:80"
            failure-domain: domain-b
            leaving: true
  bookings:
    kind: plain
    idempotent: false
    knows-outcomes: true
    timeout: 2s
    upstreams:
      - {name: book-1, address: "192.0.2.3:80", failure-domain: domain-a}
`

func TestParseResolvesInheritance(t *testing.T) {
	fleet, findings := Parse("fleet.yaml", []byte(validDocument))
	require.Empty(t, findings)
	require.Equal(t, []string{"/healthz", "/v1/where"}, fleet.OpenRoutes)
	night := fleet.Workspaces["night"]
	require.Equal(t, &Workspace{
		ID: "night", Parent: "desk", Rate: 5, Burst: 100, Budget: 200_000, Weight: 2, Priority: PriorityUrgent,
		ProgramLease: 8 * time.Hour, Services: []id.Service{"drafting", "bookings"},
	}, night)
	require.EqualValues(t, 2000, fleet.Workspaces["visitors"].Budget)
	require.EqualValues(t, "clerks", fleet.Workspaces["visitors"].Parent)
	drafting := fleet.Services["drafting"]
	require.Equal(t, KindEngine, drafting.Kind)
	require.Equal(t, 4*time.Second, drafting.ProgressTimeout)
	require.True(t, drafting.ChecksFence)
	require.Equal(t, []Upstream{
		{ID: "draft-1", Address: "192.0.2.1:80", FailureDomain: "domain-a"},
		{ID: "draft-2", Address: "[2001:db8::1]:80", FailureDomain: "domain-b", Leaving: true},
	}, drafting.Upstreams)
	require.Equal(t, 2*time.Second, fleet.Services["bookings"].ProgressTimeout, "the default is bounded by the timeout")
	require.Empty(t, fleet.Services["engines"].Upstreams)
}

func TestParseTreeAppliesDefaultOpenRoutes(t *testing.T) {
	tree, findings := ParseTree("fleet.yaml", []byte("{}"))
	require.Empty(t, findings)
	require.Equal(t, []string{"/healthz", "/v1/where"}, tree.Fleet().OpenRoutes)
	require.Equal(t, []EffectiveValue{{Path: "open-routes", Value: "[/healthz, /v1/where]"}}, tree.EffectiveValues("open-routes"))
	tree, findings = ParseTree("fleet.yaml", []byte("open-routes: []"))
	require.Empty(t, findings)
	require.NotNil(t, tree.Fleet().OpenRoutes)
	require.Equal(t, []EffectiveValue{{Path: "open-routes", Value: "[]", From: "open-routes", Line: 1}}, tree.EffectiveValues("open-routes"))
}

func TestParseAcceptsByteOrderMark(t *testing.T) {
	_, findings := Parse("fleet.yaml", []byte("\ufeffworkspaces: {}\n"))
	require.Empty(t, findings)
}

func TestEffectiveValuesReportTheirOrigin(t *testing.T) {
	tree, findings := ParseTree("fleet.yaml", []byte(validDocument))
	require.Empty(t, findings)
	require.Equal(t, []EffectiveValue{{Path: "workspaces.night.rate", Value: "300/m", From: "workspaces.clerks.workspaces.desk", Line: 13}},
		tree.EffectiveValues("night.rate"))
	require.Equal(t, []EffectiveValue{{Path: "workspaces.visitors.burst", Value: "100", From: "workspaces.clerks", Line: 5}},
		tree.EffectiveValues("workspaces/visitors/burst"))
	require.Equal(t, []EffectiveValue{{Path: "services.bookings.max-tokens", Value: "1024 tokens"}}, tree.EffectiveValues("bookings.max-tokens"))
	require.Equal(t, DefaultOrigin, tree.EffectiveValues("bookings.max-tokens")[0].Origin())
	require.Empty(t, tree.EffectiveValues("nobody"))
	require.Greater(t, len(tree.EffectiveValues("")), 50)
}

// workspaceDocument returns a document with one workspace that has the given lines.
func workspaceDocument(lines ...string) string {
	return "workspaces:\n  clerks:\n    " + strings.Join(lines, "\n    ") + "\n"
}

// serviceDocument returns a document with one service that has the given lines.
func serviceDocument(lines ...string) string {
	return "services:\n  drafting:\n    " + strings.Join(lines, "\n    ") + "\n"
}

const oneUpstream = `upstreams: [{name: a, address: "192.0.2.1:80", failure-domain: d}]`

func TestParseReportsFindings(t *testing.T) {
	tests := map[string]struct {
		source string
		// want holds a part of each finding, from its line on.
		want []string
	}{
		"unknown key":          {workspaceDocument("raet: 1/s"), []string{`3:5: workspaces.clerks.raet: the key is unknown, did you mean "rate"?; allowed are parent, rate`}},
		"unknown top key":      {"workspace: {}\n", []string{`1:1: workspace: the key is unknown, did you mean "workspaces"?`}},
		"rate without unit":    {workspaceDocument("rate: 10"), []string{`3:11: workspaces.clerks.rate: "10" has no unit; allowed is a rate with its unit, such as 40/s`}},
		"rate of wrong unit":   {workspaceDocument("rate: 10/d"), []string{`3:11: workspaces.clerks.rate: "10/d" has the unknown unit "/d"`}},
		"rate below range":     {workspaceDocument("rate: 0/s"), []string{`3:11: workspaces.clerks.rate: "0/s" is too small; allowed is a rate with its unit, such as 40/s, 300/m or 5000/h, from 1/h to 1000000/s`}},
		"negative rate":        {workspaceDocument("rate: -1/s"), []string{`3:11: workspaces.clerks.rate: "-1/s" is not`}},
		"rate of a list":       {workspaceDocument("rate: [1/s]"), []string{`3:11: workspaces.clerks.rate: there is a list; allowed is a rate`}},
		"rate of a mapping":    {workspaceDocument("rate: {a: 1}"), []string{`3:11: workspaces.clerks.rate: there is a mapping`}},
		"rate of nothing":      {workspaceDocument("rate:"), []string{`3:11: workspaces.clerks.rate: there is no value`}},
		"infinite rate":        {workspaceDocument("rate: .inf"), []string{`3:11: workspaces.clerks.rate: there is a number without a finite value`}},
		"rate in hexadecimal":  {workspaceDocument("burst: 0x10"), []string{`3:12: workspaces.clerks.burst: "0x10" is not a whole number`}},
		"burst of one":         {workspaceDocument("burst: 1"), []string{`3:12: workspaces.clerks.burst: "1" is too small; allowed is a whole number without a unit, from 2 to 10000000`}},
		"burst below the rate": {workspaceDocument("rate: 1000/s"), []string{`3:11: workspaces.clerks.rate: the burst of 20 is below what the rate of 1000/s admits in 40ms; allowed is a burst of at least 40`}},
		"burst below an inherited rate": {workspaceDocument("rate: 1000/s", "burst: 50", "workspaces:", "  desk: {burst: 10}", "  hall: {burst: 40}"), []string{
			`6:21: workspaces.clerks.workspaces.desk.burst: the burst of 10 is below`,
		}},
		"burst of zero":       {workspaceDocument("burst: 0"), []string{`3:12: workspaces.clerks.burst: "0" is too small`}},
		"burst of a fraction": {workspaceDocument("burst: 1.5"), []string{`3:12: workspaces.clerks.burst: "1.5" is not a whole number`}},
		"burst with a unit":   {workspaceDocument("burst: 10/s"), []string{`3:12: workspaces.clerks.burst: "10/s" is not a whole number; allowed is a whole number without a unit`}},
		"huge burst":          {workspaceDocument("burst: 99999999999999999999"), []string{`3:12: workspaces.clerks.burst:`}},
		"budget without unit": {workspaceDocument("budget: 4096"), []string{`3:13: workspaces.clerks.budget: "4096" has no unit`}},
		"budget of wrong unit": {workspaceDocument("budget: 4k token"), []string{
			`3:13: workspaces.clerks.budget: "4k token" has the unknown unit "k token"`,
		}},
		"weight with an exponent":       {workspaceDocument("weight: 1e9"), []string{`3:13: workspaces.clerks.weight: "1e9" is not a number`}},
		"unknown priority":              {workspaceDocument("priority: urgnt"), []string{`3:15: workspaces.clerks.priority: "urgnt" is no choice, did you mean "urgent"?; allowed is routine or urgent`}},
		"lease without unit":            {workspaceDocument("program-lease: 10"), []string{`3:20: workspaces.clerks.program-lease: "10" has no unit`}},
		"lease of wrong unit":           {workspaceDocument("program-lease: 2d"), []string{`3:20: workspaces.clerks.program-lease: "2d" is not a duration; allowed is a duration with its unit`}},
		"lease out of range":            {workspaceDocument("program-lease: 1000h"), []string{`3:20: workspaces.clerks.program-lease: "1000h" is too large`}},
		"flag of a text":                {serviceDocument("kind: plain", "idempotent: yes"), []string{`4:17: services.drafting.idempotent: "yes" is a text; allowed is true or false`}},
		"name with spaces and capitals": {"workspaces:\n  Front Desk:\n", []string{`2:3: workspaces.Front Desk: "Front Desk" is not allowed; allowed is a name`}},
		"model of a number":             {serviceDocument("model: 7"), []string{`3:12: services.drafting.model: 7 is a number`}},
		"entries of a list":             {"workspaces: [a]\n", []string{`1:13: workspaces: there is a list; allowed is a mapping`}},
		"entry of a text":               {"workspaces:\n  clerks: many\n", []string{`2:11: workspaces.clerks: there is a single value; allowed is a mapping`}},
		"duplicate key":                 {workspaceDocument("burst: 3", "burst: 2"), []string{`4:5: workspaces.clerks.burst: the key is set twice, first at line 3`}},
		"duplicate top key":             {"workspaces: {}\nworkspaces: {}\n", []string{`2:1: workspaces: the key is set twice, first at line 1`}},
		"duplicate name":                {"workspaces:\n  a:\n    workspaces:\n      b:\n  b:\n", []string{`5:3: workspaces.b: the name is used twice, first at line 4; allowed is once in all workspaces`}},
		"service that is absent":        {workspaceDocument("services: [draftin]") + serviceDocument("kind: engine", "model: m", oneUpstream), []string{`3:16: workspaces.clerks.services: there is no service "draftin", did you mean "drafting"?`}},
		"service listed twice":          {workspaceDocument("services: [drafting, drafting]") + serviceDocument("kind: engine", "model: m", oneUpstream), []string{`3:26: workspaces.clerks.services: "drafting" is listed twice, first at line 3`}},
		"service without upstreams": {workspaceDocument("services: [drafting]") + serviceDocument("kind: engine", "services:", "  child: {model: m, "+oneUpstream+"}"), []string{
			`3:16: workspaces.clerks.services: the service "drafting" has no upstreams; allowed are services with upstreams, such as child`,
		}},
		"parent that is absent":             {workspaceDocument("parent: nobody"), []string{`3:13: workspaces.clerks.parent: there is no "nobody"; allowed is a name of workspaces`}},
		"references inside a cycle":         {"workspaces:\n  a: {parent: a, services: [none]}\n", []string{`2:15: workspaces.a.parent: the parents form a cycle`, `2:29: workspaces.a.services: there is no service "none"`}},
		"references under a duplicate name": {"workspaces:\n  a: {workspaces: {b: {}}}\n  b: {services: [none]}\n", []string{`3:3: workspaces.b: the name is used twice`, `3:18: workspaces.b.services: there is no service "none"`}},
		"own parent":                        {workspaceDocument("parent: clerks"), []string{`3:13: workspaces.clerks.parent: the parents form a cycle: clerks -> clerks`}},
		"cycle": {"services:\n  a: {parent: b}\n  b: {parent: c}\n  c: {parent: a}\n  d: {parent: a}\n", []string{
			`2:15: services.a.parent: the parents form a cycle: a -> b -> c -> a`,
		}},
		"cycle through nesting":          {"workspaces:\n  a:\n    parent: c\n    workspaces:\n      b:\n        workspaces:\n          c:\n", []string{`3:13: workspaces.a.parent: the parents form a cycle: a -> c -> b -> a`}},
		"parent of a nested one":         {"workspaces:\n  a:\n    workspaces:\n      b: {parent: a}\n", []string{`4:19: workspaces.a.workspaces.b.parent: b is nested in a already`}},
		"upstream name twice":            {serviceDocument("kind: engine", "model: m", "upstreams:", `- {name: a, address: "192.0.2.1:80", failure-domain: d}`, `- {name: a, address: "192.0.2.2:80", failure-domain: d}`), []string{`7:14: services.drafting.upstreams[1].name: the name "a" is used twice, first at line 6`}},
		"upstream address twice":         {serviceDocument("kind: engine", "model: m", "upstreams:", `- {name: a, address: "192.0.2.1:80", failure-domain: d}`, `- {name: b, address: "[::ffff:192.0.2.1]:80", failure-domain: d}`), []string{`7:26: services.drafting.upstreams[1].address: the address "[::ffff:192.0.2.1]:80" is used twice, first at line 6`}},
		"upstream of a name":             {serviceDocument("kind: plain", "upstreams: [{name: a, address: \"engine-1:80\", failure-domain: d}]"), []string{`4:36: services.drafting.upstreams[0].address: "engine-1:80" is not an IP number and port`}},
		"upstream without a port":        {serviceDocument("kind: plain", "upstreams: [{name: a, address: 192.0.2.1, failure-domain: d}]"), []string{`4:36: services.drafting.upstreams[0].address: "192.0.2.1" is not an IP number and port`}},
		"upstream of port 0":             {serviceDocument("kind: plain", `upstreams: [{name: a, address: "192.0.2.1:0", failure-domain: d}]`), []string{`4:36: services.drafting.upstreams[0].address: "192.0.2.1:0" has the port 0`}},
		"upstream of any address":        {serviceDocument("kind: plain", `upstreams: [{name: a, address: "0.0.0.0:80", failure-domain: d}]`), []string{`4:36: services.drafting.upstreams[0].address: "0.0.0.0:80" is no address that others can reach`}},
		"upstream without keys":          {serviceDocument("kind: plain", "upstreams: [{name: a}]"), []string{`4:17: services.drafting.upstreams[0].address: the key is missing`, `4:17: services.drafting.upstreams[0].failure-domain: the key is missing`}},
		"upstream of a text":             {serviceDocument("kind: plain", "upstreams: [a]"), []string{`4:17: services.drafting.upstreams[0]: there is a single value; allowed is a mapping with the keys name, address`}},
		"upstreams of a mapping":         {serviceDocument("kind: plain", "upstreams: {a: b}"), []string{`4:16: services.drafting.upstreams: there is a mapping; allowed is a list of upstreams`}},
		"unknown kind":                   {serviceDocument("kind: engin", oneUpstream), []string{`3:11: services.drafting.kind: "engin" is no choice, did you mean "engine"?`}},
		"unknown model":                  {serviceDocument("kind: engine", "model: []", oneUpstream), []string{`4:12: services.drafting.model: there is a list`}},
		"no kind":                        {serviceDocument("model: m", oneUpstream), []string{`4:5: services.drafting.kind: a service with upstreams has no kind; allowed is engine or plain`}},
		"engine without model":           {serviceDocument("kind: engine", oneUpstream), []string{`4:5: services.drafting.model: engines have no model`}},
		"plain with model":               {serviceDocument("kind: plain", "model: m", oneUpstream), []string{`4:12: services.drafting.model: the key does not apply to a service of kind plain; allowed is kind engine`}},
		"idempotent engine":              {serviceDocument("kind: engine", "model: m", "idempotent: true", oneUpstream), []string{`5:17: services.drafting.idempotent: the key does not apply to a service of kind engine`}},
		"progress-timeout above timeout": {serviceDocument("kind: engine", "timeout: 2s", "progress-timeout: 3s"), []string{`5:23: services.drafting.progress-timeout: the progress-timeout 3s is above the timeout 2s of drafting`}},
		"timeout below inherited progress-timeout": {serviceDocument("kind: engine", "progress-timeout: 3s", "services:", "  child:", "    timeout: 2s"), []string{
			`7:18: services.drafting.services.child.timeout: the progress-timeout 3s is above the timeout 2s of child`,
		}},
		"budget below max-tokens": {workspaceDocument("budget: 500 tokens", "services: [drafting]") + serviceDocument("kind: engine", "model: m", oneUpstream), []string{
			`3:13: workspaces.clerks.budget: the budget of 500 tokens is below max-tokens of service drafting, 1024 tokens`,
		}},
		"invalid and duplicate routes": {"open-routes: [healthz, /healthz, /healthz]\n", []string{`1:15: open-routes: "healthz" is not allowed`, `1:34: open-routes: "/healthz" is listed twice`}},
		"empty":                        {"", []string{`1:1: document: it is empty`}},
		"comments":                     {"# nothing\n", []string{`1:1: document: it is empty`}},
		"null":                         {"~\n", []string{`1:1: document: it is empty`}},
		"list document":                {"- a\n", []string{`1:1: document: there is a list; allowed is a mapping`}},
		"scalar document":              {"hello\n", []string{`1:1: document: there is a single value`}},
		"two documents":                {"workspaces: {}\n---\nservices: {}\n", []string{`2:1: document: another YAML document starts here`}},
		"tab":                          {"workspaces:\n\tclerks:\n", []string{`2:1: document: a tab indents the line`}},
		"two tabs":                     {"workspaces:\n  \ta:\n\tb:\n", []string{`2:3: document: a tab`, `3:1: document: a tab`}},
		"not UTF-8":                    {"workspaces:\n  cl\xffrks: {}\n", []string{`2:5: document: the byte 0xff is not UTF-8`}},
		"NUL":                          {"workspaces:\x00\n", []string{`1:12: document: there is the control character U+0000`}},
		"open brace":                   {"workspaces: {a: {}\nservices: {}\n", []string{`2:1: document: it is not YAML`}},
		"open quote":                   {"workspaces:\n  a: \"b\n", []string{`2:6: document: it is not YAML: could not find end character of double-quoted text`}},
		"indentation":                  {"workspaces:\n  a:\n    burst: 2\n   rate: 1/s\n", []string{`4:`}},
		"findings above a syntax error": {"workspaces:\n  a: {rate: 5, services: [later]}\nservices:\n  b:\n    upstreams:\n      - name: u\n        address: \"10\n  later: {}\n", []string{
			`2:13: workspaces.a.rate: "5" has no unit`, `7:18: document: it is not YAML`,
		}},
		"deep braces": {"a: " + strings.Repeat("[", 1000), []string{`1:36: document: it is not YAML: braces nest too deep`}},
		"long line":   {"a: " + strings.Repeat("- ", 5000), []string{`1:4097: document: the line has 10003 bytes`}},
		"too large":   {strings.Repeat("# comment\n", 400_000), []string{`1:1: document: it has 4000000 bytes; allowed are up to 3145728`}},
		"anchor and alias": {"workspaces:\n  a: &a {burst: 2}\n  b: *a\n  c:\n    <<: *a\n", []string{
			`2:6: workspaces.a: anchors are not supported`, `3:6: workspaces.b: aliases are not supported`, `5:5: workspaces.c.<<: merge keys are not supported`,
		}},
		"alias to itself": {"workspaces: &a\n  b: *a\n", []string{`1:13: workspaces: anchors are not supported`, `2:6: workspaces.b: aliases are not supported`}},
		"tag":             {workspaceDocument("burst: !!int 5"), []string{`3:12: workspaces.clerks.burst: tags are not supported`}},
		"findings are sorted by position": {"workspaces:\n  a: {rate: 1, burst: x, services: [none]}\nservices:\n  b: {knd: plain, timeout: 1}\nfoo: 1\n", []string{
			`2:13: workspaces.a.rate`, `2:23: workspaces.a.burst`, `2:37: workspaces.a.services`,
			`4:7: services.b.knd`, `4:28: services.b.timeout`, `5:1: foo`,
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			fleet, findings := Parse("fleet.yaml", []byte(tt.source))
			require.Nil(t, fleet)
			require.Len(t, findings, len(tt.want), "%v", findings)
			for i, want := range tt.want {
				require.Contains(t, findings[i].String(), "fleet.yaml:"+want)
			}
		})
	}
}

func TestParseRejectsTooManyInheritanceLevels(t *testing.T) {
	var nested, flat strings.Builder
	nested.WriteString("workspaces:\n")
	flat.WriteString("workspaces:\n  w0: {}\n")
	for i := range 20 {
		fmt.Fprintf(&nested, "%[1]sw%[2]d:\n%[1]s  workspaces:\n", strings.Repeat(" ", 2+4*i), i)
		fmt.Fprintf(&flat, "  w%d: {parent: w%d}\n", i+1, i)
	}
	fmt.Fprintf(&nested, "%sw20:\n", strings.Repeat(" ", 82))
	_, findings := Parse("nested.yaml", []byte(nested.String()))
	require.Len(t, findings, 1)
	require.Contains(t, findings[0].Problem, "nests too deep; allowed are 16 levels")
	_, findings = Parse("flat.yaml", []byte(flat.String()))
	require.NotEmpty(t, findings)
	require.Contains(t, findings[0].Problem, "too many ancestors")
}

func TestParseLimitsTheNumberOfFindings(t *testing.T) {
	source := []byte("workspaces:\n" + strings.Repeat("  A: {x: 1}\n", 3*maxFindings))
	_, findings := Parse("fleet.yaml", source)
	require.Len(t, findings, maxFindings+1)
	require.Contains(t, findings[maxFindings].Problem, "more findings")
}

func TestDefaultsAndLimitsOfKeysAreValid(t *testing.T) {
	for _, scope := range Scopes() {
		for _, spec := range scope.Keys {
			require.NotEmpty(t, spec.Doc, spec.Name)
			for _, text := range []string{spec.Default, spec.Min, spec.Max} {
				if text == "" || spec.Type == TypeRoutes {
					continue
				}
				_, problem := spec.parseScalar(text)
				require.Empty(t, problem, "%s.%s", scope.Name, spec.Name)
			}
		}
	}
}

// largeDocument returns a document with the given numbers of workspaces and upstreams, up to those of the largest fleet.
func largeDocument(workspaces, upstreams int) []byte {
	var b bytes.Buffer
	b.WriteString("workspaces:\n  tenants:\n    services: [drafting]\n    workspaces:\n")
	for i := range workspaces {
		fmt.Fprintf(&b, "      workspace-%d:\n        rate: %d/s\n        budget: 400k tokens\n", i, i%50+1)
	}
	b.WriteString("services:\n  drafting:\n    kind: engine\n    model: m\n    upstreams:\n")
	for i := range upstreams {
		fmt.Fprintf(&b, "      - {name: u-%d, address: \"10.%d.%d.1:80\", failure-domain: d-%d}\n", i, i/250, i%250, i%16)
	}

	return b.Bytes()
}

func TestParseAcceptsLargestDocument(t *testing.T) {
	source := largeDocument(8500, 10_000)
	require.Less(t, len(source), MaxDocumentBytes)
	fleet, findings := Parse("fleet.yaml", source)
	require.Empty(t, findings)
	require.Len(t, fleet.Workspaces, 8501)
}

func BenchmarkParse(b *testing.B) {
	for _, scale := range []int{1, 4, 10} {
		source := largeDocument(850*scale, 1000*scale)
		b.Run(fmt.Sprintf("workspaces=%d", 850*scale), func(b *testing.B) {
			b.SetBytes(int64(len(source)))
			for b.Loop() {
				if _, findings := Parse("fleet.yaml", source); len(findings) > 0 {
					b.Fatal(findings[0])
				}
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validDocument))
	for _, seed := range []string{
		"", "~", "- a", "a: &a [*a]\n", "a: {<<: *b}\n", "workspaces: {a: {parent: a}}\n", "? [a]\n: b\n", "a: |\n  b\n",
		"a: !!binary x\n", "%YAML 1.2\n---\n", "services:\n  a:\n    upstreams: [{}, [], ~, 1]\n", "workspaces:\n  ? a\n", "a:\n\t b",
		"\"\\x00\": 1\n", "services: {a: {timeout: 1h, progress-timeout: 9s, max-tokens: 1 tokens}}\n", "a: 'b\n", "...\n", "---\n...\n---\n",
		"workspaces:\n  a: {services: [1, ~, {b: c}, [d]]}\n", ": :\n", "{", "[", "}", "&", "*", "!", "a: >-\n", "<<: {a: b}\n",
	} {
		f.Add([]byte(seed))
	}
	if sample, err := os.ReadFile("../../command/demo/sample.yaml"); err == nil {
		f.Add(sample)
	}
	f.Fuzz(func(t *testing.T, source []byte) {
		tree, findings := ParseTree("fuzz.yaml", source)
		require.Equal(t, tree == nil, len(findings) > 0)
		lines := bytes.Count(source, []byte("\n")) + 1
		for i, finding := range findings {
			require.True(t, finding.Line >= 1 && finding.Line <= lines && finding.Column >= 1, finding.String())
			require.NotEmpty(t, finding.Key)
			if i > 0 {
				require.LessOrEqual(t, findings[i-1].Line, finding.Line)
			}
		}
		if tree != nil {
			tree.EffectiveValues("")
		}
	})
}
