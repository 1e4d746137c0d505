package ctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"bilberrydale/process/release"
)

// BaseFile lies beside exported tables and tells from which version of each
// row they were made. Without it, two operators who edit the same row would
// both seem to start from the newest release, and the later apply would
// silently undo the earlier one.
const BaseFile = ".bilberry-base.json"

// Base is the content of BaseFile.
type Base struct {
	Number uint64             `json:"number"` // release that was exported
	ID     string             `json:"id"`
	Rows   map[string]BaseRow `json:"rows"`
}

// BaseRow is one row as it was when the tables were exported or last applied.
type BaseRow struct {
	Version uint64          `json:"version"`
	Data    json.RawMessage `json:"data"`
}

// errNoBase: the folder has no BaseFile.
var errNoBase = errors.New("no " + BaseFile)

func newBase(rel release.Release) *Base {
	b := &Base{Number: rel.Number, ID: rel.ID, Rows: map[string]BaseRow{}}
	for _, r := range rel.Rows {
		b.Rows[r.Key] = BaseRow{Version: r.Version, Data: r.Data}
	}
	return b
}

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

// write replaces the file as a whole: half a base would look like deleted rows.
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

// accepted moves the rows of set to their accepted state. Rows that others
// changed meanwhile keep their old base: the folder still holds their old
// content, which must not count as an edit made from the newest version.
func (b *Base) accepted(rel release.Release, set release.ChangeSet) {
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

// check refuses a base that the platform's releases cannot have come from.
func (b *Base) check(head release.Release) error {
	if b.Number > head.Number || (b.Number == head.Number && b.ID != head.ID) {
		return fmt.Errorf("the tables were exported from release %d (%s), which this platform does not have; export them again", b.Number, b.ID)
	}
	return nil
}
