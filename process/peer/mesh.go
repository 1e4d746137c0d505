package peer

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"bilberrydale/process/clock"
)

// Conn is one proven connection to one incarnation of a peer.
type Conn interface {
	Peer() Identity
	// Call returns ErrUnreachable, ErrNoAnswer or ErrRefused on failure.
	Call(ctx context.Context, m Method, payload []byte) ([]byte, error)
	Done() <-chan struct{}
	Err() error
	Close()
}

// Dispatch answers the calls that arrive on a connection.
type Dispatch func(ctx context.Context, from Identity, m Method, payload []byte) ([]byte, error)

// Dial opens and proves a connection to address.
type Dial func(ctx context.Context, address string, serve Dispatch) (Conn, error)

// MeshOptions configure a Mesh; zero values get the defaults.
type MeshOptions struct {
	Self  Identity
	Dial  Dial
	Clock clock.Clock
	Rand  clock.Rand
	// MinBackoff and MaxBackoff bound the wait after failed dials; defaults
	// 100 ms and 5 s.
	MinBackoff, MaxBackoff time.Duration
	// MaxPeers bounds what is remembered; default 4096.
	MaxPeers int
}

func (o *MeshOptions) setDefaults() {
	if o.MinBackoff <= 0 {
		o.MinBackoff = 100 * time.Millisecond
	}
	if o.MaxBackoff <= 0 {
		o.MaxBackoff = 5 * time.Second
	}
	if o.MaxPeers <= 0 {
		o.MaxPeers = 4096
	}
}

// Mesh is the Link over connections: it dials on demand, keeps one connection
// a peer and direction, and knows peers by what Learn and arrivals told it.
type Mesh struct {
	opts MeshOptions

	mu       sync.Mutex
	handlers map[Method]Handler
	peers    map[string]*remote
	list     []Identity // of peers, in order; nil: to be made anew
	onSeen   func(Identity)
	closed   bool
}

// remote is what a Mesh keeps of one peer.
type remote struct {
	identity Identity
	dialed   Conn // opened by this end
	accepted Conn // opened by the peer
	dialing  chan struct{}
	failures int
	notUntil time.Time // no dial before, after failures
}

// NewMesh returns a mesh without connections.
func NewMesh(opts MeshOptions) *Mesh {
	opts.setDefaults()
	return &Mesh{opts: opts, handlers: map[Method]Handler{}, peers: map[string]*remote{}}
}

var _ Link = (*Mesh)(nil)

// Self implements Link.
func (m *Mesh) Self() Identity { return m.opts.Self }

// Peers implements Link. The list is made when a peer comes, goes or restarts, not
// for each call: requests with stages ask for it.
func (m *Mesh) Peers() []Identity {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.list == nil {
		m.list = make([]Identity, 0, len(m.peers))
		for _, r := range m.peers {
			m.list = append(m.list, r.identity)
		}
		sort.Slice(m.list, func(i, j int) bool { return m.list[i].Host < m.list[j].Host })
	}
	return m.list
}

// Connected returns the peers to which there is a live connection, in order.
func (m *Mesh) Connected() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for host, r := range m.peers {
		if r.live() != nil {
			out = append(out, host)
		}
	}
	sort.Strings(out)
	return out
}

// Handle implements Link.
func (m *Mesh) Handle(method Method, h Handler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handlers[method] = h
}

// OnSeen registers f, which is called with each incarnation that proved itself
// on a connection. It is called before the mesh starts.
func (m *Mesh) OnConnect(f func(Identity)) { m.onSeen = f }

// Dispatch answers calls that arrive; connections are given it.
func (m *Mesh) Dispatch(ctx context.Context, from Identity, method Method, payload []byte) ([]byte, error) {
	m.mu.Lock()
	h := m.handlers[method]
	m.mu.Unlock()
	if h == nil {
		return nil, fmt.Errorf("no handler for %s", method)
	}
	return h(ctx, from, payload)
}

// Learn remembers a peer that somebody told of. An older incarnation than the
// known one is ignored: it is news that travelled slowly.
func (m *Mesh) AddPeer(id Identity) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.learn(id)
}

func (m *Mesh) learn(id Identity) *remote {
	if id.Host == "" || id.Host == m.opts.Self.Host {
		return nil
	}
	r := m.peers[id.Host]
	if r == nil {
		if len(m.peers) >= m.opts.MaxPeers {
			return nil
		}
		r = &remote{identity: id}
		m.peers[id.Host] = r
		m.list = nil
	}
	if id.Incarnation > r.identity.Incarnation {
		r.identity = id
		m.list = nil
		r.failures, r.notUntil = 0, time.Time{}
	}
	return r
}

// Forget drops a peer and its connections.
func (m *Mesh) RemovePeer(host string) {
	m.mu.Lock()
	r := m.peers[host]
	delete(m.peers, host)
	m.list = nil
	m.mu.Unlock()
	if r != nil {
		closeConn(r.dialed)
		closeConn(r.accepted)
	}
}

func closeConn(c Conn) {
	if c != nil {
		c.Close()
	}
}

// Accepted takes a proven connection that a peer opened.
func (m *Mesh) AddAccepted(c Conn) { m.install(c, func(r *remote) *Conn { return &r.accepted }) }

// install puts c in the place of an earlier connection of the same direction.
// The peer opened the newer one because it gave up the older.
func (m *Mesh) install(c Conn, slot func(*remote) *Conn) bool {
	id := c.Peer()
	m.mu.Lock()
	r := m.learn(id)
	if r == nil || m.closed || id.Incarnation < r.identity.Incarnation {
		m.mu.Unlock()
		c.Close()
		return false
	}
	at := slot(r)
	old := *at
	*at = c
	r.failures, r.notUntil = 0, time.Time{}
	seen := m.onSeen
	m.mu.Unlock()
	closeConn(old)
	if seen != nil {
		seen(id)
	}
	return true
}

// Call implements Link.
func (m *Mesh) Call(ctx context.Context, host string, method Method, in, out any) error {
	payload, err := Marshal(in)
	if err != nil {
		return fmt.Errorf("encode %s: %w", method, err)
	}
	c, err := m.conn(ctx, host)
	if err != nil {
		return err
	}
	answer, err := c.Call(ctx, method, payload)
	if err != nil {
		return fmt.Errorf("%s to %s: %w", method, host, err)
	}
	if out == nil {
		return nil
	}
	return Unmarshal(answer, out)
}

// conn returns a live connection to the newest known incarnation of host,
// dialing if there is none.
func (m *Mesh) conn(ctx context.Context, host string) (Conn, error) {
	for {
		m.mu.Lock()
		r := m.peers[host]
		if r == nil || m.closed {
			m.mu.Unlock()
			return nil, fmt.Errorf("%w: %s is not known", ErrUnreachable, host)
		}
		if c := r.live(); c != nil {
			m.mu.Unlock()
			return c, nil
		}
		if wait := r.notUntil.Sub(m.opts.Clock.Now()); wait > 0 {
			m.mu.Unlock()
			return nil, fmt.Errorf("%w: %s: next dial in %s", ErrUnreachable, host, wait)
		}
		other := r.dialing
		if other == nil {
			r.dialing = make(chan struct{})
		}
		m.mu.Unlock()
		if other == nil {
			return m.dial(ctx, r)
		}
		select {
		case <-other:
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: %s: %w", ErrUnreachable, host, ctx.Err())
		}
	}
}

func (r *remote) live() Conn {
	for _, c := range []Conn{r.dialed, r.accepted} {
		if c == nil || c.Peer().Incarnation != r.identity.Incarnation {
			continue
		}
		select {
		case <-c.Done():
		default:
			return c
		}
	}
	return nil
}

// dial opens the one connection that other callers wait for.
func (m *Mesh) dial(ctx context.Context, r *remote) (Conn, error) {
	defer func() {
		m.mu.Lock()
		close(r.dialing)
		r.dialing = nil
		m.mu.Unlock()
	}()
	return m.open(ctx, r)
}

func (m *Mesh) open(ctx context.Context, r *remote) (Conn, error) {
	m.mu.Lock()
	want := r.identity
	m.mu.Unlock()
	c, err := m.opts.Dial(ctx, want.Address, m.Dispatch)
	if err != nil {
		m.failed(r)
		return nil, fmt.Errorf("%w: %s: %w", ErrUnreachable, want.Host, err)
	}
	if got := c.Peer().Host; got != want.Host {
		// The address now belongs to another entry host.
		m.install(c, func(r *remote) *Conn { return &r.dialed })
		m.failed(r)
		return nil, fmt.Errorf("%w: %s: %s answers at %s", ErrUnreachable, want.Host, got, want.Address)
	}
	if !m.install(c, func(r *remote) *Conn { return &r.dialed }) {
		return nil, fmt.Errorf("%w: %s: an older incarnation answers", ErrUnreachable, want.Host)
	}
	return c, nil
}

// failed sets the wait before the next dial. It doubles, so that a dead peer
// costs little, and is spread at random, so that a peer that comes back is not
// met by every other at once.
func (m *Mesh) failed(r *remote) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r.failures++
	wait := m.opts.MinBackoff << min(r.failures-1, 10)
	wait = min(wait, m.opts.MaxBackoff)
	wait = time.Duration((0.5 + m.opts.Rand.Float64()/2) * float64(wait))
	r.notUntil = m.opts.Clock.Now().Add(wait)
}

// Fresh opens a new connection to host whatever the state of the present one,
// and returns nil when the peer proved itself on it. The proof is an answer of
// the peer's process, so nil is evidence that the host lives.
func (m *Mesh) Reconnect(ctx context.Context, host string) error {
	m.mu.Lock()
	r := m.peers[host]
	m.mu.Unlock()
	if r == nil {
		return fmt.Errorf("%w: %s is not known", ErrUnreachable, host)
	}
	_, err := m.open(ctx, r)
	return err
}

// Meet opens a connection to an address whose entry host is not yet known.
func (m *Mesh) DialAddress(ctx context.Context, address string) (Identity, error) {
	c, err := m.opts.Dial(ctx, address, m.Dispatch)
	if err != nil {
		return Identity{}, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	id := c.Peer()
	if id.Host == m.opts.Self.Host {
		c.Close()
		return id, nil
	}
	m.install(c, func(r *remote) *Conn { return &r.dialed })
	return id, nil
}

// Close ends every connection and refuses new ones.
func (m *Mesh) Close() {
	m.mu.Lock()
	m.closed = true
	var all []Conn
	for _, r := range m.peers {
		all = append(all, r.dialed, r.accepted)
	}
	m.mu.Unlock()
	for _, c := range all {
		closeConn(c)
	}
}
