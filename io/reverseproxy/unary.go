package reverseproxy

import (
	"context"
	"io"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"

	"cardamomward/core/retrypolicy"
	"cardamomward/platform"
)

// maxBufferedBodyBytes limits a response body that is buffered before it is forwarded.
const maxBufferedBodyBytes = 16 << 20

// serveUnary handles a request whose response is forwarded as a whole.
func (p *Proxy) serveUnary(ctx context.Context, c *app.RequestContext, req *proxiedRequest) {
	for {
		sentAt := p.Now()
		sent, errResp := p.sendWithRetries(ctx, req)
		if errResp != nil {
			p.failRequest(ctx, c, req, errResp)

			return
		}
		body, err := readBody(sent)
		if err == nil {
			p.recordLatency(req, sent.instance, p.Now().Sub(sentAt), 0)
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

// readBody reads the whole response body; it returns io.ErrShortBuffer if the body exceeds maxBufferedBodyBytes.
func readBody(sent *sentRequest) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(sent.Body, maxBufferedBodyBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxBufferedBodyBytes {
		return nil, io.ErrShortBuffer
	}

	return body, nil
}

func (p *Proxy) writeResponse(c *app.RequestContext, req *proxiedRequest, sent *sentRequest, body []byte) {
	platform.CopyResponseHeader(&c.Response.Header, sent.Header)
	c.Response.SetStatusCode(sent.Status)
	c.Response.SetBodyRaw(body)
	p.logRequest(req, sent.Status, "answered")
}

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
