package logging

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// blockedOutput blocks writes until release is closed.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (s *blockedOutput) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(b)
}

// The output is blocked. Logging must not block; lines that do not fit are counted, and the
// queued ones are written once the output accepts writes again.
func TestBlockedOutputDoesNotBlockCallers(t *testing.T) {
	g := NewWithT(t)
	out := &blockedOutput{release: make(chan struct{})}
	w := NewAsyncWriter(out)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = w.Run(ctx)
	}()
	l := NewLogger(w, "front-1")
	for i := range 3 * queueLength {
		l.Info("request", "n", i)
	}
	g.Expect(w.Dropped()).To(BeNumerically(">", queueLength))
	close(out.release)
	cancel()
	g.Eventually(done, "10s").Should(BeClosed())
	lines := bytes.Split(bytes.TrimSpace(out.written.Bytes()), []byte("\n"))
	g.Expect(len(lines)).To(BeNumerically(">", queueLength/2))
	for _, line := range lines {
		var fields map[string]any
		g.Expect(json.Unmarshal(line, &fields)).To(Succeed(), string(line))
		g.Expect(fields).To(HaveKeyWithValue("host", "front-1"))
	}
}

func TestLimiterCountsSuppressedLines(t *testing.T) {
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
