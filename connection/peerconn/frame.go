package peerconn

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"bilberrydale/process/peer"
)

// frameKind says what a frame is for.
type frameKind uint8

const (
	framePing     frameKind = iota + 1 // shows that the connection still carries bytes
	frameRequest                       // asks for a handler's answer
	frameResponse                      // carries a handler's answer
	frameFailure                       // carries the text of a handler's error
)

const headerBytes = 4

// Errors of the framing. Use errors.Is.
var (
	// ErrFrameTooLarge: the announced length is over the limit.
	ErrFrameTooLarge = errors.New("peerconn: frame too large")
	// ErrMalformed: the frame is not what this version of the protocol sends.
	ErrMalformed = errors.New("peerconn: malformed frame")
)

// frame is one message. On the wire it is a length of 4 bytes, big endian,
// and a msgpack array.
type frame struct {
	Kind   frameKind
	ID     uint64
	Method string
	// Millis is the time that the caller still waits for a request's answer.
	Millis uint32
	Body   []byte
}

func encodeFrame(f *frame, limit int) ([]byte, error) {
	data, err := peer.Marshal(f)
	if err != nil {
		return nil, fmt.Errorf("encode frame: %w", err)
	}
	return prefixed(data, limit)
}

func prefixed(data []byte, limit int) ([]byte, error) {
	if len(data) > limit {
		return nil, fmt.Errorf("%w: %d bytes, the limit is %d", ErrFrameTooLarge, len(data), limit)
	}
	out := make([]byte, headerBytes, headerBytes+len(data))
	binary.BigEndian.PutUint32(out, uint32(len(data)))
	return append(out, data...), nil
}

// readBlock reads one length and as many bytes. The length is checked before
// any memory is taken: without that, four bytes from a broken peer would make
// this process allocate 4 GB.
func readBlock(r io.Reader, limit int) ([]byte, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if int64(size) > int64(limit) {
		return nil, fmt.Errorf("%w: %d bytes announced, the limit is %d", ErrFrameTooLarge, size, limit)
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return nil, err
	}
	return data, nil
}

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
