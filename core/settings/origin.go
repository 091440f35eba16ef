package settings

import (
	"slices"
	"strings"
	"time"
)

// Effective is the value of a key in force at an entry and where it comes from.
type Effective struct {
	// Path is the entry and the key, such as workspaces.clerks.rate.
	Path  string `json:"path"`
	Value string `json:"value"`
	// From is the path of the ancestor that sets the value; it is empty for a default.
	From string `json:"from,omitempty"`
	// Line is where the ancestor sets the value; it is zero for a default.
	Line int `json:"line,omitempty"`
}

// DefaultOrigin is how people read an empty origin.
const DefaultOrigin = "default"

// Origin returns the ancestor in words.
func (e Effective) Origin() string {
	if e.From == "" {
		return DefaultOrigin
	}

	return e.From
}

// Effective returns the values in force at the path and below it, all for an empty path.
func (t *Tree) Effective(path string) []Effective {
	want := splitPath(path)
	var all []Effective
	routes := Effective{Path: keyOpenRoutes, Value: "[" + strings.Join(t.fleet.OpenRoutes, ", ") + "]", Line: t.openRoutes.line}
	if routes.Line > 0 {
		routes.From = keyOpenRoutes
	}
	all = appendMatching(all, want, routes)
	all = effectiveOf(all, want, &t.workspaces)

	return effectiveOf(all, want, &t.services)
}

func effectiveOf[T any](all []Effective, want []string, f *forest[T]) []Effective {
	for _, e := range f.entries {
		prefix := join(f.container, e.name)
		for i := range f.keys {
			spec := &f.keys[i].Spec
			if spec.Type == TypeTree {
				continue
			}
			value, ok := e.effective(spec)
			if !ok {
				continue
			}
			value.Path = join(prefix, spec.Name)
			all = appendMatching(all, want, value)
		}
	}

	return all
}

// effective returns the value of one key at an entry.
func (e *entry[T]) effective(spec *Spec) (Effective, bool) {
	if spec.Name == keyParent {
		if e.parent == nil {
			return Effective{}, false
		}

		return Effective{Value: e.parent.name, From: e.path, Line: e.at.line}, true
	}
	origin, own, ok := e.find(spec)
	switch {
	case ok:
		return Effective{Value: own.value.Text, From: origin.path, Line: own.at.line}, true
	case spec.Default != "":
		return Effective{Value: spec.Default}, true
	default:
		return Effective{}, false
	}
}

// splitPath reads a path such as workspaces.clerks.rate or workspaces/clerks.
func splitPath(path string) []string {
	return strings.FieldsFunc(path, func(r rune) bool { return r == '.' || r == '/' })
}

// appendMatching appends the value if the wanted parts stand at the start of its path, or after the container.
func appendMatching(all []Effective, want []string, value Effective) []Effective {
	parts := splitPath(value.Path)
	if startsWith(parts, want) || len(parts) > 1 && startsWith(parts[1:], want) {
		return append(all, value)
	}

	return all
}

func startsWith(parts, want []string) bool {
	return len(want) <= len(parts) && slices.Equal(parts[:len(want)], want)
}

// formatDuration writes a duration without units that are zero.
func formatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}

	return text
}
