package follow

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/clock"
	"bilberrydale/process/peer"
)

// many is a source of as many entries as a large fleet has servers.
type many struct{ *api }

func (m many) List(ctx context.Context, after string) (Response[string], error) {
	a, err := m.api.List(ctx, after)
	for i := range 3000 {
		a.Objects = append(a.Objects, object(fmt.Sprintf("server-%04d", i), Revision(i), fmt.Sprintf("service=recipe-model address=10.0.%d.%d:8540 domain=khomas-a state=ready", i/250, i%250)))
	}
	a.Objects = append(a.Objects, Object[string]{Name: "unreadable", Err: errors.New("no such state")})
	return a, err
}

// Guards against a reader whose link is full for seconds while the hosts of its region
// begin together and ask it for thousands of servers: what one of them gets is a
// fraction of the entries' size, and made once for all.
func TestListOfALargeFleetIsSmall(t *testing.T) {
	g := NewWithT(t)
	w := &wire{handlers: map[peer.Method]peer.Handler{}}
	now := clock.NewManual(time.Unix(1000, 0))
	reader := newFollower(many{&api{value: "1", rev: 5}}, now)
	reader.Serve(w, "k")
	g.Expect(reader.step(t.Context())).To(Succeed())
	ask := func(q relayRequest) []byte {
		payload, err := peer.Marshal(q)
		g.Expect(err).NotTo(HaveOccurred())
		answer, err := w.handlers[relayMethod("k")](t.Context(), peer.Identity{}, payload)
		g.Expect(err).NotTo(HaveOccurred())
		return answer
	}
	plain, small := ask(relayRequest{List: true}), ask(relayRequest{List: true, Packs: true})
	g.Expect(len(small)).To(BeNumerically("<", len(plain)/5))
	first := &reader.history.packed.bytes[0]
	ask(relayRequest{List: true, Packs: true})
	g.Expect(&reader.history.packed.bytes[0]).To(BeIdenticalTo(first), "made once")

	relay := &PeerSource[string]{Kind: "k", Link: w, Clock: now, MaxAge: maxAge, APIUnresponsive: func() bool { return false }, Readers: func() []string { return []string{"reader"} }}
	a, err := relay.List(t.Context(), "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.answered.Load()).To(BeNumerically("<", len(plain)/5))
	g.Expect(a.Objects).To(HaveLen(3002))
	g.Expect(a.Objects).To(ContainElement(object("a", 5, "1")))
	g.Expect(a.Objects).To(ContainElement(Object[string]{Name: "unreadable", Err: errors.New("no such state")}))
}

// Guards against a host that begins with a list of before a change.
func TestPackedListFollowsChanges(t *testing.T) {
	r := newRelayed(t)
	r.g.Expect(r.step(r.reader)).To(Succeed())
	for _, value := range []string{"2", "3"} {
		_, err := r.relay.List(t.Context(), "")
		r.g.Expect(err).NotTo(HaveOccurred())
		r.api.value, r.api.rev = value, r.api.rev+1
		r.g.Expect(r.step(r.reader)).To(Succeed())
		a, err := r.relay.List(t.Context(), "")
		r.g.Expect(err).NotTo(HaveOccurred())
		r.g.Expect(a.Objects[0].Value).To(Equal(value))
	}
}

// Guards against taking a list that arrived damaged for an empty one.
func TestDamagedListIsNone(t *testing.T) {
	g := NewWithT(t)
	list, err := pack(encode([]Object[string]{object("a", 5, "1")}))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = unpack[string](list[:len(list)-2])
	g.Expect(err).To(HaveOccurred())
}
