package gateway

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"cardamomward/core/attempt"
	"cardamomward/core/call"
	"cardamomward/core/id"
	"cardamomward/core/route"
	"cardamomward/platform"
)

const (
	// defaultTimeout applies to requests of callers that do not say how long they wait, on routes without a timeout.
	defaultTimeout = 30 * time.Second
	// retrySoon is when to come back after a refusal whose reason passes quickly.
	retrySoon = 250 * time.Millisecond
	// answerMargin is left before the deadline for the answer's way back.
	answerMargin = 10 * time.Millisecond
)

// job is one request on its way.
type job struct {
	*call.Request

	config      *route.Config
	route       *route.Route
	service     *route.Service
	workspace   *route.Workspace
	began       time.Time
	deadline    time.Time
	fingerprint id.Fingerprint
	turn        Turn
	chain       []byte
	tries       attempt.Tries
	excluded    map[id.Upstream]struct{}
	upstreams   []id.Upstream
	tokens      id.Tokens
	output      []byte
	lastEvent   string
	firstByte   time.Time
}

func (j *job) workspaceName() id.Workspace {
	if j.workspace == nil {
		return ""
	}

	return j.workspace.Name
}

// Serve answers one request of a caller.
func (g *Gateway) Serve(ctx context.Context, c *app.RequestContext) {
	j := &job{began: g.Now(), config: g.Catalog.Config(), Request: platform.DecodeRequest(&c.Request.Header)}
	if g.Draining() {
		c.Response.SetConnectionClose()
	}
	if r := g.admit(ctx, c, j); r != nil {
		g.refuse(c, j, r)

		return
	}
	if g.turnNeeded(j) {
		if r := g.beginTurn(ctx, j); r != nil {
			g.refuse(c, j, r)

			return
		}
	}
	if j.route.Kind == route.Stream {
		g.serveStream(ctx, c, j)

		return
	}
	g.serveOnce(ctx, c, j)
}

// admit checks a request and finds its route, workspace and deadline.
func (g *Gateway) admit(ctx context.Context, c *app.RequestContext, j *job) *refusal {
	if j.config == nil {
		return refuseUnrun("no-configuration", retrySoon)
	}
	if r := checkShape(c, j); r != nil {
		return r
	}
	j.Body = bytes.Clone(c.Request.Body())
	matched, ok := j.config.Match(j.Host, j.Path)
	if !ok {
		return &refusal{status: http.StatusNotFound, reason: "no-route"}
	}
	j.route = matched
	if !matched.Public && len(j.config.Workspaces) > 0 {
		if j.workspace, ok = j.config.Authenticate(j.Key); !ok {
			return &refusal{status: http.StatusUnauthorized, reason: "unknown-key"}
		}
	}
	j.service = j.config.Services[matched.Service(j.Line())]
	if j.service == nil {
		return refuseUnrun("no-service", retrySoon)
	}
	j.setDeadline()
	j.fingerprint = j.Fingerprint()
	if g.Crashes.Convicted(j.fingerprint) {
		return refuseUnrun("crashes-upstreams", 0)
	}
	if j.workspace != nil && j.workspace.Rate > 0 {
		if ok, retry := g.Rates.Admit(ctx, j.workspace); !ok {
			return &refusal{status: http.StatusTooManyRequests, reason: "over-rate", retry: retry}
		}
	}

	return nil
}

func (j *job) setDeadline() {
	limit := defaultTimeout
	if j.route.Timeout > 0 {
		limit = j.route.Timeout
	}
	if j.Remaining > 0 {
		limit = min(limit, j.Remaining)
	}
	j.deadline = j.began.Add(limit - answerMargin)
}

// checkShape refuses requests whose framing could be read in two ways, that lack an id, or that exceed the limits.
func checkShape(c *app.RequestContext, j *job) *refusal {
	limits := j.config.Limits
	raw := c.Request.Header.RawHeaders()
	if limits.HeaderBytes > 0 && len(raw) > limits.HeaderBytes {
		return &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: "large-header", closes: true}
	}
	if limits.BodyBytes > 0 && len(c.Request.Body()) > limits.BodyBytes {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "large-body", closes: true}
	}
	if !framed(raw) {
		return &refusal{status: http.StatusBadRequest, reason: "ambiguous-framing", closes: true}
	}
	if j.ID == "" || j.Host == "" || len(j.Target) == 0 || j.Target[0] != '/' {
		return &refusal{status: http.StatusBadRequest, reason: "incomplete"}
	}

	return nil
}

// framed reports whether the head names the body's length at most once and in one way, and the host once.
func framed(raw []byte) bool {
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

// turnNeeded reports whether the owner of the program has a say.
func (g *Gateway) turnNeeded(j *job) bool {
	return j.route.Kind == route.Stream && (j.Budget > 0 || j.route.Retains)
}

func (g *Gateway) beginTurn(ctx context.Context, j *job) *refusal {
	j.turn = Turn{
		Request: j.Request, Workspace: j.workspaceName(), Deadline: j.deadline,
		Retention: j.route.Retention, Retains: j.route.Retains,
	}
	chain, verdict := g.Turns.Begin(ctx, j.turn)
	switch verdict {
	case Proceed:
		j.chain = chain

		return nil
	case Spent:
		return &refusal{status: http.StatusPaymentRequired, reason: "budget-spent"}
	case NoSuchTurn:
		return &refusal{status: http.StatusNotFound, reason: "no-such-turn"}
	case Unsure:
	}

	return refuseUnrun("owner-unsure", retrySoon)
}

// endTurn settles a turn that was begun.
func (g *Gateway) endTurn(ctx context.Context, j *job, whole bool) bool {
	if !g.turnNeeded(j) {
		return true
	}

	return g.Turns.End(ctx, j.turn, j.chain, j.tokens, j.output, whole)
}

// refusal is an answer of the system's own.
type refusal struct {
	status int
	reason string
	retry  time.Duration
	closes bool
}

// refuseUnrun promises that the request did not run.
func refuseUnrun(reason string, retry time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, retry: retry}
}

func (g *Gateway) refuse(c *app.RequestContext, j *job, r *refusal) {
	platform.SetRefusal(&c.Response.Header, j.ID, r.retry)
	if r.closes {
		c.Response.SetConnectionClose()
	}
	c.Data(r.status, "application/json", fmt.Appendf(nil, "{\"error\":%q}\n", r.reason))
	g.log(j, r.status, r.reason)
}

// log writes what became of a request.
func (g *Gateway) log(j *job, status int, outcome string) {
	now := g.Now()
	pairs := []any{"request", j.ID, "status", status, "outcome", outcome, "took", now.Sub(j.began).Round(time.Microsecond)}
	if j.config != nil {
		pairs = append(pairs, "config", j.config.Version)
	}
	if j.route != nil {
		pairs = append(pairs, "route", j.route.Name, "workspace", j.workspaceName(), "left", j.deadline.Sub(now).Round(time.Millisecond))
	}
	if j.Program != "" {
		pairs = append(pairs, "program", j.Program)
	}
	if len(j.upstreams) > 0 {
		pairs = append(pairs, "upstreams", j.upstreams, "tokens", j.tokens)
	}
	g.Logger.Info("request", pairs...)
}
