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

// Methods of calls between entry hosts.
const (
	methodNotice  peer.Method = "release.notice"  // announces a release: notice -> summary
	methodSummary peer.Method = "release.summary" // returns the summary of the receiver; no request payload
	methodFetch   peer.Method = "release.fetch"   // fetches a release: fetchRequest -> fetchResponse
)

// summary reports the newest release that a host has prepared and how recently
// its failure domain reached the platform. The types of this file are encoded
// as arrays: order, number and types of their fields are the wire format.
type summary struct {
	_msgpack struct{} `msgpack:",as_array"`
	Number   uint64
	Hash     string
	// PlatformAgeMillis is the time since the platform last responded to a
	// watcher of the host's failure domain, as far as the host has learned;
	// negative if it has learned of no response.
	PlatformAgeMillis int64
}

// notice announces that the sender has prepared a release. Root is the host
// that started the notice; the forwarding tree is computed from it.
type notice struct {
	_msgpack struct{} `msgpack:",as_array"`
	Number   uint64
	Hash     string
	Root     string
}

// fetchRequest requests the newest release of the receiver; Number and Hash are
// those of the newest release of the sender, zero if it has none.
type fetchRequest struct {
	_msgpack struct{} `msgpack:",as_array"`
	Number   uint64
	Hash     string
}

// fetchResponse carries a release, either as the rows changed since BaseNumber
// or with all rows (BaseNumber 0). Fields without a comment are those of Release.
type fetchResponse struct {
	_msgpack      struct{} `msgpack:",as_array"`
	Number        uint64
	ID            string
	Hash          string
	PreviousHash  string
	Author        string
	Note          string
	TimeMillis    int64  // Release.Time, in Unix milliseconds
	AgeMicros     int64  // since the release was accepted, at the time of sending
	ServiceMicros int64  // between receiving the request and sending this response
	BaseNumber    uint64 // release that Delta is relative to; 0: none
	Delta         []byte // from encodeDelta
}

// wireDelta is the encoded form of a Delta.
type wireDelta struct {
	_msgpack struct{} `msgpack:",as_array"`
	Changed  []wireRow
	Deleted  []string
}

// wireRow is the encoded form of a Row.
type wireRow struct {
	_msgpack struct{} `msgpack:",as_array"`
	Key      string
	Data     []byte
	Version  uint64
	Author   string
}

// msgpack looks up the _msgpack fields by name and then encodes the types as
// arrays without field names. This use keeps the linter from reporting the
// fields as unused.
var _ = []struct{}{
	summary{}._msgpack, notice{}._msgpack, fetchRequest{}._msgpack, fetchResponse{}._msgpack, wireDelta{}._msgpack, wireRow{}._msgpack,
}

// maxDeltaBytes bounds the decompressed size of one delta, so that a faulty
// peer cannot exhaust the memory of this host.
const maxDeltaBytes = 16 << 20

// encodeDelta encodes delta with msgpack and compresses it, since rows are JSON
// with many repeated field names.
func encodeDelta(delta Delta) ([]byte, error) {
	body := wireDelta{Deleted: delta.Deleted}
	for _, r := range delta.Changed {
		body.Changed = append(body.Changed, wireRow{Key: r.Key, Data: r.Data, Version: r.Version, Author: r.Author})
	}
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.DefaultCompression)
	if err != nil {
		return nil, fmt.Errorf("encode delta: %w", err)
	}
	if err := msgpack.NewEncoder(w).Encode(&body); err != nil {
		return nil, fmt.Errorf("encode delta: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("encode delta: %w", err)
	}
	return buf.Bytes(), nil
}

// decodeDelta reverses encodeDelta.
func decodeDelta(data []byte) (Delta, error) {
	var body wireDelta
	r := flate.NewReader(bytes.NewReader(data))
	defer r.Close()
	if err := msgpack.NewDecoder(io.LimitReader(r, maxDeltaBytes)).Decode(&body); err != nil {
		return Delta{}, fmt.Errorf("decode delta: %w", err)
	}
	delta := Delta{Deleted: body.Deleted}
	for _, r := range body.Changed {
		delta.Changed = append(delta.Changed, Row{Key: r.Key, Data: r.Data, Version: r.Version, Author: r.Author})
	}
	return delta, nil
}

// newFetchResponse builds the response for a peer that has base; nil sends all
// rows.
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

// release reconstructs the release that the response carries from base, the
// newest release of this host when it sent the request, or nil. Follower.Offer
// verifies its hash, so a wrong base is detected and the release is not
// activated.
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
			return Release{}, fmt.Errorf("%w: delta is relative to release %d, which this host does not have", ErrCorrupt, response.BaseNumber)
		}
		rows = base.Rows
	}
	rel.Rows = delta.apply(rows)
	return rel, nil
}
