package demo

import (
	"slices"

	"cardamomward/core/id"
	"cardamomward/core/settings"
)

// cast is a workspace with the services that the demo uses.
type cast struct {
	workspace *settings.Workspace
	// engines are the workspace's engine services, at most one a model.
	engines []*settings.Service
	// once is a plain service whose calls may not be repeated.
	once *settings.Service
	// repeatable is a plain service whose calls may be repeated.
	repeatable *settings.Service
}

// usable reports whether a service has an upstream that takes new work.
func usable(svc *settings.Service) bool {
	return svc != nil && slices.ContainsFunc(svc.Upstreams, func(u settings.Upstream) bool { return !u.Leaving })
}

// castOf returns the services of a workspace that the demo uses.
func castOf(fleet *settings.Fleet, workspace *settings.Workspace) cast {
	c := cast{workspace: workspace}
	for _, name := range workspace.Services {
		svc := fleet.Services[name]
		switch {
		case !usable(svc):
		case svc.Kind == settings.KindEngine:
			if !slices.ContainsFunc(c.engines, func(other *settings.Service) bool { return other.Model == svc.Model }) {
				c.engines = append(c.engines, svc)
			}
		case !svc.Idempotent && c.once == nil:
			c.once = svc
		case svc.Idempotent && c.repeatable == nil:
			c.repeatable = svc
		}
	}

	return c
}

// complete counts the parts of the demo that the workspace can show.
func (c *cast) complete() int {
	count := min(len(c.engines), 2)
	if c.once != nil {
		count++
	}
	if c.workspace.Priority == settings.PriorityUrgent {
		count++
	}

	return count
}

// castsOf returns the workspaces that can show most, each from another family where there are several.
func castsOf(fleet *settings.Fleet) []cast {
	var casts []cast
	for _, workspace := range fleet.SortedWorkspaces() {
		if c := castOf(fleet, workspace); len(c.engines) > 0 || c.once != nil || c.repeatable != nil {
			casts = append(casts, c)
		}
	}
	slices.SortStableFunc(casts, func(a, b cast) int { return b.complete() - a.complete() })
	families := make(map[id.Workspace]bool)
	var first, rest []cast
	for _, c := range casts {
		family := rootOf(fleet, c.workspace)
		if families[family] {
			rest = append(rest, c)

			continue
		}
		families[family] = true
		first = append(first, c)
	}
	casts = slices.Concat(first, rest)

	return casts[:min(len(casts), demoWorkspaces)]
}

func rootOf(fleet *settings.Fleet, workspace *settings.Workspace) id.Workspace {
	for workspace.Parent != "" {
		workspace = fleet.Workspaces[workspace.Parent]
	}

	return workspace.ID
}

// ModelFor returns a model that the workspace may use; an empty workspace becomes the one that can show most.
func ModelFor(fleet *settings.Fleet, workspace *id.Workspace) (id.Model, bool) {
	if *workspace == "" {
		casts := castsOf(fleet)
		if len(casts) == 0 {
			return "", false
		}
		*workspace = casts[0].workspace.ID
	}
	found, ok := fleet.Workspaces[*workspace]
	if !ok {
		return "", false
	}
	c := castOf(fleet, found)
	if len(c.engines) == 0 {
		return "", false
	}

	return c.engines[0].Model, true
}
