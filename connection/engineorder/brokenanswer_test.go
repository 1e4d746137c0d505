package engineorder

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"bilberrydale/internal/headserver"
	"bilberrydale/process/order"
)

// stateBody is the state of an engine.
const stateBody = `{"models":["m/a@1"],"role":"decode","fence":12}`

// Guards against an order that is taken for done, or a state that is believed, by a head that is none of HTTP.
func TestBrokenHeadProvesNothing(t *testing.T) {
	for name, head := range headserver.Broken {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			address := headserver.Serve(t, func(*http.Request) string { return head.Response("", stateBody) })
			err := New(nil).Send(headserver.Context(t), address, order.Order{Fence: 1})
			g.Expect(err).To(HaveOccurred())
			g.Expect(err).NotTo(MatchError(order.ErrStaleFence))
			_, err = New(nil).ReadState(headserver.Context(t), address)
			g.Expect(err).To(HaveOccurred())
		})
	}
}

// Guards against an order or a state that is not believed, as the head is odd.
func TestOddHeadIsBelieved(t *testing.T) {
	for name, head := range headserver.Sound {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			address := headserver.Serve(t, func(*http.Request) string { return head.Response("", stateBody) })
			g.Expect(New(nil).Send(headserver.Context(t), address, order.Order{Fence: 1})).To(Succeed())
			s, err := New(nil).ReadState(headserver.Context(t), address)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(s.Fence).To(BeEquivalentTo(12))
		})
	}
}
