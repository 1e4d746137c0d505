package table

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"

	"go.yaml.in/yaml/v3"
)

// Names of the files that WriteDir writes.
const (
	RoutesFile = "routes.yaml"
	PoolsFile  = "pools.yaml"
)

// ReadDir reads all *.yaml files in dir, each of which may have a routes and a pools list, and
// validates them together. If the files can be read but are invalid, the error is
// ValidationErrors with all errors of all files.
func ReadDir(dir string) (Tables, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.yaml"))
	if err != nil {
		return Tables{}, fmt.Errorf("list %s: %w", dir, err)
	}
	if len(paths) == 0 {
		return Tables{}, fmt.Errorf("%s: no *.yaml file; add %s and %s", dir, RoutesFile, PoolsFile)
	}
	files := make([]File, len(paths))
	for i, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return Tables{}, fmt.Errorf("read tables: %w", err)
		}
		if info.Size() > MaxFileBytes {
			return Tables{}, fmt.Errorf("%s: has %d bytes; the maximum is %d", path, info.Size(), MaxFileBytes)
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return Tables{}, fmt.Errorf("read tables: %w", err)
		}
		files[i] = File{Name: path, Data: data}
	}
	return Parse(files)
}

// File is the name and content of a YAML file with rows of the tables.
type File struct {
	Name string // in errors
	Data []byte
}

// Parse decodes and validates files as the tables of one release. The error is ValidationErrors
// or nil.
func Parse(files []File) (Tables, error) {
	var all Tables
	var errs ValidationErrors
	pos := positions{}
	for _, f := range files {
		d := &decoder{
			file: f.Name, positions: pos,
			rowOffset: map[string]int{"routes": len(all.Routes), "pools": len(all.Pools)},
		}
		d.decodeDocument(bytes.NewReader(f.Data), &all)
		errs = append(errs, d.errs...)
	}
	setRowNames(errs, all)
	invalid := validate(all)
	pos.setPositions(invalid)
	errs = append(errs, withoutUndecoded(errs, invalid)...)
	if len(errs) > 0 {
		return all, errs
	}
	return all, nil
}

// setRowNames replaces rows such as "routes[2]" in errs by the key of the row, if the row has a
// name.
func setRowNames(errs ValidationErrors, t Tables) {
	nameByPath := map[string]string{}
	for i, r := range t.Routes {
		nameByPath[fmt.Sprintf("routes[%d]", i)] = r.Name
	}
	for i, p := range t.Pools {
		nameByPath[fmt.Sprintf("pools[%d]", i)] = p.Name
	}
	for i, e := range errs {
		name := nameByPath[e.Row]
		switch {
		case name == "":
		case e.Row[0] == 'r':
			errs[i].Row = RouteKeyPrefix + name
		default:
			errs[i].Row = PoolKeyPrefix + name
		}
	}
}

// withoutUndecoded returns the errors of validation except those of fields that could not be
// decoded: they would report the empty value that such a field has.
func withoutUndecoded(undecoded, invalid ValidationErrors) ValidationErrors {
	paths := map[string]bool{}
	for _, e := range undecoded {
		paths[e.path] = true
	}
	var out ValidationErrors
	for _, e := range invalid {
		if !paths[e.path] {
			out = append(out, e)
		}
	}
	return out
}

// WriteDir writes t to dir as RoutesFile and PoolsFile, in the format that ReadDir reads. It
// creates dir if necessary and overwrites the files.
func WriteDir(dir string, t Tables) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("write tables: %w", err)
	}
	files := map[string]any{
		RoutesFile: struct {
			Routes []Route `yaml:"routes"`
		}{t.Routes},
		PoolsFile: struct {
			Pools []Pool `yaml:"pools"`
		}{t.Pools},
	}
	for name, v := range files {
		data, err := yaml.Marshal(v)
		if err != nil {
			return fmt.Errorf("encode %s: %w", name, err)
		}
		if err := os.WriteFile(filepath.Join(dir, name), data, 0o644); err != nil {
			return fmt.Errorf("write tables: %w", err)
		}
	}
	return nil
}
