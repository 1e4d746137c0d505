package claim

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// ID is the hash of a key's account and text. It is long enough that no
// caller can find a second key with the same one.
type ID [16]byte

// ID returns the key's identity, without its body.
func (k Key) ID() ID {
	buf := binary.AppendUvarint(nil, uint64(len(k.Account)))
	buf = append(buf, k.Account...)
	buf = append(buf, k.Key...)
	sum := sha256.Sum256(buf)
	return ID(sum[:len(ID{})])
}

// Owner names the incarnation of an entry host that holds a claim.
type Owner struct {
	Host        string
	Incarnation uint64
}

// Outcome is what a record says about the run.
type Outcome uint8

// Outcomes of a claimed run.
const (
	OutcomePending Outcome = iota // not recorded: it may have run
	OutcomeDone                   // it ran to its end
	OutcomeUnknown                // it may have run; the owner lost the answer
	// OutcomePart: stages that may be repeated ran, the others did not. The
	// key may be claimed again, but nobody may say that it did not run.
	OutcomePartial
	// OutcomeGone: the claim was given up and nothing ran. It stands only
	// over an older record of a sealed part.
	OutcomeReleased
)

// Record is one claim as the platform keeps it.
type Record struct {
	ID    ID
	Body  uint64
	Owner Owner
	// Seq numbers the owner's claims, so that a record can be told from an
	// earlier, released one of the same owner and key.
	Seq          uint64
	At           time.Time
	Outcome      Outcome
	PartiallyRan bool `msgpack:"Part"` // an earlier claim of the key ended as OutcomePartial
}

// reopened reports whether the claim was given up so that o may follow it.
func (r *Record) reopened(o *Record) bool { return r.Outcome == OutcomePartial && r.Body == o.Body }

func (r *Record) same(o *Record) bool { return r.Owner == o.Owner && r.Seq == o.Seq }

// storedShard is the encoding of a shard object or of a sealed part: owners
// stand once.
type storedShard struct {
	Owners  []Owner
	Records []storedRecord
	Sealed  []storedSealed
}

type storedSealed struct {
	Name   string
	Newest int64 // unix milliseconds
}

type storedRecord struct {
	ID      []byte
	Body    uint64
	Owner   int // index into Owners
	Seq     uint64
	At      int64 // unix milliseconds
	Outcome Outcome
	Part    bool
}

// image is a shard's claims in memory.
type image map[ID]Record

func (im image) encode(sealed []*sealedPart) ([]byte, error) {
	var s storedShard
	for _, p := range sealed {
		s.Sealed = append(s.Sealed, storedSealed{p.name, p.newest.UnixMilli()})
	}
	index := map[Owner]int{}
	for _, r := range im {
		i, ok := index[r.Owner]
		if !ok {
			i = len(s.Owners)
			index[r.Owner] = i
			s.Owners = append(s.Owners, r.Owner)
		}
		s.Records = append(s.Records, storedRecord{ID: r.ID[:], Body: r.Body, Owner: i, Seq: r.Seq, At: r.At.UnixMilli(), Outcome: r.Outcome, Part: r.PartiallyRan})
	}
	return encode(&s)
}

// encode writes structs as arrays, without field names.
func encode(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseArrayEncodedStructs(true)
	if err := enc.Encode(v); err != nil {
		return nil, fmt.Errorf("encode claims: %w", err)
	}
	return buf.Bytes(), nil
}

func decodeImage(data []byte) (image, []storedSealed, error) {
	var s storedShard
	if err := msgpack.Unmarshal(data, &s); err != nil {
		return nil, nil, fmt.Errorf("decode claims: %w", err)
	}
	im := make(image, len(s.Records))
	for _, r := range s.Records {
		if len(r.ID) != len(ID{}) || r.Owner < 0 || r.Owner >= len(s.Owners) {
			return nil, nil, fmt.Errorf("decode claims: malformed record")
		}
		id := ID(r.ID)
		im[id] = Record{ID: id, Body: r.Body, Owner: s.Owners[r.Owner], Seq: r.Seq, At: time.UnixMilli(r.At), Outcome: r.Outcome, PartiallyRan: r.Part}
	}
	return im, s.Sealed, nil
}

// expire returns a copy without the claims older than window. A claim's owner
// dispatches within the request's deadline, which is far shorter, so nothing
// that may still start is forgotten.
func (im image) expire(now time.Time, window time.Duration) image {
	out := make(image, len(im))
	for id, r := range im {
		if now.Sub(r.At) < window {
			out[id] = r
		}
	}
	return out
}
