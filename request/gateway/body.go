package gateway

import (
	"context"
	"errors"
	"time"

	"bilberrydale/connection/bodylimit"
	"bilberrydale/process/drain"
	"bilberrydale/process/errkind"
)

const (
	// defaultMaxBodyBytes limits request bodies if the configuration sets no limit.
	defaultMaxBodyBytes = 4 << 20 // 4 MiB
	// noRoomRetryAfter is the time in which bodies that make no progress are given up.
	noRoomRetryAfter = time.Second
)

// past is a deadline that has passed: reads and writes with it end at once.
var past = time.Unix(1, 0)

// readBody reads the request body into memory, up to the configured limit. It may wait until other
// bodies leave room.
func (x *exchange) readBody() error {
	limit := x.maxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if x.r.ContentLength > limit {
		return errkind.New(errkind.TooLarge, "the body has %d bytes, over %d", x.r.ContentLength, limit)
	}
	if x.r.ContentLength == 0 {
		return nil
	}
	interrupt := func() { _ = x.clientConn.SetReadDeadline(past) } // fails only on a closed connection
	defer context.AfterFunc(x.r.Context(), interrupt)()
	body, err := x.uploads.Read(bodylimit.Upload{
		Body: x.r.Body, Length: x.r.ContentLength, Limit: limit, Timeout: x.deadline.Sub(x.opts.Clock.Now()), Interrupt: interrupt,
	})
	if err != nil {
		return x.bodyError(err, limit)
	}
	x.body = body
	return nil
}

// bodyError returns the error of a request whose body was not read.
func (x *exchange) bodyError(err error, limit int64) error {
	x.bodyUnread = true
	switch {
	case x.cutByShutdown():
		return draining(drain.ErrDeadline)
	case errors.Is(err, bodylimit.ErrTooLarge):
		return errkind.New(errkind.TooLarge, "the body is over %d bytes", limit)
	case errors.Is(err, bodylimit.ErrNoRoom):
		return &errkind.Error{Kind: errkind.Overloaded, Detail: err.Error(), RetryAfter: x.jitter(noRoomRetryAfter), Cause: err}
	case errors.Is(err, bodylimit.ErrStalled), errors.Is(err, bodylimit.ErrLate):
		return &errkind.Error{Kind: errkind.BodyTimeout, Detail: err.Error(), RetryAfter: x.jitter(noRoomRetryAfter), Cause: err}
	}
	x.abort = true
	return &errkind.Error{Kind: errkind.Cancelled, Detail: "the body did not arrive", Cause: err}
}

// releaseBodies gives back the memory of the bodies that the request still has.
func (x *exchange) releaseBodies() {
	x.body.Release()
	for _, body := range x.answers {
		body.Release()
	}
}

// interruptWrite ends the writing to the client at once.
func (x *exchange) interruptWrite() {
	_ = x.clientConn.SetWriteDeadline(past) // fails only on a closed connection
}

// Answers returns figures of the answers that wait in memory for their ends or their clients.
func (g *Gateway) Answers() bodylimit.BudgetStats { return g.bodies.Stats() }

// ReadAheadBytes returns how many bytes of streams wait for their clients.
func (g *Gateway) ReadAheadBytes() int64 { return g.readAhead.bytes.Load() }

// Uploads returns figures of the bodies that requests have in memory.
func (g *Gateway) Uploads() bodylimit.UploadStats { return g.uploads.Stats() }
