package reverseproxy

import (
	"slices"

	"cardamomward/core/affinity"
	"cardamomward/core/apierror"
	"cardamomward/core/id"
	"cardamomward/core/inbound"
	"cardamomward/core/leastcost"
	"cardamomward/core/registry"
	"cardamomward/core/routing"
	"cardamomward/core/streamorigin"
)

// PromptPartQuery is a part of the prompt of a PlacementQuery.
type PromptPartQuery struct {
	ID     string    `json:"id"`
	Tokens id.Tokens `json:"tokens"`
}

// PlacementQuery has the properties of a request whose placement is explained.
type PlacementQuery struct {
	// Route is the name of the request's route; if it is empty, Host and Path determine the route.
	Route     string       `json:"route,omitempty"`
	Host      string       `json:"host,omitempty"`
	Path      string       `json:"path,omitempty"`
	Workspace id.Workspace `json:"workspace,omitempty"`
	// Session, or else AffinityKey, groups related requests.
	Session     string            `json:"session,omitempty"`
	AffinityKey string            `json:"affinity-key,omitempty"`
	PromptParts []PromptPartQuery `json:"prompt-parts,omitempty"`
	MaxTokens   id.Tokens         `json:"max-tokens,omitempty"`
	// LastUpstream and CachedTokens say where the previous turn of the session ran, which only the owner of the program knows.
	LastUpstream id.Upstream `json:"last-upstream,omitempty"`
	CachedTokens id.Tokens   `json:"cached-tokens,omitempty"`
	// StreamVersion is the version of the upstream that began the stream; it is empty for a new stream.
	StreamVersion id.SoftwareVersion `json:"stream-version,omitempty"`
	// Exclude are upstreams that have failed the request.
	Exclude []id.Upstream `json:"exclude,omitempty"`
}

// ExclusionReason says why an upstream is not a candidate.
type ExclusionReason string

// Values of ExclusionReason.
const (
	ExcludedDraining ExclusionReason = "draining"
	ExcludedVersion  ExclusionReason = "version"
	// ExcludedByQuery means that the query excludes the upstream.
	ExcludedByQuery ExclusionReason = "excluded"
	// ExcludedUnavailable means that the upstream is not available for another reason.
	ExcludedUnavailable ExclusionReason = "unavailable"
)

// PlacementCandidate is an upstream that could get the request, with its cost by component in milliseconds.
type PlacementCandidate struct {
	Upstream         id.Upstream        `json:"upstream"`
	FailureDomain    id.FailureDomain   `json:"failure-domain,omitempty"`
	Version          id.SoftwareVersion `json:"version,omitempty"`
	CostMS           float64            `json:"cost-ms"`
	PrefillMS        float64            `json:"prefill-ms"`
	DecodeMS         float64            `json:"decode-ms"`
	QueueingMS       float64            `json:"queueing-ms"`
	FailuresMS       float64            `json:"failures-ms"`
	AdmissionDelayMS float64            `json:"admission-delay-ms"`
	RunningRequests  int                `json:"running-requests"`
	UnitLatencyMS    float64            `json:"unit-latency-ms"`
	// LatencyAgeMS is the age of the upstream's latest latency sample; nil if the latency is that of the service or the default.
	LatencyAgeMS       *float64 `json:"latency-age-ms,omitempty"`
	CachesSharedPrefix bool     `json:"caches-shared-prefix"`
}

// ExcludedUpstream is an upstream of the service that could not get the request.
type ExcludedUpstream struct {
	Upstream id.Upstream     `json:"upstream"`
	Reason   ExclusionReason `json:"reason"`
}

// PlacementExplanation says where a request would be sent and why.
type PlacementExplanation struct {
	GatewayHost id.Host    `json:"gateway-host"`
	Route       string     `json:"route"`
	Service     id.Service `json:"service"`
	// Chosen is the upstream with the least cost; it is empty if there are no candidates.
	Chosen id.Upstream `json:"chosen,omitempty"`
	// LimitExhausted is set if the limit of an upstream of the service has no room. A first turn of a program is then sent only
	// if the chosen upstream serves it at once.
	LimitExhausted bool `json:"limit-exhausted"`
	// StoreAgeMS is the time since the latest response of the store, from which the registrations are read.
	StoreAgeMS float64              `json:"store-age-ms"`
	Candidates []PlacementCandidate `json:"candidates"`
	Excluded   []ExcludedUpstream   `json:"excluded"`
}

// ExplainPlacement returns where a request would be sent now and why, by the code that chooses the upstream of a request. It
// sends, records and reserves nothing. The error is an apierror.Error.
func (p *Proxy) ExplainPlacement(query *PlacementQuery) (*PlacementExplanation, error) {
	req, err := p.newExplainedRequest(query)
	if err != nil {
		return nil, err
	}
	eligible := p.eligibleUpstreams(req)
	explanation := &PlacementExplanation{
		Route: req.route.Name, Service: req.service.Name, LimitExhausted: p.isAnyLimitExhausted(req),
		Candidates: p.explainCandidates(req, eligible), Excluded: []ExcludedUpstream{},
	}
	if len(explanation.Candidates) > 0 {
		explanation.Chosen = explanation.Candidates[0].Upstream
	}
	for _, instance := range p.Discovery.RegisteredUpstreams(req.service.Name) {
		if reason := req.exclusionReason(instance, eligible); reason != "" {
			explanation.Excluded = append(explanation.Excluded, ExcludedUpstream{Upstream: instance.ID, Reason: reason})
		}
	}

	return explanation, nil
}

// newExplainedRequest returns a request with the properties of the query.
func (p *Proxy) newExplainedRequest(query *PlacementQuery) (*proxiedRequest, error) {
	config := p.Discovery.Config()
	if config == nil {
		return nil, apierror.New(apierror.LogUnavailable, "this host has not read the configuration yet; try again")
	}
	req := &proxiedRequest{startedAt: p.Now(), config: config, Request: &inbound.Request{
		Host: query.Host, Path: query.Path, SessionID: query.Session, AffinityKey: query.AffinityKey, MaxTokens: query.MaxTokens,
	}}
	for _, part := range query.PromptParts {
		req.PromptParts = append(req.PromptParts, inbound.PromptPart{ID: part.ID, Tokens: part.Tokens})
		req.PromptTokens += part.Tokens
	}
	req.beginResult.LastLocation = affinity.Location{Upstream: query.LastUpstream, CachedTokens: query.CachedTokens}
	if req.route = findRoute(config, query); req.route == nil {
		return nil, apierror.New(apierror.NotFound, "no route matches %q, host %q and path %q", query.Route, query.Host, query.Path)
	}
	isNamed := func(workspace *routing.Workspace) bool { return workspace.Name == query.Workspace }
	if query.Workspace != "" && !slices.ContainsFunc(config.Workspaces, isNamed) {
		return nil, apierror.New(apierror.NotFound, "there is no workspace %q", query.Workspace)
	}
	if req.service = config.Services[req.route.PickService(req.ResolveAffinityKey())]; req.service == nil {
		return nil, apierror.New(apierror.NotFound, "the route %q has no service that the configuration defines", req.route.Name)
	}
	if query.StreamVersion != "" {
		req.origin = &streamorigin.Origin{Service: req.service.Name, Version: query.StreamVersion, StartedAt: req.startedAt}
	}
	req.excludedUpstreams = make(map[id.Upstream]struct{}, len(query.Exclude))
	for _, upstream := range query.Exclude {
		req.excludedUpstreams[upstream] = struct{}{}
	}

	return req, nil
}

// findRoute returns the route of a query, or nil if there is none.
func findRoute(config *routing.Config, query *PlacementQuery) *routing.Route {
	if query.Route == "" {
		route, _ := config.Match(query.Host, query.Path)

		return route
	}
	index := slices.IndexFunc(config.Routes, func(route *routing.Route) bool { return route.Name == query.Route })
	if index < 0 {
		return nil
	}

	return config.Routes[index]
}

// explainCandidates returns the eligible upstreams in the order in which chooseUpstream prefers them.
func (p *Proxy) explainCandidates(req *proxiedRequest, eligible []*registry.Instance) []PlacementCandidate {
	now := p.Now()
	p.statsMu.Lock()
	defer p.statsMu.Unlock()
	ranked := leastcost.RankUpstreams(eligible, req.balancerRequest(), p.upstreamStates(req), req.excludedUpstreams)
	candidates := make([]PlacementCandidate, 0, len(ranked))
	for _, r := range ranked {
		candidate := PlacementCandidate{
			Upstream: r.Instance.ID, FailureDomain: r.Instance.FailureDomain, Version: r.Instance.Version, CostMS: r.Cost.TotalMS(),
			PrefillMS: r.Cost.PrefillMS, DecodeMS: r.Cost.DecodeMS, QueueingMS: r.Cost.QueueingMS, FailuresMS: r.Cost.FailuresMS,
			AdmissionDelayMS: r.Cost.AdmissionDelayMS, RunningRequests: r.State.RunningRequests, UnitLatencyMS: r.State.UnitLatencyMS,
			CachesSharedPrefix: r.State.CachesSharedPrefix,
		}
		if age, ok := p.stats.LatencyAge(now, r.Instance.ID); ok {
			ms := age.Seconds() * 1000
			candidate.LatencyAgeMS = &ms
		}
		candidates = append(candidates, candidate)
	}

	return candidates
}

// exclusionReason returns why a registered upstream is not a candidate, and an empty reason if it is one.
func (req *proxiedRequest) exclusionReason(instance *registry.Instance, eligible []*registry.Instance) ExclusionReason {
	if _, excluded := req.excludedUpstreams[instance.ID]; excluded {
		return ExcludedByQuery
	}
	isSame := func(other *registry.Instance) bool { return other.ID == instance.ID }
	switch {
	case slices.ContainsFunc(eligible, isSame):
		return ""
	case instance.Draining:
		return ExcludedDraining
	case req.origin != nil && req.origin.Version != instance.Version:
		return ExcludedVersion
	default:
		return ExcludedUnavailable
	}
}
