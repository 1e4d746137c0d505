package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const prefixBytes = 64

func prefixOf(prompt string) string { return prompt[:min(prefixBytes, len(prompt))] }

// prefixID names a prefix in events and in KV transfers.
func prefixID(prefix string) string { return strconv.FormatUint(xxhash.Sum64String(prefix), 16) }

// Event is one change of the prefix cache. Seq rises by one for each change;
// an event that is lost leaves a gap.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Kind   string `json:"kind"` // stored or evicted
	Prefix string `json:"prefix"`
	at     time.Time
}

// maxEvents bounds the events kept for readers that come late.
const maxEvents = 1024

// cache keeps the least recently used prefixes within limit. Engine.mu guards it.
type cache struct {
	limit    int
	lag      time.Duration
	gap      int
	prefixes []string // the least recently used first
	events   []CacheEvent
	seq      uint64
}

// use reports whether prefix is cached and makes it the most recent.
func (c *cache) use(prefix string, now time.Time) bool {
	if i := slices.Index(c.prefixes, prefix); i >= 0 {
		c.prefixes = append(slices.Delete(c.prefixes, i, i+1), prefix)
		return true
	}
	c.prefixes = append(c.prefixes, prefix)
	c.emit("stored", prefix, now)
	if len(c.prefixes) > c.limit {
		c.emit("evicted", c.prefixes[0], now)
		c.prefixes = c.prefixes[1:]
	}
	return false
}

func (c *cache) emit(kind, prefix string, now time.Time) {
	c.seq++
	if c.gap > 0 && c.seq%uint64(c.gap) == 0 {
		return
	}
	c.events = append(c.events, CacheEvent{c.seq, kind, prefixID(prefix), now})
	if len(c.events) > maxEvents {
		c.events = c.events[1:]
	}
}

// after returns the events above seq that are old enough to be published.
func (c *cache) after(seq uint64, now time.Time) []CacheEvent {
	out := []CacheEvent{}
	for _, e := range c.events {
		if e.Seq > seq && now.Sub(e.at) >= c.lag {
			out = append(out, e)
		}
	}
	return out
}

func (e *Engine) events(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(e.cache.after(after, time.Now()))
}

// exportKV gives the cached prefix; importKV of another engine takes it, and
// the next request with it needs no prefill there.
func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.cache.prefixes {
		if prefixID(p) == r.PathValue("prefix") {
			_, _ = w.Write([]byte(p))
			return
		}
	}
	http.Error(w, "not cached", http.StatusNotFound)
}

func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	buf := make([]byte, prefixBytes+1)
	n, _ := r.Body.Read(buf)
	prefix := string(buf[:n])
	if prefixID(prefix) != r.PathValue("prefix") {
		http.Error(w, "content does not match its id", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.use(prefix, time.Now())
	w.WriteHeader(http.StatusNoContent)
}
