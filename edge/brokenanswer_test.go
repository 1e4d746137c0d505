package edge

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
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
