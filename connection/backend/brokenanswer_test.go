package backend

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/internal/headserver"
	"bilberrydale/process/serverstate"
)

// wholeStream is the body of a stream.
const wholeStream = `{"offset":0,"data":"abc","final":true}`

// newHeadServer returns a server whose responses have a head, with its state.
func newHeadServer(t *testing.T, head headserver.Head) *serverstate.State {
	address := headserver.Serve(t, func(r *http.Request) string {
		lines := ""
		for _, h := range []string{HeaderRequestID, HeaderStage, HeaderAttempt} {
			lines += h + ": " + r.Header.Get(h) + "\r\n"
		}
		return head.Response(lines, wholeStream)
	})
	return serverstate.NewRegistry().Get("s", address, time.Now())
}

// Guards against a head that is none of HTTP and is taken for an answer of the server, a stream or its health.
func TestBrokenHeadIsNoAnswer(t *testing.T) {
	for name, head := range headserver.Broken {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := newHeadServer(t, head)
			h := NewHTTPClient(patient)
			for range 2 { // the second one must not get what was left of the first
				_, err := h.Do(headserver.Context(t), newCall(s, "a"))
				g.Expect(asError(g, err).Delivery).To(Equal(MaybeSent))
			}
			err := h.Stream(headserver.Context(t), newCall(s, "a"), func(Chunk) error { return nil })
			g.Expect(asError(g, err).Delivery).To(Equal(MaybeSent))
			g.Expect(h.Probe(headserver.Context(t), s)).NotTo(Succeed())
		})
	}
}

// Guards against giving up an answer whose head is odd.
func TestOddHeadIsAnAnswer(t *testing.T) {
	for name, head := range headserver.Sound {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := newHeadServer(t, head)
			h := NewHTTPClient(patient)
			r, err := h.Do(headserver.Context(t), newCall(s, "a"))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(r.Body)).To(Equal(wholeStream))
			g.Expect(h.Stream(headserver.Context(t), newCall(s, "a"), func(Chunk) error { return nil })).To(Succeed())
			g.Expect(h.Probe(headserver.Context(t), s)).To(Succeed())
		})
	}
}
