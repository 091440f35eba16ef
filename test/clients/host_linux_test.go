package clients

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"cardamomward/core/id"
	"cardamomward/platform"
	"cardamomward/platform/standin"
)

const (
	// hostBytes is the memory of the host, which its process must not exceed.
	hostBytes = 64 << 20
	// hostFiles is the number of descriptors of a host that has plenty of them.
	hostFiles = 4096
	// requestTimeout bounds an ordinary request, and readyTimeout the start of a host.
	requestTimeout = 20 * time.Second
	readyTimeout   = 30 * time.Second
)

// command is the path of the command, built without the race detector: a process with it takes several times the memory.
var command string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "clients")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir) //nolint:errcheck // a temporary folder
	command = filepath.Join(dir, "cardamomward")
	if output, err := exec.CommandContext(context.Background(), "go", "build", "-o", command, "cardamomward/cmd/cardamomward").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build the command: %v\n%s", err, output))
	}

	return m.Run()
}

// host is a host in a process of its own, with a store and upstreams.
type host struct {
	t        *testing.T
	settings *platform.HostSettings
	// upstream is the address of an upstream of plain requests.
	upstream string
	metrics  string
	store    *standin.Store
	process  *os.Process
	done     chan struct{}
	log      *lockedBuffer
}

// lockedBuffer is a buffer for the output of a process.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.buffer.String()
}

// hostOptions are the settings in which the hosts of the tests differ.
type hostOptions struct {
	// files is the number of descriptors of the host; zero means hostFiles.
	files int
	// unendedEventBytes are the bytes of an event without an end that upstreams of streams send; zero means that there are no such upstreams.
	unendedEventBytes int
	// hasStreams adds upstreams of ordinary streams.
	hasStreams bool
	// hasNoBudget leaves out the optional memory budget.
	hasNoBudget bool
	// responseBytes is the size of plain responses; zero means a few bytes.
	responseBytes int
	// memoryBytes is the memory of the host; zero means hostBytes.
	memoryBytes int
	// maxRecordBytes bounds the records of the store; zero means no bound.
	maxRecordBytes int
	// respond responds in place of all upstreams; nil means that each responds itself.
	respond standin.Respond
}

// startHost starts a host and waits until it serves callers.
func startHost(t *testing.T, opts hostOptions) *host {
	t.Helper()
	store := standin.NewStore()
	t.Cleanup(store.Close)
	standin.Configuration{Version: 1, APIKeys: []string{"secret"}}.WriteToStore(store)
	rawAddress := ""
	if opts.respond != nil {
		server, err := standin.NewRawServer(opts.respond)
		require.NoError(t, err)
		t.Cleanup(server.Close)
		rawAddress = server.Address()
	}
	var plainUpstream string
	for i := range 2 {
		upstream := standin.NewUpstream(fmt.Sprintf("desk-%d", i), "desk", 0)
		plainUpstream = upstream.Address()
		upstream.ResponsePadding, upstream.RegisteredAddress = opts.responseBytes, rawAddress
		t.Cleanup(upstream.Close)
		upstream.Register(store, "ready")
	}
	for i := range 2 {
		upstream := standin.NewUpstream(fmt.Sprintf("engine-%d", i), "engines", 5)
		t.Cleanup(upstream.Close)
		upstream.RegisteredAddress = rawAddress
		if opts.unendedEventBytes > 0 {
			upstream.SetUnendedEvents(opts.unendedEventBytes)
		}
		if opts.unendedEventBytes > 0 || opts.hasStreams || opts.respond != nil {
			upstream.Register(store, "ready")
		}
	}
	ports := freePorts(t, 6)
	address := func(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }
	if opts.files == 0 {
		opts.files = hostFiles
	}
	if opts.memoryBytes == 0 {
		opts.memoryBytes = hostBytes
	}
	h := &host{t: t, log: &lockedBuffer{}, upstream: plainUpstream, metrics: address(ports[3]), store: store, settings: &platform.HostSettings{
		Name: id.Host("host-0"), IP: "127.0.0.1", FailureDomain: standin.InitialFailureDomain,
		CallerAddress: address(ports[0]), ReadinessAddress: address(ports[1]), ResolveAddress: address(ports[2]),
		PeerPorts: [2]int{ports[4], ports[5]}, FirstStart: true, CPUCores: 1, MemoryBytes: int64(opts.memoryBytes), MaxOpenFiles: opts.files,
		Store:  platform.StoreSettings{Address: store.Address(), Partitions: 12, MaxCallBytes: 1 << 20, MaxRecordBytes: opts.maxRecordBytes, MinLeaseDuration: time.Second},
		Bounds: platform.Bounds{GracePeriod: 4 * time.Second, ResolveTTL: 5 * time.Second},
	}}
	h.start(opts, ports[3])
	h.awaitReady()

	return h
}

// awaitReady waits until the host serves callers.
func (h *host) awaitReady() {
	h.t.Helper()
	require.Eventually(h.t, func() bool {
		status, err := h.lookUp("")

		return err == nil && status == http.StatusOK
	}, readyTimeout, 50*time.Millisecond, "the host serves callers")
}

// restart starts another process of the host after the last one has ended.
func (h *host) restart(opts hostOptions) {
	h.t.Helper()
	_, port, err := net.SplitHostPort(h.metrics)
	require.NoError(h.t, err)
	metricsPort, err := strconv.Atoi(port)
	require.NoError(h.t, err)
	if opts.files == 0 {
		opts.files = hostFiles
	}
	h.start(opts, metricsPort)
	h.awaitReady()
}

// freePorts returns consecutive ports below the kernel's ephemeral range, so that no connection of a crowd takes them.
func freePorts(t *testing.T, count int) []int {
	t.Helper()
	for first := 31_000; first < 32_000; first += count {
		var listeners []net.Listener
		var ports []int
		for port := first; port < first+count; port++ {
			if listener, err := net.Listen("tcp4", net.JoinHostPort("127.0.0.1", strconv.Itoa(port))); err == nil {
				listeners, ports = append(listeners, listener), append(ports, port)
			}
		}
		for _, listener := range listeners {
			listener.Close() //nolint:errcheck // only the port was tested
		}
		if len(ports) == count {
			return ports
		}
	}
	require.FailNow(t, "all ports are in use")

	return nil
}

func (h *host) start(opts hostOptions, metricsPort int) {
	h.t.Helper()
	dir := h.t.TempDir()
	data, err := standin.EncodeSettings(h.settings)
	require.NoError(h.t, err)
	file := filepath.Join(dir, "host.json")
	require.NoError(h.t, os.WriteFile(file, data, 0o600))
	args := []string{"gateway", "--settings", file, "--metrics-port", strconv.Itoa(metricsPort)}
	if !opts.hasNoBudget {
		gatewayFile := filepath.Join(dir, "gateway.yaml")
		require.NoError(h.t, os.WriteFile(gatewayFile, []byte("memory:\n  budget-share: 0.5\n"), 0o600))
		args = append(args, "--gateway-settings", gatewayFile)
	}
	cmd := exec.CommandContext(context.Background(), command, args...)
	cmd.Stdout, cmd.Stderr = h.log, h.log
	require.NoError(h.t, cmd.Start())
	limit := &unix.Rlimit{Cur: uint64(opts.files), Max: uint64(opts.files)}
	require.NoError(h.t, unix.Prlimit(cmd.Process.Pid, unix.RLIMIT_NOFILE, limit, nil))
	h.process, h.done = cmd.Process, make(chan struct{})
	go func() {
		cmd.Wait() //nolint:errcheck // the process is killed at the end
		close(h.done)
	}()
	h.t.Cleanup(func() {
		cmd.Process.Kill() //nolint:errcheck // the process may have ended
		<-h.done
		if h.t.Failed() {
			h.t.Logf("the end of the host's log:\n%s", lastLines(h.log.String()))
		}
	})
}

func lastLines(text string) string {
	lines := strings.Split(text, "\n")

	return strings.Join(lines[max(0, len(lines)-20):], "\n")
}

// isAlive reports whether the process runs.
func (h *host) isAlive() bool {
	select {
	case <-h.done:
		return false
	default:
		return true
	}
}

var peakPattern = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// peakBytes returns the most memory that the process has had resident.
func (h *host) peakBytes() int {
	h.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.process.Pid))
	require.NoError(h.t, err)
	match := peakPattern.FindSubmatch(status)
	require.NotNil(h.t, match)
	kilobytes, err := strconv.Atoi(string(match[1]))
	require.NoError(h.t, err)

	return kilobytes << 10
}

// unreadBytes returns the bytes that the host's connections have received and that it has not read, which count toward its memory.
func (h *host) unreadBytes() int {
	h.t.Helper()
	table, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", h.process.Pid))
	require.NoError(h.t, err)
	total := 0
	for _, line := range strings.Split(string(table), "\n")[1:] {
		var number, local, remote, state string
		var sent, received int
		if n, _ := fmt.Sscanf(line, "%s %s %s %s %x:%x", &number, &local, &remote, &state, &sent, &received); n == 6 && h.ownsAddress(local) && state != listening {
			total += received
		}
	}

	return total
}

// listening is the state of a listener in the kernel's table of connections.
const listening = "0A"

// ownsAddress reports whether an address in the kernel's notation has one of the host's ports.
func (h *host) ownsAddress(address string) bool {
	_, digits, _ := strings.Cut(address, ":")
	port, err := strconv.ParseInt(digits, 16, 32)
	if err != nil {
		return false
	}
	for _, own := range atAll(h) {
		if strings.HasSuffix(own, ":"+strconv.FormatInt(port, 10)) {
			return true
		}
	}

	return false
}

// openFiles returns the number of open descriptors of the process.
func (h *host) openFiles() int {
	h.t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.process.Pid))
	require.NoError(h.t, err)

	return len(entries)
}

// lookUp sends an ordinary request with a body and returns the status of its response.
func (h *host) lookUp(body string) (int, error) {
	return h.lookUpFrom(strings.NewReader(body))
}

// lookUpInChunks sends an ordinary request whose body has no stated length.
func (h *host) lookUpInChunks(body string) (int, error) {
	return h.lookUpFrom(struct{ io.Reader }{strings.NewReader(body)})
}

func (h *host) lookUpFrom(body io.Reader) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.settings.CallerAddress+"/look/x", body)
	if err != nil {
		return 0, err
	}
	req.Host = "agents.example"
	req.Header.Set("Request-Id", "ordinary")
	req.Header.Set("Authorization", "Bearer secret")
	req.Header.Set("Time-Remaining-Ms", strconv.FormatInt(requestTimeout.Milliseconds(), 10))

	return do(req)
}

// get sends a GET request to a server of the host and returns the status of the response.
func get(address, path string) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return 0, err
	}

	return do(req)
}

// do sends a request on a connection of its own. The error has the body of a refusal.
func do(req *http.Request) (int, error) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport}).Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s", resp.Status, body)
	}

	return resp.StatusCode, err
}

var errEnded = errors.New("the process has ended")

// requireServes requires that one ordinary request of each kind is answered.
func (h *host) requireServes(when string) {
	h.t.Helper()
	for name, request := range map[string]func() (int, error){
		"empty":        func() (int, error) { return h.lookUp("") },
		"body":         func() (int, error) { return h.lookUp(strings.Repeat("x", ordinaryBytes)) },
		"chunked body": func() (int, error) { return h.lookUpInChunks(strings.Repeat("x", ordinaryBytes)) },
		"directory": func() (int, error) {
			return get(h.settings.ResolveAddress, platform.ResolvePath+"?name=agents.example")
		},
		"readiness": func() (int, error) { return get(h.settings.ReadinessAddress, platform.ReadinessPath) },
		"metrics":   func() (int, error) { return get(h.metrics, "/metrics") },
	} {
		status, err := 0, errEnded
		if h.isAlive() {
			status, err = request()
		}
		require.NoError(h.t, err, "%s %s", name, when)
		require.Equal(h.t, http.StatusOK, status, "%s %s", name, when)
	}
}

// requireWithinBounds requires that the process lives and is within the limits of its host.
func (h *host) requireWithinBounds(files int, when string) {
	h.t.Helper()
	require.True(h.t, h.isAlive(), "the process lives %s", when)
	peak, unread := h.peakBytes(), h.unreadBytes()
	h.t.Logf("%s: %d MB at most, %d MB not read, %d descriptors", when, peak>>20, unread>>20, h.openFiles())
	require.LessOrEqual(h.t, peak+unread, int(h.settings.MemoryBytes), "most resident memory and bytes not read %s", when)
	require.LessOrEqual(h.t, h.openFiles(), files, "open descriptors %s", when)
}
