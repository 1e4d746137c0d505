package claim

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// ID is the hash of a key's client account and text. It is long enough that no
// caller can find two keys with the same ID.
type ID [16]byte

// ID returns the ID of the key. It does not depend on the body.
func (k Key) ID() ID {
	buf := binary.AppendUvarint(nil, uint64(len(k.Account)))
	buf = append(buf, k.Account...)
	buf = append(buf, k.Key...)
	sum := sha256.Sum256(buf)
	return ID(sum[:len(ID{})])
}

// Owner identifies the incarnation of an entry host that owns a claim.
type Owner struct {
	Host        string // name of the entry host
	Incarnation uint64 // of its process
}

// Outcome is the recorded outcome of a claimed request. The values are stored.
type Outcome uint8

// Outcomes of a claimed request.
const (
	OutcomePending Outcome = iota // not recorded yet: the request may have run
	OutcomeDone                   // the request ran to its end
	OutcomeUnknown                // the request may have run; its owner does not know the outcome
	// OutcomePartial: only repeatable stages ran. The key may be claimed
	// again, but no caller may be told that the request has not run.
	OutcomePartial
	// OutcomeReleased: the claim was released and nothing ran. Such a record
	// is only stored to override an older record in a sealed part.
	OutcomeReleased
)

// Record is one claim. Requests between hosts encode it as an array, responses
// with its field names.
type Record struct {
	ID    ID
	Body  uint64 // see Key.Body
	Owner Owner
	// Seq numbers the owner's claims. It distinguishes a record from an
	// earlier, released one of the same owner and key.
	Seq          uint64
	ClaimedAt    time.Time `msgpack:"At"`
	Outcome      Outcome
	PartiallyRan bool `msgpack:"Part"` // an earlier claim of the key ended as OutcomePartial
}

// allowsReclaim reports whether only repeatable stages of the claimed request ran
// (OutcomePartial), so that o, with the same body, may replace the claim.
func (r *Record) allowsReclaim(o *Record) bool {
	return r.Outcome == OutcomePartial && r.Body == o.Body
}

// sameClaim reports whether both records belong to the same claim of an owner.
func (r *Record) sameClaim(o *Record) bool { return r.Owner == o.Owner && r.Seq == o.Seq }

// storedShard is the stored form of a shard object or sealed part. Each owner is
// stored once and referenced by index. These types are encoded as arrays: the
// order of the fields is the format.
type storedShard struct {
	Owners  []Owner
	Records []storedRecord
	Sealed  []storedSealed
}

// storedSealed refers to a sealed part.
type storedSealed struct {
	Name   string // see sealedPartKey
	Newest int64  // claim time of its newest record, Unix milliseconds
}

// storedRecord is the stored form of a Record.
type storedRecord struct {
	ID           []byte
	Body         uint64
	Owner        int // index into Owners
	Seq          uint64
	ClaimedAt    int64 // Unix milliseconds
	Outcome      Outcome
	PartiallyRan bool
}

// recordsByID holds the records of a shard object or sealed part.
type recordsByID map[ID]Record

// encode returns the stored form of the records and of references to the sealed
// parts, as msgpack.
func (m recordsByID) encode(sealed []*sealedPart) ([]byte, error) {
	var s storedShard
	for _, p := range sealed {
		s.Sealed = append(s.Sealed, storedSealed{p.name, p.newest.UnixMilli()})
	}
	index := map[Owner]int{}
	for _, r := range m {
		i, ok := index[r.Owner]
		if !ok {
			i = len(s.Owners)
			index[r.Owner] = i
			s.Owners = append(s.Owners, r.Owner)
		}
		s.Records = append(s.Records, storedRecord{ID: r.ID[:], Body: r.Body, Owner: i, Seq: r.Seq, ClaimedAt: r.ClaimedAt.UnixMilli(), Outcome: r.Outcome, PartiallyRan: r.PartiallyRan})
	}
	return encode(&s)
}

// encode encodes v as msgpack with structs as arrays, without field names.
func encode(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseArrayEncodedStructs(true)
	if err := enc.Encode(v); err != nil {
		return nil, fmt.Errorf("encode claims: %w", err)
	}
	return buf.Bytes(), nil
}

// decodeShard is the inverse of recordsByID.encode. It returns the records and
// the references to sealed parts.
func decodeShard(data []byte) (recordsByID, []storedSealed, error) {
	var s storedShard
	if err := msgpack.Unmarshal(data, &s); err != nil {
		return nil, nil, fmt.Errorf("decode claims: %w", err)
	}
	m := make(recordsByID, len(s.Records))
	for _, r := range s.Records {
		if len(r.ID) != len(ID{}) || r.Owner < 0 || r.Owner >= len(s.Owners) {
			return nil, nil, fmt.Errorf("decode claims: record with an ID of the wrong length or an unknown owner")
		}
		id := ID(r.ID)
		m[id] = Record{ID: id, Body: r.Body, Owner: s.Owners[r.Owner], Seq: r.Seq, ClaimedAt: time.UnixMilli(r.ClaimedAt), Outcome: r.Outcome, PartiallyRan: r.PartiallyRan}
	}
	return m, s.Sealed, nil
}

// withoutExpired returns a copy without the claims that are at least as old as
// retention. An owner dispatches within the request's deadline, which is far
// shorter, so no claim is removed whose request may still start.
func (m recordsByID) withoutExpired(now time.Time, retention time.Duration) recordsByID {
	out := make(recordsByID, len(m))
	for id, r := range m {
		if now.Sub(r.ClaimedAt) < retention {
			out[id] = r
		}
	}
	return out
}
