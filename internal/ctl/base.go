package ctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"bilberrydale/process/release"
)

// BaseFile is the name of the file beside exported tables that records the
// version of each row from which they were made. Without it, the edits of two
// operators to the same row would both be compared with the newest release, and
// the later apply would silently undo the earlier one.
const BaseFile = ".bilberry-base.json"

// Base is the content of BaseFile: the release and row versions that an edit
// is compared with.
type Base struct {
	Number uint64             `json:"number"` // number of the exported or last applied release
	ID     string             `json:"id"`     // id of that release
	Rows   map[string]BaseRow `json:"rows"`   // by row key
}

// BaseRow is the version and content of one row when the tables were exported
// or last applied.
type BaseRow struct {
	Version uint64          `json:"version"`
	Data    json.RawMessage `json:"data"`
}

// errNoBase is returned if the folder has no BaseFile.
var errNoBase = errors.New("no " + BaseFile)

// newBase returns the base of an edit that starts from rel.
func newBase(rel release.Release) *Base {
	b := &Base{Number: rel.Number, ID: rel.ID, Rows: map[string]BaseRow{}}
	for _, r := range rel.Rows {
		b.Rows[r.Key] = BaseRow{Version: r.Version, Data: r.Data}
	}
	return b
}

// readBase reads the BaseFile of dir. The error is errNoBase if there is none.
func readBase(dir string) (*Base, error) {
	path := filepath.Join(dir, BaseFile)
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, errNoBase
	}
	if err != nil {
		return nil, fmt.Errorf("read base: %w", err)
	}
	b := &Base{}
	if err := json.Unmarshal(data, b); err != nil {
		return nil, fmt.Errorf("%s: %w; export the tables again", path, err)
	}
	return b, nil
}

// write replaces the file atomically: rows missing from a partly written base
// would count as deleted.
func (b *Base) write(dir string) error {
	data, err := json.MarshalIndent(b, "", " ")
	if err != nil {
		return fmt.Errorf("encode base: %w", err)
	}
	path := filepath.Join(dir, BaseFile)
	if err := os.WriteFile(path+".new", data, 0o644); err != nil {
		return fmt.Errorf("write base: %w", err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return fmt.Errorf("write base: %w", err)
	}
	return nil
}

// advance sets the rows of set to their versions in rel, the release that
// accepted set. Rows that others changed since the base keep their old base
// version: the folder still contains their old content, which must not count as
// an edit of the newest version.
func (b *Base) advance(rel release.Release, set release.ChangeSet) {
	b.Number, b.ID = rel.Number, rel.ID
	for _, c := range set.Changes {
		row, ok := rel.Row(c.Key)
		if !ok {
			delete(b.Rows, c.Key)
			continue
		}
		b.Rows[c.Key] = BaseRow{Version: row.Version, Data: row.Data}
	}
}

// checkAgainst returns an error if the base does not come from the releases of
// this platform, whose newest one is head.
func (b *Base) checkAgainst(head release.Release) error {
	if b.Number > head.Number || (b.Number == head.Number && b.ID != head.ID) {
		return fmt.Errorf("the tables were exported from release %d (%s), which this platform does not have; export them again", b.Number, b.ID)
	}
	return nil
}
