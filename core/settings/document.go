package settings

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

const (
	// MaxDocument bounds a document in bytes.
	MaxDocument = 3 << 20
	// maxLine bounds a line in bytes, and with it how deep a line can nest.
	maxLine = 4096
	// maxNesting bounds lists and mappings in braces inside each other.
	maxNesting = 32
	// maxLevels bounds the levels of inheritance.
	maxLevels = 16
)

// readDocument parses the one mapping that a document consists of; nil stands for a document that cannot be read.
//
// After a syntax error it returns what stands above it, and the report is partial: only findings that do
// not depend on the rest of the document can be made.
func readDocument(r *report, source []byte) *ast.MappingNode {
	source = bytes.TrimPrefix(source, []byte("\ufeff"))
	// The parser counts both characters of a line break inside quotes as lines.
	source = bytes.ReplaceAll(source, []byte("\r\n"), []byte("\n"))
	if !checkSource(r, source) {
		return nil
	}
	file, err := parse(source)
	if err == nil {
		return checkDocuments(r, file)
	}
	at := reportSyntax(r, err)
	r.partial = true
	above, err := parse(firstLines(source, at.line-1))
	if err != nil || len(above.Docs) != 1 {
		return nil
	}
	mapping, _ := above.Docs[0].Body.(*ast.MappingNode)

	return mapping
}

// firstLines returns the start of a source.
func firstLines(source []byte, lines int) []byte {
	end := 0
	for range lines {
		next := bytes.IndexByte(source[end:], '\n')
		if next < 0 {
			return source
		}
		end += next + 1
	}

	return source[:end]
}

// checkSource looks for what the YAML parser must not see; it reports whether to go on.
func checkSource(r *report, source []byte) bool {
	if len(source) > MaxDocument {
		r.add(documentStart, wholeDocument, "it has %d bytes; allowed are up to %d", len(source), MaxDocument)

		return false
	}
	before := len(r.findings)
	line := 0
	for text := range strings.Lines(string(source)) {
		line++
		checkLine(r, line, strings.TrimSuffix(text, "\n"))
	}

	return len(r.findings) == before
}

func checkLine(r *report, line int, text string) {
	if len(text) > maxLine {
		r.add(place{line: line, column: maxLine + 1}, wholeDocument, "the line has %d bytes; allowed are up to %d", len(text), maxLine)

		return
	}
	column, indent := 0, true
	for rest := text; rest != ""; {
		char, size := utf8.DecodeRuneInString(rest)
		column++
		at := place{line: line, column: column}
		switch {
		case char == utf8.RuneError && size == 1:
			r.add(at, wholeDocument, "the byte 0x%02x is not UTF-8; allowed is UTF-8 text", rest[0])

			return
		case char == '\t' && indent:
			r.add(at, wholeDocument, "a tab indents the line; allowed are spaces")

			return
		case char < ' ' && char != '\t' || char == 0x7f || char == utf8.RuneError || char == 0xfeff:
			r.add(at, wholeDocument, "there is the control character %U; allowed is printable text", char)

			return
		}
		indent = indent && char == ' '
		rest = rest[size:]
	}
}

var errParser = errors.New("the YAML parser failed")

// parse returns the syntax tree of a source; a panic of the parser becomes an error.
func parse(source []byte) (file *ast.File, err error) {
	defer func() {
		if problem := recover(); problem != nil {
			file, err = nil, fmt.Errorf("%w: %v", errParser, problem)
		}
	}()
	tokens := lexer.Tokenize(string(source))
	if err := checkNesting(tokens); err != nil {
		return nil, err
	}

	return parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
}

// checkNesting bounds the depth to which the parser calls itself.
func checkNesting(tokens token.Tokens) error {
	depth := 0
	for _, tk := range tokens {
		switch tk.Type {
		case token.MappingStartType, token.SequenceStartType:
			depth++
		case token.MappingEndType, token.SequenceEndType:
			depth--
		}
		if depth > maxNesting {
			return &yaml.SyntaxError{
				Message: fmt.Sprintf("braces nest too deep; allowed are %d levels", maxNesting), Token: tk,
			}
		}
	}

	return nil
}

// reportSyntax reports a syntax error and returns its place.
func reportSyntax(r *report, err error) place {
	at, message := documentStart, err.Error()
	var syntax yaml.Error
	if errors.As(err, &syntax) {
		at, message = placeOfToken(syntax.GetToken()), syntax.GetMessage()
	}
	r.add(at, wholeDocument, "it is not YAML: %s; allowed is a YAML mapping", message)

	return at
}

// checkDocuments returns the mapping of the first document and reports all others.
func checkDocuments(r *report, file *ast.File) *ast.MappingNode {
	var body ast.Node
	for _, doc := range file.Docs {
		if doc.Body == nil && doc.Start == nil {
			continue
		}
		if doc.Body != nil && doc.Body.Type() == ast.DirectiveType {
			r.add(placeOf(doc.Body), wholeDocument, "there is a YAML directive; allowed is a document without directives")

			continue
		}
		if body != nil {
			at := placeOf(doc.Body)
			if doc.Start != nil {
				at = placeOfToken(doc.Start)
			}
			r.add(at, wholeDocument, "another YAML document starts here; allowed is one in a file")

			continue
		}
		body = doc.Body
	}
	switch n := body.(type) {
	case nil, *ast.NullNode, *ast.CommentGroupNode:
		r.add(documentStart, wholeDocument, "it is empty; allowed is a mapping of keys to values")
	case *ast.MappingNode:
		return n
	case *ast.MappingValueNode:
		return ast.Mapping(n.Start, false, n)
	default:
		r.add(placeOf(n), wholeDocument, "there is %s; allowed is a mapping of keys to values", describe(n))
	}

	return nil
}

// field is one key of a mapping with its value, which is nil where it cannot be used.
type field struct {
	name  string
	at    place
	value ast.Node
}

// fieldsOf returns the fields of a mapping, each key once.
func fieldsOf(r *report, path string, node ast.Node) ([]field, bool) {
	node = plainNode(r, path, node)
	var values []*ast.MappingValueNode
	switch n := node.(type) {
	case *ast.MappingNode:
		values = n.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{n}
	default:
		return nil, false
	}
	fields := make([]field, 0, len(values))
	first := make(map[string]place, len(values))
	for _, entry := range values {
		f := field{name: keyText(entry.Key), at: placeOf(entry.Key)}
		if entry.Key.IsMergeKey() {
			r.add(f.at, join(path, f.name), "merge keys are not supported; allowed is inheritance from a parent")

			continue
		}
		if earlier, ok := first[f.name]; ok {
			r.add(f.at, join(path, f.name), "the key stands twice, first at %s; allowed is once", earlier)

			continue
		}
		first[f.name] = f.at
		f.value = plainNode(r, join(path, f.name), entry.Value)
		fields = append(fields, f)
	}

	return fields, true
}

func keyText(key ast.MapKeyNode) string {
	switch n := key.(type) {
	case *ast.StringNode:
		return n.Value
	case nil:
		return ""
	default:
		if tk := n.GetToken(); tk != nil {
			return tk.Value
		}

		return n.String()
	}
}

// plainNode reports anchors, aliases and tags and returns the node behind them, nil for one that cannot be used.
func plainNode(r *report, path string, node ast.Node) ast.Node {
	for {
		switch n := node.(type) {
		case *ast.AnchorNode:
			r.add(placeOf(n), path, "anchors are not supported; allowed is inheritance from a parent")
			node = n.Value
		case *ast.AliasNode:
			r.add(placeOf(n), path, "aliases are not supported; allowed is inheritance from a parent")

			return nil
		case *ast.TagNode:
			r.add(placeOf(n), path, "tags are not supported; allowed is a value without one")
			node = n.Value
		case *ast.NullNode:
			if r.partial {
				return nil
			}

			return node
		default:
			return node
		}
	}
}

// join extends a path; a name that is not on one line is quoted.
func join(path, name string) string {
	if name == "" || strings.ContainsAny(name, "\r\n\t") {
		name = strconv.Quote(name)
	}
	if path == "" {
		return name
	}

	return path + "." + name
}
