package gatewayhost

import (
	"context"
	"fmt"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"

	"cardamomward/core/id"
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
	var addresses []string
	if h.gatewaySettings.Placement.LocalDirectory {
		domain := id.FailureDomain(c.Query(platform.ResolveFailureDomainParam))
		addresses = h.cluster.NearbyCallerAddresses(h.now(), domain, platform.MaxAddressesPerResponse)
	} else {
		addresses = h.cluster.CallerAddresses(h.now(), platform.MaxAddressesPerResponse)
	}
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
	if err := h.traffic.WriteText(c); err != nil {
		h.logger.Error(err, "metrics-failed")
	}
	partitioned := 0
	if h.upstreamClient.IsPartitioned() {
		partitioned = 1
	}
	if h.gatewaySettings.Placement.LearnedCost {
		work := h.cluster.OwnWork()
		fmt.Fprintf(c, "tracked-requests %d\noutstanding-work-millis %.0f\nreserved-tokens %d\n", work.Running, work.WorkMillis, work.ReservedTokens)
	}
	used, limit, refused := h.proxy.Memory.Usage()
	fmt.Fprintf(c, "memory-held-bytes %d\nmemory-budget-bytes %d\nmemory-refusals %d\n", used, limit, refused)
	fmt.Fprintf(c, "cold-upstreams %d\n", h.countColdUpstreams())
	fmt.Fprintf(c, "relayed-conns %d\nupstreams-partitioned %d\nupstreams-leaving %d\nevacuated-domains %d\n", h.relay.ConnCount(), partitioned,
		h.cluster.AnnouncedShutdowns(), h.discovery.EvacuationCount())
}

// countColdUpstreams returns the number of available upstreams that are cold.
func (h *Host) countColdUpstreams() int {
	config := h.discovery.Config()
	if config == nil {
		return 0
	}
	count := 0
	for name, service := range config.Services {
		for _, instance := range h.discovery.AvailableUpstreams(name) {
			if isCold, _ := h.cluster.ColdDelay(instance, service.ColdStart); isCold {
				count++
			}
		}
	}

	return count
}
