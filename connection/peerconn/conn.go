// Package peerconn is one connection between two entry hosts: frames of
// bounded length, a mutual proof of the shared secret before any frame counts,
// requests matched to answers by id, and pings that tell a silent connection
// from an idle one.
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
	// ErrSilent: nothing arrived for the silence limit. It says something
	// about the connection, not about the peer.
	ErrUnresponsive = errors.New("peerconn: connection is silent")
	// ErrIdle: no call used the connection for the idle limit.
	ErrIdle = errors.New("peerconn: connection was idle")
	// ErrClosed: this end closed the connection.
	ErrClosed = errors.New("peerconn: closed")
)

// errBusy is the answer when too many handlers of one peer run.
var errBusy = errors.New("too many calls in flight")

// Options configure connections; zero values get the defaults.
type Options struct {
	Self   peer.Identity
	Secret []byte
	// MaxFrame is the largest frame in bytes; default 4 MB.
	MaxFrameBytes int
	// MaxHandlers is how many calls of one peer run at once; default 64.
	MaxHandlers      int
	HandshakeTimeout time.Duration // for the whole handshake; default 2 s
	PingInterval     time.Duration // between writes on a quiet connection; default 1 s
	ReadTimeout      time.Duration // without a byte before the connection is dropped; default 3 s
	WriteTimeout     time.Duration // for writing one frame; default 3 s
	IdleTimeout      time.Duration // without a call before the connection is closed; default 2 min
}

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

func setDefault[T int | time.Duration](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}

// maxHandlerTime bounds a handler whose caller gave no deadline.
const maxHandlerTime = 30 * time.Second

// Conn is one proven connection; it implements peer.Conn.
type Conn struct {
	opts    Options
	raw     net.Conn
	remote  peer.Identity
	serve   peer.Dispatch
	write   chan struct{} // holds one token: the right to write
	slots   chan struct{} // one a running handler
	nextID  atomic.Uint64
	lastUse atomic.Int64 // unix nanoseconds of the last call either way
	written atomic.Int64 // unix nanoseconds of the last frame sent
	dropped atomic.Int64

	mu      sync.Mutex
	waiting map[uint64]chan *frame
	err     error
	done    chan struct{}
}

// Dial connects to address, proves the secret and starts the connection.
func Dial(ctx context.Context, address string, opts Options, serve peer.Dispatch) (*Conn, error) {
	opts = opts.withDefaults()
	ctx, cancel := context.WithTimeout(ctx, opts.HandshakeTimeout)
	defer cancel()
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial peer: %w", err)
	}
	// A stopped process still has its connections opened by its kernel; only
	// the handshake then tells, and it must not outlast the caller's patience.
	if deadline, ok := ctx.Deadline(); ok {
		opts.HandshakeTimeout = time.Until(deadline)
	}
	return open(raw, opts, serve, dialHandshake)
}

// Accept proves the secret on an accepted connection and starts it.
func Accept(raw net.Conn, opts Options, serve peer.Dispatch) (*Conn, error) {
	return open(raw, opts.withDefaults(), serve, acceptHandshake)
}

type handshake func(rw io.ReadWriter, self peer.Identity, secret []byte) (peer.Identity, error)

func open(raw net.Conn, opts Options, serve peer.Dispatch, shake handshake) (*Conn, error) {
	_ = raw.SetDeadline(time.Now().Add(opts.HandshakeTimeout))
	remote, err := shake(raw, opts.Self, opts.Secret)
	if err != nil {
		_ = raw.Close()
		return nil, fmt.Errorf("peer handshake: %w", err)
	}
	_ = raw.SetDeadline(time.Time{})
	c := &Conn{
		opts: opts, raw: raw, remote: remote, serve: serve,
		write: make(chan struct{}, 1), slots: make(chan struct{}, opts.MaxHandlers),
		waiting: map[uint64]chan *frame{}, done: make(chan struct{}),
	}
	c.write <- struct{}{}
	c.used()
	go c.read()
	go c.watch()
	return c, nil
}

// Peer returns the identity that the other end proved.
func (c *Conn) Peer() peer.Identity { return c.remote }

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Err returns why the connection ended, or nil.
func (c *Conn) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// Dropped returns how many answers arrived that no call waited for.
func (c *Conn) DroppedResponses() int64 { return c.dropped.Load() }

// Close ends the connection; calls in flight get peer.ErrNoResponse.
func (c *Conn) Close() { c.end(ErrClosed) }

func (c *Conn) end(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return
	}
	c.err = cause
	close(c.done)
	_ = c.raw.Close()
}

func (c *Conn) used() { c.lastUse.Store(time.Now().UnixNano()) }

// read takes frames until the connection ends.
func (c *Conn) read() {
	r := bufio.NewReader(&progressReader{c.raw, c.opts.ReadTimeout})
	for {
		data, err := readBlock(r, c.opts.MaxFrameBytes)
		if err != nil {
			c.end(readCause(err))
			return
		}
		f, err := decodeFrame(data)
		if err != nil {
			c.end(err)
			return
		}
		c.take(f)
	}
}

func readCause(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("%w: %w", ErrUnresponsive, err)
	}
	return err
}

// progressReader allows the silence limit for each read rather than for each
// frame: a large frame on a slow link is progress and not silence.
type progressReader struct {
	raw     net.Conn
	silence time.Duration
}

// Read implements io.Reader.
func (p *progressReader) Read(b []byte) (int, error) {
	if err := p.raw.SetReadDeadline(time.Now().Add(p.silence)); err != nil {
		return 0, err
	}
	return p.raw.Read(b)
}

func (c *Conn) take(f *frame) {
	switch f.Kind {
	case framePing:
	case frameRequest:
		c.used()
		c.accept(f)
	case frameResponse, frameFailure:
		c.used()
		c.deliver(f)
	}
}

// deliver hands an answer to its call. An answer that no call waits for came
// after its caller gave up; matching by id alone keeps it from being taken for
// the answer of another call.
func (c *Conn) deliver(f *frame) {
	c.mu.Lock()
	ch, ok := c.waiting[f.ID]
	delete(c.waiting, f.ID)
	c.mu.Unlock()
	if !ok {
		c.dropped.Add(1)
		return
	}
	ch <- f
}

// accept starts the handler of a request, or refuses it when the peer has too
// many running. The reader itself never waits for a handler: a slow one would
// make the connection look silent.
func (c *Conn) accept(f *frame) {
	select {
	case c.slots <- struct{}{}:
		go c.handle(f)
	default:
		go c.answer(f.ID, nil, errBusy)
	}
}

func (c *Conn) handle(f *frame) {
	defer func() { <-c.slots }()
	limit := maxHandlerTime
	if d := time.Duration(f.Millis) * time.Millisecond; d > 0 && d < limit {
		limit = d
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	out, err := c.protected(ctx, f)
	c.answer(f.ID, out, err)
}

// protected keeps a panic of one handler from ending the process: the caller
// gets a refusal instead.
func (c *Conn) protected(ctx context.Context, f *frame) (out []byte, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("handler panicked: %v", r)
		}
	}()
	return c.serve(ctx, c.remote, peer.Method(f.Method), f.Body)
}

func (c *Conn) answer(id uint64, body []byte, err error) {
	f := &frame{Kind: frameResponse, ID: id, Body: body}
	if err != nil {
		f.Kind, f.Body = frameFailure, []byte(err.Error())
	}
	if _, err := c.send(context.Background(), f); errors.Is(err, ErrFrameTooLarge) {
		_, _ = c.send(context.Background(), &frame{Kind: frameFailure, ID: id, Body: []byte(err.Error())})
	}
}

// Call sends a request and waits for its answer. peer.ErrUnreachable means
// that no byte of it left this process.
func (c *Conn) Call(ctx context.Context, m peer.Method, payload []byte) ([]byte, error) {
	c.used()
	f := &frame{Kind: frameRequest, ID: c.nextID.Add(1), Method: string(m), Body: payload, Millis: millis(ctx)}
	ch := make(chan *frame, 1)
	c.mu.Lock()
	c.waiting[f.ID] = ch
	c.mu.Unlock()
	defer c.forget(f.ID)
	if sent, err := c.send(ctx, f); err != nil {
		if sent {
			return nil, fmt.Errorf("%w: %w", peer.ErrNoResponse, err)
		}
		return nil, fmt.Errorf("%w: %w", peer.ErrUnreachable, err)
	}
	select {
	case a := <-ch:
		return result(a)
	case <-c.done:
		return nil, fmt.Errorf("%w: %w", peer.ErrNoResponse, c.Err())
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", peer.ErrNoResponse, ctx.Err())
	}
}

func millis(ctx context.Context) uint32 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	left := time.Until(deadline).Milliseconds()
	return uint32(min(max(left, 1), maxHandlerTime.Milliseconds()))
}

func result(f *frame) ([]byte, error) {
	if f.Kind == frameFailure {
		return nil, fmt.Errorf("%w: %s", peer.ErrRefused, f.Body)
	}
	return f.Body, nil
}

func (c *Conn) forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, id)
}

// send writes one frame; sent tells whether any byte of it may have left. A
// write that fails half way ends the connection, since the next frame would be
// read as the rest of this one.
func (c *Conn) send(ctx context.Context, f *frame) (sent bool, err error) {
	data, err := encodeFrame(f, c.opts.MaxFrameBytes)
	if err != nil {
		return false, err
	}
	select {
	case <-c.write:
	case <-ctx.Done():
		return false, ctx.Err()
	case <-c.done:
		return false, c.Err()
	}
	defer func() { c.write <- struct{}{} }()
	if err := c.Err(); err != nil {
		return false, err
	}
	_ = c.raw.SetWriteDeadline(time.Now().Add(c.opts.WriteTimeout))
	n, err := c.raw.Write(data)
	if err != nil {
		c.end(err)
		return n > 0, err
	}
	c.written.Store(time.Now().UnixNano())
	return true, nil
}

// watch pings on a quiet connection and closes an unused one. The dialing end
// does not know the accepting one's calls, so both count calls of either way.
func (c *Conn) watch() {
	tick := time.NewTicker(c.opts.PingInterval)
	defer tick.Stop()
	for {
		select {
		case <-c.done:
			return
		case now := <-tick.C:
			c.tick(now)
		}
	}
}

func (c *Conn) tick(now time.Time) {
	if now.Sub(time.Unix(0, c.lastUse.Load())) > c.opts.IdleTimeout {
		c.end(ErrIdle)
		return
	}
	if now.Sub(time.Unix(0, c.written.Load())) >= c.opts.PingInterval/2 {
		_, _ = c.send(context.Background(), &frame{Kind: framePing})
	}
}
