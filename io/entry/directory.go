package entry

import (
	"context"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"

	"cardamomward/platform"
)

// answerTTL is how long callers use an answer of the directory, in seconds; a short one takes hosts out soon.
const answerTTL = 1.0

func (h *Host) serveReadiness(_ context.Context, c *app.RequestContext) {
	if string(c.Path()) != platform.ReadinessPath {
		c.SetStatusCode(http.StatusNotFound)

		return
	}
	if !h.ready() {
		c.SetStatusCode(http.StatusServiceUnavailable)

		return
	}
	c.SetStatusCode(http.StatusOK)
}

func (h *Host) serveDirectory(_ context.Context, c *app.RequestContext) {
	if string(c.Path()) != platform.ResolvePath {
		c.SetStatusCode(http.StatusNotFound)

		return
	}
	addresses := h.cluster.CallerAddresses(h.now(), platform.MaxAddresses)
	if len(addresses) == 0 {
		c.SetStatusCode(http.StatusServiceUnavailable)

		return
	}
	body, err := platform.EncodeAddresses(addresses, answerTTL)
	if err != nil {
		c.SetStatusCode(http.StatusInternalServerError)

		return
	}
	c.Data(http.StatusOK, "application/json", body)
}

func (h *Host) serveMetrics(_ context.Context, c *app.RequestContext) {
	c.SetContentType("text/plain; charset=utf-8")
	if err := h.metrics.Write(c); err != nil {
		h.logger.Error(err, "metrics-failed")
	}
}
