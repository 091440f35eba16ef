package demo

import (
	"slices"

	"cardamomward/core/id"
	"cardamomward/core/settings"
)

// demoWorkspace is a workspace with the services that the demo uses.
type demoWorkspace struct {
	settings *settings.Workspace
	// engines are the workspace's engine services, at most one per model.
	engines []*settings.Service
	// nonIdempotent is a plain service whose calls must not be repeated.
	nonIdempotent *settings.Service
	// idempotent is a plain service whose calls may be repeated.
	idempotent *settings.Service
}

// hasAvailableUpstream reports whether a service has an upstream that is not leaving.
func hasAvailableUpstream(svc *settings.Service) bool {
	return svc != nil && slices.ContainsFunc(svc.Upstreams, func(u settings.Upstream) bool { return !u.Leaving })
}

// newDemoWorkspace selects the services of a workspace that the demo uses.
func newDemoWorkspace(fleet *settings.Fleet, workspace *settings.Workspace) demoWorkspace {
	c := demoWorkspace{settings: workspace}
	for _, name := range workspace.Services {
		svc := fleet.Services[name]
		switch {
		case !hasAvailableUpstream(svc):
		case svc.Kind == settings.KindEngine:
			if !slices.ContainsFunc(c.engines, func(other *settings.Service) bool { return other.Model == svc.Model }) {
				c.engines = append(c.engines, svc)
			}
		case !svc.Idempotent && c.nonIdempotent == nil:
			c.nonIdempotent = svc
		case svc.Idempotent && c.idempotent == nil:
			c.idempotent = svc
		}
	}

	return c
}

// countShownFeatures counts the features that the demo can show with the services and the priority of the workspace.
func (c *demoWorkspace) countShownFeatures() int {
	count := min(len(c.engines), 2)
	if c.nonIdempotent != nil {
		count++
	}
	if c.settings.Priority == settings.PriorityUrgent {
		count++
	}

	return count
}

// selectWorkspaces returns up to maxDemoWorkspaces workspaces that show the most features, preferring workspaces with
// different root workspaces.
func selectWorkspaces(fleet *settings.Fleet) []demoWorkspace {
	var candidates []demoWorkspace
	for _, workspace := range fleet.SortedWorkspaces() {
		if c := newDemoWorkspace(fleet, workspace); len(c.engines) > 0 || c.nonIdempotent != nil || c.idempotent != nil {
			candidates = append(candidates, c)
		}
	}
	slices.SortStableFunc(candidates, func(a, b demoWorkspace) int { return b.countShownFeatures() - a.countShownFeatures() })
	seenRoots := make(map[id.Workspace]bool)
	var first, rest []demoWorkspace
	for _, c := range candidates {
		root := findRootWorkspace(fleet, c.settings)
		if seenRoots[root] {
			rest = append(rest, c)

			continue
		}
		seenRoots[root] = true
		first = append(first, c)
	}
	candidates = slices.Concat(first, rest)

	return candidates[:min(len(candidates), maxDemoWorkspaces)]
}

func findRootWorkspace(fleet *settings.Fleet, workspace *settings.Workspace) id.Workspace {
	for workspace.Parent != "" {
		workspace = fleet.Workspaces[workspace.Parent]
	}

	return workspace.ID
}

// SelectModel returns a model that the workspace may use, false if there is none or the workspace does not exist. An empty
// workspace is set to the one that can run the most steps of the demo.
func SelectModel(fleet *settings.Fleet, workspace *id.Workspace) (id.Model, bool) {
	if *workspace == "" {
		candidates := selectWorkspaces(fleet)
		if len(candidates) == 0 {
			return "", false
		}
		*workspace = candidates[0].settings.ID
	}
	found, ok := fleet.Workspaces[*workspace]
	if !ok {
		return "", false
	}
	c := newDemoWorkspace(fleet, found)
	if len(c.engines) == 0 {
		return "", false
	}

	return c.engines[0].Model, true
}
