package table

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"go.yaml.in/yaml/v3"

	"bilberrydale/process/release"
)

// Prefixes of row keys, one a table.
const (
	RoutePrefix = "routes/"
	PoolPrefix  = "pools/"
)

// FromRows decodes a release's rows. Unknown fields and unknown tables are
// faults.
func FromRows(rows []release.Row) (Tables, error) {
	var t Tables
	var faults Faults
	for _, r := range rows {
		var err error
		switch {
		case strings.HasPrefix(r.Key, RoutePrefix):
			err = appendRow(&t.Routes, r.Data)
		case strings.HasPrefix(r.Key, PoolPrefix):
			err = appendRow(&t.Pools, r.Data)
		default:
			err = fmt.Errorf("row of no known table")
		}
		if err != nil {
			faults = append(faults, Fault{r.Key, "row", err.Error(), "correct or remove the row"})
		}
	}
	if faults != nil {
		return t, faults
	}
	return t, nil
}

func appendRow[T any](list *[]T, data []byte) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	var v T
	if err := dec.Decode(&v); err != nil {
		return err
	}
	*list = append(*list, v)
	return nil
}

// Check decodes and validates rows; it is the publisher's Validator.
func Check(rows []release.Row) error {
	t, err := FromRows(rows)
	if err != nil {
		return err
	}
	return Validate(t)
}

// Encode returns the tables' rows as canonical JSON by key.
func Encode(t Tables) (map[string]json.RawMessage, error) {
	out := map[string]json.RawMessage{}
	for _, r := range t.Routes {
		data, err := json.Marshal(r)
		if err != nil {
			return nil, fmt.Errorf("encode route %s: %w", r.Name, err)
		}
		out[RoutePrefix+r.Name] = data
	}
	for _, p := range t.Pools {
		data, err := json.Marshal(p)
		if err != nil {
			return nil, fmt.Errorf("encode pool %s: %w", p.Name, err)
		}
		out[PoolPrefix+p.Name] = data
	}
	return out, nil
}

// ReadDir reads every *.yaml file of dir, each with a routes and a pools list.
// A field that no table has is an error that names the file and line.
func ReadDir(dir string) (Tables, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.yaml"))
	if err != nil {
		return Tables{}, fmt.Errorf("list %s: %w", dir, err)
	}
	if len(files) == 0 {
		return Tables{}, fmt.Errorf("%s: no *.yaml file; put routes.yaml and pools.yaml there", dir)
	}
	var all Tables
	var faults []string
	for _, f := range files {
		t, err := readFile(f)
		if err != nil {
			faults = append(faults, fmt.Sprintf("%s: %v", f, err))
			continue
		}
		all.Routes = append(all.Routes, t.Routes...)
		all.Pools = append(all.Pools, t.Pools...)
	}
	if faults != nil {
		return all, fmt.Errorf("%s", strings.Join(faults, "\n"))
	}
	return all, nil
}

func readFile(path string) (Tables, error) {
	var t Tables
	data, err := os.ReadFile(path)
	if err != nil {
		return t, err
	}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	return t, dec.Decode(&t)
}
