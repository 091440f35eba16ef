package reverseproxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/cloudwego/hertz/pkg/app"

	"cardamomward/core/retrypolicy"
	"cardamomward/platform"
)

// maxBufferedBodyBytes limits a response body that is buffered before it is forwarded.
const maxBufferedBodyBytes = 16 << 20

// maxBufferedBytes limits the bodies that are being read at the same time: an upstream may send bytes without end to many
// requests.
const maxBufferedBytes = 16 << 20

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

// readBody reads the whole response body. It returns io.ErrShortBuffer if the body exceeds maxBufferedBodyBytes or the memory
// budget, or, without a budget, all bodies that are being read exceed maxBufferedBytes. With a budget, the memory is held until
// the caller has received the body.
func (p *Proxy) readBody(req *proxiedRequest, sent *sentRequest) ([]byte, error) {
	if p.Memory != nil {
		reader := &budgetedReader{inner: sent.Body, proxy: p, remote: req.remote}
		read := func() ([]byte, error) { return readWhole(reader) }
		if length := sent.ContentLength; length > 0 && length <= maxBufferedBodyBytes && req.Method != http.MethodHead {
			read = func() ([]byte, error) { return reader.readExactly(length) }
		}
		body, err := read()
		if err != nil {
			reader.release()
		}

		return body, err
	}
	reader := &countingReader{inner: sent.Body, total: &p.bufferedBytes}
	defer reader.release()

	return readWhole(reader)
}

// readWhole reads a body of at most maxBufferedBodyBytes.
func readWhole(reader io.Reader) ([]byte, error) {
	// The buffer doubles as it grows, which leaves less garbage than io.ReadAll does.
	var body bytes.Buffer
	if _, err := body.ReadFrom(io.LimitReader(reader, maxBufferedBodyBytes+1)); err != nil {
		return nil, err
	}
	if body.Len() > maxBufferedBodyBytes {
		return nil, io.ErrShortBuffer
	}

	return body.Bytes(), nil
}

// countingReader adds the bytes that it reads to the total of all bodies that are being read.
type countingReader struct {
	inner     io.Reader
	total     *atomic.Int64
	readBytes int64
}

func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.inner.Read(p)
	r.readBytes += int64(n)
	if r.total.Add(int64(n)) > maxBufferedBytes {
		return n, io.ErrShortBuffer
	}

	return n, err
}

// release subtracts the bytes from the total.
func (r *countingReader) release() { r.total.Add(-r.readBytes) }

func (p *Proxy) writeResponse(c *app.RequestContext, req *proxiedRequest, sent *sentRequest, body []byte) {
	platform.CopyResponseHeader(&c.Response.Header, sent.Header)
	c.Response.SetStatusCode(sent.Status)
	p.setResponseBody(c, body)
	p.logRequest(req, sent.Status, "answered")
}

// setResponseBody sets the body of a response. With a memory budget, a large one is written from a stream: the server's connection refers
// to other bodies of 4 KB and more until its next response, so that idle connections would hold bodies that are not counted.
func (p *Proxy) setResponseBody(c *app.RequestContext, body []byte) {
	if p.Memory == nil || len(body) < maxRetainedBodyBytes {
		c.Response.SetBodyRaw(body)

		return
	}
	c.Response.SetBodyStream(bytes.NewReader(body), len(body))
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
