package table

import (
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"

	"go.yaml.in/yaml/v3"
)

// decoder fills typed values from YAML nodes and goes on after a fault, so
// that one report holds the faults of every field.
type decoder struct {
	file   string
	offset map[string]int // rows that earlier files gave, by table
	places places
	faults ValidationErrors
}

// document decodes one file's bytes into t. Rows are numbered on from those
// of earlier files.
func (d *decoder) document(r io.Reader, t *Tables) {
	var doc yaml.Node
	dec := yaml.NewDecoder(r)
	err := dec.Decode(&doc)
	if errors.Is(err, io.EOF) {
		d.add(1, "", "the file is empty", "give a routes or a pools list")
		return
	}
	if err != nil {
		d.add(1, "", err.Error(), "correct the YAML")
		return
	}
	if err := dec.Decode(&yaml.Node{}); !errors.Is(err, io.EOF) {
		d.add(doc.Line, "", "there is more than one document", "keep one document a file")
	}
	d.value("", doc.Content[0], reflect.ValueOf(t).Elem())
}

func (d *decoder) add(line int, at, problem, fix string) {
	row, field := splitPlace(at)
	d.faults = append(d.faults, ValidationError{File: d.file, Line: line, Row: row, Field: field, Problem: problem, Fix: fix, at: at})
}

// splitPlace cuts "routes[2].stages[1].pool" after the row. What lies in no
// row belongs to the file.
func splitPlace(at string) (row, field string) {
	row, field, _ = strings.Cut(at, ".")
	switch {
	case at == "":
		return "file", "content"
	case !strings.Contains(row, "["):
		return "file", row
	case field == "":
		return row, "row"
	}
	return row, field
}

// value decodes n into v. at is n's place in the lists.
func (d *decoder) value(at string, n *yaml.Node, v reflect.Value) {
	d.places[at] = place{d.file, n.Line}
	if n.Kind == yaml.AliasNode || n.Anchor != "" {
		// Nested aliases make a small file expand without bound.
		d.add(n.Line, at, "anchors and aliases are not taken", "write the value out")
		return
	}
	if n.Tag == "!!null" {
		return // validation reports what must not be empty
	}
	switch v.Kind() {
	case reflect.Struct:
		d.structure(at, n, v)
	case reflect.Slice:
		d.list(at, n, v)
	case reflect.Map:
		d.dictionary(at, n, v)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		d.value(at, n, v.Elem())
	default:
		d.scalar(at, n, v)
	}
}

func (d *decoder) scalar(at string, n *yaml.Node, v reflect.Value) {
	if n.Kind != yaml.ScalarNode {
		d.add(n.Line, at, "is a list or a mapping", "write one "+typeName(v.Type()))
		return
	}
	if err := n.Decode(v.Addr().Interface()); err != nil {
		d.add(n.Line, at, fmt.Sprintf("%q is not a %s", n.Value, typeName(v.Type())), "write one "+typeName(v.Type()))
	}
}

func typeName(t reflect.Type) string {
	if t == reflect.TypeFor[Duration]() {
		return "duration such as 300ms"
	}
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64, reflect.Uint64:
		return "whole number"
	case reflect.Float64:
		return "number"
	default:
		return "text"
	}
}

func (d *decoder) list(at string, n *yaml.Node, v reflect.Value) {
	if n.Kind != yaml.SequenceNode {
		d.add(n.Line, at, "is not a list", "write a list, one item a dash")
		return
	}
	first := d.offset[at]
	for i, item := range n.Content {
		e := reflect.New(v.Type().Elem()).Elem()
		d.value(fmt.Sprintf("%s[%d]", at, first+i), item, e)
		v.Set(reflect.Append(v, e))
	}
}

func (d *decoder) dictionary(at string, n *yaml.Node, v reflect.Value) {
	if n.Kind != yaml.MappingNode {
		d.add(n.Line, at, "is not a mapping", "write name: value pairs")
		return
	}
	v.Set(reflect.MakeMap(v.Type()))
	for key, item := range d.pairs(at, n) {
		e := reflect.New(v.Type().Elem()).Elem()
		d.value(join(at, key), item, e)
		v.SetMapIndex(reflect.ValueOf(key), e)
	}
}

func (d *decoder) structure(at string, n *yaml.Node, v reflect.Value) {
	if n.Kind != yaml.MappingNode {
		d.add(n.Line, at, "is not a mapping", "write name: value pairs")
		return
	}
	fields := fieldsOf(v.Type())
	for key, item := range d.pairs(at, n) {
		i, known := fields[key]
		if !known {
			d.add(item.Line, join(at, key), "there is no such field", "correct the name or remove it; known are "+names(v.Type()))
			continue
		}
		d.value(join(at, key), item, v.Field(i))
	}
}

// pairs yields the entries of a mapping and reports a key that is listed twice:
// readers disagree on which of the two counts.
func (d *decoder) pairs(at string, n *yaml.Node) func(func(string, *yaml.Node) bool) {
	return func(yield func(string, *yaml.Node) bool) {
		seen := map[string]bool{}
		for i := 0; i+1 < len(n.Content); i += 2 {
			key := n.Content[i]
			if seen[key.Value] {
				d.add(key.Line, join(at, key.Value), "is listed twice", "remove one")
				continue
			}
			seen[key.Value] = true
			if !yield(key.Value, n.Content[i+1]) {
				return
			}
		}
	}
}

func join(at, key string) string {
	if at == "" {
		return key
	}
	return at + "." + key
}

func fieldsOf(t reflect.Type) map[string]int {
	out := map[string]int{}
	for i := range t.NumField() {
		out[fieldName(t.Field(i))] = i
	}
	return out
}

func fieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}

func names(t reflect.Type) string {
	out := make([]string, t.NumField())
	for i := range out {
		out[i] = fieldName(t.Field(i))
	}
	return strings.Join(out, ", ")
}
