package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"cardamomward/core/id"
	"cardamomward/platform"
	"cardamomward/platform/standin"
	"cardamomward/test/soak/check"
	"cardamomward/test/soak/plan"
)

const (
	gracePeriod = 5 * time.Second
	// drainLimit allows for the time in which a process ends after its grace period on a busy machine.
	drainLimit = gracePeriod + 3*time.Second
	// endTimeout bounds the wait for a process that does not end, which is then killed.
	endTimeout = 20 * time.Second
	// readyTimeout bounds the wait for a process to serve callers.
	readyTimeout = 30 * time.Second
	pollInterval = 25 * time.Millisecond
	// hostBytes and hostFiles are the limits of a host. Processes use up to 28 MB and 142 files, those with the race detector up to 125 MB.
	hostBytes = 256 << 20
	hostFiles = 512
)

// Ports of each host, which has an address of its own.
const (
	callerPort = 7000 + iota
	readinessPort
	resolvePort
	peerPort
	relayPort
)

// host is a gateway host, whose process is started and ended several times.
type host struct {
	run      *run
	name     check.Host
	settings *platform.HostSettings
	// storeProxy can reset calls of the store that have taken effect; the link to the store leads to it.
	storeProxy *standin.StoreProxy
	// callerAddress is the address of the link for callers.
	callerAddress string
	// faultMu is held during a fault of the host, so that faults of one host follow one another.
	faultMu sync.Mutex

	mu      sync.Mutex
	process *process
}

// process is one process of a host.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}

	mu   sync.Mutex
	exit check.Exit
}

// newHosts returns the hosts of a run, each with an address of its own in the loopback range.
func (r *run) newHosts() error {
	network := freeNetwork()
	for number := range r.options.Plan.Hosts {
		name := plan.HostName(number)
		ip := fmt.Sprintf("%s.%d", network, number+1)
		address := func(port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
		listener, err := net.Listen("tcp4", address(callerPort))
		if err != nil {
			return fmt.Errorf("the address of %s is not free: %w", name, err)
		}
		listener.Close() //nolint:errcheck // only the address was tested
		h := &host{run: r, name: check.Host(name), storeProxy: r.store.NewProxy()}
		r.hosts = append(r.hosts, h)
		storeAddress, err := r.addLink(plan.StoreLink+name, h.storeProxy.Address())
		if err != nil {
			return err
		}
		if h.callerAddress, err = r.addLink(plan.CallersLink+name, address(callerPort)); err != nil {
			return err
		}
		h.settings = &platform.HostSettings{
			Name: id.Host(name), IP: ip, FailureDomain: standin.InitialFailureDomain, CallerAddress: address(callerPort),
			ReadinessAddress: address(readinessPort), ResolveAddress: address(resolvePort), PeerPorts: [2]int{peerPort, relayPort},
			FirstStart: true, CPUCores: 1, MemoryBytes: hostBytes, MaxOpenFiles: hostFiles,
			Store: platform.StoreSettings{Address: storeAddress, Partitions: 12, MaxCallBytes: 1 << 20, MinLeaseDuration: time.Second},
			Bounds: platform.Bounds{
				RateWindow: rateWindow, RateOvershoot: rateOvershoot, RateSlackRequests: rateSlackRequests,
				GracePeriod: gracePeriod, ResolveTTL: 5 * time.Second, ConfigurationApply: configurationApply, DrainTimeout: upstreamDrainTimeout,
			},
		}
		r.recorder.history.Hosts = append(r.recorder.history.Hosts, h.name)
	}

	return nil
}

// freeNetwork returns three random octets of the loopback range, so that runs beside each other use different addresses.
func freeNetwork() string { return fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(256)) }

// start starts the host's process and returns once it runs.
func (h *host) start() error {
	data, err := standin.EncodeSettings(h.settings)
	if err != nil {
		return err
	}
	file := filepath.Join(h.run.options.Dir, string(h.name)+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	h.settings.FirstStart = false
	output, err := os.OpenFile(filepath.Join(h.run.options.Dir, string(h.name)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close() //nolint:errcheck // the process has its own descriptor
	command := h.run.options.Command
	p := &process{done: make(chan struct{}), exit: check.Exit{Host: h.name}}
	// The context of the run does not end the process: that would look like an end by itself.
	p.cmd = exec.CommandContext(context.Background(), command[0], append(command[1:len(command):len(command)], "gateway", "--settings", file)...) //nolint:gosec // the caller names its own binary
	p.cmd.Stdout, p.cmd.Stderr = output, output
	p.cmd.SysProcAttr = processAttributes()
	if err := p.cmd.Start(); err != nil {
		return err
	}
	h.run.recorder.log("%s runs as process %d", h.name, p.cmd.Process.Pid)
	h.mu.Lock()
	h.process = p
	h.mu.Unlock()
	go h.awaitExit(p)

	return nil
}

func (h *host) awaitExit(p *process) {
	err := p.cmd.Wait()
	p.mu.Lock()
	p.exit.At, p.exit.State, p.exit.IsSuccess = time.Now(), p.cmd.ProcessState.String(), err == nil
	exit := p.exit
	p.mu.Unlock()
	h.run.recorder.log("%s: process %d ended: %s", h.name, p.cmd.Process.Pid, exit.State)
	h.run.recorder.addExit(exit)
	close(p.done)
}

// current returns the host's process, nil before the first one.
func (h *host) current() *process {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.process
}

func (p *process) hasEnded() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// signal sends a signal to the process and remembers those that end it.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	switch {
	case s == syscall.SIGKILL && p.exit.KilledAt.IsZero():
		p.exit.KilledAt = time.Now()
	case s == syscall.SIGTERM && p.exit.TerminatedAt.IsZero():
		p.exit.TerminatedAt = time.Now()
	}
	p.mu.Unlock()
	p.cmd.Process.Signal(s) //nolint:errcheck // the process may have ended
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// awaitEnd waits for the end of a process that was terminated, and kills it if it does not end.
func (p *process) awaitEnd() {
	select {
	case <-p.done:
	case <-time.After(endTimeout):
		p.kill()
	}
}

// awaitReady waits until the host serves callers, its process ends or the time limit has passed, and reports whether it serves.
func (h *host) awaitReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	p := h.current()
	for !p.hasEnded() && sleep(ctx, pollInterval) {
		if h.isReady(ctx) {
			p.mu.Lock()
			p.exit.WasReady = true
			p.mu.Unlock()

			return true
		}
	}

	return false
}

// readinessTimeout bounds one request for a host's readiness.
const readinessTimeout = 500 * time.Millisecond

func (h *host) isReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readinessTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.settings.ReadinessAddress+platform.ReadinessPath, http.NoBody)
	if err != nil {
		return false
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()

	return resp.StatusCode == http.StatusOK
}

// usage returns a sample of the resources of the host's process, false if it does not run.
func (h *host) usage() (check.Usage, bool) {
	p := h.current()
	if p == nil || p.hasEnded() {
		return check.Usage{}, false
	}
	directory := filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid))
	status, err := os.ReadFile(filepath.Join(directory, "status")) //nolint:gosec // a process of this run
	if err != nil {
		return check.Usage{}, false
	}
	files, err := os.ReadDir(filepath.Join(directory, "fd"))
	if err != nil {
		return check.Usage{}, false
	}
	usage := check.Usage{Host: h.name, At: time.Now(), Files: len(files)}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
			usage.Bytes = kilobytes << 10
		}
	}

	return usage, true
}

// sleep waits for a duration and reports whether ctx has not ended meanwhile.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
