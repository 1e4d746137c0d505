// Package cutserver serves responses whose connection ends early, at each byte, to tests of readers of
// responses.
package cutserver

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"bilberrydale/internal/rawserver"
)

// framing is how a response marks the end of its body.
type framing struct {
	name    string
	before  string // interim responses
	version string
	end     func(body string) (lines, wire string)
}

// framings are those of sound responses.
var framings = []framing{
	{"length", "", "1.1", byLength},
	{"length, HTTP/1.0", "", "1.0", byLength},
	{"length, after an interim response", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", "1.1", byLength},
	{"chunks", "", "1.1", byChunks},
	{"close", "", "1.1", byClose},
	{"close, HTTP/1.0", "", "1.0", byClose},
}

func byLength(body string) (lines, wire string) {
	return fmt.Sprintf("Content-Length: %d\r\n", len(body)), body
}

func byChunks(body string) (lines, wire string) {
	return "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
}

func byClose(body string) (lines, wire string) { return "", body }

// Result is what became of a call whose response was cut.
type Result struct {
	Err error
	// Whole reports that all of the response was sent, and InBody that its head was.
	Whole, InBody bool
	// ByClose reports that the body ends with the connection, Reset that the connection was reset.
	ByClose, Reset bool
	// Cut describes the response for messages.
	Cut string
}

// Server responds to requests. Its responses are cut as Each tells.
type Server struct {
	t       *testing.T
	address string
	respond func(*http.Request) (status, lines, body string)

	mu      sync.Mutex // guards the fields below
	framing framing
	at      int // bytes that are sent; negative: all
	reset   bool
	result  Result
}

// New starts a server. respond returns the status with its reason, other header lines and the body of the
// sound response to a request.
func New(t *testing.T, respond func(*http.Request) (status, lines, body string)) *Server {
	t.Helper()
	s := &Server{t: t, respond: respond}
	s.address = rawserver.Start(t, s.next)
	return s
}

// Address returns the host:port of the server.
func (s *Server) Address() string { return s.address }

// Each makes calls, of which each meets a response that is cut one byte later, in each framing, by the end of its
// connection in order and by a reset. Every other one comes on a connection that has been used, if the caller keeps
// them. Requests that are repeated meet the same cut. It logs the number of cuts.
func (s *Server) Each(call func() error, check func(Result)) {
	s.t.Helper()
	cuts := 0
	for _, f := range framings {
		for _, reset := range []bool{false, true} {
			for at, whole := 0, false; !whole; at++ {
				if at%2 == 1 {
					s.plan(framings[0], -1, false)
					_ = call() // checked in other framings
				}
				s.plan(f, at, reset)
				r := s.resultOf(call())
				check(r)
				whole = r.Whole
				cuts++
			}
		}
	}
	s.t.Logf("%d cuts", cuts)
}

// plan sets the responses from now on.
func (s *Server) plan(f framing, at int, reset bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.framing, s.at, s.reset, s.result = f, at, reset, Result{}
}

// resultOf returns the result of a call with an error.
func (s *Server) resultOf(err error) Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.result
	r.Err = err
	return r
}

// next returns the bytes of the response to a request, and how the connection ends after them.
func (s *Server) next(req *http.Request) (wire string, end rawserver.End) {
	status, lines, body := s.respond(req)
	s.mu.Lock()
	defer s.mu.Unlock()
	endLines, wireBody := s.framing.end(body)
	head := s.framing.before + "HTTP/" + s.framing.version + " " + status + "\r\n" + lines + endLines + "\r\n"
	wire = head + wireBody
	if s.at < 0 {
		return wire, rawserver.KeepOpen
	}
	at := min(s.at, len(wire))
	s.result = Result{
		Whole: at == len(wire), InBody: at >= len(head), ByClose: endLines == "", Reset: s.reset,
		Cut: fmt.Sprintf("%s, reset: %t, cut after %q", s.framing.name, s.reset, wire[:at]),
	}
	if s.reset {
		return wire[:at], rawserver.Reset
	}
	return wire[:at], rawserver.Close
}
