package main

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/io/caller"
	"cardamomward/io/operator"
)

// runVariable makes the test binary act as the command itself, so that tests start real processes.
const runVariable = "CARDAMOMWARD_TEST_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runVariable) != "" {
		main()

		return
	}
	os.Exit(m.Run())
}

// process is a command that runs as a process of its own.
type process struct {
	cmd   *exec.Cmd
	lines chan string
	done  chan error
}

// start runs the command line with arguments until the test ends.
func start(t *testing.T, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(os.Args[0], args...), lines: make(chan string, 1000), done: make(chan error, 1)}
	p.cmd.Env = append(os.Environ(), runVariable+"=1")
	out, err := p.cmd.StdoutPipe()
	require.NoError(t, err)
	p.cmd.Stderr = p.cmd.Stdout
	require.NoError(t, p.cmd.Start())
	var printed printedLines
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("%v printed:\n%s", args, printed.tail())
		}
	})
	go func() {
		scanner := bufio.NewScanner(out)
		for scanner.Scan() {
			printed.add(scanner.Text())
			select {
			case p.lines <- scanner.Text():
			default:
			}
		}
		close(p.lines)
		p.done <- p.cmd.Wait()
	}()
	t.Cleanup(func() {
		// A frozen process is woken first; one that has ended already answers with an error.
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
	})

	return p
}

// printedLines are the latest lines of a process, shown when its test fails.
type printedLines struct {
	mu    sync.Mutex
	lines []string
}

// keptLines bounds the lines that are shown.
const keptLines = 60

func (p *printedLines) add(line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if strings.Contains(line, "event=turn-kept") || strings.Contains(line, "event=program-") {
		return
	}
	p.lines = append(p.lines, line)
	p.lines = p.lines[max(0, len(p.lines)-keptLines):]
}

func (p *printedLines) tail() string {
	p.mu.Lock()
	defer p.mu.Unlock()

	return strings.Join(p.lines, "\n")
}

// await returns the first line that contains text.
func (p *process) await(t *testing.T, text string) string {
	t.Helper()
	timeout := time.After(30 * time.Second)
	for {
		select {
		case line, ok := <-p.lines:
			require.True(t, ok, "the process ended before it printed %q", text)
			if strings.Contains(line, text) {
				return line
			}
		case <-timeout:
			require.FailNow(t, "nothing printed", "no line with %q", text)
		}
	}
}

// address returns the address in the line that a stand-in prints.
func (p *process) address(t *testing.T) string {
	t.Helper()
	line := p.await(t, "listens on")

	return line[strings.LastIndex(line, " ")+1:]
}

// field returns a field of a key=value line.
func field(line, key string) string {
	for part := range strings.FieldsSeq(line) {
		if value, ok := strings.CutPrefix(part, key+"="); ok {
			return value
		}
	}

	return ""
}

// system is the whole path as separate processes.
type system struct {
	log, list *process
	hosts     []*process
	callers   []string
	operators []string
	engines   []string
	service   string
	logAddr   string
	listAddr  string
	settings  string
}

const hostSettings = `host: host-%d
failure-domain: domain-%d
caller-address: 127.0.0.1:0
operator-address: 127.0.0.1:0
peer-address: 127.0.0.1:0
log-address: %s
hosts-address: %s
where-lifetime: 500ms
`

const fleetSettings = `workspaces:
  clerks:
    rate: 1000/s
    burst: 2000
    budget: 100k tokens
    services: [drafting, bookings]
services:
  drafting:
    kind: engine
    model: manual-7b
    upstreams:
      - {name: draft-1, address: "%s", failure-domain: domain-1}
      - {name: draft-2, address: "%s", failure-domain: domain-2}
  bookings:
    kind: plain
    upstreams:
      - {name: bookings-1, address: "%s", failure-domain: domain-1}
`

func startSystem(t *testing.T) *system {
	t.Helper()
	s := &system{log: start(t, "standin", "log"), list: start(t, "standin", "hosts")}
	s.logAddr = s.log.address(t)
	listAddr := s.list.address(t)
	for range 2 {
		s.engines = append(s.engines, start(t, "standin", "engine").address(t))
	}
	s.service = start(t, "standin", "service").address(t)
	s.listAddr = listAddr
	for range 3 {
		s.addHost(t)
	}
	s.settings = filepath.Join(t.TempDir(), "fleet.yaml")
	document := fmt.Appendf(nil, fleetSettings, s.engines[0], s.engines[1], s.service)
	require.NoError(t, os.WriteFile(s.settings, document, 0o600))

	return s
}

// addHost starts one more host.
func (s *system) addHost(t *testing.T) {
	t.Helper()
	number := len(s.hosts) + 1
	file := filepath.Join(t.TempDir(), fmt.Sprintf("host-%d.yaml", number))
	domain := (number-1)%3 + 1
	require.NoError(t, os.WriteFile(file, fmt.Appendf(nil, hostSettings, number, domain, s.logAddr, s.listAddr), 0o600))
	host := start(t, "serve", "--settings", file)
	line := host.await(t, "event=host-started")
	s.hosts = append(s.hosts, host)
	s.callers = append(s.callers, field(line, "caller-address"))
	s.operators = append(s.operators, field(line, "operator-address"))
}

// ready waits until all hosts see each other and own slots.
func (s *system) ready(ctx context.Context, t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool {
		for _, address := range s.operators {
			status, err := (&operator.Client{Address: address}).Status(ctx)
			if err != nil || len(status.Hosts) != len(s.hosts) {
				return false
			}
			for _, host := range status.Hosts {
				if !host.Live || host.Slots == 0 {
					return false
				}
			}
		}

		return true
	}, 30*time.Second, 50*time.Millisecond)
}

// publish puts the settings in force and returns a key of their workspace.
func (s *system) publish(ctx context.Context, t *testing.T) string {
	t.Helper()
	s.ready(ctx, t)
	out := command(t, "settings", "publish", "--operator", s.operators[0], s.settings)
	require.Contains(t, out, "is in force on [host-1 host-2 host-3]")
	out = command(t, "key", "issue", "--operator", s.operators[1], "--workspace", "clerks")

	return strings.TrimSpace(out[strings.LastIndex(out, "cwk_"):])
}

// command runs the command line to its end and returns what it printed.
func command(t *testing.T, args ...string) string {
	t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), runVariable+"=1")
	out, err := cmd.CombinedOutput()
	require.NoError(t, err, string(out))

	return string(out)
}

func TestWholePathAsProcesses(t *testing.T) {
	ctx := t.Context()
	s := startSystem(t)
	bearer := s.publish(ctx, t)

	client := &caller.Client{Address: s.callers[2], APIKey: bearer}
	where, err := client.FindHost(ctx, "")
	require.NoError(t, err)
	client.Address = where.Address
	program, err := client.OpenProgram(ctx, caller.OpenRequest{Name: "process test"})
	require.NoError(t, err)

	// Each turn enters through another host; the owner keeps them in order.
	for i, address := range s.callers {
		client.Address = address
		answer, err := client.SendMessage(ctx, program.ID, "manual-7b", fmt.Sprintf("message %d", i+1))
		require.NoError(t, err)
		require.EqualValues(t, i+1, answer.Turn)
		require.NotEmpty(t, answer.Text)
	}
	first, err := client.CallService(ctx, program.ID, "bookings", "confirm", "key-1", program)
	require.NoError(t, err)
	client.Address = s.callers[0]
	second, err := client.CallService(ctx, program.ID, "bookings", "confirm", "key-1", program)
	require.NoError(t, err)
	require.True(t, second.Replayed)
	require.Equal(t, first.Body, second.Body)

	history, err := client.ProgramHistory(ctx, program.ID)
	require.NoError(t, err)
	require.Len(t, history.History, 3)
	ended, err := client.EndProgram(ctx, program.ID)
	require.NoError(t, err)
	require.Equal(t, "ended", ended.State)
}
