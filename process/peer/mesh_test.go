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

// fakeDialer connects to fake peers by address.
type fakeDialer struct {
	mu         sync.Mutex
	identities map[string]peer.Identity
	dials      atomic.Int64
	release    chan struct{} // if set, dials wait until it is closed
	conns      []*fakeConn
}

type fakeConn struct {
	id    peer.Identity
	calls atomic.Int64
	err   error
	once  sync.Once
	done  chan struct{}
}

func (c *fakeConn) Peer() peer.Identity   { return c.id }
func (c *fakeConn) Done() <-chan struct{} { return c.done }
func (c *fakeConn) Err() error            { return nil }
func (c *fakeConn) Close()                { c.once.Do(func() { close(c.done) }) }
func (c *fakeConn) Call(context.Context, peer.Method, []byte) ([]byte, error) {
	c.calls.Add(1)
	return nil, c.err
}

func (d *fakeDialer) dial(_ context.Context, address string, _ peer.Dispatch) (peer.Conn, error) {
	d.dials.Add(1)
	if d.release != nil {
		<-d.release
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	id, ok := d.identities[address]
	if !ok {
		return nil, errors.New("connection refused")
	}
	c := newConn(id)
	d.conns = append(d.conns, c)
	return c, nil
}

func newConn(id peer.Identity) *fakeConn { return &fakeConn{id: id, done: make(chan struct{})} }

func identity(incarnation uint64) peer.Identity {
	return peer.Identity{Host: "bo", Incarnation: incarnation, Address: "bo:1"}
}

func newMesh() (*peer.Mesh, *fakeDialer, *clock.Manual) {
	d, c := &fakeDialer{identities: map[string]peer.Identity{"bo:1": identity(1)}}, clock.NewManual(time.Unix(1, 0))
	m := peer.NewMesh(peer.MeshOptions{
		Self: peer.Identity{Host: "ada", Incarnation: 1}, Dial: d.dial, Clock: c, Rand: clock.NewSeeded(1),
		MinBackoff: time.Second, MaxBackoff: 4 * time.Second,
	})
	return m, d, c
}

func call(m *peer.Mesh) error { return m.Call(context.Background(), "bo", "m", 1, nil) }

func TestConcurrentCallsShareOneDial(t *testing.T) {
	g := NewWithT(t)
	m, d, _ := newMesh()
	g.Expect(call(m)).To(MatchError(peer.ErrUnreachable), "not yet known")
	m.AddPeer(identity(1))
	d.release = make(chan struct{})
	results := make(chan error, 20)
	for range cap(results) {
		go func() { results <- call(m) }()
	}
	close(d.release)
	for range cap(results) {
		g.Expect(<-results).NotTo(HaveOccurred())
	}
	g.Expect(d.dials.Load()).To(BeEquivalentTo(1))
}

// Guards against a dial for each call to a dead peer. After a failed dial, calls
// fail at once until the backoff has passed; it doubles up to a bound.
func TestFailedDialsBackOff(t *testing.T) {
	g := NewWithT(t)
	m, d, c := newMesh()
	m.AddPeer(identity(1))
	delete(d.identities, "bo:1")
	for _, wait := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 4 * time.Second} {
		before := d.dials.Load()
		for range 5 {
			g.Expect(call(m)).To(MatchError(peer.ErrUnreachable))
		}
		g.Expect(d.dials.Load()).To(Equal(before+1), "one dial and then a backoff")
		c.Advance(wait/2 - time.Millisecond) // just below the shortest jittered backoff
		g.Expect(call(m)).To(MatchError(peer.ErrUnreachable))
		g.Expect(d.dials.Load()).To(Equal(before + 1))
		c.Advance(wait)
	}
}

// A host restarts at its old address. A report of the new incarnation must
// replace the connection to the ended process, and an outdated report or
// connection of the old incarnation must not restore it.
func TestNewIncarnationReplacesOld(t *testing.T) {
	g := NewWithT(t)
	m, d, _ := newMesh()
	var seen []uint64
	m.OnConnect(func(id peer.Identity) { seen = append(seen, id.Incarnation) })
	m.AddPeer(identity(1))
	g.Expect(call(m)).To(Succeed())
	d.identities["bo:1"] = identity(2)
	m.AddPeer(identity(2))
	m.AddPeer(identity(1))
	g.Expect(call(m)).To(Succeed())
	g.Expect(d.conns[0].calls.Load()).To(BeEquivalentTo(1))
	g.Expect(d.conns[1].calls.Load()).To(BeEquivalentTo(1))
	old := newConn(identity(1))
	m.AddAccepted(old)
	g.Expect(old.done).To(BeClosed(), "a connection of the old incarnation is refused")
	g.Expect(m.Peers()).To(Equal([]peer.Identity{identity(2)}))
	g.Expect(seen).To(Equal([]uint64{1, 2}))
}

func TestAcceptedConnectionIsUsed(t *testing.T) {
	g := NewWithT(t)
	m, d, _ := newMesh()
	c := newConn(identity(1))
	m.AddAccepted(c)
	g.Expect(call(m)).To(Succeed())
	g.Expect(c.calls.Load()).To(BeEquivalentTo(1))
	g.Expect(d.dials.Load()).To(BeZero())
	second := newConn(identity(1))
	m.AddAccepted(second)
	g.Expect(c.done).To(BeClosed(), "the peer abandoned the older connection")
	second.err = peer.ErrNoResponse
	g.Expect(call(m)).To(MatchError(peer.ErrNoResponse))
	g.Expect(m.Reconnect(context.Background(), "bo")).To(Succeed())
	g.Expect(call(m)).To(Succeed(), "the fresh connection is preferred")
}

// Guards against a call that reaches another host than intended because the
// address was reassigned.
func TestAddressReusedByAnotherHost(t *testing.T) {
	g := NewWithT(t)
	m, d, _ := newMesh()
	m.AddPeer(identity(1))
	d.identities["bo:1"] = peer.Identity{Host: "cy", Incarnation: 7, Address: "bo:1"}
	g.Expect(call(m)).To(MatchError(peer.ErrUnreachable))
	g.Expect(d.conns[0].calls.Load()).To(BeZero())
	g.Expect(m.Peers()).To(HaveLen(2))
	m.Close()
	g.Expect(d.conns[0].done).To(BeClosed())
	g.Expect(call(m)).To(MatchError(peer.ErrUnreachable))
}

// The list of peers follows each addition, restart and removal, and a list that
// a caller holds is not modified by later changes.
func TestPeerListReflectsEachChange(t *testing.T) {
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
