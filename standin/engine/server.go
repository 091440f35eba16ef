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
	// maxBodyBytes bounds a request in bytes.
	maxBodyBytes = 32 << 20
	// finishedRequestTTL is how long a finished request can be resumed.
	finishedRequestTTL = 10 * time.Second
)

// Server is one engine.
type Server struct {
	*httpx.Server

	config Config
	batch  batch
	cache  cache

	mu           sync.Mutex
	faults       Faults
	engineRun    string
	requests     map[string]*activeRequest
	loadSamples  []loadSample
	connIsSilent map[string]bool
	fencingToken uint64
	received     []ReceivedRequest
	// crashes counts the processes that have ended.
	crashes int
	// canceled counts the requests that were cancelled while they ran.
	canceled int
}

type loadSample struct {
	at   time.Time
	load protocol.LoadReport
}

// ReceivedRequest is what reached the engine, for tests of what an upstream may see.
type ReceivedRequest struct {
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
}

// maxReceivedRequests bounds the requests that are remembered.
const maxReceivedRequests = 1000

// New binds the address and returns an engine that Start runs.
func New(config Config) (*Server, error) {
	web, err := httpx.NewServer(httpx.Options{Address: config.Address, MaxBodyBytes: maxBodyBytes})
	if err != nil {
		return nil, err
	}
	config = config.withDefaults()
	s := &Server{
		Server:       web,
		config:       config,
		batch:        batch{capacity: config.MaxConcurrentRequests},
		cache:        cache{capacity: config.CacheTokens, eventDelay: config.CacheEventDelay, dropEveryNth: config.DropEveryNthCacheEvent},
		connIsSilent: make(map[string]bool),
		engineRun:    id.NewRandom(),
		requests:     make(map[string]*activeRequest),
	}
	web.Use(s.recordRequest)
	web.POST("/v1/chat/completions", s.handleChat)
	web.GET("/v1/requests/:id", s.handleResume)
	web.DELETE("/v1/requests/:id", s.handleCancel)
	web.GET("/v1/load", s.handleLoad)
	web.GET("/v1/cache", s.handleListCache)
	web.GET("/v1/cache/events", s.handleCacheEvents)
	web.POST("/v1/cache/release", s.handleReleaseCache)
	web.PUT("/v1/faults", s.handleSetFaults)
	web.GET("/v1/seen", s.handleListReceived)

	return s, nil
}

// recordRequest notes what reached the engine.
func (s *Server) recordRequest(ctx context.Context, c *app.RequestContext) {
	seen := ReceivedRequest{Path: string(c.Request.RequestURI()), Headers: make(map[string]string), Body: string(c.Request.Body())}
	c.Request.Header.VisitAll(func(key, value []byte) { seen.Headers[string(key)] = string(value) })
	s.mu.Lock()
	if len(s.received) < maxReceivedRequests {
		s.received = append(s.received, seen)
	}
	s.mu.Unlock()
	if s.isConnSilent(c) {
		holdConn(ctx)

		return
	}
	c.Next(ctx)
}

// isConnSilent reports whether the request's connection has gone silent, and otherwise notes that it is open.
func (s *Server) isConnSilent(c *app.RequestContext) bool {
	address := c.RemoteAddr().String()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.connIsSilent[address] {
		return true
	}
	s.connIsSilent[address] = false

	return false
}

// maxSilence ends a silent connection at the latest.
const maxSilence = time.Hour

// holdConn keeps a connection open without a word.
func holdConn(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(maxSilence):
	}
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.faults
}

func (s *Server) handleChat(ctx context.Context, c *app.RequestContext) {
	var req protocol.ChatRequest
	if err := httpx.DecodeJSON(c.Request.Body(), &req); err != nil {
		httpx.WriteError(c, err)

		return
	}
	faults := s.currentFaults()
	if faults.RefuseRequests {
		httpx.WriteError(c, apierror.New(apierror.Overloaded, "the engine takes no requests"))

		return
	}
	if req.RequestID == "" {
		req.RequestID = id.NewRandom()
	}
	r := s.startRequest(&req)
	if faults.CrashOnText != "" && promptContains(&req, faults.CrashOnText) {
		time.AfterFunc(time.Duration(faults.CrashAfterMillis)*time.Millisecond, s.Crash)
	}
	s.streamChunks(ctx, c, r, 0)
}

func promptContains(req *protocol.ChatRequest, marker string) bool {
	for _, m := range req.Messages {
		if strings.Contains(m.Content, marker) {
			return true
		}
	}

	return false
}

// Crash ends all requests and empties the cache, as a new process would find it.
func (s *Server) Crash() {
	if s.config.ExitOnCrash {
		os.Exit(CrashExitCode)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.requests {
		r.cancel()
		close(r.crashed)
	}
	s.requests = make(map[string]*activeRequest)
	s.engineRun = id.NewRandom()
	s.crashes++
	s.cache.clear()
}

// startRequest starts a request in the background; a cut stream leaves it running.
func (s *Server) startRequest(req *protocol.ChatRequest) *activeRequest {
	ctx, cancel := context.WithCancel(context.Background())
	r := &activeRequest{engineRun: s.EngineRun(), id: req.RequestID, owner: req.CacheOwner, cancel: cancel, changed: make(chan struct{}), crashed: make(chan struct{})}
	s.mu.Lock()
	s.requests[r.id] = r
	s.mu.Unlock()
	go func() {
		defer cancel()
		s.generate(ctx, r, req)
		time.AfterFunc(finishedRequestTTL, func() { s.removeRequest(r.id) })
	}()

	return r
}

func (s *Server) removeRequest(requestID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.requests, requestID)
}

// streamChunks writes a run's chunks from an index on, and signs of life while there are none.
func (s *Server) streamChunks(ctx context.Context, c *app.RequestContext, r *activeRequest, index int) {
	c.Response.Header.Set(protocol.HeaderEngineRun, r.engineRun)
	out := &chunkWriter{server: s, c: c, writer: sse.NewWriter(c)}
	keepalive := s.config.KeepaliveInterval
	if keepalive <= 0 {
		keepalive = maxSilence
	} else if out.writeKeepalive() != nil {
		return
	}
	ticker := time.NewTicker(keepalive)
	defer ticker.Stop()
	for {
		chunks, finished, changed := r.chunksFrom(index)
		for _, chunk := range chunks {
			if !out.writeChunk(ctx, chunk) {
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
			if s.isConnSilent(c) {
				holdConn(ctx)

				return
			}
			if out.writeKeepalive() != nil {
				return
			}
		}
	}
}

// chunkWriter is one connection on which a run's chunks go out.
type chunkWriter struct {
	server *Server
	c      *app.RequestContext
	writer *sse.Writer
	sent   int
}

func (o *chunkWriter) writeKeepalive() error { return o.writer.WriteComment("keepalive") }

// writeChunk sends a chunk with the faults in force and reports whether the stream goes on.
func (o *chunkWriter) writeChunk(ctx context.Context, chunk protocol.Chunk) bool {
	faults := o.server.currentFaults()
	if faults.TruncateAfterChunks > 0 && o.sent >= faults.TruncateAfterChunks {
		o.c.GetConn().Close()

		return false
	}
	if faults.EndAfterChunks > 0 && o.sent >= faults.EndAfterChunks {
		return false
	}
	if o.server.isConnSilent(o.c) {
		holdConn(ctx)

		return false
	}
	if o.server.takeWrongRequestFault() {
		chunk.ID = "crossed"
	}
	data, err := json.Marshal(chunk)
	if err != nil {
		return false
	}
	copies := 1
	if faults.RepeatChunks {
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

// takeWrongRequestFault reports whether the next chunk goes out under another request's id.
func (s *Server) takeWrongRequestFault() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.WrongRequestChunks == 0 {
		return false
	}
	s.faults.WrongRequestChunks--

	return true
}

func (s *Server) findRequest(requestID string) (*activeRequest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.requests[requestID]

	return r, ok
}

func (s *Server) handleResume(ctx context.Context, c *app.RequestContext) {
	r, ok := s.findRequest(c.Param("id"))
	if !ok {
		httpx.WriteError(c, apierror.New(apierror.NotFound, "no request %q", c.Param("id")))

		return
	}
	from, err := strconv.Atoi(c.Query("from"))
	if err != nil || from < 0 {
		httpx.WriteError(c, apierror.New(apierror.InvalidRequest, "from is not an index: %q", c.Query("from")))

		return
	}
	s.streamChunks(ctx, c, r, from)
}

func (s *Server) handleCancel(_ context.Context, c *app.RequestContext) {
	r, ok := s.findRequest(c.Param("id"))
	if ok {
		r.cancel()
		s.removeRequest(r.id)
		if _, finished, _ := r.chunksFrom(0); !finished {
			s.mu.Lock()
			s.canceled++
			s.mu.Unlock()
		}
	}
	httpx.WriteJSON(c, 200, struct{}{})
}

func (s *Server) handleLoad(_ context.Context, c *app.RequestContext) {
	httpx.WriteJSON(c, 200, s.loadReportAt(time.Now()))
}

// loadReportAt samples the load and returns the report as it stood before the lag.
func (s *Server) loadReportAt(now time.Time) protocol.LoadReport {
	running, waiting := s.batch.counts()
	s.mu.Lock()
	defer s.mu.Unlock()
	current := protocol.LoadReport{
		EngineRun:              s.engineRun,
		Model:                  s.config.Model,
		MaxConcurrentCalls:     s.config.MaxConcurrentRequests,
		RunningCalls:           running,
		QueuedCalls:            waiting,
		CacheTokens:            s.cache.usedTokens(),
		CacheCapacityTokens:    s.config.CacheTokens,
		PrefillTokensPerSecond: s.config.PrefillTokensPerSecond,
		FencingToken:           s.fencingToken,
	}
	s.loadSamples = append(s.loadSamples, loadSample{at: now, load: current})
	for len(s.loadSamples) > 1 && !s.loadSamples[1].at.After(now.Add(-s.config.LoadReportDelay)) {
		s.loadSamples = s.loadSamples[1:]
	}
	report := s.loadSamples[0].load
	report.ReportAgeMillis = now.Sub(s.loadSamples[0].at).Milliseconds()

	return report
}

func (s *Server) handleListCache(_ context.Context, c *app.RequestContext) {
	s.mu.Lock()
	runID := s.engineRun
	s.mu.Unlock()
	httpx.WriteJSON(c, 200, protocol.CacheList{EngineRun: runID, Owners: s.cache.listOwners()})
}

func (s *Server) handleCacheEvents(_ context.Context, c *app.RequestContext) {
	from, err := strconv.ParseUint(c.Query("from"), 10, 64)
	if err != nil {
		httpx.WriteError(c, apierror.New(apierror.InvalidRequest, "from is not a sequence number: %q", c.Query("from")))

		return
	}
	events, next := s.cache.eventsSince(from, time.Now())
	s.mu.Lock()
	runID := s.engineRun
	s.mu.Unlock()
	httpx.WriteJSON(c, 200, protocol.CacheEvents{EngineRun: runID, NextSeq: next, Events: events})
}

func (s *Server) handleReleaseCache(_ context.Context, c *app.RequestContext) {
	var req protocol.CacheRelease
	if err := httpx.DecodeJSON(c.Request.Body(), &req); err != nil {
		httpx.WriteError(c, err)

		return
	}
	if s.currentFaults().RefuseCacheRelease {
		httpx.WriteError(c, apierror.New(apierror.Overloaded, "the engine takes no releases"))

		return
	}
	if err := s.checkFencingToken(req.FencingToken); err != nil {
		httpx.WriteError(c, err)

		return
	}
	s.cache.releaseOwners(req.Owners)
	httpx.WriteJSON(c, 200, struct{}{})
}

// checkFencingToken refuses a fencing number that is older than the latest one; zero stands for a request without one.
func (s *Server) checkFencingToken(fence uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if fence != 0 && fence < s.fencingToken && !s.config.IgnoreFencingToken {
		return apierror.New(apierror.SettingsConflict, "the fencing number %d is older than %d", fence, s.fencingToken)
	}
	s.fencingToken = max(s.fencingToken, fence)

	return nil
}

func (s *Server) handleSetFaults(_ context.Context, c *app.RequestContext) {
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
	if faults.SilenceOpenConns {
		for address := range s.connIsSilent {
			s.connIsSilent[address] = true
		}
	}
}

// CacheOwner is what the engine holds for an owner.
type CacheOwner = protocol.CacheOwner

// ListCacheOwners returns what the engine holds for each owner.
func (s *Server) ListCacheOwners() []CacheOwner { return s.cache.listOwners() }

// AddCacheOwner makes the engine hold something for an owner that never called.
func (s *Server) AddCacheOwner(owner string) {
	s.cache.store([]prompt.Message{{Role: "user", Content: owner}}, owner)
}

// EngineRun identifies the engine's process; it changes with each crash.
func (s *Server) EngineRun() string {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.engineRun
}

// CrashCount returns how often the engine has crashed.
func (s *Server) CrashCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.crashes
}

// CanceledCount returns how many requests were cancelled while they ran.
func (s *Server) CanceledCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.canceled
}

// ReceivedRequests returns what reached the engine.
func (s *Server) ReceivedRequests() []ReceivedRequest {
	s.mu.Lock()
	defer s.mu.Unlock()

	return slices.Clone(s.received)
}

// ReceivedRequestList is what reached an upstream.
type ReceivedRequestList struct {
	Requests []ReceivedRequest `json:"requests"`
}

func (s *Server) handleListReceived(_ context.Context, c *app.RequestContext) {
	httpx.WriteJSON(c, 200, ReceivedRequestList{Requests: s.ReceivedRequests()})
}
