package edge

import (
	"runtime"
	"testing"
	"weak"

	. "github.com/onsi/gomega"

	"bilberrydale/version/plan"
)

// Guards against a host that exceeds its memory limit while streams are open and versions of a large
// configuration come in quick succession: each stream kept the whole version that it began with.
func TestOpenStreamsKeepNoReplacedConfiguration(t *testing.T) {
	g, p, h := newTestHost(t)
	release := p.holdStreams(t, "model-1")
	got := make(chan clientResponse, 1)
	go func() { got <- p.send(h, "POST", "/stream/stream/1", "x") }()
	g.Eventually(func() int { return len(p.runs("model")) }, "10s").Should(Equal(1))

	replaced := weak.Make(h.plan.Load())
	other := weak.Make(h.plan.Load().Match("soap.example", "/status/1"))
	p.config.Version++
	p.store.PutConfig(p.config)
	g.Eventually(func() int64 { return h.plan.Load().Version }, "10s").Should(Equal(p.config.Version))
	g.Eventually(func() *plan.Plan { runtime.GC(); return replaced.Value() }, "10s").Should(BeNil())
	g.Expect(other.Value()).To(BeNil(), "another route of that version")

	release()
	var s clientResponse
	g.Eventually(got, "10s").Should(Receive(&s))
	g.Expect(s.err).NotTo(HaveOccurred())
}
