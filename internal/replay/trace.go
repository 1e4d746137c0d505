// Package replay runs recorded traces in virtual time through the real
// decision code (admission, pickers, budgets) against small fakes. A fake
// backend server is a queue with slots, recorded service times and a load
// report that lags. Entry hosts share no state. The same trace, seed and policy
// give the same figures, byte for byte.
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

// Record is one request of a trace: one JSON line. Times are microseconds.
type Record struct {
	At      int64   `json:"at"` // since the start of the trace
	Region  string  `json:"region"`
	Account string  `json:"account"`
	Route   string  `json:"route"`
	Prefix  uint64  `json:"prefix,omitempty"`  // identity of the prompt prefix
	Bytes   []int   `json:"bytes"`             // body, then the output of each stage
	Work    []int64 `json:"work"`              // service time by stage
	Prefill int64   `json:"prefill,omitempty"` // added in the engine when the prefix is not cached
	Poison  bool    `json:"poison,omitempty"`  // crashes the server of its last stage
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

// ReadTrace reads records written by WriteTrace or recorded elsewhere.
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

func micros(d time.Duration) int64 { return d.Microseconds() }

func fromMicros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

// identity is the same when the request is sent again.
func (r *Record) identity() uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], uint64(r.At))
	binary.LittleEndian.PutUint64(b[8:], r.Prefix)
	return max(1, xxhash.Sum64(b[:]))
}
