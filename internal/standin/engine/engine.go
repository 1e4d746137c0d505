// Package engine is a test double of a model engine. It implements continuous
// batching with a limited number of slots and priorities, streams that can be
// resumed at an offset, a prefix cache of limited size, a delayed load report, and
// orders with or without fencing.
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

// Options configure an Engine. New uses default values if Slots, QueueCapacity,
// ResponseTokens or CacheCapacity are zero.
type Options struct {
	Name           string
	Slots          int           // sequences that run at the same time
	QueueCapacity  int           // sequences that may wait; further ones are refused as not started
	PrefillTime    time.Duration // time to the first token if the prefix is not cached
	TokenInterval  time.Duration // time between tokens
	ResponseTokens int           // tokens of each response
	ReportMaxAge   time.Duration // age at which the load report is renewed
	CacheCapacity  int           // prompt prefixes
	EnforceFencing bool          // refuse orders with a stale fencing number
	InitialModel   string        // model loaded at the start
	OrderDuration  time.Duration // time to apply an accepted order
	EventDelay     time.Duration // age at which a cache event is published
	DropEventEvery int           // drop every nth cache event; 0: none
	WeightStoreURL string        // base URL of the weight store; empty: models load immediately
	Crash          func()        // ends the server; called on a request that matches hop.Faults.CrashOnBody
}

// Engine is a test double of a model engine. It is safe for concurrent use.
type Engine struct {
	*hop.Server
	opts  Options
	batch *batch

	mu            sync.Mutex         // guards the fields below
	responseTexts map[string]string  // complete text by request and stage, for resumption
	activeStreams map[string]*stream // running streams by request id
	cache         cache
	cachedReport  LoadReport
	orderState    orderState
}

// LoadReport is the load that the engine reports on GET /load.
type LoadReport struct {
	Running   int      `json:"running"`
	Queued    int      `json:"queued"`
	Slots     int      `json:"slots"`
	Models    []string `json:"models"` // loaded models
	Role      string   `json:"role"`
	Fence     uint64   `json:"fence"`             // highest fencing number received
	Leaving   bool     `json:"leaving,omitempty"` // the server will leave; it still accepts work
	createdAt time.Time
}

// New returns an engine, whose initial model is loaded from the start.
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
		batch: newBatch(opts.Slots, opts.QueueCapacity), responseTexts: map[string]string{},
		activeStreams: map[string]*stream{},
		cache:         cache{capacity: opts.CacheCapacity, eventDelay: opts.EventDelay, dropEvery: opts.DropEventEvery},
	}
	e.orderState.models = []string{opts.InitialModel}
	return e
}

// Handler serves the engine's API and its fault injection.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	e.RegisterAdmin(mux)
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(e.LoadReport()) })
	mux.HandleFunc("PUT /orders", e.handleOrder)
	mux.HandleFunc("GET /events", e.handleEvents)
	mux.HandleFunc("GET /kv/{prefix}", e.handleExportKV)
	mux.HandleFunc("PUT /kv/{prefix}", e.handleImportKV)
	mux.HandleFunc("DELETE /streams/{request}", e.handleCancelStream)
	mux.HandleFunc("POST /", e.handleGenerate)
	return e.Pausing(mux)
}

// LoadReport returns a load report that is at most ReportMaxAge old.
func (e *Engine) LoadReport() LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := time.Now(); now.Sub(e.cachedReport.createdAt) >= e.opts.ReportMaxAge {
		running, queued := e.batch.counts()
		e.cachedReport = LoadReport{
			Running: running, Queued: queued, Slots: e.opts.Slots,
			Models: append([]string(nil), e.orderState.models...), Role: e.orderState.role, Fence: e.orderState.fence, createdAt: now,
			Leaving: e.Faults().Leaving,
		}
	}
	return e.cachedReport
}

// handleGenerate serves one sequence: it waits for a slot and streams the response.
func (e *Engine) handleGenerate(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	f := e.Faults()
	e.EchoHeaders(w, r)
	priority, _ := strconv.Atoi(r.Header.Get(backend.HeaderPriority))
	if f.Refuse || !e.batch.acquire(r.Context(), priority) {
		w.Header().Set(backend.HeaderNotStarted, "true")
		http.Error(w, "queue full", http.StatusServiceUnavailable)
		return
	}
	defer e.batch.release()
	r, running := e.registerStream(r)
	defer e.unregisterStream(r, running)
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
	e.streamResponse(w, r, string(body), resume, f)
}

// streamResponse sends the response text from offset resume, one token per chunk.
func (e *Engine) streamResponse(w http.ResponseWriter, r *http.Request, prompt string, resume int64, f hop.Faults) {
	id := r.Header.Get(backend.HeaderRequestID) + "/" + r.Header.Get(backend.HeaderStage)
	text := e.responseText(id, prompt)
	if resume > int64(len(text)) {
		http.Error(w, "resume offset is past the end of the response", http.StatusRequestedRangeNotSatisfiable)
		return
	}
	wait := f.Delay
	if resume == 0 && !e.touchPrefix(prompt) {
		wait += e.opts.PrefillTime
	}
	truncate := e.ConsumeFault(func(f *hop.Faults) *int { return &f.TruncateNext })
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
		if truncate && off > int64(len(text))/2 {
			panic(http.ErrAbortHandler)
		}
	}
	_ = enc.Encode(backend.Chunk{Offset: int64(len(text)), Final: true})
}

// tokenBytes is the number of bytes of one generated token.
const tokenBytes = 6

// responseText returns the complete response. It is the same for all resumptions of
// a request.
func (e *Engine) responseText(id, prompt string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if t, ok := e.responseTexts[id]; ok {
		return t
	}
	var b strings.Builder
	fmt.Fprintf(&b, "answer of %s to %s (%d bytes): ", e.Name, id, len(prompt))
	for b.Len() < e.opts.ResponseTokens*tokenBytes {
		fmt.Fprintf(&b, "t%04d ", b.Len())
	}
	e.responseTexts[id] = b.String()
	return e.responseTexts[id]
}

// touchPrefix caches the prefix of the prompt and reports whether it was already
// cached.
func (e *Engine) touchPrefix(prompt string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.touch(promptPrefix(prompt), time.Now())
}

// stream is one running response, which cancel ends.
type stream struct{ cancel context.CancelFunc }

// registerStream makes the response cancelable by DELETE /streams. The returned
// request has the context that is canceled.
func (e *Engine) registerStream(r *http.Request) (*http.Request, *stream) {
	ctx, cancel := context.WithCancel(r.Context())
	s := &stream{cancel}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.activeStreams[r.Header.Get(backend.HeaderRequestID)] = s
	return r.WithContext(ctx), s
}

// unregisterStream removes s. While s was ending, a resumption of the same request
// may have replaced it; that one stays registered.
func (e *Engine) unregisterStream(r *http.Request, s *stream) {
	s.cancel()
	e.mu.Lock()
	defer e.mu.Unlock()
	id := r.Header.Get(backend.HeaderRequestID)
	if e.activeStreams[id] == s {
		delete(e.activeStreams, id)
	}
}

// handleCancelStream ends a running stream without a final chunk and frees its
// slot.
func (e *Engine) handleCancelStream(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	running, ok := e.activeStreams[r.PathValue("request")]
	if !ok {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	running.cancel()
	w.WriteHeader(http.StatusNoContent)
}

// sleep waits for d. It returns false if the request ends first.
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
