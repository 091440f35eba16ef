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
	"cardamomward/io/operatorapi"
)

// mainEnvVar makes the test binary run as the command itself, so that tests can start real processes.
const mainEnvVar = "CARDAMOMWARD_TEST_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(mainEnvVar) != "" {
		main()

		return
	}
	os.Exit(m.Run())
}

// process is a command that runs as a separate process.
type process struct {
	cmd   *exec.Cmd
	lines chan string
	done  chan error
}

// startCommand runs the command with the given arguments until the test ends.
func startCommand(t *testing.T, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(os.Args[0], args...), lines: make(chan string, 1000), done: make(chan error, 1)}
	p.cmd.Env = append(os.Environ(), mainEnvVar+"=1")
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
		// A suspended process is resumed first; errors are ignored because the process may have ended already.
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
	})

	return p
}

// printedLines keeps the last lines of a process's output, logged if its test fails.
type printedLines struct {
	mu    sync.Mutex
	lines []string
}

// maxKeptLines bounds the lines that printedLines keeps.
const maxKeptLines = 60

func (p *printedLines) add(line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// Events of single turns and programs are left out because they would displace the other lines.
	if strings.Contains(line, "event=turn-kept") || strings.Contains(line, "event=program-") {
		return
	}
	p.lines = append(p.lines, line)
	p.lines = p.lines[max(0, len(p.lines)-maxKeptLines):]
}

func (p *printedLines) tail() string {
	p.mu.Lock()
	defer p.mu.Unlock()

	return strings.Join(p.lines, "\n")
}

// awaitLine waits for the next line that contains text and returns it.
func (p *process) awaitLine(t *testing.T, text string) string {
	t.Helper()
	timeout := time.After(30 * time.Second)
	for {
		select {
		case line, ok := <-p.lines:
			require.True(t, ok, "the process ended before it printed a line with %q", text)
			if strings.Contains(line, text) {
				return line
			}
		case <-timeout:
			require.FailNow(t, "timeout", "no line with %q was printed", text)
		}
	}
}

// address returns the listening address that a stand-in prints.
func (p *process) address(t *testing.T) string {
	t.Helper()
	line := p.awaitLine(t, "listens on")

	return line[strings.LastIndex(line, " ")+1:]
}

// logField returns the value of a key in a key=value line, empty if the line lacks it.
func logField(line, key string) string {
	for part := range strings.FieldsSeq(line) {
		if value, ok := strings.CutPrefix(part, key+"="); ok {
			return value
		}
	}

	return ""
}

// testSystem is a cluster with its stand-ins as separate processes.
type testSystem struct {
	logServer, hostListServer *process
	hosts                     []*process
	callerAddresses           []string
	operatorAddresses         []string
	engineAddresses           []string
	serviceAddress            string
	logAddress                string
	hostListAddress           string
	settingsFile              string
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

func startSystem(t *testing.T) *testSystem {
	t.Helper()
	s := &testSystem{logServer: startCommand(t, "standin", "log"), hostListServer: startCommand(t, "standin", "hosts")}
	s.logAddress = s.logServer.address(t)
	hostListAddress := s.hostListServer.address(t)
	for range 2 {
		s.engineAddresses = append(s.engineAddresses, startCommand(t, "standin", "engine").address(t))
	}
	s.serviceAddress = startCommand(t, "standin", "service").address(t)
	s.hostListAddress = hostListAddress
	for range 3 {
		s.addHost(t)
	}
	s.settingsFile = filepath.Join(t.TempDir(), "fleet.yaml")
	document := fmt.Appendf(nil, fleetSettings, s.engineAddresses[0], s.engineAddresses[1], s.serviceAddress)
	require.NoError(t, os.WriteFile(s.settingsFile, document, 0o600))

	return s
}

// addHost starts another host.
func (s *testSystem) addHost(t *testing.T) {
	t.Helper()
	number := len(s.hosts) + 1
	file := filepath.Join(t.TempDir(), fmt.Sprintf("host-%d.yaml", number))
	domain := (number-1)%3 + 1
	require.NoError(t, os.WriteFile(file, fmt.Appendf(nil, hostSettings, number, domain, s.logAddress, s.hostListAddress), 0o600))
	host := startCommand(t, "serve", "--settings", file)
	line := host.awaitLine(t, "event=host-started")
	s.hosts = append(s.hosts, host)
	s.callerAddresses = append(s.callerAddresses, logField(line, "caller-address"))
	s.operatorAddresses = append(s.operatorAddresses, logField(line, "operator-address"))
}

// awaitReady waits until all hosts see each other as live and own slots.
func (s *testSystem) awaitReady(ctx context.Context, t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool {
		for _, address := range s.operatorAddresses {
			status, err := (&operatorapi.Client{Address: address}).GetClusterStatus(ctx)
			if err != nil || len(status.Hosts) != len(s.hosts) {
				return false
			}
			for _, host := range status.Hosts {
				if !host.Live || host.OwnedSlots == 0 {
					return false
				}
			}
		}

		return true
	}, 30*time.Second, 50*time.Millisecond)
}

// publishSettings publishes the settings and returns the bearer token of a key of their workspace.
func (s *testSystem) publishSettings(ctx context.Context, t *testing.T) string {
	t.Helper()
	s.awaitReady(ctx, t)
	out := runCommand(t, "settings", "publish", "--operator", s.operatorAddresses[0], s.settingsFile)
	require.Contains(t, out, "is in force on [host-1 host-2 host-3]")
	out = runCommand(t, "key", "issue", "--operator", s.operatorAddresses[1], "--workspace", "clerks")

	return strings.TrimSpace(out[strings.LastIndex(out, "cwk_"):])
}

// runCommand runs the command to its end and returns its output.
func runCommand(t *testing.T, args ...string) string {
	t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), mainEnvVar+"=1")
	out, err := cmd.CombinedOutput()
	require.NoError(t, err, string(out))

	return string(out)
}

func TestTurnsAndCallsOnDifferentHostsReachOwner(t *testing.T) {
	ctx := t.Context()
	s := startSystem(t)
	bearer := s.publishSettings(ctx, t)

	client := &caller.Client{Address: s.callerAddresses[2], APIKey: bearer}
	where, err := client.FindHost(ctx, "")
	require.NoError(t, err)
	client.Address = where.Address
	program, err := client.OpenProgram(ctx, caller.OpenRequest{Name: "process test"})
	require.NoError(t, err)

	// Each turn is sent to another host; the owner runs them in order.
	for i, address := range s.callerAddresses {
		client.Address = address
		answer, err := client.SendMessage(ctx, program.ID, "manual-7b", fmt.Sprintf("message %d", i+1))
		require.NoError(t, err)
		require.EqualValues(t, i+1, answer.Turn)
		require.NotEmpty(t, answer.Text)
	}
	first, err := client.CallService(ctx, program.ID, "bookings", "confirm", "key-1", program)
	require.NoError(t, err)
	client.Address = s.callerAddresses[0]
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
