package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"

	"bilberrydale/connection/backend"
	"bilberrydale/process/errkind"
)

// Counters count responses for expvar.
type Counters struct {
	Completed      atomic.Int64 // requests run by this host, without replayed responses
	Refused        atomic.Int64 // errors with "ran: no"
	Failed         atomic.Int64 // all other errors
	UnloggedErrors atomic.Int64 // errors not logged because of Handler.LogLimit
}

// StreamMediaType is the media type of a streamed response: one JSON chunk per line, with
// the offset of its data. The last chunk is marked final.
const StreamMediaType = "application/x-ndjson"

// problemMediaType is the media type of Problem (RFC 9457).
const problemMediaType = "application/problem+json"

// Problem is the body of every error response (RFC 9457).
type Problem struct {
	Type       string       `json:"type"`   // about:blank# and the kind
	Title      string       `json:"title"`  // text of the kind
	Status     int          `json:"status"` // HTTP status
	Detail     string       `json:"detail,omitempty"`
	Kind       errkind.Kind `json:"kind"`
	Ran        errkind.Ran  `json:"ran"` // whether the request may have run
	RequestID  string       `json:"request_id"`
	RetryAfter float64      `json:"retry_after,omitempty"` // seconds
}

// wantsStream reports whether the response is to be streamed: the last stage streams and the
// caller accepts StreamMediaType.
func (c *callerRequest) wantsStream() bool {
	last := c.route.Stages[len(c.route.Stages)-1]
	return last.Stream && strings.Contains(c.r.Header.Get("Accept"), StreamMediaType)
}

// writeError logs and counts the error, sets its EarlierAttempt and sends it as the response. A stream that has
// started is aborted with it.
func (c *callerRequest) writeError(e *errkind.Error) {
	e.EarlierAttempt = c.mayHaveRunEarlier(e)
	ran := e.Ran()
	if ran == errkind.RanNo {
		c.Counters.Refused.Add(1)
	} else {
		c.Counters.Failed.Add(1)
	}
	c.recordError(e, ran)
	p := c.problem(e, ran)
	if c.stream != nil && c.stream.started {
		c.stream.abort(p)
		return
	}
	h := c.w.Header()
	h.Set("Content-Type", problemMediaType)
	if p.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(p.RetryAfter))))
	}
	c.w.WriteHeader(p.Status)
	_ = json.NewEncoder(c.w).Encode(p)
}

// problem returns the response body for e.
func (c *callerRequest) problem(e *errkind.Error, ran errkind.Ran) Problem {
	a := errkind.Lookup(e.Kind)
	return Problem{
		Type: "about:blank#" + string(e.Kind), Title: a.Title, Status: a.Status, Detail: e.Detail,
		Kind: e.Kind, Ran: ran, RequestID: c.id, RetryAfter: e.RetryDelay().Seconds(),
	}
}

// streamWriter writes chunks to the caller and flushes each of them.
type streamWriter struct {
	w       http.ResponseWriter
	started bool  // write has been called
	offset  int64 // data bytes written
}

// streamError is the last line of an aborted stream.
type streamError struct {
	Offset  int64   `json:"offset"` // data bytes sent before the error
	Problem Problem `json:"problem"`
}

// write sends a chunk, preceded by the response headers if it is the first.
func (s *streamWriter) write(ch backend.Chunk) error {
	if !s.started {
		s.w.Header().Set("Content-Type", StreamMediaType)
		s.started = true
	}
	if err := json.NewEncoder(s.w).Encode(ch); err != nil {
		return err
	}
	s.offset = ch.Offset + int64(len(ch.Data))
	return http.NewResponseController(s.w).Flush()
}

// abort ends the stream with the problem and without a final chunk, so that the caller can
// tell it from a complete response.
func (s *streamWriter) abort(p Problem) {
	_ = json.NewEncoder(s.w).Encode(streamError{s.offset, p})
	_ = http.NewResponseController(s.w).Flush()
}
