package faultrun

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bilberrydale/connection/backend"
	"bilberrydale/internal/relay"
)

// backendServer is a backend server behind a relay. It executes whole and streamed
// stages and notes each execution in the ledger.
type backendServer struct {
	name        string
	ledger      *Ledger
	relay       *relay.Proxy
	refuse      atomic.Bool
	fail        atomic.Bool
	cross       atomic.Bool
	cut         atomic.Bool
	poison      atomic.Value // string: a body that contains it kills the server
	deaths      atomic.Int64
	gate        atomic.Pointer[chan struct{}] // holds the last stage
	held        atomic.Int64                  // executions that the gate has held
	cutStream   atomic.Bool
	change      atomic.Bool // a resumed stream has another text
	dieInStream atomic.Bool
	mu          sync.Mutex
	before      map[string]string // the last answer of another request, for crossing
}

// die ends the server's connections and refuses new ones, as a crash does.
func (s *backendServer) die() {
	s.relay.RefuseConnections(true)
	s.relay.ResetConnections()
}

// work is the body of every operation.
type work struct {
	Token string `json:"token"`
}

const serviceTime = 2 * time.Millisecond

func newServer(t testing.TB, name string, ledger *Ledger) *backendServer {
	s := &backendServer{name: name, ledger: ledger, before: map[string]string{}}
	s.poison.Store("")
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("POST /whole", s.whole)
	mux.HandleFunc("POST /book", s.whole)
	mux.HandleFunc("POST /last", s.whole)
	mux.HandleFunc("POST /stream", s.stream)
	h := httptest.NewServer(mux)
	t.Cleanup(h.Close)
	r, err := relay.New(h.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	s.relay = r
	return s
}

// begin reads the request and starts its execution.
func (s *backendServer) begin(w http.ResponseWriter, r *http.Request) (token string, ok bool) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return "", false
	}
	var in work
	_ = json.Unmarshal(body, &in)
	for _, h := range []string{backend.HeaderRequestID, backend.HeaderStage, backend.HeaderAttempt} {
		w.Header().Set(h, r.Header.Get(h))
	}
	if s.refuse.Load() {
		w.Header().Set(backend.HeaderNotStarted, "true")
		http.Error(w, "full", http.StatusServiceUnavailable)
		return "", false
	}
	s.ledger.Receive(in.Token)
	if r.URL.Path != "/whole" {
		s.ledger.Execute(in.Token)
	}
	if p := s.poison.Load().(string); p != "" && strings.Contains(string(body), p) {
		s.deaths.Add(1)
		s.die()
		panic(http.ErrAbortHandler)
	}
	if gate := s.gate.Load(); gate != nil && r.URL.Path != "/whole" {
		s.held.Add(1)
		<-*gate
	}
	<-time.After(serviceTime)
	if s.fail.Load() {
		http.Error(w, "failed", http.StatusInternalServerError)
		return "", false
	}
	return in.Token, true
}

func (s *backendServer) whole(w http.ResponseWriter, r *http.Request) {
	token, ok := s.begin(w, r)
	if !ok {
		return
	}
	answer := whole(token)
	if r.URL.Path == "/whole" {
		// Not the last stage: its output is the next one's input.
		data, _ := json.Marshal(work{Token: token})
		answer = string(data)
	}
	if s.cross.Load() {
		s.mu.Lock()
		other := s.before[r.URL.Path]
		s.before[r.URL.Path] = r.Header.Get(backend.HeaderRequestID) + "|" + answer
		s.mu.Unlock()
		if id, text, ok := strings.Cut(other, "|"); ok {
			w.Header().Set(backend.HeaderRequestID, id)
			answer = text
		}
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if s.cut.Load() {
		_, _ = io.WriteString(w, answer[:len(answer)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, answer)
}

const chunkBytes = 10

func (s *backendServer) stream(w http.ResponseWriter, r *http.Request) {
	token, ok := s.begin(w, r)
	if !ok {
		return
	}
	text := whole(token)
	from, _ := strconv.Atoi(r.Header.Get(backend.HeaderResume))
	if from > 0 && s.change.Load() {
		text = strings.ReplaceAll(text, token, strings.ToUpper(token))
	}
	enc := json.NewEncoder(w)
	for off := from; off < len(text); off += chunkBytes {
		if s.dieInStream.Load() && off > len(text)/2 {
			s.relay.RefuseConnections(true)
			panic(http.ErrAbortHandler)
		}
		if (s.cut.Load() || s.cutStream.Load()) && off > len(text)/2 && from == 0 {
			panic(http.ErrAbortHandler)
		}
		_ = enc.Encode(backend.Chunk{Offset: int64(off), Data: text[off:min(off+chunkBytes, len(text))]})
		_ = http.NewResponseController(w).Flush()
	}
	_ = enc.Encode(backend.Chunk{Offset: int64(len(text)), Final: true})
}

// whole is the one right answer to token.
func whole(token string) string {
	return fmt.Sprintf(`{"token":%q,"text":%q}`, token, strings.Repeat(token+" ", 20))
}
