package faultrun

import (
	"testing"

	. "github.com/onsi/gomega"
)

func chat(token string) *Operation { return &Operation{Token: token, Name: "chat", Repeatable: true} }

// The connection under a stream ends in the middle of the answer. The caller
// notices nothing: the stream goes on from the last chunk on a new connection
// to the same server, which is not asked for the whole answer again.
func TestCutStreamIsResumed(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t, 1, 3)
	for _, s := range w.servers {
		s.cutStream.Store(true)
	}
	a := w.send(0, chat("a"), "")
	g.Expect(a).To(HaveField("Right", true))
	g.Expect(w.host(0).runner.Counters.Resumptions.Load()).To(BeEquivalentTo(1))
}

// The server is gone for good after half of the stream. Another server would
// write another text, and the caller has seen the first half: it gets an end
// without the final mark, and a reason, never something that looks whole.
func TestLostStreamIsToldFromAWholeOne(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t, 1, 1)
	w.servers[0].dieInStream.Store(true)
	a := w.send(0, chat("a"), "")
	g.Expect(a.Whole).To(BeFalse())
	g.Expect(a.Kind).To(Equal("stream_cut"))
	g.Expect(a.Ran).To(Equal(RanUnknown))
}

// A server writes another text when it resumes, as one that has lost the
// stream would. Glued together the halves would be a wrong answer.
func TestChangedStreamIsNotGluedTogether(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t, 1, 1)
	w.servers[0].cutStream.Store(true)
	w.servers[0].change.Store(true)
	a := w.send(0, chat("a"), "")
	g.Expect(a.Whole).To(BeFalse())
	g.Expect(a.Kind).To(Equal("stream_cut"))
}

// An answer ends before its stated length on every server. It is sent again,
// and never passed on as it is.
func TestTruncatedAnswerIsNotPassedOn(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t, 1, 2)
	w.host(0).runner.Options.RetryBurst = 2 * 2 * 10 // each draft below may need a retry of both stages
	w.servers[0].cut.Store(true)
	for range 10 {
		g.Expect(w.send(0, &Operation{Token: "a", Name: "draft", Repeatable: true}, "").Right).To(BeTrue())
	}
	w.servers[1].cut.Store(true)
	a := w.send(0, &Operation{Token: "b", Name: "draft", Repeatable: true}, "")
	g.Expect(a.Whole).To(BeFalse())
	g.Expect(a.Kind).To(Equal("backend_failed"))
}
