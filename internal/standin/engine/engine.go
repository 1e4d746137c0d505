// Package engine is a stand-in for a model engine: continuous batching with
// limited slots and priorities, streams that resume by offset, a prefix cache
// in limited memory, a lagging load report, and orders with or without fencing.
package engine

import (
	"context"
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
	Name           string
	Slots          int           // sequences in a batch
	QueueCapacity  int           // waiting sequences; more are refused as not started
	PrefillTime    time.Duration // until the first token, without a cached prefix
	TokenInterval  time.Duration
	ResponseTokens int           // of each answer
	ReportMaxAge   time.Duration // age of the load report
	CacheCapacity  int           // prompt prefixes kept
	EnforceFencing bool          // refuse orders with an old fencing number
	InitialModel   string        // loaded at the start
	OrderDuration  time.Duration // until an accepted order is carried out
	EventDelay     time.Duration // age at which a cache event is published
	DropEventEvery int           // every so many cache events one is lost; 0: none
	WeightStoreURL string        // base URL of the weight store; empty: models load at once
	Crash          func()
}

// Engine is one stand-in engine.
type Engine struct {
	*hop.Server
	opts  Options
	batch *batch

	mu      sync.Mutex
	streams map[string]string  // whole text by request and stage, for resumption
	active  map[string]*stream // running streams by request
	cache   cache
	report  LoadReport
	orders  orders
}

// Load is the engine's report of itself.
type LoadReport struct {
	Running int      `json:"running"`
	Queued  int      `json:"queued"`
	Slots   int      `json:"slots"`
	Models  []string `json:"models"`
	Role    string   `json:"role"`
	Fence   uint64   `json:"fence"`
	Leaving bool     `json:"leaving,omitempty"`
	taken   time.Time
}

// New returns an engine.
func New(opts Options) *Engine {
	if opts.Slots <= 0 {
		opts.Slots = 8
	}
	if opts.QueueCapacity <= 0 {
		opts.QueueCapacity = 4 * opts.Slots
	}
	if opts.ResponseTokens <= 0 {
		opts.ResponseTokens = 16
	}
	if opts.CacheCapacity <= 0 {
		opts.CacheCapacity = 256
	}
	e := &Engine{
		Server: hop.New(opts.Name, opts.Crash), opts: opts,
		batch: newBatch(opts.Slots, opts.QueueCapacity), streams: map[string]string{},
		active: map[string]*stream{},
		cache:  cache{limit: opts.CacheCapacity, lag: opts.EventDelay, gap: opts.DropEventEvery},
	}
	e.orders.models = []string{opts.InitialModel}
	return e
}

// Handler serves the engine and its switches.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	e.RegisterAdmin(mux)
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(e.LoadReport()) })
	mux.HandleFunc("PUT /orders", e.order)
	mux.HandleFunc("GET /events", e.events)
	mux.HandleFunc("GET /kv/{prefix}", e.exportKV)
	mux.HandleFunc("PUT /kv/{prefix}", e.importKV)
	mux.HandleFunc("DELETE /streams/{request}", e.cancelStream)
	mux.HandleFunc("POST /", e.generate)
	return mux
}

// Load returns the report, at most ReportLag old.
func (e *Engine) LoadReport() LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := time.Now(); now.Sub(e.report.taken) >= e.opts.ReportMaxAge {
		running, queued := e.batch.counts()
		e.report = LoadReport{
			Running: running, Queued: queued, Slots: e.opts.Slots,
			Models: append([]string(nil), e.orders.models...), Role: e.orders.role, Fence: e.orders.fence, taken: now,
			Leaving: e.Faults().Leaving,
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
	e.EchoHeaders(w, r)
	priority, _ := strconv.Atoi(r.Header.Get(backend.HeaderPriority))
	if f.Refuse || !e.batch.enter(r.Context(), priority) {
		w.Header().Set(backend.HeaderNotStarted, "true")
		http.Error(w, "queue full", http.StatusServiceUnavailable)
		return
	}
	defer e.batch.leave()
	r, running := e.begin(r)
	defer e.end(r, running)
	resume, _ := strconv.ParseInt(r.Header.Get(backend.HeaderResume), 10, 64)
	if resume == 0 {
		e.CountExecution(r)
	}
	if f.CrashOnBody != "" && strings.Contains(string(body), f.CrashOnBody) {
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
		wait += e.opts.PrefillTime
	}
	cut := e.ConsumeFault(func(f *hop.Faults) *int { return &f.TruncateNext })
	enc := json.NewEncoder(w)
	flush := http.NewResponseController(w)
	for off := resume; off < int64(len(text)); {
		if !sleep(r, wait+e.opts.TokenInterval) {
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
	for b.Len() < e.opts.ResponseTokens*tokenBytes {
		fmt.Fprintf(&b, "t%04d ", b.Len())
	}
	e.streams[id] = b.String()
	return e.streams[id]
}

// hit reports whether the prompt's prefix is cached, and caches it.
func (e *Engine) hit(prompt string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.use(prefixOf(prompt), time.Now())
}

// stream is one running answer, to be found by its request's id.
type stream struct{ cancel context.CancelFunc }

// begin makes the answer one that DELETE /streams can cancel.
func (e *Engine) begin(r *http.Request) (*http.Request, *stream) {
	ctx, cancel := context.WithCancel(r.Context())
	s := &stream{cancel}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active[r.Header.Get(backend.HeaderRequestID)] = s
	return r.WithContext(ctx), s
}

// end forgets s. A resumption of the same request may have taken its place
// while s was ending; it stays.
func (e *Engine) end(r *http.Request, s *stream) {
	s.cancel()
	e.mu.Lock()
	defer e.mu.Unlock()
	id := r.Header.Get(backend.HeaderRequestID)
	if e.active[id] == s {
		delete(e.active, id)
	}
}

// cancelStream ends a running stream without its final mark and frees its slot.
func (e *Engine) cancelStream(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	running, ok := e.active[r.PathValue("request")]
	if !ok {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	running.cancel()
	w.WriteHeader(http.StatusNoContent)
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
