package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"cardamomward/platform"
	"cardamomward/platform/standin"
)

// Run is a request that a runner has begun to work on.
type Run struct {
	Runner, ID, Tenant, Body string
	At                       time.Time
}

// Runner is a server of a service: an upstream of the project's stand-ins, at an address of its own, that may crash and lose answers.
type Runner struct {
	fleet   *Fleet
	Service string
	address string
	// Events is the number of events of a stream, and EventGap the time between two of them; Work is the time of a plain answer.
	Events   int
	EventGap time.Duration
	Work     time.Duration
	// DownFor is how long the runner is down after a request has crashed it.
	DownFor time.Duration
	// Crashes reports whether a request crashes the runner that begins to run it; nil means that none does.
	Crashes func(body string) bool
	// CrashesLate is set if the runner has sent a part of its answer before it crashes.
	CrashesLate bool
	// LosesUntil is until when the runner loses the answers of a share of the requests that it has run.
	LosesUntil time.Time
	LosesShare float64

	mu       sync.Mutex
	starts   int
	upstream *standin.Upstream
	server   *http.Server
	Runs     []Run
}

// AddRunner adds a runner at an address of its own.
func (f *Fleet) AddRunner(service string) *Runner {
	r := &Runner{fleet: f, Service: service, address: fmt.Sprintf("%s.%d:8080", f.network, 101+len(f.Runners)), Work: 5 * time.Millisecond}
	if service == "engines" {
		r.Events, r.EventGap = 4, 10*time.Millisecond
	}
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
	id := fmt.Sprintf("i-%s-%d", strings.NewReplacer(".", "-", ":8080", "").Replace(r.address), r.starts)
	upstream := standin.NewUpstream(id, r.Service, r.Events)
	upstream.EventInterval, upstream.ResponseDelay, upstream.RegisteredAddress = r.EventGap, r.Work, r.address
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { r.serve(w, req, upstream) })}
	r.upstream, r.server = upstream, server
	r.mu.Unlock()
	go server.Serve(listener) //nolint:errcheck // it ends with Stop
	upstream.Register(r.fleet.Store, "ready")

	return nil
}

// Stop ends the runner.
func (r *Runner) Stop() {
	r.mu.Lock()
	server, upstream := r.server, r.upstream
	r.mu.Unlock()
	if server != nil {
		server.Close()
		upstream.Close()
	}
}

// crash ends the runner and all its connections, and starts it again under a new id. Its entry goes after three heartbeat intervals.
func (r *Runner) crash() {
	r.mu.Lock()
	upstream := r.upstream
	r.mu.Unlock()
	r.Stop()
	r.fleet.Log("%s has crashed", upstream.ID)
	time.AfterFunc(3600*time.Millisecond, func() { upstream.Deregister(r.fleet.Store) })
	time.AfterFunc(r.DownFor, func() {
		if err := r.Start(); err != nil {
			r.fleet.Log("%s does not start again: %v", r.address, err)
		}
	})
}

func (r *Runner) serve(w http.ResponseWriter, req *http.Request, upstream *standin.Upstream) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	req.Body = io.NopCloser(bytes.NewReader(body))
	if req.URL.Path == "/report" {
		upstream.Config.Handler.ServeHTTP(w, req)

		return
	}
	run := Run{Runner: upstream.ID, ID: req.Header.Get("Request-Id"), Tenant: req.Header.Get("Tenant"), Body: string(body), At: time.Now()}
	isCrash := r.Crashes != nil && r.Crashes(run.Body)
	r.mu.Lock()
	isLost := time.Now().Before(r.LosesUntil) && rand.Float64() < r.LosesShare
	r.mu.Unlock()
	if !isCrash && !isLost {
		upstream.Config.Handler.ServeHTTP(&runWriter{ResponseWriter: w, onRun: func() { r.noteRun(run) }}, req)

		return
	}
	recorder := httptest.NewRecorder()
	upstream.Config.Handler.ServeHTTP(recorder, req)
	if platform.DecodeResponseHead(recorder.Code, recorder.Header()).NotExecuted {
		copyResponse(w, recorder, recorder.Body.Len())

		return
	}
	r.noteRun(run)
	if isLost {
		r.fleet.Log("%s loses the answer of %s", run.Runner, run.ID)
		panic(http.ErrAbortHandler)
	}
	if r.CrashesLate {
		copyResponse(w, recorder, recorder.Body.Len()/2)
		http.NewResponseController(w).Flush() //nolint:errcheck // the runner crashes
		time.Sleep(r.Work)
	}
	go r.crash()
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	conn.(*net.TCPConn).SetLinger(0) //nolint:errcheck // the connection ends
	conn.Close()
}

func (r *Runner) noteRun(run Run) {
	r.mu.Lock()
	r.Runs = append(r.Runs, run)
	r.mu.Unlock()
	r.fleet.Log("%s runs %s of %s", run.Runner, run.ID, run.Tenant)
}

// runWriter notes a run once the head of a response shows that the runner has not rejected the request.
type runWriter struct {
	http.ResponseWriter

	onRun func()
	once  sync.Once
}

func (w *runWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *runWriter) WriteHeader(status int) {
	w.note(status)
	w.ResponseWriter.WriteHeader(status)
}

func (w *runWriter) Write(p []byte) (int, error) {
	w.note(http.StatusOK)

	return w.ResponseWriter.Write(p)
}

func (w *runWriter) note(status int) {
	w.once.Do(func() {
		if !platform.DecodeResponseHead(status, w.Header()).NotExecuted {
			w.onRun()
		}
	})
}

// copyResponse writes a response with the first bytes of its body.
func copyResponse(w http.ResponseWriter, response *httptest.ResponseRecorder, bytes int) {
	for name, values := range response.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(response.Code)
	w.Write(response.Body.Bytes()[:bytes]) //nolint:errcheck // the client has left
}

// AllRuns returns the runs of all runners.
func (f *Fleet) AllRuns() []Run {
	var runs []Run
	for _, r := range f.Runners {
		r.mu.Lock()
		runs = append(runs, r.Runs...)
		r.mu.Unlock()
	}

	return runs
}
