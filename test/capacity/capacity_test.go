package capacity

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cardamomward/command/cmdutil"
	"cardamomward/command/root"
	"cardamomward/io/operatorapi"
)

const (
	// runVariable makes the test binary act as the command, so that hosts are processes of their own.
	runVariable = "CARDAMOMWARD_TEST_MAIN"
	// hostsVariable lists the sizes of the fleets to measure.
	hostsVariable = "CARDAMOMWARD_CAPACITY_HOSTS"
	// secondsVariable says how long each fleet is measured.
	secondsVariable = "CARDAMOMWARD_CAPACITY_SECONDS"
	// enginesVariable says how many engines the settings name.
	enginesVariable = "CARDAMOMWARD_CAPACITY_ENGINES"
	// lingerVariable says how long the hosts' appends wait for more records.
	lingerVariable = "CARDAMOMWARD_CAPACITY_LINGER"
	// settleVariable says how many seconds a fleet is left alone before it is measured: each host first
	// restates its slots, 32 a second.
	settleVariable = "CARDAMOMWARD_CAPACITY_SETTLE"
	// readyTimeout bounds the start of a fleet.
	readyTimeout = 60 * time.Second
	readyPoll    = 200 * time.Millisecond
	// lineTimeout bounds the wait for a line that a process prints.
	lineTimeout = 30 * time.Second
)

func TestMain(m *testing.M) {
	if os.Getenv(runVariable) != "" {
		os.Exit(root.Main(cmdutil.NewFactory(), os.Args))
	}
	os.Exit(m.Run())
}

// process is a command that runs until the test ends.
type process struct {
	cmd   *exec.Cmd
	lines chan string
}

func start(t *testing.T, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(os.Args[0], args...), lines: make(chan string, 100)}
	p.cmd.Env = append(os.Environ(), runVariable+"=1")
	out, err := p.cmd.StdoutPipe()
	require.NoError(t, err)
	p.cmd.Stderr = p.cmd.Stdout
	require.NoError(t, p.cmd.Start())
	done := make(chan struct{})
	go func() {
		defer close(done)
		scanner := bufio.NewScanner(out)
		for scanner.Scan() {
			select {
			case p.lines <- scanner.Text():
			default:
			}
		}
		_ = p.cmd.Wait() // killed by the cleanup
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill() // it may have ended already
		<-done
	})

	return p
}

// await returns the first line that contains text.
func (p *process) await(t *testing.T, text string) string {
	t.Helper()
	timeout := time.After(lineTimeout)
	for {
		select {
		case line := <-p.lines:
			if strings.Contains(line, text) {
				return line
			}
		case <-timeout:
			require.FailNow(t, "nothing printed", "no line with %q", text)
		}
	}
}

func (p *process) address(t *testing.T) string {
	t.Helper()
	line := p.await(t, "listens on")

	return line[strings.LastIndex(line, " ")+1:]
}

func field(line, key string) string {
	for part := range strings.FieldsSeq(line) {
		if value, ok := strings.CutPrefix(part, key+"="); ok {
			return value
		}
	}

	return ""
}

// fleet is a log, a list and hosts as processes.
type fleet struct {
	log, list *process
	hosts     []*process
	operators []string
	callers   []string

	logAddress string
}

const hostSettings = `host: host-%03d
failure-domain: domain-%d
caller-address: 127.0.0.1:0
operator-address: 127.0.0.1:0
peer-address: 127.0.0.1:0
log-address: %s
hosts-address: %s
append-linger: %s
`

// linger returns how long the hosts' appends wait for more records.
func linger() string {
	if text := os.Getenv(lingerVariable); text != "" {
		return text
	}

	return "5ms"
}

// engineSlots is how many calls each stand-in of an engine runs at a time.
const engineSlots = "64"

// domains is how many failure domains the hosts belong to.
const domains = 3

func startFleet(t *testing.T, hosts, engines int) *fleet {
	t.Helper()
	f := &fleet{log: start(t, "standin", "log"), list: start(t, "standin", "hosts")}
	logAddress, listAddress := f.log.address(t), f.list.address(t)
	f.logAddress = logAddress
	dir := t.TempDir()
	for i := range hosts {
		file := filepath.Join(dir, fmt.Sprintf("host-%d.yaml", i))
		settings := fmt.Appendf(nil, hostSettings, i, i%domains, logAddress, listAddress, linger())
		require.NoError(t, os.WriteFile(file, settings, 0o600))
		f.hosts = append(f.hosts, start(t, "serve", "--settings", file))
	}
	for _, host := range f.hosts {
		line := host.await(t, "event=host-started")
		f.operators = append(f.operators, field(line, "operator-address"))
		f.callers = append(f.callers, field(line, "caller-address"))
	}
	if engines > 0 {
		f.publish(t, engines)
	}
	f.awaitReady(t)
	if text := os.Getenv(settleVariable); text != "" {
		time.Sleep(time.Duration(number(t, text)) * time.Second)
	}

	return f
}

// publish starts engines and names them in the settings.
func (f *fleet) publish(t *testing.T, engines int) {
	t.Helper()
	document := loadDocument
	for i := range engines {
		document += upstreamLine(i, start(t, "standin", "engine", "--slots", engineSlots).address(t))
	}
	file := filepath.Join(t.TempDir(), "settings.yaml")
	require.NoError(t, os.WriteFile(file, []byte(document), 0o600))
	cmd := exec.Command(os.Args[0], "settings", "publish", "--operator", f.operators[0], file)
	cmd.Env = append(os.Environ(), runVariable+"=1")
	out, err := cmd.CombinedOutput()
	require.NoError(t, err, string(out))
}

// awaitReady waits until each host sees all others and owns slots.
func (f *fleet) awaitReady(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool {
		for _, address := range f.operators {
			status, err := (&operatorapi.Client{Address: address}).GetClusterStatus(t.Context())
			if err != nil || len(status.Hosts) != len(f.hosts) {
				return false
			}
			for _, host := range status.Hosts {
				if !host.Live || host.OwnedSlots == 0 {
					return false
				}
			}
		}

		return true
	}, readyTimeout, readyPoll)
}

// sample is what a process has used since its start.
type sample struct {
	// cpu is processor time.
	cpu time.Duration
	// resident is memory in bytes.
	resident int64
	// bytes and calls went through read and write calls, sockets included.
	bytes, calls int64
	counters     map[string]int64
}

// clockTick is the unit of processor time in /proc.
const clockTick = 10 * time.Millisecond

func (p *process) sample(t *testing.T, operatorAddress string) sample {
	t.Helper()
	dir := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	stat, err := os.ReadFile(dir + "stat")
	require.NoError(t, err)
	fields := strings.Fields(string(stat[strings.LastIndex(string(stat), ")")+1:]))
	// Fields 14 and 15 of the file are the ticks in user and system mode; the list begins with field 3.
	s := sample{cpu: time.Duration(number(t, fields[11])+number(t, fields[12])) * clockTick}
	status := values(t, dir+"status")
	s.resident = number(t, strings.Fields(status["VmRSS"])[0]) << 10
	io := values(t, dir+"io")
	s.bytes = number(t, io["rchar"]) + number(t, io["wchar"])
	s.calls = number(t, io["syscr"]) + number(t, io["syscw"])
	s.counters = counters(t, operatorAddress)

	return s
}

func number(t *testing.T, text string) int64 {
	t.Helper()
	n, err := strconv.ParseInt(text, 10, 64)
	require.NoError(t, err)

	return n
}

// values reads a file of lines such as name: value.
func values(t *testing.T, file string) map[string]string {
	t.Helper()
	data, err := os.ReadFile(file)
	require.NoError(t, err)
	found := make(map[string]string)
	for line := range strings.Lines(string(data)) {
		name, value, _ := strings.Cut(line, ":")
		found[name] = strings.TrimSpace(value)
	}

	return found
}

// counters reads the traffic counters of a host.
func counters(t *testing.T, address string) map[string]int64 {
	t.Helper()
	resp, err := http.Get("http://" + address + "/debug/vars")
	require.NoError(t, err)
	defer resp.Body.Close()
	var vars struct {
		Log  map[string]int64 `json:"log-traffic"`
		Peer map[string]int64 `json:"peer-traffic"`
	}
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&vars))
	for name, value := range vars.Log {
		vars.Peer["log "+name] = value
	}

	return vars.Peer
}

// rates are what a host of the fleet uses a second, on average.
type rates struct {
	cpu                           float64
	resident                      float64
	bytes, calls                  float64
	heartbeats, logReads, appends float64
	// appended are bytes a second, claimed the bytes so far.
	appended, claimed float64
}

func (f *fleet) samples(t *testing.T) []sample {
	t.Helper()
	all := make([]sample, len(f.hosts))
	for i, host := range f.hosts {
		all[i] = host.sample(t, f.operators[i])
	}

	return all
}

func measure(t *testing.T, f *fleet, period time.Duration) rates {
	t.Helper()
	before := f.samples(t)
	began := time.Now()
	time.Sleep(period)
	seconds := time.Since(began).Seconds() * float64(len(f.hosts))
	var r rates
	for i, after := range f.samples(t) {
		rate := func(name string) float64 {
			return float64(after.counters[name]-before[i].counters[name]) / seconds
		}
		r.cpu += (after.cpu - before[i].cpu).Seconds() / seconds
		r.resident += float64(after.resident) / float64(len(f.hosts))
		r.bytes += float64(after.bytes-before[i].bytes) / seconds
		r.calls += float64(after.calls-before[i].calls) / seconds
		r.heartbeats += rate("heartbeats-sent") + rate("heartbeats-received")
		r.logReads += rate("log control-reads") + rate("log programs-reads")
		r.appends += rate("log programs-appends")
		r.appended += rate("log programs-append-bytes")
		r.claimed += float64(after.counters["log programs-append-bytes"]) / float64(len(f.hosts))
	}

	return r
}

// sizes returns the fleets to measure and for how long.
func sizes(t *testing.T) (hosts []int, engines int, period time.Duration) {
	t.Helper()
	list := os.Getenv(hostsVariable)
	if list == "" {
		return []int{2}, 0, time.Second
	}
	for text := range strings.SplitSeq(list, ",") {
		hosts = append(hosts, int(number(t, text)))
	}
	seconds := int64(10)
	if text := os.Getenv(secondsVariable); text != "" {
		seconds = number(t, text)
	}
	if text := os.Getenv(enginesVariable); text != "" {
		engines = int(number(t, text))
	}

	return hosts, engines, time.Duration(seconds) * time.Second
}

// TestIdleHosts prints what each idle host costs, averaged over the fleet.
func TestIdleHosts(t *testing.T) {
	counts, engines, period := sizes(t)
	for _, count := range counts {
		t.Run(fmt.Sprintf("hosts=%d", count), func(t *testing.T) {
			f := startFleet(t, count, engines)
			r := measure(t, f, period)
			t.Logf("hosts %d engines %d: core %.2f%%, resident %.1f MB, %.0f bytes/s in %.0f calls/s, "+
				"heartbeats %.1f/s, log reads %.2f/s, appends %.2f/s, appended so far %.0f bytes",
				count, engines, r.cpu*100, r.resident/1e6, r.bytes, r.calls, r.heartbeats, r.logReads, r.appends, r.claimed)
			settings, withdrawal := f.reach(t)
			t.Logf("hosts %d: settings in force everywhere after %s, a withdrawal after %s", count, settings, withdrawal)
			require.Positive(t, r.heartbeats)
			require.Positive(t, r.bytes)
			require.Positive(t, r.resident)
		})
	}
}
