package entryhost

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrydale/process/membership"
)

// lossyProxy forwards connections to an address and can lose the state of the
// present ones, as a middlebox does: they stay open but carry no more data, while
// new ones work.
type lossyProxy struct {
	net.Listener
	target string

	mu        sync.Mutex
	dropFlags []*atomic.Bool
}

func newLossyProxy() *lossyProxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	return &lossyProxy{Listener: l}
}

func (p *lossyProxy) run(to string) {
	p.target = to
	for {
		in, err := p.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		dropped := &atomic.Bool{}
		p.mu.Lock()
		p.dropFlags = append(p.dropFlags, dropped)
		p.mu.Unlock()
		go forward(in, out, dropped)
		go forward(out, in, dropped)
	}
}

func forward(from io.Reader, to io.Writer, dropped *atomic.Bool) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return // the end is not passed on to the other side
		}
		if !dropped.Load() {
			_, _ = to.Write(buf[:n])
		}
	}
}

// dropConnections stops forwarding on all present connections and returns their
// number.
func (p *lossyProxy) dropConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, dropped := range p.dropFlags {
		dropped.Store(true)
	}
	return len(p.dropFlags)
}

var _ = Describe("a connection between entry hosts whose state a middlebox has lost", func() {
	// Both processes keep the connection open, but no data arrives on it any more;
	// new connections work. The heartbeat on it fails, the peer becomes suspect, a
	// new connection is opened, and the peer is alive again. It must never count as
	// gone, or its work would be taken over while it is running.
	It("is replaced and never makes the peer gone", func() {
		env := newTestEnv()
		e1, _ := env.startPeer("e1", "")
		proxy := newLossyProxy()
		go proxy.run(e1.membership.listener.Addr().String())
		e2, _ := env.startPeer("e2", proxy.Addr().String())
		peerState := func(h *Host, of string) func() membership.State {
			return func() membership.State {
				p, ok := h.membership.view.Lookup(of)
				if !ok {
					return -1
				}
				return p.State
			}
		}
		Eventually(peerState(e2, "e1"), 10*time.Second).Should(Equal(membership.Alive))
		Eventually(peerState(e1, "e2"), 10*time.Second).Should(Equal(membership.Alive))
		var gone atomic.Int64
		for h, of := range map[*Host]string{e1: "e2", e2: "e1"} {
			h.membership.view.OnChange(func() {
				if p, _ := h.membership.view.Lookup(of); p.State == membership.Gone {
					gone.Add(1)
				}
			})
		}
		dropped := proxy.dropConnections()
		Expect(dropped).To(BeNumerically(">", 0))
		checks := func() int64 {
			return e1.membership.monitor.Counters.Checks.Load() + e2.membership.monitor.Counters.Checks.Load()
		}
		Eventually(checks, 15*time.Second).Should(BeNumerically(">", 0))
		received := e1.membership.monitor.Counters.Received.Load()
		Eventually(e1.membership.monitor.Counters.Received.Load, 15*time.Second).Should(BeNumerically(">", received+3))
		Eventually(peerState(e2, "e1"), 10*time.Second).Should(Equal(membership.Alive))
		Eventually(peerState(e1, "e2"), 10*time.Second).Should(Equal(membership.Alive))
		Expect(gone.Load()).To(BeZero())
	})
})
