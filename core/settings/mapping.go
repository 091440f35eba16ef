package settings

import (
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// ParseMapping parses a document without inheritance, such as a host's own settings, into a T. It returns a zero T and
// all findings if the document is invalid.
func ParseMapping[T any](file string, source []byte, keys []Key[T]) (T, []Finding) {
	r := &report{file: file}
	var zero T
	mapping := readDocument(r, source)
	if mapping == nil {
		return zero, r.sortedFindings()
	}
	parsed := readMapping(r, "", documentStart, mapping, keys)
	if !r.partial {
		checkListenAddresses(r, mapping, keys)
	}
	if len(r.findings) > 0 {
		return zero, r.sortedFindings()
	}

	return parsed, nil
}

// Defaults returns a T with the default of each key.
func Defaults[T any](keys []Key[T]) T {
	var result T
	for i := range keys {
		keys[i].setDefault(&result)
	}

	return result
}

// defaultValues returns the parsed default of each key, parallel to keys.
func defaultValues[T any](keys []Key[T]) []Value {
	values := make([]Value, len(keys))
	for i := range keys {
		if keys[i].Default != "" {
			values[i] = keys[i].parseDefault()
		}
	}

	return values
}

func (k *Key[T]) setDefault(target *T) {
	if k.Default == "" || k.Set == nil {
		return
	}
	k.Set(target, k.parseDefault())
}

// checkListenAddresses reports listen addresses that are used twice, except with port 0, which picks a free port.
func checkListenAddresses[T any](r *report, mapping *ast.MappingNode, keys []Key[T]) {
	fields, _ := readFields(&report{partial: r.partial}, "", mapping)
	first := make(map[string]field)
	for _, f := range fields {
		spec, ok := findSpec(keys, f.name)
		if !ok || spec.Type != TypeListenAddress || f.value == nil {
			continue
		}
		address := canonicalAddress(f.value.GetToken().Value)
		if strings.HasSuffix(address, ":0") {
			continue
		}
		if earlier, ok := first[address]; ok {
			r.add(positionOf(f.value), f.name, "the address %q is that of %s too; allowed is one use of each", address, earlier.name)

			continue
		}
		first[address] = f
	}
}

// readMapping checks a mapping against its keys and returns a T with their values and defaults.
func readMapping[T any](r *report, path string, pos position, node ast.Node, keys []Key[T]) T {
	var result T
	fields, ok := readFields(r, path, node)
	if !ok {
		r.add(pos, path, "there is %s; allowed is a mapping with the keys %s", describeNode(node), joinKeyNames(keys))

		return result
	}
	present := make(map[string]bool, len(fields))
	for _, f := range fields {
		present[f.name] = true
		if _, ok := findSpec(keys, f.name); !ok {
			reportUnknownKey(r, joinPath(path, f.name), f, keys)
		}
	}
	for i := range keys {
		key := &keys[i]
		switch {
		case present[key.Name]:
			setField(r, path, fields, key, &result)
		case key.Required && !r.partial:
			r.add(pos, joinPath(path, key.Name), "the key is missing; allowed is %s", key.DescribeAllowed())
		default:
			key.setDefault(&result)
		}
	}

	return result
}

// setField reads the value of a key from the fields and assigns it to target.
func setField[T any](r *report, path string, fields []field, key *Key[T], target *T) {
	for _, f := range fields {
		if f.name != key.Name || f.value == nil || key.Type == TypeTree {
			continue
		}
		if value, ok := key.readValue(r, joinPath(path, f.name), f.value); ok && key.Set != nil {
			key.Set(target, value)
		}
	}
}

// upstreamPosition is the path of an upstream in the document and the positions of its name and address.
type upstreamPosition struct {
	path          string
	name, address position
}

// readUpstreams parses a list of upstreams.
func readUpstreams(r *report, path string, node ast.Node, spec *Spec) Value {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		r.add(positionOf(node), path, "there is %s; allowed is %s", describeNode(node), spec.DescribeAllowed())

		return Value{}
	}
	value := Value{upstreams: make([]Upstream, 0, len(sequence.Values))}
	texts := make([]string, 0, len(sequence.Values))
	for i, child := range sequence.Values {
		itemPath := path + formatIndex(i)
		pos := positionOf(child)
		child = unwrapNode(r, itemPath, child)
		if child == nil {
			continue
		}
		upstream := readMapping(r, itemPath, pos, child, upstreamKeys)
		value.upstreams = append(value.upstreams, upstream)
		value.upstreamPositions = append(value.upstreamPositions, upstreamPosition{
			path: itemPath, name: valuePosition(child, keyName, pos), address: valuePosition(child, keyAddress, pos),
		})
		texts = append(texts, string(upstream.ID)+" "+upstream.Address)
	}
	value.Text = "[" + strings.Join(texts, ", ") + "]"

	return value
}

// valuePosition returns the position of a key's value in a mapping, or fallback if the key is absent.
func valuePosition(node ast.Node, name string, fallback position) position {
	mapping, ok := node.(*ast.MappingNode)
	if !ok {
		return fallback
	}
	for _, entry := range mapping.Values {
		if keyText(entry.Key) == name {
			return positionOf(entry.Value)
		}
	}

	return fallback
}
