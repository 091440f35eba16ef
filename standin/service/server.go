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

// maxBodyBytes bounds a request in bytes.
const maxBodyBytes = 4 << 20

// Config says what service to play.
type Config struct {
	Address string
	// Idempotent makes the service run each key once and repeat its answer.
	Idempotent bool
	// KnowsOutcomes lets callers ask what became of a key.
	KnowsOutcomes bool
}

// Faults switch the service's failures on.
type Faults struct {
	// ResponseDelayMillis delays each answer after the effect.
	ResponseDelayMillis int64 `json:"slow-ms"`
	// HoldResponses runs calls and does not answer them until the fault is switched off.
	HoldResponses bool `json:"hang"`
	// RefuseCalls answers new calls with 503 and without effect.
	RefuseCalls bool `json:"refuse"`
	// LostResponses is how many of the next calls take effect without an answer.
	LostResponses int `json:"lose-answers"`
}

// Effect is one run of a call.
type Effect struct {
	Path           string            `json:"path"`
	IdempotencyKey string            `json:"key"`
	Body           string            `json:"body"`
	Number         int               `json:"number"`
	Headers        map[string]string `json:"headers"`
}

// Response is what the service returns for a call.
type Response struct {
	Confirmation string `json:"confirmation"`
	Path         string `json:"path"`
}

// Server is one plain service.
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

// maxHoldDuration ends a hanging call at the latest.
const maxHoldDuration = time.Hour

func (s *Server) handleCall(_ context.Context, c *app.RequestContext) {
	if s.Faults().RefuseCalls {
		httpx.WriteError(c, apierror.New(apierror.Overloaded, "the service takes no calls"))

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

// execute runs a call's effect and returns its answer with the faults to apply.
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

// SetFaults replaces the faults; calls that hang are answered.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
}

// Faults returns the faults in force.
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

// Effects returns all that the service ran.
func (s *Server) Effects() []Effect {
	s.mu.Lock()
	defer s.mu.Unlock()

	return slices.Clone(s.effects)
}

// EffectList is all that the service ran.
type EffectList struct {
	Effects []Effect `json:"effects"`
}

func (s *Server) handleListEffects(_ context.Context, c *app.RequestContext) {
	httpx.WriteJSON(c, 200, EffectList{Effects: s.Effects()})
}
