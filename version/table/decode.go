package table

import (
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"

	"go.yaml.in/yaml/v3"
)

// decoder decodes YAML nodes into typed values. It continues after an error, so that the errors
// of all fields are reported together.
type decoder struct {
	file      string         // name of the file in errors
	rowOffset map[string]int // number of rows in earlier files, by table
	positions positions      // filled with the position of each value
	errs      ValidationErrors
}

// decodeDocument appends the rows of one file to t. Row numbers continue those of earlier files.
func (d *decoder) decodeDocument(r io.Reader, t *Tables) {
	var doc yaml.Node
	dec := yaml.NewDecoder(r)
	err := dec.Decode(&doc)
	if errors.Is(err, io.EOF) {
		d.addError(1, "", "the file is empty", "add a routes or a pools list")
		return
	}
	if err != nil {
		d.addError(1, "", err.Error(), "correct the YAML")
		return
	}
	if err := dec.Decode(&yaml.Node{}); !errors.Is(err, io.EOF) {
		d.addError(doc.Line, "", "there is more than one document", "keep one document per file")
	}
	d.decodeValue("", doc.Content[0], reflect.ValueOf(t).Elem())
}

// addError records an error of the value at path. fix tells the operator how to correct it.
func (d *decoder) addError(line int, path, problem, fix string) {
	row, field := splitPath(path)
	d.errs = append(d.errs, ValidationError{File: d.file, Line: line, Row: row, Field: field, Problem: problem, Fix: fix, path: path})
}

// splitPath splits "routes[2].stages[1].pool" after the row. For a value outside rows, row is
// "file".
func splitPath(path string) (row, field string) {
	row, field, _ = strings.Cut(path, ".")
	switch {
	case path == "":
		return "file", "content"
	case !strings.Contains(row, "["):
		return "file", row
	case field == "":
		return row, "row"
	}
	return row, field
}

// decodeValue decodes n, the value at path, into v.
func (d *decoder) decodeValue(path string, n *yaml.Node, v reflect.Value) {
	d.positions[path] = position{d.file, n.Line}
	if n.Kind == yaml.AliasNode || n.Anchor != "" {
		// With nested aliases a small file could expand to values of unbounded size.
		d.addError(n.Line, path, "anchors and aliases are not supported", "write the value out")
		return
	}
	if n.Tag == "!!null" {
		return // validation reports required values that are empty
	}
	switch v.Kind() {
	case reflect.Struct:
		d.decodeStruct(path, n, v)
	case reflect.Slice:
		d.decodeList(path, n, v)
	case reflect.Map:
		d.decodeMap(path, n, v)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		d.decodeValue(path, n, v.Elem())
	default:
		d.decodeScalar(path, n, v)
	}
}

// decodeScalar decodes n into v, a text, number, boolean or Duration.
func (d *decoder) decodeScalar(path string, n *yaml.Node, v reflect.Value) {
	if n.Kind != yaml.ScalarNode {
		d.addError(n.Line, path, "is a list or a mapping", "write one "+typeName(v.Type()))
		return
	}
	if err := n.Decode(v.Addr().Interface()); err != nil {
		d.addError(n.Line, path, fmt.Sprintf("%q is not a %s", n.Value, typeName(v.Type())), "write one "+typeName(v.Type()))
	}
}

// typeName returns the name of a scalar type in error messages.
func typeName(t reflect.Type) string {
	if t == reflect.TypeFor[Duration]() {
		return "duration such as 300ms"
	}
	switch t.Kind() {
	case reflect.Bool:
		return "boolean (true or false)"
	case reflect.Int, reflect.Int64, reflect.Uint64:
		return "whole number"
	case reflect.Float64:
		return "number"
	default:
		return "text"
	}
}

// decodeList appends the items of n to the slice v.
func (d *decoder) decodeList(path string, n *yaml.Node, v reflect.Value) {
	if n.Kind != yaml.SequenceNode {
		d.addError(n.Line, path, "is not a list", "write a list with a dash before each item")
		return
	}
	firstIndex := d.rowOffset[path]
	for i, item := range n.Content {
		e := reflect.New(v.Type().Elem()).Elem()
		d.decodeValue(fmt.Sprintf("%s[%d]", path, firstIndex+i), item, e)
		v.Set(reflect.Append(v, e))
	}
}

// decodeMap decodes n into v, a map with string keys.
func (d *decoder) decodeMap(path string, n *yaml.Node, v reflect.Value) {
	if n.Kind != yaml.MappingNode {
		d.addError(n.Line, path, "is not a mapping", "write name: value pairs")
		return
	}
	v.Set(reflect.MakeMap(v.Type()))
	for key, item := range d.pairs(path, n) {
		e := reflect.New(v.Type().Elem()).Elem()
		d.decodeValue(joinPath(path, key), item, e)
		v.SetMapIndex(reflect.ValueOf(key), e)
	}
}

// decodeStruct decodes n into the struct v by the YAML names of its fields. Unknown fields are
// errors.
func (d *decoder) decodeStruct(path string, n *yaml.Node, v reflect.Value) {
	if n.Kind != yaml.MappingNode {
		d.addError(n.Line, path, "is not a mapping", "write name: value pairs")
		return
	}
	fields := fieldIndexes(v.Type())
	for key, item := range d.pairs(path, n) {
		i, known := fields[key]
		if !known {
			d.addError(item.Line, joinPath(path, key), "there is no such field", "correct the name or remove it; known fields are "+fieldNames(v.Type()))
			continue
		}
		d.decodeValue(joinPath(path, key), item, v.Field(i))
	}
}

// pairs yields the entries of a mapping and reports duplicate keys as errors: YAML parsers
// disagree on which of two entries with the same key is used.
func (d *decoder) pairs(path string, n *yaml.Node) func(func(string, *yaml.Node) bool) {
	return func(yield func(string, *yaml.Node) bool) {
		seen := map[string]bool{}
		for i := 0; i+1 < len(n.Content); i += 2 {
			key := n.Content[i]
			if seen[key.Value] {
				d.addError(key.Line, joinPath(path, key.Value), "is listed twice", "remove one")
				continue
			}
			seen[key.Value] = true
			if !yield(key.Value, n.Content[i+1]) {
				return
			}
		}
	}
}

// joinPath returns the path of the field key of the value at path.
func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// fieldIndexes returns the index of each field of a struct type by its YAML name.
func fieldIndexes(t reflect.Type) map[string]int {
	out := map[string]int{}
	for i := range t.NumField() {
		out[fieldName(t.Field(i))] = i
	}
	return out
}

// fieldName returns the YAML name of a field.
func fieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}

// fieldNames returns the YAML names of a struct type's fields, separated by commas.
func fieldNames(t reflect.Type) string {
	out := make([]string, t.NumField())
	for i := range out {
		out[i] = fieldName(t.Field(i))
	}
	return strings.Join(out, ", ")
}
