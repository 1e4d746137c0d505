// Package weights is a test double of a weight store. All models have the same
// size, and all readers share one rate limit.
package weights

import (
	"net/http"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// Options configure a Store.
type Options struct {
	ModelBytes     int // size of each model
	BytesPerSecond int // rate limit, shared by all readers
}

// Store is a test double of a weight store. It is safe for concurrent use.
type Store struct {
	opts    Options
	limiter *rate.Limiter
	reads   atomic.Int64 // started reads
}

// chunkBytes is the unit of writes and the burst of the rate limit.
const chunkBytes = 64 << 10

// New returns a Store.
func New(opts Options) *Store {
	return &Store{opts: opts, limiter: rate.NewLimiter(rate.Limit(opts.BytesPerSecond), chunkBytes)}
}

// Reads returns the number of started reads.
func (s *Store) Reads() int64 { return s.reads.Load() }

// Handler serves GET /weights/{model}.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{model}", func(w http.ResponseWriter, r *http.Request) {
		s.reads.Add(1)
		buf := make([]byte, chunkBytes)
		for left := s.opts.ModelBytes; left > 0; left -= chunkBytes {
			n := min(left, chunkBytes)
			if s.limiter.WaitN(r.Context(), n) != nil {
				return
			}
			if _, err := w.Write(buf[:n]); err != nil {
				return
			}
		}
	})
	return mux
}
