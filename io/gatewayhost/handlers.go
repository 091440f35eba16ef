package gatewayhost

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"

	"cardamomward/core/apierror"
	"cardamomward/core/id"
	"cardamomward/io/httpx"
	"cardamomward/io/reverseproxy"
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

// ExplainPath is the path of the operator endpoint that explains the placement of a request.
const ExplainPath = "/explain"

// maxOperatorBodyBytes limits the body of a request to the operator endpoint.
const maxOperatorBodyBytes = 64 << 10

// serveOperator serves the metrics and, if the host has an operator token, the operator endpoint.
func (h *Host) serveOperator(ctx context.Context, c *app.RequestContext) {
	if string(c.Path()) == ExplainPath {
		h.serveExplain(c)

		return
	}
	h.serveMetrics(ctx, c)
}

// serveExplain explains where a request would be sent. It changes no state of the host.
func (h *Host) serveExplain(c *app.RequestContext) {
	if h.OperatorToken == "" || string(c.Method()) != http.MethodPost {
		httpx.WriteError(c, apierror.New(apierror.NotFound, "the host has no operator endpoint here; start it with --operator-token-file and send POST %s", ExplainPath))

		return
	}
	token, ok := strings.CutPrefix(string(c.Request.Header.Peek("Authorization")), "Bearer ")
	// The hashes have equal lengths, so that the time of the comparison depends on neither token.
	got, want := sha256.Sum256([]byte(token)), sha256.Sum256([]byte(h.OperatorToken))
	if !ok || subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
		httpx.WriteError(c, apierror.New(apierror.Unauthenticated, "the operator token is missing or wrong"))

		return
	}
	var query reverseproxy.PlacementQuery
	decoder := json.NewDecoder(bytes.NewReader(c.Request.Body()))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&query); err != nil {
		httpx.WriteError(c, apierror.New(apierror.InvalidRequest, "the query is invalid: %v", err))

		return
	}
	explanation, err := h.proxy.ExplainPlacement(&query)
	if err != nil {
		httpx.WriteError(c, err)

		return
	}
	explanation.GatewayHost = h.settings.Name
	explanation.StoreAgeMS = h.now().Sub(h.discovery.LastStoreResponse()).Seconds() * 1000
	httpx.WriteJSON(c, http.StatusOK, explanation)
}

func (h *Host) serveMetrics(_ context.Context, c *app.RequestContext) {
	c.SetStatusCode(http.StatusOK)
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
	used, limit, refused := h.proxy.ResponseMemory.Usage()
	fmt.Fprintf(c, "memory-held-bytes %d\nmemory-budget-bytes %d\nmemory-refusals %d\n", used, limit, refused)
	used, limit = h.intake.Usage()
	fmt.Fprintf(c, "request-buffer-bytes %d\nrequest-buffer-limit-bytes %d\n", used, limit)
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
