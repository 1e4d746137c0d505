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

// Prefixes of row keys, one for each table. The rest of a key is the name of the row.
const (
	RouteKeyPrefix = "routes/"
	PoolKeyPrefix  = "pools/"
)

// DecodeRows decodes the rows of a release without validating their values. Unknown fields,
// unknown tables and rows whose key does not match their name are errors: the key is used to
// detect conflicts between operators' changes and the name to serve requests, so they have to
// agree. The error is ValidationErrors or nil.
func DecodeRows(rows []release.Row) (Tables, error) {
	var t Tables
	var errs ValidationErrors
	for _, r := range rows {
		if err := t.appendRow(r); err != nil {
			errs = append(errs, ValidationError{Row: r.Key, Field: "row", Problem: err.Error(), Fix: "correct or remove the row"})
		}
	}
	if errs != nil {
		return t, errs
	}
	return t, nil
}

// appendRow decodes r and appends it to its table.
func (t *Tables) appendRow(r release.Row) error {
	if len(r.Data) > MaxRowBytes {
		return fmt.Errorf("has %d bytes; the maximum is %d", len(r.Data), MaxRowBytes)
	}
	if name, ok := strings.CutPrefix(r.Key, RouteKeyPrefix); ok {
		v, err := decodeRow[Route](r.Data)
		if err == nil && v.Name != name {
			err = fmt.Errorf("contains the name %q", v.Name)
		}
		t.Routes = append(t.Routes, v)
		return err
	}
	if name, ok := strings.CutPrefix(r.Key, PoolKeyPrefix); ok {
		v, err := decodeRow[Pool](r.Data)
		if err == nil && v.Name != name {
			err = fmt.Errorf("contains the name %q", v.Name)
		}
		t.Pools = append(t.Pools, v)
		return err
	}
	return errors.New("belongs to no known table")
}

// decodeRow decodes a single JSON value without unknown fields.
func decodeRow[T any](data []byte) (T, error) {
	var v T
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&v); err != nil {
		return v, err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return v, errors.New("contains more than one JSON value")
	}
	return v, nil
}

// ValidateRows decodes and validates rows. It is the validator of release.Publisher.
func ValidateRows(rows []release.Row) error {
	t, err := DecodeRows(rows)
	if err != nil {
		return err
	}
	return Validate(t)
}

// EncodeRows returns the rows of the tables as JSON by key. Equal rows have equal encodings.
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
