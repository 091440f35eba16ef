package settings

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// Finding is one error in a settings document, with its position.
type Finding struct {
	File string `json:"file"`
	// Line and Column start at 1; Column counts characters.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Key is the path of the key, such as workspaces.clerks.rate.
	Key string `json:"key"`
	// Problem describes the error and the allowed values.
	Problem string `json:"problem"`
}

func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s: %s", f.File, f.Line, f.Column, f.Key, f.Problem)
}

// documentKey is the Key of findings that concern the document as a whole.
const documentKey = "document"

// position is a position in a document.
type position struct {
	line, column int
}

func (p position) String() string { return fmt.Sprintf("line %d", p.line) }

// documentStart is the position of findings that concern the document as a whole.
var documentStart = position{line: 1, column: 1}

// positionOfToken returns the position of a token, or the document start if it has none.
func positionOfToken(tk *token.Token) position {
	if tk == nil || tk.Position == nil {
		return documentStart
	}

	return position{line: max(tk.Position.Line, 1), column: max(tk.Position.Column, 1)}
}

// positionOf returns the position where a node starts.
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

// maxFindings is the maximum number of findings that are returned for a document.
const maxFindings = 1000

// report collects the findings in one document.
type report struct {
	file            string
	findings        []Finding
	suggestionCount int
	// partial is true if the document was parsed only up to a syntax error.
	partial bool
}

// maxSuggestions limits the suggestions for a document, because each one is compared with all known names.
const maxSuggestions = 50

// suggestName returns a suggestion for a mistyped name until maxSuggestions is reached.
func (r *report) suggestName(word string, known []string) string {
	r.suggestionCount++
	if r.suggestionCount > maxSuggestions {
		return ""
	}

	return suggestName(word, known)
}

func formatIndex(index int) string { return fmt.Sprintf("[%d]", index) }

// add adds a finding with a formatted problem.
func (r *report) add(pos position, key, format string, args ...any) {
	r.findings = append(r.findings, Finding{
		File: r.file, Line: pos.line, Column: pos.column, Key: key, Problem: fmt.Sprintf(format, args...),
	})
}

// sortedFindings returns the findings sorted by position, without duplicates and limited to maxFindings plus a note about
// the rest.
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
	last.Key, last.Problem = documentKey, fmt.Sprintf("there are %d more findings; fix these first", rest)

	return append(findings, last)
}
