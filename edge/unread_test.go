package edge

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/platform/platformtest"
)

// dialUnread sends a request on a connection with a small window, and reads nothing from it.
func (p *testPlatform) dialUnread(h *Host, path string) net.Conn {
	p.t.Helper()
	conn := p.dial(h, path)
	NewWithT(p.t).Expect(conn.(*net.TCPConn).SetReadBuffer(4 << 10)).To(Succeed())
	p.t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// Guards against a client that does not read its stream: the server would be taken for a failed one, others
// would run the stream again, and the request would last for ever.
func TestStreamThatIsNotReadEndsAtTheServer(t *testing.T) {
	g, p, h := newTestHost(t)
	p.addServer("model-2", "model")
	g.Eventually(func() int { return len(h.directory.View().Servers("model")) }, "10s").Should(Equal(2))
	p.route("resume").Timeout = 60 * time.Second
	p.config.Version++
	p.store.PutConfig(p.config)
	g.Eventually(func() int64 { return h.plan.Load().Version }, "10s").Should(Equal(p.config.Version))
	stopped := make(chan struct{}, 10)
	for _, id := range []string{"model-1", "model-2"} {
		s := p.servers[id]
		s.SetInterceptor(func(w http.ResponseWriter, r *http.Request) bool {
			s.RecordRequest(r)
			platformtest.Sign(w.Header(), "s")
			data := strings.Repeat("x", 16<<10)
			for i := 1; r.Context().Err() == nil; i++ {
				if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, data); err != nil {
					break
				}
			}
			stopped <- struct{}{}
			return true
		})
	}
	p.dialUnread(h, "/stream/resume/1")
	g.Eventually(stopped, "20s").Should(Receive(), "the stream ends at the server")
	g.Eventually(h.activeRequests.Load, "20s").Should(BeZero(), "and at the host")
	g.Expect(p.runs("model")).To(HaveLen(1))
	for _, id := range []string{"model-1", "model-2"} {
		g.Expect(h.directory.View().Server(id).FailureRate(h.clock.Now())).To(BeZero(), id)
	}
}

// Guards against a host that runs out of memory, or serves nobody, as many clients do not read large
// answers. The answers are read from the server all the same, so that its connections are free.
func TestUnreadAnswersAreBounded(t *testing.T) {
	const (
		callers, answerBytes = 20, 8 << 20
		readPath, soundBytes = "/transfer/read", 1 << 20
	)
	g := NewWithT(t)
	p := newTestPlatform(t)
	h := p.startHost("front-1", func(o *Options) { o.Settings.MemoryBytes = smallHostBytes })
	answer := strings.Repeat("x", answerBytes)
	p.servers["ledger-1"].SetInterceptor(func(w http.ResponseWriter, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body) // an error shows in the answer
		platformtest.Sign(w.Header(), "s")
		n := answerBytes
		if r.URL.Path == readPath {
			n = soundBytes
		}
		_, _ = io.WriteString(w, answer[:n])
		return true
	})
	var most int64
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for range callers {
			p.dialUnread(h, "/transfer/1")
		}
	}()
	g.Eventually(ended, "10s").Should(BeClosed())
	served := 0
	for range 20 {
		r := p.send(h, "POST", readPath, "")
		if r.status == http.StatusOK && len(r.body) == soundBytes {
			served++
		}
		most = max(most, h.gateway.Answers().Bytes)
	}
	t.Logf("%d of 20 served, %d MB reserved at most", served, most>>20)
	g.Expect(served).To(Equal(20))
	g.Expect(most).To(BeNumerically("<=", max(smallHostBytes/20, 16<<20+64<<10)))
	g.Eventually(h.activeRequests.Load, "30s").Should(BeZero())
	g.Expect(h.state().AnswerBytes).To(BeZero())
}
