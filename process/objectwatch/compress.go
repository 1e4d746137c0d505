package objectwatch

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"bilberrydale/process/peer"
)

// compressedList caches the encoded and compressed list, so that it is produced once for
// all hosts that request it between changes. When the hosts of a region start together, a
// hundred of them request thousands of entries from one reader: uncompressed, these fill
// its network link for seconds.
type compressedList struct {
	mu      sync.Mutex // guards version and bytes; locked before history.mu
	version uint64     // history.version of the list in bytes
	bytes   []byte     // result of compress
}

// compressedList returns the copy as a compressed list, its revision and the time of its last
// confirmation; ok is false before the first list.
func (h *history[T]) compressedList() (list []byte, revision Revision, confirmedAt time.Time, ok bool, err error) {
	h.compressed.mu.Lock()
	defer h.compressed.mu.Unlock()
	h.mu.Lock()
	revision, confirmedAt, ok = h.revision, h.confirmedAt, h.objects != nil
	fresh, version := h.compressed.version == h.version, h.version
	var objects []Object[T]
	if !fresh {
		objects = h.snapshot()
	}
	h.mu.Unlock()
	if !fresh {
		if h.compressed.bytes, err = compress(encode(objects)); err != nil {
			return nil, revision, confirmedAt, false, err
		}
		h.compressed.version = version
	}
	return h.compressed.bytes, revision, confirmedAt, ok, nil
}

// compressedChanges caches the last large changes that a watch got. All hosts that read through this
// one get a version of the configuration at the same time: encoded for each, they would take the
// version's size times the hosts of a region from its memory.
type compressedChanges[T any] struct {
	mu      sync.Mutex
	changes []change // in bytes
	bytes   []byte   // result of compress; nil: they are small
}

// minCompressedBytes is the encoded size from which changes are compressed.
const minCompressedBytes = 16 << 10

// of returns changes in compressed form, or nil if they are small.
func (c *compressedChanges[T]) of(objects []Object[T]) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	changes := changesOf(objects)
	if slices.Equal(changes, c.changes) {
		return c.bytes, nil
	}
	payload, err := peer.Marshal(encode(objects))
	if err != nil {
		return nil, err
	}
	var compressed []byte
	if len(payload) >= minCompressedBytes {
		if compressed, err = deflate(payload); err != nil {
			return nil, err
		}
	}
	c.changes, c.bytes = changes, compressed
	return compressed, nil
}

// compress encodes objects as msgpack and compresses them with deflate.
func compress[T any](objects []peerObject[T]) ([]byte, error) {
	payload, err := peer.Marshal(objects)
	if err != nil {
		return nil, err
	}
	return deflate(payload)
}

// deflate compresses a payload.
func deflate(payload []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(payload); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// maxDecompressedBytes limits the size of a decompressed list; it holds some hundred
// thousand entries.
const maxDecompressedBytes = 64 << 20

// decompress reverses compress. What exceeds maxDecompressedBytes is cut off and fails
// to decode.
func decompress[T any](list []byte) (objects []peerObject[T], err error) {
	payload, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(list)), maxDecompressedBytes))
	if err != nil {
		return nil, fmt.Errorf("objectwatch: decompress list: %w", err)
	}
	if err := peer.Unmarshal(payload, &objects); err != nil {
		return nil, fmt.Errorf("objectwatch: decompress list: %w", err)
	}
	return objects, nil
}
