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
	// MaxDocumentBytes is the maximum size of a document.
	MaxDocumentBytes = 3 << 20
	// maxLineBytes is the maximum length of a line, which also limits how deep one line can nest.
	maxLineBytes = 4096
	// maxBraceDepth is the maximum nesting depth of flow lists and flow mappings.
	maxBraceDepth = 32
	// maxInheritanceLevels is the maximum number of levels of inheritance.
	maxInheritanceLevels = 16
)

// readDocument parses a document and returns its root mapping, or nil if it cannot be parsed.
//
// After a syntax error it returns the mapping above the error and marks the report as partial: checks that depend on
// the rest of the document are then skipped.
func readDocument(r *report, source []byte) *ast.MappingNode {
	source = bytes.TrimPrefix(source, []byte("\ufeff"))
	// In quoted text the parser counts \r\n as two line breaks, which would shift the positions of findings.
	source = bytes.ReplaceAll(source, []byte("\r\n"), []byte("\n"))
	if !checkSourceText(r, source) {
		return nil
	}
	file, err := parseYAML(source)
	if err == nil {
		return rootMapping(r, file)
	}
	pos := reportSyntaxError(r, err)
	r.partial = true
	above, err := parseYAML(firstLines(source, pos.line-1))
	if err != nil || len(above.Docs) != 1 {
		return nil
	}
	mapping, _ := above.Docs[0].Body.(*ast.MappingNode)

	return mapping
}

// firstLines returns the given number of lines from the start of a source.
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

// checkSourceText reports oversize text and characters that must not reach the YAML parser, and returns true if there are none.
func checkSourceText(r *report, source []byte) bool {
	if len(source) > MaxDocumentBytes {
		r.add(documentStart, documentKey, "it has %d bytes; allowed are up to %d", len(source), MaxDocumentBytes)

		return false
	}
	countBefore := len(r.findings)
	line := 0
	for text := range strings.Lines(string(source)) {
		line++
		checkLine(r, line, strings.TrimSuffix(text, "\n"))
	}

	return len(r.findings) == countBefore
}

// checkLine reports an overlong line, invalid UTF-8, tabs in the indentation and control characters.
func checkLine(r *report, line int, text string) {
	if len(text) > maxLineBytes {
		r.add(position{line: line, column: maxLineBytes + 1}, documentKey, "the line has %d bytes; allowed are up to %d", len(text), maxLineBytes)

		return
	}
	column, indent := 0, true
	for rest := text; rest != ""; {
		char, size := utf8.DecodeRuneInString(rest)
		column++
		pos := position{line: line, column: column}
		switch {
		case char == utf8.RuneError && size == 1:
			r.add(pos, documentKey, "the byte 0x%02x is not UTF-8; allowed is UTF-8 text", rest[0])

			return
		case char == '\t' && indent:
			r.add(pos, documentKey, "a tab indents the line; allowed are spaces")

			return
		case char < ' ' && char != '\t' || char == 0x7f || char == utf8.RuneError || char == 0xfeff:
			r.add(pos, documentKey, "there is the control character %U; allowed is printable text", char)

			return
		}
		indent = indent && char == ' '
		rest = rest[size:]
	}
}

var errYAMLParser = errors.New("the YAML parser failed")

// parseYAML returns the syntax tree of a source and converts a panic of the parser to an error.
func parseYAML(source []byte) (file *ast.File, err error) {
	defer func() {
		if problem := recover(); problem != nil {
			file, err = nil, fmt.Errorf("%w: %v", errYAMLParser, problem)
		}
	}()
	tokens := lexer.Tokenize(string(source))
	if err := checkNesting(tokens); err != nil {
		return nil, err
	}

	return parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
}

// checkNesting limits the recursion depth of the parser.
func checkNesting(tokens token.Tokens) error {
	depth := 0
	for _, tk := range tokens {
		switch tk.Type {
		case token.MappingStartType, token.SequenceStartType:
			depth++
		case token.MappingEndType, token.SequenceEndType:
			depth--
		}
		if depth > maxBraceDepth {
			return &yaml.SyntaxError{
				Message: fmt.Sprintf("braces nest too deep; allowed are %d levels", maxBraceDepth), Token: tk,
			}
		}
	}

	return nil
}

// reportSyntaxError adds a finding for a syntax error and returns its position.
func reportSyntaxError(r *report, err error) position {
	pos, message := documentStart, err.Error()
	var syntax yaml.Error
	if errors.As(err, &syntax) {
		pos, message = positionOfToken(syntax.GetToken()), syntax.GetMessage()
	}
	r.add(pos, documentKey, "it is not YAML: %s; allowed is a YAML mapping", message)

	return pos
}

// rootMapping returns the mapping of the first YAML document and reports directives, other documents and other node types.
func rootMapping(r *report, file *ast.File) *ast.MappingNode {
	var body ast.Node
	for _, doc := range file.Docs {
		if doc.Body == nil && doc.Start == nil {
			continue
		}
		if doc.Body != nil && doc.Body.Type() == ast.DirectiveType {
			r.add(positionOf(doc.Body), documentKey, "there is a YAML directive; allowed is a document without directives")

			continue
		}
		if body != nil {
			pos := positionOf(doc.Body)
			if doc.Start != nil {
				pos = positionOfToken(doc.Start)
			}
			r.add(pos, documentKey, "another YAML document starts here; allowed is one in a file")

			continue
		}
		body = doc.Body
	}
	switch n := body.(type) {
	case nil, *ast.NullNode, *ast.CommentGroupNode:
		r.add(documentStart, documentKey, "it is empty; allowed is a mapping of keys to values")
	case *ast.MappingNode:
		return n
	case *ast.MappingValueNode:
		return ast.Mapping(n.Start, false, n)
	default:
		r.add(positionOf(n), documentKey, "there is %s; allowed is a mapping of keys to values", describeNode(n))
	}

	return nil
}

// field is a key of a mapping with its position and value; the value is nil if it is unusable.
type field struct {
	name     string
	position position
	value    ast.Node
}

// readFields returns the fields of a mapping and reports merge keys and duplicate keys; false means that the node is no
// mapping.
func readFields(r *report, path string, node ast.Node) ([]field, bool) {
	node = unwrapNode(r, path, node)
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
	first := make(map[string]position, len(values))
	for _, entry := range values {
		f := field{name: keyText(entry.Key), position: positionOf(entry.Key)}
		if entry.Key.IsMergeKey() {
			r.add(f.position, joinPath(path, f.name), "merge keys are not supported; allowed is inheritance from a parent")

			continue
		}
		if earlier, ok := first[f.name]; ok {
			r.add(f.position, joinPath(path, f.name), "the key is set twice, first at %s; allowed is once", earlier)

			continue
		}
		first[f.name] = f.position
		f.value = unwrapNode(r, joinPath(path, f.name), entry.Value)
		fields = append(fields, f)
	}

	return fields, true
}

// keyText returns the text of a mapping key of any scalar type.
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

// unwrapNode reports anchors, aliases and tags and returns the node that they wrap, or nil if there is no usable node.
func unwrapNode(r *report, path string, node ast.Node) ast.Node {
	for {
		switch n := node.(type) {
		case *ast.AnchorNode:
			r.add(positionOf(n), path, "anchors are not supported; allowed is inheritance from a parent")
			node = n.Value
		case *ast.AliasNode:
			r.add(positionOf(n), path, "aliases are not supported; allowed is inheritance from a parent")

			return nil
		case *ast.TagNode:
			r.add(positionOf(n), path, "tags are not supported; allowed is a value without one")
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

// joinPath appends a name to a path and quotes a name that is empty or contains line breaks or tabs.
func joinPath(path, name string) string {
	if name == "" || strings.ContainsAny(name, "\r\n\t") {
		name = strconv.Quote(name)
	}
	if path == "" {
		return name
	}

	return path + "." + name
}
