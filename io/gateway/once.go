package gateway

import (
	"context"
	"io"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"

	"cardamomward/core/retrypolicy"
	"cardamomward/platform"
)

// maxAnswer bounds an answer that is read whole before it is passed on, in bytes.
const maxAnswer = 16 << 20

// serveOnce answers a request whose answer is passed on whole.
func (g *Gateway) serveOnce(ctx context.Context, c *app.RequestContext, j *job) {
	policy := retrypolicy.Policy{AllowReexecution: j.route.IsRetryable(), MaxAttempts: j.route.MaxAttempts}
	for {
		sentAt := g.Now()
		s, refused := g.dispatch(ctx, j)
		if refused != nil {
			g.fail(ctx, c, j, refused)

			return
		}
		body, err := readWhole(s)
		if err == nil {
			g.notePace(j, s.instance, g.Now().Sub(sentAt), 0)
			g.finish(s)
			g.answer(c, j, s, body)

			return
		}
		g.drop(s)
		gone := policy.AllowReexecution && g.ended(ctx, s.instance)
		if ctx.Err() != nil || !j.tries.ShouldRetry(policy, retrypolicy.Lost, gone, j.deadline.Sub(g.Now())) {
			g.fail(ctx, c, j, lostRefusal(j, "answer-cut"))

			return
		}
	}
}

func readWhole(s *sent) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(s.Body, maxAnswer+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxAnswer {
		return nil, io.ErrShortBuffer
	}

	return body, nil
}

func (g *Gateway) answer(c *app.RequestContext, j *job, s *sent, body []byte) {
	platform.CopyAnswer(&c.Response.Header, s.Header)
	c.Response.SetStatusCode(s.Status)
	c.Response.SetBodyRaw(body)
	g.log(j, s.Status, "answered")
}

// fail answers a request that got no upstream's answer; a caller that left gets none.
func (g *Gateway) fail(ctx context.Context, c *app.RequestContext, j *job, r *refusal) {
	if ctx.Err() != nil {
		g.log(j, 0, "caller-gone")
		c.GetConn().Close()

		return
	}
	if r.status == http.StatusBadGateway && !g.Now().Before(j.deadline) {
		r.status, r.reason = http.StatusGatewayTimeout, "deadline"
	}
	g.refuse(c, j, r)
}
