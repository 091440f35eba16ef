package gatewayhost

import (
	"context"
	"fmt"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"

	"cardamomward/platform"
)

// addressTTLSeconds is how long callers may cache the directory's addresses; it is short so that they soon drop hosts that
// leave.
const addressTTLSeconds = 1.0

func (h *Host) serveReadiness(_ context.Context, c *app.RequestContext) {
	if string(c.Path()) != platform.ReadinessPath {
		c.SetStatusCode(http.StatusNotFound)

		return
	}
	if !h.isReady() {
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
	addresses := h.cluster.CallerAddresses(h.now(), platform.MaxAddressesPerResponse)
	if len(addresses) == 0 {
		c.SetStatusCode(http.StatusServiceUnavailable)

		return
	}
	body, err := platform.EncodeAddresses(addresses, addressTTLSeconds)
	if err != nil {
		c.SetStatusCode(http.StatusInternalServerError)

		return
	}
	c.Data(http.StatusOK, "application/json", body)
}

func (h *Host) serveMetrics(_ context.Context, c *app.RequestContext) {
	c.SetContentType("text/plain; charset=utf-8")
	if err := h.metrics.WriteText(c); err != nil {
		h.logger.Error(err, "metrics-failed")
	}
	partitioned := 0
	if h.upstreamClient.IsPartitioned() {
		partitioned = 1
	}
	used, limit, refused := h.proxy.Memory.Usage()
	fmt.Fprintf(c, "memory-held-bytes %d\nmemory-budget-bytes %d\nmemory-refusals %d\n", used, limit, refused)
	fmt.Fprintf(c, "relayed-conns %d\nupstreams-partitioned %d\n", h.relay.ConnCount(), partitioned)
}
