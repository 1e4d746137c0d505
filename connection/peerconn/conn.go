// Package peerconn implements connections between two entry hosts. Each connection starts with
// a handshake in which both ends prove that they have the shared secret. After it the ends
// exchange frames of bounded length: requests of either end, their responses, which are matched
// by id, and pings. The pings distinguish an idle connection from an unresponsive one.
package peerconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"bilberrydale/process/peer"
)

// Errors that end a connection. Use errors.Is.
var (
	// ErrUnresponsive means that no byte arrived for Options.ReadTimeout. The connection may
	// have failed while the peer works.
	ErrUnresponsive = errors.New("peerconn: connection is unresponsive")
	// ErrIdle means that there was no call in either direction for Options.IdleTimeout.
	ErrIdle = errors.New("peerconn: connection was idle")
	// ErrClosed means that Close was called on this end.
	ErrClosed = errors.New("peerconn: closed")
)

// errTooManyCalls is the response to a call, which did not run, when MaxHandlers handlers of the peer are running.
var errTooManyCalls = errors.New(peer.TooManyCallsText)

// Options configures connections. Zero values except Self and Secret are replaced by defaults.
type Options struct {
	Self   peer.Identity
	Secret []byte // shared by all entry hosts of the deployment
	// MaxFrameBytes is the maximum size of a sent or received frame; default 4 MB.
	MaxFrameBytes int
	// MaxHandlers is the maximum number of the peer's calls that run concurrently on a
	// connection; default 64.
	MaxHandlers      int
	HandshakeTimeout time.Duration // for the whole handshake, with Dial also for connecting; default 2 s
	PingInterval     time.Duration // between writes while no other frames are sent; default 1 s
	ReadTimeout      time.Duration // without a received byte until the connection is closed; default 3 s
	WriteTimeout     time.Duration // for writing one frame; default 3 s
	IdleTimeout      time.Duration // without a call until the connection is closed; default 2 min
}

// withDefaults returns a copy in which sizes, counts and durations that are not positive are
// replaced by the defaults.
func (o Options) withDefaults() Options {
	setDefault(&o.MaxFrameBytes, 4<<20)
	setDefault(&o.MaxHandlers, 64)
	setDefault(&o.HandshakeTimeout, 2*time.Second)
	setDefault(&o.PingInterval, time.Second)
	setDefault(&o.ReadTimeout, 3*time.Second)
	setDefault(&o.WriteTimeout, 3*time.Second)
	setDefault(&o.IdleTimeout, 2*time.Minute)
	return o
}

// setDefault replaces a value that is not positive by def.
func setDefault[T int | time.Duration](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}

// maxHandlerDuration is the timeout of a handler if the caller sent none or a longer one.
const maxHandlerDuration = 30 * time.Second

// Conn is an authenticated connection to a peer. It implements peer.Conn and is safe for
// concurrent use.
type Conn struct {
	opts             Options
	netConn          net.Conn
	remote           peer.Identity // as the peer proved in the handshake
	dispatch         peer.Dispatch // executes the calls of the peer
	writeToken       chan struct{} // holds one element, which a writer takes while it writes a frame
	handlerSlots     chan struct{} // holds one element per running handler
	nextID           atomic.Uint64 // id of the last call of this end
	lastCallNanos    atomic.Int64  // Unix time of the last call in either direction
	lastWriteNanos   atomic.Int64  // Unix time of the last frame written
	droppedResponses atomic.Int64  // see DroppedResponses

	mu      sync.Mutex             // guards pending, err and the closing of done
	pending map[uint64]chan *frame // calls that wait for their responses, by id
	err     error                  // why the connection ended; nil while it is open
	done    chan struct{}          // closed when the connection ends
}

// Dial connects to address (host:port), performs the handshake and starts the connection. Calls
// of the peer are passed to dispatch. HandshakeTimeout and ctx bound the duration of Dial; ctx
// has no effect on the connection afterwards.
func Dial(ctx context.Context, address string, opts Options, dispatch peer.Dispatch) (*Conn, error) {
	opts = opts.withDefaults()
	ctx, cancel := context.WithTimeout(ctx, opts.HandshakeTimeout)
	defer cancel()
	netConn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial peer: %w", err)
	}
	// The kernel of a stopped process still accepts connections, so only the handshake detects
	// it. The handshake must not take longer than the caller's deadline.
	if deadline, ok := ctx.Deadline(); ok {
		opts.HandshakeTimeout = time.Until(deadline)
	}
	return newConn(netConn, opts, dispatch, dialHandshake)
}

// Accept performs the handshake on an accepted connection and starts it. Calls of the peer are
// passed to dispatch. If the handshake fails, netConn is closed.
func Accept(netConn net.Conn, opts Options, dispatch peer.Dispatch) (*Conn, error) {
	return newConn(netConn, opts.withDefaults(), dispatch, acceptHandshake)
}

// handshakeFunc performs one end's handshake and returns the identity of the other end.
type handshakeFunc func(rw io.ReadWriter, self peer.Identity, secret []byte) (peer.Identity, error)

// newConn performs the handshake on netConn and starts the connection's goroutines. If the
// handshake fails, it closes netConn.
func newConn(netConn net.Conn, opts Options, dispatch peer.Dispatch, handshake handshakeFunc) (*Conn, error) {
	_ = netConn.SetDeadline(time.Now().Add(opts.HandshakeTimeout))
	remote, err := handshake(netConn, opts.Self, opts.Secret)
	if err != nil {
		_ = netConn.Close()
		return nil, fmt.Errorf("peer handshake: %w", err)
	}
	_ = netConn.SetDeadline(time.Time{})
	c := &Conn{
		opts: opts, netConn: netConn, remote: remote, dispatch: dispatch,
		writeToken: make(chan struct{}, 1), handlerSlots: make(chan struct{}, opts.MaxHandlers),
		pending: map[uint64]chan *frame{}, done: make(chan struct{}),
	}
	c.writeToken <- struct{}{}
	c.recordCall()
	go c.readLoop()
	go c.keepAliveLoop()
	return c, nil
}

// Peer returns the identity that the peer proved in the handshake.
func (c *Conn) Peer() peer.Identity { return c.remote }

// Done returns a channel that is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Err returns why the connection ended, or nil.
func (c *Conn) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// DroppedResponses returns the number of responses received after their calls had ended.
func (c *Conn) DroppedResponses() int64 { return c.droppedResponses.Load() }

// Close closes the connection; calls in flight return peer.ErrNoResponse.
func (c *Conn) Close() { c.closeWithError(ErrClosed) }

// closeWithError closes the connection. Only the first call has an effect; its cause becomes
// the result of Err.
func (c *Conn) closeWithError(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return
	}
	c.err = cause
	close(c.done)
	_ = c.netConn.Close()
}

// recordCall restarts the idle timeout.
func (c *Conn) recordCall() { c.lastCallNanos.Store(time.Now().UnixNano()) }

// readLoop reads and handles frames until the connection ends.
func (c *Conn) readLoop() {
	r := bufio.NewReader(&deadlineReader{c.netConn, c.opts.ReadTimeout})
	for {
		data, err := readMessage(r, c.opts.MaxFrameBytes)
		if err != nil {
			c.closeWithError(readError(err))
			return
		}
		f, err := decodeFrame(data)
		if err != nil {
			c.closeWithError(err)
			return
		}
		c.handleFrame(f)
	}
}

// readError adds ErrUnresponsive to the error of a read that reached its deadline.
func readError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("%w: %w", ErrUnresponsive, err)
	}
	return err
}

// deadlineReader applies the timeout to each read rather than to each frame, so that a large
// frame on a slow link does not make the connection count as unresponsive.
type deadlineReader struct {
	conn    net.Conn
	timeout time.Duration
}

// Read implements io.Reader.
func (r *deadlineReader) Read(b []byte) (int, error) {
	if err := r.conn.SetReadDeadline(time.Now().Add(r.timeout)); err != nil {
		return 0, err
	}
	return r.conn.Read(b)
}

// handleFrame starts the handler of a request or delivers a response. It does not block.
func (c *Conn) handleFrame(f *frame) {
	switch f.Kind {
	case framePing:
	case frameRequest:
		c.recordCall()
		c.startHandler(f)
	case frameResponse, frameFailure:
		c.recordCall()
		c.deliverResponse(f)
	}
}

// deliverResponse passes a response to the call with its id. A response without a pending call
// arrived after its caller stopped waiting and is dropped. Ids are never reused, so it cannot
// be mistaken for the response to another call.
func (c *Conn) deliverResponse(f *frame) {
	c.mu.Lock()
	ch, ok := c.pending[f.ID]
	delete(c.pending, f.ID)
	c.mu.Unlock()
	if !ok {
		c.droppedResponses.Add(1)
		return
	}
	ch <- f
}

// startHandler starts the handler of a request, or rejects the request if too many handlers of
// the peer are running. It never waits for a handler: readLoop would stop reading, and the
// connection would appear unresponsive.
func (c *Conn) startHandler(f *frame) {
	select {
	case c.handlerSlots <- struct{}{}:
		go c.runHandler(f)
	default:
		go c.respond(f.ID, nil, errTooManyCalls)
	}
}

// runHandler executes a request within its timeout and sends the response.
func (c *Conn) runHandler(f *frame) {
	defer func() { <-c.handlerSlots }()
	timeout := maxHandlerDuration
	if d := time.Duration(f.TimeoutMillis) * time.Millisecond; d > 0 && d < timeout {
		timeout = d
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	out, err := c.callHandler(ctx, f)
	c.respond(f.ID, out, err)
}

// callHandler calls dispatch and converts a panic into an error, so that a fault in one handler
// does not end the process.
func (c *Conn) callHandler(ctx context.Context, f *frame) (out []byte, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("handler panicked: %v", r)
		}
	}()
	return c.dispatch(ctx, c.remote, peer.Method(f.Method), f.Body)
}

// respond sends the response to a request. If the response exceeds the maximum frame size, it
// sends the error instead, so that the caller does not wait for its deadline.
func (c *Conn) respond(id uint64, body []byte, err error) {
	f := &frame{Kind: frameResponse, ID: id, Body: body}
	if err != nil {
		f.Kind, f.Body = frameFailure, []byte(err.Error())
	}
	if _, err := c.writeFrame(context.Background(), f); errors.Is(err, ErrFrameTooLarge) {
		_, _ = c.writeFrame(context.Background(), &frame{Kind: frameFailure, ID: id, Body: []byte(err.Error())})
	}
}

// Call sends a request and waits for its response or the end of ctx. It returns
// peer.ErrUnreachable if no byte of the request was sent, peer.ErrNoResponse if the peer may
// have received it, and peer.ErrFailureResponse if the peer responded with an error.
func (c *Conn) Call(ctx context.Context, m peer.Method, payload []byte) ([]byte, error) {
	c.recordCall()
	f := &frame{Kind: frameRequest, ID: c.nextID.Add(1), Method: string(m), Body: payload, TimeoutMillis: remainingMillis(ctx)}
	ch := make(chan *frame, 1)
	c.mu.Lock()
	c.pending[f.ID] = ch
	c.mu.Unlock()
	defer c.removePending(f.ID)
	if sent, err := c.writeFrame(ctx, f); err != nil {
		if sent {
			return nil, fmt.Errorf("%w: %w", peer.ErrNoResponse, err)
		}
		return nil, fmt.Errorf("%w: %w", peer.ErrUnreachable, err)
	}
	select {
	case response := <-ch:
		return responseBody(response)
	case <-c.done:
		return nil, fmt.Errorf("%w: %w", peer.ErrNoResponse, c.Err())
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", peer.ErrNoResponse, ctx.Err())
	}
}

// remainingMillis returns the time until the deadline of ctx in milliseconds, between 1 and
// maxHandlerDuration, or 0 if ctx has no deadline.
func remainingMillis(ctx context.Context) uint32 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	remaining := time.Until(deadline).Milliseconds()
	return uint32(min(max(remaining, 1), maxHandlerDuration.Milliseconds()))
}

// responseBody returns the body of a response, or peer.ErrFailureResponse for a failure.
func responseBody(f *frame) ([]byte, error) {
	if f.Kind == frameFailure {
		return nil, peer.FailureResponse(string(f.Body))
	}
	return f.Body, nil
}

// removePending ends the wait for a response.
func (c *Conn) removePending(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// writeFrame writes one frame. sent reports whether any byte of it may have been sent. A failed
// write closes the connection: the peer would read the next frame as the rest of a partly
// written one.
func (c *Conn) writeFrame(ctx context.Context, f *frame) (sent bool, err error) {
	data, err := encodeFrame(f, c.opts.MaxFrameBytes)
	if err != nil {
		return false, err
	}
	select {
	case <-c.writeToken:
	case <-ctx.Done():
		return false, ctx.Err()
	case <-c.done:
		return false, c.Err()
	}
	defer func() { c.writeToken <- struct{}{} }()
	if err := c.Err(); err != nil {
		return false, err
	}
	_ = c.netConn.SetWriteDeadline(time.Now().Add(c.opts.WriteTimeout))
	n, err := c.netConn.Write(data)
	if err != nil {
		c.closeWithError(err)
		return n > 0, err
	}
	c.lastWriteNanos.Store(time.Now().UnixNano())
	return true, nil
}

// keepAliveLoop sends pings while no other frames are sent, and closes the connection when it
// has been idle. Calls in both directions count, since an end must not close a connection that
// only the other end uses.
func (c *Conn) keepAliveLoop() {
	ticker := time.NewTicker(c.opts.PingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.done:
			return
		case now := <-ticker.C:
			c.keepAlive(now)
		}
	}
}

// keepAlive closes the connection if it is idle, or sends a ping if one is due.
func (c *Conn) keepAlive(now time.Time) {
	if now.Sub(time.Unix(0, c.lastCallNanos.Load())) > c.opts.IdleTimeout {
		c.closeWithError(ErrIdle)
		return
	}
	if now.Sub(time.Unix(0, c.lastWriteNanos.Load())) >= c.opts.PingInterval/2 {
		_, _ = c.writeFrame(context.Background(), &frame{Kind: framePing})
	}
}
