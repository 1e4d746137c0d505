// Package service is a test double of a plain service and of encoders, retrievers
// and rerankers. It sends complete responses and counts executions, so that tests
// can detect repeats of calls that must not be repeated.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"bilberrydale/connection/backend"
	"bilberrydale/internal/standin/hop"
)

// Options configure a Service.
type Options struct {
	Name          string
	Slots         int           // requests that run at the same time; further ones are refused as not started; 0: 64
	ExecutionTime time.Duration // time of one execution
	Crash         func()        // ends the server; called on a request that matches hop.Faults.CrashOnBody
}

// Service is a test double of a plain service. It is safe for concurrent use.
type Service struct {
	*hop.Server
	opts  Options
	slots chan struct{} // holds one element for each running request
}

// New returns a service.
func New(opts Options) *Service {
	if opts.Slots <= 0 {
		opts.Slots = 64
	}
	return &Service{Server: hop.New(opts.Name, opts.Crash), opts: opts, slots: make(chan struct{}, opts.Slots)}
}

// Response is the response to one stage call. As the input of a stage is the
// response of the preceding one, it records all stages and servers of a request;
// tests use that to verify that a response belongs to their request.
type Response struct {
	Request         string          `json:"request"`
	Stage           string          `json:"stage"`
	Server          string          `json:"server"`
	OriginalRequest string          `json:"asked,omitempty"` // method and URI of the caller's request
	Input           json.RawMessage `json:"input,omitempty"`
}

// Handler serves the service and its fault injection.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	s.RegisterAdmin(mux)
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(map[string]any{"running": len(s.slots), "queued": 0, "slots": cap(s.slots), "leaving": s.Faults().Leaving})
	})
	mux.HandleFunc("POST /", s.handleExecute)
	return s.Pausing(mux)
}

// handleExecute serves one stage call. A call without a free slot is refused as not
// started.
func (s *Service) handleExecute(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	f := s.Faults()
	s.EchoHeaders(w, r)
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		f.Refuse = true
	}
	if f.Refuse {
		w.Header().Set(backend.HeaderNotStarted, "true")
		http.Error(w, "no free slot", http.StatusServiceUnavailable)
		return
	}
	s.CountExecution(r)
	if f.CrashOnBody != "" && strings.Contains(string(body), f.CrashOnBody) {
		s.Crash()
		panic(http.ErrAbortHandler)
	}
	if !s.waitForExecution(r, f) {
		return
	}
	s.writeResponse(w, r, body)
}

// waitForExecution waits for the execution time. It returns false if the caller
// disconnects first.
func (s *Service) waitForExecution(r *http.Request, f hop.Faults) bool {
	if f.Hang {
		<-r.Context().Done()
		return false
	}
	select {
	case <-time.After(s.opts.ExecutionTime + f.Delay):
		return true
	case <-r.Context().Done():
		return false
	}
}

// writeResponse sends the response, or a failed or truncated one if that is injected.
func (s *Service) writeResponse(w http.ResponseWriter, r *http.Request, body []byte) {
	if s.ConsumeFault(func(f *hop.Faults) *int { return &f.FailNext }) {
		http.Error(w, "injected failure", http.StatusInternalServerError)
		return
	}
	resp := Response{Request: r.Header.Get(backend.HeaderRequestID), Stage: r.Header.Get(backend.HeaderStage), Server: s.Name}
	if uri := r.Header.Get(backend.HeaderURI); uri != "" {
		resp.OriginalRequest = r.Header.Get(backend.HeaderMethod) + " " + uri
	}
	if json.Valid(body) {
		resp.Input = body
	}
	data, _ := json.Marshal(resp)
	w.Header().Set("Content-Type", "application/json")
	if s.ConsumeFault(func(f *hop.Faults) *int { return &f.TruncateNext }) {
		w.Header().Set("Content-Length", "1000000")
		_, _ = w.Write(data[:len(data)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data)
}
