package reverseproxy

import (
	"bytes"
	"context"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"

	"cardamomward/core/retrypolicy"
	"cardamomward/platform"
)

// serveUnary handles a request whose response is forwarded as a whole.
func (p *Proxy) serveUnary(ctx context.Context, c *app.RequestContext, req *proxiedRequest) {
	for {
		sentAt := p.Now()
		sent, errResp := p.sendWithRetries(ctx, req)
		if errResp != nil {
			p.failRequest(ctx, c, req, errResp)

			return
		}
		body, err := p.readBody(req, sent)
		if err == nil {
			if !sent.isServerError() {
				duration := p.Now().Sub(sentAt)
				p.recordLatency(req, sent.instance, duration, 0)
				p.learnServiceTime(req, sent, duration)
			}
			p.finishExchange(sent)
			p.writeResponse(c, req, sent, body)

			return
		}
		p.abortExchange(sent)
		reason := p.findEndReason(ctx, req, sent.instance)
		if ctx.Err() != nil || !p.shouldRetry(req, sent.instance, retrypolicy.Lost, reason) {
			p.failRequest(ctx, c, req, failedUpstreamResponse(req, "answer-cut"))

			return
		}
	}
}

// readBody reads the whole response body. It returns io.ErrShortBuffer if the body exceeds maxBufferedBodyBytes or the memory for
// responses, which is held until the caller has received the body.
func (p *Proxy) readBody(req *proxiedRequest, sent *sentRequest) (*responseBody, error) {
	reader := &bodyReader{proxy: p, remote: req.remote}
	read := func() (*responseBody, error) { return reader.readWhole(sent.Body) }
	if length := sent.ContentLength; length > 0 && length <= maxBufferedBodyBytes && req.Method != http.MethodHead {
		read = func() (*responseBody, error) { return reader.readExactly(sent.Body, length) }
	}
	body, err := read()
	if err != nil {
		reader.release()
	}

	return body, err
}

func (p *Proxy) writeResponse(c *app.RequestContext, req *proxiedRequest, sent *sentRequest, body *responseBody) {
	platform.CopyResponseHeader(&c.Response.Header, sent.Header)
	c.Response.SetStatusCode(sent.Status)
	p.setResponseBody(c, body)
	p.logRequest(req, sent.Status, "answered")
}

// setResponseBody sets the body of a response. A large one is written from a stream: the server's connection refers
// to other bodies of 4 KB and more until its next response, so that idle connections would hold bodies that are not counted.
func (p *Proxy) setResponseBody(c *app.RequestContext, body *responseBody) {
	if body.length < maxRetainedBodyBytes {
		c.Response.SetBodyRaw(bytes.Join(body.segments, nil))

		return
	}
	c.Response.SetBodyStream(body.reader(), body.length)
}

// maxRetainedBodyBytes bounds the bodies that are not written from a stream.
const maxRetainedBodyBytes = 4 << 10

// failRequest responds to a request that no upstream answered; if the caller has disconnected it closes the connection. A
// 502 after the deadline becomes a 504.
func (p *Proxy) failRequest(ctx context.Context, c *app.RequestContext, req *proxiedRequest, errResp *errorResponse) {
	if ctx.Err() != nil {
		p.logRequest(req, 0, "caller-gone")
		c.GetConn().Close()

		return
	}
	if errResp.status == http.StatusBadGateway && !p.Now().Before(req.deadline) {
		errResp.status, errResp.reason = http.StatusGatewayTimeout, "deadline"
	}
	p.writeError(c, req, errResp)
}
