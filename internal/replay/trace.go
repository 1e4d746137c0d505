// Package replay replays traces of requests in virtual time. The decision code
// (admission, pickers, retry budgets) is the real one; entry hosts and backend
// servers are simulated. A simulated backend server is a queue with slots,
// service times from the trace and delayed load reports. Entry hosts share no
// state. The same trace, seed and policy give the same results, byte for byte.
package replay

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Record is one request of a trace, encoded as one line of JSON. Times are in
// microseconds.
type Record struct {
	At      int64   `json:"at"` // since the start of the trace
	Region  string  `json:"region"`
	Account string  `json:"account"`
	Route   string  `json:"route"`
	Prefix  uint64  `json:"prefix,omitempty"`  // id of the prompt prefix
	Bytes   []int   `json:"bytes"`             // size of the request body, then of the output of each stage
	Work    []int64 `json:"work"`              // service time of each stage
	Prefill int64   `json:"prefill,omitempty"` // added to the service time of an engine that has not cached the prefix
	Poison  bool    `json:"poison,omitempty"`  // crashes the server that runs its last stage
}

// WriteTrace writes records as JSON lines.
func WriteTrace(w io.Writer, records []Record) error {
	b := bufio.NewWriter(w)
	enc := json.NewEncoder(b)
	for i := range records {
		if err := enc.Encode(&records[i]); err != nil {
			return fmt.Errorf("write trace: %w", err)
		}
	}
	return b.Flush()
}

// ReadTrace reads records in the format of WriteTrace. A field that Record does
// not have is an error.
func ReadTrace(r io.Reader) ([]Record, error) {
	dec := json.NewDecoder(bufio.NewReader(r))
	dec.DisallowUnknownFields()
	var out []Record
	for {
		var rec Record
		err := dec.Decode(&rec)
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return nil, fmt.Errorf("read trace, record %d: %w", len(out)+1, err)
		}
		out = append(out, rec)
	}
}

func toMicros(d time.Duration) int64 { return d.Microseconds() }

func fromMicros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

// fingerprint identifies the request; it is the same for each retry of it.
func (r *Record) fingerprint() uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], uint64(r.At))
	binary.LittleEndian.PutUint64(b[8:], r.Prefix)
	return max(1, xxhash.Sum64(b[:]))
}
