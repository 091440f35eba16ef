package reverseproxy

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"cardamomward/core/affinity"
	"cardamomward/core/registry"
	"cardamomward/core/retrypolicy"
	"cardamomward/core/streamorigin"
	"cardamomward/io/upstreamclient"
	"cardamomward/platform"
)

var (
	errStreamAborted    = errors.New("event stream to the caller was aborted")
	errCommentsTooLarge = errors.New("the upstream sends comments without an event")
	errOutputTooLarge   = errors.New("the output of the turn does not fit into memory")
)

// maxCommentBytes bounds the comments before the first event.
const maxCommentBytes = 64 << 10

// eventWriter forwards events as a chunked body; after an abort it does not write the chunk that marks the end of the body.
type eventWriter struct {
	network.ExtWriter

	// status is that of the response.
	status  int
	aborted bool
	// close closes the connection to the caller.
	close func()
}

// connectionCloseTimeout bounds the wait until the server has stopped reading from a closed connection.
const connectionCloseTimeout = 200 * time.Millisecond

// closeConnection closes the caller's connection and waits until ctx ends, which shows that the server has stopped reading
// from the connection: the server reuses its buffer once the handler has returned.
func closeConnection(ctx context.Context, c *app.RequestContext) {
	c.GetConn().Close()
	timer := time.NewTimer(connectionCloseTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// send writes bytes and flushes them to the caller.
func (w *eventWriter) send(data []byte) error {
	if _, err := w.Write(data); err != nil {
		return errStreamAborted
	}
	if err := w.Flush(); err != nil {
		return errStreamAborted
	}

	return nil
}

// Finalize ends the body, or returns an error if the stream was aborted.
func (w *eventWriter) Finalize() error {
	if w.aborted {
		return errStreamAborted
	}
	err := w.ExtWriter.Finalize()
	if err != nil {
		w.close()
	}

	return err
}

// serveStream forwards the events of the response as they arrive, and resumes at another upstream if the stream breaks.
func (p *Proxy) serveStream(ctx context.Context, c *app.RequestContext, req *proxiedRequest) {
	if req.LastEventID != "" {
		req.eventNumbers.record(req.LastEventID)
	}
	var writer *eventWriter
	for {
		sent, errResp := p.sendWithRetries(ctx, req)
		if errResp != nil {
			p.endTurn(ctx, req, false)
			p.failStream(ctx, c, req, writer, errResp)

			return
		}
		if writer == nil && !sent.isStream() {
			p.forwardNonStream(ctx, c, req, sent)

			return
		}
		var err error
		writer, err = p.forwardEvents(ctx, c, req, sent, writer)
		if err == nil {
			p.recordCompletion(req, sent)
			p.finishExchange(sent)
			p.finishStream(ctx, c, req, writer)

			return
		}
		reason := p.endBrokenAttempt(ctx, req, sent, err)
		p.Logger.Info("stream-broken", "request", req.ID, "upstream", sent.instance.ID, "after", req.lastSentEventID, "error", err)
		if ctx.Err() != nil || errors.Is(err, errStreamAborted) || !p.mayResume(req, sent.instance, reason) {
			p.endTurn(ctx, req, false)
			p.failStream(ctx, c, req, writer, failedUpstreamResponse(req, "stream-broken"))

			return
		}
	}
}

// endBrokenAttempt ends an exchange that did not complete the stream, and returns why its upstream counts as ended. An upstream that
// responds to a resumption with something else, or with more than this host can hold, has not crashed.
func (p *Proxy) endBrokenAttempt(ctx context.Context, req *proxiedRequest, sent *sentRequest, err error) endReason {
	if errors.Is(err, errNotContinued) || errors.Is(err, errOutputTooLarge) {
		p.abortExchange(sent)

		return p.findEndReason(ctx, req, sent.instance)
	}
	if ctx.Err() == nil && p.isBeforeDeadline(req) {
		p.recordFailure(sent.instance)
	}
	p.abortExchange(sent)

	return p.diagnoseLoss(ctx, req, sent.instance)
}

// mayResume reports whether the host may resume a broken stream at another upstream.
func (p *Proxy) mayResume(req *proxiedRequest, instance *registry.Instance, reason endReason) bool {
	if req.origin != nil && p.Discovery.VerifyOrigin(*req.origin) != streamorigin.Known {
		return false
	}
	req.resumption.arrivedAt = p.Now()

	return p.shouldRetry(req, instance, retrypolicy.Lost, reason)
}

// forwardEvents forwards whole events until the stream ends; the response header is sent with the first event.
func (p *Proxy) forwardEvents(ctx context.Context, c *app.RequestContext, req *proxiedRequest, sent *sentRequest, writer *eventWriter) (*eventWriter, error) {
	continuation := continuation{isResumed: writer != nil, lastEventID: req.lastSentEventID, numbers: req.eventNumbers}
	if continuation.isResumed && (!sent.isStream() || sent.Status != writer.status) {
		return writer, errNotContinued
	}
	events := upstreamclient.NewEventReader(sent.Body)
	events.Memory = eventMemory{proxy: p, remote: req.remote}
	defer events.Close()
	req.firstEventAt, req.tokensAtFirstEvent = time.Time{}, req.outputTokens
	var comments []byte
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return p.endStream(ctx, c, sent, writer, comments)
		}
		if err != nil {
			return writer, err
		}
		if !continuation.mayFollow(event) {
			return writer, errNotContinued
		}
		if event.IsComment() {
			if comments, err = p.forwardComment(writer, comments, event.Raw); err != nil {
				return writer, err
			}

			continue
		}
		sent.RecordProgress()
		if !isAfterEvent(event.ID, req.lastSentEventID) {
			continue
		}
		if !p.reserveOutput(req, event) {
			return writer, errOutputTooLarge
		}
		p.recordOrigin(req, sent)
		if writer == nil {
			writer = p.startStream(ctx, c, sent)
		}
		if err := writer.send(append(comments, event.Raw...)); err != nil {
			return writer, err
		}
		comments = comments[:0]
		req.recordEvent(event)
		p.recordProgress(req, sent)
		if req.firstEventAt.IsZero() {
			req.firstEventAt, req.tokensAtFirstEvent = p.Now(), req.outputTokens
		}
	}
}

// forwardComment forwards a comment, which keeps the caller's connection in use, or adds it to those that wait for the first
// event: the response does not start without one.
func (p *Proxy) forwardComment(writer *eventWriter, waiting, comment []byte) ([]byte, error) {
	if writer != nil {
		return waiting, writer.send(comment)
	}
	if waiting = append(waiting, comment...); len(waiting) > maxCommentBytes {
		return waiting, errCommentsTooLarge
	}

	return waiting, nil
}

// endStream forwards what follows the last event of a stream, and starts the response if the stream had no event.
func (p *Proxy) endStream(ctx context.Context, c *app.RequestContext, sent *sentRequest, writer *eventWriter, comments []byte) (*eventWriter, error) {
	if writer == nil {
		writer = p.startStream(ctx, c, sent)
	}
	if len(comments) == 0 {
		return writer, nil
	}

	return writer, writer.send(comments)
}

// recordCompletion records the location of a turn whose stream is complete, and a latency sample of its upstream.
func (p *Proxy) recordCompletion(req *proxiedRequest, sent *sentRequest) {
	p.learnOutput(req)
	req.location = affinity.Location{Upstream: sent.instance.ID, CachedTokens: req.ownPromptTokens() + req.outputTokens}
	if !req.firstEventAt.IsZero() {
		p.recordLatency(req, sent.instance, p.Now().Sub(req.firstEventAt), req.outputTokens-req.tokensAtFirstEvent)
	}
}

func (p *Proxy) startStream(ctx context.Context, c *app.RequestContext, sent *sentRequest) *eventWriter {
	platform.CopyResponseHeader(&c.Response.Header, sent.Header)
	c.Response.SetStatusCode(sent.Status)
	writer := &eventWriter{
		ExtWriter: resp.NewChunkedBodyWriter(&c.Response, c.GetWriter()), status: sent.Status,
		close: func() { closeConnection(ctx, c) },
	}
	c.Response.HijackWriter(writer)

	return writer
}

// recordEvent records an event that was forwarded: its id, tokens and, if the turn is retained, its data. Callers are not given an event
// without data, which only sets the id.
func (req *proxiedRequest) recordEvent(event upstreamclient.Event) {
	if event.ID != "" {
		req.lastSentEventID = event.ID
		req.eventNumbers.record(event.ID)
	}
	if event.Data == nil {
		return
	}
	if req.service.Engine != nil {
		req.outputTokens += req.service.Engine.TokensPerEvent
	}
	if req.route.RetainsContext {
		req.output = append(append(req.output, event.Data...), '\n')
	}
}

// finishStream ends the turn, then the response; if the turn could not be retained it aborts the response.
func (p *Proxy) finishStream(ctx context.Context, c *app.RequestContext, req *proxiedRequest, writer *eventWriter) {
	if !p.endTurn(ctx, req, true) && req.route.RetainsContext {
		p.abortConnection(writer)
		p.logRequest(req, 0, "turn-not-kept")

		return
	}
	p.logRequest(req, c.Response.StatusCode(), "streamed")
}

// forwardNonStream forwards a response that is not an event stream, such as an error of the upstream, before a stream has begun.
func (p *Proxy) forwardNonStream(ctx context.Context, c *app.RequestContext, req *proxiedRequest, sent *sentRequest) {
	body, err := p.readBody(req, sent)
	p.endTurn(ctx, req, false)
	if err != nil {
		p.abortExchange(sent)
		p.failRequest(ctx, c, req, failedUpstreamResponse(req, "answer-cut"))

		return
	}
	p.finishExchange(sent)
	p.writeResponse(c, req, sent, body)
}

// failStream returns an error response, or aborts the response if it has begun.
func (p *Proxy) failStream(ctx context.Context, c *app.RequestContext, req *proxiedRequest, writer *eventWriter, errResp *errorResponse) {
	if writer == nil {
		p.failRequest(ctx, c, req, errResp)

		return
	}
	p.abortConnection(writer)
	p.logRequest(req, 0, errResp.reason)
}

func (p *Proxy) abortConnection(writer *eventWriter) {
	writer.aborted = true
	writer.close()
}
