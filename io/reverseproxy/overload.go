package reverseproxy

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"cardamomward/core/id"
	"cardamomward/core/overload"
	"cardamomward/core/routing"
)

// WorkspaceLoadTracker counts the requests of workspaces and the programs that start, over all hosts.
type WorkspaceLoadTracker interface {
	// AddWorkspaceRequests changes the number of this host's requests of a workspace at a service.
	AddWorkspaceRequests(workspace id.Workspace, service id.Service, delta int)
	// RecordProgramStart counts the first turn of a program that this host has admitted or refused.
	RecordProgramStart(service id.Service, isAdmitted bool)
	// ServiceLoad returns the loads of workspaces at a service and the rate of its first turns, without its slots.
	ServiceLoad(service id.Service) overload.View
}

// OverloadAdmission refuses first turns of programs while the upstreams of their service are full.
type OverloadAdmission struct {
	Loads WorkspaceLoadTracker
	// Weights holds the weights of workspaces in fair shares; a workspace that is not listed has weight 1.
	Weights map[id.Workspace]float64

	mu      sync.Mutex
	classes map[id.Service]*overload.Classes
}

// countStart counts a first turn by its priority, and returns the shares of the priorities.
func (o *OverloadAdmission) countStart(now time.Time, service id.Service, priority int) overload.ClassShares {
	o.mu.Lock()
	defer o.mu.Unlock()
	classes, ok := o.classes[service]
	if !ok {
		if o.classes == nil {
			o.classes = make(map[id.Service]*overload.Classes)
		}
		classes = &overload.Classes{}
		o.classes[service] = classes
	}
	classes.Add(now, priority)

	return classes.Shares(now, priority)
}

// startsProgram reports whether the request is the first turn of a program. Only the owner of a program with a token budget knows
// that. Of the others, a request without a program and a session is a program of one turn; one with either may continue a
// program that this host does not know, and never counts as its start.
func (req *proxiedRequest) startsProgram() bool {
	if req.route.Kind != routing.Stream || req.service.Engine == nil || req.LastEventID != "" || req.PreviousTurn != "" {
		return false
	}
	if req.TokenBudget > 0 {
		return !req.beginResult.ContinuesProgram
	}

	return req.Program == "" && req.SessionID == ""
}

// priority returns the workspace's priority if it has one, else the route's; 0 is the highest.
func (req *proxiedRequest) priority() int {
	if req.workspace != nil && req.workspace.Priority != nil {
		return *req.workspace.Priority
	}

	return req.route.Priority
}

// checkOverload returns an error if the request starts a program that the upstreams have no room for.
func (p *Proxy) checkOverload(req *proxiedRequest) *errorResponse {
	if p.Overload == nil || !req.startsProgram() {
		return nil
	}
	shares := p.Overload.countStart(p.Now(), req.service.Name, req.priority())
	view := p.overloadView(req)
	decision := overload.Decide(view, req.workspaceName(), shares, rand.Float64())
	p.Overload.Loads.RecordProgramStart(req.service.Name, decision.Admit)
	if decision.Admit {
		return nil
	}
	p.Metrics.countSend("program-refused")
	p.Logger.Info("program-refused", "request", req.ID, "workspace", req.workspaceName(), "reason", decision.Reason,
		"occupancy", view.Occupancy(), "share", decision.Share, "fraction", decision.Fraction, "age", view.Age.Round(time.Millisecond))

	return &errorResponse{status: http.StatusServiceUnavailable, reason: string(decision.Reason), retryAfter: decision.RetryAfter}
}

// overloadView returns the state of the upstreams that may get the request.
func (p *Proxy) overloadView(req *proxiedRequest) overload.View {
	view := p.Overload.Loads.ServiceLoad(req.service.Name)
	for i := range view.Workspaces {
		view.Workspaces[i].Weight = p.Overload.Weights[view.Workspaces[i].Workspace]
	}
	for _, instance := range p.eligibleUpstreams(req) {
		running := p.Loads.RunningRequests(instance.ID)
		view.Slots += instance.Concurrency
		view.Running += running
		view.Free += max(0, instance.Concurrency-running)
	}

	return view
}
