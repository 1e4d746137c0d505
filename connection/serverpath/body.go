package serverpath

import (
	"context"
	"fmt"
	"io"

	"bilberrydale/connection/upstream"
)

// carriedBody is the body of a response that a carrier receives. It implements upstream.Body.
type carriedBody struct {
	client   *Client
	ctx      context.Context
	host     string // carrier
	id       uint64
	received int64 // bytes of the body
	unread   []byte
	err      error // after unread; nil: more follows
}

// newResponse returns the response that a carrier passed on.
func newResponse(body *carriedBody, r *sendResponse) *upstream.Response {
	body.add(&r.First)
	return &upstream.Response{
		Status: r.Status, Header: r.Header, BodyEnd: r.BodyEnd, ContentLength: r.ContentLength, ReusedConn: r.ReusedConn, CarriedBy: body.host, Body: body,
	}
}

// add takes over a part of the body.
func (b *carriedBody) add(r *readResponse) {
	b.unread = r.Data
	b.received += int64(len(r.Data))
	switch {
	case r.Ended && r.Error == "":
		b.err = io.EOF
	case r.Ended:
		b.err = brokenBy(r.ServerBroke, fmt.Errorf("carried by %s: %s", b.host, r.Error))
	}
}

// Read implements upstream.Body. A part that is lost on the way from the carrier ends the body
// with an error, as the next one would not follow what was read before.
func (b *carriedBody) Read(p []byte) (int, error) {
	for len(b.unread) == 0 && b.err == nil {
		var r readResponse
		if err := b.client.opts.Link.Call(b.ctx, b.host, methodRead, readRequest{b.id, b.received}, &r); err != nil {
			b.err = carrierError(b.host, err)
			b.client.cancelExchange(b.host, b.id)
			break
		}
		b.add(&r)
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	if len(b.unread) > 0 {
		return n, nil
	}
	if n > 0 && b.err == io.EOF {
		return n, nil // the next call returns the end
	}
	return n, b.err
}

// Close implements upstream.Body.
func (b *carriedBody) Close() {
	if b.err == nil {
		b.client.cancelExchange(b.host, b.id)
		b.err = io.ErrClosedPipe
	}
}

// Discard implements upstream.Body.
func (b *carriedBody) Discard() { b.Close() }
