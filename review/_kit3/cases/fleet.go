// Command cases runs the cases of the third review: gateway processes, as deploy/system.toml starts them, among stand-ins on loopback.
package main

import (
	"cmp"
	"encoding/json"
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

	"cardamomward/platform"
	"cardamomward/platform/standin"
)

// Limits of a small deployment, as the settings of the small sites state them.
const (
	stableWindow   = 3 * time.Second
	quotaWindow    = 5 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 20.0
	gracePeriodS   = 8
	retentionS     = 60
	hostName       = "agents.example"
)

// Fleet is the system, its store and its runners.
type Fleet struct {
	dir     string
	network string
	Store   *standin.Store
	Nodes   []*Node
	Runners []*Runner
	began   time.Time

	mu     sync.Mutex
	record *os.File
	// storeAddress is that of the store in settings; empty means the Store's own.
	storeAddress string
}

// Node is a machine of the system with one gateway process.
type Node struct {
	fleet      *Fleet
	Name, IP   string
	Front      string
	firstStart bool

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	// calmSince is since when nothing has disturbed the process.
	calmSince time.Time
	frozen    bool
}

func newFleet(nodes int) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	path := os.Getenv("RECORD")
	if path == "" {
		path = filepath.Join(dir, "record.txt")
	}
	record, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	f := &Fleet{dir: dir, network: fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(256)), Store: standin.NewStore(), began: time.Now(), record: record}
	for i := range nodes {
		ip := fmt.Sprintf("%s.%d", f.network, i+1)
		f.Nodes = append(f.Nodes, &Node{fleet: f, Name: fmt.Sprintf("front-%d", i+1), IP: ip, Front: ip + ":8368", firstStart: true})
	}

	return f, nil
}

// Log writes a line into the record, with the seconds since the begin.
func (f *Fleet) Log(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.record, "%8.3f  %s\n", time.Since(f.began).Seconds(), fmt.Sprintf(format, args...))
}

// Say writes a line into the record and to the output.
func (f *Fleet) Say(format string, args ...any) {
	f.Log(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close ends all processes that were started.
func (f *Fleet) Close() {
	for _, n := range f.Nodes {
		n.Kill()
	}
	for _, r := range f.Runners {
		r.Stop()
	}
	f.Store.CloseClientConnections()
	f.record.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.dir)
	}
}

// settings returns the settings file of a machine, with the fields and figures of the small sites.
func (n *Node) settings() []byte {
	address := func(port int) string { return net.JoinHostPort(n.IP, strconv.Itoa(port)) }
	data, err := json.Marshal(map[string]any{
		"node_name": n.Name, "role": "gateway", "machine_class": "front", "serves": []string{"front", "directory"}, "ip": n.IP,
		"zone": "zone-a", "region": "region-a", "zones": map[string]string{"zone-a": "region-a"},
		"listen":         map[string]string{"front": address(8368), "ready": address(8369), "directory": address(8360)},
		"internal_ports": []int{7780, 7795}, "seed_nodes": []string{}, "first_start": n.firstStart,
		"limits":    map[string]any{"cpu_share": 0.8, "cpu_cores": 1, "memory_mb": 314, "max_fds": 1024, "link_mbps": 1000.0, "disk_mb": 0},
		"discovery": "platform", "entry": "directory", "heartbeat_interval_ms": 1200,
		"bounds": map[string]any{
			"stable_window_ms": stableWindow.Milliseconds(), "drain_timeout_ms": 2000, "grace_period_s": gracePeriodS, "loss_slack_ms": 200, "config_apply_ms": 2000,
			"quota_window_s": quotaWindow.Seconds(), "quota_overshoot": quotaOvershoot, "quota_slack": quotaSlack, "recovery_s": 12, "ttl_max_s": 5,
		},
		"platform": map[string]any{
			"address": cmp.Or(n.fleet.storeAddress, n.fleet.Store.Address()), "form": "log", "writes_per_s": 800, "reads_per_s": 2000, "parts": 12, "append_ms": 2.0, "record_bytes": 262144,
			"call_bytes": 2097152, "retention_s": 300, "part_mb": 200, "min_ttl_ms": 1000,
		},
	})
	if err != nil {
		panic(err)
	}

	return data
}

// Start starts the machine's process with the command of deploy/system.toml.
func (n *Node) Start() error {
	file := filepath.Join(n.fleet.dir, n.Name+".json")
	if err := os.WriteFile(file, n.settings(), 0o600); err != nil {
		return err
	}
	n.firstStart = false
	output, err := os.OpenFile(filepath.Join(n.fleet.dir, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	cmd := exec.Command("target/cardamomward", "gateway", "--metrics-port", "9464", "--gateway-settings", "deploy/gateway.yaml")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), platform.SettingsFileEnvVar + "=" + file}
	cmd.Stdout, cmd.Stderr = output, output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.done, n.calmSince, n.frozen = cmd, done, time.Now(), false
	n.mu.Unlock()
	n.fleet.Log("%s starts as process %d", n.Name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		n.fleet.Log("%s: process %d has ended: %v", n.Name, cmd.Process.Pid, err)
		close(done)
	}()

	return nil
}

func (n *Node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		n.cmd.Process.Signal(s) //nolint:errcheck // the process may have ended
	}
	n.calmSince = time.Now()
	n.frozen = s == syscall.SIGSTOP || s == syscall.SIGTERM || s == syscall.SIGKILL
}

// Kill ends the process at once and waits for its end.
func (n *Node) Kill() {
	n.mu.Lock()
	done := n.done
	n.mu.Unlock()
	if done == nil {
		return
	}
	n.signal(syscall.SIGKILL)
	<-done
}

// Stop ends the process with SIGTERM, and with SIGKILL after the grace period.
func (n *Node) Stop() {
	n.fleet.Log("%s gets SIGTERM", n.Name)
	n.signal(syscall.SIGTERM)
	n.mu.Lock()
	done := n.done
	n.mu.Unlock()
	select {
	case <-done:
	case <-time.After(gracePeriodS * time.Second):
		n.Kill()
	}
}

// InTouch reports whether nothing has disturbed the machine for stable_window_ms at a time.
func (n *Node) InTouch(at time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()

	return !n.frozen && at.Sub(n.calmSince) >= stableWindow
}

// IsReady asks the machine as the platform does.
func (n *Node) IsReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + n.IP + ":8369/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()

	return resp.StatusCode == http.StatusOK
}

// StartAll starts all machines and waits until they are ready and have run for a time.
func (f *Fleet) StartAll(settle time.Duration) error {
	for _, n := range f.Nodes {
		if err := n.Start(); err != nil {
			return err
		}
	}
	for until := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range f.Nodes {
			if n.IsReady() {
				ready++
			}
		}
		if ready == len(f.Nodes) {
			break
		}
		if time.Now().After(until) {
			return fmt.Errorf("only %d of %d machines are ready", ready, len(f.Nodes))
		}
	}
	time.Sleep(settle)

	return nil
}

// Tenant is a tenant of the configuration.
type Tenant struct {
	Name, Key   string
	Rate, Burst float64
}

// Configure writes the operator's configuration.
func (f *Fleet) Configure(version int, tenants []Tenant, retention float64) {
	stream := func(name, prefix string, retains, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": hostName, "path_prefix": prefix, "kind": "streaming", "timeout_ms": 3000, "target_latency_ms": 200, "priority": 0,
			"service": "engines", "max_attempts": 2, "retains_context": retains, "retention_s": retention, "public": false, "sticky_sessions": true,
			"resumable": resumable, "gap_target_ms": 300,
		}
	}
	plain := func(name, prefix, kind string) map[string]any {
		return map[string]any{
			"name": name, "host": hostName, "path_prefix": prefix, "kind": kind, "timeout_ms": 2000, "target_latency_ms": 100, "priority": 2,
			"service": "desk", "max_attempts": 2, "public": false,
		}
	}
	var list []any
	for _, t := range tenants {
		list = append(list, map[string]any{"name": t.Name, "api_keys": []string{t.Key}, "priority": 1, "rate_per_s": t.Rate, "burst": t.Burst})
	}
	value, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{
			stream("chat", "/chat/", true, false), stream("plan", "/plan/", false, true), plain("look", "/look/", "safe"), plain("order", "/order/", "unsafe"),
		},
		"services": []any{
			map[string]any{
				"name": "engines", "health_path": "/health", "max_connections": 160,
				"engine": map[string]any{"slots": 16, "kv_capacity_tokens": 637007, "tokens_per_event": 30},
			},
			map[string]any{"name": "desk", "health_path": "/health", "max_connections": 160},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": list,
	})
	if err != nil {
		panic(err)
	}
	f.Store.PutRecord(platform.ConfigurationTopic, platform.ConfigurationKey, value)
}

// passage is when a request was sent by its client and when it arrived at the runner that ran it.
type passage struct{ sentAt, arrivedAt time.Time }

// largestWindow returns the largest number of requests that were both sent and arrived within a window, and the begin of that window.
func largestWindow(passed []passage, window time.Duration) (most int, at time.Time) {
	for _, first := range passed {
		count, end := 0, first.sentAt.Add(window)
		for _, other := range passed {
			if !other.sentAt.Before(first.sentAt) && other.arrivedAt.Before(end) {
				count++
			}
		}
		if count > most {
			most, at = count, first.sentAt
		}
	}

	return most, at
}

// isTroubled reports whether the case runs with its disruption.
func isTroubled() bool { return os.Getenv("TROUBLE") != "0" }
