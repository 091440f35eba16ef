package reverseproxy

import (
	"context"
	"net/http"
	"slices"

	"cardamomward/core/leaving"
	"cardamomward/core/registry"
	"cardamomward/core/routing"
	"cardamomward/core/streamorigin"
)

// isResumable reports whether the request's stream may be resumed by the host or by the caller.
func (req *proxiedRequest) isResumable() bool {
	return req.route.Kind == routing.Stream && req.route.IsRetryable()
}

// resolveOrigin determines where an interrupted stream began that the caller resumes, and returns an error response if
// that is unknown or no upstream of that version is available.
func (p *Proxy) resolveOrigin(ctx context.Context, req *proxiedRequest) *errorResponse {
	if req.LastEventID == "" || req.route.Kind != routing.Stream {
		return nil
	}
	origin, known := p.findOrigin(ctx, req)
	if known == streamorigin.Known {
		known = p.Discovery.VerifyOrigin(origin)
	}
	p.Logger.Info("stream-resumed", "request", req.ID, "resumes", req.ResumedAttempt, "after", req.LastEventID, "known", known.String(),
		"version", origin.Version, "upstream", origin.Upstream)
	switch known {
	case streamorigin.Unknown:
		return notExecutedResponse("unknown-stream", 0)
	case streamorigin.Unanswered:
		return notExecutedResponse("unknown-stream", retryDelay)
	case streamorigin.Known:
	}
	req.origin = &origin
	req.resumption.arrivedAt = req.startedAt
	if service, listed := req.config.Services[origin.Service]; listed && req.route.HasService(origin.Service) {
		req.service = service
	}
	if p.isEvacuated(req) {
		return notExecutedResponse("evacuated", retryDelay)
	}
	if len(p.eligibleUpstreams(req)) == 0 {
		return &errorResponse{status: http.StatusServiceUnavailable, reason: "version-gone"}
	}
	if req.isResumable() {
		p.Streams.RecordStreamOrigin(streamorigin.Attempt(req.ID), origin)
	}

	return nil
}

// findOrigin returns where the stream began that the caller resumes. If the caller does not name the attempt that began
// it, or the route's streams are not recorded, the origin is known only if the service has had one version for longer than a
// stream lives.
func (p *Proxy) findOrigin(ctx context.Context, req *proxiedRequest) (streamorigin.Origin, streamorigin.Knowledge) {
	if req.ResumedAttempt != "" && req.isResumable() {
		return p.Streams.FindStreamOrigin(ctx, streamorigin.Attempt(req.ResumedAttempt))
	}
	version, known := p.Discovery.SoleVersion(req.service.Name, streamorigin.SoleVersionPeriod(req.routeTimeout()))

	return streamorigin.Origin{Service: req.service.Name, Version: version, StartedAt: req.startedAt}, known
}

// recordOrigin records where the request's stream begins, before its first event is forwarded.
func (p *Proxy) recordOrigin(req *proxiedRequest, sent *sentRequest) {
	if req.origin != nil || !req.isResumable() {
		return
	}
	instance, now := sent.instance, p.Now()
	req.origin = &streamorigin.Origin{
		Service: instance.Service, Upstream: instance.ID, Incarnation: instance.Incarnation, Version: instance.Version,
		StartedAt: now, ObservedAt: now,
	}
	req.origin.IsConfirmed = p.Discovery.ConfirmOrigin(*req.origin, sent.ConnectedAt())
	p.Streams.RecordStreamOrigin(streamorigin.Attempt(req.ID), *req.origin)
}

// eligibleUpstreams returns the available upstreams that may get the request. Upstreams that have shut down are not among them, even
// where the store says otherwise.
func (p *Proxy) eligibleUpstreams(req *proxiedRequest) []*registry.Instance {
	return req.filterByOrigin(p.usableUpstreams(p.Discovery.AvailableUpstreams(req.service.Name)))
}

// isEvacuated reports whether no upstream may get the request only because failure domains are evacuated.
func (p *Proxy) isEvacuated(req *proxiedRequest) bool {
	evacuated := p.usableUpstreams(p.Discovery.EvacuatedUpstreams(req.service.Name))

	return len(evacuated) > 0 && len(req.filterByOrigin(evacuated)) > 0 && len(p.eligibleUpstreams(req)) == 0
}

// filterByOrigin returns the upstreams of the stream's version once it has begun, none if that version is not known.
func (req *proxiedRequest) filterByOrigin(upstreams []*registry.Instance) []*registry.Instance {
	if req.origin == nil {
		return upstreams
	}
	if req.origin.Version == "" {
		return nil
	}
	var eligible []*registry.Instance
	for _, instance := range upstreams {
		if instance.Service == req.origin.Service && instance.Version == req.origin.Version {
			eligible = append(eligible, instance)
		}
	}

	return eligible
}

// usableUpstreams returns the upstreams without those whose drain timeout has expired since they announced their shutdown.
func (p *Proxy) usableUpstreams(available []*registry.Instance) []*registry.Instance {
	hasShutDown := func(instance *registry.Instance) bool { return p.Shutdowns.UpstreamUse(instance) == leaving.Never }
	if !slices.ContainsFunc(available, hasShutDown) {
		return available
	}

	return slices.DeleteFunc(slices.Clone(available), hasShutDown)
}
