package settings

import (
	"slices"
	"strings"
	"time"
)

// EffectiveValue is the effective value of a key at an entry and its origin.
type EffectiveValue struct {
	// Path is the path of the entry and the key, such as workspaces.clerks.rate.
	Path  string `json:"path"`
	Value string `json:"value"`
	// From is the path of the entry that sets the value; it is empty for a default.
	From string `json:"from,omitempty"`
	// Line is the line on which the value is set; it is zero for a default.
	Line int `json:"line,omitempty"`
}

// DefaultOrigin is the origin that is printed for a value that no entry sets.
const DefaultOrigin = "default"

// Origin returns the path of the entry that sets the value, or DefaultOrigin.
func (e EffectiveValue) Origin() string {
	if e.From == "" {
		return DefaultOrigin
	}

	return e.From
}

// EffectiveValues returns the effective values at a path and below it, or all of them for an empty path.
func (t *Tree) EffectiveValues(path string) []EffectiveValue {
	filter := splitPath(path)
	var values []EffectiveValue
	routes := EffectiveValue{Path: keyOpenRoutes, Value: "[" + strings.Join(t.fleet.OpenRoutes, ", ") + "]", Line: t.openRoutes.line}
	if routes.Line > 0 {
		routes.From = keyOpenRoutes
	}
	values = appendMatching(values, filter, routes)
	values = appendEffective(values, filter, &t.workspaces)

	return appendEffective(values, filter, &t.services)
}

// appendEffective appends the effective values of all entries of a forest that match filter.
func appendEffective[T any](values []EffectiveValue, filter []string, f *forest[T]) []EffectiveValue {
	for _, e := range f.entries {
		prefix := joinPath(f.containerKey, e.name)
		for i := range f.keys {
			spec := &f.keys[i].Spec
			if spec.Type == TypeTree {
				continue
			}
			value, ok := e.effectiveValue(spec)
			if !ok {
				continue
			}
			value.Path = joinPath(prefix, spec.Name)
			values = appendMatching(values, filter, value)
		}
	}

	return values
}

// effectiveValue returns the effective value of one key at an entry.
func (e *entry[T]) effectiveValue(spec *Spec) (EffectiveValue, bool) {
	if spec.Name == keyParent {
		if e.parent == nil {
			return EffectiveValue{}, false
		}

		return EffectiveValue{Value: e.parent.name, From: e.path, Line: e.position.line}, true
	}
	origin, nearest, ok := e.nearestSetting(spec)
	switch {
	case ok:
		return EffectiveValue{Value: nearest.value.Text, From: origin.path, Line: nearest.position.line}, true
	case spec.Default != "":
		return EffectiveValue{Value: spec.Default}, true
	default:
		return EffectiveValue{}, false
	}
}

// splitPath splits a path such as workspaces.clerks.rate or workspaces/clerks.
func splitPath(path string) []string {
	return strings.FieldsFunc(path, func(r rune) bool { return r == '.' || r == '/' })
}

// appendMatching appends the value if its path starts with filter, with or without the top-level key.
func appendMatching(values []EffectiveValue, filter []string, value EffectiveValue) []EffectiveValue {
	parts := splitPath(value.Path)
	if hasPrefix(parts, filter) || len(parts) > 1 && hasPrefix(parts[1:], filter) {
		return append(values, value)
	}

	return values
}

func hasPrefix(parts, filter []string) bool {
	return len(filter) <= len(parts) && slices.Equal(parts[:len(filter)], filter)
}

// formatDuration formats a duration without trailing zero units.
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
