package settings

import (
	"cmp"
	"slices"
	"time"

	"cardamomward/core/id"
)

// Rate is a number of requests a second.
type Rate float64

// Priority is a class of urgency.
type Priority string

// Classes of urgency.
const (
	Routine Priority = "routine"
	Urgent  Priority = "urgent"
)

// Kind says what a service's upstreams are.
type Kind string

// Kinds of services.
const (
	KindEngine Kind = "engine"
	KindPlain  Kind = "plain"
)

// Workspace is a workspace with all that it inherits.
type Workspace struct {
	ID       id.Workspace
	Parent   id.Workspace
	Rate     Rate
	Burst    int64
	Budget   id.Tokens
	Weight   float64
	Priority Priority
	// ProgramLease is how long a program lives without a call.
	ProgramLease time.Duration
	// Services are the services that the workspace's programs may use.
	Services []id.Service
}

// Allows reports whether the workspace may use a service.
func (w *Workspace) Allows(service id.Service) bool { return slices.Contains(w.Services, service) }

// Upstream is one back end of a service.
type Upstream struct {
	ID            id.Upstream
	Address       string
	FailureDomain id.FailureDomain
	// Leaving upstreams get no new work.
	Leaving bool
}

// Service is a service with all that it inherits.
type Service struct {
	ID     id.Service
	Parent id.Service
	Kind   Kind
	Model  id.Model
	// Idempotent services may be sent the same call again.
	Idempotent bool
	// KnowsOutcomes says that the service can be asked what became of an idempotency key.
	KnowsOutcomes bool
	// ChecksFence says that the upstreams refuse orders with an old fencing number.
	ChecksFence bool
	// Timeout bounds a whole call.
	Timeout time.Duration
	// ProgressTimeout is the longest silence that a stream may have.
	ProgressTimeout time.Duration
	// MaxTokens bounds a call's answer.
	MaxTokens id.Tokens
	Upstreams []Upstream
}

// Fleet is a checked settings document with all inheritance resolved.
type Fleet struct {
	Workspaces map[id.Workspace]*Workspace
	Services   map[id.Service]*Service
	// OpenRoutes need no key.
	OpenRoutes []string
}

// ServiceForModel returns the engine service that serves a model and that the workspace may use.
func (f *Fleet) ServiceForModel(workspace *Workspace, model id.Model) (*Service, bool) {
	for _, name := range workspace.Services {
		service, ok := f.Services[name]
		if ok && service.Kind == KindEngine && (service.Model == model || id.Model(service.ID) == model) {
			return service, true
		}
	}

	return nil, false
}

// SortedServices returns the services by name.
func (f *Fleet) SortedServices() []*Service {
	services := make([]*Service, 0, len(f.Services))
	for _, service := range f.Services {
		services = append(services, service)
	}
	slices.SortFunc(services, func(a, b *Service) int { return cmp.Compare(a.ID, b.ID) })

	return services
}

// SortedWorkspaces returns the workspaces by name.
func (f *Fleet) SortedWorkspaces() []*Workspace {
	workspaces := make([]*Workspace, 0, len(f.Workspaces))
	for _, workspace := range f.Workspaces {
		workspaces = append(workspaces, workspace)
	}
	slices.SortFunc(workspaces, func(a, b *Workspace) int { return cmp.Compare(a.ID, b.ID) })

	return workspaces
}
