package gateway

import (
	"context"
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"cardamomward/core/affinity"
	"cardamomward/core/retrypolicy"
	"cardamomward/io/upstreamclient"
	"cardamomward/platform"
)

var errAborted = errors.New("the stream broke off")

// eventWriter passes events on; one that was aborted never ends as if it were whole.
type eventWriter struct {
	network.ExtWriter

	aborted bool
}

// Finalize ends the stream.
func (w *eventWriter) Finalize() error {
	if w.aborted {
		return errAborted
	}

	return w.ExtWriter.Finalize()
}

// serveStream answers a request with events as they come, and goes on at another upstream where one breaks off.
func (g *Gateway) serveStream(ctx context.Context, c *app.RequestContext, j *job) {
	policy := retrypolicy.Policy{AllowReexecution: j.route.IsRetryable(), MaxAttempts: j.route.MaxAttempts}
	var writer *eventWriter
	for {
		s, refused := g.dispatch(ctx, j)
		if refused != nil {
			g.endTurn(ctx, j, false)
			g.failStream(ctx, c, j, writer, refused)

			return
		}
		if !strings.HasPrefix(s.Header.Get("Content-Type"), "text/event-stream") {
			g.passPlain(ctx, c, j, s, writer)

			return
		}
		var err error
		writer, err = g.passEvents(c, j, s, writer)
		if err == nil {
			g.noteRun(j, s)
			g.finish(s)
			g.endStream(ctx, c, j, writer)

			return
		}
		if ctx.Err() == nil && g.inTime(j) {
			g.Crashes.Lost(j.fingerprint, s.instance)
			g.noteFailure(s.instance)
		}
		g.drop(s)
		gone := policy.AllowReexecution && g.ended(ctx, s.instance)
		g.Logger.Info("stream-broken", "request", j.ID, "upstream", s.instance.ID, "after", j.lastEvent, "error", err)
		if ctx.Err() != nil || errors.Is(err, errAborted) || !j.tries.ShouldRetry(policy, retrypolicy.Lost, gone, j.deadline.Sub(g.Now())) {
			g.endTurn(ctx, j, false)
			g.failStream(ctx, c, j, writer, lostRefusal(j, "stream-broken"))

			return
		}
	}
}

// passEvents passes whole events on until the stream ends; the head goes out with the first event.
func (g *Gateway) passEvents(c *app.RequestContext, j *job, s *sent, writer *eventWriter) (*eventWriter, error) {
	events := upstreamclient.NewEventReader(s.Body)
	j.runBegan, j.runTokens = time.Time{}, j.tokens
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			if writer == nil {
				writer = g.openStream(c, s)
			}

			return writer, nil
		}
		if err != nil {
			return writer, err
		}
		s.RecordProgress()
		if !follows(event.ID, j.lastEvent) {
			continue
		}
		if writer == nil {
			writer = g.openStream(c, s)
		}
		if _, err := writer.Write(event.Raw); err != nil {
			return writer, errAborted
		}
		if err := writer.Flush(); err != nil {
			return writer, errAborted
		}
		j.note(event)
		if j.runBegan.IsZero() {
			j.runBegan, j.runTokens = g.Now(), j.tokens
		}
	}
}

// noteRun learns from a run that has ended.
func (g *Gateway) noteRun(j *job, s *sent) {
	j.place = affinity.Location{Upstream: s.instance.ID, CachedTokens: j.ownTokens() + j.tokens}
	if !j.runBegan.IsZero() {
		g.notePace(j, s.instance, g.Now().Sub(j.runBegan), j.tokens-j.runTokens)
	}
}

func (g *Gateway) openStream(c *app.RequestContext, s *sent) *eventWriter {
	platform.CopyAnswer(&c.Response.Header, s.Header)
	c.Response.SetStatusCode(s.Status)
	writer := &eventWriter{ExtWriter: resp.NewChunkedBodyWriter(&c.Response, c.GetWriter())}
	c.Response.HijackWriter(writer)

	return writer
}

// follows reports whether an event comes after the last that was passed on.
func follows(event, last string) bool {
	if last == "" || event == "" {
		return true
	}
	a, errA := strconv.ParseInt(event, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)

	return errA != nil || errB != nil || a > b
}

// note counts an event that was passed on.
func (j *job) note(event upstreamclient.Event) {
	if event.ID != "" {
		j.lastEvent = event.ID
	}
	if j.service.Engine != nil {
		j.tokens += j.service.Engine.TokensPerEvent
	}
	if j.route.RetainsContext {
		j.output = append(append(j.output, event.Data...), '\n')
	}
}

// endStream keeps the turn where it is to be kept, then ends the answer.
func (g *Gateway) endStream(ctx context.Context, c *app.RequestContext, j *job, writer *eventWriter) {
	if !g.endTurn(ctx, j, true) && j.route.RetainsContext {
		g.abort(c, writer)
		g.log(j, 0, "turn-not-kept")

		return
	}
	g.log(j, c.Response.StatusCode(), "streamed")
}

// passPlain passes on an answer that is no stream, such as an upstream's own failure.
func (g *Gateway) passPlain(ctx context.Context, c *app.RequestContext, j *job, s *sent, writer *eventWriter) {
	body, err := readWhole(s)
	g.endTurn(ctx, j, false)
	if err != nil || writer != nil {
		g.drop(s)
		g.failStream(ctx, c, j, writer, lostRefusal(j, "answer-cut"))

		return
	}
	g.finish(s)
	g.answer(c, j, s, body)
}

// failStream refuses a request of which nothing was passed on; an answer that has begun breaks off.
func (g *Gateway) failStream(ctx context.Context, c *app.RequestContext, j *job, writer *eventWriter, r *refusal) {
	if writer == nil {
		g.fail(ctx, c, j, r)

		return
	}
	g.abort(c, writer)
	g.log(j, 0, r.reason)
}

func (g *Gateway) abort(c *app.RequestContext, writer *eventWriter) {
	writer.aborted = true
	c.GetConn().Close()
}
