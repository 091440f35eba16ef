package routing

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cardamomward/core/coldstart"
	"cardamomward/core/id"
)

// Kind is the kind of a route's requests, which determines whether they may be retried.
type Kind int

// Kinds of routes.
const (
	// Unsafe requests are executed at most once.
	Unsafe Kind = iota
	// Safe requests may be retried.
	Safe
	// Stream requests are answered by a stream of events; they may be retried only if the route is resumable.
	Stream
)

// WeightedService is a service that receives a share of a route's requests.
type WeightedService struct {
	Service id.Service
	// Weight is the share relative to the sum of the weights of the route's services.
	Weight int
}

// Route configures the requests to an HTTP host name whose path begins with a prefix.
type Route struct {
	Name string
	// Host is the host name in the URL of a request, without a port.
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the time limit of a whole request, including retries; zero means the default.
	Timeout time.Duration
	// LatencyTarget is the response time within which a request counts as on time.
	LatencyTarget time.Duration
	// Priority is the scheduling priority; 0 is the highest.
	Priority int
	Services []WeightedService
	// MaxAttempts limits the upstreams that may execute one request.
	MaxAttempts int
	// RetainsContext is set if turns carry only their new input, and the scheduler prepends the retained transcript.
	RetainsContext bool
	// Retention is the retention of a turn's transcript.
	Retention time.Duration
	// Public routes need no API key.
	Public bool
	// Resumable is set if a broken stream may be resumed at another upstream.
	Resumable bool
	// EventGapTarget is the longest pause between two events of a stream that counts as on time.
	EventGapTarget time.Duration
}

// IsRetryable reports whether a request may be executed more than once.
func (r *Route) IsRetryable() bool {
	return r.Kind == Safe || (r.Kind == Stream && r.Resumable)
}

// HasService reports whether the route may send requests to a service.
func (r *Route) HasService(service id.Service) bool {
	return slices.ContainsFunc(r.Services, func(s WeightedService) bool { return s.Service == service })
}

// PickService picks a service by weight; all requests with one affinity key get the same service.
func (r *Route) PickService(affinityKey string) id.Service {
	totalWeight := 0
	for _, candidate := range r.Services {
		totalWeight += candidate.Weight
	}
	if totalWeight <= 0 {
		return r.Services[0].Service
	}
	offset := int(xxhash.Sum64String(affinityKey) % uint64(totalWeight))
	for _, candidate := range r.Services {
		if offset < candidate.Weight {
			return candidate.Service
		}
		offset -= candidate.Weight
	}

	return r.Services[0].Service
}

// Engine describes the model engines of a service.
type Engine struct {
	// Concurrency is the number of calls that an engine runs at a time.
	Concurrency int
	// CacheTokens is the capacity of an engine's KV cache.
	CacheTokens id.Tokens
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent id.Tokens
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name id.Service
	// MaxConnections bounds the connections of all hosts together to one upstream.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
	// ColdStart describes the cold starts of the service's upstreams.
	ColdStart coldstart.Policy
}

// Workspace is a tenant with its API keys and rate limit.
type Workspace struct {
	Name id.Workspace
	Keys []string
	// Priority overrides the priority of the route if it is set.
	Priority *int
	// RequestsPerSecond is the rate limit over all hosts; zero means no limit.
	RequestsPerSecond float64
	// Burst is the size of the token bucket in requests.
	Burst float64
}

// Limits bound the size and the duration of a caller's requests.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	// HeaderTimeout is the longest time in which the header of a request may arrive.
	HeaderTimeout time.Duration
	// IdleTimeout is the time limit of a caller's connection without a request.
	IdleTimeout time.Duration
}
