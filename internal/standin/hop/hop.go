// Package hop contains the common part of the test doubles of backend servers:
// returning the ids of a call, counting executions, and fault injection.
package hop

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bilberrydale/connection/backend"
	"bilberrydale/internal/standin/pauses"
)

// Faults are the faults that a backend server injects. The zero value injects none.
type Faults struct {
	Delay          time.Duration `json:"delay"`  // nanoseconds added to each execution
	FailNext       int           `json:"fail"`   // respond to the next N executions with status 500
	Refuse         bool          `json:"refuse"` // refuse new calls, marked as not started
	Hang           bool          `json:"hang"`   // accept calls and never respond
	TruncateNext   int           `json:"cut"`    // truncate the next N responses
	MisdeliverNext int           `json:"cross"`  // return the id of another request with the next N responses
	CrashOnBody    string        `json:"poison"` // crash on a request body that contains this; empty: never
	// Leaving is reported in the load report and with each response. The server
	// continues to accept calls.
	Leaving bool `json:"leaving"`
	// RateLimit is the limit, in requests per second from all entry hosts, that the server
	// names with each response; 0: none. It does not enforce the limit.
	RateLimit float64 `json:"rate_limit"`
	// Pause refuses all that comes but admin calls, and asks the sender for no requests for so long
	// (nanoseconds). The refusals are marked as not started.
	Pause time.Duration `json:"pause"`
}

// Server is the part that all test doubles of backend servers share. It is safe for
// concurrent use.
type Server struct {
	Name  string
	Crash func() // called on a request that matches CrashOnBody; must end the server

	mu         sync.Mutex // guards faults and executions
	faults     Faults
	executions map[string]int // by operation key or request id, then stage
	total      atomic.Int64   // executions

	// Pauses counts what reaches the server while it wants no requests.
	Pauses pauses.Counter
}

// New returns the part that all test doubles of backend servers share. Crash is
// called on a request that matches Faults.CrashOnBody; it must end the server.
func New(name string, crash func()) *Server {
	return &Server{Name: name, Crash: crash, executions: map[string]int{}}
}

// SetFaults replaces the faults to inject.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the faults to inject. The counts of the next N responses are those
// that remain.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// ExecutionCounts returns the number of executions of each operation and stage, by
// "KEY/STAGE". KEY is the operation key, or the request id if there is none.
func (s *Server) ExecutionCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.executions))
	for k, v := range s.executions {
		out[k] = v
	}
	return out
}

// TotalExecutions returns the number of all executions.
func (s *Server) TotalExecutions() int64 { return s.total.Load() }

// CountExecution records one execution of the request's stage.
func (s *Server) CountExecution(r *http.Request) {
	s.total.Add(1)
	id := r.Header.Get(backend.HeaderKey)
	if id == "" {
		id = r.Header.Get(backend.HeaderRequestID)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions[id+"/"+r.Header.Get(backend.HeaderStage)]++
}

// ConsumeFault decrements the counted fault that field selects. It returns false if
// the count is zero.
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

// EchoHeaders returns the ids of the call in the headers of the response, or the id of
// another request if MisdeliverNext is set, and sets the header for leaving servers.
func (s *Server) EchoHeaders(w http.ResponseWriter, r *http.Request) {
	for _, h := range []string{backend.HeaderRequestID, backend.HeaderStage, backend.HeaderAttempt} {
		w.Header().Set(h, r.Header.Get(h))
	}
	if s.Faults().Leaving {
		w.Header().Set(backend.HeaderLeaving, "true")
	}
	if limit := s.Faults().RateLimit; limit > 0 {
		w.Header().Set(backend.HeaderRateLimit, strconv.FormatFloat(limit, 'f', -1, 64))
	}
	if s.ConsumeFault(func(f *Faults) *int { return &f.MisdeliverNext }) {
		w.Header().Set(backend.HeaderRequestID, "another-request")
	}
}

// Pausing returns a handler that refuses requests while Faults.Pause is set, and passes on others.
func (s *Server) Pausing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/admin/") {
			next.ServeHTTP(w, r)
			return
		}
		s.Pauses.Arrived("", r.Method+" "+r.URL.Path)
		pause := s.Faults().Pause
		if pause <= 0 {
			next.ServeHTTP(w, r)
			return
		}
		s.EchoHeaders(w, r)
		s.Pauses.Asked("", pause)
		w.Header().Set(backend.HeaderNotStarted, "true")
		w.Header().Set("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', -1, 64))
		w.WriteHeader(http.StatusServiceUnavailable)
	})
}

// RegisterAdmin adds the endpoints for health, faults and execution counts to mux.
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
