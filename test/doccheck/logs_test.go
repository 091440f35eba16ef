package doccheck

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

// moduleRoot is the directory of the module.
const moduleRoot = "../.."

// logEvent is a log event with the columns of its row in logs.md.
type logEvent struct {
	level string
	name  string
	keys  string
}

// loggerReceiverPattern matches the receivers of logger calls.
var loggerReceiverPattern = regexp.MustCompile(`(?i)logger(\.V\(1\))?$`)

// TestLogsPageListsAllLogEvents compares the events in logs.md with the logger calls in the code.
func TestLogsPageListsAllLogEvents(t *testing.T) {
	var inCode []logEvent
	for _, file := range sourceFiles(t) {
		inCode = append(inCode, eventsInFile(t, file)...)
	}
	inPage := eventsInLogsPage(t)
	require.Empty(t, difference(inCode, inPage), "the code writes events that docs/operations/logs.md lacks")
	require.Empty(t, difference(inPage, inCode), "docs/operations/logs.md has events that the code does not write")
}

// sourceFiles returns the Go files that are neither tests nor generated.
func sourceFiles(t *testing.T) []string {
	t.Helper()
	var files []string
	for _, dir := range []string{"cmd", "command", "core", "io", "standin"} {
		err := filepath.WalkDir(filepath.Join(moduleRoot, dir), func(path string, _ fs.DirEntry, err error) error {
			if strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") && !strings.Contains(path, ".pb.") {
				files = append(files, path)
			}

			return err
		})
		require.NoError(t, err)
	}

	return files
}

func eventsInFile(t *testing.T, file string) []logEvent {
	t.Helper()
	source, err := os.ReadFile(file)
	require.NoError(t, err)
	positions := token.NewFileSet()
	tree, err := parser.ParseFile(positions, file, source, 0)
	require.NoError(t, err)
	var events []logEvent
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
		if loggerReceiverPattern.MatchString(receiver) {
			events = append(events, eventOfCall(t, method.Sel.Name, receiver, call.Args)...)
		}

		return true
	})

	return events
}

// eventOfCall returns the event that a call of a logger's method writes, or none for other methods.
func eventOfCall(t *testing.T, method, receiver string, args []ast.Expr) []logEvent {
	t.Helper()
	written := logEvent{level: "info"}
	var keys []string
	switch {
	case method == "Error":
		written.level, args, keys = "error", args[1:], []string{"error"}
	case method != "Info":
		return nil
	case strings.HasSuffix(receiver, ".V(1)"):
		written.level = "debug"
	}
	written.name = stringLiteral(t, args[0])
	for i := 1; i < len(args); i += 2 {
		keys = append(keys, stringLiteral(t, args[i]))
	}
	written.keys = strings.Join(keys, ", ")

	return []logEvent{written}
}

// stringLiteral returns the value of a string literal; event names and keys must be literals, so that they can be compared.
func stringLiteral(t *testing.T, expr ast.Expr) string {
	t.Helper()
	literal, ok := expr.(*ast.BasicLit)
	require.True(t, ok, "an event name or key is not a string literal")
	value, err := strconv.Unquote(literal.Value)
	require.NoError(t, err)

	return value
}

// eventsInLogsPage reads the rows whose first two cells are an event and its level.
func eventsInLogsPage(t *testing.T) []logEvent {
	t.Helper()
	var events []logEvent
	for _, cells := range tableRows(t, "logs.md") {
		if slices.Contains([]string{"info", "debug", "error"}, cells[1]) {
			events = append(events, logEvent{name: cells[0], level: cells[1], keys: cells[2]})
		}
	}

	return events
}

// tableRows returns the cells of all table rows of a page in docs/operations, without backquotes.
func tableRows(t *testing.T, page string) [][]string {
	t.Helper()
	source, err := os.ReadFile(filepath.Join(moduleRoot, "docs", "operations", page))
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

// difference returns the events that others does not contain.
func difference(events, others []logEvent) []logEvent {
	return slices.DeleteFunc(slices.Clone(events), func(e logEvent) bool { return slices.Contains(others, e) })
}
