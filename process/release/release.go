// Package release publishes and distributes releases: numbered, immutable,
// content-hashed sets of rows that together make up both tables. Rows are
// opaque bytes here, so that this code can live as long as the process while
// the typed tables live for one version. A Publisher accepts a release by one
// conditional update of a single head object on the platform. A Follower
// activates releases on an entry host in rising order and never goes back to a
// lower number. A Distributor passes releases between entry hosts.
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

// Object keys and key prefixes on the platform.
const (
	HeadKey          = "bilberry/head"      // the head object, which names the newest accepted release; see Head
	HighWaterMarkKey = "bilberry/floor"     // see HighWaterMark
	queuePrefix      = "bilberry/queue/"    // queued change sets; the ID follows
	releasePrefix    = "bilberry/releases/" // rows and records of releases; see objectKey
	// maxPartBytes bounds the rows of one object. It is below
	// objectapi.MaxValueBytes to leave space for the JSON around the rows.
	maxPartBytes = 690 << 10
)

// Errors of publishing and following releases; match them with errors.Is.
var (
	// ErrRowConflict: a row of the change set has changed since the version
	// that the edit was made from. The error is a *ConflictError.
	ErrRowConflict = errors.New("release: row conflict")
	// ErrInvalid: the merged tables do not pass validation.
	ErrInvalid = errors.New("release: invalid tables")
	// ErrCorrupt: the rows do not match the hash of their release.
	ErrCorrupt = errors.New("release: content does not match its hash")
	// ErrNotRetained: the release is older than the retained history, or the
	// queried host does not have it.
	ErrNotRetained = errors.New("release: no longer retained")
	// ErrPlatformBehind: entry hosts have a release in force that the platform
	// does not have, because the platform was restored to an earlier state. See
	// Publisher.Recover.
	ErrPlatformBehind = errors.New("release: the platform is behind the entry hosts")
	// ErrNoRelease: the entry host has started and got no release from the
	// platform or a peer.
	ErrNoRelease = errors.New("release: neither the platform nor a peer has given one")
	// ErrPending: the outcome is not known; the change set is still queued or
	// its head update may have taken effect, so it can still be accepted.
	ErrPending = errors.New("release: outcome not known yet")
)

// Row is one row of one table. Key is "<table>/<name>", Data its canonical
// JSON, Version the number of the release that last changed the row, and Author
// who changed it.
type Row struct {
	Key     string          `json:"key"`
	Data    json.RawMessage `json:"data"`
	Version uint64          `json:"version"`
	Author  string          `json:"author,omitempty"`
}

// Release is one accepted state of both tables. It is immutable.
type Release struct {
	Number uint64    `json:"number"` // from 1; 0: no release
	ID     string    `json:"id"`     // unique per write, also if it is not accepted
	Hash   string    `json:"hash"`   // HashRows of Rows
	Author string    `json:"author"`
	Note   string    `json:"note,omitempty"`
	Time   time.Time `json:"time"` // when its publisher wrote it, on the publisher's clock
	// PreviousHash is the hash of the release that this one was built on, which
	// is numbered one lower except after Publisher.Recover.
	PreviousHash string `json:"previous,omitempty"`
	Rows         []Row  `json:"rows,omitempty"` // sorted by key
	// RecentDeletions holds key, version and author of the latest deleted rows,
	// so that a conflict with a deletion names its author.
	RecentDeletions []Row `json:"removed,omitempty"`
}

// Head is the stored form of the head object and of the record of each release:
// the release without its rows, and the metadata with which publishers read
// back the history.
type Head struct {
	Release
	PartKeys     []string `json:"parts"`          // keys of the objects with the rows
	ChangeSetIDs []string `json:"sets,omitempty"` // change sets accepted in this release
	// Delta holds the changes against the previous release; nil if they exceed
	// maxHeadDeltaBytes.
	Delta *Delta `json:"delta,omitempty"`
	// Recent holds the releases before this one, newest first, at most
	// maxRecentRefs.
	Recent []Ref `json:"recent,omitempty"`
	// FirstUncollected is the lowest release number whose objects may still
	// exist on the platform; garbage collection continues there.
	FirstUncollected uint64 `json:"swept,omitempty"`
}

// Ref identifies one accepted release and holds its metadata without rows.
type Ref struct {
	Number uint64    `json:"number"`
	ID     string    `json:"id"`
	Hash   string    `json:"hash"`
	Author string    `json:"author"`
	Note   string    `json:"note,omitempty"`
	Time   time.Time `json:"time"`
}

// Ref returns the reference of r.
func (r *Release) Ref() Ref {
	return Ref{Number: r.Number, ID: r.ID, Hash: r.Hash, Author: r.Author, Note: r.Note, Time: r.Time}
}

// Change sets or deletes one row. BaseVersion is the row version that the edit
// was made from; 0 means that the row did not exist.
type Change struct {
	Key         string          `json:"key"`
	Data        json.RawMessage `json:"data,omitempty"` // new canonical JSON; empty with Delete
	Delete      bool            `json:"delete,omitempty"`
	BaseVersion uint64          `json:"base"`
}

// ChangeSet is one edit by one author. It is accepted or refused as a whole.
type ChangeSet struct {
	ID      string   `json:"id"` // unique; Apply generates it if empty
	Author  string   `json:"author"`
	Note    string   `json:"note,omitempty"`
	Changes []Change `json:"changes"`
}

// HashRows returns the hex content hash of the keys and data of rows, which
// must be sorted by key.
func HashRows(rows []Row) string {
	h := sha256.New()
	for _, r := range rows {
		fmt.Fprintf(h, "%d:%s%d:", len(r.Key), r.Key, len(r.Data))
		h.Write(r.Data)
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// Row returns the row with the given key and whether it exists. Rows must be
// sorted by key.
func (r *Release) Row(key string) (Row, bool) {
	i := sort.Search(len(r.Rows), func(i int) bool { return r.Rows[i].Key >= key })
	if i < len(r.Rows) && r.Rows[i].Key == key {
		return r.Rows[i], true
	}
	return Row{}, false
}

// Verify returns ErrCorrupt if the rows do not match the hash.
func (r *Release) Verify() error {
	if got := HashRows(r.Rows); got != r.Hash {
		return fmt.Errorf("%w: rows of release %d have hash %s, want %s", ErrCorrupt, r.Number, got, r.Hash)
	}
	return nil
}
