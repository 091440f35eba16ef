package settings

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// Value is the validated value of a key.
type Value struct {
	// Text is the value as written, or the joined items of a list.
	Text string
	// Amount is a number in its base unit: requests per second, tokens, nanoseconds or bytes.
	Amount float64
	Flag   bool
	Items  []Item

	upstreams         []Upstream
	upstreamPositions []upstreamPosition
}

// Item is one item of a list with its position.
type Item struct {
	Text     string
	position position
}

// ItemTexts returns the items of a list as strings.
func (v Value) ItemTexts() []string { return itemsAs[string](v) }

var (
	namePattern     = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	textPattern     = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/:@+-]{0,127}$`)
	routePattern    = regexp.MustCompile(`^/[A-Za-z0-9._~/-]{0,255}$`)
	integerPattern  = regexp.MustCompile(`^[0-9]{1,15}$`)
	decimalPattern  = regexp.MustCompile(`^[0-9]{1,15}(\.[0-9]{1,9})?$`)
	durationPattern = regexp.MustCompile(`^([0-9]{1,9}(\.[0-9]{1,9})?(us|ms|s|m|h))+$`)
	quantityPattern = regexp.MustCompile(`^([0-9.]+) *([^0-9. ].*)?$`)
)

// unit is the unit of an amount and its factor to the base unit.
type unit struct {
	name  string
	scale float64
}

var (
	rateUnits  = []unit{{"/s", 1}, {"/m", 1 / time.Minute.Seconds()}, {"/h", 1 / time.Hour.Seconds()}}
	tokenUnits = []unit{{"tokens", 1}, {"k tokens", 1e3}, {"M tokens", 1e6}}
	sizeUnits  = []unit{{"B", 1}, {"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}}
)

// typeDescriptions describes the syntax of each type in findings and in the reference.
var typeDescriptions = map[Type]string{
	TypeName:          "a name of lower-case letters, digits and hyphens, up to 63 characters",
	TypeText:          "a text of letters, digits and ._/:@+-, up to 128 characters",
	TypeFlag:          "true or false",
	TypeCount:         "a whole number without a unit",
	TypeNumber:        "a number without a unit, such as 1 or 2.5",
	TypeRate:          "a rate with its unit, such as 40/s, 300/m or 5000/h",
	TypeTokens:        "a whole number of tokens with its unit, such as 4096 tokens, 200k tokens or 2M tokens",
	TypeDuration:      "a duration with its unit, such as 250ms, 30s, 10m or 8h",
	TypeSize:          "a size with its unit, such as 64KiB or 4MiB",
	TypeAddress:       "an IP number and port, such as 10.0.0.1:7000 or [2001:db8::1]:7000",
	TypeListenAddress: "an IP number of this host and port, such as 10.0.0.1:7000; port 0 takes a free one",
	TypeNames:         "a list of names, such as [drafting, bookings]",
	TypeRoutes:        "a list of routes, such as [/healthz, /v1/where]",
	TypeUpstreams:     "a list of upstreams, each with name, address and failure-domain",
	TypeTree:          "entries by name",
}

// DescribeAllowed describes the values that the key may have.
func (s Spec) DescribeAllowed() string {
	switch {
	case s.Type == TypeChoice:
		return strings.Join(s.Choices, " or ")
	case s.Min != "":
		return fmt.Sprintf("%s, from %s to %s", typeDescriptions[s.Type], s.Min, s.Max)
	default:
		return typeDescriptions[s.Type]
	}
}

// parseScalar parses a scalar value; the problem is empty if the value is allowed.
func (s Spec) parseScalar(text string) (value Value, problem string) {
	value.Text = text
	switch s.Type {
	case TypeName:
		return value, checkPattern(text, namePattern)
	case TypeText:
		return value, checkPattern(text, textPattern)
	case TypeChoice:
		return value, s.parseChoice(text)
	case TypeFlag:
		value.Flag = text == "true"

		return value, problemUnless(text == "true" || text == "false", "%q is not a flag", text)
	case TypeAddress, TypeListenAddress:
		value.Text, problem = parseAddress(text, s.Type == TypeListenAddress)

		return value, problem
	case TypeNames, TypeRoutes, TypeUpstreams, TypeTree:
		return value, fmt.Sprintf("%q is a single value", text)
	default:
		value.Amount, problem = s.parseAmount(text)

		return value, problem
	}
}

// parseDefault parses the default of a key, which may be a list.
func (s Spec) parseDefault() Value {
	if s.Type != TypeNames && s.Type != TypeRoutes {
		value, _ := s.parseScalar(s.Default)

		return value
	}
	value := Value{Text: s.Default, Items: []Item{}}
	for item := range strings.SplitSeq(strings.Trim(s.Default, "[]"), ", ") {
		value.Items = append(value.Items, Item{Text: item})
	}

	return value
}

// checkPattern returns a problem if the text does not match the pattern.
func checkPattern(text string, pattern *regexp.Regexp) string {
	return problemUnless(pattern.MatchString(text), "%q is not allowed", text)
}

// problemUnless returns the formatted problem, or "" if ok.
func problemUnless(ok bool, format string, args ...any) string {
	if ok {
		return ""
	}

	return fmt.Sprintf(format, args...)
}

func (s Spec) parseChoice(text string) string {
	if slices.Contains(s.Choices, text) {
		return ""
	}

	return fmt.Sprintf("%q is no choice%s", text, suggestName(text, s.Choices))
}

// parseAmount parses a number with its unit and checks its range.
func (s Spec) parseAmount(text string) (amount float64, problem string) {
	amount, problem = s.Type.parseNumber(text)
	if problem != "" || s.Min == "" {
		return amount, problem
	}
	lowest, _ := s.Type.parseNumber(s.Min)
	highest, _ := s.Type.parseNumber(s.Max)
	switch {
	case amount < lowest:
		return amount, fmt.Sprintf("%q is too small", text)
	case amount > highest:
		return amount, fmt.Sprintf("%q is too large", text)
	default:
		return amount, ""
	}
}

// parseNumber parses a number in the syntax of the type, without a range check.
func (t Type) parseNumber(text string) (amount float64, problem string) {
	switch t {
	case TypeCount:
		return parseDecimal(text, integerPattern, "whole number")
	case TypeNumber:
		return parseDecimal(text, decimalPattern, "number")
	case TypeRate:
		return parseQuantity(text, decimalPattern, rateUnits)
	case TypeTokens:
		return parseQuantity(text, integerPattern, tokenUnits)
	case TypeSize:
		return parseQuantity(text, integerPattern, sizeUnits)
	default:
		return parseDuration(text)
	}
}

func parseDecimal(text string, pattern *regexp.Regexp, kind string) (amount float64, problem string) {
	if !pattern.MatchString(text) {
		return 0, fmt.Sprintf("%q is not a %s", text, kind)
	}
	amount, err := strconv.ParseFloat(text, 64)

	return amount, problemUnless(err == nil, "%q is not a %s", text, kind)
}

func parseQuantity(text string, pattern *regexp.Regexp, units []unit) (amount float64, problem string) {
	parts := quantityPattern.FindStringSubmatch(text)
	if parts == nil || !pattern.MatchString(parts[1]) {
		return 0, fmt.Sprintf("%q is not an allowed number with a unit", text)
	}
	name := strings.Join(strings.Fields(parts[2]), " ")
	if name == "" {
		return 0, fmt.Sprintf("%q has no unit", text)
	}
	for _, u := range units {
		if u.name == name {
			amount, problem = parseDecimal(parts[1], pattern, "number")

			return amount * u.scale, problem
		}
	}

	return 0, fmt.Sprintf("%q has the unknown unit %q", text, name)
}

func parseDuration(text string) (amount float64, problem string) {
	if integerPattern.MatchString(text) || decimalPattern.MatchString(text) {
		return 0, fmt.Sprintf("%q has no unit", text)
	}
	if !durationPattern.MatchString(text) {
		return 0, fmt.Sprintf("%q is not a duration", text)
	}
	parsed, err := time.ParseDuration(text)

	return float64(parsed), problemUnless(err == nil, "%q is not a duration", text)
}

func parseAddress(text string, listen bool) (address, problem string) {
	parsed, err := netip.ParseAddrPort(text)
	switch {
	case err != nil || parsed.Addr().Zone() != "":
		return text, fmt.Sprintf("%q is not an IP number and port", text)
	case parsed.Port() == 0 && !listen:
		return text, fmt.Sprintf("%q has the port 0", text)
	case parsed.Addr().IsUnspecified():
		return text, fmt.Sprintf("%q is no address that others can reach", text)
	case parsed.Addr().IsMulticast():
		return text, fmt.Sprintf("%q is a multicast address", text)
	default:
		return text, ""
	}
}

// canonicalAddress returns the canonical form of an address, so that different spellings compare equal.
func canonicalAddress(text string) string {
	parsed, err := netip.ParseAddrPort(text)
	if err != nil {
		return text
	}

	return netip.AddrPortFrom(parsed.Addr().Unmap(), parsed.Port()).String()
}

// readValue parses the value of a key and reports a problem at its node.
func (s Spec) readValue(r *report, path string, node ast.Node) (Value, bool) {
	if s.Type == TypeNames || s.Type == TypeRoutes {
		return s.readList(r, path, node)
	}
	text, ok := s.readScalar(r, path, node)
	if !ok {
		return Value{}, false
	}
	value, problem := s.parseScalar(text)
	if problem != "" {
		r.add(positionOf(node), path, "%s; allowed is %s", problem, s.DescribeAllowed())
	}

	return value, problem == ""
}

// readScalar returns the text of a scalar and reports a YAML type that does not fit the key.
func (s Spec) readScalar(r *report, path string, node ast.Node) (string, bool) {
	pos := positionOf(node)
	mismatch := ""
	switch n := node.(type) {
	case nil, *ast.NullNode:
		mismatch = "there is no value"
	case *ast.StringNode:
		if s.Type == TypeFlag {
			mismatch = fmt.Sprintf("%q is a text", n.Value)
		}

		return n.Value, s.reportMismatch(r, pos, path, mismatch)
	case *ast.IntegerNode, *ast.FloatNode:
		text := node.GetToken().Value
		if s.Type == TypeName || s.Type == TypeText || s.Type == TypeChoice {
			mismatch = fmt.Sprintf("%s is a number, which needs quotes to be a text", text)
		}

		return text, s.reportMismatch(r, pos, path, mismatch)
	case *ast.BoolNode:
		if s.Type != TypeFlag {
			mismatch = fmt.Sprintf("%s is a flag", node.GetToken().Value)
		}

		return strconv.FormatBool(n.Value), s.reportMismatch(r, pos, path, mismatch)
	default:
		mismatch = "there is " + describeNode(node)
	}

	return "", s.reportMismatch(r, pos, path, mismatch)
}

// reportMismatch reports a value of a wrong YAML type, which mismatch describes. It returns true if mismatch is empty.
func (s Spec) reportMismatch(r *report, pos position, path, mismatch string) bool {
	if mismatch != "" {
		r.add(pos, path, "%s; allowed is %s", mismatch, s.DescribeAllowed())
	}

	return mismatch == ""
}

// describeNode describes the YAML type of a node.
func describeNode(node ast.Node) string {
	switch node.(type) {
	case nil, *ast.NullNode:
		return "no value"
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	case *ast.LiteralNode:
		return "a block of text"
	case *ast.InfinityNode, *ast.NanNode:
		return "a number without a finite value"
	default:
		return "a single value"
	}
}

// readList parses a list of names or routes and reports invalid and duplicate items.
func (s Spec) readList(r *report, path string, node ast.Node) (Value, bool) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		r.add(positionOf(node), path, "there is %s; allowed is %s", describeNode(node), s.DescribeAllowed())

		return Value{}, false
	}
	item := Spec{Type: TypeName}
	if s.Type == TypeRoutes {
		item.Type = TypeText
	}
	value := Value{Items: []Item{}}
	for _, child := range sequence.Values {
		pos := positionOf(child)
		if child = unwrapNode(r, path, child); child == nil {
			continue
		}
		text, ok := item.readScalar(r, path, child)
		if !ok {
			continue
		}
		if problem := s.checkItem(text); problem != "" {
			r.add(pos, path, "%s; allowed is %s", problem, s.DescribeAllowed())

			continue
		}
		if first := slices.IndexFunc(value.Items, func(i Item) bool { return i.Text == text }); first >= 0 {
			r.add(pos, path, "%q is listed twice, first at %s; allowed is each once", text, value.Items[first].position)

			continue
		}
		value.Items = append(value.Items, Item{Text: text, position: pos})
	}
	value.Text = "[" + strings.Join(value.ItemTexts(), ", ") + "]"

	return value, true
}

// checkItem returns a problem if a list item is not allowed.
func (s Spec) checkItem(text string) string {
	if s.Type == TypeRoutes {
		return checkPattern(text, routePattern)
	}

	return checkPattern(text, namePattern)
}
