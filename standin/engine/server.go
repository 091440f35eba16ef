package engine

import (
	"context"
	"encoding/json"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"cardamomward/core/apierror"
	"cardamomward/core/id"
	"cardamomward/core/prompt"
	protocol "cardamomward/io/engineclient"
	"cardamomward/io/httpx"
)

const (
	// maxBody bounds a request in bytes.
	maxBody = 32 << 20
	// keepFinished is how long a finished request can be resumed.
	keepFinished = 10 * time.Second
)

// Server is one engine.
type Server struct {
	*httpx.Server

	config Config
	batch  batch
	cache  cache

	mu     sync.Mutex
	faults Faults
	run    string
	runs   map[string]*run
	load   []loadSample
	conns  map[string]bool
	fence  uint64
	seen   []SeenRequest
	// crashes counts the processes that have ended.
	crashes int
	// canceled counts the requests that were cancelled while they ran.
	canceled int
}

type loadSample struct {
	at   time.Time
	load protocol.LoadReport
}

// SeenRequest is what reached the engine, for tests of what an upstream may see.
type SeenRequest struct {
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
}

// maxSeen bounds the requests that are remembered.
const maxSeen = 1000

// New binds the address and returns an engine that Start runs.
func New(config Config) (*Server, error) {
	web, err := httpx.NewServer(httpx.Options{Address: config.Address, MaxBodyBytes: maxBody})
	if err != nil {
		return nil, err
	}
	config = config.withDefaults()
	s := &Server{
		Server: web,
		config: config,
		batch:  batch{slots: config.Slots},
		cache:  cache{capacity: config.CacheTokens, lag: config.EventLag, gap: config.EventGap},
		conns:  make(map[string]bool),
		run:    id.NewRandom(),
		runs:   make(map[string]*run),
	}
	web.Use(s.remember)
	web.POST("/v1/chat/completions", s.chat)
	web.GET("/v1/requests/:id", s.resume)
	web.DELETE("/v1/requests/:id", s.cancel)
	web.GET("/v1/load", s.report)
	web.GET("/v1/cache", s.listCache)
	web.GET("/v1/cache/events", s.cacheEvents)
	web.POST("/v1/cache/release", s.releaseCache)
	web.PUT("/v1/faults", s.setFaults)
	web.GET("/v1/seen", s.listSeen)

	return s, nil
}

// remember notes what reached the engine.
func (s *Server) remember(ctx context.Context, c *app.RequestContext) {
	seen := SeenRequest{Path: string(c.Request.RequestURI()), Headers: make(map[string]string), Body: string(c.Request.Body())}
	c.Request.Header.VisitAll(func(key, value []byte) { seen.Headers[string(key)] = string(value) })
	s.mu.Lock()
	if len(s.seen) < maxSeen {
		s.seen = append(s.seen, seen)
	}
	s.mu.Unlock()
	if s.silent(c) {
		hush(ctx)

		return
	}
	c.Next(ctx)
}

// silent reports whether the request's connection has gone silent, and otherwise notes that it is open.
func (s *Server) silent(c *app.RequestContext) bool {
	address := c.RemoteAddr().String()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns[address] {
		return true
	}
	s.conns[address] = false

	return false
}

// hushLimit ends a silent connection at the latest.
const hushLimit = time.Hour

// hush keeps a connection open without a word.
func hush(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(hushLimit):
	}
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.faults
}

func (s *Server) chat(ctx context.Context, c *app.RequestContext) {
	var req protocol.ChatRequest
	if err := httpx.DecodeJSON(c.Request.Body(), &req); err != nil {
		httpx.WriteError(c, err)

		return
	}
	faults := s.currentFaults()
	if faults.Refuse {
		httpx.WriteError(c, apierror.New(apierror.Overloaded, "the engine takes no requests"))

		return
	}
	if req.RequestID == "" {
		req.RequestID = id.NewRandom()
	}
	r := s.begin(&req)
	if faults.CrashOn != "" && contains(&req, faults.CrashOn) {
		time.AfterFunc(time.Duration(faults.CrashAfterMillis)*time.Millisecond, s.Crash)
	}
	s.stream(ctx, c, r, 0)
}

func contains(req *protocol.ChatRequest, marker string) bool {
	for _, m := range req.Messages {
		if strings.Contains(m.Content, marker) {
			return true
		}
	}

	return false
}

// Crash ends all requests and empties the cache, as a new process would find it.
func (s *Server) Crash() {
	if s.config.CrashExits {
		os.Exit(CrashCode)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.runs {
		r.cancel()
		close(r.crashed)
	}
	s.runs = make(map[string]*run)
	s.run = id.NewRandom()
	s.crashes++
	s.cache.clear()
}

// begin starts a request in the background; a cut stream leaves it running.
func (s *Server) begin(req *protocol.ChatRequest) *run {
	ctx, cancel := context.WithCancel(context.Background())
	r := &run{process: s.RunID(), id: req.RequestID, owner: req.CacheOwner, cancel: cancel, changed: make(chan struct{}), crashed: make(chan struct{})}
	s.mu.Lock()
	s.runs[r.id] = r
	s.mu.Unlock()
	go func() {
		defer cancel()
		s.generate(ctx, r, req)
		time.AfterFunc(keepFinished, func() { s.forget(r.id) })
	}()

	return r
}

func (s *Server) forget(requestID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.runs, requestID)
}

// stream writes a run's chunks from an index on, and signs of life while there are none.
func (s *Server) stream(ctx context.Context, c *app.RequestContext, r *run, index int) {
	c.Response.Header.Set(protocol.HeaderEngineRun, r.process)
	out := &output{server: s, c: c, writer: sse.NewWriter(c)}
	keepalive := s.config.Keepalive
	if keepalive <= 0 {
		keepalive = hushLimit
	} else if out.comment() != nil {
		return
	}
	ticker := time.NewTicker(keepalive)
	defer ticker.Stop()
	for {
		chunks, finished, changed := r.from(index)
		for _, chunk := range chunks {
			if !out.write(ctx, chunk) {
				return
			}
			index++
		}
		if finished {
			out.writer.WriteEvent("", "", []byte("[DONE]")) //nolint:errcheck // the reader may be gone

			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		case <-r.crashed:
			c.GetConn().Close()

			return
		case <-ticker.C:
			if s.silent(c) {
				hush(ctx)

				return
			}
			if out.comment() != nil {
				return
			}
		}
	}
}

// output is one connection on which a run's chunks go out.
type output struct {
	server *Server
	c      *app.RequestContext
	writer *sse.Writer
	sent   int
}

func (o *output) comment() error { return o.writer.WriteComment("keepalive") }

// write sends a chunk with the faults in force and reports whether the stream goes on.
func (o *output) write(ctx context.Context, chunk protocol.Chunk) bool {
	faults := o.server.currentFaults()
	if faults.CutAfter > 0 && o.sent >= faults.CutAfter {
		o.c.GetConn().Close()

		return false
	}
	if faults.EndAfter > 0 && o.sent >= faults.EndAfter {
		return false
	}
	if o.server.silent(o.c) {
		hush(ctx)

		return false
	}
	if o.server.cross() {
		chunk.ID = "crossed"
	}
	data, err := json.Marshal(chunk)
	if err != nil {
		return false
	}
	copies := 1
	if faults.Repeated {
		copies++
	}
	for range copies {
		if o.writer.WriteEvent("", "", data) != nil {
			return false
		}
	}
	o.sent++

	return true
}

// cross reports whether the next chunk goes out under another request's id.
func (s *Server) cross() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Crossed == 0 {
		return false
	}
	s.faults.Crossed--

	return true
}

func (s *Server) lookup(requestID string) (*run, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.runs[requestID]

	return r, ok
}

func (s *Server) resume(ctx context.Context, c *app.RequestContext) {
	r, ok := s.lookup(c.Param("id"))
	if !ok {
		httpx.WriteError(c, apierror.New(apierror.NotFound, "no request %q", c.Param("id")))

		return
	}
	from, err := strconv.Atoi(c.Query("from"))
	if err != nil || from < 0 {
		httpx.WriteError(c, apierror.New(apierror.InvalidRequest, "from is not an index: %q", c.Query("from")))

		return
	}
	s.stream(ctx, c, r, from)
}

func (s *Server) cancel(_ context.Context, c *app.RequestContext) {
	r, ok := s.lookup(c.Param("id"))
	if ok {
		r.cancel()
		s.forget(r.id)
		if _, finished, _ := r.from(0); !finished {
			s.mu.Lock()
			s.canceled++
			s.mu.Unlock()
		}
	}
	httpx.WriteJSON(c, 200, struct{}{})
}

func (s *Server) report(_ context.Context, c *app.RequestContext) {
	httpx.WriteJSON(c, 200, s.loadAt(time.Now()))
}

// loadAt samples the load and returns the report as it stood before the lag.
func (s *Server) loadAt(now time.Time) protocol.LoadReport {
	running, waiting := s.batch.counts()
	s.mu.Lock()
	defer s.mu.Unlock()
	current := protocol.LoadReport{
		EngineRun:              s.run,
		Model:                  s.config.Model,
		MaxConcurrentCalls:     s.config.Slots,
		RunningCalls:           running,
		QueuedCalls:            waiting,
		CacheTokens:            s.cache.size(),
		CacheCapacityTokens:    s.config.CacheTokens,
		PrefillTokensPerSecond: s.config.PrefillPerSecond,
		FencingToken:           s.fence,
	}
	s.load = append(s.load, loadSample{at: now, load: current})
	for len(s.load) > 1 && !s.load[1].at.After(now.Add(-s.config.LoadLag)) {
		s.load = s.load[1:]
	}
	report := s.load[0].load
	report.ReportAgeMillis = now.Sub(s.load[0].at).Milliseconds()

	return report
}

func (s *Server) listCache(_ context.Context, c *app.RequestContext) {
	s.mu.Lock()
	runID := s.run
	s.mu.Unlock()
	httpx.WriteJSON(c, 200, protocol.CacheList{EngineRun: runID, Owners: s.cache.list()})
}

func (s *Server) cacheEvents(_ context.Context, c *app.RequestContext) {
	from, err := strconv.ParseUint(c.Query("from"), 10, 64)
	if err != nil {
		httpx.WriteError(c, apierror.New(apierror.InvalidRequest, "from is not a sequence number: %q", c.Query("from")))

		return
	}
	events, next := s.cache.since(from, time.Now())
	s.mu.Lock()
	runID := s.run
	s.mu.Unlock()
	httpx.WriteJSON(c, 200, protocol.CacheEvents{EngineRun: runID, NextSeq: next, Events: events})
}

func (s *Server) releaseCache(_ context.Context, c *app.RequestContext) {
	var req protocol.CacheRelease
	if err := httpx.DecodeJSON(c.Request.Body(), &req); err != nil {
		httpx.WriteError(c, err)

		return
	}
	if s.currentFaults().RefuseRelease {
		httpx.WriteError(c, apierror.New(apierror.Overloaded, "the engine takes no releases"))

		return
	}
	if err := s.checkFence(req.FencingToken); err != nil {
		httpx.WriteError(c, err)

		return
	}
	s.cache.release(req.Owners)
	httpx.WriteJSON(c, 200, struct{}{})
}

// checkFence refuses a fencing number that is older than the latest one; zero stands for a request without one.
func (s *Server) checkFence(fence uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if fence != 0 && fence < s.fence && !s.config.IgnoreFence {
		return apierror.New(apierror.SettingsConflict, "the fencing number %d is older than %d", fence, s.fence)
	}
	s.fence = max(s.fence, fence)

	return nil
}

func (s *Server) setFaults(_ context.Context, c *app.RequestContext) {
	var faults Faults
	if err := httpx.DecodeJSON(c.Request.Body(), &faults); err != nil {
		httpx.WriteError(c, err)

		return
	}
	s.SetFaults(faults)
	httpx.WriteJSON(c, 200, faults)
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	if faults.Silent {
		for address := range s.conns {
			s.conns[address] = true
		}
	}
}

// Holding is what the engine holds for an owner.
type Holding = protocol.CacheOwner

// Held returns what the engine holds for each owner.
func (s *Server) Held() []Holding { return s.cache.list() }

// Hold makes the engine hold something for an owner that never called.
func (s *Server) Hold(owner string) {
	s.cache.store([]prompt.Message{{Role: "user", Content: owner}}, owner)
}

// RunID identifies the engine's process; it changes with each crash.
func (s *Server) RunID() string {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.run
}

// Crashes returns how often the engine has crashed.
func (s *Server) Crashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.crashes
}

// Canceled returns how many requests were cancelled while they ran.
func (s *Server) Canceled() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.canceled
}

// Seen returns what reached the engine.
func (s *Server) Seen() []SeenRequest {
	s.mu.Lock()
	defer s.mu.Unlock()

	return slices.Clone(s.seen)
}

// SeenList is what reached an upstream.
type SeenList struct {
	Requests []SeenRequest `json:"requests"`
}

func (s *Server) listSeen(_ context.Context, c *app.RequestContext) {
	httpx.WriteJSON(c, 200, SeenList{Requests: s.Seen()})
}
