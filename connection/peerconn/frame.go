package peerconn

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"bilberrydale/process/peer"
)

// frameKind is the purpose of a frame. Its values are part of the protocol.
type frameKind uint8

const (
	framePing     frameKind = iota + 1 // keeps the connection alive; has no response
	frameRequest                       // a call of Method with its payload
	frameResponse                      // the payload of a successful call's response
	frameFailure                       // the text of the error of a failed call
)

// lengthPrefixBytes is the size of the length before each message.
const lengthPrefixBytes = 4

// Errors of encoding and decoding frames and handshake messages. Use errors.Is.
var (
	// ErrFrameTooLarge means that a message is, or is announced as, larger than the limit.
	ErrFrameTooLarge = errors.New("peerconn: frame too large")
	// ErrMalformed means that a message does not conform to this version of the protocol.
	ErrMalformed = errors.New("peerconn: malformed frame")
)

// frame is a message after the handshake. It is encoded as a msgpack array, preceded by its
// length in 4 bytes, big endian.
type frame struct {
	Kind   frameKind
	ID     uint64 // of the call; 0 in a ping
	Method string // of a request
	// TimeoutMillis is the time for which the caller of a request waits for the response;
	// 0: it has no deadline.
	TimeoutMillis uint32
	Body          []byte // payload or error text
}

// encodeFrame returns the encoded frame with its length prefix, or ErrFrameTooLarge if it has
// more than limit bytes without the prefix.
func encodeFrame(f *frame, limit int) ([]byte, error) {
	data, err := peer.Marshal(f)
	if err != nil {
		return nil, fmt.Errorf("encode frame: %w", err)
	}
	return withLengthPrefix(data, limit)
}

// withLengthPrefix returns data preceded by its length, or ErrFrameTooLarge if data has more
// than limit bytes.
func withLengthPrefix(data []byte, limit int) ([]byte, error) {
	if len(data) > limit {
		return nil, fmt.Errorf("%w: %d bytes, the limit is %d", ErrFrameTooLarge, len(data), limit)
	}
	out := make([]byte, lengthPrefixBytes, lengthPrefixBytes+len(data))
	binary.BigEndian.PutUint32(out, uint32(len(data)))
	return append(out, data...), nil
}

// readMessage reads a length prefix and a message of that length. The length is checked before
// memory is allocated: otherwise four bytes from a faulty peer could make this process allocate
// 4 GB.
func readMessage(r io.Reader, limit int) ([]byte, error) {
	var prefix [lengthPrefixBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if int64(size) > int64(limit) {
		return nil, fmt.Errorf("%w: %d bytes announced, the limit is %d", ErrFrameTooLarge, size, limit)
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return nil, err
	}
	return data, nil
}

// decodeFrame decodes a frame without its length prefix and checks its kind.
func decodeFrame(data []byte) (*frame, error) {
	f := &frame{}
	if err := peer.Unmarshal(data, f); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if f.Kind < framePing || f.Kind > frameFailure {
		return nil, fmt.Errorf("%w: kind %d", ErrMalformed, f.Kind)
	}
	return f, nil
}
