// Package release moves releases: numbered, immutable, content-hashed sets of
// rows that hold both tables together. It treats rows as opaque bytes, so that
// it can live as long as the process while the typed tables live for one
// version. Publishing is one conditional update of one head object on the
// platform; following means that an entry host puts higher numbers in force
// and never a lower one.
package release

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"strings"
	"time"
)

// Keys on the platform.
const (
	HeadKey    = "bilberry/head"
	partPrefix = "bilberry/releases/"
	// maxPart leaves room below platform.MaxValue for the JSON around rows.
	maxPart = 900 << 10
)

// Errors of publishing. Use errors.Is.
var (
	// ErrRowConflict: a row of the change set was changed by somebody else
	// since the version it was made from.
	ErrRowConflict = errors.New("release: row conflict")
	// ErrInvalid: the merged tables do not hold together.
	ErrInvalid = errors.New("release: invalid tables")
	// ErrCorrupt: content read back does not have the hash it was stored under.
	ErrCorrupt = errors.New("release: content does not match its hash")
)

// Row is one row of one table. Key is "<table>/<name>"; Data is its canonical
// JSON; Version is the number of the release that last changed it.
type Row struct {
	Key     string          `json:"key"`
	Data    json.RawMessage `json:"data"`
	Version uint64          `json:"version"`
	Author  string          `json:"author,omitempty"`
}

// Release is one accepted state of both tables. It is immutable.
type Release struct {
	Number uint64    `json:"number"`
	ID     string    `json:"id"`   // unique per accepted write
	Hash   string    `json:"hash"` // of the rows' keys and data
	Author string    `json:"author"`
	Note   string    `json:"note,omitempty"`
	Time   time.Time `json:"time"`
	Rows   []Row     `json:"rows,omitempty"` // by key
}

// Head is the value of the head object: the newest accepted release and the
// keys of the objects that hold its rows.
type Head struct {
	Release
	Parts []string `json:"parts"`
}

// Change is one row as an operator wants it. Base is the row version that the
// edit was made from (0: the row did not exist).
type Change struct {
	Key    string          `json:"key"`
	Data   json.RawMessage `json:"data,omitempty"`
	Delete bool            `json:"delete,omitempty"`
	Base   uint64          `json:"base"`
}

// ChangeSet is one operator's edit; it is accepted whole or refused whole.
type ChangeSet struct {
	Author  string
	Note    string
	Changes []Change
}

// HashRows returns the content hash of rows, which must be sorted by key.
func HashRows(rows []Row) string {
	h := sha256.New()
	for _, r := range rows {
		fmt.Fprintf(h, "%d:%s%d:", len(r.Key), r.Key, len(r.Data))
		h.Write(r.Data)
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// Row returns the row with the given key.
func (r *Release) Row(key string) (Row, bool) {
	i := sort.Search(len(r.Rows), func(i int) bool { return r.Rows[i].Key >= key })
	if i < len(r.Rows) && r.Rows[i].Key == key {
		return r.Rows[i], true
	}
	return Row{}, false
}

// Verify checks that the rows match the hash.
func (r *Release) Verify() error {
	if got := HashRows(r.Rows); got != r.Hash {
		return fmt.Errorf("%w: release %d has %s, want %s", ErrCorrupt, r.Number, got, r.Hash)
	}
	return nil
}

// ConflictError names every row of a change set that somebody else changed.
type ConflictError struct{ Rows []RowConflict }

// RowConflict is one conflicting row.
type RowConflict struct {
	Key     string
	Base    uint64 // the version the edit was made from
	Current uint64 // the version now in the head
	Author  string // who changed it
}

// Error implements error.
func (e *ConflictError) Error() string {
	parts := make([]string, len(e.Rows))
	for i, c := range e.Rows {
		parts[i] = fmt.Sprintf("%s (edited from version %d, now %d by %s)", c.Key, c.Base, c.Current, c.Author)
	}
	return ErrRowConflict.Error() + ": " + strings.Join(parts, ", ")
}

// Is lets errors.Is match ErrRowConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrRowConflict }

// Merge applies set to base and returns the rows of the next release. Rows
// that another author changed since set was made are a *ConflictError; an edit
// equal to what is already there is no conflict.
func Merge(base Release, set ChangeSet) ([]Row, error) {
	rows := make(map[string]Row, len(base.Rows)+len(set.Changes))
	for _, r := range base.Rows {
		rows[r.Key] = r
	}
	var conflicts []RowConflict
	for _, c := range set.Changes {
		cur, exists := rows[c.Key]
		if sameContent(cur, exists, c) {
			continue
		}
		if cur.Version != c.Base {
			conflicts = append(conflicts, RowConflict{Key: c.Key, Base: c.Base, Current: cur.Version, Author: cur.Author})
			continue
		}
		if c.Delete {
			delete(rows, c.Key)
			continue
		}
		rows[c.Key] = Row{Key: c.Key, Data: c.Data, Version: base.Number + 1, Author: set.Author}
	}
	if len(conflicts) > 0 {
		return nil, &ConflictError{Rows: conflicts}
	}
	return sorted(rows), nil
}

func sameContent(cur Row, exists bool, c Change) bool {
	if c.Delete {
		return !exists
	}
	return exists && string(cur.Data) == string(c.Data)
}

func sorted(rows map[string]Row) []Row {
	out := make([]Row, 0, len(rows))
	for _, r := range rows {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}
