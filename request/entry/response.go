package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"

	"bilberrydale/connection/backend"
	"bilberrydale/process/kind"
)

// Counters count answers for expvar.
type Counters struct {
	Completed        atomic.Int64
	Refused          atomic.Int64 // answered "ran: no"
	Failed           atomic.Int64 // any other error
	UnloggedRefusals atomic.Int64 // error answers over Handler.LogLimit
}

// StreamType is the media type of a streamed answer: one JSON chunk a line,
// with the offset of its data, and a last one marked final.
const StreamMediaType = "application/x-ndjson"

const problemType = "application/problem+json"

// Problem is the body of every error answer (RFC 9457).
type Problem struct {
	Type       string    `json:"type"`
	Title      string    `json:"title"`
	Status     int       `json:"status"`
	Detail     string    `json:"detail,omitempty"`
	Kind       kind.Kind `json:"kind"`
	Ran        kind.Ran  `json:"ran"`
	RequestID  string    `json:"request_id"`
	RetryAfter float64   `json:"retry_after,omitempty"` // seconds
}

func (c *call) wantsStream() bool {
	last := c.route.Stages[len(c.route.Stages)-1]
	return last.Stream && strings.Contains(c.r.Header.Get("Accept"), StreamMediaType)
}

// refuse gives the request's final answer at once.
func (c *call) refuse(e *kind.Error) {
	e.EarlierAttempt = c.mayHaveRunEarlier(e)
	ran := e.Ran()
	if ran == kind.RanNo {
		c.Counters.Refused.Add(1)
	} else {
		c.Counters.Failed.Add(1)
	}
	c.recordRefusal(e, ran)
	p := c.problem(e, ran)
	if c.stream != nil && c.stream.started {
		c.stream.abort(p)
		return
	}
	h := c.w.Header()
	h.Set("Content-Type", problemType)
	if p.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(p.RetryAfter))))
	}
	c.w.WriteHeader(p.Status)
	_ = json.NewEncoder(c.w).Encode(p)
}

func (c *call) problem(e *kind.Error, ran kind.Ran) Problem {
	a := kind.Lookup(e.Kind)
	return Problem{
		Type: "about:blank#" + string(e.Kind), Title: a.Title, Status: a.Status, Detail: e.Detail,
		Kind: e.Kind, Ran: ran, RequestID: c.id, RetryAfter: e.RetryDelay().Seconds(),
	}
}

// streamWriter writes chunks to the caller as they come.
type streamWriter struct {
	w       http.ResponseWriter
	started bool
	offset  int64
}

type streamError struct {
	Offset  int64   `json:"offset"`
	Problem Problem `json:"problem"`
}

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

// abort ends a stream without its final mark, so that the caller can tell it
// from a whole answer; the problem says why.
func (s *streamWriter) abort(p Problem) {
	_ = json.NewEncoder(s.w).Encode(streamError{s.offset, p})
	_ = http.NewResponseController(s.w).Flush()
}
