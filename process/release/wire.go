package release

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"bilberrydale/process/peer"
)

// Methods between entry hosts.
const (
	methodNotice  peer.Method = "release.notice"
	methodSummary peer.Method = "release.summary"
	methodFetch   peer.Method = "release.fetch"
)

// summary says what a host has prepared and how it stands with the platform.
type summary struct {
	_msgpack struct{} `msgpack:",as_array"`
	Number   uint64
	Hash     string
	// Platform is the time in milliseconds since a watcher of the host's domain
	// heard from the platform, as far as the host knows; below 0: it does not.
	Platform int64
}

// notice tells that the sender has a release. Root is the host that started
// the notice; the tree of receivers is laid out from it.
type notice struct {
	_msgpack struct{} `msgpack:",as_array"`
	Number   uint64
	Hash     string
	Root     string
}

// fetch asks for the newest release; Number and Hash are what the asker has.
type fetch struct {
	_msgpack struct{} `msgpack:",as_array"`
	Number   uint64
	Hash     string
}

// transfer carries a release: as rows changed since Base, or whole (Base 0).
type transfer struct {
	_msgpack struct{} `msgpack:",as_array"`
	Number   uint64
	ID       string
	Hash     string
	Previous string
	Author   string
	Note     string
	Time     int64  // unix milliseconds
	Age      int64  // microseconds since it was accepted, when this was sent
	Spent    int64  // microseconds between the question and this answer
	Base     uint64 // release that Rows is the difference from
	Rows     []byte // a packed rowsBody
}

type rowsBody struct {
	_msgpack struct{} `msgpack:",as_array"`
	Changed  []wireRow
	Gone     []string
}

type wireRow struct {
	_msgpack struct{} `msgpack:",as_array"`
	Key      string
	Data     []byte
	Version  uint64
	Author   string
}

// msgpack finds the _msgpack fields by name and writes these types as arrays,
// without field names; the linter sees their use here.
var _ = []struct{}{
	summary{}._msgpack, notice{}._msgpack, fetch{}._msgpack, transfer{}._msgpack, rowsBody{}._msgpack, wireRow{}._msgpack,
}

// maxBody bounds the unpacked rows of one transfer, so that a faulty peer
// cannot fill this host's memory.
const maxBody = 16 << 20

// pack encodes d compressed: rows are JSON that repeats field names.
func pack(d Delta) ([]byte, error) {
	body := rowsBody{Gone: d.Deleted}
	for _, r := range d.Changed {
		body.Changed = append(body.Changed, wireRow{Key: r.Key, Data: r.Data, Version: r.Version, Author: r.Author})
	}
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.DefaultCompression)
	if err != nil {
		return nil, fmt.Errorf("pack rows: %w", err)
	}
	if err := msgpack.NewEncoder(w).Encode(&body); err != nil {
		return nil, fmt.Errorf("pack rows: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("pack rows: %w", err)
	}
	return buf.Bytes(), nil
}

func unpack(data []byte) (Delta, error) {
	var body rowsBody
	r := flate.NewReader(bytes.NewReader(data))
	defer r.Close()
	if err := msgpack.NewDecoder(io.LimitReader(r, maxBody)).Decode(&body); err != nil {
		return Delta{}, fmt.Errorf("unpack rows: %w", err)
	}
	d := Delta{Deleted: body.Gone}
	for _, r := range body.Changed {
		d.Changed = append(d.Changed, Row{Key: r.Key, Data: r.Data, Version: r.Version, Author: r.Author})
	}
	return d, nil
}

// newTransfer makes the answer to a peer that has base (nil: nothing known).
func newTransfer(rel *PreparedRelease, base *PreparedRelease) (transfer, error) {
	t := transfer{
		Number: rel.Number, ID: rel.ID, Hash: rel.Hash, Previous: rel.PreviousHash, Author: rel.Author, Note: rel.Note,
		Time: rel.Time.UnixMilli(),
	}
	d := Delta{Changed: rel.Rows}
	if base != nil {
		d, t.Base = diffRows(base.Rows, rel.Rows), base.Number
	}
	var err error
	t.Rows, err = pack(d)
	return t, err
}

// release builds the release that t carries. The caller's Offer checks it
// against its hash, so that a wrong base is found and not put in force.
func (t transfer) release(base *PreparedRelease) (Release, error) {
	d, err := unpack(t.Rows)
	if err != nil {
		return Release{}, err
	}
	rel := Release{
		Number: t.Number, ID: t.ID, Hash: t.Hash, PreviousHash: t.Previous, Author: t.Author, Note: t.Note,
		Time: time.UnixMilli(t.Time),
	}
	var rows []Row
	if t.Base > 0 {
		if base == nil || base.Number != t.Base {
			return Release{}, fmt.Errorf("%w: rows since release %d, which is not here", ErrCorrupt, t.Base)
		}
		rows = base.Rows
	}
	rel.Rows = d.apply(rows)
	return rel, nil
}
