package reverseproxy

import (
	"slices"
	"time"

	"cardamomward/core/affinity"
	"cardamomward/core/apierror"
	"cardamomward/core/costestimate"
	"cardamomward/core/id"
	"cardamomward/core/inbound"
	"cardamomward/core/leastcost"
	"cardamomward/core/leaving"
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
	// ExcludedEvacuated means that the failure domain of the upstream is evacuated.
	ExcludedEvacuated ExclusionReason = "evacuated"
	// ExcludedByQuery means that the query excludes the upstream.
	ExcludedByQuery ExclusionReason = "excluded"
	// ExcludedLeaving means that the upstream has announced its shutdown and others can serve.
	ExcludedLeaving ExclusionReason = "leaving"
	// ExcludedUnavailable means that the upstream is not available for another reason.
	ExcludedUnavailable ExclusionReason = "unavailable"
)

// PlacementCandidate is an upstream that could get the request, with its cost by component in milliseconds.
type PlacementCandidate struct {
	Upstream      id.Upstream        `json:"upstream"`
	FailureDomain id.FailureDomain   `json:"failure-domain,omitempty"`
	Version       id.SoftwareVersion `json:"version,omitempty"`
	CostMS        float64            `json:"cost-ms"`
	PrefillMS     float64            `json:"prefill-ms"`
	DecodeMS      float64            `json:"decode-ms"`
	QueueingMS    float64            `json:"queueing-ms"`
	FailuresMS    float64            `json:"failures-ms"`
	// FailureDomainMS is the cost of another failure domain than the host's.
	FailureDomainMS float64 `json:"failure-domain-ms"`
	// AdmissionDelayMS is the time until the limit of the upstream, or its pace while it is cold, admits a request.
	AdmissionDelayMS float64 `json:"admission-delay-ms"`
	// Cold is set while the upstream's caches are empty after a start.
	Cold bool `json:"cold"`
	// Learned is nil unless the host learns costs.
	Learned         *LearnedCosts `json:"learned,omitempty"`
	RunningRequests int           `json:"running-requests"`
	UnitLatencyMS   float64       `json:"unit-latency-ms"`
	// LatencyAgeMS is the age of the upstream's latest latency sample; nil if the latency is that of the service or the default.
	LatencyAgeMS       *float64 `json:"latency-age-ms,omitempty"`
	CachesSharedPrefix bool     `json:"caches-shared-prefix"`
}

// LearnedCosts has the components of a cost by outstanding work that other costs lack, and the work from which they follow.
type LearnedCosts struct {
	// InterferenceMS is the delay that the request and the running ones cause each other.
	InterferenceMS float64 `json:"interference-ms"`
	// PreemptionMS is the cost of the preemptions that the request causes in the engine's memory.
	PreemptionMS   float64   `json:"preemption-ms"`
	WorkMS         float64   `json:"work-ms"`
	ReservedTokens id.Tokens `json:"reserved-tokens"`
	CapacityTokens id.Tokens `json:"capacity-tokens"`
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
	// ComparesSample is set if the host learns costs: a request then compares a random sample of the candidates, and may be sent
	// to another one than Chosen.
	ComparesSample bool `json:"compares-sample"`
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
	usable := p.preferStaying(req, eligible)
	explanation := &PlacementExplanation{
		Route: req.route.Name, Service: req.service.Name, LimitExhausted: p.isAnyLimitExhausted(req),
		ComparesSample: p.LearnsCosts, Candidates: p.explainCandidates(req, usable), Excluded: []ExcludedUpstream{},
	}
	if len(explanation.Candidates) > 0 {
		explanation.Chosen = explanation.Candidates[0].Upstream
	}
	evacuated := p.Discovery.EvacuatedUpstreams(req.service.Name)
	for _, instance := range p.Discovery.RegisteredUpstreams(req.service.Name) {
		reason := req.exclusionReason(instance, eligible, evacuated)
		if reason == "" && !slices.Contains(usable, instance) {
			reason = ExcludedLeaving
		}
		if reason != "" {
			explanation.Excluded = append(explanation.Excluded, ExcludedUpstream{Upstream: instance.ID, Reason: reason})
		}
	}

	return explanation, nil
}

// preferStaying returns the eligible upstreams without those that have announced their shutdown, or all if no other may get the
// request.
func (p *Proxy) preferStaying(req *proxiedRequest, eligible []*registry.Instance) []*registry.Instance {
	var staying []*registry.Instance
	isUsable := false
	for _, instance := range eligible {
		if p.Shutdowns.UpstreamUse(instance) != leaving.Unrestricted {
			continue
		}
		staying = append(staying, instance)
		_, excluded := req.excludedUpstreams[instance.ID]
		isUsable = isUsable || !excluded
	}
	if !isUsable {
		return eligible
	}

	return staying
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
	if query.Workspace != "" {
		index := slices.IndexFunc(config.Workspaces, isNamed)
		if index < 0 {
			return nil, apierror.New(apierror.NotFound, "there is no workspace %q", query.Workspace)
		}
		req.workspace = config.Workspaces[index]
	}
	if p.needsProgramOwner(req) {
		// Learned costs differ between the first turn of a program and later ones.
		req.turn.Request, req.beginResult.ContinuesProgram = req.Request, query.LastUpstream != ""
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

// rankUpstreams returns the eligible upstreams in the order in which chooseUpstream prefers them; the caller holds statsMu.
func (p *Proxy) rankUpstreams(req *proxiedRequest, eligible []*registry.Instance, now time.Time) []leastcost.RankedUpstream {
	if !p.LearnsCosts {
		return leastcost.RankUpstreams(eligible, req.balancerRequest(), p.upstreamStates(req), req.excludedUpstreams)
	}
	request, tokensPerPart := p.learnedRequest(req, now, (*costestimate.Estimator).Preview), p.learned.tokensPerPart
	if _, shared := req.sharedPromptPart(); shared {
		// A request would store this size, which an explanation must not.
		tokensPerPart = request.SharedPromptTokens
	}

	return leastcost.RankByWork(eligible, request, p.workStates(req, now, tokensPerPart), req.excludedUpstreams)
}

// explainCandidates returns the eligible upstreams in the order in which chooseUpstream prefers them.
func (p *Proxy) explainCandidates(req *proxiedRequest, eligible []*registry.Instance) []PlacementCandidate {
	now := p.Now()
	p.statsMu.Lock()
	defer p.statsMu.Unlock()
	latencyAge := p.stats.LatencyAge
	if p.LearnsCosts {
		latencyAge = p.learned.speeds.SampleAge
	}
	ranked := p.rankUpstreams(req, eligible, now)
	candidates := make([]PlacementCandidate, 0, len(ranked))
	for i := range ranked {
		candidate := newPlacementCandidate(&ranked[i])
		if p.LearnsCosts {
			cost, state := &ranked[i].Cost, &ranked[i].State
			candidate.Learned = &LearnedCosts{
				InterferenceMS: cost.InterferenceMS, PreemptionMS: cost.PreemptionMS,
				WorkMS: state.WorkMillis, ReservedTokens: state.ReservedTokens, CapacityTokens: state.CapacityTokens,
			}
		}
		if age, ok := latencyAge(now, candidate.Upstream); ok {
			ms := age.Seconds() * 1000
			candidate.LatencyAgeMS = &ms
		}
		candidates = append(candidates, candidate)
	}

	return candidates
}

func newPlacementCandidate(ranked *leastcost.RankedUpstream) PlacementCandidate {
	instance, cost, state := ranked.Instance, &ranked.Cost, &ranked.State

	return PlacementCandidate{
		Upstream: instance.ID, FailureDomain: instance.FailureDomain, Version: instance.Version, CostMS: cost.TotalMS(),
		PrefillMS: cost.PrefillMS, DecodeMS: cost.DecodeMS, QueueingMS: cost.QueueingMS, FailuresMS: cost.FailuresMS,
		FailureDomainMS: cost.FailureDomainMS, AdmissionDelayMS: cost.AdmissionDelayMS, Cold: state.IsCold,
		RunningRequests: state.RunningRequests, UnitLatencyMS: state.UnitLatencyMS, CachesSharedPrefix: state.CachesSharedPrefix,
	}
}

// exclusionReason returns why a registered upstream is not a candidate, and an empty reason if it is one.
func (req *proxiedRequest) exclusionReason(instance *registry.Instance, eligible, evacuated []*registry.Instance) ExclusionReason {
	if _, excluded := req.excludedUpstreams[instance.ID]; excluded {
		return ExcludedByQuery
	}
	isSame := func(other *registry.Instance) bool { return other.ID == instance.ID }
	switch {
	case slices.ContainsFunc(eligible, isSame):
		return ""
	case instance.Draining:
		return ExcludedDraining
	case slices.ContainsFunc(evacuated, isSame):
		return ExcludedEvacuated
	case req.origin != nil && req.origin.Version != instance.Version:
		return ExcludedVersion
	default:
		return ExcludedUnavailable
	}
}
