package edge

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"bilberrydale/internal/headserver"
	"bilberrydale/platform/platformtest"
)

// longBody is the body of a request that is still being written when its answer comes.
var longBody = strings.Repeat("x", 2<<20)

// newUploadPlatform returns a platform whose hosts take longBody.
func newUploadPlatform(t *testing.T) *testPlatform {
	t.Helper()
	p := newTestPlatform(t)
	p.config.Limits.MaxBodyBytes = int64(len(longBody))
	p.store.PutConfig(p.config)
	return p
}

// Guards against a part of an answer that a client gets for the whole, as the server reset its connection while the
// request was still being written to it.
func TestAnswerThatIsResetDuringAnUploadIsNotToldAsWhole(t *testing.T) {
	t.Parallel()
	const tries = 20
	for path, part := range map[string]string{
		"/transfer/1": "a part", "/stream/stream/1": firstEvents, "/stream/resume/1": firstEvents,
	} {
		for way, startHost := range waysToServers {
			t.Run(path+", "+way, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				p := newUploadPlatform(t)
				h := startHost(p)
				var runs atomic.Int64
				for _, s := range p.servers {
					s.SetObserver(func(w http.ResponseWriter, r *http.Request) bool {
						if r.URL.Path == path {
							runs.Add(1)
							s.RespondEarly(w, func(lines string) string { return "HTTP/1.1 200 OK\r\n" + lines + "\r\n" + part })
						}
						return r.URL.Path == path
					})
				}
				whole := 0
				for range tries {
					r := p.send(h, "POST", path, longBody)
					if r.err == nil && r.status == http.StatusOK {
						whole++
					}
				}
				g.Expect(whole).To(BeZero(), "of %d", tries)
				if path == "/transfer/1" {
					g.Expect(runs.Load()).To(BeNumerically("<=", tries), "it must not run again")
				}
			})
		}
	}
}

// Guards against giving up a sound answer without a length that comes before its request was read.
func TestEarlyAnswerWithoutLengthIsServed(t *testing.T) {
	t.Parallel()
	for way, startHost := range waysToServers {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			p := newUploadPlatform(t)
			h := startHost(p)
			p.servers["ledger-1"].SetObserver(func(w http.ResponseWriter, r *http.Request) bool {
				if r.URL.Path == "/transfer/1" {
					p.servers["ledger-1"].RespondThenRead(w, r, "whole")
				}
				return r.URL.Path == "/transfer/1"
			})
			r := p.send(h, "POST", "/transfer/1", longBody)
			g.Expect(r.err).NotTo(HaveOccurred())
			g.Expect(r.status).To(Equal(http.StatusOK))
			g.Expect(r.body).To(Equal("whole"))
		})
	}
}

// brokenMark stands in the bodies of responses that clients must not get.
const brokenMark = "BROKEN"

// sendTo sends a request whose response, or that to a call for it, has a head and a body.
func (c *cutChecker) sendTo(g *WithT, head headserver.Head, body string) clientResponse {
	c.plan.set(c.reader.before, func(s *platformtest.Server, w http.ResponseWriter) {
		s.RespondRaw(w, func(lines string) (string, bool) {
			return head.Response(lines, strings.ReplaceAll(body, "ADDRESS", s.Address())), false
		})
	})
	r := c.send()
	g.Eventually(c.plan.met, "5s", "1ms").Should(Equal(1))
	return r
}

// Guards against an answer, or a result of a call, whose head is none of HTTP, and against a second run for it.
func TestBrokenHeadIsNotToldAsAnAnswer(t *testing.T) {
	t.Parallel()
	for name, reader := range cutReaders {
		for way, startHost := range waysToServers {
			t.Run(name+", "+way, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				p := newTestPlatform(t)
				c := newCutChecker(g, p, reader, startHost)
				body := reader.body
				if !reader.hidden {
					body = strings.NewReplacer("piece", brokenMark, "the whole answer", brokenMark).Replace(body)
				}
				for what, head := range headserver.Broken {
					ran := len(p.runs("ledger"))
					r := c.sendTo(g, head, body)
					g.Expect(r.body).NotTo(ContainSubstring(brokenMark), what)
					switch {
					case reader.hidden:
						c.checkHidden(g, r, false, what)
					case name == "unsafe":
						g.Expect(r.status).To(Equal(http.StatusBadGateway), what)
						g.Expect(r.body).To(ContainSubstring(`"ran":"unknown"`), what)
						g.Expect(p.runs("ledger")).To(HaveLen(ran), "%s: no other server runs it", what)
					case r.status == http.StatusOK && r.err == nil:
						g.Expect(r.body).To(Or(HavePrefix("answer of "), HaveSuffix(lastEvents)), what)
					}
				}
			})
		}
	}
}

// Guards against giving up an answer, or a result of a call, whose head is odd.
func TestOddHeadIsServed(t *testing.T) {
	t.Parallel()
	for name, reader := range cutReaders {
		for way, startHost := range waysToServers {
			t.Run(name+", "+way, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				c := newCutChecker(g, newTestPlatform(t), reader, startHost)
				for what, head := range headserver.Sound {
					r := c.sendTo(g, head, reader.body)
					if reader.hidden {
						c.checkHidden(g, r, true, what)
						continue
					}
					g.Expect(r.err).NotTo(HaveOccurred(), what)
					g.Expect(r.status).To(Equal(http.StatusOK), what)
					g.Expect(r.body).To(Equal(reader.before+reader.body), what)
				}
			})
		}
	}
}
