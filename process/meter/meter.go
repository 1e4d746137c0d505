// Package meter holds a process's counters and latency histograms and writes
// them as text, one "name value" a line.
package meter

import (
	"expvar"
	"fmt"
	"io"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms: 10 µs to 60 s, two digits.
const (
	lowest  = int64(10 * time.Microsecond)
	highest = int64(time.Minute)
	digits  = 2
)

// maxHistograms bounds the memory, at about 20 kB each: names of routes come and
// go with the configuration. What is over it is taken together.
const (
	maxHistograms = 256
	overflow      = "others"
)

// Meter is safe for concurrent use.
type Meter struct {
	counters expvar.Map
	gauges   sync.Map // name -> func() float64

	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

// New returns an empty meter.
func New() *Meter { return &Meter{histograms: map[string]*hdrhistogram.Histogram{}} }

// Add adds n to a counter.
func (m *Meter) Add(name string, n int64) { m.counters.Add(name, n) }

// Counter returns a counter's value.
func (m *Meter) Counter(name string) int64 {
	if v, ok := m.counters.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// Gauge registers a value that is read when asked for.
func (m *Meter) Gauge(name string, f func() float64) { m.gauges.Store(name, f) }

// Observe adds a duration to a histogram.
func (m *Meter) Observe(name string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.histograms[name] == nil && len(m.histograms) >= maxHistograms {
		name = overflow
	}
	h := m.histograms[name]
	if h == nil {
		h = hdrhistogram.New(lowest, highest, digits)
		m.histograms[name] = h
	}
	// The value is cut to the range, so that it is always recorded.
	_ = h.RecordValue(min(max(int64(d), lowest), highest))
}

// ServeHTTP implements http.Handler.
func (m *Meter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	m.WriteText(w)
}

var quantiles = []float64{50, 90, 99, 100}

// WriteText writes all values in order of their names. A writer that fails gets
// no more; the next question gets all again.
func (m *Meter) WriteText(w io.Writer) {
	var lines []string
	m.counters.Do(func(kv expvar.KeyValue) { lines = append(lines, kv.Key+" "+kv.Value.String()) })
	m.gauges.Range(func(k, v any) bool {
		lines = append(lines, fmt.Sprintf("%s %g", k, v.(func() float64)()))
		return true
	})
	m.mu.Lock()
	for name, h := range m.histograms {
		lines = append(lines, fmt.Sprintf("%s_count %d", name, h.TotalCount()))
		for _, q := range quantiles {
			v := time.Duration(h.ValueAtPercentile(q))
			lines = append(lines, fmt.Sprintf("%s_p%g_ms %.3f", name, q, float64(v)/float64(time.Millisecond)))
		}
	}
	m.mu.Unlock()
	sort.Strings(lines)
	for _, l := range lines {
		if _, err := fmt.Fprintln(w, l); err != nil {
			return
		}
	}
}
