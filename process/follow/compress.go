package follow

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"
	"time"

	"bilberrydale/process/peer"
)

// packed is a list as it is sent to other hosts, made once for all that ask while nothing
// changes. Where a region's hosts begin at once, a hundred of them ask one for thousands
// of entries: sent as they are, they fill its link for seconds.
type compressedList struct {
	mu      sync.Mutex
	version uint64 // history.changes of the list
	bytes   []byte
}

// pack returns the list packed; ok is false before the first list.
func (h *history[T]) compressedList() (list []byte, from Revision, proved time.Time, ok bool, err error) {
	h.compressed.mu.Lock()
	defer h.compressed.mu.Unlock()
	h.mu.Lock()
	from, proved, ok = h.revision, h.confirmedAt, h.objects != nil
	fresh, of := h.compressed.version == h.version, h.version
	var objects []Object[T]
	if !fresh {
		objects = h.snapshot()
	}
	h.mu.Unlock()
	if !fresh {
		if h.compressed.bytes, err = compress(encode(objects)); err != nil {
			return nil, from, proved, false, err
		}
		h.compressed.version = of
	}
	return h.compressed.bytes, from, proved, ok, nil
}

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

// maxUnpacked bounds what a list may grow to, in bytes: some hundred thousand entries.
const maxDecompressedBytes = 64 << 20

func decompress[T any](list []byte) (objects []peerObject[T], err error) {
	payload, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(list)), maxDecompressedBytes))
	if err != nil {
		return nil, fmt.Errorf("follow: unpack a list: %w", err)
	}
	if err := peer.Unmarshal(payload, &objects); err != nil {
		return nil, fmt.Errorf("follow: unpack a list: %w", err)
	}
	return objects, nil
}
