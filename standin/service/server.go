package service

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"cardamomward/core/apierror"
	"cardamomward/io/httpx"
)

// maxBodyBytes is the size limit of a request body.
const maxBodyBytes = 4 << 20

// Config configures a stand-in service.
type Config struct {
	Address string
	// Idempotent makes the service execute each idempotency key once and replay its response.
	Idempotent bool
	// KnowsOutcomes makes the service serve the outcome of an idempotency key.
	KnowsOutcomes bool
}

// Faults are injected failures.
type Faults struct {
	// ResponseDelayMillis delays each response after the execution, in milliseconds.
	ResponseDelayMillis int64 `json:"slow-ms"`
	// HoldResponses executes calls and holds their responses until the faults change.
	HoldResponses bool `json:"hang"`
	// RefuseCalls refuses new calls with status 503 without executing them.
	RefuseCalls bool `json:"refuse"`
	// LostResponses is how many of the next calls are executed but get no response.
	LostResponses int `json:"lose-answers"`
}

// Effect is an execution of a call.
type Effect struct {
	Path           string            `json:"path"`
	IdempotencyKey string            `json:"key"`
	Body           string            `json:"body"`
	Number         int               `json:"number"`
	Headers        map[string]string `json:"headers"`
}

// Response is the JSON response to a call.
type Response struct {
	Confirmation string `json:"confirmation"`
	Path         string `json:"path"`
}

// Server is a stand-in service that is served over HTTP.
type Server struct {
	*httpx.Server

	config        Config
	mu            sync.Mutex
	faults        Faults
	faultsChanged chan struct{}
	effects       []Effect
	outcomes      map[string]Response
}

// New binds the address and returns a service that Start runs.
func New(config Config) (*Server, error) {
	web, err := httpx.NewServer(httpx.Options{Address: config.Address, MaxBodyBytes: maxBodyBytes})
	if err != nil {
		return nil, err
	}
	s := &Server{Server: web, config: config, faultsChanged: make(chan struct{}), outcomes: make(map[string]Response)}
	web.PUT("/faults", s.handleSetFaults)
	web.GET("/effects", s.handleListEffects)
	web.GET("/outcomes/:key", s.handleOutcome)
	web.POST("/*path", s.handleCall)

	return s, nil
}

// maxHoldDuration is how long a response is held at most.
const maxHoldDuration = time.Hour

func (s *Server) handleCall(_ context.Context, c *app.RequestContext) {
	if s.Faults().RefuseCalls {
		httpx.WriteError(c, apierror.New(apierror.Overloaded, "the service refuses calls"))

		return
	}
	response, faults := s.execute(c)
	if faults.HoldResponses {
		s.waitForFaultChange()
	}
	time.Sleep(time.Duration(faults.ResponseDelayMillis) * time.Millisecond)
	if faults.LostResponses > 0 {
		c.GetConn().Close()

		return
	}
	httpx.WriteJSON(c, 200, response)
}

// execute executes a call, or replays the response of its key, and returns the response and the faults to apply.
func (s *Server) execute(c *app.RequestContext) (Response, Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults := s.faults
	if s.faults.LostResponses > 0 {
		s.faults.LostResponses--
	}
	key := string(c.Request.Header.Peek("Idempotency-Key"))
	if response, ok := s.outcomes[key]; ok && key != "" && s.config.Idempotent {
		return response, faults
	}
	effect := Effect{
		Path:           c.Param("path"),
		IdempotencyKey: key,
		Body:           string(c.Request.Body()),
		Number:         len(s.effects) + 1,
		Headers:        make(map[string]string),
	}
	c.Request.Header.VisitAll(func(name, value []byte) { effect.Headers[string(name)] = string(value) })
	s.effects = append(s.effects, effect)
	response := Response{Confirmation: fmt.Sprintf("confirmed-%d", effect.Number), Path: effect.Path}
	s.outcomes[key] = response

	return response, faults
}

func (s *Server) handleOutcome(_ context.Context, c *app.RequestContext) {
	s.mu.Lock()
	response, ok := s.outcomes[c.Param("key")]
	s.mu.Unlock()
	if !ok || !s.config.KnowsOutcomes {
		httpx.WriteError(c, apierror.New(apierror.NotFound, "no outcome for key %q", c.Param("key")))

		return
	}
	httpx.WriteJSON(c, 200, response)
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

// SetFaults replaces the injected faults and sends the responses that are held.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
}

// Faults returns the injected faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.faults
}

// waitForFaultChange waits until the faults change.
func (s *Server) waitForFaultChange() {
	s.mu.Lock()
	changed := s.faultsChanged
	s.mu.Unlock()
	select {
	case <-changed:
	case <-time.After(maxHoldDuration):
	}
}

// Effects returns the executions so far, oldest first.
func (s *Server) Effects() []Effect {
	s.mu.Lock()
	defer s.mu.Unlock()

	return slices.Clone(s.effects)
}

// EffectList is the JSON list of executions.
type EffectList struct {
	Effects []Effect `json:"effects"`
}

func (s *Server) handleListEffects(_ context.Context, c *app.RequestContext) {
	httpx.WriteJSON(c, 200, EffectList{Effects: s.Effects()})
}
