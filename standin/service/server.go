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

// maxBody bounds a request in bytes.
const maxBody = 4 << 20

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
	// SlowMillis delays each answer after the effect.
	SlowMillis int64 `json:"slow-ms"`
	// Hang runs calls and does not answer them until the fault is switched off.
	Hang bool `json:"hang"`
	// Refuse answers new calls with 503 and without effect.
	Refuse bool `json:"refuse"`
	// LoseAnswers is how many of the next calls take effect without an answer.
	LoseAnswers int `json:"lose-answers"`
}

// Effect is one run of a call.
type Effect struct {
	Path    string            `json:"path"`
	Key     string            `json:"key"`
	Body    string            `json:"body"`
	Number  int               `json:"number"`
	Headers map[string]string `json:"headers"`
}

// Answer is what the service returns for a call.
type Answer struct {
	Confirmation string `json:"confirmation"`
	Path         string `json:"path"`
}

// Server is one plain service.
type Server struct {
	*httpx.Server

	config   Config
	mu       sync.Mutex
	faults   Faults
	changed  chan struct{}
	effects  []Effect
	outcomes map[string]Answer
}

// New binds the address and returns a service that Start runs.
func New(config Config) (*Server, error) {
	web, err := httpx.NewServer(httpx.Options{Address: config.Address, MaxBodyBytes: maxBody})
	if err != nil {
		return nil, err
	}
	s := &Server{Server: web, config: config, changed: make(chan struct{}), outcomes: make(map[string]Answer)}
	web.PUT("/faults", s.setFaults)
	web.GET("/effects", s.listEffects)
	web.GET("/outcomes/:key", s.outcome)
	web.POST("/*path", s.call)

	return s, nil
}

// hangLimit ends a hanging call at the latest.
const hangLimit = time.Hour

func (s *Server) call(_ context.Context, c *app.RequestContext) {
	if s.Faults().Refuse {
		httpx.WriteError(c, apierror.New(apierror.Overloaded, "the service takes no calls"))

		return
	}
	answer, faults := s.perform(c)
	if faults.Hang {
		s.hang()
	}
	time.Sleep(time.Duration(faults.SlowMillis) * time.Millisecond)
	if faults.LoseAnswers > 0 {
		c.GetConn().Close()

		return
	}
	httpx.WriteJSON(c, 200, answer)
}

// perform runs a call's effect and returns its answer with the faults to apply.
func (s *Server) perform(c *app.RequestContext) (Answer, Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults := s.faults
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
	}
	key := string(c.Request.Header.Peek("Idempotency-Key"))
	if answer, ok := s.outcomes[key]; ok && key != "" && s.config.Idempotent {
		return answer, faults
	}
	effect := Effect{
		Path:    c.Param("path"),
		Key:     key,
		Body:    string(c.Request.Body()),
		Number:  len(s.effects) + 1,
		Headers: make(map[string]string),
	}
	c.Request.Header.VisitAll(func(name, value []byte) { effect.Headers[string(name)] = string(value) })
	s.effects = append(s.effects, effect)
	answer := Answer{Confirmation: fmt.Sprintf("confirmed-%d", effect.Number), Path: effect.Path}
	s.outcomes[key] = answer

	return answer, faults
}

func (s *Server) outcome(_ context.Context, c *app.RequestContext) {
	s.mu.Lock()
	answer, ok := s.outcomes[c.Param("key")]
	s.mu.Unlock()
	if !ok || !s.config.KnowsOutcomes {
		httpx.WriteError(c, apierror.New(apierror.NotFound, "no outcome for key %q", c.Param("key")))

		return
	}
	httpx.WriteJSON(c, 200, answer)
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

// SetFaults replaces the faults; calls that hang are answered.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	close(s.changed)
	s.changed = make(chan struct{})
}

// Faults returns the faults in force.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.faults
}

// hang waits until the faults change.
func (s *Server) hang() {
	s.mu.Lock()
	changed := s.changed
	s.mu.Unlock()
	select {
	case <-changed:
	case <-time.After(hangLimit):
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

func (s *Server) listEffects(_ context.Context, c *app.RequestContext) {
	httpx.WriteJSON(c, 200, EffectList{Effects: s.Effects()})
}
