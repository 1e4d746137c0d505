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
	PlatformAgeMillis int64
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
type fetchRequest struct {
	_msgpack struct{} `msgpack:",as_array"`
	Number   uint64
	Hash     string
}

// transfer carries a release: as rows changed since Base, or whole (Base 0).
type fetchResponse struct {
	_msgpack      struct{} `msgpack:",as_array"`
	Number        uint64
	ID            string
	Hash          string
	PreviousHash  string
	Author        string
	Note          string
	TimeMillis    int64  // unix milliseconds
	AgeMicros     int64  // microseconds since it was accepted, when this was sent
	ServiceMicros int64  // microseconds between the question and this answer
	BaseNumber    uint64 // release that Rows is the difference from
	Delta         []byte // a packed rowsBody
}

type wireDelta struct {
	_msgpack struct{} `msgpack:",as_array"`
	Changed  []wireRow
	Deleted  []string
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
	summary{}._msgpack, notice{}._msgpack, fetchRequest{}._msgpack, fetchResponse{}._msgpack, wireDelta{}._msgpack, wireRow{}._msgpack,
}

// maxBody bounds the unpacked rows of one transfer, so that a faulty peer
// cannot fill this host's memory.
const maxDeltaBytes = 16 << 20

// pack encodes d compressed: rows are JSON that repeats field names.
func encodeDelta(delta Delta) ([]byte, error) {
	body := wireDelta{Deleted: delta.Deleted}
	for _, r := range delta.Changed {
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

func decodeDelta(data []byte) (Delta, error) {
	var body wireDelta
	r := flate.NewReader(bytes.NewReader(data))
	defer r.Close()
	if err := msgpack.NewDecoder(io.LimitReader(r, maxDeltaBytes)).Decode(&body); err != nil {
		return Delta{}, fmt.Errorf("unpack rows: %w", err)
	}
	delta := Delta{Deleted: body.Deleted}
	for _, r := range body.Changed {
		delta.Changed = append(delta.Changed, Row{Key: r.Key, Data: r.Data, Version: r.Version, Author: r.Author})
	}
	return delta, nil
}

// newTransfer makes the answer to a peer that has base (nil: nothing known).
func newFetchResponse(newest *PreparedRelease, base *PreparedRelease) (fetchResponse, error) {
	response := fetchResponse{
		Number: newest.Number, ID: newest.ID, Hash: newest.Hash, PreviousHash: newest.PreviousHash, Author: newest.Author, Note: newest.Note,
		TimeMillis: newest.Time.UnixMilli(),
	}
	delta := Delta{Changed: newest.Rows}
	if base != nil {
		delta, response.BaseNumber = diffRows(base.Rows, newest.Rows), base.Number
	}
	var err error
	response.Delta, err = encodeDelta(delta)
	return response, err
}

// release builds the release that t carries. The caller's Offer checks it
// against its hash, so that a wrong base is found and not put in force.
func (response fetchResponse) release(base *PreparedRelease) (Release, error) {
	delta, err := decodeDelta(response.Delta)
	if err != nil {
		return Release{}, err
	}
	rel := Release{
		Number: response.Number, ID: response.ID, Hash: response.Hash, PreviousHash: response.PreviousHash, Author: response.Author, Note: response.Note,
		Time: time.UnixMilli(response.TimeMillis),
	}
	var rows []Row
	if response.BaseNumber > 0 {
		if base == nil || base.Number != response.BaseNumber {
			return Release{}, fmt.Errorf("%w: rows since release %d, which is not here", ErrCorrupt, response.BaseNumber)
		}
		rows = base.Rows
	}
	rel.Rows = delta.apply(rows)
	return rel, nil
}
