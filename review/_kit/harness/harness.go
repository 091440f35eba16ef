// Package harness starts gateway processes with the command of the deploy file against the project's stand-ins, all on loopback.
package harness

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"cardamomward/core/id"
	"cardamomward/platform"
	"cardamomward/platform/standin"
)

// Exit statuses of a case.
const (
	Held      = 0
	Broken    = 1
	CannotRun = 2
)

// ports of each host, which has an address of its own.
const (
	callerPort = 8368 + iota
	readinessPort
	resolvePort
	firstPeerPort = 7780
	lastPeerPort  = 7795
)

// storeDelay is how long the store takes for an answer: "4 ms an answer".
const storeDelay = 4 * time.Millisecond

// StableWindow is the deployment's stable_window_ms.
const StableWindow = 3 * time.Second

// Record is the protocol of a case.
type Record struct {
	mu        sync.Mutex
	startedAt time.Time
	file      *os.File
}

// NewRecord creates a protocol at a path.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}

	return &Record{startedAt: time.Now(), file: file}, nil
}

// Write adds a line with the time since the start.
func (r *Record) Write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// Say adds a line and prints it.
func (r *Record) Say(format string, args ...any) {
	r.Write(format, args...)
	fmt.Printf("%8.3f %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// Host is one gateway host.
type Host struct {
	Name     string
	fleet    *Fleet
	settings *platform.HostSettings
	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{}
}

// Fleet is a small deployment: hosts, the store and the upstreams.
type Fleet struct {
	Record  *Record
	Store   *standin.Store
	Hosts   []*Host
	dir     string
	root    string
	words   []string
	stop    chan struct{}
	mu      sync.Mutex
	isDown  bool
	closers []func()
}

// runLine is the line of the deploy file with the role's command.
var runLine = regexp.MustCompile(`(?m)^run = "([^"]+)"`)

// NewFleet prepares a number of hosts; Start starts their processes.
func NewFleet(record *Record, count int) (*Fleet, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, fmt.Errorf("run the case from the root of the repository: %w", err)
	}
	match := runLine.FindSubmatch(deploy)
	if match == nil {
		return nil, errors.New("deploy/system.toml names no command")
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Record: record, Store: standin.NewStore(), dir: dir, root: root, words: strings.Fields(string(match[1])), stop: make(chan struct{})}
	f.Store.SetFaults(standin.Faults{ResponseDelay: storeDelay})
	network := ""
	for range 50 {
		candidate := fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(256))
		if listener, err := net.Listen("tcp4", net.JoinHostPort(candidate+".1", strconv.Itoa(callerPort))); err == nil {
			listener.Close()
			network = candidate

			break
		}
	}
	if network == "" {
		return nil, errors.New("no free loopback addresses")
	}
	for number := range count {
		ip := fmt.Sprintf("%s.%d", network, number+1)
		address := func(port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
		// Figures of sites/roadline-ward.toml and SYSTEM.md.
		f.Hosts = append(f.Hosts, &Host{Name: fmt.Sprintf("front-%d", number+1), fleet: f, settings: &platform.HostSettings{
			Name: id.Host(fmt.Sprintf("front-%d", number+1)), IP: ip, FailureDomain: standin.InitialFailureDomain,
			CallerAddress: address(callerPort), ReadinessAddress: address(readinessPort), ResolveAddress: address(resolvePort),
			PeerPorts: [2]int{firstPeerPort, lastPeerPort}, FirstStart: true, CPUCores: 0.4, MemoryBytes: 314 << 20, MaxOpenFiles: 8200,
			LinkBytesPerSecond: 1000 * 1e6 / 8,
			Store: platform.StoreSettings{
				Address: f.Store.Address(), Partitions: 12, MaxRecordBytes: 262144, MaxCallBytes: 2097152, MinLeaseDuration: time.Second,
			},
			Bounds: platform.Bounds{
				DrainTimeout: 2 * time.Second, ConfigurationApply: 2 * time.Second, GracePeriod: 8 * time.Second, ResolveTTL: 5 * time.Second,
				RateWindow: 5 * time.Second, RateOvershoot: 0.1, RateSlackRequests: 20,
			},
		}})
	}

	return f, nil
}

// KeepRegistered lets upstreams write their registrations as PROTOCOL.md says, every 1.2 s while the store is up.
func (f *Fleet) KeepRegistered(upstreams ...*standin.Upstream) {
	for _, u := range upstreams {
		u.Register(f.Store, "ready")
	}
	go func() {
		for {
			select {
			case <-f.stop:
				return
			case <-time.After(1200 * time.Millisecond):
			}
			if f.storeIsDown() {
				continue
			}
			for _, u := range upstreams {
				u.Register(f.Store, "ready")
			}
		}
	}()
}

func (f *Fleet) storeIsDown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.isDown
}

// SetStoreDown lets the store refuse all calls with 503, or serve again.
func (f *Fleet) SetStoreDown(down bool) {
	f.mu.Lock()
	f.isDown = down
	f.mu.Unlock()
	f.Store.SetFaults(standin.Faults{Down: down, ResponseDelay: storeDelay})
	f.Record.Say("store down: %v", down)
}

// OnClose adds a function that Close calls.
func (f *Fleet) OnClose(do func()) { f.closers = append(f.closers, do) }

// Start starts all hosts within 0.3 s, and returns once all are ready and have been so for the stable window.
func (f *Fleet) Start(ctx context.Context) error {
	for _, h := range f.Hosts {
		if err := h.Start(); err != nil {
			return err
		}
		Sleep(ctx, 300*time.Millisecond/time.Duration(len(f.Hosts)))
	}
	for _, h := range f.Hosts {
		if err := h.AwaitReady(ctx); err != nil {
			return err
		}
	}
	f.Record.Say("all %d hosts are ready", len(f.Hosts))
	Sleep(ctx, StableWindow+time.Second)

	return nil
}

// Close ends all processes and removes the temporary files.
func (f *Fleet) Close() {
	close(f.stop)
	for _, h := range f.Hosts {
		h.Kill()
	}
	for _, do := range f.closers {
		do()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		exec.Command("cp", "-r", f.dir, keep).Run()
	}
	os.RemoveAll(f.dir)
}

// Start starts the host's process, with the settings of a first start only the first time.
func (h *Host) Start() error {
	data, err := standin.EncodeSettings(h.settings)
	if err != nil {
		return err
	}
	h.settings.FirstStart = false
	file := filepath.Join(h.fleet.dir, h.Name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(h.fleet.dir, h.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	cmd := exec.Command(h.fleet.words[0], h.fleet.words[1:]...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = h.fleet.root, output, output
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", platform.SettingsFileEnvVar + "=" + file}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("build the deploy file first: %w", err)
	}
	done := make(chan struct{})
	go func() {
		err := cmd.Wait()
		h.fleet.Record.Write("%s: process %d ended: %v", h.Name, cmd.Process.Pid, err)
		close(done)
	}()
	h.mu.Lock()
	h.cmd, h.done = cmd, done
	h.mu.Unlock()
	h.fleet.Record.Write("%s: process %d started", h.Name, cmd.Process.Pid)

	return nil
}

// Signal sends a signal to the host's process.
func (h *Host) Signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		h.cmd.Process.Signal(s)
		h.fleet.Record.Write("%s: signal %v", h.Name, s)
	}
}

// Kill ends the host's process and waits for its end.
func (h *Host) Kill() {
	h.mu.Lock()
	cmd, done := h.cmd, h.done
	h.cmd = nil
	h.mu.Unlock()
	if cmd == nil {
		return
	}
	cmd.Process.Signal(syscall.SIGKILL)
	<-done
}

// Terminate sends SIGTERM and waits for the end of the process, which is killed after the grace period as the platform does.
func (h *Host) Terminate() {
	h.Signal(syscall.SIGTERM)
	h.mu.Lock()
	done := h.done
	h.mu.Unlock()
	select {
	case <-done:
	case <-time.After(h.settings.Bounds.GracePeriod):
		h.fleet.Record.Write("%s: killed after the grace period", h.Name)
	}
	h.Kill()
}

// AwaitReady waits until the host answers 200 at its readiness address.
func (h *Host) AwaitReady(ctx context.Context) error {
	for until := time.Now().Add(25 * time.Second); time.Now().Before(until) && ctx.Err() == nil; Sleep(ctx, 50*time.Millisecond) {
		client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Get("http://" + h.settings.ReadinessAddress + platform.ReadinessPath)
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}

	return fmt.Errorf("%s is not ready", h.Name)
}

// CallerAddress returns the address for clients.
func (h *Host) CallerAddress() string { return h.settings.CallerAddress }

// Member returns the host's name as a member of the store's groups.
func (h *Host) Member() string { return net.JoinHostPort(h.settings.IP, strconv.Itoa(firstPeerPort)) }

// OwnedPartitions returns how many partitions the store's group gives to each host, which any caller may ask for.
func (f *Fleet) OwnedPartitions(ctx context.Context) (map[*Host]int, error) {
	owners, err := platform.NewStore(f.Store.Address()).ListPartitionOwners(ctx, "slots")
	if err != nil {
		return nil, err
	}
	counts := make(map[*Host]int)
	for _, member := range owners {
		for _, h := range f.Hosts {
			if member == h.Member() {
				counts[h]++
			}
		}
	}

	return counts, nil
}

// NewRequestID returns an id for one client attempt.
func NewRequestID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Events counts the complete events of a stream's text.
func Events(body string) int { return strings.Count(body, "\n\n") }

// Sleep sleeps for a time or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Post sends a request on a new connection and returns the status, whether a runner has signed the answer, its body and whether it is
// complete. The client waits for 3 s.
func Post(ctx context.Context, address, path string, header map[string]string, body string) (status int, isSigned bool, text string, complete bool) {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	request := standin.CallerRequest{Path: path, APIKey: Key, Body: body, Header: header}
	answer, err := request.Send(ctx, header["Request-Id"], address)
	if err != nil {
		return 0, false, "", false
	}

	return answer.Status, answer.IsFromUpstream(), answer.Body, !answer.Truncated
}

// clientTimeout is the deadline of a client attempt.
const clientTimeout = 3 * time.Second

// Key is the API key of the deployment's only tenant.
const Key = "3fexd9dnn2ctnfzs989a"

// IsTroubled reports whether the disruption is to be injected.
func IsTroubled() bool { return os.Getenv("TROUBLE") != "0" }
