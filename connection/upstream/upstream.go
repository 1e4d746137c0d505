// Package upstream sends requests to backend servers over kept HTTP/1.1
// connections. It never repeats a request by itself and tells a caller what it
// must know before it may: whether any byte can have left, and whether the
// connection had served an earlier request.
//
// net/http's own transport is not used for this: it repeats some requests
// silently and hides on which connection an answer came, so that an answer that
// a server sent twice would be taken for the answer to the next request.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Request is one request to a backend server.
type Request struct {
	Method  string
	URI     string // path and query as the client sent them
	Host    string
	Header  http.Header
	Body    []byte
	HasBody bool // a body, though it may be empty
}

// Error is an exchange that failed.
type Error struct {
	// Sent tells that a byte may have left: the server may have run the request.
	Sent bool
	// Reused tells that the connection had served an earlier request, so the
	// failure may be the connection's and not the server's.
	ReusedConn bool
	// Dial tells that no connection could be made.
	DialFailed bool
	Cause      error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("upstream (sent=%t reused=%t dial=%t): %v", e.Sent, e.ReusedConn, e.DialFailed, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Options configure a Client; zero values get the defaults.
type Options struct {
	// DialBound is the time to open a connection. Default 300 ms: 40 ms is the
	// way there and back between regions, and a server that does not answer
	// within several of these is treated as down.
	DialTimeout time.Duration
	// UserTimeout ends a connection whose sent bytes are not acknowledged.
	// Default 2 s: longer than a lost packet's repeats, shorter than clients wait.
	TCPUserTimeout time.Duration
	// IdleDefault is how long a connection is kept where the server does not
	// say; default 3 s.
	DefaultIdleTimeout time.Duration
	// KeepAlive reads the idle time after which the server closes; 0: not said.
	ServerIdleTimeout func(http.Header) time.Duration
	// Opened is called for each new connection.
	OnConnect func(address string)
}

// Client keeps connections to backend servers by address.
type Client struct {
	opts  Options
	mu    sync.Mutex
	pools map[string]*idlePool
	open  atomic.Int64
}

type idlePool struct {
	idle []*conn // the most recently used last
}

// New returns a client without connections.
func New(opts Options) *Client {
	if opts.DialTimeout <= 0 {
		opts.DialTimeout = 300 * time.Millisecond
	}
	if opts.TCPUserTimeout <= 0 {
		opts.TCPUserTimeout = 2 * time.Second
	}
	if opts.DefaultIdleTimeout <= 0 {
		opts.DefaultIdleTimeout = 3 * time.Second
	}
	return &Client{opts: opts, pools: map[string]*idlePool{}}
}

// Open returns the number of open connections.
func (c *Client) OpenConnections() int64 { return c.open.Load() }

type conn struct {
	client      *Client
	address     string
	tcp         *net.TCPConn
	reader      *bufio.Reader
	served      int
	idleSince   time.Time
	idleTimeout time.Duration
	closed      atomic.Bool
}

func (k *conn) close() {
	if k.closed.CompareAndSwap(false, true) {
		k.client.open.Add(-1)
		_ = k.tcp.Close()
	}
}

// take returns an idle connection that still looks sound, or nil.
func (c *Client) takeIdle(address string) *conn {
	for {
		c.mu.Lock()
		p := c.pools[address]
		if p == nil || len(p.idle) == 0 {
			c.mu.Unlock()
			return nil
		}
		k := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		c.mu.Unlock()
		if time.Since(k.idleSince) < k.idleTimeout && k.isReusable() {
			return k
		}
		k.close()
	}
}

// put keeps a connection for the next request.
func (c *Client) putIdle(k *conn) {
	k.idleSince = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[k.address]
	if p == nil {
		p = &idlePool{}
		c.pools[k.address] = p
	}
	p.idle = append(p.idle, k)
}

// Forget closes the idle connections to an address.
func (c *Client) CloseIdle(address string) {
	c.mu.Lock()
	p := c.pools[address]
	delete(c.pools, address)
	c.mu.Unlock()
	if p == nil {
		return
	}
	for _, k := range p.idle {
		k.close()
	}
}

// Sweep closes connections that have been idle for too long; the owner calls
// it from time to time.
func (c *Client) CloseExpired() {
	now := time.Now()
	var old []*conn
	c.mu.Lock()
	for address, p := range c.pools {
		kept := p.idle[:0]
		for _, k := range p.idle {
			if now.Sub(k.idleSince) < k.idleTimeout {
				kept = append(kept, k)
			} else {
				old = append(old, k)
			}
		}
		p.idle = kept
		if len(kept) == 0 {
			delete(c.pools, address)
		}
	}
	c.mu.Unlock()
	for _, k := range old {
		k.close()
	}
}

func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.DialTimeout)
	defer cancel()
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	tcp := raw.(*net.TCPConn)
	if err := setUserTimeout(tcp, c.opts.TCPUserTimeout); err != nil {
		_ = raw.Close()
		return nil, err
	}
	c.open.Add(1)
	if c.opts.OnConnect != nil {
		c.opts.OnConnect(address)
	}
	return &conn{client: c, address: address, tcp: tcp, reader: bufio.NewReaderSize(tcp, 4096)}, nil
}

// Answer is the head of an answer; its body is read by Read. Close must be
// called once.
type Response struct {
	Status int
	Header http.Header
	// Length of the body; negative where the server did not say.
	ContentLength int64
	ReusedConn    bool

	conn        *conn
	body        io.ReadCloser
	stopCancel  func() bool
	complete    bool // the body was read to its marked end
	keepAlive   bool
	writeResult chan error
}

// Do sends a request and returns the head of the answer. The error is an
// *Error. The exchange ends when ctx does, also while the body is read.
func (c *Client) Do(ctx context.Context, address string, q *Request) (*Response, error) {
	k := c.takeIdle(address)
	reused := k != nil
	if k == nil {
		var err error
		if k, err = c.dial(ctx, address); err != nil {
			return nil, &Error{DialFailed: true, Cause: err}
		}
	}
	// The deadline of the connection is the only way to interrupt a read.
	stop := context.AfterFunc(ctx, func() { _ = k.tcp.SetDeadline(time.Unix(1, 0)) })
	a, err := c.roundTrip(k, q)
	if err != nil {
		stop()
		k.close()
		if ctx.Err() != nil {
			err = fmt.Errorf("%w: %w", ctx.Err(), err)
		}
		return nil, &Error{Sent: true, ReusedConn: reused, Cause: err}
	}
	a.stopCancel, a.ReusedConn = stop, reused
	return a, nil
}

// smallBody is written before the answer is awaited: it fits into the smallest
// window, so that the write cannot block on a server that does not read.
const maxSyncWriteBytes = 8 << 10

func (c *Client) roundTrip(k *conn, q *Request) (*Response, error) {
	hr := &http.Request{
		Method: q.Method, Host: q.Host, Header: q.Header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL: opaqueURL(q.URI),
	}
	if q.HasBody {
		hr.Body, hr.ContentLength = io.NopCloser(bytes.NewReader(q.Body)), int64(len(q.Body))
		if len(q.Body) == 0 {
			hr.Body = http.NoBody
		}
	}
	if _, ok := hr.Header["User-Agent"]; !ok {
		hr.Header["User-Agent"] = nil // else net/http adds its own
	}
	var head bytes.Buffer
	if err := hr.Write(&head); err != nil {
		return nil, fmt.Errorf("write request: %w", err)
	}
	written := make(chan error, 1)
	if head.Len() <= maxSyncWriteBytes {
		_, err := k.tcp.Write(head.Bytes())
		written <- err
	} else {
		go func() {
			_, err := k.tcp.Write(head.Bytes())
			written <- err
		}()
	}
	resp, err := c.readResponseHead(k, hr)
	if err != nil {
		return nil, err
	}
	k.served++
	a := &Response{
		Status: resp.StatusCode, Header: resp.Header, ContentLength: resp.ContentLength,
		conn: k, body: resp.Body, writeResult: written,
	}
	a.keepAlive = !resp.Close && (resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0)
	k.idleTimeout = c.opts.DefaultIdleTimeout
	if c.opts.ServerIdleTimeout != nil {
		if said := c.opts.ServerIdleTimeout(resp.Header); said > 0 {
			// A request must not cross the server's close: whole seconds are
			// said, and the way there takes its time.
			k.idleTimeout = max(said-time.Second, said/2)
		}
	}
	return a, nil
}

// readHead skips interim answers (1xx).
func (c *Client) readResponseHead(k *conn, hr *http.Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(k.reader, hr)
		if err != nil {
			return nil, fmt.Errorf("read answer: %w", err)
		}
		if resp.StatusCode >= 200 || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
}

// Read implements io.Reader. io.EOF means that the answer is whole.
func (a *Response) Read(b []byte) (int, error) {
	n, err := a.body.Read(b)
	if errors.Is(err, io.EOF) {
		a.complete = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept only if the answer was read
// to its marked end, nothing follows it and the request was sent whole: a
// server that answered early still expects the rest of that body.
func (a *Response) Close() {
	stopped := a.stopCancel()
	sent := false
	select {
	case err := <-a.writeResult:
		sent = err == nil
	default:
	}
	if stopped && a.complete && a.keepAlive && sent && a.conn.reader.Buffered() == 0 {
		a.conn.client.putIdle(a.conn)
		return
	}
	a.conn.close()
}

// Discard closes the connection whatever the state of the answer.
func (a *Response) Discard() {
	a.keepAlive = false
	a.Close()
}
