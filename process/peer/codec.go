package peer

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
)

// Marshal encodes v as msgpack, with structs as arrays: most traffic between
// peers is heartbeats, and field names would be most of their bytes. Because
// the position of a field is the format and Unmarshal requires their number, a
// struct never changes: another build refuses a message with more or fewer
// fields. What is new goes into a message and a method of its own.
func Marshal(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

// Unmarshal decodes data that Marshal or any other msgpack encoder produced.
func Unmarshal(data []byte, v any) error { return msgpack.Unmarshal(data, v) }
