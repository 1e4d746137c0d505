// Package service is a stand-in for a plain service and for the encoder,
// retriever and reranker pools: it answers whole, and counts each execution of
// calls that may not be repeated.
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

// Options configure a stand-in service.
type Options struct {
	Name          string
	Slots         int           // requests run at once; more are refused as not started
	ExecutionTime time.Duration // one execution
	Crash         func()
}

// Service is one stand-in service.
type Service struct {
	*hop.Server
	opts  Options
	slots chan struct{}
}

// New returns a service.
func New(opts Options) *Service {
	if opts.Slots <= 0 {
		opts.Slots = 64
	}
	return &Service{Server: hop.New(opts.Name, opts.Crash), opts: opts, slots: make(chan struct{}, opts.Slots)}
}

// Answer is what one stage adds: which stages and servers a request went
// through, so that a test can tell whose answer it got.
type Response struct {
	Request         string          `json:"request"`
	Stage           string          `json:"stage"`
	Server          string          `json:"server"`
	OriginalRequest string          `json:"asked,omitempty"` // method and URI of the caller's request
	Input           json.RawMessage `json:"input,omitempty"`
}

// Handler serves the service and its switches.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	s.RegisterAdmin(mux)
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(map[string]any{"running": len(s.slots), "queued": 0, "slots": cap(s.slots), "leaving": s.Faults().Leaving})
	})
	mux.HandleFunc("POST /", s.execute)
	return mux
}

func (s *Service) execute(w http.ResponseWriter, r *http.Request) {
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
	if !s.work(r, f) {
		return
	}
	s.answer(w, r, body)
}

// work spends the execution's time; false means that the caller is gone.
func (s *Service) work(r *http.Request, f hop.Faults) bool {
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

func (s *Service) answer(w http.ResponseWriter, r *http.Request, body []byte) {
	if s.ConsumeFault(func(f *hop.Faults) *int { return &f.FailNext }) {
		http.Error(w, "failed by switch", http.StatusInternalServerError)
		return
	}
	a := Response{Request: r.Header.Get(backend.HeaderRequestID), Stage: r.Header.Get(backend.HeaderStage), Server: s.Name}
	if uri := r.Header.Get(backend.HeaderURI); uri != "" {
		a.OriginalRequest = r.Header.Get(backend.HeaderMethod) + " " + uri
	}
	if json.Valid(body) {
		a.Input = body
	}
	data, _ := json.Marshal(a)
	w.Header().Set("Content-Type", "application/json")
	if s.ConsumeFault(func(f *hop.Faults) *int { return &f.TruncateNext }) {
		w.Header().Set("Content-Length", "1000000")
		_, _ = w.Write(data[:len(data)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data)
}
