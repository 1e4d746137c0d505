package faultrun

import (
	"testing"

	. "github.com/onsi/gomega"
)

func chatOperation(token string) *Operation {
	return &Operation{Token: token, Route: "chat", Repeatable: true}
}

// The connection of a stream closes in the middle of the response. The stream
// resumes after the last chunk on a new connection to the same server, without
// a visible effect for the caller and without repeating the whole response.
func TestInterruptedStreamIsResumed(t *testing.T) {
	g := NewWithT(t)
	env := newEnvironment(t, 1, 3)
	for _, s := range env.servers {
		s.interruptStream.Store(true)
	}
	resp := env.send(0, chatOperation("a"), "")
	g.Expect(resp).To(HaveField("Right", true))
	g.Expect(env.host(0).runner.Counters.Resumptions.Load()).To(BeEquivalentTo(1))
}

// The server crashes after half of the stream. Another server would generate
// another text, and the caller already has the first half: its stream has to end
// with an error and without the final mark.
func TestLostStreamEndsWithoutFinalMark(t *testing.T) {
	g := NewWithT(t)
	env := newEnvironment(t, 1, 1)
	env.servers[0].crashInStream.Store(true)
	resp := env.send(0, chatOperation("a"), "")
	g.Expect(resp.Whole).To(BeFalse())
	g.Expect(resp.Kind).To(Equal("stream_cut"))
	g.Expect(resp.Ran).To(Equal(RanUnknown))
}

// A server resumes a stream with another text, as one that lost the state of the
// stream would. Joining the two parts would give a wrong response.
func TestStreamResumedWithOtherTextIsCut(t *testing.T) {
	g := NewWithT(t)
	env := newEnvironment(t, 1, 1)
	env.servers[0].interruptStream.Store(true)
	env.servers[0].alterResumedStream.Store(true)
	resp := env.send(0, chatOperation("a"), "")
	g.Expect(resp.Whole).To(BeFalse())
	g.Expect(resp.Kind).To(Equal("stream_cut"))
}

// Guards against a stream that a server resumes at another software version: it repeats the last
// chunk as it was, and goes on with another text.
func TestStreamResumedAtOtherVersionIsCut(t *testing.T) {
	g := NewWithT(t)
	env := newEnvironment(t, 1, 1)
	env.servers[0].interruptStream.Store(true)
	env.servers[0].upgradeInStream.Store(true)
	resp := env.send(0, chatOperation("a"), "")
	g.Expect(resp.Whole).To(BeFalse())
	g.Expect(resp.Kind).To(Equal("stream_cut"))
}

// Responses end before their Content-Length, first on one server, then on both.
// The request is retried, and a truncated response is never forwarded.
func TestTruncatedResponseIsNotForwarded(t *testing.T) {
	g := NewWithT(t)
	env := newEnvironment(t, 1, 2)
	env.host(0).runner.Options.RetryBurst = 2 * 2 * 10 // each draft below may need a retry of both stages
	env.servers[0].truncateResponses.Store(true)
	for range 10 {
		g.Expect(env.send(0, &Operation{Token: "a", Route: "draft", Repeatable: true}, "").Right).To(BeTrue())
	}
	env.servers[1].truncateResponses.Store(true)
	resp := env.send(0, &Operation{Token: "b", Route: "draft", Repeatable: true}, "")
	g.Expect(resp.Whole).To(BeFalse())
	g.Expect(resp.Kind).To(Equal("backend_failed"))
}
