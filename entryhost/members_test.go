package entryhost

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrydale/process/member"
)

// peered starts an entry host that knows the peer addresses given.
func (w *world) peered(name string, peers string) (*Host, context.CancelFunc) {
	opts := DefaultOptions()
	opts.Name, opts.Domain, opts.Region, opts.Platform = name, "d1", "r1", w.store.URL
	opts.Listen, opts.Admin, opts.Peer, opts.LogLevel = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "error"
	opts.PeerSecret, opts.Peers = "secret", peers
	ctx, cancel := context.WithCancel(context.Background())
	h, err := New(ctx, opts)
	Expect(err).NotTo(HaveOccurred())
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	stop := sync.OnceFunc(func() {
		cancel()
		Expect(<-done).To(Succeed())
	})
	DeferCleanup(stop)
	return h, stop
}

var _ = Describe("entry hosts as peers", func() {
	It("meet over TCP, see each other drain and end", func() {
		w := newWorld()
		e1, _ := w.peered("e1", "")
		address := e1.members.listener.Addr().String()
		e2, _ := w.peered("e2", address)
		e3, stop := w.peered("e3", address)
		state := func(h *Host, of string) func() member.State {
			return func() member.State {
				p, ok := h.members.view.Lookup(of)
				if !ok {
					return -1
				}
				return p.State
			}
		}
		for _, pair := range []struct {
			h  *Host
			of string
		}{{e1, "e2"}, {e1, "e3"}, {e2, "e1"}, {e2, "e3"}, {e3, "e1"}, {e3, "e2"}} {
			Eventually(state(pair.h, pair.of), 10*time.Second).Should(Equal(member.Alive))
		}
		e2.Drain()
		Eventually(func() bool { p, _ := e1.members.view.Lookup("e2"); return p.Draining }, 10*time.Second).Should(BeTrue())
		stop()
		Eventually(state(e1, "e3"), 10*time.Second).Should(Equal(member.Gone))
		Eventually(state(e2, "e3"), 10*time.Second).Should(Equal(member.Gone))
	})
})
