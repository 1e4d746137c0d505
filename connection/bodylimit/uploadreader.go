package bodylimit

import (
	"errors"
	"fmt"
	"io"
)

// uploadReader reads one body.
type uploadReader struct {
	uploads *Uploads
	request Upload
	late    <-chan struct{} // closed at the timeout
	data    *Body
	upload  *upload // nil while nothing is counted
}

// readAll reads up to the end of the body.
func (b *uploadReader) readAll() error {
	for {
		if b.data.full() {
			if err := b.grow(); err != nil {
				return err
			}
		}
		n, err := b.request.Body.Read(b.data.space())
		b.data.add(n)
		if b.upload != nil {
			b.uploads.progress(b.upload, n)
		}
		if b.data.size > b.request.Limit {
			return ErrTooLarge
		}
		if err == io.EOF { // not one that is the cause of another error
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// grow adds a block for the next bytes. It waits for room beyond freeUploadBytes.
func (b *uploadReader) grow() error {
	size := b.data.size
	left := b.request.expected() - size
	switch {
	case left <= 0:
		b.data.grow(spareBytes)
		return nil
	case size == 0 && b.request.Length < 0:
		b.data.grow(firstBlockBytes)
		return nil
	case size < freeUploadBytes:
		b.data.grow(int(min(left, freeUploadBytes-size)))
		return nil
	}
	n := min(left, blockBytes)
	if b.upload == nil && b.request.Length < 0 {
		n = min(left, shortBytes)
	}
	if b.upload == nil {
		b.upload = b.uploads.begin(left, b.request)
	}
	if err := b.uploads.reserve(b.upload, n, b.late); err != nil {
		return err
	}
	b.data.grow(int(n))
	return nil
}

// release gives the memory back.
func (b *uploadReader) release() {
	if b.upload != nil {
		b.uploads.release(b.upload)
	}
}

// explain returns the reason for which the reading was interrupted, or err if it was not.
func (b *uploadReader) explain(err error) error {
	if errors.Is(err, ErrTooLarge) || errors.Is(err, ErrNoRoom) {
		return err
	}
	arrived := fmt.Sprintf("%d of at most %d bytes", b.data.size, b.request.expected())
	if b.upload != nil && b.uploads.isGivenUp(b.upload) {
		return fmt.Errorf("%w: %s", ErrStalled, arrived)
	}
	select {
	case <-b.late:
		return fmt.Errorf("%w: %s", ErrLate, arrived)
	default:
		return err
	}
}
