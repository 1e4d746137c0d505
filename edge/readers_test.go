package edge

import (
	"fmt"
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/directory"
	"bilberrydale/process/peer"
	"bilberrydale/version/plan"
)

// newIdleHost returns a host that is not running, with a processor share, and with other
// hosts of its region in its mesh.
func newIdleHost(t *testing.T, cores float64, others ...peer.Identity) *Host {
	t.Helper()
	p := newTestPlatform(t)
	set := p.settings("front-1")
	set.CPUCores = cores
	h, err := New(Options{Settings: set, LogOutput: io.Discard})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(h.closeListeners)
	secret := "secret"
	h.peerSecret.Store(&secret)
	for i, id := range others {
		id.Host, id.Region, id.Address = fmt.Sprintf("other-%d", i+1), "r", "127.0.0.1:1"
		h.mesh.AddPeer(id)
	}
	return h
}

// markInitialized gives the host a plan and a server.
func (h *Host) markInitialized() {
	h.plan.Store(plan.Compile(plan.Config{Version: 1}))
	h.directory.Replace([]directory.Entry{{ID: "s"}}, time.Now())
}

// Guards against hosts with equal processor shares that wait for each other after a power
// loss: the platform's list contains their earlier processes, which are all older.
func TestInitializingHostReadsOnlyFromStrongerHosts(t *testing.T) {
	g := NewWithT(t)
	before := []peer.Identity{{Cores: 0.8, Incarnation: 1}, {Cores: 0.8, Incarnation: 2}}
	strong := newIdleHost(t, 0.8, before...)
	g.Expect(strong.readers()).To(BeEmpty())
	strong.markInitialized()
	g.Expect(strong.readers()).To(Equal([]string{"other-1", "other-2"}))

	weak := newIdleHost(t, 0.2, before...)
	g.Expect(weak.readers()).To(Equal([]string{"other-1", "other-2"}))
}

// Guards against a region that keeps reading through a stopping host, and has no reader
// once that host has stopped.
func TestStoppingReaderIsNotUsed(t *testing.T) {
	g := NewWithT(t)
	h := newIdleHost(t, 0.2, peer.Identity{Cores: 0.8, Incarnation: 1}, peer.Identity{Cores: 0.8, Incarnation: 2})
	h.markInitialized()
	_, err := h.mesh.Dispatch(t.Context(), h.mesh.Peers()[0], "stages.leave", nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(h.readers()).To(Equal([]string{"other-2"}))
}
