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
	"time"
)

// Keys on the platform.
const (
	HeadKey          = "bilberry/head"
	HighWaterMarkKey = "bilberry/floor"
	queuePrefix      = "bilberry/queue/"
	releasePrefix    = "bilberry/releases/"
	// maxPart leaves room below objectapi.MaxValueBytes for the JSON around rows.
	maxPartBytes = 690 << 10
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
	// ErrNotKept: the release is older than the history that is kept.
	ErrNotRetained = errors.New("release: no longer kept")
	// ErrBehind: entry hosts have a release in force that the platform does
	// not know, so it was restored to an earlier state. See Publisher.Recover.
	ErrPlatformBehind = errors.New("release: the platform is behind the entry hosts")
	// ErrNoRelease: a host has started and found no release to serve.
	ErrNoRelease = errors.New("release: neither the platform nor a peer has given one")
	// ErrPending: the change set is still queued and may yet be accepted.
	ErrPending = errors.New("release: outcome not known yet")
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
	// Previous is the hash of the release numbered one lower.
	PreviousHash string `json:"previous,omitempty"`
	Rows         []Row  `json:"rows,omitempty"` // by key
	// Removed holds key, version and author of the newest deletions, so that a
	// conflict with a deletion names its author.
	RecentDeletions []Row `json:"removed,omitempty"`
}

// Head is the value of the head object and of each release's record: the
// release without rows, and what a writer needs to look back.
type Head struct {
	Release
	PartKeys     []string `json:"parts"`          // keys of the objects that hold the rows
	ChangeSetIDs []string `json:"sets,omitempty"` // change sets accepted by this release
	// Delta leads from the release before to this one; nil when it is large.
	Delta *Delta `json:"delta,omitempty"`
	// Recent are the releases before this one, newest first, up to recentRefs.
	Recent []Ref `json:"recent,omitempty"`
	// Swept is the lowest number whose objects may still exist.
	FirstUncollected uint64 `json:"swept,omitempty"`
}

// Ref names one accepted release.
type Ref struct {
	Number uint64    `json:"number"`
	ID     string    `json:"id"`
	Hash   string    `json:"hash"`
	Author string    `json:"author"`
	Note   string    `json:"note,omitempty"`
	Time   time.Time `json:"time"`
}

// Ref returns the release's reference.
func (r *Release) Ref() Ref {
	return Ref{Number: r.Number, ID: r.ID, Hash: r.Hash, Author: r.Author, Note: r.Note, Time: r.Time}
}

// Change is one row as an operator wants it. Base is the row version that the
// edit was made from (0: the row did not exist).
type Change struct {
	Key         string          `json:"key"`
	Data        json.RawMessage `json:"data,omitempty"`
	Delete      bool            `json:"delete,omitempty"`
	BaseVersion uint64          `json:"base"`
}

// ChangeSet is one operator's edit; it is accepted whole or refused whole.
type ChangeSet struct {
	ID      string   `json:"id"` // unique; Apply makes one when it is empty
	Author  string   `json:"author"`
	Note    string   `json:"note,omitempty"`
	Changes []Change `json:"changes"`
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
