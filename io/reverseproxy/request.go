package reverseproxy

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"cardamomward/core/affinity"
	"cardamomward/core/id"
	"cardamomward/core/inbound"
	"cardamomward/core/retrypolicy"
	"cardamomward/core/routing"
	"cardamomward/core/streamorigin"
	"cardamomward/platform"
)

const (
	// defaultTimeout applies if neither the route nor the caller sets a timeout.
	defaultTimeout = 30 * time.Second
	// retryDelay is the Retry-After of errors with a short-lived cause.
	retryDelay = 250 * time.Millisecond
	// responseMargin is how long before the caller's deadline a request ends, to leave time for sending the response.
	responseMargin = 10 * time.Millisecond
)

// proxiedRequest is the state of one request in progress.
type proxiedRequest struct {
	*inbound.Request

	// remote is the address of the caller's connection, which holds the request's memory.
	remote string
	// transcriptBytes are reserved for the transcript and the output of the turn.
	transcriptBytes   int64
	config            *routing.Config
	route             *routing.Route
	service           *routing.Service
	workspace         *routing.Workspace
	startedAt         time.Time
	deadline          time.Time
	fingerprint       id.Fingerprint
	turn              Turn
	beginResult       BeginResult
	location          affinity.Location
	attempts          retrypolicy.Attempts
	excludedUpstreams map[id.Upstream]struct{}
	triedUpstreams    []id.Upstream
	outputTokens      id.Tokens
	output            []byte
	// outputBytes are reserved for the output.
	outputBytes     int64
	lastSentEventID string
	eventNumbers    eventNumbers
	// origin is where the stream began; nil before its first event. Only upstreams of that version may continue it.
	origin     *streamorigin.Origin
	resumption resumption
	// firstEventAt is when the first event of the current attempt arrived, and tokensAtFirstEvent the output tokens up to
	// and including that event.
	firstEventAt       time.Time
	tokensAtFirstEvent id.Tokens
	progress           streamProgress
}

func (req *proxiedRequest) workspaceName() id.Workspace {
	if req.workspace == nil {
		return ""
	}

	return req.workspace.Name
}

// HandleRequest handles one request of a caller.
func (p *Proxy) HandleRequest(ctx context.Context, c *app.RequestContext) {
	remote := c.RemoteAddr().String()
	p.activeConnections.Store(remote, struct{}{})
	defer p.activeConnections.Delete(remote)
	req := &proxiedRequest{remote: remote, startedAt: p.Now(), config: p.Discovery.Config(), Request: platform.DecodeRequest(&c.Request.Header)}
	if p.ShouldCloseConnections() {
		c.Response.SetConnectionClose()
	}
	if errResp := p.admitRequest(ctx, c, req); errResp != nil {
		p.writeError(c, req, errResp)

		return
	}
	if req.route.Kind == routing.Stream {
		p.serveStream(ctx, c, req)

		return
	}
	p.serveUnary(ctx, c, req)
}

// HasActiveRequest reports whether a request is in progress on the connection from a remote address.
func (p *Proxy) HasActiveRequest(remote string) bool {
	_, busy := p.activeConnections.Load(remote)

	return busy
}

// admitRequest validates and authenticates a request, sets its route, workspace, service and deadline, and begins its turn.
func (p *Proxy) admitRequest(ctx context.Context, c *app.RequestContext, req *proxiedRequest) *errorResponse {
	if req.config == nil {
		return notExecutedResponse("no-configuration", retryDelay)
	}
	if errResp := validateRequest(c, req); errResp != nil {
		return errResp
	}
	if errResp := p.reserveBody(req, len(c.Request.Body())); errResp != nil {
		return errResp
	}
	req.Body = bytes.Clone(c.Request.Body())
	if errResp := req.resolveService(); errResp != nil {
		return errResp
	}
	req.setDeadline()
	if errResp := p.checkShutdown(req); errResp != nil {
		return errResp
	}
	req.fingerprint = req.Fingerprint()
	if p.Crashes.IsRequestBlocked(req.fingerprint) {
		return notExecutedResponse("crashes-upstreams", 0)
	}
	if errResp := p.resolveOrigin(ctx, req); errResp != nil {
		return errResp
	}
	if p.isEvacuated(req) {
		return notExecutedResponse("evacuated", retryDelay)
	}
	if p.needsProgramOwner(req) {
		if errResp := p.beginTurn(ctx, req); errResp != nil {
			return errResp
		}
	}
	errResp := p.checkOverload(req)
	if errResp == nil {
		errResp = p.checkRateLimit(ctx, req)
	}
	if errResp != nil {
		p.endTurn(ctx, req, false)
	}

	return errResp
}

// resolveService sets the route, the workspace and the service of the request.
func (req *proxiedRequest) resolveService() *errorResponse {
	route, ok := req.config.Match(req.Host, req.Path)
	if !ok {
		return &errorResponse{status: http.StatusNotFound, reason: "no-route"}
	}
	req.route = route
	if !route.Public && len(req.config.Workspaces) > 0 {
		if req.workspace, ok = req.config.Authenticate(req.APIKey); !ok {
			return &errorResponse{status: http.StatusUnauthorized, reason: "unknown-key"}
		}
	}
	req.service = req.config.Services[route.PickService(req.ResolveAffinityKey())]
	if req.service == nil {
		return notExecutedResponse("no-service", retryDelay)
	}

	return nil
}

// checkRateLimit returns an error if the workspace is over its request rate.
func (p *Proxy) checkRateLimit(ctx context.Context, req *proxiedRequest) *errorResponse {
	if req.workspace == nil || req.workspace.RequestsPerSecond <= 0 {
		return nil
	}
	admit := p.RateLimiter.AdmitRequest
	if p.needsProgramOwner(req) && req.Program != "" && !req.beginResult.ContinuesProgram {
		admit = p.RateLimiter.AdmitProgram
	}
	ok, retryAfter := admit(ctx, req.workspace)
	if ok {
		return nil
	}

	return &errorResponse{status: http.StatusTooManyRequests, reason: "over-rate", retryAfter: retryAfter}
}

// routeTimeout returns the longest life of a request of the route.
func (req *proxiedRequest) routeTimeout() time.Duration {
	return cmp.Or(max(0, req.route.Timeout), defaultTimeout)
}

func (req *proxiedRequest) setDeadline() {
	timeout := req.routeTimeout()
	if req.Timeout > 0 {
		timeout = min(timeout, req.Timeout)
	}
	req.deadline = req.startedAt.Add(timeout - responseMargin)
}

// validateRequest rejects requests that exceed the size limits, have ambiguous framing, or lack an id, host or valid target.
func validateRequest(c *app.RequestContext, req *proxiedRequest) *errorResponse {
	limits := req.config.Limits
	raw := c.Request.Header.RawHeaders()
	if limits.HeaderBytes > 0 && len(raw) > limits.HeaderBytes {
		return &errorResponse{status: http.StatusRequestHeaderFieldsTooLarge, reason: "large-header", closeConnection: true}
	}
	if limits.BodyBytes > 0 && len(c.Request.Body()) > limits.BodyBytes {
		return &errorResponse{status: http.StatusRequestEntityTooLarge, reason: "large-body", closeConnection: true}
	}
	if !hasUnambiguousFraming(raw) {
		return &errorResponse{status: http.StatusBadRequest, reason: "ambiguous-framing", closeConnection: true}
	}
	if req.ID == "" || req.Host == "" || len(req.Target) == 0 || req.Target[0] != '/' {
		return &errorResponse{status: http.StatusBadRequest, reason: "incomplete"}
	}

	return nil
}

// hasUnambiguousFraming reports whether the header has at most one valid body length, no folded lines and at most one host,
// which prevents request smuggling.
func hasUnambiguousFraming(raw []byte) bool {
	lengths, encodings, hosts := 0, 0, 0
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found {
			continue
		}
		if line[0] == ' ' || line[0] == '\t' {
			return false
		}
		switch {
		case bytes.EqualFold(name, []byte("content-length")):
			lengths++
			if _, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 63); err != nil {
				return false
			}
		case bytes.EqualFold(name, []byte("transfer-encoding")):
			encodings++
			if !bytes.EqualFold(bytes.TrimSpace(value), []byte("chunked")) {
				return false
			}
		case bytes.EqualFold(name, []byte("host")):
			hosts++
		}
	}

	return lengths+encodings <= 1 && hosts <= 1
}

// needsProgramOwner reports whether the program's owner must begin and end the turn: for a token budget or retained context.
func (p *Proxy) needsProgramOwner(req *proxiedRequest) bool {
	return req.route.Kind == routing.Stream && (req.TokenBudget > 0 || req.route.RetainsContext)
}

func (p *Proxy) beginTurn(ctx context.Context, req *proxiedRequest) *errorResponse {
	req.turn = Turn{
		Request: req.Request, Workspace: req.workspaceName(), Deadline: req.deadline,
		Retention: req.route.Retention, RetainsContext: req.route.RetainsContext,
	}
	if errResp := p.reserveTranscript(req); errResp != nil {
		return errResp
	}
	req.beginResult = p.Turns.BeginTurn(ctx, req.turn)
	switch req.beginResult.Status {
	case TurnAllowed:
		errResp := p.adjustTranscript(req)
		if errResp != nil {
			p.endTurn(ctx, req, false)
		}

		return errResp
	case BudgetExhausted:
		return &errorResponse{status: http.StatusPaymentRequired, reason: "budget-spent"}
	case PreviousTurnNotFound:
		return &errorResponse{status: http.StatusNotFound, reason: "no-such-turn"}
	case TooManyPrograms:
		return notExecutedResponse("programs-full", retryDelay)
	case OwnerUnavailable:
	}

	return notExecutedResponse("owner-unsure", retryDelay)
}

// endTurn settles a turn that was begun; it returns false if the turn could not be retained.
func (p *Proxy) endTurn(ctx context.Context, req *proxiedRequest, isComplete bool) bool {
	if !p.needsProgramOwner(req) {
		return true
	}

	return p.Turns.EndTurn(ctx, req.turn, TurnResult{
		PriorTranscript: req.beginResult.PriorTranscript, Output: req.output, OutputTokens: req.outputTokens, IsComplete: isComplete, Location: req.location,
	})
}

// errorResponse is a response that the proxy itself returns instead of an upstream's.
type errorResponse struct {
	status          int
	reason          string
	retryAfter      time.Duration
	closeConnection bool
}

// notExecutedResponse returns a 503 response, which promises that the request was not executed.
func notExecutedResponse(reason string, retryAfter time.Duration) *errorResponse {
	return &errorResponse{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryAfter}
}

// writeError writes an error response and logs its reason as the outcome.
func (p *Proxy) writeError(c *app.RequestContext, req *proxiedRequest, errResp *errorResponse) {
	platform.SetErrorHeader(&c.Response.Header, req.ID, errResp.retryAfter)
	if errResp.closeConnection {
		c.Response.SetConnectionClose()
	}
	c.Data(errResp.status, "application/json", fmt.Appendf(nil, "{\"error\":%q}\n", errResp.reason))
	p.logRequest(req, errResp.status, errResp.reason)
}

// logRequest logs and counts the outcome of a request.
func (p *Proxy) logRequest(req *proxiedRequest, status int, outcome string) {
	now := p.Now()
	duration := now.Sub(req.startedAt)
	p.Metrics.observeRequest(outcome, duration)
	if len(req.triedUpstreams) > 0 {
		p.durations.record(now, req.route.Name, duration)
	}
	p.Logger.Info("request", "request", req.ID, "status", status, "outcome", outcome, "took", duration.Round(time.Microsecond),
		"left", req.timeLeft(now), "config", req.configVersion(), "route", req.routeName(), "workspace", req.workspaceName(),
		"program", req.Program, "previous", req.PreviousTurn, "upstreams", req.triedUpstreams, "tokens", req.outputTokens, "budget", req.TokenBudget, "begun", req.beginResult.ContinuesProgram, "last", req.beginResult.LastLocation.Upstream)
}

// timeLeft returns the time until the request's deadline, or zero if none is set.
func (req *proxiedRequest) timeLeft(now time.Time) time.Duration {
	if req.deadline.IsZero() {
		return 0
	}

	return req.deadline.Sub(now).Round(time.Millisecond)
}

func (req *proxiedRequest) configVersion() int64 {
	if req.config == nil {
		return 0
	}

	return req.config.Version
}

func (req *proxiedRequest) routeName() string {
	if req.route == nil {
		return ""
	}

	return req.route.Name
}
