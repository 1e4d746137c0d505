package entryhost

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrydale/process/member"
)

// middlebox forwards connections to an address and can lose track of those it
// has: they stay open and carry nothing more, while new ones work.
type middlebox struct {
	net.Listener
	to string

	mu        sync.Mutex
	forgotten []*atomic.Bool
}

func newMiddlebox() *middlebox {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	return &middlebox{Listener: l}
}

func (m *middlebox) run(to string) {
	m.to = to
	for {
		in, err := m.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", m.to)
		if err != nil {
			_ = in.Close()
			continue
		}
		lost := &atomic.Bool{}
		m.mu.Lock()
		m.forgotten = append(m.forgotten, lost)
		m.mu.Unlock()
		go forward(in, out, lost)
		go forward(out, in, lost)
	}
}

func forward(from io.Reader, to io.Writer, lost *atomic.Bool) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return // the other side does not learn of the end
		}
		if !lost.Load() {
			_, _ = to.Write(buf[:n])
		}
	}
}

// forget loses every present connection and returns how many there were.
func (m *middlebox) forget() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, lost := range m.forgotten {
		lost.Store(true)
	}
	return len(m.forgotten)
}

var _ = Describe("a connection between entry hosts that something in between has forgotten", func() {
	// Both processes keep the connection open and nothing arrives on it any
	// more; new connections work. The heartbeat on it fails, the peer becomes
	// suspect, a fresh connection is opened, and the peer is alive again. At no
	// moment may it be gone, or its work would be taken over while it lives.
	It("is replaced and never makes the peer gone", func() {
		w := newWorld()
		e1, _ := w.peered("e1", "")
		box := newMiddlebox()
		go box.run(e1.members.listener.Addr().String())
		e2, _ := w.peered("e2", box.Addr().String())
		see := func(h *Host, of string) func() member.State {
			return func() member.State {
				p, ok := h.members.view.Lookup(of)
				if !ok {
					return -1
				}
				return p.State
			}
		}
		Eventually(see(e2, "e1"), 10*time.Second).Should(Equal(member.Alive))
		Eventually(see(e1, "e2"), 10*time.Second).Should(Equal(member.Alive))
		var gone atomic.Int64
		for h, of := range map[*Host]string{e1: "e2", e2: "e1"} {
			h.members.view.OnChange(func() {
				if p, _ := h.members.view.Lookup(of); p.State == member.Gone {
					gone.Add(1)
				}
			})
		}
		before := box.forget()
		Expect(before).To(BeNumerically(">", 0))
		checks := func() int64 {
			return e1.members.monitor.Counters.Checks.Load() + e2.members.monitor.Counters.Checks.Load()
		}
		Eventually(checks, 15*time.Second).Should(BeNumerically(">", 0))
		received := e1.members.monitor.Counters.Received.Load()
		Eventually(e1.members.monitor.Counters.Received.Load, 15*time.Second).Should(BeNumerically(">", received+3))
		Eventually(see(e2, "e1"), 10*time.Second).Should(Equal(member.Alive))
		Eventually(see(e1, "e2"), 10*time.Second).Should(Equal(member.Alive))
		Expect(gone.Load()).To(BeZero())
	})
})
