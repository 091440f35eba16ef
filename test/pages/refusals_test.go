package pages

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"cardamomward/core/refusal"
)

// TestRefusalTable compares the page's table of refusals with the kinds in the code and their statuses.
func TestRefusalTable(t *testing.T) {
	statuses := make(map[refusal.Kind]string)
	for _, cells := range rows(t, "failures.md") {
		if _, err := strconv.Atoi(cells[1]); err == nil {
			statuses[refusal.Kind(cells[0])] = cells[1]
		}
	}
	want := make(map[refusal.Kind]string)
	for _, kind := range kinds(t) {
		want[kind] = strconv.Itoa((&refusal.Error{Kind: kind}).Status())
	}
	require.Equal(t, want, statuses)
}

// kinds returns the constants of type Kind that the package refusal declares.
func kinds(t *testing.T) []refusal.Kind {
	t.Helper()
	tree, err := parser.ParseFile(token.NewFileSet(), filepath.Join(root, "core", "refusal", "refusal.go"), nil, 0)
	require.NoError(t, err)
	var found []refusal.Kind
	ast.Inspect(tree, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if name, ok := spec.Type.(*ast.Ident); ok && name.Name == "Kind" {
			found = append(found, refusal.Kind(text(t, spec.Values[0])))
		}

		return true
	})
	require.NotEmpty(t, found)

	return found
}
