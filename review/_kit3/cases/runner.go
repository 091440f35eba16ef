package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Run is a request that a runner has begun to work on.
type Run struct {
	Runner, ID, Tenant, Path, Body string
	Header                         http.Header
	At                             time.Time
}

// Runner is a server of a service, which behaves as PROTOCOL.md says.
type Runner struct {
	fleet   *Fleet
	Service string
	address string
	// Events is the number of events of a stream, and EventGap the time between two of them.
	Events   int
	EventGap time.Duration
	Work     time.Duration
	// DownFor is how long the runner is down after a request has crashed it.
	DownFor time.Duration
	// Crashes reports whether a request crashes the runner that begins to run it; nil means that none does.
	Crashes func(body string) bool
	// CrashesLate is set if the runner has sent a part of its answer before it crashes.
	CrashesLate bool

	mu     sync.Mutex
	id     string
	starts int
	born   time.Time
	server *http.Server
	Runs   []Run
}

// AddRunner adds a runner at an address of its own.
func (f *Fleet) AddRunner(service string) *Runner {
	r := &Runner{fleet: f, Service: service, address: fmt.Sprintf("%s.%d:8080", f.network, 101+len(f.Runners)), Events: 4, EventGap: 10 * time.Millisecond, Work: 5 * time.Millisecond}
	f.Runners = append(f.Runners, r)

	return r
}

// Start starts the runner under a new id and registers it.
func (r *Runner) Start() error {
	listener, err := net.Listen("tcp4", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.starts++
	r.id, r.born = fmt.Sprintf("i-%s-%d", strings.NewReplacer(".", "-", ":8080", "").Replace(r.address), r.starts), time.Now()
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	server := r.server
	r.mu.Unlock()
	go server.Serve(listener) //nolint:errcheck // it ends with Stop
	r.register("ready")

	return nil
}

func (r *Runner) register(state string) {
	r.mu.Lock()
	id, born := r.id, r.born
	r.mu.Unlock()
	value, err := json.Marshal(map[string]any{
		"service": r.Service, "address": r.address, "zone": "zone-a", "version": "v1", "slots": 16, "state": state, "cold_remaining_ms": 0,
		"sequence": 1, "born": born.UnixMilli(),
	})
	if err != nil {
		panic(err)
	}
	r.fleet.Store.PutRecord("keyed.servers", id, value)
}

// Stop ends the runner.
func (r *Runner) Stop() {
	r.mu.Lock()
	server := r.server
	r.mu.Unlock()
	if server != nil {
		server.Close()
	}
}

// crash ends the runner and all its connections, and starts it again under a new id. Its entry goes after three heartbeat intervals.
func (r *Runner) crash() {
	r.mu.Lock()
	id := r.id
	r.mu.Unlock()
	r.Stop()
	r.fleet.Log("%s has crashed", id)
	time.AfterFunc(3600*time.Millisecond, func() { r.fleet.Store.PutRecord("keyed.servers", id, nil) })
	time.AfterFunc(r.DownFor, func() {
		if err := r.Start(); err != nil {
			r.fleet.Log("%s does not start again: %v", r.address, err)
		}
	})
}

func (r *Runner) serve(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	id, born := r.id, r.born
	r.mu.Unlock()
	switch {
	case req.Method == http.MethodGet && req.URL.Path == "/health":
		w.Header().Set("Instance-Id", id)

		return
	case req.Method == http.MethodGet && req.URL.Path == "/report":
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"stage":"both","models":[],"busy":false,"sequence":1,"waiting_count":0,"running_count":0,"kv_used":0,"kv_total":637007,"handles":0,"born":%d}`, born.UnixMilli())

		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	w.Header().Set("Request-Id", req.Header.Get("Request-Id"))
	if expected := req.Header.Get("Expect-Instance"); expected != "" && expected != id {
		w.WriteHeader(http.StatusMisdirectedRequest)

		return
	}
	run := Run{
		Runner: id, ID: req.Header.Get("Request-Id"), Tenant: req.Header.Get("Tenant"), Path: req.URL.Path, Body: string(body), Header: req.Header.Clone(), At: time.Now(),
	}
	r.mu.Lock()
	r.Runs = append(r.Runs, run)
	r.mu.Unlock()
	r.fleet.Log("%s runs %s %s of %s", id, run.ID, run.Path, run.Tenant)
	if r.Crashes != nil && r.Crashes(run.Body) {
		if r.CrashesLate {
			w.Header().Set("Response-Signature", "sig-"+run.ID)
			w.Header().Set("Content-Length", "800")
			io.WriteString(w, strings.Repeat("x", 400)) //nolint:errcheck // the runner crashes
			http.NewResponseController(w).Flush()       //nolint:errcheck // the runner crashes
			time.Sleep(r.Work)
		}
		go r.crash()
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		conn.(*net.TCPConn).SetLinger(0) //nolint:errcheck // the connection ends
		conn.Close()

		return
	}
	w.Header().Set("Response-Signature", "sig-"+run.ID)
	if r.Service != "engines" {
		time.Sleep(r.Work)
		text := "done " + run.ID
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		io.WriteString(w, text) //nolint:errcheck // the client has left

		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for event := 1; event <= r.Events; event++ {
		fmt.Fprintf(w, "id: %d\ndata: word %d of %s\n\n", event, event, run.ID)
		http.NewResponseController(w).Flush() //nolint:errcheck // the client has left
		select {
		case <-req.Context().Done():
			return
		case <-time.After(r.EventGap):
		}
	}
}

// AllRuns returns the runs of all runners in the order of time.
func (f *Fleet) AllRuns() []Run {
	var runs []Run
	for _, r := range f.Runners {
		r.mu.Lock()
		runs = append(runs, r.Runs...)
		r.mu.Unlock()
	}

	return runs
}
