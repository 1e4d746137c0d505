package upstream

import (
	"io"
	"net/http"
)

// BodyEnd is how the end of a response's body is marked.
type BodyEnd string

// Values of BodyEnd.
const (
	EndByLength BodyEnd = "length"
	EndByChunks BodyEnd = "chunks"
	EndByClose  BodyEnd = "close" // the body ends with the connection
)

// Response is the response to a request. Its body is read by Read. Either Close or Discard
// must be called, once.
type Response struct {
	Status  int
	Header  http.Header
	BodyEnd BodyEnd
	// ContentLength is the length of the body. Negative: not specified.
	ContentLength int64
	// ReusedConn reports that the connection had been used for an earlier request.
	ReusedConn bool
	// ConnNumber is the number of the connection among those of this host, and ConnPosition the
	// position of the response on it, from 1. Both are 0 if CarriedBy is set.
	ConnNumber   uint64
	ConnPosition int
	// CarriedBy is the host by way of which the response came; empty: directly.
	CarriedBy string
	// Body is set by those who make a Response.
	Body Body
}

// Body is the body of a Response. Its methods are those of Response.
type Body interface {
	io.Reader
	// Close ends the request. It may keep the connection if the body was read to its end.
	Close()
	// Discard ends the request and closes the connection, whatever the state of the body.
	Discard()
}

// Read implements io.Reader for the body. It returns io.EOF at the end of the body, which proves
// that the response is complete unless BodyEnd is EndByClose: a connection also ends in order when
// the server's process ends.
func (r *Response) Read(b []byte) (int, error) { return r.Body.Read(b) }

// Close ends the request. The connection is kept only if the response was read to its
// delimited end, no more bytes were received, and the request was written completely: a
// server that responds early still expects the rest of that request.
func (r *Response) Close() { r.Body.Close() }

// Discard ends the request and closes the connection, whatever the state of the response.
func (r *Response) Discard() { r.Body.Discard() }

// bodyEnd returns how the end of a response's body is marked.
func bodyEnd(resp *http.Response) BodyEnd {
	switch {
	case len(resp.TransferEncoding) > 0:
		return EndByChunks
	case resp.ContentLength >= 0:
		return EndByLength
	}
	return EndByClose
}

// connBody is the body of a response on a connection of a Client.
type connBody struct {
	conn        *conn
	body        io.ReadCloser
	stopCancel  func() bool  // detaches the connection from the context; false if that has interrupted it
	complete    bool         // the body was read to its end
	keepAlive   bool         // the server keeps the connection open after the body
	writeResult <-chan error // receives one value, the result of writing the request
}

// Read implements Body.
func (b *connBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err == io.EOF { // not one that is the cause of another error
		b.complete = true
		return n, err
	}
	return n, b.conn.head.explain(err)
}

// Close implements Body.
func (b *connBody) Close() {
	notInterrupted := b.stopCancel()
	written := false
	select {
	case err := <-b.writeResult:
		written = err == nil
	default:
	}
	if notInterrupted && b.complete && b.keepAlive && written && b.conn.reader.Buffered() == 0 && !b.conn.requestIDs.full() {
		b.conn.client.putIdle(b.conn)
		return
	}
	b.conn.close()
}

// Discard implements Body.
func (b *connBody) Discard() {
	b.keepAlive = false
	b.Close()
}
