package objectwatch

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
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

// compress encodes objects as msgpack and compresses them with deflate.
func compress[T any](objects []peerObject[T]) ([]byte, error) {
	payload, err := peer.Marshal(objects)
	if err != nil {
		return nil, err
	}
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

// decompress reverses compress. A list that exceeds maxDecompressedBytes is cut off and fails
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
