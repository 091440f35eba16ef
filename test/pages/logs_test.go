package pages

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// root is the directory of the module.
const root = "../.."

// event is one event that the code logs, as its row in the page shows it.
type event struct {
	level string
	name  string
	keys  string
}

// loggerCall matches the receivers of the calls that write events.
var loggerCall = regexp.MustCompile(`(?i)logger(\.V\(1\))?$`)

// TestLogsPage compares the events in the page with the logger calls in the code.
func TestLogsPage(t *testing.T) {
	var inCode []event
	for _, file := range sources(t) {
		inCode = append(inCode, eventsIn(t, file)...)
	}
	inPage := eventsOfPage(t)
	require.Empty(t, without(inCode, inPage), "the code writes events that docs/operations/logs.md lacks")
	require.Empty(t, without(inPage, inCode), "docs/operations/logs.md has events that the code does not write")
}

// sources returns the Go files that are neither tests nor generated.
func sources(t *testing.T) []string {
	t.Helper()
	var files []string
	for _, dir := range []string{"cmd", "command", "core", "io", "standin"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, _ fs.DirEntry, err error) error {
			if strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") && !strings.Contains(path, ".pb.") {
				files = append(files, path)
			}

			return err
		})
		require.NoError(t, err)
	}

	return files
}

func eventsIn(t *testing.T, file string) []event {
	t.Helper()
	source, err := os.ReadFile(file)
	require.NoError(t, err)
	positions := token.NewFileSet()
	tree, err := parser.ParseFile(positions, file, source, 0)
	require.NoError(t, err)
	var events []event
	ast.Inspect(tree, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		method, ok := call.Fun.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		from, to := positions.Position(method.X.Pos()).Offset, positions.Position(method.X.End()).Offset
		receiver := string(source[from:to])
		if loggerCall.MatchString(receiver) {
			events = append(events, eventOf(t, method.Sel.Name, receiver, call.Args)...)
		}

		return true
	})

	return events
}

// eventOf returns the event that a logger's method writes, or none if the method writes none.
func eventOf(t *testing.T, method, receiver string, args []ast.Expr) []event {
	t.Helper()
	written := event{level: "info"}
	var keys []string
	switch {
	case method == "Error":
		written.level, args, keys = "error", args[1:], []string{"error"}
	case method != "Info":
		return nil
	case strings.HasSuffix(receiver, ".V(1)"):
		written.level = "debug"
	}
	written.name = text(t, args[0])
	for i := 1; i < len(args); i += 2 {
		keys = append(keys, text(t, args[i]))
	}
	written.keys = strings.Join(keys, ", ")

	return []event{written}
}

// text returns the value of a string literal; events and keys are nothing else.
func text(t *testing.T, expr ast.Expr) string {
	t.Helper()
	literal, ok := expr.(*ast.BasicLit)
	require.True(t, ok, "an event or a key is no string literal")
	value, err := strconv.Unquote(literal.Value)
	require.NoError(t, err)

	return value
}

// eventsOfPage reads the rows whose first two cells are an event and its level.
func eventsOfPage(t *testing.T) []event {
	t.Helper()
	var events []event
	for _, cells := range rows(t, "logs.md") {
		if slices.Contains([]string{"info", "debug", "error"}, cells[1]) {
			events = append(events, event{name: cells[0], level: cells[1], keys: cells[2]})
		}
	}

	return events
}

// rows returns the cells of all table rows of an operators' page, without the backquotes.
func rows(t *testing.T, page string) [][]string {
	t.Helper()
	source, err := os.ReadFile(filepath.Join(root, "docs", "operations", page))
	require.NoError(t, err)
	var all [][]string
	for line := range strings.Lines(string(source)) {
		line = strings.TrimSpace(strings.ReplaceAll(line, "`", ""))
		if !strings.HasPrefix(line, "| ") {
			continue
		}
		cells := strings.Split(strings.Trim(line, "|"), "|")
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		all = append(all, cells)
	}

	return all
}

// without returns the events that are not among others.
func without(events, others []event) []event {
	return slices.DeleteFunc(slices.Clone(events), func(e event) bool { return slices.Contains(others, e) })
}
