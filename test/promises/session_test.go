package promises_test

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

// session writes down what goes over the wire, with what changes from run to run replaced.
type session struct {
	t      *testing.T
	w      *world
	out    strings.Builder
	bearer string
	names  map[string]string
}

// changing are the parts of an answer that differ from run to run and have no name of their own.
var changing = []struct {
	pattern *regexp.Regexp
	with    string
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

func (s *session) stable(text string) string {
	// A sub-agent's name begins with its parent's.
	for _, name := range slices.SortedFunc(maps.Keys(s.names), func(a, b string) int { return len(b) - len(a) }) {
		text = strings.ReplaceAll(text, name, s.names[name])
	}
	for _, c := range changing {
		text = c.pattern.ReplaceAllString(text, c.with)
	}

	return text
}

// shownHeaders are the headers of an answer that belong to the interface.
var shownHeaders = []string{
	"Content-Type", "Cardamomward-Program", "Cardamomward-Turn", "Cardamomward-Host", "Cardamomward-Upstream",
	"Cardamomward-Budget-Left", "Cardamomward-Replayed", "Retry-After",
}

// send sends a request to a host and writes both sides down.
func (s *session) send(method, path, body string, header map[string]string) []byte {
	s.t.Helper()
	req, err := http.NewRequestWithContext(s.t.Context(), method, "http://"+s.w.Hosts[0].HostEntry().CallerAddress+path, strings.NewReader(body))
	require.NoError(s.t, err)
	fmt.Fprintf(&s.out, "> %s %s\n", method, path)
	for _, name := range slices.Sorted(maps.Keys(header)) {
		fmt.Fprintf(&s.out, "> %s: %s\n", name, header[name])
		req.Header.Set(name, header[name])
	}
	if s.bearer != "" {
		req.Header.Set("Authorization", "Bearer "+s.bearer)
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
	for _, name := range shownHeaders {
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

// programIn names the program in an answer.
func (s *session) programIn(data []byte, name string) string {
	s.t.Helper()
	var program struct {
		Program string `json:"program"`
	}
	require.NoError(s.t, json.Unmarshal(data, &program))
	require.NotEmpty(s.t, program.Program)
	s.names[program.Program] = name

	return program.Program
}

func newSession(t *testing.T, w *world, workspace id.Workspace) *session {
	t.Helper()
	s := &session{t: t, w: w, names: make(map[string]string)}
	s.bearer = w.key(workspace).BearerToken

	return s
}

func TestSessionOfACaller(t *testing.T) {
	w := start(t, engine.Config{})
	s := newSession(t, w, "clerks")
	s.send("GET", "/v1/models", "", nil)
	program := s.programIn(s.send("POST", "/v1/programs", `{"name": "stand rules", "budget-tokens": 4000}`, nil), "PROGRAM")
	ask := map[string]string{"Cardamomward-Program": program}
	s.send("POST", "/v1/chat/completions",
		`{"model": "manual-7b", "messages": [{"role": "user", "content": "Draft the rules."}]}`, ask)
	s.send("POST", "/v1/chat/completions",
		`{"model": "manual-7b", "stream": true, "messages": [{"role": "user", "content": [{"type": "text", "text": "Shorten them."}]}]}`, ask)
	s.send("POST", "/v1/programs/"+program+"/turns",
		`{"model": "manual-7b", "messages": [{"role": "user", "content": "Shorten them."}]}`, map[string]string{"Cardamomward-Turn": "2"})
	s.send("POST", "/v1/chat/completions",
		`{"model": "manual-7b", "messages": [{"role": "user", "content": "x"}, {"role": "assistant", "content": "y"}]}`, ask)
	call := map[string]string{"Cardamomward-Program": program, "Idempotency-Key": "booking-1"}
	s.send("POST", "/v1/services/bookings/confirm", `{"stand": "B12"}`, call)
	s.send("POST", "/v1/services/bookings/confirm", `{"stand": "B12"}`, call)
	s.send("POST", "/v1/services/bookings/confirm", `{"stand": "C7"}`, call)
	child := s.programIn(s.send("POST", "/v1/programs", `{"parent": "`+program+`"}`, nil), "SUB-AGENT")
	s.send("POST", "/v1/chat/completions",
		`{"model": "manual-7b", "messages": [{"role": "user", "content": "Check chapter 3."}]}`, map[string]string{"Cardamomward-Program": child})
	s.send("GET", "/v1/programs/"+program+"/history", "", nil)
	s.send("POST", "/v1/programs/"+program+"/end", "", nil)
	s.send("POST", "/v1/chat/completions",
		`{"model": "manual-7b", "messages": [{"role": "user", "content": "More."}]}`, ask)
	s.upstreams()
	goldie.New(t).Assert(t, "caller-session", []byte(s.stable(s.out.String())))
}

// upstreams writes down what reached the engines and services.
func (s *session) upstreams() {
	var lines []string
	for _, server := range s.w.Engines {
		for _, seen := range server.Seen() {
			if strings.HasPrefix(seen.Path, "/v1/chat/") {
				lines = append(lines, fmt.Sprintf("engine %s %s\n  %s\n", seen.Path, headersOf(seen.Headers), seen.Body))
			}
		}
	}
	// A longer conversation comes later, whichever engine it reached.
	slices.SortFunc(lines, func(a, b string) int { return len(a) - len(b) })
	for _, server := range s.w.Services {
		for _, effect := range server.Effects() {
			lines = append(lines, fmt.Sprintf("service /%s %s\n  %s\n", effect.Path, headersOf(effect.Headers), effect.Body))
		}
	}
	s.out.WriteString("what the upstreams saw\n\n" + strings.Join(lines, ""))
}

func headersOf(headers map[string]string) []string { return slices.Sorted(maps.Keys(headers)) }

func TestRequestsThatAreRefused(t *testing.T) {
	w := start(t, engine.Config{})
	s := newSession(t, w, "clerks")
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
		s.send("POST", "/v1/chat/completions", body, nil)
	}
	ok := `{"model": "manual-7b", "messages": [{"role": "user", "content": "x"}]}`
	s.send("POST", "/v1/chat/completions", ok, map[string]string{"Cardamomward-Timeout": "5"})
	s.send("POST", "/v1/chat/completions", ok, map[string]string{"Cardamomward-Turn": "0"})
	s.send("POST", "/v1/chat/completions", ok, map[string]string{"Cardamomward-Program": "none"})
	s.send("PUT", "/v1/programs", "", nil)
	s.send("GET", "/v1/none", "", nil)
	s.send("POST", "/v1/services/none/x", "x", map[string]string{"Idempotency-Key": "k"})
	s.send("POST", "/v1/services/bookings/x", "x", nil)
	s.send("POST", "/v1/programs", `{"parent": "none"}`, nil)
	s.send("POST", "/v1/programs", strings.Repeat(" ", 5<<20)+"{}", nil)
	s.bearer = "cwk_none_none"
	s.send("POST", "/v1/programs", "", nil)
	s.bearer = ""
	s.send("POST", "/v1/programs", "", nil)
	s.send("GET", "/healthz", "", nil)
	goldie.New(t).Assert(t, "refused-requests", []byte(s.stable(s.out.String())))
}

func TestBrokenRequestsHarmNobodyElse(t *testing.T) {
	w := start(t, engine.Config{})
	issued := w.key("clerks")
	client := w.client(0, issued.BearerToken)
	key := "Authorization: Bearer " + issued.BearerToken + "\r\n"
	for _, raw := range []string{
		"GARBAGE\r\n\r\n",
		"POST /v1/programs HTTP/1.1\r\nHost: x\r\nContent-Length: nine\r\n\r\n",
		"POST /v1/programs HTTP/1.1\r\nHost: x\r\n" + key + "Content-Length: -1\r\n\r\n",
		"POST /v1/programs HTTP/1.1\r\nHost: x\r\n" + key + "Transfer-Encoding: chunked\r\n\r\nZZ\r\n",
		"POST /v1/programs HTTP/1.1\r\nHost: x\r\n" + key + "Content-Length: 100\r\n\r\n{}",
		"POST /v1/programs HTTP/1.1\r\nHost: x\r\nX-Long: " + strings.Repeat("a", 2<<20) + "\r\n\r\n",
	} {
		sendRaw(t, client.Address, raw)
	}
	require.Empty(t, programsOf(t, w), "a broken request opened a program")
	_, err := client.ProgramHistory(t.Context(), "none")
	require.Equal(t, apierror.NotFound, kindOf(err))
}

// sendRaw sends bytes, closes the sending side and takes whatever answer comes: at most one, with a 4xx status.
func sendRaw(t *testing.T, address, raw string) {
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

func programsOf(t *testing.T, w *world) []string {
	t.Helper()
	list, err := w.Operator(0).ListPrograms(t.Context(), "")
	require.NoError(t, err)
	var names []string
	for _, program := range list.Programs {
		names = append(names, string(program.ID))
	}

	return names
}
