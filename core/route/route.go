package route

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"cardamomward/core/id"
)

// Kind says how often a request may run.
type Kind int

// Kinds of routes.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run again.
	Safe
	// Stream requests are answered by events; they may run again only where the route is resumable.
	Stream
)

// Target is a service that serves a part of a route's requests.
type Target struct {
	Service id.Service
	Weight  int
}

// Route tells what becomes of the requests under a prefix of a host's paths.
type Route struct {
	Name    string
	Host    string
	Prefix  string
	Kind    Kind
	Timeout time.Duration
	// Target is the time within which an answer is on time.
	Target time.Duration
	// Priority is the rank; 0 is the highest.
	Priority    int
	Services    []Target
	MaxAttempts int
	// Retains is set where turns carry only their new input and the system keeps what was said.
	Retains   bool
	Retention time.Duration
	// Public routes need no key.
	Public    bool
	Resumable bool
	// GapTarget is the longest pause between events of a stream that is on time.
	GapTarget time.Duration
}

// Repeatable reports whether a request may run a second time.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || (r.Kind == Stream && r.Resumable)
}

// Service picks the service for a line of requests, so that a line stays with one service.
func (r *Route) Service(line string) id.Service {
	total := 0
	for _, target := range r.Services {
		total += target.Weight
	}
	if total <= 0 {
		return r.Services[0].Service
	}
	point := int(xxhash.Sum64String(line) % uint64(total))
	for _, target := range r.Services {
		if point < target.Weight {
			return target.Service
		}
		point -= target.Weight
	}

	return r.Services[0].Service
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots          int
	CacheTokens    id.Tokens
	TokensPerEvent id.Tokens
}

// Service is a set of upstreams that do the same.
type Service struct {
	Name id.Service
	// MaxConnections bounds the connections to one upstream, over all hosts.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Workspace is a tenant with its keys and rate.
type Workspace struct {
	Name id.Workspace
	Keys []string
	// Priority goes before a route's where it is set.
	Priority *int
	// Rate is in requests a second over all hosts; zero means no limit.
	Rate  float64
	Burst float64
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
