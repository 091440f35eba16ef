// Command cases plays the scripted cases of the second review: gateway processes on loopback addresses, a stand-in of the store, stand-ins of
// runners, and small clients. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"cardamomward/core/id"
	"cardamomward/platform"
	"cardamomward/platform/standin"
)

const (
	apiKey      = "key-clerks"
	otherKey    = "key-planners"
	gracePeriod = 8 * time.Second
	maxFiles    = 8200
	partitions  = 12
)

// fleet is a small deployment.
type fleet struct {
	dir     string
	started time.Time
	trouble bool

	recordMu sync.Mutex
	out      *os.File

	store *standin.Store
	// front stands before the store if that is not nil.
	front   *front
	engines []*standin.Upstream
	hosts   []*host
	// retention is retention_s of the routes.
	retention int
	// memory is that of each machine in MB.
	memory int64
}

// host is one machine with its gateway process.
type host struct {
	fleet    *fleet
	settings *platform.HostSettings

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// newFleet opens the record and starts the store.
func newFleet(record string) (*fleet, error) {
	out, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, started: time.Now(), out: out, trouble: os.Getenv("TROUBLE") != "0", store: standin.NewStore(), retention: 60, memory: 314}
	f.record("trouble: %t", f.trouble)

	return f, nil
}

// record writes a line with the time since the start.
func (f *fleet) record(format string, args ...any) {
	f.recordMu.Lock()
	defer f.recordMu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(f.started).Seconds(), fmt.Sprintf(format, args...))
	f.out.WriteString(line) //nolint:errcheck // the record is checked by its reader
	fmt.Print(line)
}

// close ends all processes and removes the temporary folder.
func (f *fleet) close() {
	for _, h := range f.hosts {
		h.kill()
	}
	for _, engine := range f.engines {
		engine.CloseClientConnections()
		engine.Close()
	}
	if f.front != nil {
		f.front.CloseClientConnections()
	}
	f.store.CloseClientConnections()
	f.out.Close() //nolint:errcheck // nothing follows
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.dir) //nolint:errcheck // a temporary folder
	}
}

// startServices starts plain runners, whose answers have some bytes, and registers them.
func (f *fleet) startServices(count, answerBytes int) {
	for number := range count {
		service := standin.NewUpstream(fmt.Sprintf("i-desk-%d", number), "desk", 0)
		service.ResponsePadding = answerBytes
		service.Register(f.store, "ready")
		f.engines = append(f.engines, service)
	}
}

// startEngines starts model runners and registers them.
func (f *fleet) startEngines(count, events int, interval time.Duration) {
	for number := range count {
		engine := standin.NewUpstream(fmt.Sprintf("i-engine-%d", number), "engines", events)
		engine.EventInterval = interval
		engine.Register(f.store, "ready")
		f.engines = append(f.engines, engine)
	}
}

// route is a streaming route of the configuration.
type route struct {
	prefix                    string
	retainsContext, resumable bool
}

// configure writes the operator's configuration.
func (f *fleet) configure(routes ...route) error {
	var list []any
	for number, r := range routes {
		list = append(list, map[string]any{
			"name": fmt.Sprintf("route-%d", number), "host": "agents.example", "path_prefix": r.prefix, "kind": "streaming", "timeout_ms": 3000,
			"target_latency_ms": 200, "service": "engines", "max_attempts": 2, "retains_context": r.retainsContext, "retention_s": f.retention,
			"resumable": r.resumable, "gap_target_ms": 300, "sticky_sessions": true, "priority": 1,
		})
	}
	list = append(list, map[string]any{
		"name": "order", "host": "agents.example", "path_prefix": "/order/", "kind": "unsafe", "timeout_ms": 4000, "target_latency_ms": 500,
		"service": "desk", "max_attempts": 1, "priority": 2,
	})
	value, err := json.Marshal(map[string]any{
		"version": 3, "routes": list,
		"services": []any{map[string]any{"name": "desk", "max_connections": 96, "health_path": "/health"}, map[string]any{
			"name": "engines", "max_connections": 160, "health_path": "/health",
			"engine": map[string]any{"slots": 16, "kv_capacity_tokens": 600000, "tokens_per_event": 10},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{
			map[string]any{"name": "clerks", "api_keys": []string{apiKey}, "rate_per_s": 0, "burst": 0},
			map[string]any{"name": "planners", "api_keys": []string{otherKey}, "rate_per_s": 0, "burst": 0},
		},
	})
	if err != nil {
		return err
	}
	f.store.PutRecord(platform.ConfigurationTopic, platform.ConfigurationKey, value)

	return nil
}

// startHosts starts gateways, each with an address of its own in the loopback range, and waits until they serve.
func (f *fleet) startHosts(count int) error {
	storeAddress := f.store.Address()
	if f.front != nil {
		storeAddress = f.front.address()
	}
	network := fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(256))
	for number := range count {
		ip := fmt.Sprintf("%s.%d", network, number+1)
		address := func(port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
		h := &host{fleet: f, settings: &platform.HostSettings{
			Name: id.Host(fmt.Sprintf("front-%d", number)), IP: ip, FailureDomain: standin.InitialFailureDomain, CallerAddress: address(8368),
			ReadinessAddress: address(8369), ResolveAddress: address(8360), PeerPorts: [2]int{7780, 7795}, FirstStart: true, CPUCores: 0.4,
			MemoryBytes: f.memory << 20, MaxOpenFiles: maxFiles, LinkBytesPerSecond: 125e6,
			Store: platform.StoreSettings{
				Address: storeAddress, Partitions: partitions, MaxRecordBytes: 262144, MaxCallBytes: 2097152, MinLeaseDuration: time.Second,
			},
			Bounds: platform.Bounds{
				DrainTimeout: 2 * time.Second, ConfigurationApply: 2 * time.Second, GracePeriod: gracePeriod, ResolveTTL: 5 * time.Second,
				RateWindow: 5 * time.Second, RateOvershoot: 0.1, RateSlackRequests: 20,
			},
		}}
		f.hosts = append(f.hosts, h)
		if err := h.start(); err != nil {
			return err
		}
	}
	for _, h := range f.hosts {
		if !h.awaitReady(20 * time.Second) {
			return fmt.Errorf("%s is not ready", h.settings.Name)
		}
	}

	return nil
}

// start starts the host's process with the command of the deploy file.
func (h *host) start() error {
	data, err := standin.EncodeSettings(h.settings)
	if err != nil {
		return err
	}
	file := filepath.Join(h.fleet.dir, string(h.settings.Name)+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	h.settings.FirstStart = false
	output, err := os.OpenFile(filepath.Join(h.fleet.dir, string(h.settings.Name)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close() //nolint:errcheck // the process has its own descriptor
	cmd := exec.Command("target/cardamomward", "gateway", "--metrics-port", "9464", "--gateway-settings", "deploy/gateway.yaml")
	cmd.Env = append(os.Environ(), platform.SettingsFileEnvVar+"="+file)
	cmd.Stdout, cmd.Stderr = output, output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		cmd.Wait() //nolint:errcheck // the end is recorded
		close(done)
	}()
	h.mu.Lock()
	h.cmd, h.done = cmd, done
	h.mu.Unlock()
	h.fleet.record("%s runs", h.settings.Name)

	return nil
}

// signal sends a signal to the host's process.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		h.cmd.Process.Signal(s) //nolint:errcheck // the process may have ended
	}
}

// kill ends the host's process and waits for its end.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	h.mu.Lock()
	done := h.done
	h.mu.Unlock()
	if done != nil {
		<-done
	}
}

// awaitReady waits until the host says that it is ready.
func (h *host) awaitReady(limit time.Duration) bool {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(25 * time.Millisecond) {
		resp, err := client.Get("http://" + h.settings.ReadinessAddress + platform.ReadinessPath)
		if err != nil {
			continue
		}
		resp.Body.Close() //nolint:errcheck // the status alone counts
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}

	return false
}

// address returns where the host takes requests.
func (h *host) address() string { return h.settings.CallerAddress }

// member returns the name of the host in the store's group.
func (h *host) member() string {
	return net.JoinHostPort(h.settings.IP, strconv.Itoa(h.settings.PeerPorts[0]))
}

// owner returns the host that owns the slot of a program, by the store.
func (f *fleet) owner(program string) (*host, error) {
	owners, err := platform.NewStore(f.store.Address()).ListPartitionOwners(context.Background(), "slots")
	if err != nil {
		return nil, err
	}
	slot := id.HashSlot(program, partitions)
	for partition, member := range owners {
		if partition.Number != slot {
			continue
		}
		for _, h := range f.hosts {
			if h.member() == member {
				return h, nil
			}
		}
	}

	return nil, errors.New("the slot has no owner")
}

// awaitOwners waits until each slot has an owner that is a host, and the owners have not changed for a time.
func (f *fleet) awaitOwners() error {
	last, since := "", time.Now()
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		owners, err := platform.NewStore(f.store.Address()).ListPartitionOwners(context.Background(), "slots")
		if err != nil {
			return err
		}
		text := ""
		for number := range partitions {
			for partition, member := range owners {
				if partition.Number == number {
					text += member + " "
				}
			}
		}
		if text != last || len(owners) < partitions {
			last, since = text, time.Now()
		}
		if time.Since(since) > 2*time.Second {
			return nil
		}
	}

	return errors.New("the slots have no owners")
}

// executions returns the requests that runners have run.
func (f *fleet) executions() []standin.ExecutedRequest {
	var all []standin.ExecutedRequest
	for _, engine := range f.engines {
		all = append(all, engine.ExecutedRequests()...)
	}

	return all
}

// execution returns the run of a request, and false if there is none.
func (f *fleet) execution(requestID string) (standin.ExecutedRequest, bool) {
	for _, request := range f.executions() {
		if request.RequestID() == requestID {
			return request, true
		}
	}

	return standin.ExecutedRequest{}, false
}

// newID returns an id of a request, a program or a session.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func main() {
	cases := map[string]func(*fleet) (broken bool, err error){
		"budget": playBudget, "resume": playResume, "ids": playIDs, "drain": playDrain, "charge": playCharge, "memory": playMemory, "tenants": playTenants, "programs": playPrograms, "retention": playRetention,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: cases NAME RECORD")
		os.Exit(2)
	}
	f, err := newFleet(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	broken, err := cases[os.Args[1]](f)
	switch {
	case err != nil:
		f.record("the case could not run: %v", err)
	case broken:
		f.record("the rule was broken")
	default:
		f.record("the rule held")
	}
	f.close()
	switch {
	case err != nil:
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}
