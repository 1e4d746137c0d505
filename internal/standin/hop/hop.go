// Package hop holds what every stand-in backend server shares: the ids of a
// hop, the count of executions, and the switches for failures.
package hop

import (
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"bilberrydale/connection/backend"
)

// Faults are the failure switches of one backend server.
type Faults struct {
	Delay          time.Duration `json:"delay"`  // nanoseconds added to each execution
	FailNext       int           `json:"fail"`   // answer the next N executions with 500
	Refuse         bool          `json:"refuse"` // refuse new work, marked as not started
	Hang           bool          `json:"hang"`   // accept and never answer
	TruncateNext   int           `json:"cut"`    // end the next N answers before they are whole
	MisdeliverNext int           `json:"cross"`  // put another request's id on the next N answers
	CrashOnBody    string        `json:"poison"` // a body that contains this kills the server
	// Leaving is told in the load report and on each answer; the server goes
	// on serving.
	Leaving bool `json:"leaving"`
}

// Server is the shared part. Execute is called once for each execution.
type Server struct {
	Name  string
	Crash func() // called on a poisoned request; must end the server

	mu       sync.Mutex
	faults   Faults
	executed map[string]int // by operation key or request id, then stage
	total    atomic.Int64
}

// New returns the shared part of the backend server called name.
func New(name string, crash func()) *Server {
	return &Server{Name: name, Crash: crash, executed: map[string]int{}}
}

// SetFaults sets the switches.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the switches.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Executed returns how often each operation ran.
func (s *Server) ExecutionCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.executed))
	for k, v := range s.executed {
		out[k] = v
	}
	return out
}

// Total returns all executions.
func (s *Server) TotalExecutions() int64 { return s.total.Load() }

// Count records one execution of the request.
func (s *Server) CountExecution(r *http.Request) {
	s.total.Add(1)
	id := r.Header.Get(backend.HeaderKey)
	if id == "" {
		id = r.Header.Get(backend.HeaderRequestID)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executed[id+"/"+r.Header.Get(backend.HeaderStage)]++
}

// Take uses up one of the counted switches, chosen by field.
func (s *Server) ConsumeFault(field func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := field(&s.faults)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// Echo puts the hop's ids on the answer.
func (s *Server) EchoHeaders(w http.ResponseWriter, r *http.Request) {
	for _, h := range []string{backend.HeaderRequestID, backend.HeaderStage, backend.HeaderAttempt} {
		w.Header().Set(h, r.Header.Get(h))
	}
	if s.Faults().Leaving {
		w.Header().Set(backend.HeaderLeaving, "true")
	}
	if s.ConsumeFault(func(f *Faults) *int { return &f.MisdeliverNext }) {
		w.Header().Set(backend.HeaderRequestID, "another-request")
	}
}

// Admin adds the switches and counts to mux.
func (s *Server) RegisterAdmin(mux *http.ServeMux) {
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("PUT /admin/faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(f)
	})
	mux.HandleFunc("GET /admin/executed", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.ExecutionCounts())
	})
}
