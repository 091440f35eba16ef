package settings

import (
	"slices"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// setting is the value of a key that an entry itself sets, with its position.
type setting struct {
	value    Value
	position position
}

// entry is a workspace or a service as written in the document, with a link to its parent.
type entry[T any] struct {
	name     string
	position position
	path     string
	parent   *entry[T]
	// isNested is true if the entry is written inside its parent.
	isNested    bool
	ownSettings map[string]setting
	// invalid holds the keys whose values have findings.
	invalid []string
	// inCycle is true if the entry is part of a cycle of parents.
	inCycle bool
}

// isValid reports whether neither the entry nor an ancestor has findings for the keys.
func (e *entry[T]) isValid(keys ...string) bool {
	for ancestor := e; ancestor != nil; ancestor = ancestor.parent {
		if slices.ContainsFunc(keys, func(key string) bool { return slices.Contains(ancestor.invalid, key) }) {
			return false
		}
	}

	return true
}

// nearestSetting returns the entry that determines the value of a key, e itself or its nearest ancestor, and its setting.
func (e *entry[T]) nearestSetting(spec *Spec) (*entry[T], setting, bool) {
	for ancestor := e; ancestor != nil; ancestor = ancestor.parent {
		if s, ok := ancestor.ownSettings[spec.Name]; ok {
			return ancestor, s, true
		}
		if !spec.Inherited {
			break
		}
	}

	return nil, setting{}, false
}

// resolveInherited returns a T with the entry's own values, inherited values and defaults.
func (e *entry[T]) resolveInherited(keys []Key[T], defaults []Value) T {
	var resolved T
	for i := range keys {
		key := &keys[i]
		if key.Set == nil {
			continue
		}
		if _, s, ok := e.nearestSetting(&key.Spec); ok {
			key.Set(&resolved, s.value)
		} else if key.Default != "" {
			key.Set(&resolved, defaults[i])
		}
	}

	return resolved
}

// forest holds all workspaces or all services of a document, each a node of an inheritance tree.
type forest[T any] struct {
	// containerKey is the key that contains entries by name, at the top level and inside entries.
	containerKey string
	keys         []Key[T]
	entries      []*entry[T]
	byName       map[string]*entry[T]
}

// readEntries reads a mapping of entries, including nested ones.
func (f *forest[T]) readEntries(r *report, path string, node ast.Node, parent *entry[T], level int) {
	fields, ok := readFields(r, path, node)
	if !ok {
		r.add(positionOf(node), path, "there is %s; allowed is a mapping of names to settings", describeNode(node))

		return
	}
	if level > maxInheritanceLevels {
		r.add(positionOf(node), path, "it nests too deep; allowed are %d levels", maxInheritanceLevels)

		return
	}
	for _, entryField := range fields {
		entryPath := joinPath(path, entryField.name)
		if problem := checkPattern(entryField.name, namePattern); problem != "" {
			r.add(entryField.position, entryPath, "%s; allowed is %s", problem, typeDescriptions[TypeName])
		}
		e := &entry[T]{name: entryField.name, position: entryField.position, path: entryPath, parent: parent, isNested: parent != nil}
		if first, ok := f.byName[e.name]; ok {
			r.add(e.position, entryPath, "the name is used twice, first at %s; allowed is once in all %s", first.position, f.containerKey)
		} else {
			f.byName[e.name] = e
		}
		f.entries = append(f.entries, e)
		f.readEntry(r, e, entryField.value, level)
	}
}

// readEntry reads the keys of one entry and its nested entries.
func (f *forest[T]) readEntry(r *report, e *entry[T], node ast.Node, level int) {
	e.ownSettings = make(map[string]setting)
	if _, empty := node.(*ast.NullNode); empty || node == nil {
		return
	}
	fields, ok := readFields(r, e.path, node)
	if !ok {
		r.add(positionOf(node), e.path, "there is %s; allowed is a mapping with the keys %s", describeNode(node), joinKeyNames(f.keys))

		return
	}
	for _, keyField := range fields {
		spec, ok := findSpec(f.keys, keyField.name)
		path := joinPath(e.path, keyField.name)
		switch {
		case !ok:
			reportUnknownKey(r, path, keyField, f.keys)
		case keyField.value == nil:
			e.invalid = append(e.invalid, spec.Name)
		case spec.Type == TypeTree:
			f.readEntries(r, path, keyField.value, e, level+1)
		case spec.Type == TypeUpstreams:
			e.ownSettings[spec.Name] = setting{value: readUpstreams(r, path, keyField.value, spec), position: keyField.position}
		default:
			value, ok := spec.readValue(r, path, keyField.value)
			if !ok {
				e.invalid = append(e.invalid, spec.Name)

				continue
			}
			e.ownSettings[spec.Name] = setting{value: value, position: positionOf(keyField.value)}
		}
	}
}

// linkParents resolves the parent keys and reports unknown parents and cycles.
func (f *forest[T]) linkParents(r *report) {
	for _, e := range f.entries {
		s, ok := e.ownSettings[keyParent]
		if !ok {
			continue
		}
		path := joinPath(e.path, keyParent)
		parent, known := f.byName[s.value.Text]
		switch {
		case e.isNested:
			r.add(s.position, path, "%s is nested in %s already; allowed is a parent key only at the top level", e.name, e.parent.name)
		case !known:
			r.add(s.position, path, "there is no %q%s; allowed is a name of %s", s.value.Text, r.suggestName(s.value.Text, f.entryNames()), f.containerKey)
		default:
			e.parent = parent
		}
	}
	f.findCycles(r)
}

// findCycles reports each cycle of parents once and breaks it.
func (f *forest[T]) findCycles(r *report) {
	visited := make(map[*entry[T]]bool, len(f.entries))
	for _, start := range f.entries {
		var chain []*entry[T]
		indexOf := make(map[*entry[T]]int)
		current := start
		for current != nil && !visited[current] {
			if first, ok := indexOf[current]; ok {
				f.breakCycle(r, chain[first:])

				break
			}
			indexOf[current] = len(chain)
			chain = append(chain, current)
			current = current.parent
		}
		for _, e := range chain {
			visited[e] = true
		}
	}
	f.checkDepth(r)
}

// breakCycle reports a cycle at its first parent key in the document and removes that link.
func (f *forest[T]) breakCycle(r *report, cycle []*entry[T]) {
	var first *entry[T]
	cycleNames := make([]string, 0, len(cycle)+1)
	for _, e := range cycle {
		cycleNames = append(cycleNames, e.name)
		if !e.isNested && (first == nil || isBefore(e.ownSettings[keyParent].position, first.ownSettings[keyParent].position)) {
			first = e
		}
	}
	if first == nil {
		return
	}
	cycleNames = append(cycleNames, cycle[0].name)
	r.add(first.ownSettings[keyParent].position, joinPath(first.path, keyParent),
		"the parents form a cycle: %s; allowed is a parent that does not inherit from %s", strings.Join(cycleNames, " -> "), first.name)
	for _, e := range cycle {
		e.inCycle = true
	}
	first.parent = nil
}

// isBefore reports whether a precedes b in the document.
func isBefore(a, b position) bool {
	return a.line < b.line || a.line == b.line && a.column < b.column
}

// checkDepth reports entries with more than maxInheritanceLevels levels.
func (f *forest[T]) checkDepth(r *report) {
	for _, e := range f.entries {
		level := 1
		for ancestor := e.parent; ancestor != nil && level <= maxInheritanceLevels; ancestor = ancestor.parent {
			level++
		}
		if level > maxInheritanceLevels {
			r.add(e.position, e.path, "it has too many ancestors; allowed are %d levels", maxInheritanceLevels)
			e.parent = nil
		}
	}
}

func (f *forest[T]) entryNames() []string {
	known := make([]string, 0, len(f.entries))
	for _, e := range f.entries {
		known = append(known, e.name)
	}

	return known
}

// findSpec returns the spec of a key by name.
func findSpec[T any](keys []Key[T], name string) (*Spec, bool) {
	for i := range keys {
		if keys[i].Name == name {
			return &keys[i].Spec, true
		}
	}

	return nil, false
}

func joinKeyNames[T any](keys []Key[T]) string {
	return strings.Join(keyNames(keys), ", ")
}

func keyNames[T any](keys []Key[T]) []string {
	list := make([]string, len(keys))
	for i := range keys {
		list[i] = keys[i].Name
	}

	return list
}

func reportUnknownKey[T any](r *report, path string, unknown field, keys []Key[T]) {
	r.add(unknown.position, path, "the key is unknown%s; allowed are %s", r.suggestName(unknown.name, keyNames(keys)), joinKeyNames(keys))
}
