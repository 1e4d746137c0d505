package bodylimit

import (
	"bytes"
	"sync"
)

// The sizes of the blocks of a body in memory. They are not joined, which would take as much memory
// again.
const (
	firstBlockBytes = 2 << 10
	blockBytes      = 64 << 10
)

// Body is a body in memory. A nil *Body is empty.
type Body struct {
	blocks  [][]byte
	size    int64
	release func()  // gives reserved memory back; nil: none is
	reader  *reader // of a response with reserved memory; nil otherwise
}

// Size returns the number of bytes.
func (d *Body) Size() int64 {
	if d == nil {
		return 0
	}
	return d.size
}

// Blocks returns the bytes in order. The caller must not change them.
func (d *Body) Blocks() [][]byte {
	if d == nil {
		return nil
	}
	return d.blocks
}

// Release gives reserved memory back. The body must not be used any more. Later calls do nothing.
func (d *Body) Release() {
	if d == nil || d.release == nil {
		return
	}
	d.release()
	d.release = nil
}

// Bytes returns a copy of the bytes.
func (d *Body) Bytes() []byte { return bytes.Join(d.blocks, nil) }

// full reports whether the next bytes need another block.
func (d *Body) full() bool {
	last := len(d.blocks) - 1
	return last < 0 || len(d.blocks[last]) == cap(d.blocks[last])
}

// freeBlocks holds blocks of blockBytes. Without it, bodies that are given up at a high rate leave
// as much garbage as a collection takes time.
var freeBlocks = sync.Pool{New: func() any { return new([blockBytes]byte) }}

// grow adds an empty block of n bytes.
func (d *Body) grow(n int) { d.blocks = append(d.blocks, make([]byte, 0, n)) }

// growPooled adds an empty block of blockBytes from freeBlocks.
func (d *Body) growPooled() {
	d.blocks = append(d.blocks, freeBlocks.Get().(*[blockBytes]byte)[:0])
}

// recycle gives the blocks to freeBlocks. Nobody else may hold them.
func (d *Body) recycle() {
	for _, b := range d.blocks {
		if cap(b) == blockBytes {
			freeBlocks.Put((*[blockBytes]byte)(b[:blockBytes]))
		}
	}
	d.blocks = nil
}

// space returns where the next bytes are to be read. The last block is not full.
func (d *Body) space() []byte {
	b := d.blocks[len(d.blocks)-1]
	return b[len(b):cap(b)]
}

// add adds the first n bytes of what space has returned.
func (d *Body) add(n int) {
	last := len(d.blocks) - 1
	d.blocks[last] = d.blocks[last][:len(d.blocks[last])+n]
	d.size += int64(n)
}
