package gatewayhost

import (
	"time"

	"cardamomward/core/http1"
	"cardamomward/core/intake"
	"cardamomward/io/httpx"
)

const (
	// requestLineBytes is for the request line, which the operator's limit of headers does not count.
	requestLineBytes = 8 << 10
	// headTimeoutSlack is for the way of a head that its client begins and ends within the operator's limit.
	headTimeoutSlack = time.Second
)

// connLimits returns the most open connections of each port of the host.
func (h *Host) connLimits() intake.ConnLimits {
	return intake.LimitConns(httpx.OpenFileLimit(h.settings.MaxOpenFiles), h.settings.MemoryBytes)
}

// requestLimits returns the limits of callers' requests by the newest configuration.
func (h *Host) requestLimits() httpx.RequestLimits {
	limits := httpx.RequestLimits{Limits: http1.Limits{HeadBytes: maxHeaderBytes, BodyBytes: maxBodyBytes}}
	config := h.discovery.Config()
	if config == nil {
		return limits
	}
	if config.Limits.HeaderBytes > 0 {
		limits.HeadBytes = config.Limits.HeaderBytes + requestLineBytes
	}
	if config.Limits.BodyBytes > 0 {
		limits.BodyBytes = int64(config.Limits.BodyBytes)
	}
	if config.Limits.HeaderTimeout > 0 {
		limits.HeadTimeout = config.Limits.HeaderTimeout + headTimeoutSlack
	}

	return limits
}
