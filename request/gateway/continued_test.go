package gateway

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/directory"
	"bilberrydale/process/errkind"
	"bilberrydale/process/residency"
	"bilberrydale/process/streamwriter"
	"bilberrydale/version/plan"
)

// knownWriter is a StreamWriters that knows one writer of all streams.
type knownWriter struct {
	writer    streamwriter.Writer // zero: it is not known
	unsettled streamwriter.Writer // at which no stream may begin
	begun     int
}

func (k *knownWriter) Begin(string, string, streamwriter.Writer, time.Duration) { k.begun++ }

func (k *knownWriter) MayBegin(w streamwriter.Writer) bool { return w != k.unsettled }

func (k *knownWriter) Resolve(context.Context, streamwriter.Query) (streamwriter.Writer, streamwriter.Source, error) {
	if k.writer.IsZero() {
		return k.writer, "", streamwriter.ErrUnknown
	}
	return k.writer, streamwriter.SourceRecord, nil
}

// newStream returns a request on a resumable route to service "s", with servers of two versions:
// two of v1, of which one leaves, and three of v2.
func newStream(t *testing.T, writers *knownWriter) *exchange {
	t.Helper()
	now := time.Unix(1000, 0)
	dir := directory.New()
	var entries []directory.Entry
	for id, version := range map[string]string{"a": "v1", "b": "v1", "c": "v2", "d": "v2", "e": "v2"} {
		entries = append(entries, directory.Entry{ID: id, Service: "s", Version: version, Domain: "r0-a", Slots: 4, Draining: id == "b"})
	}
	dir.Replace(entries, now)
	x := newExchange(dir, now, residency.Set{})
	x.opts.Writers = writers
	x.r = &http.Request{}
	x.route = &plan.Route{Name: "chat", Kind: plan.Stream, Resumable: true, MaxAttempts: 9, Targets: []plan.Target{{Service: "s", Weight: 1}}}
	return x
}

// Guards against a stream that its client takes up and that goes to another version or service, or
// is served although its writer is not known.
func TestTakenUpStreamGoesToItsWriter(t *testing.T) {
	g := NewWithT(t)
	x := newStream(t, &knownWriter{writer: streamwriter.Writer{Service: "s", Version: "v1"}})
	x.clientRequest.LastEventID = "7"
	g.Expect(x.chooseService()).To(Succeed())
	hist := &attemptHistory{tried: serverSet{}}
	g.Expect(x.nextServer(t.Context(), hist).ID).To(Equal("a"))
	g.Expect(x.nextServer(t.Context(), hist)).To(BeNil(), "the other server of its version leaves")
	x.preferredServer = "c"
	g.Expect(x.chooseServer(&attemptHistory{}).ID).To(Equal("a"), "a host of another build chose the target")

	for name, writer := range map[string]streamwriter.Writer{"not known": {}, "another service": {Service: "left", Version: "v1"}} {
		x = newStream(t, &knownWriter{writer: writer})
		x.clientRequest.FirstAttemptID = "9c"
		err := x.chooseService()
		var refused *errkind.Error
		g.Expect(errors.As(err, &refused)).To(BeTrue(), name)
		g.Expect(refused.Kind).To(Equal(errkind.StreamNotContinued), name)
		g.Expect(refused.Ran()).To(Equal(errkind.RanNo), name)
	}
	x = newStream(t, &knownWriter{writer: streamwriter.Writer{Service: "s", Version: "v0"}})
	x.clientRequest.LastEventID = "7"
	g.Expect(x.chooseService()).To(Succeed())
	g.Expect(errkind.From(x.checkServable()).Kind).To(Equal(errkind.NoBackend), "no server of its version is left")
}

// Guards against beginning streams at versions that are about to leave, at the last server of a
// version, or at one that other hosts may not have seen: they could not be taken up there.
func TestStreamsBeginWhereTheyCanEnd(t *testing.T) {
	g := NewWithT(t)
	x := newStream(t, &knownWriter{})
	g.Expect(x.chooseService()).To(Succeed())
	x.opts.Directory.View().Server("c").InFlight.Add(3)
	x.opts.Directory.View().Server("d").InFlight.Add(3)
	x.opts.Directory.View().Server("e").InFlight.Add(2)
	g.Expect(x.chooseServer(&attemptHistory{}).ID).To(Equal("e"), "v1 leaves, and has one server left")
	x.opts.Directory.View().Server("e").InFlight.Add(100)
	x.opts.Directory.View().Server("c").InFlight.Add(100)
	x.opts.Directory.View().Server("d").InFlight.Add(100)
	g.Expect(x.chooseServer(&attemptHistory{}).ID).To(Equal("a"), "v2 has no room")

	x = newStream(t, &knownWriter{unsettled: streamwriter.Writer{Service: "s", Version: "v2"}})
	g.Expect(x.chooseService()).To(Succeed())
	g.Expect(x.chooseServer(&attemptHistory{}).ID).To(Equal("a"))
	x.route.Resumable = false
	x.opts.Directory.View().Server("a").InFlight.Add(100)
	g.Expect(x.chooseServer(&attemptHistory{}).ID).NotTo(Equal("a"), "clients do not take it up")
}
