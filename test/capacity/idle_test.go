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
	// mainEnvVar makes the test binary run as the cardamomward command, so that each host is a separate process.
	mainEnvVar = "CARDAMOMWARD_TEST_MAIN"
	// hostsEnvVar is a comma-separated list of host counts to measure.
	hostsEnvVar = "CARDAMOMWARD_CAPACITY_HOSTS"
	// secondsEnvVar is how many seconds each fleet is measured.
	secondsEnvVar = "CARDAMOMWARD_CAPACITY_SECONDS"
	// enginesEnvVar is the number of engines in the settings.
	enginesEnvVar = "CARDAMOMWARD_CAPACITY_ENGINES"
	// lingerEnvVar is how long an append waits for more records to batch, such as 5ms.
	lingerEnvVar = "CARDAMOMWARD_CAPACITY_LINGER"
	// settleEnvVar is how many seconds to wait before the measurement, since each host first writes
	// snapshots of its slots, 32 a second.
	settleEnvVar = "CARDAMOMWARD_CAPACITY_SETTLE"
	// readyTimeout is the upper bound of the start of a fleet.
	readyTimeout      = 60 * time.Second
	readyPollInterval = 200 * time.Millisecond
	// lineTimeout is the upper bound of the wait for a line of output.
	lineTimeout = 30 * time.Second
)

func TestMain(m *testing.M) {
	if os.Getenv(mainEnvVar) != "" {
		os.Exit(root.Main(cmdutil.NewFactory(), os.Args))
	}
	os.Exit(m.Run())
}

// process is a child process that is killed when the test ends.
type process struct {
	cmd   *exec.Cmd
	lines chan string
}

func startProcess(t *testing.T, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(os.Args[0], args...), lines: make(chan string, 100)}
	p.cmd.Env = append(os.Environ(), mainEnvVar+"=1")
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

// awaitLine returns the next line of output that contains text.
func (p *process) awaitLine(t *testing.T, text string) string {
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

func (p *process) listenAddress(t *testing.T) string {
	t.Helper()
	line := p.awaitLine(t, "listens on")

	return line[strings.LastIndex(line, " ")+1:]
}

func logField(line, key string) string {
	for part := range strings.FieldsSeq(line) {
		if value, ok := strings.CutPrefix(part, key+"="); ok {
			return value
		}
	}

	return ""
}

// fleet is a log, a host list and hosts, each a process.
type fleet struct {
	logServer, hostList *process
	hosts               []*process
	operatorAddresses   []string
	callerAddresses     []string

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

// appendLinger returns the hosts' append-linger setting.
func appendLinger() string {
	if text := os.Getenv(lingerEnvVar); text != "" {
		return text
	}

	return "5ms"
}

// engineConcurrency is how many calls each stand-in engine runs at a time.
const engineConcurrency = "64"

// failureDomainCount is the number of failure domains that the hosts are spread over.
const failureDomainCount = 3

func startFleet(t *testing.T, hosts, engines int) *fleet {
	t.Helper()
	f := &fleet{logServer: startProcess(t, "standin", "log"), hostList: startProcess(t, "standin", "hosts")}
	logAddress, listAddress := f.logServer.listenAddress(t), f.hostList.listenAddress(t)
	f.logAddress = logAddress
	dir := t.TempDir()
	for i := range hosts {
		file := filepath.Join(dir, fmt.Sprintf("host-%d.yaml", i))
		settings := fmt.Appendf(nil, hostSettings, i, i%failureDomainCount, logAddress, listAddress, appendLinger())
		require.NoError(t, os.WriteFile(file, settings, 0o600))
		f.hosts = append(f.hosts, startProcess(t, "serve", "--settings", file))
	}
	for _, host := range f.hosts {
		line := host.awaitLine(t, "event=host-started")
		f.operatorAddresses = append(f.operatorAddresses, logField(line, "operator-address"))
		f.callerAddresses = append(f.callerAddresses, logField(line, "caller-address"))
	}
	if engines > 0 {
		f.publishSettings(t, engines)
	}
	f.awaitReady(t)
	if text := os.Getenv(settleEnvVar); text != "" {
		time.Sleep(time.Duration(parseInt(t, text)) * time.Second)
	}

	return f
}

// publishSettings starts engines and publishes settings with their addresses.
func (f *fleet) publishSettings(t *testing.T, engines int) {
	t.Helper()
	document := fleetSettings
	for i := range engines {
		document += upstreamLine(i, startProcess(t, "standin", "engine", "--slots", engineConcurrency).listenAddress(t))
	}
	file := filepath.Join(t.TempDir(), "settings.yaml")
	require.NoError(t, os.WriteFile(file, []byte(document), 0o600))
	cmd := exec.Command(os.Args[0], "settings", "publish", "--operator", f.operatorAddresses[0], file)
	cmd.Env = append(os.Environ(), mainEnvVar+"=1")
	out, err := cmd.CombinedOutput()
	require.NoError(t, err, string(out))
}

// awaitReady waits until each host sees all others and owns slots.
func (f *fleet) awaitReady(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool {
		for _, address := range f.operatorAddresses {
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
	}, readyTimeout, readyPollInterval)
}

// usageSample is the resource usage of a process since its start.
type usageSample struct {
	// cpu is processor time in user and system mode.
	cpu time.Duration
	// residentBytes is the resident set size in bytes.
	residentBytes int64
	// ioBytes and ioCalls are the bytes and the number of read and write system calls, sockets included.
	ioBytes, ioCalls int64
	counters         map[string]int64
}

// clockTick is the unit of processor time in /proc.
const clockTick = 10 * time.Millisecond

func (p *process) sampleUsage(t *testing.T, operatorAddress string) usageSample {
	t.Helper()
	dir := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	stat, err := os.ReadFile(dir + "stat")
	require.NoError(t, err)
	fields := strings.Fields(string(stat[strings.LastIndex(string(stat), ")")+1:]))
	// Fields 14 and 15 of the file are the ticks in user and system mode; the list begins with field 3.
	s := usageSample{cpu: time.Duration(parseInt(t, fields[11])+parseInt(t, fields[12])) * clockTick}
	status := readProcFile(t, dir+"status")
	s.residentBytes = parseInt(t, strings.Fields(status["VmRSS"])[0]) << 10
	io := readProcFile(t, dir+"io")
	s.ioBytes = parseInt(t, io["rchar"]) + parseInt(t, io["wchar"])
	s.ioCalls = parseInt(t, io["syscr"]) + parseInt(t, io["syscw"])
	s.counters = fetchCounters(t, operatorAddress)

	return s
}

func parseInt(t *testing.T, text string) int64 {
	t.Helper()
	n, err := strconv.ParseInt(text, 10, 64)
	require.NoError(t, err)

	return n
}

// readProcFile reads a file of "name: value" lines.
func readProcFile(t *testing.T, file string) map[string]string {
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

// fetchCounters reads the traffic counters of a host.
func fetchCounters(t *testing.T, address string) map[string]int64 {
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

// hostRates are resource usage per second, averaged over the hosts.
type hostRates struct {
	cpu                           float64
	residentBytes                 float64
	ioBytes, ioCalls              float64
	heartbeats, logReads, appends float64
	// appendedBytes is per second; totalAppendedBytes is the count since the start.
	appendedBytes, totalAppendedBytes float64
}

func (f *fleet) sampleAll(t *testing.T) []usageSample {
	t.Helper()
	all := make([]usageSample, len(f.hosts))
	for i, host := range f.hosts {
		all[i] = host.sampleUsage(t, f.operatorAddresses[i])
	}

	return all
}

func measureRates(t *testing.T, f *fleet, period time.Duration) hostRates {
	t.Helper()
	before := f.sampleAll(t)
	startedAt := time.Now()
	time.Sleep(period)
	seconds := time.Since(startedAt).Seconds() * float64(len(f.hosts))
	var r hostRates
	for i, after := range f.sampleAll(t) {
		rate := func(name string) float64 {
			return float64(after.counters[name]-before[i].counters[name]) / seconds
		}
		r.cpu += (after.cpu - before[i].cpu).Seconds() / seconds
		r.residentBytes += float64(after.residentBytes) / float64(len(f.hosts))
		r.ioBytes += float64(after.ioBytes-before[i].ioBytes) / seconds
		r.ioCalls += float64(after.ioCalls-before[i].ioCalls) / seconds
		r.heartbeats += rate("heartbeats-sent") + rate("heartbeats-received")
		r.logReads += rate("log control-reads") + rate("log programs-reads")
		r.appends += rate("log programs-appends")
		r.appendedBytes += rate("log programs-append-bytes")
		r.totalAppendedBytes += float64(after.counters["log programs-append-bytes"]) / float64(len(f.hosts))
	}

	return r
}

// fleetSizes returns the host counts, the engine count and the period to measure.
func fleetSizes(t *testing.T) (hosts []int, engines int, period time.Duration) {
	t.Helper()
	list := os.Getenv(hostsEnvVar)
	if list == "" {
		return []int{2}, 0, time.Second
	}
	for text := range strings.SplitSeq(list, ",") {
		hosts = append(hosts, int(parseInt(t, text)))
	}
	seconds := int64(10)
	if text := os.Getenv(secondsEnvVar); text != "" {
		seconds = parseInt(t, text)
	}
	if text := os.Getenv(enginesEnvVar); text != "" {
		engines = int(parseInt(t, text))
	}

	return hosts, engines, time.Duration(seconds) * time.Second
}

// TestIdleHosts prints the resource usage of an idle host, averaged over the fleet.
func TestIdleHosts(t *testing.T) {
	counts, engines, period := fleetSizes(t)
	for _, count := range counts {
		t.Run(fmt.Sprintf("hosts=%d", count), func(t *testing.T) {
			f := startFleet(t, count, engines)
			r := measureRates(t, f, period)
			t.Logf("hosts %d engines %d: core %.2f%%, resident %.1f MB, %.0f bytes/s in %.0f calls/s, "+
				"heartbeats %.1f/s, log reads %.2f/s, appends %.2f/s, appended so far %.0f bytes",
				count, engines, r.cpu*100, r.residentBytes/1e6, r.ioBytes, r.ioCalls, r.heartbeats, r.logReads, r.appends, r.totalAppendedBytes)
			settings, withdrawal := f.measurePropagation(t)
			t.Logf("hosts %d: settings in force everywhere after %s, a withdrawal after %s", count, settings, withdrawal)
			require.Positive(t, r.heartbeats)
			require.Positive(t, r.ioBytes)
			require.Positive(t, r.residentBytes)
		})
	}
}
