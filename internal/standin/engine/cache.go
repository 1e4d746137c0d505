package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxPrefixBytes is the number of bytes of a prompt that identify its prefix.
const maxPrefixBytes = 64

// promptPrefix returns the bytes of a prompt that identify its prefix.
func promptPrefix(prompt string) string { return prompt[:min(maxPrefixBytes, len(prompt))] }

// prefixID returns the identifier of a prefix in events and KV transfers.
func prefixID(prefix string) string { return strconv.FormatUint(xxhash.Sum64String(prefix), 16) }

// CacheEvent is one change of the prefix cache. Seq increases by one with each
// change, so a lost event leaves a gap.
type CacheEvent struct {
	Seq       uint64 `json:"seq"`
	Kind      string `json:"kind"` // stored or evicted
	Prefix    string `json:"prefix"`
	createdAt time.Time
}

// maxRetainedEvents limits the events that are retained for late readers.
const maxRetainedEvents = 1024

// cache holds up to capacity prompt prefixes and evicts the least recently used
// one. Engine.mu guards it.
type cache struct {
	capacity   int
	eventDelay time.Duration // age at which an event is published
	dropEvery  int           // drop every nth event; 0: none
	prefixes   []string      // least recently used first
	events     []CacheEvent
	seq        uint64 // of the last event
}

// touch caches prefix as the most recently used one. It reports whether prefix was
// already cached.
func (c *cache) touch(prefix string, now time.Time) bool {
	if i := slices.Index(c.prefixes, prefix); i >= 0 {
		c.prefixes = append(slices.Delete(c.prefixes, i, i+1), prefix)
		return true
	}
	c.prefixes = append(c.prefixes, prefix)
	c.appendEvent("stored", prefix, now)
	if len(c.prefixes) > c.capacity {
		c.appendEvent("evicted", c.prefixes[0], now)
		c.prefixes = c.prefixes[1:]
	}
	return false
}

// appendEvent records an event, or drops it if its number is a multiple of dropEvery.
func (c *cache) appendEvent(kind, prefix string, now time.Time) {
	c.seq++
	if c.dropEvery > 0 && c.seq%uint64(c.dropEvery) == 0 {
		return
	}
	c.events = append(c.events, CacheEvent{c.seq, kind, prefixID(prefix), now})
	if len(c.events) > maxRetainedEvents {
		c.events = c.events[1:]
	}
}

// publishedAfter returns the events above seq that are old enough to be published.
func (c *cache) publishedAfter(seq uint64, now time.Time) []CacheEvent {
	out := []CacheEvent{}
	for _, e := range c.events {
		if e.Seq > seq && now.Sub(e.createdAt) >= c.eventDelay {
			out = append(out, e)
		}
	}
	return out
}

// handleEvents returns the published cache events with a number above the query
// parameter after.
func (e *Engine) handleEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(e.cache.publishedAfter(after, time.Now()))
}

// handleExportKV returns a cached prefix. After handleImportKV of another engine
// has received it, requests with that prefix need no prefill there.
func (e *Engine) handleExportKV(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.cache.prefixes {
		if prefixID(p) == r.PathValue("prefix") {
			_, _ = w.Write([]byte(p))
			return
		}
	}
	http.Error(w, "prefix is not cached", http.StatusNotFound)
}

// handleImportKV caches the prefix in the body, which must have the id in the path.
func (e *Engine) handleImportKV(w http.ResponseWriter, r *http.Request) {
	buf := make([]byte, maxPrefixBytes+1)
	n, _ := r.Body.Read(buf)
	prefix := string(buf[:n])
	if prefixID(prefix) != r.PathValue("prefix") {
		http.Error(w, "content does not match the prefix id", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.touch(prefix, time.Now())
	w.WriteHeader(http.StatusNoContent)
}
