package peer

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"sync"
	"time"

	"bilberrydale/process/clock"
)

// Conn is an authenticated connection to one incarnation of a peer.
type Conn interface {
	// Peer returns the identity that the peer proved in the handshake.
	Peer() Identity
	// Call sends a request and returns the payload of the response. Failures are
	// ErrUnreachable, ErrNoResponse or ErrFailureResponse.
	Call(ctx context.Context, m Method, payload []byte) ([]byte, error)
	// Done returns a channel that is closed when the connection ends.
	Done() <-chan struct{}
	// Err returns why the connection ended; nil while it is open.
	Err() error
	// Close ends the connection.
	Close()
}

// Dispatch executes the calls that arrive on a connection.
type Dispatch func(ctx context.Context, from Identity, m Method, payload []byte) ([]byte, error)

// Dial opens and authenticates a connection to address (host:port). Calls that
// arrive on it go to serve.
type Dial func(ctx context.Context, address string, serve Dispatch) (Conn, error)

// MeshOptions configure a Mesh. Self, Dial, Clock and Rand are required; zero
// durations and bounds get the defaults.
type MeshOptions struct {
	Self  Identity
	Dial  Dial
	Clock clock.Clock
	Rand  clock.Rand // for the jitter of the backoff
	// MinBackoff and MaxBackoff bound the backoff after failed dials; defaults
	// 100 ms and 5 s.
	MinBackoff, MaxBackoff time.Duration
	// MaxPeers bounds the number of known peers; further ones are ignored.
	// Default 4096.
	MaxPeers int
}

// setDefaults replaces durations and bounds that are not positive.
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

// Mesh implements Link over connections. It dials on demand, keeps one
// connection per peer and direction, and knows the peers that were passed to
// AddPeer or that connected to this host.
type Mesh struct {
	opts MeshOptions

	mu          sync.Mutex // guards the fields below and the peerStates
	handlers    map[Method]Handler
	peers       map[string]*peerState // by host name
	sortedPeers []Identity            // peers sorted by host; nil: has to be rebuilt
	onConnect   func(Identity)        // nil: none; set before the mesh starts
	closed      bool                  // Close was called
}

// peerState is the state of a Mesh for one peer. Connections that have ended
// stay until they are replaced.
type peerState struct {
	identity    Identity
	dialed      Conn          // opened by this host
	accepted    Conn          // opened by the peer
	dialing     chan struct{} // closed when the dial in progress ends; nil: none
	failedDials int           // consecutive
	nextDialAt  time.Time     // end of the backoff after failed dials
}

// NewMesh returns a mesh without connections.
func NewMesh(opts MeshOptions) *Mesh {
	opts.setDefaults()
	return &Mesh{opts: opts, handlers: map[Method]Handler{}, peers: map[string]*peerState{}}
}

var _ Link = (*Mesh)(nil)

// Self implements Link.
func (m *Mesh) Self() Identity { return m.opts.Self }

// Peers implements Link. The list is rebuilt when a peer is added, removed or
// restarts, not for each call: requests with stages read it.
func (m *Mesh) Peers() []Identity {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sortedPeers == nil {
		m.sortedPeers = make([]Identity, 0, len(m.peers))
		for _, p := range m.peers {
			m.sortedPeers = append(m.sortedPeers, p.identity)
		}
		sort.Slice(m.sortedPeers, func(i, j int) bool { return m.sortedPeers[i].Host < m.sortedPeers[j].Host })
	}
	return m.sortedPeers
}

// Connected returns the names of the peers with an open connection, sorted.
func (m *Mesh) Connected() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for host, p := range m.peers {
		if p.liveConn() != nil {
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

// OnConnect registers f, which is called with the identity of the peer of each
// new authenticated connection. It must be called before the mesh starts.
func (m *Mesh) OnConnect(f func(Identity)) { m.onConnect = f }

// Dispatch executes a call from a peer with the handler of its method. It is
// the Dispatch function of the mesh's connections.
func (m *Mesh) Dispatch(ctx context.Context, from Identity, method Method, payload []byte) ([]byte, error) {
	m.mu.Lock()
	h := m.handlers[method]
	m.mu.Unlock()
	if h == nil {
		return nil, errors.New(noHandlerText + string(method))
	}
	return h(ctx, from, payload)
}

// AddPeer adds or updates a peer that another source reported. An older
// incarnation than the known one is ignored: the report is outdated.
func (m *Mesh) AddPeer(id Identity) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addPeerLocked(id)
}

// addPeerLocked is AddPeer with the lock held. It returns nil for this host and
// when the mesh has MaxPeers peers.
func (m *Mesh) addPeerLocked(id Identity) *peerState {
	if id.Host == "" || id.Host == m.opts.Self.Host {
		return nil
	}
	p := m.peers[id.Host]
	if p == nil {
		if len(m.peers) >= m.opts.MaxPeers {
			return nil
		}
		p = &peerState{identity: id}
		m.peers[id.Host] = p
		m.sortedPeers = nil
	}
	if id.Incarnation > p.identity.Incarnation {
		p.identity = id
		m.sortedPeers = nil
		p.failedDials, p.nextDialAt = 0, time.Time{}
	}
	return p
}

// RemovePeer removes a peer and closes its connections.
func (m *Mesh) RemovePeer(host string) {
	m.mu.Lock()
	p := m.peers[host]
	delete(m.peers, host)
	m.sortedPeers = nil
	m.mu.Unlock()
	if p != nil {
		closeConn(p.dialed)
		closeConn(p.accepted)
	}
}

// closeConn closes c, which may be nil.
func closeConn(c Conn) {
	if c != nil {
		c.Close()
	}
}

// AddAccepted adds an authenticated connection that a peer opened.
func (m *Mesh) AddAccepted(c Conn) { m.installConn(c, func(p *peerState) *Conn { return &p.accepted }) }

// installConn replaces and closes the earlier connection of the same direction,
// which slot returns: a peer opens a new one because it abandoned the older. It
// reports whether c was installed. Otherwise c is closed: it is of an older
// incarnation, the peer cannot be added or the mesh is closed.
func (m *Mesh) installConn(c Conn, slot func(*peerState) *Conn) bool {
	id := c.Peer()
	m.mu.Lock()
	p := m.addPeerLocked(id)
	if p == nil || m.closed || id.Incarnation < p.identity.Incarnation {
		m.mu.Unlock()
		c.Close()
		return false
	}
	current := slot(p)
	old := *current
	*current = c
	p.failedDials, p.nextDialAt = 0, time.Time{}
	onConnect := m.onConnect
	m.mu.Unlock()
	closeConn(old)
	if onConnect != nil {
		onConnect(id)
	}
	return true
}

// Call implements Link.
func (m *Mesh) Call(ctx context.Context, host string, method Method, in, out any) error {
	payload, err := Marshal(in)
	if err != nil {
		return fmt.Errorf("encode %s: %w", method, err)
	}
	c, err := m.connect(ctx, host)
	if err != nil {
		return err
	}
	response, err := c.Call(ctx, method, payload)
	if err != nil {
		return fmt.Errorf("%s to %s: %w", method, host, err)
	}
	if out == nil {
		return nil
	}
	return Unmarshal(response, out)
}

// connect returns an open connection to the newest known incarnation of host.
// It dials if there is none, or waits for a dial in progress. The error is always
// an ErrUnreachable: no byte of the call has been sent.
func (m *Mesh) connect(ctx context.Context, host string) (Conn, error) {
	for {
		m.mu.Lock()
		p := m.peers[host]
		if p == nil || m.closed {
			m.mu.Unlock()
			return nil, fmt.Errorf("%w: %s is not known", ErrUnreachable, host)
		}
		if c := p.liveConn(); c != nil {
			m.mu.Unlock()
			return c, nil
		}
		if wait := p.nextDialAt.Sub(m.opts.Clock.Now()); wait > 0 {
			m.mu.Unlock()
			return nil, fmt.Errorf("%w: %s: next dial in %s", ErrUnreachable, host, wait)
		}
		pending := p.dialing
		if pending == nil {
			p.dialing = make(chan struct{})
		}
		m.mu.Unlock()
		if pending == nil {
			return m.dialForWaiters(ctx, p)
		}
		select {
		case <-pending:
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: %s: %w", ErrUnreachable, host, ctx.Err())
		}
	}
}

// liveConn returns an open connection to the current incarnation, preferably one
// that this host dialed; nil if there is none.
func (p *peerState) liveConn() Conn {
	for _, c := range []Conn{p.dialed, p.accepted} {
		if c == nil || c.Peer().Incarnation != p.identity.Incarnation {
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

// dialForWaiters dials p and then wakes the callers that wait for this dial. The
// caller has set p.dialing.
func (m *Mesh) dialForWaiters(ctx context.Context, p *peerState) (Conn, error) {
	defer func() {
		m.mu.Lock()
		close(p.dialing)
		p.dialing = nil
		m.mu.Unlock()
	}()
	return m.dialPeer(ctx, p)
}

// dialPeer opens a connection to the current incarnation of p and installs it.
func (m *Mesh) dialPeer(ctx context.Context, p *peerState) (Conn, error) {
	m.mu.Lock()
	want := p.identity
	m.mu.Unlock()
	c, err := m.opts.Dial(ctx, want.Address, m.Dispatch)
	if err != nil {
		m.recordFailedDial(p)
		return nil, fmt.Errorf("%w: %s: %w", ErrUnreachable, want.Host, err)
	}
	if got := c.Peer().Host; got != want.Host {
		// The address was reassigned to another entry host.
		m.installConn(c, func(p *peerState) *Conn { return &p.dialed })
		m.recordFailedDial(p)
		return nil, fmt.Errorf("%w: %s: %s answers at %s", ErrUnreachable, want.Host, got, want.Address)
	}
	if !m.installConn(c, func(p *peerState) *Conn { return &p.dialed }) {
		return nil, fmt.Errorf("%w: %s: an older incarnation answers", ErrUnreachable, want.Host)
	}
	return c, nil
}

// recordFailedDial sets the backoff before the next dial. It doubles with each
// failure, which limits the cost of a dead peer, and is jittered, so that the
// other hosts do not all dial a recovered peer at once.
func (m *Mesh) recordFailedDial(p *peerState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p.failedDials++
	wait := m.opts.MinBackoff << min(p.failedDials-1, 10)
	wait = min(wait, m.opts.MaxBackoff)
	wait = time.Duration((0.5 + m.opts.Rand.Float64()/2) * float64(wait))
	p.nextDialAt = m.opts.Clock.Now().Add(wait)
}

// Reconnect opens a new connection to host regardless of the state of the
// current one, and returns nil when the peer authenticated itself on it. The
// handshake is a response of the peer's process, so nil is evidence that the
// host is alive.
func (m *Mesh) Reconnect(ctx context.Context, host string) error {
	m.mu.Lock()
	p := m.peers[host]
	m.mu.Unlock()
	if p == nil {
		return fmt.Errorf("%w: %s is not known", ErrUnreachable, host)
	}
	_, err := m.dialPeer(ctx, p)
	return err
}

// DialAddress opens a connection to an address whose entry host is not yet
// known and returns the identity of the host that answers. An address of this
// host itself is no error; the connection is closed.
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
	m.installConn(c, func(p *peerState) *Conn { return &p.dialed })
	return id, nil
}

// Close ends every connection and refuses new ones.
func (m *Mesh) Close() {
	m.mu.Lock()
	m.closed = true
	var conns []Conn
	for _, p := range m.peers {
		conns = append(conns, p.dialed, p.accepted)
	}
	m.mu.Unlock()
	for _, c := range conns {
		closeConn(c)
	}
}
