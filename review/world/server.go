package world

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Server is what all stand-in backend servers have in common.
type Server struct {
	ID, Service, Zone string
	Slots             int
	Born              int64 // Unix milliseconds
	*Listener
	world *World

	mu               sync.Mutex
	running, waiting int
	crashed          bool
}

// start opens the server and lists it in the store.
func (s *Server) start(w *World, h Handler) error {
	s.world, s.ID, s.Born = w, w.nextServer(), time.Now().UnixMilli()
	var err error
	s.Listener, err = Listen("", func(x *Exchange) {
		if expected := x.Request.Header.Get(Wire.ExpectInstance); expected != "" && expected != s.ID {
			x.Answer(http.StatusMisdirectedRequest, http.Header{Wire.InstanceID: {s.ID}}, nil)
			return
		}
		h(x)
	})
	if err != nil {
		return err
	}
	// The entry changes only when more than call_seq does, so heartbeats write nothing here.
	s.world.Store.PutRaw("servers", s.ID, fmt.Appendf(nil, Wire.Entry, s.Service, s.Address(), s.Zone, s.Slots, s.Born))
	return nil
}

// heartbeat is the interval of the servers' entries.
const heartbeat = 1200 * time.Millisecond

// Crash ends the server's process: its connections are reset, its results are lost and its entry
// goes after three heartbeats.
func (s *Server) Crash() {
	s.world.Record.Note("crash", "%s of %s at %s", s.ID, s.Service, s.Address())
	s.mu.Lock()
	s.crashed = true
	s.mu.Unlock()
	s.Listener.Crash()
	time.AfterFunc(3*heartbeat, func() { s.world.Store.Delete("servers", s.ID) })
}

// load returns the headers of each answer.
func (s *Server) load() http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return http.Header{Wire.ServerLoad: {fmt.Sprintf("%d,%d,%d", s.running, s.waiting, s.Slots)}, "Keep-Alive": {"timeout=10"}}
}

// randomID returns n random bytes in hexadecimal.
func randomID(n int) string {
	b := make([]byte, n)
	_, _ = rand.Read(b) // never fails
	return hex.EncodeToString(b)
}

// Piece is what a stage server has made.
type Piece struct {
	Request string // Attempt-Id
	Stage   int
	Number  int
	Maker   string // id of the server
}

// StageServer makes pieces.
type StageServer struct {
	Server
	CallTime, ItemTime time.Duration
	Queue              int
	HandleTTL          time.Duration
	// Repeat, if it is not nil, says whether the n-th answer of the server arrives once more, late.
	Repeat  func(n int) bool
	answers int
	turn    chan struct{} // holds an element while a call is worked on
	held    map[string]bool
}

// StartStageServer starts a stage server with one slot.
func (w *World) StartStageServer(service, zone string, callTime, itemTime time.Duration) (*StageServer, error) {
	s := &StageServer{Server: Server{Service: service, Zone: zone, Slots: 1}, CallTime: callTime, ItemTime: itemTime, Queue: 2, HandleTTL: 4 * time.Second, turn: make(chan struct{}, 1), held: map[string]bool{}}
	return s, s.start(w, s.serve)
}

func (s *StageServer) serve(x *Exchange) {
	switch x.Request.URL.Path {
	case Wire.StageRun:
		s.run(x)
	case Wire.StageFree:
		var call struct{ Handles []string }
		_ = json.Unmarshal(x.Body, &call)
		for _, h := range call.Handles {
			s.drop(h)
		}
		x.Answer(http.StatusOK, s.load(), nil)
	case Wire.Report:
		s.mu.Lock()
		report := fmt.Appendf(nil, Wire.StageReport, s.waiting, s.running > 0, s.Born)
		s.mu.Unlock()
		x.Answer(http.StatusOK, s.load(), report)
	default:
		x.Answer(http.StatusNotFound, s.load(), nil)
		return
	}
	s.mu.Lock()
	s.answers++
	n, repeat := s.answers, s.Repeat
	s.mu.Unlock()
	if repeat != nil && repeat(n) {
		s.world.Record.Note("extra", "%s will answer %s once more, late", s.ID, x.Request.URL.Path)
		x.RepeatLate()
	}
}

// SetRepeat sets Repeat; nil: none.
func (s *StageServer) SetRepeat(f func(n int) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Repeat = f
}

// drop forgets a result.
func (s *StageServer) drop(handle string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.held, handle)
}

// Held returns the number of results that the server has; -1: it has crashed.
func (s *StageServer) Held() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed {
		return -1
	}
	return len(s.held)
}

// Holds reports whether the server has a result.
func (s *StageServer) Holds(handle string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held[handle] && !s.crashed
}

// run makes the pieces of a call, one call at a time.
func (s *StageServer) run(x *Exchange) {
	var call struct {
		Items []struct {
			ID     string
			Stage  int
			Piece  int
			LeftMS float64 `json:"left_ms"`
			Key    string
			Inputs []string
		}
	}
	if err := json.Unmarshal(x.Body, &call); err != nil {
		x.Answer(http.StatusBadRequest, s.load(), nil)
		return
	}
	arrived := time.Now()
	s.mu.Lock()
	if s.waiting >= s.Queue {
		s.mu.Unlock()
		h := s.load()
		h.Set(Wire.NotExecuted, "1")
		x.Answer(http.StatusServiceUnavailable, h, nil)
		return
	}
	s.waiting++
	s.mu.Unlock()
	gone := false
	select {
	case s.turn <- struct{}{}:
	case <-x.Ctx.Done():
		gone = true
	}
	s.mu.Lock()
	s.waiting--
	if !gone {
		s.running++
	}
	s.mu.Unlock()
	if gone {
		return
	}
	time.Sleep(s.CallTime + time.Duration(len(call.Items))*s.ItemTime)
	type result struct {
		Handle string `json:"handle,omitempty"`
		Reason string `json:"reason,omitempty"`
	}
	var answer struct {
		Items []result `json:"items"`
	}
	for _, it := range call.Items {
		if it.LeftMS > 0 && time.Since(arrived) > time.Duration(it.LeftMS)*time.Millisecond+s.CallTime {
			answer.Items = append(answer.Items, result{Reason: "late"})
			continue
		}
		p := Piece{it.ID, it.Stage, it.Piece, s.ID}
		handle := s.Address() + "/" + randomID(6)
		s.world.addPiece(handle, p)
		s.mu.Lock()
		s.held[handle] = true
		s.mu.Unlock()
		time.AfterFunc(s.HandleTTL, func() { s.drop(handle) })
		s.world.Record.Note("piece", "%s made stage %d piece %d of request %s: %s", s.ID, it.Stage, it.Piece, it.ID, handle)
		answer.Items = append(answer.Items, result{Handle: handle})
	}
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	<-s.turn
	data, _ := json.Marshal(answer)
	h := s.load()
	h.Set("Content-Type", "application/json")
	x.Answer(http.StatusOK, h, data)
}

// addPiece records what a handle names.
func (w *World) addPiece(handle string, p Piece) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pieces[handle] = p
}

// PieceOf returns what a handle names.
func (w *World) PieceOf(handle string) (Piece, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p, ok := w.pieces[handle]
	return p, ok
}

// ModelServer runs streams.
type ModelServer struct {
	Server
	QueueTime  func() time.Duration // from the arrival until the inputs are fetched; nil: none
	FirstEvent func() time.Duration // from there to the first event
	Events     int
	EventGap   time.Duration
	Holds      func(handle string) bool // whether a result can be fetched
	// Ran is called when a request begins to run.
	Ran func(id string, r *http.Request)
	// RepeatRefusal reports whether a refusal for lost inputs arrives once more, late.
	RepeatRefusal func() bool
	// Answered, if it is not nil, is called after each answer.
	Answered func()
}

// StartModelServer starts a model server.
func (w *World) StartModelServer(m *ModelServer) error {
	m.Slots = 64
	return m.start(w, m.serve)
}

func (m *ModelServer) serve(x *Exchange) {
	if x.Request.URL.Path == Wire.Report {
		m.mu.Lock()
		running := m.running
		m.mu.Unlock()
		x.Answer(http.StatusOK, m.load(), fmt.Appendf(nil, Wire.ModelReport, running, m.Born))
		return
	}
	id := x.Request.Header.Get(Wire.AttemptID)
	inputs := x.Request.Header.Get(Wire.Inputs)
	refuse := func(status int) {
		m.world.Record.Note("refused", "%s refuses request %s: %d", m.ID, id, status)
		h := m.load()
		h.Set(Wire.NotExecuted, "1")
		x.Answer(status, h, nil)
	}
	if id == "" || inputs == "" {
		refuse(http.StatusBadRequest)
		return
	}
	if m.QueueTime != nil && !pause(x, m.QueueTime()) {
		return
	}
	if slices.ContainsFunc(strings.Split(inputs, ","), func(h string) bool { return !m.Holds(h) }) {
		refuse(http.StatusConflict)
		if m.Answered != nil {
			m.Answered()
		}
		if m.RepeatRefusal != nil && m.RepeatRefusal() {
			m.world.Record.Note("extra", "%s will refuse request %s once more, late", m.ID, id)
			x.RepeatLate()
		}
		return
	}
	m.count(1)
	defer m.count(-1)
	if m.Answered != nil {
		defer m.Answered()
	}
	if !pause(x, m.FirstEvent()) {
		return
	}
	m.world.Record.Note("run", "%s runs request %s with inputs %s", m.ID, id, inputs)
	m.Ran(id, x.Request)
	h := m.load()
	h.Set(Wire.Stamp, "3e1b.07."+randomID(8))
	h.Set("Weight-Versions", "1")
	x.BeginStream(h)
	for i := 1; i <= m.Events; i++ {
		x.Chunk(fmt.Sprintf("id: %d\ndata: event %d of %s\n\n", i, i, id))
		if !pause(x, m.EventGap) {
			return
		}
	}
	x.Chunk("")
}

// count changes the number of running requests.
func (s *Server) count(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += n
}

// pause waits, and returns false if the caller leaves meanwhile.
func pause(x *Exchange, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-x.Ctx.Done():
		return false
	}
}

// StartPlainServer starts a server of short requests. ran is called when it runs one.
func (w *World) StartPlainServer(service, zone string, work time.Duration, ran func(server *Server, id string)) (*Server, error) {
	s := &Server{Service: service, Zone: zone, Slots: 6}
	return s, s.start(w, func(x *Exchange) {
		id := x.Request.Header.Get(Wire.AttemptID)
		if id == "" {
			h := s.load()
			h.Set(Wire.NotExecuted, "1")
			x.Answer(http.StatusBadRequest, h, nil)
			return
		}
		s.count(1)
		defer s.count(-1)
		w.Record.Note("run", "%s of %s runs request %s", s.ID, service, id)
		ran(s, id)
		time.Sleep(work)
		h := s.load()
		h.Set(Wire.Stamp, "3e1b.07."+randomID(8))
		x.Answer(http.StatusOK, h, []byte("answer of "+service))
	})
}
