// Package weights is a stand-in for the weight store: every model has the same
// size, and all readers share one rate.
package weights

import (
	"net/http"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// Options configure the store.
type Options struct {
	ModelBytes     int // bytes of a model
	BytesPerSecond int // bytes a second, shared by all readers
}

// Store is one stand-in weight store.
type Store struct {
	opts  Options
	limit *rate.Limiter
	reads atomic.Int64
}

const chunk = 64 << 10

// New returns a store.
func New(opts Options) *Store {
	return &Store{opts: opts, limit: rate.NewLimiter(rate.Limit(opts.BytesPerSecond), chunk)}
}

// Reads returns how many reads were begun.
func (s *Store) Reads() int64 { return s.reads.Load() }

// Handler serves GET /weights/{model}.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{model}", func(w http.ResponseWriter, r *http.Request) {
		s.reads.Add(1)
		buf := make([]byte, chunk)
		for left := s.opts.ModelBytes; left > 0; left -= chunk {
			n := min(left, chunk)
			if s.limit.WaitN(r.Context(), n) != nil {
				return
			}
			if _, err := w.Write(buf[:n]); err != nil {
				return
			}
		}
	})
	return mux
}
