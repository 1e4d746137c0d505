package peer_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/process/clock"
	"bilberrydale/process/peer"
)

// wire is a dialer whose far ends are fake peers by address.
type wire struct {
	mu    sync.Mutex
	at    map[string]peer.Identity
	dials atomic.Int64
	gate  chan struct{} // a dial waits for it, if set
	conns []*fakeConn
}

type fakeConn struct {
	id    peer.Identity
	calls atomic.Int64
	fail  error
	once  sync.Once
	done  chan struct{}
}

func (c *fakeConn) Peer() peer.Identity   { return c.id }
func (c *fakeConn) Done() <-chan struct{} { return c.done }
func (c *fakeConn) Err() error            { return nil }
func (c *fakeConn) Close()                { c.once.Do(func() { close(c.done) }) }
func (c *fakeConn) Call(context.Context, peer.Method, []byte) ([]byte, error) {
	c.calls.Add(1)
	return nil, c.fail
}

func (w *wire) dial(_ context.Context, address string, _ peer.Dispatch) (peer.Conn, error) {
	w.dials.Add(1)
	if w.gate != nil {
		<-w.gate
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	id, ok := w.at[address]
	if !ok {
		return nil, errors.New("connection refused")
	}
	c := newConn(id)
	w.conns = append(w.conns, c)
	return c, nil
}

func newConn(id peer.Identity) *fakeConn { return &fakeConn{id: id, done: make(chan struct{})} }

func bo(incarnation uint64) peer.Identity {
	return peer.Identity{Host: "bo", Incarnation: incarnation, Address: "bo:1"}
}

func newMesh() (*peer.Mesh, *wire, *clock.Manual) {
	w, c := &wire{at: map[string]peer.Identity{"bo:1": bo(1)}}, clock.NewManual(time.Unix(1, 0))
	m := peer.NewMesh(peer.MeshOptions{
		Self: peer.Identity{Host: "ada", Incarnation: 1}, Dial: w.dial, Clock: c, Rand: clock.NewSeeded(1),
		MinBackoff: time.Second, MaxBackoff: 4 * time.Second,
	})
	return m, w, c
}

func call(m *peer.Mesh) error { return m.Call(context.Background(), "bo", "m", 1, nil) }

func TestOneConnectionServesCallersTogether(t *testing.T) {
	g := NewWithT(t)
	m, w, _ := newMesh()
	g.Expect(call(m)).To(MatchError(peer.ErrUnreachable), "not yet known")
	m.AddPeer(bo(1))
	w.gate = make(chan struct{})
	results := make(chan error, 20)
	for range cap(results) {
		go func() { results <- call(m) }()
	}
	close(w.gate)
	for range cap(results) {
		g.Expect(<-results).NotTo(HaveOccurred())
	}
	g.Expect(w.dials.Load()).To(BeEquivalentTo(1))
}

// A peer is dead. Without a wait between dials each call of each part would
// cost a connection attempt; with it, calls fail at once until the wait, which
// doubles up to a bound, is over.
func TestFailedDialsWaitLongerEachTime(t *testing.T) {
	g := NewWithT(t)
	m, w, c := newMesh()
	m.AddPeer(bo(1))
	delete(w.at, "bo:1")
	for _, wait := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 4 * time.Second} {
		before := w.dials.Load()
		for range 5 {
			g.Expect(call(m)).To(MatchError(peer.ErrUnreachable))
		}
		g.Expect(w.dials.Load()).To(Equal(before+1), "one dial and then a wait")
		c.Advance(wait/2 - time.Millisecond) // the shortest that jitter allows
		g.Expect(call(m)).To(MatchError(peer.ErrUnreachable))
		g.Expect(w.dials.Load()).To(Equal(before + 1))
		c.Advance(wait)
	}
}

// A host restarts at its old address. News of it, or its own connection, must
// replace the connection to the process that is gone, and news of the old
// incarnation that travelled slowly must not bring it back.
func TestNewIncarnationReplacesTheOld(t *testing.T) {
	g := NewWithT(t)
	m, w, _ := newMesh()
	var seen []uint64
	m.OnConnect(func(id peer.Identity) { seen = append(seen, id.Incarnation) })
	m.AddPeer(bo(1))
	g.Expect(call(m)).To(Succeed())
	w.at["bo:1"] = bo(2)
	m.AddPeer(bo(2))
	m.AddPeer(bo(1))
	g.Expect(call(m)).To(Succeed())
	g.Expect(w.conns[0].calls.Load()).To(BeEquivalentTo(1))
	g.Expect(w.conns[1].calls.Load()).To(BeEquivalentTo(1))
	old := newConn(bo(1))
	m.AddAccepted(old)
	g.Expect(old.done).To(BeClosed(), "a connection of the old incarnation is refused")
	g.Expect(m.Peers()).To(Equal([]peer.Identity{bo(2)}))
	g.Expect(seen).To(Equal([]uint64{1, 2}))
}

func TestConnectionThatThePeerOpenedIsUsed(t *testing.T) {
	g := NewWithT(t)
	m, w, _ := newMesh()
	c := newConn(bo(1))
	m.AddAccepted(c)
	g.Expect(call(m)).To(Succeed())
	g.Expect(c.calls.Load()).To(BeEquivalentTo(1))
	g.Expect(w.dials.Load()).To(BeZero())
	second := newConn(bo(1))
	m.AddAccepted(second)
	g.Expect(c.done).To(BeClosed(), "the peer gave the older one up")
	second.fail = peer.ErrNoResponse
	g.Expect(call(m)).To(MatchError(peer.ErrNoResponse))
	g.Expect(m.Reconnect(context.Background(), "bo")).To(Succeed())
	g.Expect(call(m)).To(Succeed(), "the fresh connection is preferred")
}

// Another host now answers at the address. A call meant for one host must not
// reach another.
func TestAddressThatNowBelongsToAnotherHost(t *testing.T) {
	g := NewWithT(t)
	m, w, _ := newMesh()
	m.AddPeer(bo(1))
	w.at["bo:1"] = peer.Identity{Host: "cy", Incarnation: 7, Address: "bo:1"}
	g.Expect(call(m)).To(MatchError(peer.ErrUnreachable))
	g.Expect(w.conns[0].calls.Load()).To(BeZero())
	g.Expect(m.Peers()).To(HaveLen(2))
	m.Close()
	g.Expect(w.conns[0].done).To(BeClosed())
	g.Expect(call(m)).To(MatchError(peer.ErrUnreachable))
}

// A peer is told of, restarts and is dropped. Each list of peers shows the state
// of its moment; one that a caller still holds does not change under it.
func TestListOfPeersFollowsEachChange(t *testing.T) {
	g := NewWithT(t)
	m := peer.NewMesh(peer.MeshOptions{Self: peer.Identity{Host: "self"}})
	g.Expect(m.Peers()).To(BeEmpty())
	m.AddPeer(peer.Identity{Host: "b", Incarnation: 1})
	first := m.Peers()
	m.AddPeer(peer.Identity{Host: "a", Incarnation: 1})
	g.Expect(m.Peers()).To(HaveLen(2))
	m.AddPeer(peer.Identity{Host: "b", Incarnation: 2})
	g.Expect(m.Peers()).To(Equal([]peer.Identity{{Host: "a", Incarnation: 1}, {Host: "b", Incarnation: 2}}))
	m.AddPeer(peer.Identity{Host: "b", Incarnation: 1})
	g.Expect(m.Peers()[1].Incarnation).To(BeEquivalentTo(2))
	m.RemovePeer("a")
	g.Expect(m.Peers()).To(HaveLen(1))
	g.Expect(first).To(Equal([]peer.Identity{{Host: "b", Incarnation: 1}}))
}
