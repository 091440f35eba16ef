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

// Locator finds the owners of slots and the hosts of programs.
type Locator interface {
	// OwnerOf returns the owner of a slot, or an *apierror.Error while the slot has none.
	OwnerOf(slot id.Slot) (peer.SlotOwner, error)
	// LocalOwner returns this host, as the owner of its slots.
	LocalOwner() peer.SlotOwner
	// FindHost returns the host and address that a caller should use for a program, or for a new program if it is empty.
	FindHost(program id.Program, now time.Time) (HostLocation, error)
}

// Limiter enforces the request rates of workspaces.
type Limiter interface {
	// Acquire counts one request against a workspace's rate limit. It returns an *apierror.Error with a retry delay if the
	// limit is exceeded.
	Acquire(ctx context.Context, workspace *settings.Workspace, now time.Time) error
}

// Server serves the callers' API.
type Server struct {
	Control *platformclient.ControlPlane
	Locator Locator
	Limiter Limiter
	Logger  logr.Logger
	// MaxBodyBytes bounds a request body; zero means no bound.
	MaxBodyBytes int

	inflightRequests InflightRequests
}

const (
	// defaultTimeout bounds a request without a timeout header.
	defaultTimeout = 2 * time.Minute
	// maxTimeout bounds the timeout header.
	maxTimeout = 10 * time.Minute
	// ownerChangeTimeout is the time limit for a request to wait at the host that received it while its slot changes owners.
	ownerChangeTimeout = 8 * time.Second
)

// Register adds the routes of the callers' API to a web server.
func (s *Server) Register(web *httpx.Server) {
	web.Use(s.authenticate)
	web.GET("/healthz", func(_ context.Context, c *app.RequestContext) { c.String(200, "ok\n") })
	web.GET("/v1/where", s.handleFindHost)
	web.POST("/v1/programs", s.handleOpenProgram)
	web.GET("/v1/programs/:program", s.handleGetProgram)
	web.GET("/v1/programs/:program/history", s.handleProgramHistory)
	web.POST("/v1/programs/:program/end", s.handleEndProgram)
	web.POST("/v1/programs/:program/turns", s.handleTurn)
	web.POST("/v1/chat/completions", s.handleChat)
	web.GET("/v1/models", s.handleListModels)
	web.POST("/v1/services/:service/*path", s.handleCallService)
	web.NoMethod(func(_ context.Context, c *app.RequestContext) {
		httpx.WriteError(c, apierror.New(apierror.MethodNotAllowed, "the route %s takes another method than %s", c.Path(), c.Method()))
	})
	web.NoRoute(func(_ context.Context, c *app.RequestContext) {
		httpx.WriteError(c, apierror.New(apierror.NotFound, "there is no route %s %s", c.Method(), c.Path()))
	})
}

// apiKeyContextKey is the context key under which authenticate stores the API key.
const apiKeyContextKey = "caller"

// defaultOpenRoutes are the routes without authentication unless the settings list others.
var defaultOpenRoutes = []string{"/healthz", "/v1/where"}

// authenticate requires an API key on all but the open routes. It also checks the body's size, sets the timeout and
// tracks the request, so that it is cancelled when its key is withdrawn.
func (s *Server) authenticate(ctx context.Context, c *app.RequestContext) {
	fleet, _ := s.Control.Settings()
	openRoutes := fleet.OpenRoutes
	if openRoutes == nil {
		openRoutes = defaultOpenRoutes
	}
	if slices.Contains(openRoutes, string(c.Path())) {
		c.Next(ctx)

		return
	}
	bearer := strings.TrimPrefix(string(c.GetHeader("Authorization")), "Bearer ")
	key, err := s.Control.Authenticate(bearer, time.Now())
	if err != nil {
		httpx.WriteError(c, err)
		c.Abort()

		return
	}
	timeout, err := requestTimeout(c)
	if err != nil {
		httpx.WriteError(c, err)
		c.Abort()

		return
	}
	if size := len(c.Request.Body()); s.MaxBodyBytes > 0 && size > s.MaxBodyBytes {
		httpx.WriteError(c, apierror.New(apierror.TooLarge, "the body has %d bytes, allowed are %d", size, s.MaxBodyBytes))
		c.Abort()

		return
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ctx, done := s.inflightRequests.Track(ctx, key.ID, c.RemoteAddr())
	defer done()
	c.Set(apiKeyContextKey, key)
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

// CancelWithdrawnKeys cancels the running requests of withdrawn keys.
func (s *Server) CancelWithdrawnKeys() {
	s.inflightRequests.CancelByKey(s.Control.IsKeyWithdrawn,
		apierror.New(apierror.Unauthenticated, "the key was withdrawn").WithExecution(apierror.ExecutionUnknown))
}

// CancelDisconnected cancels the running requests whose callers have closed their connections.
func (s *Server) CancelDisconnected(isDisconnected func(net.Addr) bool) {
	s.inflightRequests.CancelDisconnected(isDisconnected, apierror.New(apierror.Cancelled, "the caller has gone").WithExecution(apierror.ExecutionUnknown))
}

func callerOf(c *app.RequestContext) *peerpb.Caller {
	key, _ := c.Value(apiKeyContextKey).(projection.APIKey)

	return &peerpb.Caller{Workspace: string(key.Workspace), Key: string(key.ID)}
}

// enforceRateLimit counts one request against the workspace's rate limit and returns an error if the limit is exceeded.
func (s *Server) enforceRateLimit(ctx context.Context, c *app.RequestContext) error {
	name := id.Workspace(callerOf(c).GetWorkspace())
	fleet, _ := s.Control.Settings()
	workspace, ok := fleet.Workspaces[name]
	if !ok {
		return apierror.New(apierror.Forbidden, "workspace %q is not in the settings", name)
	}

	return s.Limiter.Acquire(ctx, workspace, time.Now())
}

// callOwner runs call at the owner of a slot. While the slot changes owners, it retries for up to ownerChangeTimeout.
func callOwner[Resp any](
	ctx context.Context, locator Locator, slot id.Slot, call func(context.Context, peer.SlotOwner) (Resp, error),
) (Resp, error) {
	deadline := time.Now().Add(ownerChangeTimeout)
	for {
		resp, err := callOwnerOnce(ctx, locator, slot, call)
		if err == nil || !isRetryableOwnerChange(err) || time.Now().After(deadline) {
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

func callOwnerOnce[Resp any](
	ctx context.Context, locator Locator, slot id.Slot, call func(context.Context, peer.SlotOwner) (Resp, error),
) (Resp, error) {
	owner, err := locator.OwnerOf(slot)
	if err != nil {
		var zero Resp

		return zero, err
	}

	return call(ctx, owner)
}

// isRetryableOwnerChange reports whether a call failed without effect because its slot changed owners: either it was not
// executed, or its record was invalidated.
func isRetryableOwnerChange(err error) bool {
	var apiErr *apierror.Error

	return errors.As(err, &apiErr) && apiErr.Kind == apierror.OwnerChanged && apiErr.Execution != apierror.ExecutionUnknown
}

// InflightRequestCount returns the number of running requests.
func (s *Server) InflightRequestCount() int { return s.inflightRequests.Len() }
