package doccheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"cardamomward/core/apierror"
)

// TestFailuresPageListsAllErrorKinds compares the table of refusals in failures.md with the error kinds in the code and their HTTP statuses.
func TestFailuresPageListsAllErrorKinds(t *testing.T) {
	statuses := make(map[apierror.Kind]string)
	for _, cells := range tableRows(t, "failures.md") {
		if _, err := strconv.Atoi(cells[1]); err == nil {
			statuses[apierror.Kind(cells[0])] = cells[1]
		}
	}
	want := make(map[apierror.Kind]string)
	for _, kind := range errorKinds(t) {
		want[kind] = strconv.Itoa((&apierror.Error{Kind: kind}).HTTPStatus())
	}
	require.Equal(t, want, statuses)
}

// errorKinds returns the constants of type Kind that the package apierror declares.
func errorKinds(t *testing.T) []apierror.Kind {
	t.Helper()
	tree, err := parser.ParseFile(token.NewFileSet(), filepath.Join(moduleRoot, "core", "apierror", "apierror.go"), nil, 0)
	require.NoError(t, err)
	var found []apierror.Kind
	ast.Inspect(tree, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if name, ok := spec.Type.(*ast.Ident); ok && name.Name == "Kind" {
			found = append(found, apierror.Kind(stringLiteral(t, spec.Values[0])))
		}

		return true
	})
	require.NotEmpty(t, found)

	return found
}
