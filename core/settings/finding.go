package settings

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// Finding is one mistake in a settings document, with its place.
type Finding struct {
	File string `json:"file"`
	// Line and Column count from 1; columns count characters.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Key is the path of the key, such as workspaces.clerks.rate.
	Key string `json:"key"`
	// Problem says what is wrong and what is allowed.
	Problem string `json:"problem"`
}

func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s: %s", f.File, f.Line, f.Column, f.Key, f.Problem)
}

// documentKey is the key of findings that no single key causes.
const documentKey = "document"

// position is a position in a document.
type position struct {
	line, column int
}

func (p position) String() string { return fmt.Sprintf("line %d", p.line) }

// documentStart is the position of findings about a whole document.
var documentStart = position{line: 1, column: 1}

func positionOfToken(tk *token.Token) position {
	if tk == nil || tk.Position == nil {
		return documentStart
	}

	return position{line: max(tk.Position.Line, 1), column: max(tk.Position.Column, 1)}
}

// positionOf returns the place where a node starts.
func positionOf(node ast.Node) position {
	switch n := node.(type) {
	case nil:
		return documentStart
	case *ast.MappingNode:
		if n.IsFlowStyle || len(n.Values) == 0 {
			return positionOfToken(n.Start)
		}

		return positionOf(n.Values[0])
	case *ast.MappingValueNode:
		return positionOf(n.Key)
	default:
		return positionOfToken(node.GetToken())
	}
}

// maxFindings bounds the findings of a document that are reported.
const maxFindings = 1000

// report collects the findings of one document.
type report struct {
	file            string
	findings        []Finding
	suggestionCount int
	// partial is set while the rest of the document is unknown.
	partial bool
}

// maxSuggestions bounds the hints of a document, each of which looks at all known names.
const maxSuggestions = 50

func (r *report) suggestName(word string, known []string) string {
	r.suggestionCount++
	if r.suggestionCount > maxSuggestions {
		return ""
	}

	return suggestName(word, known)
}

func formatIndex(index int) string { return fmt.Sprintf("[%d]", index) }

func (r *report) add(pos position, key, format string, args ...any) {
	r.findings = append(r.findings, Finding{
		File: r.file, Line: pos.line, Column: pos.column, Key: key, Problem: fmt.Sprintf(format, args...),
	})
}

// sortedFindings returns the findings by place, each once.
func (r *report) sortedFindings() []Finding {
	slices.SortStableFunc(r.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column),
			cmp.Compare(a.Key, b.Key), cmp.Compare(a.Problem, b.Problem))
	})
	findings := slices.Compact(r.findings)
	if len(findings) <= maxFindings {
		return findings
	}
	rest := len(findings) - maxFindings
	findings = findings[:maxFindings]
	last := findings[maxFindings-1]
	last.Key, last.Problem = documentKey, fmt.Sprintf("there are %d more findings; mend these first", rest)

	return append(findings, last)
}
