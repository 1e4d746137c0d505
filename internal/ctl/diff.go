package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"strings"

	"bilberrydale/internal/settings"
	"bilberrydale/process/release"
)

// FieldChange is one field that an edit changes. Old is empty if the field is
// added, New if it is removed.
type FieldChange struct {
	Row   string `json:"row"`           // key
	Field string `json:"field"`         // path; see flattenRow
	Old   string `json:"old,omitempty"` // JSON, as New
	New   string `json:"new,omitempty"`
	// Conflict is the author and release of a change to the row since the
	// edit's base; empty if there is none.
	Conflict string `json:"conflict,omitempty"`
}

// diffCommand shows the edits of a folder without publishing them.
type diffCommand struct{ base baseFlags }

// registerFlags adds the flags that select the base release of the edit.
func (c *diffCommand) registerFlags(set *settings.Set) {
	c.base.register(set)
}

// run shows the changed fields. Without --json, conflicting rows are an error.
func (c *diffCommand) run(ctx context.Context, env *Env, dir string) error {
	e, err := env.readEdit(ctx, dir, c.base)
	if errors.Is(err, errNoBase) {
		return fmt.Errorf("%s: %w; export into a folder and edit there, name the release with --base, or use --force-rebase to compare with the newest release", dir, err)
	}
	if err != nil {
		return err
	}
	fields, err := e.fieldChanges()
	if err != nil {
		return err
	}
	if env.JSON {
		return env.print(fields, nil, nil)
	}
	printFieldChanges(env, fields)
	if n := len(e.conflicts()); n > 0 {
		return fmt.Errorf("%d rows conflict: others changed them since release %d", n, e.base.Number)
	}
	return nil
}

// printFieldChanges prints the changes below a line for each row.
func printFieldChanges(env *Env, fields []FieldChange) {
	row := ""
	for _, f := range fields {
		if f.Row != row {
			row = f.Row
			env.printLine("%s", row)
			if f.Conflict != "" {
				env.printLine("  ! changed meanwhile by %s", f.Conflict)
			}
		}
		switch {
		case f.Old == "":
			env.printLine("  + %s: %s", f.Field, f.New)
		case f.New == "":
			env.printLine("  - %s: %s", f.Field, f.Old)
		default:
			env.printLine("  ~ %s: %s -> %s", f.Field, f.Old, f.New)
		}
	}
}

// fieldChanges lists the changed fields of the edit, by row and field.
func (e *edit) fieldChanges() ([]FieldChange, error) {
	conflicts := e.conflicts()
	out := []FieldChange{}
	for _, c := range e.changeSet.Changes {
		fields, err := rowFieldChanges(c, e.base.Rows[c.Key].Data)
		if err != nil {
			return nil, err
		}
		for _, f := range fields {
			if row, ok := conflicts[c.Key]; ok {
				f.Conflict = fmt.Sprintf("%q in release %d", row.Author, row.Version)
			}
			out = append(out, f)
		}
	}
	return out, nil
}

// rowFieldChanges returns the fields of the changed row that differ from old, its
// content in the base, by path. Old is empty if the row is added.
func rowFieldChanges(c release.Change, old json.RawMessage) ([]FieldChange, error) {
	before, err := flattenRow(old)
	if err != nil {
		return nil, fmt.Errorf("row %s: %w", c.Key, err)
	}
	after, err := flattenRow(c.Data)
	if err != nil {
		return nil, fmt.Errorf("row %s: %w", c.Key, err)
	}
	var out []FieldChange
	for field, text := range after {
		if before[field] != text {
			out = append(out, FieldChange{Row: c.Key, Field: field, Old: before[field], New: text})
		}
	}
	for field, text := range before {
		if _, exists := after[field]; !exists {
			out = append(out, FieldChange{Row: c.Key, Field: field, Old: text})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Field < out[j].Field })
	return out, nil
}

// flattenRow returns the JSON text of each field of a row by its path. In paths,
// list items with a name are identified by it, so that an inserted item does
// not change the paths of all later ones.
func flattenRow(data json.RawMessage) (map[string]string, error) {
	out := map[string]string{}
	if len(data) == 0 {
		return out, nil
	}
	var v any
	if err := json.Unmarshal(data, &v); err != nil {
		return nil, err
	}
	flattenValue(out, "", v)
	return out, nil
}

// flattenValue adds the scalars in v to out. Path is that of v.
func flattenValue(out map[string]string, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for key, item := range v {
			flattenValue(out, strings.TrimPrefix(path+"."+key, "."), item)
		}
	case []any:
		for i, item := range v {
			flattenValue(out, fmt.Sprintf("%s[%s]", path, itemLabel(i, item)), item)
		}
	default:
		text, _ := json.Marshal(v)
		out[path] = string(text)
	}
}

// itemLabel returns the name of a list item, or its index if it has none.
func itemLabel(i int, item any) string {
	if m, ok := item.(map[string]any); ok {
		if name, ok := m["name"].(string); ok && name != "" {
			return name
		}
	}
	return fmt.Sprint(i)
}
