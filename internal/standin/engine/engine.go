// Package engine is a stand-in for a model engine: continuous batching with
// limited slots and priorities, streams that resume by offset, a prefix cache
// in limited memory, a lagging load report, and orders with or without fencing.
package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"bilberrydale/connection/backend"
	"bilberrydale/internal/standin/hop"
)

// Options configure a stand-in engine.
type Options struct {
	Name      string
	Slots     int           // sequences in a batch
	Queue     int           // waiting sequences; more are refused as not started
	Prefill   time.Duration // until the first token, without a cached prefix
	PerToken  time.Duration
	Tokens    int           // of each answer
	ReportLag time.Duration // age of the load report
	Cache     int           // prompt prefixes kept
	Fencing   bool          // refuse orders with an old fencing number
	Model     string        // loaded at the start
	Crash     func()
}

// Engine is one stand-in engine.
type Engine struct {
	*hop.Server
	opts  Options
	batch *batch

	mu      sync.Mutex
	streams map[string]string // whole text by request and stage, for resumption
	cached  []string          // prefixes, oldest first
	report  Load
	orders  orders
}

// Load is the engine's report of itself.
type Load struct {
	Running int      `json:"running"`
	Queued  int      `json:"queued"`
	Slots   int      `json:"slots"`
	Models  []string `json:"models"`
	Role    string   `json:"role"`
	Fence   uint64   `json:"fence"`
	taken   time.Time
}

const prefixBytes = 64

// New returns an engine.
func New(opts Options) *Engine {
	if opts.Slots <= 0 {
		opts.Slots = 8
	}
	if opts.Queue <= 0 {
		opts.Queue = 4 * opts.Slots
	}
	if opts.Tokens <= 0 {
		opts.Tokens = 16
	}
	if opts.Cache <= 0 {
		opts.Cache = 256
	}
	e := &Engine{
		Server: hop.New(opts.Name, opts.Crash), opts: opts,
		batch: newBatch(opts.Slots, opts.Queue), streams: map[string]string{},
	}
	e.orders.models = []string{opts.Model}
	return e
}

// Handler serves the engine and its switches.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	e.Admin(mux)
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(e.Load()) })
	mux.HandleFunc("PUT /orders", e.order)
	mux.HandleFunc("POST /", e.generate)
	return mux
}

// Load returns the report, at most ReportLag old.
func (e *Engine) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := time.Now(); now.Sub(e.report.taken) >= e.opts.ReportLag {
		running, queued := e.batch.counts()
		e.report = Load{
			Running: running, Queued: queued, Slots: e.opts.Slots,
			Models: append([]string(nil), e.orders.models...), Role: e.orders.role, Fence: e.orders.fence, taken: now,
		}
	}
	return e.report
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	f := e.Faults()
	e.Echo(w, r)
	priority, _ := strconv.Atoi(r.Header.Get(backend.HeaderPriority))
	if f.Refuse || !e.batch.enter(r.Context(), priority) {
		w.Header().Set(backend.HeaderNotStarted, "true")
		http.Error(w, "queue full", http.StatusServiceUnavailable)
		return
	}
	defer e.batch.leave()
	resume, _ := strconv.ParseInt(r.Header.Get(backend.HeaderResume), 10, 64)
	if resume == 0 {
		e.Count(r)
	}
	if f.Poison != "" && strings.Contains(string(body), f.Poison) {
		e.Crash()
		panic(http.ErrAbortHandler)
	}
	if f.Hang {
		<-r.Context().Done()
		return
	}
	e.answer(w, r, string(body), resume, f)
}

// answer streams the text from offset resume, one token a chunk.
func (e *Engine) answer(w http.ResponseWriter, r *http.Request, prompt string, resume int64, f hop.Faults) {
	id := r.Header.Get(backend.HeaderRequestID) + "/" + r.Header.Get(backend.HeaderStage)
	text := e.text(id, prompt)
	if resume > int64(len(text)) {
		http.Error(w, "offset is past the end", http.StatusRequestedRangeNotSatisfiable)
		return
	}
	wait := f.Delay
	if resume == 0 && !e.hit(prompt) {
		wait += e.opts.Prefill
	}
	cut := e.Take(func(f *hop.Faults) *int { return &f.Cut })
	enc := json.NewEncoder(w)
	flush := http.NewResponseController(w)
	for off := resume; off < int64(len(text)); {
		if !sleep(r, wait+e.opts.PerToken) {
			return
		}
		wait = 0
		end := min(off+tokenBytes, int64(len(text)))
		_ = enc.Encode(backend.Chunk{Offset: off, Data: text[off:end]})
		_ = flush.Flush()
		off = end
		if cut && off > int64(len(text))/2 {
			panic(http.ErrAbortHandler)
		}
	}
	_ = enc.Encode(backend.Chunk{Offset: int64(len(text)), Final: true})
}

const tokenBytes = 6

// text returns the whole answer, the same for every resumption of a request.
func (e *Engine) text(id, prompt string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if t, ok := e.streams[id]; ok {
		return t
	}
	var b strings.Builder
	fmt.Fprintf(&b, "answer of %s to %s (%d bytes): ", e.Name, id, len(prompt))
	for b.Len() < e.opts.Tokens*tokenBytes {
		fmt.Fprintf(&b, "t%04d ", b.Len())
	}
	e.streams[id] = b.String()
	return e.streams[id]
}

// hit reports whether the prompt's prefix is cached, and caches it.
func (e *Engine) hit(prompt string) bool {
	prefix := prompt[:min(prefixBytes, len(prompt))]
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.cached {
		if p == prefix {
			return true
		}
	}
	e.cached = append(e.cached, prefix)
	if len(e.cached) > e.opts.Cache {
		e.cached = e.cached[1:]
	}
	return false
}

func sleep(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return r.Context().Err() == nil
	}
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}
