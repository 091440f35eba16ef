package settings

import (
	"cmp"
	"slices"
	"time"

	"cardamomward/core/id"
)

// Rate is a rate in requests per second.
type Rate float64

// Priority is the scheduling class of a workspace's calls; urgent calls are scheduled before routine ones.
type Priority string

// Scheduling classes.
const (
	PriorityRoutine Priority = "routine"
	PriorityUrgent  Priority = "urgent"
)

// Kind is the kind of a service, the same for all of its upstreams.
type Kind string

// Kinds of services: model engines and plain services.
const (
	KindEngine Kind = "engine"
	KindPlain  Kind = "plain"
)

// Workspace holds the effective settings of a workspace, including inherited ones.
type Workspace struct {
	ID     id.Workspace
	Parent id.Workspace
	Rate   Rate
	// Burst is the number of requests above the rate that all hosts together admit at once.
	Burst int64
	// Budget is the number of tokens that a program may use with its sub-agents.
	Budget id.Tokens
	// Weight is the workspace's share of the engines relative to other workspaces.
	Weight   float64
	Priority Priority
	// ProgramLease is the lifetime of a program without a call.
	ProgramLease time.Duration
	// Services are the services that the workspace's programs may call.
	Services []id.Service
}

// Allows reports whether the workspace's programs may call a service.
func (w *Workspace) Allows(service id.Service) bool { return slices.Contains(w.Services, service) }

// Upstream is one back end of a service.
type Upstream struct {
	ID id.Upstream
	// Address is an IP address and port.
	Address       string
	FailureDomain id.FailureDomain
	// Leaving is true if the upstream is being drained and gets no new calls.
	Leaving bool
}

// Service holds the effective settings of a service, including inherited ones.
type Service struct {
	ID     id.Service
	Parent id.Service
	Kind   Kind
	Model  id.Model
	// Idempotent is true if the same call may be sent again.
	Idempotent bool
	// KnowsOutcomes is true if the service can be queried for the outcome of the call with an idempotency key.
	KnowsOutcomes bool
	// ChecksFence is true if the upstreams reject requests with an outdated fencing token.
	ChecksFence bool
	// Timeout is the time limit of a whole call.
	Timeout time.Duration
	// ProgressTimeout is the longest time that a stream may go without new data.
	ProgressTimeout time.Duration
	// MaxTokens is the maximum length of a call's response in tokens.
	MaxTokens id.Tokens
	Upstreams []Upstream
}

// Fleet is a validated settings document with inheritance resolved.
type Fleet struct {
	Workspaces map[id.Workspace]*Workspace
	Services   map[id.Service]*Service
	// OpenRoutes are the routes that need no API key.
	OpenRoutes []string
}

// ServiceForModel returns the workspace's first engine service that serves the model or has its name.
func (f *Fleet) ServiceForModel(workspace *Workspace, model id.Model) (*Service, bool) {
	for _, name := range workspace.Services {
		service, ok := f.Services[name]
		if ok && service.Kind == KindEngine && (service.Model == model || id.Model(service.ID) == model) {
			return service, true
		}
	}

	return nil, false
}

// SortedServices returns the services sorted by name.
func (f *Fleet) SortedServices() []*Service {
	services := make([]*Service, 0, len(f.Services))
	for _, service := range f.Services {
		services = append(services, service)
	}
	slices.SortFunc(services, func(a, b *Service) int { return cmp.Compare(a.ID, b.ID) })

	return services
}

// SortedWorkspaces returns the workspaces sorted by name.
func (f *Fleet) SortedWorkspaces() []*Workspace {
	workspaces := make([]*Workspace, 0, len(f.Workspaces))
	for _, workspace := range f.Workspaces {
		workspaces = append(workspaces, workspace)
	}
	slices.SortFunc(workspaces, func(a, b *Workspace) int { return cmp.Compare(a.ID, b.ID) })

	return workspaces
}
