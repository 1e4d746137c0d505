// Package metrics holds the metrics of a process, which are counters, gauges and latency
// histograms, and writes them as text in lines of the form "name value".
package metrics

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

// Range (in nanoseconds) and precision of the histograms: 10 µs to 60 s with two significant digits.
const (
	minDuration       = int64(10 * time.Microsecond)
	maxDuration       = int64(time.Minute)
	significantDigits = 2
)

// maxHistograms bounds the memory of the histograms, of about 20 kB each, because route
// names change with the configuration. Further names share the histogram overflowName.
const (
	maxHistograms = 256
	overflowName  = "others"
)

// Meter holds the metrics of a process. It is safe for concurrent use.
type Meter struct {
	counters expvar.Map
	gauges   sync.Map // name -> func() float64

	mu         sync.Mutex                         // guards histograms
	histograms map[string]*hdrhistogram.Histogram // by name
}

// New returns a Meter without metrics.
func New() *Meter { return &Meter{histograms: map[string]*hdrhistogram.Histogram{}} }

// Add adds n to the named counter, which starts at 0.
func (m *Meter) Add(name string, n int64) { m.counters.Add(name, n) }

// Counter returns the value of the named counter, or 0 if it does not exist.
func (m *Meter) Counter(name string) int64 {
	if v, ok := m.counters.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// Gauge registers a function that returns the current value of the named gauge, and replaces an
// earlier one of that name. The function is called on each WriteText, possibly concurrently.
func (m *Meter) Gauge(name string, f func() float64) { m.gauges.Store(name, f) }

// Observe records a duration in the named histogram, which is created if needed. Durations outside
// the range of the histograms count as its nearest bound.
func (m *Meter) Observe(name string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.histograms[name] == nil && len(m.histograms) >= maxHistograms {
		name = overflowName
	}
	h := m.histograms[name]
	if h == nil {
		h = hdrhistogram.New(minDuration, maxDuration, significantDigits)
		m.histograms[name] = h
	}
	// The value is clamped to the range, so RecordValue cannot fail.
	_ = h.RecordValue(min(max(int64(d), minDuration), maxDuration))
}

// ServeHTTP implements http.Handler. It responds with the output of WriteText.
func (m *Meter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	m.WriteText(w)
}

// percentiles of each histogram in the output; 100 is the maximum.
var percentiles = []float64{50, 90, 99, 100}

// WriteText writes all metrics, sorted by line: counters and gauges as "name value", and for each
// histogram its count and percentiles (in milliseconds) since the start. It stops at the
// first write error; the next call writes everything again.
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
		for _, p := range percentiles {
			v := time.Duration(h.ValueAtPercentile(p))
			lines = append(lines, fmt.Sprintf("%s_p%g_ms %.3f", name, p, float64(v)/float64(time.Millisecond)))
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
