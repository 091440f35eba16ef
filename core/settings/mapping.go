package settings

import (
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// ParseFlat checks a document that is one mapping without inheritance, such as a host's own settings.
func ParseFlat[T any](file string, source []byte, keys []Key[T]) (T, []Finding) {
	r := &report{file: file}
	var zero T
	mapping := readDocument(r, source)
	if mapping == nil {
		return zero, r.sorted()
	}
	parsed := readMapping(r, "", documentStart, mapping, keys)
	if !r.partial {
		checkListeners(r, mapping, keys)
	}
	if len(r.findings) > 0 {
		return zero, r.sorted()
	}

	return parsed, nil
}

// Defaults returns a T in which each key has its default.
func Defaults[T any](keys []Key[T]) T {
	var filled T
	for i := range keys {
		keys[i].setDefault(&filled)
	}

	return filled
}

// defaultValues returns the default of each key.
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

// checkListeners reports addresses that are listened on twice; port 0 takes a free one each time.
func checkListeners[T any](r *report, mapping *ast.MappingNode, keys []Key[T]) {
	fields, _ := fieldsOf(&report{partial: r.partial}, "", mapping)
	first := make(map[string]field)
	for _, f := range fields {
		spec, ok := lookup(keys, f.name)
		if !ok || spec.Type != TypeListenAddress || f.value == nil {
			continue
		}
		address := sameAddress(f.value.GetToken().Value)
		if strings.HasSuffix(address, ":0") {
			continue
		}
		if earlier, ok := first[address]; ok {
			r.add(placeOf(f.value), f.name, "the address %q is that of %s too; allowed is one use of each", address, earlier.name)

			continue
		}
		first[address] = f
	}
}

// readMapping checks a mapping against its keys and fills a T.
func readMapping[T any](r *report, path string, at place, node ast.Node, keys []Key[T]) T {
	var filled T
	fields, ok := fieldsOf(r, path, node)
	if !ok {
		r.add(at, path, "there is %s; allowed is a mapping with the keys %s", describe(node), names(keys))

		return filled
	}
	present := make(map[string]bool, len(fields))
	for _, f := range fields {
		present[f.name] = true
		if _, ok := lookup(keys, f.name); !ok {
			unknownKey(r, join(path, f.name), f, keys)
		}
	}
	for i := range keys {
		key := &keys[i]
		switch {
		case present[key.Name]:
			fill(r, path, fields, key, &filled)
		case key.Required && !r.partial:
			r.add(at, join(path, key.Name), "the key is missing; allowed is %s", key.Allowed())
		default:
			key.setDefault(&filled)
		}
	}

	return filled
}

func fill[T any](r *report, path string, fields []field, key *Key[T], target *T) {
	for _, f := range fields {
		if f.name != key.Name || f.value == nil || key.Type == TypeTree {
			continue
		}
		if value, ok := key.read(r, join(path, f.name), f.value); ok && key.Set != nil {
			key.Set(target, value)
		}
	}
}

// upstreamPlace is where an upstream's name and address stand.
type upstreamPlace struct {
	path          string
	name, address place
}

// readUpstreams checks a list of upstreams.
func readUpstreams(r *report, path string, node ast.Node, spec *Spec) Value {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		r.add(placeOf(node), path, "there is %s; allowed is %s", describe(node), spec.Allowed())

		return Value{}
	}
	value := Value{upstreams: make([]Upstream, 0, len(sequence.Values))}
	texts := make([]string, 0, len(sequence.Values))
	for i, child := range sequence.Values {
		itemPath := path + indexText(i)
		at := placeOf(child)
		child = plainNode(r, itemPath, child)
		if child == nil {
			continue
		}
		upstream := readMapping(r, itemPath, at, child, upstreamKeys)
		value.upstreams = append(value.upstreams, upstream)
		value.places = append(value.places, upstreamPlace{
			path: itemPath, name: valuePlace(child, keyName, at), address: valuePlace(child, keyAddress, at),
		})
		texts = append(texts, string(upstream.ID)+" "+upstream.Address)
	}
	value.Text = "[" + strings.Join(texts, ", ") + "]"

	return value
}

// valuePlace returns the place of a key's value in a mapping.
func valuePlace(node ast.Node, name string, otherwise place) place {
	mapping, ok := node.(*ast.MappingNode)
	if !ok {
		return otherwise
	}
	for _, entry := range mapping.Values {
		if keyText(entry.Key) == name {
			return placeOf(entry.Value)
		}
	}

	return otherwise
}
