package peer

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
)

// Marshal encodes v as msgpack with structs as arrays: heartbeats are most of
// the peers' traffic and field names would be most of their bytes. A newer
// struct may only add fields at its end.
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

// Unmarshal decodes what Marshal, or any msgpack encoder, wrote.
func Unmarshal(data []byte, v any) error { return msgpack.Unmarshal(data, v) }
