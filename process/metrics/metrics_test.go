package metrics

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestWriteTextSortsByName(t *testing.T) {
	g := NewWithT(t)
	m := New()
	m.Add("b", 2)
	m.Add("b", 1)
	m.Gauge("a", func() float64 { return 1.5 })
	for range 100 {
		m.Observe("c", 20*time.Millisecond)
	}
	m.Observe("c", time.Hour)
	var out bytes.Buffer
	m.WriteText(&out)
	g.Expect(out.String()).To(MatchRegexp(`^a 1.5
b 3
c_count 101
c_p100_ms 60[0-9]{3}\.[0-9]{3}
c_p50_ms (19|20)\.[0-9]{3}
c_p90_ms (19|20)\.[0-9]{3}
c_p99_ms (19|20)\.[0-9]{3}
$`))
	g.Expect(m.Counter("b")).To(BeEquivalentTo(3))
	g.Expect(m.Counter("none")).To(BeZero())
}

// Route names come and go over years. The number of histograms must stay bounded.
func TestHistogramsAreBounded(t *testing.T) {
	g := NewWithT(t)
	m := New()
	for i := range 3 * maxHistograms {
		m.Observe(fmt.Sprint(i), time.Millisecond)
	}
	g.Expect(len(m.histograms)).To(Equal(maxHistograms + 1))
	g.Expect(m.histograms[overflowName].TotalCount()).To(BeEquivalentTo(2 * maxHistograms))
}
