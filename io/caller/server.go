package caller

import (
	"context"
	"errors"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/go-logr/logr"

	"cardamomward/core/apierror"
	"cardamomward/core/id"
	"cardamomward/core/projection"
	"cardamomward/core/settings"
	"cardamomward/io/httpx"
	"cardamomward/io/peer"
	"cardamomward/io/peer/peerpb"
	"cardamomward/io/platformclient"
)

// Locator says which host owns a slot and how to reach it.
type Locator interface {
	// Owner returns the owner of a slot, or a refusal while there is none.
	Owner(slot id.Slot) (peer.SlotOwner, error)
	// Local returns the owner at this host.
	Local() peer.SlotOwner
	// Where returns the address that a caller should use for a program, or for a new one.
	Where(program id.Program, now time.Time) (WhereResponse, error)
}

// Limiter keeps workspaces within their rates.
type Limiter interface {
	// Acquire takes one request of a workspace's rate, or returns a refusal with when to come back.
	Acquire(ctx context.Context, workspace *settings.Workspace, now time.Time) error
}

// Server answers callers.
type Server struct {
	Control *platformclient.ControlPlane
	Locator Locator
	Limiter Limiter
	Logger  logr.Logger
	// MaxBody bounds a request's body in bytes; zero sets no bound.
	MaxBody int

	inflight Inflight
}

const (
	// defaultTimeout bounds a request that names no timeout.
	defaultTimeout = 2 * time.Minute
	// maxTimeout bounds what a request may ask for.
	maxTimeout = 10 * time.Minute
	// moveWait is how long a request waits at its entry host for a slot that changes hands.
	moveWait = 8 * time.Second
)

// Register adds the callers' routes to a web server.
func (s *Server) Register(web *httpx.Server) {
	web.Use(s.guard)
	web.GET("/healthz", func(_ context.Context, c *app.RequestContext) { c.String(200, "ok\n") })
	web.GET("/v1/where", s.where)
	web.POST("/v1/programs", s.open)
	web.GET("/v1/programs/:program", s.get)
	web.GET("/v1/programs/:program/history", s.history)
	web.POST("/v1/programs/:program/end", s.end)
	web.POST("/v1/programs/:program/turns", s.turn)
	web.POST("/v1/chat/completions", s.chat)
	web.GET("/v1/models", s.models)
	web.POST("/v1/services/:service/*path", s.call)
	web.NoMethod(func(_ context.Context, c *app.RequestContext) {
		httpx.Refuse(c, apierror.New(apierror.MethodNotAllowed, "the route %s takes another method than %s", c.Path(), c.Method()))
	})
	web.NoRoute(func(_ context.Context, c *app.RequestContext) {
		httpx.Refuse(c, apierror.New(apierror.NotFound, "there is no route %s %s", c.Method(), c.Path()))
	})
}

// callerKey is where guard leaves the key's state for the handlers.
const callerKey = "caller"

// defaultOpenRoutes need no key even before settings are published.
var defaultOpenRoutes = []string{"/healthz", "/v1/where"}

// guard lets a request pass only on open routes or with a key, and ends it when the key is withdrawn.
func (s *Server) guard(ctx context.Context, c *app.RequestContext) {
	fleet, _ := s.Control.Settings()
	open := fleet.OpenRoutes
	if open == nil {
		open = defaultOpenRoutes
	}
	if slices.Contains(open, string(c.Path())) {
		c.Next(ctx)

		return
	}
	bearer := strings.TrimPrefix(string(c.GetHeader("Authorization")), "Bearer ")
	key, err := s.Control.Authenticate(bearer, time.Now())
	if err != nil {
		httpx.Refuse(c, err)
		c.Abort()

		return
	}
	timeout, err := requestTimeout(c)
	if err != nil {
		httpx.Refuse(c, err)
		c.Abort()

		return
	}
	if size := len(c.Request.Body()); s.MaxBody > 0 && size > s.MaxBody {
		httpx.Refuse(c, apierror.New(apierror.TooLarge, "the body has %d bytes, allowed are %d", size, s.MaxBody))
		c.Abort()

		return
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ctx, done := s.inflight.Begin(ctx, key.ID, c.RemoteAddr())
	defer done()
	c.Set(callerKey, key)
	c.Next(ctx)
}

func requestTimeout(c *app.RequestContext) (time.Duration, error) {
	text := string(c.GetHeader(HeaderTimeout))
	if text == "" {
		return defaultTimeout, nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil || timeout <= 0 || timeout > maxTimeout {
		return 0, apierror.New(apierror.InvalidRequest, "%s is a duration up to %s, such as 30s, not %q", HeaderTimeout, maxTimeout, text)
	}

	return timeout, nil
}

// KeyChanged cancels the requests of keys that have been withdrawn.
func (s *Server) KeyChanged() {
	s.inflight.CancelKeys(s.Control.IsKeyWithdrawn,
		apierror.New(apierror.Unauthenticated, "the key was withdrawn").WithExecution(apierror.ExecutionUnknown))
}

// CancelGone cancels the requests whose callers have closed their connections.
func (s *Server) CancelGone(gone func(net.Addr) bool) {
	s.inflight.CancelGone(gone, apierror.New(apierror.Cancelled, "the caller has gone").WithExecution(apierror.ExecutionUnknown))
}

func caller(c *app.RequestContext) *peerpb.Caller {
	key, _ := c.Value(callerKey).(projection.APIKey)

	return &peerpb.Caller{Workspace: string(key.Workspace), Key: string(key.ID)}
}

// admit takes one request of the workspace's rate.
func (s *Server) admit(ctx context.Context, c *app.RequestContext) error {
	name := id.Workspace(caller(c).GetWorkspace())
	fleet, _ := s.Control.Settings()
	workspace, ok := fleet.Workspaces[name]
	if !ok {
		return apierror.New(apierror.Forbidden, "workspace %q is not in the settings", name)
	}

	return s.Limiter.Acquire(ctx, workspace, time.Now())
}

// atOwner runs a call at the owner of a slot; while the slot changes hands, it waits and tries again.
func atOwner[Resp any](
	ctx context.Context, locator Locator, slot id.Slot, call func(context.Context, peer.SlotOwner) (Resp, error),
) (Resp, error) {
	deadline := time.Now().Add(moveWait)
	for {
		resp, err := ownerOnce(ctx, locator, slot, call)
		if err == nil || !moved(err) || time.Now().After(deadline) {
			return resp, err
		}
		timer := time.NewTimer(apierror.From(err).RetryAfter)
		select {
		case <-ctx.Done():
			timer.Stop()

			return resp, err
		case <-timer.C:
		}
	}
}

func ownerOnce[Resp any](
	ctx context.Context, locator Locator, slot id.Slot, call func(context.Context, peer.SlotOwner) (Resp, error),
) (Resp, error) {
	owner, err := locator.Owner(slot)
	if err != nil {
		var zero Resp

		return zero, err
	}

	return call(ctx, owner)
}

// moved reports whether a call left no trace because its slot has changed hands: it did not run, or it ran
// and its record was void.
func moved(err error) bool {
	var refused *apierror.Error

	return errors.As(err, &refused) && refused.Kind == apierror.OwnerChanged && refused.Execution != apierror.ExecutionUnknown
}

// Requests returns how many requests are under way.
func (s *Server) Requests() int { return s.inflight.Len() }
