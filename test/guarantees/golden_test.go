package guarantees_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"cardamomward/core/apierror"
	"cardamomward/core/id"
	"cardamomward/standin/engine"
)

// transcript records requests and responses for comparison with a golden file.
type transcript struct {
	t            *testing.T
	cluster      *testCluster
	out          strings.Builder
	apiKey       string
	placeholders map[string]string
}

// volatilePatterns match parts of responses that differ from run to run, such as ids, addresses and times.
var volatilePatterns = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`chatcmpl-[0-9a-f]{20}`), "chatcmpl-ID"},
	{regexp.MustCompile(`"created":\d+`), `"created":0`},
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "ADDRESS"},
	{regexp.MustCompile(`host-\d`), "HOST"},
	{regexp.MustCompile(`draft-\d`), "UPSTREAM"},
	{regexp.MustCompile(`"request_id":"[0-9a-f]{20}"`), `"request_id":"ID"`},
	{regexp.MustCompile(`[0-9a-f]{32}`), "UPSTREAM-KEY"},
	{regexp.MustCompile(`retry-after-ms":\d+`), `retry-after-ms":0`},
}

func (s *transcript) maskVolatile(text string) string {
	// Longest first: a sub-agent's id starts with its parent's id.
	for _, name := range slices.SortedFunc(maps.Keys(s.placeholders), func(a, b string) int { return len(b) - len(a) }) {
		text = strings.ReplaceAll(text, name, s.placeholders[name])
	}
	for _, c := range volatilePatterns {
		text = c.pattern.ReplaceAllString(text, c.replacement)
	}

	return text
}

// recordedHeaders are the response headers that belong to the API.
var recordedHeaders = []string{
	"Content-Type", "Cardamomward-Program", "Cardamomward-Turn", "Cardamomward-Host", "Cardamomward-Upstream",
	"Cardamomward-Budget-Left", "Cardamomward-Replayed", "Retry-After",
}

// sendAndRecord sends a request to the first host, records request and response, and returns the response body.
func (s *transcript) sendAndRecord(method, path, body string, header map[string]string) []byte {
	s.t.Helper()
	req, err := http.NewRequestWithContext(s.t.Context(), method, "http://"+s.cluster.Hosts[0].HostEntry().CallerAddress+path, strings.NewReader(body))
	require.NoError(s.t, err)
	fmt.Fprintf(&s.out, "> %s %s\n", method, path)
	for _, name := range slices.Sorted(maps.Keys(header)) {
		fmt.Fprintf(&s.out, "> %s: %s\n", name, header[name])
		req.Header.Set(name, header[name])
	}
	if s.apiKey != "" {
		req.Header.Set("Authorization", "Bearer "+s.apiKey)
	}
	if body != "" {
		fmt.Fprintf(&s.out, "> %.200s\n", body)
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(s.t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	require.NoError(s.t, err)
	fmt.Fprintf(&s.out, "< %d\n", resp.StatusCode)
	for _, name := range recordedHeaders {
		if value := resp.Header.Get(name); value != "" {
			fmt.Fprintf(&s.out, "< %s: %s\n", name, value)
		}
	}
	for line := range strings.Lines(string(data)) {
		if strings.TrimSpace(line) != "" {
			fmt.Fprintf(&s.out, "< %s\n", strings.TrimSpace(line))
		}
	}
	s.out.WriteString("\n")

	return data
}

// maskProgramID sets the placeholder of the program id in a response and returns the id.
func (s *transcript) maskProgramID(data []byte, name string) string {
	s.t.Helper()
	var program struct {
		Program string `json:"program"`
	}
	require.NoError(s.t, json.Unmarshal(data, &program))
	require.NotEmpty(s.t, program.Program)
	s.placeholders[program.Program] = name

	return program.Program
}

func newTranscript(t *testing.T, tc *testCluster, workspace id.Workspace) *transcript {
	t.Helper()
	s := &transcript{t: t, cluster: tc, placeholders: make(map[string]string)}
	s.apiKey = tc.issueKey(workspace).BearerToken

	return s
}

func TestCallerSessionMatchesGoldenTranscript(t *testing.T) {
	tc := startCluster(t, engine.Config{})
	s := newTranscript(t, tc, "clerks")
	s.sendAndRecord("GET", "/v1/models", "", nil)
	program := s.maskProgramID(s.sendAndRecord("POST", "/v1/programs", `{"name": "stand rules", "budget-tokens": 4000}`, nil), "PROGRAM")
	ask := map[string]string{"Cardamomward-Program": program}
	s.sendAndRecord("POST", "/v1/chat/completions",
		`{"model": "manual-7b", "messages": [{"role": "user", "content": "Draft the rules."}]}`, ask)
	s.sendAndRecord("POST", "/v1/chat/completions",
		`{"model": "manual-7b", "stream": true, "messages": [{"role": "user", "content": [{"type": "text", "text": "Shorten them."}]}]}`, ask)
	s.sendAndRecord("POST", "/v1/programs/"+program+"/turns",
		`{"model": "manual-7b", "messages": [{"role": "user", "content": "Shorten them."}]}`, map[string]string{"Cardamomward-Turn": "2"})
	s.sendAndRecord("POST", "/v1/chat/completions",
		`{"model": "manual-7b", "messages": [{"role": "user", "content": "x"}, {"role": "assistant", "content": "y"}]}`, ask)
	call := map[string]string{"Cardamomward-Program": program, "Idempotency-Key": "booking-1"}
	s.sendAndRecord("POST", "/v1/services/bookings/confirm", `{"stand": "B12"}`, call)
	s.sendAndRecord("POST", "/v1/services/bookings/confirm", `{"stand": "B12"}`, call)
	s.sendAndRecord("POST", "/v1/services/bookings/confirm", `{"stand": "C7"}`, call)
	child := s.maskProgramID(s.sendAndRecord("POST", "/v1/programs", `{"parent": "`+program+`"}`, nil), "SUB-AGENT")
	s.sendAndRecord("POST", "/v1/chat/completions",
		`{"model": "manual-7b", "messages": [{"role": "user", "content": "Check chapter 3."}]}`, map[string]string{"Cardamomward-Program": child})
	s.sendAndRecord("GET", "/v1/programs/"+program+"/history", "", nil)
	s.sendAndRecord("POST", "/v1/programs/"+program+"/end", "", nil)
	s.sendAndRecord("POST", "/v1/chat/completions",
		`{"model": "manual-7b", "messages": [{"role": "user", "content": "More."}]}`, ask)
	s.recordUpstreamRequests()
	goldie.New(t).Assert(t, "caller-session", []byte(s.maskVolatile(s.out.String())))
}

// recordUpstreamRequests records the requests that the engines and services received.
func (s *transcript) recordUpstreamRequests() {
	var lines []string
	for _, server := range s.cluster.Engines {
		for _, seen := range server.ReceivedRequests() {
			if strings.HasPrefix(seen.Path, "/v1/chat/") {
				lines = append(lines, fmt.Sprintf("engine %s %s\n  %s\n", seen.Path, headerNames(seen.Headers), seen.Body))
			}
		}
	}
	// The engine that serves a request varies, so requests are sorted by length.
	slices.SortFunc(lines, func(a, b string) int { return len(a) - len(b) })
	for _, server := range s.cluster.Services {
		for _, effect := range server.Effects() {
			lines = append(lines, fmt.Sprintf("service /%s %s\n  %s\n", effect.Path, headerNames(effect.Headers), effect.Body))
		}
	}
	s.out.WriteString("what the upstreams saw\n\n" + strings.Join(lines, ""))
}

func headerNames(headers map[string]string) []string { return slices.Sorted(maps.Keys(headers)) }

func TestRefusedRequestsMatchGoldenTranscript(t *testing.T) {
	tc := startCluster(t, engine.Config{})
	s := newTranscript(t, tc, "clerks")
	bodies := []string{
		"", "{", "[]", `"text"`, `{"model": 7}`, `{"model": "manual-7b"}`,
		`{"model": "manual-7b", "messages": []}`,
		`{"model": "manual-7b", "messages": [{"role": "robot", "content": "x"}]}`,
		`{"model": "manual-7b", "messages": [{"role": "user", "content": [{"type": "image_url"}]}]}`,
		`{"model": "manual-7b", "messages": [{"role": "user", "content": "x"}], "max_tokens": -1}`,
		`{"model": "manual-7b", "messages": [{"role": "user", "content": "x"}], "n": 3}`,
		`{"model": "manual-7b", "messages": [{"role": "user", "content": "x"}], "tools": [{}]}`,
		`{"model": "none", "messages": [{"role": "user", "content": "x"}]}`,
	}
	for _, body := range bodies {
		s.sendAndRecord("POST", "/v1/chat/completions", body, nil)
	}
	ok := `{"model": "manual-7b", "messages": [{"role": "user", "content": "x"}]}`
	s.sendAndRecord("POST", "/v1/chat/completions", ok, map[string]string{"Cardamomward-Timeout": "5"})
	s.sendAndRecord("POST", "/v1/chat/completions", ok, map[string]string{"Cardamomward-Turn": "0"})
	s.sendAndRecord("POST", "/v1/chat/completions", ok, map[string]string{"Cardamomward-Program": "none"})
	s.sendAndRecord("PUT", "/v1/programs", "", nil)
	s.sendAndRecord("GET", "/v1/none", "", nil)
	s.sendAndRecord("POST", "/v1/services/none/x", "x", map[string]string{"Idempotency-Key": "k"})
	s.sendAndRecord("POST", "/v1/services/bookings/x", "x", nil)
	s.sendAndRecord("POST", "/v1/programs", `{"parent": "none"}`, nil)
	s.sendAndRecord("POST", "/v1/programs", strings.Repeat(" ", 5<<20)+"{}", nil)
	s.apiKey = "cwk_none_none"
	s.sendAndRecord("POST", "/v1/programs", "", nil)
	s.apiKey = ""
	s.sendAndRecord("POST", "/v1/programs", "", nil)
	s.sendAndRecord("GET", "/healthz", "", nil)
	goldie.New(t).Assert(t, "refused-requests", []byte(s.maskVolatile(s.out.String())))
}

func TestMalformedRequestsAreRefusedWithoutEffect(t *testing.T) {
	tc := startCluster(t, engine.Config{})
	issued := tc.issueKey("clerks")
	client := tc.clientAt(0, issued.BearerToken)
	key := "Authorization: Bearer " + issued.BearerToken + "\r\n"
	for _, raw := range []string{
		"GARBAGE\r\n\r\n",
		"POST /v1/programs HTTP/1.1\r\nHost: x\r\nContent-Length: nine\r\n\r\n",
		"POST /v1/programs HTTP/1.1\r\nHost: x\r\n" + key + "Content-Length: -1\r\n\r\n",
		"POST /v1/programs HTTP/1.1\r\nHost: x\r\n" + key + "Transfer-Encoding: chunked\r\n\r\nZZ\r\n",
		"POST /v1/programs HTTP/1.1\r\nHost: x\r\n" + key + "Content-Length: 100\r\n\r\n{}",
		"POST /v1/programs HTTP/1.1\r\nHost: x\r\nX-Long: " + strings.Repeat("a", 2<<20) + "\r\n\r\n",
	} {
		requireClientErrorOrClose(t, client.Address, raw)
	}
	require.Empty(t, listProgramIDs(t, tc), "a broken request opened a program")
	_, err := client.ProgramHistory(t.Context(), "none")
	require.Equal(t, apierror.NotFound, errorKind(err))
}

// requireClientErrorOrClose sends raw bytes, half-closes the connection and requires a 4xx response or none.
func requireClientErrorOrClose(t *testing.T, address, raw string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer conn.Close()
	// The host may close the connection before it has read everything.
	_, _ = io.Copy(conn, bytes.NewReader([]byte(raw)))
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	require.GreaterOrEqual(t, resp.StatusCode, 400, "%.60q", raw)
	require.Less(t, resp.StatusCode, 500, "%.60q", raw)
}

func listProgramIDs(t *testing.T, tc *testCluster) []string {
	t.Helper()
	list, err := tc.OperatorClient(0).ListPrograms(t.Context(), "")
	require.NoError(t, err)
	var names []string
	for _, program := range list.Programs {
		names = append(names, string(program.ID))
	}

	return names
}
