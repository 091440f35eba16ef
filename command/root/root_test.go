package root

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"cardamomward/command/cmdutil"
	"cardamomward/core/apierror"
	"cardamomward/core/prompt"
	"cardamomward/io/caller"
	"cardamomward/io/operatorapi"
	"cardamomward/io/platformclient"
	"cardamomward/io/reverseproxy"
)

const settingsDocument = `workspaces:
  clerks:
    rate: 50/s
    services: [drafting, bookings]
    workspaces:
      desk:
        rate: 5/s
        priority: urgent
services:
  drafting:
    kind: engine
    model: manual-7b
    upstreams:
      - {name: draft-1, address: "192.0.2.1:80", failure-domain: domain-a}
      - {name: draft-2, address: "192.0.2.2:80", failure-domain: domain-b, leaving: true}
  bookings:
    kind: plain
    timeout: 2s
    upstreams:
      - {name: book-1, address: "192.0.2.3:80", failure-domain: domain-a}
`

var sampleProgram = caller.Program{
	ID: "p1", Workspace: "clerks", Name: "manual", State: "open", TurnCount: 1, BudgetTokens: 100_000, UsedTokens: 42, Host: "host-1",
	History: []caller.TurnRecord{{
		Turn: 1, Input: []prompt.Message{{Role: "user", Content: "Draft."}}, Answer: prompt.Message{Role: "assistant", Content: "Done."},
		PromptTokens: 8, CompletionTokens: 4, FinishReason: "stop",
	}},
}

// startFakeHost starts an operator API with fixed responses and returns its address.
func startFakeHost(t *testing.T) string {
	t.Helper()
	mux := http.NewServeMux()
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	address := server.Listener.Addr().String()
	reply := func(pattern string, body any) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, _ *http.Request) {
			var apiErr *apierror.Error
			if e, ok := body.(*apierror.Error); ok {
				apiErr = e
				w.WriteHeader(apiErr.HTTPStatus())
				body = apiErr.Body()
			}
			json.NewEncoder(w).Encode(body) //nolint:errcheck // the test detects a truncated response
		})
	}
	reply("GET /v1/settings", operatorapi.SettingsDocument{Version: 65536, Author: "ada", Document: settingsDocument})
	reply("POST /v1/settings", apierror.New(apierror.SettingsConflict, "the settings have changed: base your change on version 65536, not 0"))
	reply("GET /v1/settings/history", operatorapi.SettingsHistory{Versions: []operatorapi.SettingsVersion{{Version: 65536, Author: "ada", DocumentBytes: 10}}})
	reply("GET /v1/keys", operatorapi.APIKeyList{Keys: []operatorapi.APIKey{{Key: "k1", Workspace: "clerks"}, {Key: "k2", Workspace: "desk", Withdrawn: true}}})
	reply("POST /v1/keys", operatorapi.IssueKeyResponse{Key: "k1", BearerToken: "cwk_k1_secret"})
	reply("DELETE /v1/keys/k1", operatorapi.APIKey{Key: "k1", Withdrawn: true})
	reply("DELETE /v1/keys/k9", apierror.New(apierror.NotFound, `there is no key "k9"; see key list`))
	reply("GET /v1/programs", operatorapi.ProgramList{Programs: []caller.Program{sampleProgram}})
	reply("GET /v1/programs/p1", sampleProgram)
	reply("POST /v1/programs/p1/end", caller.Program{ID: "p1", State: "ended", EndReason: "operator", Host: "host-1"})
	reply("GET /v1/status", operatorapi.ClusterStatus{SettingsVersion: 65536, Hosts: []operatorapi.HostStatus{
		{Host: "host-1", FailureDomain: "domain-a", CallerAddress: "127.0.0.1:7001", OperatorAddress: address, Live: true, SettingsVersion: 65536, OwnedSlots: 2048},
		{Host: "host-2", FailureDomain: "domain-b", CallerAddress: "127.0.0.1:7011", OperatorAddress: "127.0.0.1:7012", Live: true, Leaving: true},
		{Host: "host-3", FailureDomain: "domain-c", CallerAddress: "127.0.0.1:7021", OperatorAddress: "127.0.0.1:7022", SettingsVersion: 65536},
	}})
	reply("GET /v1/dump", operatorapi.HostDump{
		Host: "host-1", FailureDomain: "domain-a", Now: time.Unix(0, 0).UTC(),
		QueuedCalls: []operatorapi.QueuedCalls{{Service: "drafting", Calls: 3}},
		Programs:    []caller.Program{{ID: "p1", Workspace: "clerks"}, {ID: "p1.s1", Workspace: "clerks"}, {ID: "p2", Workspace: "desk"}},
		Journals:    []platformclient.JournalStatus{},
	})
	reply("POST /v1/drain", struct{}{})
	mux.HandleFunc("POST /explain", replyExplanation)

	return address
}

// replyExplanation responds as the operator endpoint of a gateway host whose token is "s3cret" and which has the route "draft".
func replyExplanation(w http.ResponseWriter, r *http.Request) {
	var query reverseproxy.PlacementQuery
	refuse := func(kind apierror.Kind, text string) {
		apiErr := apierror.New(kind, "%s", text)
		w.WriteHeader(apiErr.HTTPStatus())
		json.NewEncoder(w).Encode(apiErr.Body()) //nolint:errcheck // the test detects a truncated response
	}
	latencyAge := 1200.0
	explanation := reverseproxy.PlacementExplanation{
		GatewayHost: "host-1", Route: "draft", Service: "engines", StoreAgeMS: 250,
		Candidates: []reverseproxy.PlacementCandidate{
			{Upstream: "engine-1", FailureDomain: "zone-a", Version: "v2", CostMS: 118.5, PrefillMS: 50.5, DecodeMS: 60, QueueingMS: 8, RunningRequests: 3, UnitLatencyMS: 1.3, LatencyAgeMS: &latencyAge, CachesSharedPrefix: true},
			{Upstream: "engine-0", FailureDomain: "zone-b", Version: "v2", CostMS: 420, PrefillMS: 50, DecodeMS: 60, FailuresMS: 150, AdmissionDelayMS: 160, UnitLatencyMS: 1.2},
		},
		Excluded: []reverseproxy.ExcludedUpstream{{Upstream: "engine-2", Reason: reverseproxy.ExcludedDraining}, {Upstream: "engine-3", Reason: reverseproxy.ExcludedVersion}},
		Chosen:   "engine-1",
	}
	switch err := json.NewDecoder(r.Body).Decode(&query); {
	case r.Header.Get("Authorization") != "Bearer s3cret":
		refuse(apierror.Unauthenticated, "the operator token is missing or wrong")
	case err != nil || (query.Route != "draft" && query.Path != "/draft/x"):
		refuse(apierror.NotFound, "no route matches the request")
	case query.StreamVersion != "":
		explanation.Chosen, explanation.Candidates = "", []reverseproxy.PlacementCandidate{}
		fallthrough
	default:
		json.NewEncoder(w).Encode(explanation) //nolint:errcheck // the test detects a truncated response
	}
}

// commandTests are command lines with their expected exit code; HOST is replaced by the fake host's operator address.
var commandTests = []struct {
	name string
	args string
	code cmdutil.ExitCode
}{
	{"settings-show", "settings show --operator HOST --path desk", cmdutil.ExitOK},
	{"settings-show-json", "settings show --operator HOST --path desk.rate --json", cmdutil.ExitOK},
	{"settings-show-file", "settings show --file fleet.yaml --path services.drafting.timeout", cmdutil.ExitOK},
	{"settings-show-document", "settings show --operator HOST --document", cmdutil.ExitOK},
	{"settings-show-nothing", "settings show --operator HOST --path nobody", cmdutil.ExitNotFound},
	{"settings-show-without-source", "settings show", cmdutil.ExitUsage},
	{"settings-history", "settings history --operator HOST", cmdutil.ExitOK},
	{"settings-history-json", "settings history --operator HOST --json", cmdutil.ExitOK},
	{"settings-check", "settings check fleet.yaml", cmdutil.ExitOK},
	{"settings-check-findings", "settings check fleet.yaml broken.yaml", cmdutil.ExitUsage},
	{"settings-check-findings-json", "settings check --json broken.yaml", cmdutil.ExitUsage},
	{"settings-check-host", "settings check --host host.yaml", cmdutil.ExitUsage},
	{"settings-check-absent", "settings check absent.yaml", cmdutil.ExitUsage},
	{"settings-publish-findings", "settings publish --operator HOST broken.yaml", cmdutil.ExitUsage},
	{"settings-publish-conflict", "settings publish --operator HOST --base 0 fleet.yaml", cmdutil.ExitConflict},
	{"serve-findings", "serve --settings host.yaml", cmdutil.ExitUsage},
	{"workspace-list", "workspace list --operator HOST", cmdutil.ExitOK},
	{"workspace-list-json", "workspace list --operator HOST --json", cmdutil.ExitOK},
	{"service-list", "service list --operator HOST", cmdutil.ExitOK},
	{"service-list-upstreams", "service list --operator HOST --upstreams", cmdutil.ExitOK},
	{"service-list-json", "service list --operator HOST --json", cmdutil.ExitOK},
	{"key-issue", "key issue --operator HOST --workspace clerks", cmdutil.ExitOK},
	{"key-issue-json", "key issue --operator HOST --workspace clerks --json", cmdutil.ExitOK},
	{"key-list", "key list --operator HOST", cmdutil.ExitOK},
	{"key-list-json", "key list --operator HOST --workspace desk --json", cmdutil.ExitOK},
	{"key-withdraw", "key withdraw --operator HOST k1", cmdutil.ExitOK},
	{"key-withdraw-json", "key withdraw --operator HOST --json k1", cmdutil.ExitOK},
	{"key-withdraw-absent", "key withdraw --operator HOST k9", cmdutil.ExitNotFound},
	{"key-withdraw-nothing", "key withdraw --operator HOST", cmdutil.ExitUsage},
	{"program-list", "program list --operator HOST", cmdutil.ExitOK},
	{"program-show", "program show --operator HOST --history p1", cmdutil.ExitOK},
	{"program-show-json", "program show --operator HOST --json p1", cmdutil.ExitOK},
	{"program-end", "program end --operator HOST p1", cmdutil.ExitOK},
	{"program-end-nothing", "program end --operator HOST", cmdutil.ExitUsage},
	{"host-list", "host list --operator HOST", cmdutil.ExitOK},
	{"host-drain", "host drain --operator HOST host-1", cmdutil.ExitOK},
	{"host-drain-json", "host drain --operator HOST --json host-1", cmdutil.ExitOK},
	{"host-drain-absent", "host drain --operator HOST host-9", cmdutil.ExitNotFound},
	{"status", "status --operator HOST", cmdutil.ExitOK},
	{"dump-by-name", "dump --operator HOST --filter waiting host-1", cmdutil.ExitOK},
	{"dump-program", "dump --filter program=p1 HOST", cmdutil.ExitOK},
	{"dump-workspace-json", "dump --filter workspace=desk --json HOST", cmdutil.ExitOK},
	{"dump-no-section", "dump --filter nonsense HOST", cmdutil.ExitUsage},
	{"dump-bad-filter", "dump --filter host=1 HOST", cmdutil.ExitUsage},
	{"dump-nothing", "dump", cmdutil.ExitUsage},
	{"gateway-explain", "gateway explain --gateway HOST --token-file token --host agents.example --path /draft/x --prompt-part aa:12600", cmdutil.ExitOK},
	{"gateway-explain-json", "gateway explain --gateway HOST --token-file token --route draft --json", cmdutil.ExitOK},
	{"gateway-explain-none", "gateway explain --gateway HOST --token-file token --route draft --stream-version v1", cmdutil.ExitOK},
	{"gateway-explain-no-route", "gateway explain --gateway HOST --token-file token --route none", cmdutil.ExitNotFound},
	{"gateway-explain-wrong-token", "gateway explain --gateway HOST --token-file wrong-token --route draft", cmdutil.ExitFailure},
	{"gateway-explain-no-token", "gateway explain --gateway HOST --token-file empty-token --route draft", cmdutil.ExitUsage},
	{"gateway-explain-nothing", "gateway explain --gateway HOST --token-file token", cmdutil.ExitUsage},
	{"gateway-explain-bad-part", "gateway explain --gateway HOST --token-file token --route draft --prompt-part aa", cmdutil.ExitUsage},
	{"gateway-explain-bad-address", "gateway explain --gateway host-1 --token-file token --route draft", cmdutil.ExitUsage},
	{"gateway-explain-unreachable", "gateway explain --gateway 127.0.0.1:1 --token-file token --route draft", cmdutil.ExitUnreachable},
	{"unreachable", "status --operator 127.0.0.1:1", cmdutil.ExitUnreachable},
	{"no-operator", "status", cmdutil.ExitUsage},
	{"bad-operator", "status --operator localhost:7002", cmdutil.ExitUsage},
	{"no-command", "settings chek", cmdutil.ExitUsage},
	{"no-flag", "status --oprator HOST", cmdutil.ExitUsage},
	{"help", "--help", cmdutil.ExitOK},
	{"help-dump", "dump --help", cmdutil.ExitOK},
}

// readableFiles are the files that commands can read, by name.
var readableFiles = map[string]string{
	"fleet.yaml":  settingsDocument,
	"broken.yaml": "workspaces:\n  clerks: {rate: 5, services: [none]}\n  desk: {parent: clerk}\n",
	"token":       "s3cret\n",
	"wrong-token": "other\n",
	"empty-token": "\n",
	"host.yaml":   "host: host-1\ncaller-address: localhost:1\n",
}

func readFile(name string) ([]byte, error) {
	if text, ok := readableFiles[name]; ok {
		return []byte(text), nil
	}

	return nil, os.ErrNotExist
}

// sectionListPattern matches the list of a dump's sections, which is left out of the golden files because it changes with
// each new section.
var sectionListPattern = regexp.MustCompile("its sections are .*")

// runCommandLine returns the output and the error output of a command line, and its exit code.
func runCommandLine(address, args string) (string, cmdutil.ExitCode) {
	var out, errOut bytes.Buffer
	f := cmdutil.NewFactory()
	f.IOStreams = cmdutil.IOStreams{In: strings.NewReader(""), Out: &out, Err: &errOut}
	f.ReadFile = readFile
	code := Main(f, append([]string{"cardamomward"}, strings.Fields(strings.ReplaceAll(args, "HOST", address))...))
	text := out.String()
	if errOut.Len() > 0 {
		text += "-- errors --\n" + errOut.String()
	}

	text = sectionListPattern.ReplaceAllString(text, "its sections are ...")

	return strings.ReplaceAll(text, address, "HOST"), cmdutil.ExitCode(code)
}

func TestCommands(t *testing.T) {
	t.Setenv(cmdutil.OperatorAddressEnvVar, "")
	address := startFakeHost(t)
	golden := goldie.New(t)
	for _, tt := range commandTests {
		t.Run(tt.name, func(t *testing.T) {
			out, code := runCommandLine(address, tt.args)
			require.Equal(t, tt.code, code, out)
			golden.Assert(t, tt.name, []byte(out))
		})
	}
}

func TestOperatorAddressFromEnvironment(t *testing.T) {
	address := startFakeHost(t)
	t.Setenv(cmdutil.OperatorAddressEnvVar, address)
	out, code := runCommandLine(address, "key list")
	require.Equal(t, cmdutil.ExitOK, code, out)
	t.Setenv(cmdutil.OperatorAddressEnvVar, "host-1")
	out, code = runCommandLine(address, "key list")
	require.Equal(t, cmdutil.ExitUsage, code, out)
	require.Contains(t, out, `"host-1", which is not an IP number and port`)
}

// TestOperatorPagesMatchCommands compares the generated pages for operators with the commands and settings; go test
// -update rewrites the pages.
func TestOperatorPagesMatchCommands(t *testing.T) {
	pages := goldie.New(t, goldie.WithFixtureDir("../../docs/operations"), goldie.WithNameSuffix(".md"))
	schema, code := runCommandLine("HOST", "settings schema")
	require.Equal(t, cmdutil.ExitOK, code)
	pages.Assert(t, "settings", []byte(schema))
	var commands bytes.Buffer
	require.NoError(t, WriteCommandReference(&commands, NewCmdRoot(cmdutil.NewFactory())))
	pages.Assert(t, "commands", commands.Bytes())
}
