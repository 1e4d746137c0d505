package record

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// stuck is an output that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(b)
}

// Nobody reads the output. Requests go on and the lines that do not fit are
// counted; what waited is written when the output takes it again.
func TestSlowOutputBlocksNobody(t *testing.T) {
	g := NewWithT(t)
	out := &stuck{release: make(chan struct{})}
	w := NewAsyncWriter(out)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = w.Run(ctx)
	}()
	l := NewLogger(w, "front-1")
	for i := range 3 * queued {
		l.Info("request", "n", i)
	}
	g.Expect(w.Dropped()).To(BeNumerically(">", queued))
	close(out.release)
	cancel()
	g.Eventually(done, "10s").Should(BeClosed())
	lines := bytes.Split(bytes.TrimSpace(out.got.Bytes()), []byte("\n"))
	g.Expect(len(lines)).To(BeNumerically(">", queued/2))
	for _, line := range lines {
		var fields map[string]any
		g.Expect(json.Unmarshal(line, &fields)).To(Succeed(), string(line))
		g.Expect(fields).To(HaveKeyWithValue("host", "front-1"))
	}
}

func TestLimiterCountsWhatItLeavesOut(t *testing.T) {
	g := NewWithT(t)
	l := &Limiter{PerSecond: 3}
	now := time.Unix(1000, 0)
	allowed := 0
	for range 10 {
		if l.Allow(now) {
			allowed++
		}
	}
	g.Expect(allowed).To(Equal(3))
	g.Expect(l.Suppressed()).To(BeEquivalentTo(7))
	g.Expect(l.Allow(now.Add(time.Second))).To(BeTrue())
}
