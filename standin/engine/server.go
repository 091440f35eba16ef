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
	// maxBodyBytes is the size limit of a request body.
	maxBodyBytes = 32 << 20
	// finishedRequestTTL is the time during which a finished request can be resumed.
	finishedRequestTTL = 10 * time.Second
)

// Server is a stand-in engine that is served over HTTP.
type Server struct {
	*httpx.Server

	config Config
	batch  batch
	cache  cache

	mu                  sync.Mutex
	faults              Faults
	engineRun           string
	requests            map[string]*activeRequest
	loadSamples         []loadSample
	silentByConnAddress map[string]bool
	fencingToken        uint64
	received            []ReceivedRequest
	// crashes counts the simulated crashes.
	crashes int
	// canceled counts the requests that were canceled before they finished.
	canceled int
}

// loadSample is a load report and the time when it was sampled.
type loadSample struct {
	at   time.Time
	load protocol.LoadReport
}

// ReceivedRequest is a request that the engine received, for tests of what an upstream may see.
type ReceivedRequest struct {
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
}

// maxReceivedRequests bounds the recorded requests; later ones are not recorded.
const maxReceivedRequests = 1000

// New binds the address and returns an engine that Start runs.
func New(config Config) (*Server, error) {
	web, err := httpx.NewServer(httpx.Options{Address: config.Address, MaxBodyBytes: maxBodyBytes})
	if err != nil {
		return nil, err
	}
	config = config.withDefaults()
	s := &Server{
		Server:              web,
		config:              config,
		batch:               batch{capacity: config.MaxConcurrentRequests},
		cache:               cache{capacity: config.CacheTokens, eventDelay: config.CacheEventDelay, dropEveryNth: config.DropEveryNthCacheEvent},
		silentByConnAddress: make(map[string]bool),
		engineRun:           id.NewRandom(),
		requests:            make(map[string]*activeRequest),
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

// recordRequest is middleware that records each request and stops responding on silenced connections.
func (s *Server) recordRequest(ctx context.Context, c *app.RequestContext) {
	request := ReceivedRequest{Path: string(c.Request.RequestURI()), Headers: make(map[string]string), Body: string(c.Request.Body())}
	c.Request.Header.VisitAll(func(key, value []byte) { request.Headers[string(key)] = string(value) })
	if s.recordUnlessSilent(request, c.RemoteAddr().String()) {
		c.Next(ctx)

		return
	}
	holdConn(ctx)
}

// recordUnlessSilent records a request and that its connection is open, and returns false if the connection was silenced. A
// request that is recorded before its connection is silenced runs.
func (s *Server) recordUnlessSilent(request ReceivedRequest, address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.received) < maxReceivedRequests {
		s.received = append(s.received, request)
	}

	return !s.checkSilenceLocked(address)
}

// isConnSilent reports whether the request's connection was silenced, and otherwise records that it is open.
func (s *Server) isConnSilent(c *app.RequestContext) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.checkSilenceLocked(c.RemoteAddr().String())
}

// checkSilenceLocked is isConnSilent for an address; the caller holds the lock.
func (s *Server) checkSilenceLocked(address string) bool {
	if s.silentByConnAddress[address] {
		return true
	}
	s.silentByConnAddress[address] = false

	return false
}

// maxSilence bounds the time that a silenced connection is held open.
const maxSilence = time.Hour

// holdConn keeps a connection open without a response.
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
		httpx.WriteError(c, apierror.New(apierror.Overloaded, "the engine refuses requests"))

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

// Crash ends all requests and empties the cache, as a crash and restart of the process would.
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

// startRequest starts a request in the background, where it goes on if its stream breaks.
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

// streamChunks writes the chunks of a request from an index on, and keepalive comments while there are none.
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
			out.writer.WriteEvent("", "", []byte("[DONE]")) //nolint:errcheck // the client may have disconnected

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

// chunkWriter writes the chunks of a request to one connection.
type chunkWriter struct {
	server *Server
	c      *app.RequestContext
	writer *sse.Writer
	sent   int
}

func (w *chunkWriter) writeKeepalive() error { return w.writer.WriteComment("keepalive") }

// writeChunk writes a chunk, applies the injected faults and reports whether the stream continues.
func (w *chunkWriter) writeChunk(ctx context.Context, chunk protocol.Chunk) bool {
	faults := w.server.currentFaults()
	if faults.TruncateAfterChunks > 0 && w.sent >= faults.TruncateAfterChunks {
		w.c.GetConn().Close()

		return false
	}
	if faults.EndAfterChunks > 0 && w.sent >= faults.EndAfterChunks {
		return false
	}
	if w.server.isConnSilent(w.c) {
		holdConn(ctx)

		return false
	}
	if w.server.takeWrongRequestFault() {
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
		if w.writer.WriteEvent("", "", data) != nil {
			return false
		}
	}
	w.sent++

	return true
}

// takeWrongRequestFault reports whether the next chunk is to have the id of another request, and counts it off.
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

// loadReportAt samples the load and returns the newest sample that is at least LoadReportDelay old, or else the oldest one.
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
	engineRun := s.engineRun
	s.mu.Unlock()
	httpx.WriteJSON(c, 200, protocol.CacheList{EngineRun: engineRun, Owners: s.cache.listOwners()})
}

func (s *Server) handleCacheEvents(_ context.Context, c *app.RequestContext) {
	from, err := strconv.ParseUint(c.Query("from"), 10, 64)
	if err != nil {
		httpx.WriteError(c, apierror.New(apierror.InvalidRequest, "from is not a sequence number: %q", c.Query("from")))

		return
	}
	events, next := s.cache.eventsSince(from, time.Now())
	s.mu.Lock()
	engineRun := s.engineRun
	s.mu.Unlock()
	httpx.WriteJSON(c, 200, protocol.CacheEvents{EngineRun: engineRun, NextSeq: next, Events: events})
}

func (s *Server) handleReleaseCache(_ context.Context, c *app.RequestContext) {
	var req protocol.CacheRelease
	if err := httpx.DecodeJSON(c.Request.Body(), &req); err != nil {
		httpx.WriteError(c, err)

		return
	}
	if s.currentFaults().RefuseCacheRelease {
		httpx.WriteError(c, apierror.New(apierror.Overloaded, "the engine refuses cache releases"))

		return
	}
	if err := s.checkFencingToken(req.FencingToken); err != nil {
		httpx.WriteError(c, err)

		return
	}
	s.cache.releaseOwners(req.Owners)
	httpx.WriteJSON(c, 200, struct{}{})
}

// checkFencingToken returns an error for a fencing token below the highest one seen; zero is a request without a token.
func (s *Server) checkFencingToken(token uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if token != 0 && token < s.fencingToken && !s.config.IgnoreFencingToken {
		return apierror.New(apierror.SettingsConflict, "the fencing token %d is older than %d", token, s.fencingToken)
	}
	s.fencingToken = max(s.fencingToken, token)

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

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	if faults.SilenceOpenConns {
		for address := range s.silentByConnAddress {
			s.silentByConnAddress[address] = true
		}
	}
}

// CacheOwner is an owner of cached prefixes with its cached tokens.
type CacheOwner = protocol.CacheOwner

// ListCacheOwners returns the cached tokens of each owner.
func (s *Server) ListCacheOwners() []CacheOwner { return s.cache.listOwners() }

// AddCacheOwner caches a prefix for an owner that sent no request.
func (s *Server) AddCacheOwner(owner string) {
	s.cache.store([]prompt.Message{{Role: "user", Content: owner}}, owner)
}

// EngineRun returns the id of the engine's current run, which changes with each crash.
func (s *Server) EngineRun() string {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.engineRun
}

// CrashCount returns the number of simulated crashes.
func (s *Server) CrashCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.crashes
}

// CanceledCount returns the number of requests that were canceled before they finished.
func (s *Server) CanceledCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.canceled
}

// ReceivedRequests returns the requests that the engine received, up to a limit.
func (s *Server) ReceivedRequests() []ReceivedRequest {
	s.mu.Lock()
	defer s.mu.Unlock()

	return slices.Clone(s.received)
}

// ReceivedRequestList is the JSON list of received requests.
type ReceivedRequestList struct {
	Requests []ReceivedRequest `json:"requests"`
}

func (s *Server) handleListReceived(_ context.Context, c *app.RequestContext) {
	httpx.WriteJSON(c, 200, ReceivedRequestList{Requests: s.ReceivedRequests()})
}
