package objectwatch

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/clock"
	"bilberrydale/process/peer"
)

// largeSource is a source with as many entries as a large fleet has servers.
type largeSource struct{ *api }

func (m largeSource) List(ctx context.Context, after string) (Response[string], error) {
	resp, err := m.api.List(ctx, after)
	for i := range 3000 {
		resp.Objects = append(resp.Objects, object(fmt.Sprintf("server-%04d", i), Revision(i), fmt.Sprintf("service=recipe-model address=10.0.%d.%d:8540 domain=khomas-a state=ready", i/250, i%250)))
	}
	resp.Objects = append(resp.Objects, Object[string]{Name: "unreadable", Err: errors.New("no such state")})
	return resp, err
}

// Guards against a reader whose network link is saturated for seconds while the hosts of
// its region start together and request thousands of servers: each response is a fraction
// of the entries' size, and it is produced once for all hosts.
func TestLargeListIsCompressedOnce(t *testing.T) {
	g := NewWithT(t)
	w := &memoryLink{handlers: map[peer.Method]peer.Handler{}}
	now := clock.NewManual(time.Unix(1000, 0))
	reader := newFollower(largeSource{&api{value: "1", rev: 5}}, now)
	reader.Serve(w, "k")
	g.Expect(reader.step(t.Context())).To(Succeed())
	sendRequest := func(q peerRequest) []byte {
		payload, err := peer.Marshal(q)
		g.Expect(err).NotTo(HaveOccurred())
		response, err := w.handlers[peerMethod("k")](t.Context(), peer.Identity{}, payload)
		g.Expect(err).NotTo(HaveOccurred())
		return response
	}
	plain, small := sendRequest(peerRequest{List: true}), sendRequest(peerRequest{List: true, AcceptsCompressed: true})
	g.Expect(len(small)).To(BeNumerically("<", len(plain)/5))
	first := &reader.history.compressed.bytes[0]
	sendRequest(peerRequest{List: true, AcceptsCompressed: true})
	g.Expect(&reader.history.compressed.bytes[0]).To(BeIdenticalTo(first), "produced once")

	source := &PeerSource[string]{Kind: "k", Link: w, Clock: now, MaxAge: maxAge, APIUnresponsive: func() bool { return false }, Readers: func() []string { return []string{"reader"} }}
	resp, err := source.List(t.Context(), "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.responseBytes.Load()).To(BeNumerically("<", len(plain)/5))
	g.Expect(resp.Objects).To(HaveLen(3002))
	g.Expect(resp.Objects).To(ContainElement(object("a", 5, "1")))
	g.Expect(resp.Objects).To(ContainElement(Object[string]{Name: "unreadable", Err: errors.New("no such state")}))
}

// Guards against a starting host that gets a list from before a change.
func TestCompressedListIsRenewedAfterChanges(t *testing.T) {
	r := newPeerFixture(t)
	r.g.Expect(r.step(r.reader)).To(Succeed())
	for _, value := range []string{"2", "3"} {
		_, err := r.source.List(t.Context(), "")
		r.g.Expect(err).NotTo(HaveOccurred())
		r.api.value, r.api.rev = value, r.api.rev+1
		r.g.Expect(r.step(r.reader)).To(Succeed())
		resp, err := r.source.List(t.Context(), "")
		r.g.Expect(err).NotTo(HaveOccurred())
		r.g.Expect(resp.Objects[0].Value).To(Equal(value))
	}
}

// Guards against decoding a truncated list as an empty one.
func TestTruncatedCompressedListIsRejected(t *testing.T) {
	g := NewWithT(t)
	list, err := compress(encode([]Object[string]{object("a", 5, "1")}))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = decompress[string](list[:len(list)-2])
	g.Expect(err).To(HaveOccurred())
}

// Guards against a reader that exceeds its memory limit as all hosts of its region get a large
// version of the configuration: it encoded one for each.
func TestLargeChangeIsCompressedOnce(t *testing.T) {
	r := newPeerFixture(t)
	r.g.Expect(r.step(r.reader)).To(Succeed())
	large := strings.Repeat("route to a service with stages, ", minCompressedBytes)
	for revision, value := range []string{"small", large, large + "changed"} {
		from := r.api.rev
		r.api.value, r.api.rev = value, r.api.rev+1
		r.g.Expect(r.step(r.reader)).To(Succeed())
		var sent []byte
		for _, behind := range []Revision{0, 1} {
			resp, err := r.source.Watch(t.Context(), from-behind, 0)
			r.g.Expect(err).NotTo(HaveOccurred())
			r.g.Expect(resp.Objects).To(Equal([]Object[string]{object("a", r.api.rev, value)}))
			r.g.Expect(resp.AsOf).To(Equal(r.api.rev))
			if revision == 0 {
				r.g.Expect(r.reader.history.lastSent.bytes).To(BeNil(), "small changes go as they are")
				break
			}
			r.g.Expect(r.link.responseBytes.Load()).To(BeNumerically("<", len(large)/5))
			if sent == nil {
				sent = r.reader.history.lastSent.bytes
			}
			r.g.Expect(&r.reader.history.lastSent.bytes[0]).To(BeIdenticalTo(&sent[0]), "produced once")
		}
	}
}

// Guards against a response that a host of an earlier build cannot read.
func TestLargeChangeIsPlainWhereCompressionIsNotAccepted(t *testing.T) {
	r := newPeerFixture(t)
	r.g.Expect(r.step(r.reader)).To(Succeed())
	r.api.value, r.api.rev = strings.Repeat("x", 2*minCompressedBytes), r.api.rev+1
	r.g.Expect(r.step(r.reader)).To(Succeed())
	var reply peerResponse[string]
	r.g.Expect(r.link.Call(t.Context(), "reader", peerMethod("k"), peerRequest{From: r.api.rev - 1, MaxAgeUS: maxAge.Microseconds()}, &reply)).To(Succeed())
	r.g.Expect(reply.Compressed).To(BeEmpty())
	r.g.Expect(reply.Objects).To(Equal(encode([]Object[string]{object("a", r.api.rev, r.api.value)})))
}
