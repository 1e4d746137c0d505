package table

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"bilberrydale/process/release"
)

// Prefixes of row keys, one a table.
const (
	RouteKeyPrefix = "routes/"
	PoolKeyPrefix  = "pools/"
)

// FromRows decodes a release's rows. Unknown fields and unknown tables are
// faults, and so is a row whose key is not its name: the key decides conflicts
// between operators and the name what requests use, so they have to agree.
func DecodeRows(rows []release.Row) (Tables, error) {
	var t Tables
	var faults ValidationErrors
	for _, r := range rows {
		if err := t.appendRow(r); err != nil {
			faults = append(faults, ValidationError{Row: r.Key, Field: "row", Problem: err.Error(), Fix: "correct or remove the row"})
		}
	}
	if faults != nil {
		return t, faults
	}
	return t, nil
}

func (t *Tables) appendRow(r release.Row) error {
	if len(r.Data) > MaxRowBytes {
		return fmt.Errorf("has %d bytes, over %d", len(r.Data), MaxRowBytes)
	}
	if name, ok := strings.CutPrefix(r.Key, RouteKeyPrefix); ok {
		v, err := decodeRow[Route](r.Data)
		if err == nil && v.Name != name {
			err = fmt.Errorf("holds the name %q", v.Name)
		}
		t.Routes = append(t.Routes, v)
		return err
	}
	if name, ok := strings.CutPrefix(r.Key, PoolKeyPrefix); ok {
		v, err := decodeRow[Pool](r.Data)
		if err == nil && v.Name != name {
			err = fmt.Errorf("holds the name %q", v.Name)
		}
		t.Pools = append(t.Pools, v)
		return err
	}
	return errors.New("row of no known table")
}

func decodeRow[T any](data []byte) (T, error) {
	var v T
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&v); err != nil {
		return v, err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return v, errors.New("holds more than one value")
	}
	return v, nil
}

// Check decodes and validates rows; it is the publisher's Validator.
func ValidateRows(rows []release.Row) error {
	t, err := DecodeRows(rows)
	if err != nil {
		return err
	}
	return Validate(t)
}

// Encode returns the tables' rows as canonical JSON by key.
func EncodeRows(t Tables) (map[string]json.RawMessage, error) {
	out := map[string]json.RawMessage{}
	for _, r := range t.Routes {
		data, err := json.Marshal(r)
		if err != nil {
			return nil, fmt.Errorf("encode route %s: %w", r.Name, err)
		}
		out[RouteKeyPrefix+r.Name] = data
	}
	for _, p := range t.Pools {
		data, err := json.Marshal(p)
		if err != nil {
			return nil, fmt.Errorf("encode pool %s: %w", p.Name, err)
		}
		out[PoolKeyPrefix+p.Name] = data
	}
	return out, nil
}
