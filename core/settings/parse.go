package settings

import (
	"github.com/goccy/go-yaml/ast"

	"cardamomward/core/id"
)

// Parse validates a document and returns it with inheritance resolved, or all findings sorted by position.
func Parse(file string, source []byte) (*Fleet, []Finding) {
	tree, findings := ParseTree(file, source)
	if len(findings) > 0 {
		return nil, findings
	}

	return tree.fleet, nil
}

// Tree is a validated document that records the origin of each effective value.
type Tree struct {
	fleet      *Fleet
	workspaces forest[Workspace]
	services   forest[Service]
	// openRoutes is the position of the open-routes key's value; its line is zero if the key is not set.
	openRoutes position
}

// Fleet returns the settings with inheritance resolved.
func (t *Tree) Fleet() *Fleet { return t.fleet }

// ParseTree validates a document and returns it as a Tree, or all findings sorted by position.
func ParseTree(file string, source []byte) (*Tree, []Finding) {
	r := &report{file: file}
	mapping := readDocument(r, source)
	if mapping == nil {
		return nil, r.sortedFindings()
	}
	t := &Tree{
		fleet:      &Fleet{},
		workspaces: forest[Workspace]{containerKey: keyWorkspaces, keys: workspaceKeys, byName: make(map[string]*entry[Workspace])},
		services:   forest[Service]{containerKey: keyServices, keys: serviceKeys, byName: make(map[string]*entry[Service])},
	}
	t.readRoot(r, mapping)
	if r.partial {
		return nil, r.sortedFindings()
	}
	t.workspaces.linkParents(r)
	t.services.linkParents(r)
	t.resolveFleet()
	t.checkFleet(r)
	if len(r.findings) > 0 {
		return nil, r.sortedFindings()
	}

	return t, nil
}

// readRoot reads the top-level keys of the document.
func (t *Tree) readRoot(r *report, mapping *ast.MappingNode) {
	*t.fleet = readMapping(r, "", documentStart, mapping, fleetKeys)
	fields, _ := readFields(&report{partial: r.partial}, "", mapping)
	for _, f := range fields {
		if f.value == nil {
			continue
		}
		switch f.name {
		case keyOpenRoutes:
			t.openRoutes = positionOf(f.value)
		case keyWorkspaces:
			t.workspaces.readEntries(r, f.name, f.value, nil, 1)
		case keyServices:
			t.services.readEntries(r, f.name, f.value, nil, 1)
		}
	}
}

// resolveFleet fills the fleet with the effective settings of all workspaces and services.
func (t *Tree) resolveFleet() {
	t.fleet.Workspaces = make(map[id.Workspace]*Workspace, len(t.workspaces.entries))
	defaults := defaultValues(workspaceKeys)
	for _, e := range t.workspaces.entries {
		w := e.resolveInherited(workspaceKeys, defaults)
		w.ID = id.Workspace(e.name)
		if e.parent != nil {
			w.Parent = id.Workspace(e.parent.name)
		}
		t.fleet.Workspaces[w.ID] = &w
	}
	t.fleet.Services = make(map[id.Service]*Service, len(t.services.entries))
	defaults = defaultValues(serviceKeys)
	for _, e := range t.services.entries {
		s := e.resolveInherited(serviceKeys, defaults)
		s.ID = id.Service(e.name)
		if e.parent != nil {
			s.Parent = id.Service(e.parent.name)
		}
		if _, _, set := e.nearestSetting(mustFindSpec(serviceKeys, keyProgressTimeout)); !set {
			s.ProgressTimeout = min(s.ProgressTimeout, s.Timeout)
		}
		t.fleet.Services[s.ID] = &s
	}
}

// mustFindSpec returns the spec of a key that is known to exist.
func mustFindSpec[T any](keys []Key[T], name string) *Spec {
	spec, _ := findSpec(keys, name)

	return spec
}
