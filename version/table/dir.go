package table

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"

	"go.yaml.in/yaml/v3"
)

// Names of the files that WriteDir makes.
const (
	RoutesFile = "routes.yaml"
	PoolsFile  = "pools.yaml"
)

// ReadDir reads every *.yaml file of dir, each with a routes and a pools list,
// and validates them together. The error is a Faults that names file, line,
// row, field and fix of every fault of every file.
func ReadDir(dir string) (Tables, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.yaml"))
	if err != nil {
		return Tables{}, fmt.Errorf("list %s: %w", dir, err)
	}
	if len(paths) == 0 {
		return Tables{}, fmt.Errorf("%s: no *.yaml file; put %s and %s there", dir, RoutesFile, PoolsFile)
	}
	files := make([]File, len(paths))
	for i, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return Tables{}, fmt.Errorf("read tables: %w", err)
		}
		if info.Size() > MaxFileBytes {
			return Tables{}, fmt.Errorf("%s: has %d bytes; keep it under %d", path, info.Size(), MaxFileBytes)
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return Tables{}, fmt.Errorf("read tables: %w", err)
		}
		files[i] = File{Name: path, Data: data}
	}
	return Parse(files)
}

// File is one file of the tables.
type File struct {
	Name string
	Data []byte
}

// Parse decodes and validates files as the tables of one release.
func Parse(files []File) (Tables, error) {
	var all Tables
	var faults ValidationErrors
	found := places{}
	for _, f := range files {
		d := &decoder{
			file: f.Name, places: found,
			offset: map[string]int{"routes": len(all.Routes), "pools": len(all.Pools)},
		}
		d.document(bytes.NewReader(f.Data), &all)
		faults = append(faults, d.faults...)
	}
	nameRows(faults, all)
	checked := check(all)
	found.locate(checked)
	faults = append(faults, withoutRepeats(faults, checked)...)
	if len(faults) > 0 {
		return all, faults
	}
	return all, nil
}

// nameRows replaces "routes[2]" by the row's own name where it has one.
func nameRows(faults ValidationErrors, t Tables) {
	byPlace := map[string]string{}
	for i, r := range t.Routes {
		byPlace[fmt.Sprintf("routes[%d]", i)] = r.Name
	}
	for i, p := range t.Pools {
		byPlace[fmt.Sprintf("pools[%d]", i)] = p.Name
	}
	for i, f := range faults {
		name := byPlace[f.Row]
		switch {
		case name == "":
		case f.Row[0] == 'r':
			faults[i].Row = RouteKeyPrefix + name
		default:
			faults[i].Row = PoolKeyPrefix + name
		}
	}
}

// withoutRepeats drops what validation says of a field that could not even be
// decoded: it would report the empty value in its place.
func withoutRepeats(decoded, checked ValidationErrors) ValidationErrors {
	known := map[string]bool{}
	for _, f := range decoded {
		known[f.at] = true
	}
	var out ValidationErrors
	for _, f := range checked {
		if !known[f.at] {
			out = append(out, f)
		}
	}
	return out
}

// WriteDir writes t to dir as the two files that ReadDir reads.
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
