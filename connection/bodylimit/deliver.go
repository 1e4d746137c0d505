package bodylimit

import (
	"errors"
	"io"
	"sync/atomic"
	"time"
)

const (
	// partBytes are written to a client at once, so that progress shows.
	partBytes = 16 << 10
	// maxUnreadTime without progress ends a delivery, also while nobody wants its memory.
	maxUnreadTime = 10 * time.Second
)

// ErrUnread means that a client did not read a body.
var ErrUnread = errors.New("the client did not read the answer")

// Deliver writes a body to a client. If the client does not read it for maxUnreadTime, or others
// want the memory and it makes no progress, interrupt is called, which has to end the Write at once and
// all later ones. The error is then ErrUnread, or else that of the Write.
func (d *Body) Deliver(w io.Writer, interrupt func()) error {
	if d.size <= partBytes {
		for _, block := range d.blocks {
			if _, err := w.Write(block); err != nil {
				return err
			}
		}
		return nil
	}
	var expired atomic.Bool // progress may start the timer again after that
	timer := time.AfterFunc(maxUnreadTime, func() {
		expired.Store(true)
		interrupt()
	})
	d.beginDelivery(interrupt)
	err := d.writeParts(w, func() { timer.Reset(maxUnreadTime) })
	stopped, givenUp := timer.Stop(), d.endDelivery()
	if !stopped || givenUp || expired.Load() {
		return ErrUnread
	}
	return err
}

// writeParts writes the body and calls progress after each part.
func (d *Body) writeParts(w io.Writer, progress func()) error {
	for _, block := range d.blocks {
		for len(block) > 0 {
			n := min(len(block), partBytes)
			if _, err := w.Write(block[:n]); err != nil {
				return err
			}
			block = block[n:]
			progress()
			d.delivered(n)
		}
	}
	return nil
}

// beginDelivery lets the delivery be given up.
func (d *Body) beginDelivery(interrupt func()) {
	d.updateReader(func(r *reader) {
		now := time.Now()
		r.cancel, r.delivering, r.delivery = interrupt, true, transfer{began: now, progressAt: now}
	})
}

// delivered records n bytes that the client's connection has taken.
func (d *Body) delivered(n int) {
	d.updateReader(func(r *reader) {
		r.delivery.bytes += int64(n)
		r.delivery.progressAt = time.Now()
	})
}

// endDelivery reports whether the delivery was given up. It is not any more after that.
func (d *Body) endDelivery() (givenUp bool) {
	d.updateReader(func(r *reader) {
		r.delivering = false
		givenUp = r.givenUp
	})
	return givenUp
}

// updateReader calls f with the reader of a body with reserved memory.
func (d *Body) updateReader(f func(*reader)) {
	if d.reader == nil {
		return
	}
	d.reader.budget.mu.Lock()
	defer d.reader.budget.mu.Unlock()
	f(d.reader)
}
