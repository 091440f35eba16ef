package gatewaysettings

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"cardamomward/core/id"
	"cardamomward/core/settings"
)

const (
	minWeight            = 0.01
	maxWeight            = 1000.0
	maxBudgetShare       = 0.8
	maxFailureDomainCost = time.Second
)

// decoder collects the findings of a document.
type decoder struct {
	file     string
	findings []settings.Finding
}

// field decodes the value of a key into its setting.
type field func(d *decoder, key string, value ast.Node)

// Parse decodes a document, or returns all findings sorted by position.
func Parse(file string, source []byte) (*Settings, []settings.Finding) {
	d := &decoder{file: file}
	decoded := &Settings{}
	document, err := parser.ParseBytes(source, 0)
	if err != nil {
		return nil, []settings.Finding{{File: file, Line: 1, Column: 1, Key: "document", Problem: err.Error()}}
	}
	for _, body := range document.Docs {
		if body.Body != nil {
			d.readMapping("", body.Body, sections(decoded))
		}
	}
	if len(d.findings) > 0 {
		slices.SortFunc(d.findings, func(a, b settings.Finding) int {
			return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
		})

		return nil, d.findings
	}

	return decoded, nil
}

func sections(s *Settings) map[string]field {
	section := func(fields map[string]field) field {
		return func(d *decoder, key string, value ast.Node) { d.readMapping(key, value, fields) }
	}

	return map[string]field{
		"overload": section(map[string]field{
			"enabled": boolField(&s.Overload.Enabled),
			"weights": weightsField(&s.Overload.Weights),
		}),
		"placement": section(map[string]field{
			"learned-cost":        boolField(&s.Placement.LearnedCost),
			"failure-domain-cost": durationField(&s.Placement.FailureDomainCost, maxFailureDomainCost),
			"local-directory":     boolField(&s.Placement.LocalDirectory),
		}),
		"memory": section(map[string]field{
			"budget-share": numberField(&s.Memory.BudgetShare, 0, maxBudgetShare),
		}),
	}
}

// readMapping decodes the entries of a mapping; unknown and repeated keys are findings.
func (d *decoder) readMapping(path string, node ast.Node, fields map[string]field) {
	entries, ok := d.entries(path, node)
	if !ok {
		return
	}
	seen := make(map[string]bool, len(entries))
	for _, entry := range entries {
		name := keyName(entry)
		key := join(path, name)
		decode, known := fields[name]
		switch {
		case !known:
			d.report(entry.Key, key, "the key is unknown")
		case seen[name]:
			d.report(entry.Key, key, "the key is repeated")
		default:
			decode(d, key, entry.Value)
		}
		seen[name] = true
	}
}

func (d *decoder) entries(path string, node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	case *ast.NullNode:
		return nil, true
	default:
		d.report(node, path, "the value must be a mapping")

		return nil, false
	}
}

func (d *decoder) report(node ast.Node, key, problem string) {
	line, column := 1, 1
	if tk := node.GetToken(); tk != nil && tk.Position != nil {
		line, column = tk.Position.Line, tk.Position.Column
	}
	d.findings = append(d.findings, settings.Finding{File: d.file, Line: line, Column: column, Key: cmp.Or(key, "document"), Problem: problem})
}

func keyName(entry *ast.MappingValueNode) string {
	if s, ok := entry.Key.(*ast.StringNode); ok {
		return s.Value
	}

	return entry.Key.String()
}

func join(path, name string) string {
	if path == "" {
		return name
	}

	return path + "." + name
}

func boolField(dst *bool) field {
	return func(d *decoder, key string, value ast.Node) {
		b, ok := value.(*ast.BoolNode)
		if !ok {
			d.report(value, key, "allowed is true or false")

			return
		}
		*dst = b.Value
	}
}

func numberField(dst *float64, low, high float64) field {
	return func(d *decoder, key string, value ast.Node) {
		number, ok := readNumber(value)
		if !ok || number < low || number > high {
			d.report(value, key, fmt.Sprintf("allowed is a number from %v to %v", low, high))

			return
		}
		*dst = number
	}
}

func readNumber(value ast.Node) (float64, bool) {
	switch value.(type) {
	case *ast.IntegerNode, *ast.FloatNode:
	default:
		return 0, false
	}
	number, err := strconv.ParseFloat(value.GetToken().Value, 64)

	return number, err == nil && !math.IsNaN(number)
}

func durationField(dst *time.Duration, high time.Duration) field {
	return func(d *decoder, key string, value ast.Node) {
		s, isString := value.(*ast.StringNode)
		var duration time.Duration
		err := strconv.ErrSyntax
		if isString {
			duration, err = time.ParseDuration(s.Value)
		}
		if err != nil || duration < 0 || duration > high {
			d.report(value, key, fmt.Sprintf("allowed is a duration with its unit, such as 4ms, up to %v", high))

			return
		}
		*dst = duration
	}
}

func weightsField(dst *map[id.Workspace]float64) field {
	return func(d *decoder, key string, value ast.Node) {
		entries, ok := d.entries(key, value)
		if !ok {
			return
		}
		weights := make(map[id.Workspace]float64, len(entries))
		for _, entry := range entries {
			var weight float64
			name := id.Workspace(keyName(entry))
			if _, repeated := weights[name]; repeated {
				d.report(entry.Key, join(key, string(name)), "the key is repeated")

				continue
			}
			numberField(&weight, minWeight, maxWeight)(d, join(key, string(name)), entry.Value)
			weights[name] = weight
		}
		*dst = weights
	}
}
