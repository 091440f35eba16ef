package settings

import (
	"github.com/goccy/go-yaml/ast"

	"cardamomward/core/id"
)

// Parse checks a document and returns it with all inheritance resolved, or all findings by place.
func Parse(file string, source []byte) (*Fleet, []Finding) {
	tree, findings := ParseTree(file, source)
	if len(findings) > 0 {
		return nil, findings
	}

	return tree.fleet, nil
}

// Tree is a checked document that knows where each effective value comes from.
type Tree struct {
	fleet      *Fleet
	workspaces forest[Workspace]
	services   forest[Service]
	// openRoutes is where the open routes are set; its line is zero for the default.
	openRoutes place
}

// Fleet returns the settings with all inheritance resolved.
func (t *Tree) Fleet() *Fleet { return t.fleet }

// ParseTree checks a document and returns it as a tree, or all findings by place.
func ParseTree(file string, source []byte) (*Tree, []Finding) {
	r := &report{file: file}
	mapping := readDocument(r, source)
	if mapping == nil {
		return nil, r.sorted()
	}
	t := &Tree{
		fleet:      &Fleet{},
		workspaces: forest[Workspace]{container: keyWorkspaces, keys: workspaceKeys, byName: make(map[string]*entry[Workspace])},
		services:   forest[Service]{container: keyServices, keys: serviceKeys, byName: make(map[string]*entry[Service])},
	}
	t.read(r, mapping)
	if r.partial {
		return nil, r.sorted()
	}
	t.workspaces.link(r)
	t.services.link(r)
	t.resolve()
	t.check(r)
	if len(r.findings) > 0 {
		return nil, r.sorted()
	}

	return t, nil
}

// read checks the top of the document.
func (t *Tree) read(r *report, mapping *ast.MappingNode) {
	*t.fleet = readMapping(r, "", documentStart, mapping, fleetKeys)
	fields, _ := fieldsOf(&report{partial: r.partial}, "", mapping)
	for _, f := range fields {
		if f.value == nil {
			continue
		}
		switch f.name {
		case keyOpenRoutes:
			t.openRoutes = placeOf(f.value)
		case keyWorkspaces:
			t.workspaces.collect(r, f.name, f.value, nil, 1)
		case keyServices:
			t.services.collect(r, f.name, f.value, nil, 1)
		}
	}
}

// resolve fills the fleet.
func (t *Tree) resolve() {
	t.fleet.Workspaces = make(map[id.Workspace]*Workspace, len(t.workspaces.entries))
	defaults := defaultValues(workspaceKeys)
	for _, e := range t.workspaces.entries {
		w := e.resolve(workspaceKeys, defaults)
		w.ID = id.Workspace(e.name)
		if e.parent != nil {
			w.Parent = id.Workspace(e.parent.name)
		}
		t.fleet.Workspaces[w.ID] = &w
	}
	t.fleet.Services = make(map[id.Service]*Service, len(t.services.entries))
	defaults = defaultValues(serviceKeys)
	for _, e := range t.services.entries {
		s := e.resolve(serviceKeys, defaults)
		s.ID = id.Service(e.name)
		if e.parent != nil {
			s.Parent = id.Service(e.parent.name)
		}
		if _, _, set := e.find(specOf(serviceKeys, keyProgress)); !set {
			s.Progress = min(s.Progress, s.Timeout)
		}
		t.fleet.Services[s.ID] = &s
	}
}

// specOf returns the definition of a key that is known to exist.
func specOf[T any](keys []Key[T], name string) *Spec {
	spec, _ := lookup(keys, name)

	return spec
}
