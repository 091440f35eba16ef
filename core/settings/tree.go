package settings

import (
	"slices"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// setting is a key that an entry sets itself.
type setting struct {
	value Value
	at    place
}

// entry is a workspace or a service as written, with a link to its parent.
type entry[T any] struct {
	name   string
	at     place
	path   string
	parent *entry[T]
	// nested entries stand inside their parent.
	nested bool
	own    map[string]setting
	// invalid are the keys whose values have findings.
	invalid []string
	// broken entries have no chain of parents that ends.
	broken bool
}

// valid reports whether neither the entry nor an ancestor has findings at the keys.
func (e *entry[T]) valid(keys ...string) bool {
	for at := e; at != nil; at = at.parent {
		if slices.ContainsFunc(keys, func(key string) bool { return slices.Contains(at.invalid, key) }) {
			return false
		}
	}

	return true
}

// find returns the nearest entry from e upwards that sets the key.
func (e *entry[T]) find(spec *Spec) (*entry[T], setting, bool) {
	for at := e; at != nil; at = at.parent {
		if s, ok := at.own[spec.Name]; ok {
			return at, s, true
		}
		if !spec.Inherited {
			break
		}
	}

	return nil, setting{}, false
}

// resolve returns the entry's fields with all that it inherits.
func (e *entry[T]) resolve(keys []Key[T], defaults []Value) T {
	var resolved T
	for i := range keys {
		key := &keys[i]
		if key.Set == nil {
			continue
		}
		if _, s, ok := e.find(&key.Spec); ok {
			key.Set(&resolved, s.value)
		} else if key.Default != "" {
			key.Set(&resolved, defaults[i])
		}
	}

	return resolved
}

// forest is all workspaces or all services of a document.
type forest[T any] struct {
	// container is the key that holds entries by name.
	container string
	keys      []Key[T]
	entries   []*entry[T]
	byName    map[string]*entry[T]
}

// collect reads a mapping of entries and all that nest in them.
func (f *forest[T]) collect(r *report, path string, node ast.Node, parent *entry[T], level int) {
	fields, ok := fieldsOf(r, path, node)
	if !ok {
		r.add(placeOf(node), path, "there is %s; allowed is a mapping of names to settings", describe(node))

		return
	}
	if level > maxLevels {
		r.add(placeOf(node), path, "it nests too deep; allowed are %d levels", maxLevels)

		return
	}
	for _, entryField := range fields {
		entryPath := join(path, entryField.name)
		if problem := mismatch(entryField.name, namePattern); problem != "" {
			r.add(entryField.at, entryPath, "%s; allowed is %s", problem, forms[TypeName])
		}
		e := &entry[T]{name: entryField.name, at: entryField.at, path: entryPath, parent: parent, nested: parent != nil}
		if first, ok := f.byName[e.name]; ok {
			r.add(e.at, entryPath, "the name stands twice, first at %s; allowed is once in all %s", first.at, f.container)
		} else {
			f.byName[e.name] = e
		}
		f.entries = append(f.entries, e)
		f.read(r, e, entryField.value, level)
	}
}

// read checks the keys of one entry and collects its children.
func (f *forest[T]) read(r *report, e *entry[T], node ast.Node, level int) {
	e.own = make(map[string]setting)
	if _, empty := node.(*ast.NullNode); empty || node == nil {
		return
	}
	fields, ok := fieldsOf(r, e.path, node)
	if !ok {
		r.add(placeOf(node), e.path, "there is %s; allowed is a mapping with the keys %s", describe(node), names(f.keys))

		return
	}
	for _, keyField := range fields {
		spec, ok := lookup(f.keys, keyField.name)
		path := join(e.path, keyField.name)
		switch {
		case !ok:
			unknownKey(r, path, keyField, f.keys)
		case keyField.value == nil:
			e.invalid = append(e.invalid, spec.Name)
		case spec.Type == TypeTree:
			f.collect(r, path, keyField.value, e, level+1)
		case spec.Type == TypeUpstreams:
			e.own[spec.Name] = setting{value: readUpstreams(r, path, keyField.value, spec), at: keyField.at}
		default:
			value, ok := spec.read(r, path, keyField.value)
			if !ok {
				e.invalid = append(e.invalid, spec.Name)

				continue
			}
			e.own[spec.Name] = setting{value: value, at: placeOf(keyField.value)}
		}
	}
}

// link follows the parent keys and reports those that lead nowhere or back.
func (f *forest[T]) link(r *report) {
	for _, e := range f.entries {
		s, ok := e.own[keyParent]
		if !ok {
			continue
		}
		path := join(e.path, keyParent)
		parent, known := f.byName[s.value.Text]
		switch {
		case e.nested:
			r.add(s.at, path, "%s stands inside %s already; allowed is a parent key only at the top level", e.name, e.parent.name)
		case !known:
			r.add(s.at, path, "there is no %q%s; allowed is a name of %s", s.value.Text, r.hint(s.value.Text, f.names()), f.container)
		default:
			e.parent = parent
		}
	}
	f.findCycles(r)
}

// findCycles reports each cycle once and takes it apart.
func (f *forest[T]) findCycles(r *report) {
	done := make(map[*entry[T]]bool, len(f.entries))
	for _, start := range f.entries {
		var chain []*entry[T]
		position := make(map[*entry[T]]int)
		at := start
		for at != nil && !done[at] {
			if first, ok := position[at]; ok {
				f.cut(r, chain[first:])

				break
			}
			position[at] = len(chain)
			chain = append(chain, at)
			at = at.parent
		}
		for _, e := range chain {
			done[e] = true
		}
	}
	f.checkLevels(r)
}

// cut reports a cycle at its first parent key and ends the inheritance there.
func (f *forest[T]) cut(r *report, cycle []*entry[T]) {
	var first *entry[T]
	route := make([]string, 0, len(cycle)+1)
	for _, e := range cycle {
		route = append(route, e.name)
		if !e.nested && (first == nil || before(e.own[keyParent].at, first.own[keyParent].at)) {
			first = e
		}
	}
	if first == nil {
		return
	}
	route = append(route, cycle[0].name)
	r.add(first.own[keyParent].at, join(first.path, keyParent),
		"the parents form a cycle: %s; allowed is a parent that does not inherit from %s", strings.Join(route, " -> "), first.name)
	for _, e := range cycle {
		e.broken = true
	}
	first.parent = nil
}

func before(a, b place) bool {
	return a.line < b.line || a.line == b.line && a.column < b.column
}

func (f *forest[T]) checkLevels(r *report) {
	for _, e := range f.entries {
		level := 1
		for at := e.parent; at != nil && level <= maxLevels; at = at.parent {
			level++
		}
		if level > maxLevels {
			r.add(e.at, e.path, "it has too many ancestors; allowed are %d levels", maxLevels)
			e.parent = nil
		}
	}
}

func (f *forest[T]) names() []string {
	known := make([]string, 0, len(f.entries))
	for _, e := range f.entries {
		known = append(known, e.name)
	}

	return known
}

// lookup returns the definition of a key.
func lookup[T any](keys []Key[T], name string) (*Spec, bool) {
	for i := range keys {
		if keys[i].Name == name {
			return &keys[i].Spec, true
		}
	}

	return nil, false
}

func names[T any](keys []Key[T]) string {
	return strings.Join(nameList(keys), ", ")
}

func nameList[T any](keys []Key[T]) []string {
	list := make([]string, len(keys))
	for i := range keys {
		list[i] = keys[i].Name
	}

	return list
}

func unknownKey[T any](r *report, path string, unknown field, keys []Key[T]) {
	r.add(unknown.at, path, "the key is unknown%s; allowed are %s", r.hint(unknown.name, nameList(keys)), names(keys))
}
