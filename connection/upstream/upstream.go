// Package upstream is an HTTP/1.1 client for backend servers with persistent connections. It
// never retries a request by itself. Its errors report what a caller has to know before a
// retry: whether any byte of the request may have been sent, and whether the connection had
// been used before.
//
// The transport of net/http is not suitable: it retries some requests silently and does not
// show which connection a response came from. A response that a server sent twice would then
// be taken for the response to the next request.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bilberrydale/connection/httpresponse"
)

// Request is a request to a backend server. It must not be changed after it was sent.
type Request struct {
	Method  string
	URI     string // path and query, sent unchanged
	Host    string // Host header; need not be the address of the server
	Header  http.Header
	Body    [][]byte // in parts; ignored unless HasBody is set
	HasBody bool     // the request has a body, which may be empty
	// NewWork reports that a server that leaves must not get the request.
	NewWork bool
	// WithinRegions reports that the request may pass only through the regions of this host
	// and of the server.
	WithinRegions bool
	// StartedUnixMS is the start of the process that is to get the request, in Unix milliseconds. A
	// process that has started at another time does not get it. 0: any process may.
	StartedUnixMS int64
}

// Error describes a failed request.
type Error struct {
	// Sent reports that a byte of the request may have been sent, so that the server may have
	// run it. If it is false, the request had no effect.
	Sent bool
	// ReusedConn reports that the connection had been used for an earlier request. The cause
	// may then be the connection and not the server.
	ReusedConn bool
	// DialFailed reports that no connection could be opened.
	DialFailed bool
	// Withheld reports that Options.Admit did not admit the request, which says nothing of
	// the server's health. Sent is false then.
	Withheld bool
	// PathFailed reports that this host found no way to any server, so that the failure says
	// nothing of this one. Sent is false then.
	PathFailed bool
	Cause      error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("upstream (sent=%t reused=%t dial=%t): %v", e.Sent, e.ReusedConn, e.DialFailed, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Options configures a Client. Zero values select the defaults.
type Options struct {
	// DialTimeout limits the opening of a connection. Default 300 ms: the round trip between
	// regions takes 40 ms, and a server that does not respond within several of these is
	// treated as down.
	DialTimeout time.Duration
	// TCPUserTimeout closes a connection on which the server acknowledges nothing for this
	// time, neither data nor keep-alive probes: a set TCP_USER_TIMEOUT decides when probes give
	// up, whatever their count. Default 2.5 s: longer than the silences of a second or so in
	// which a server is sound, shorter than clients wait.
	TCPUserTimeout time.Duration
	// DefaultIdleTimeout is how long an idle connection is kept if the server does not specify
	// a time. Default 3 s.
	DefaultIdleTimeout time.Duration
	// ServerIdleTimeout returns the time after which the server closes an idle connection, from
	// the headers of a response; 0: not specified. It may be nil.
	ServerIdleTimeout func(http.Header) time.Duration
	// RequestID returns the id of a request by its headers, which its server repeats in the
	// response; empty: it has none. Two requests with one id are not sent on one connection: a
	// response to the first that arrives once more could not be told from that to the second.
	// RequestID may be nil.
	RequestID func(http.Header) string
	// OnConnect is called for each new connection, with the server's address (host:port). It
	// may be nil.
	OnConnect func(address string)
	// OnDialFailure is called when a server accepts no connection, unless the caller's context
	// has ended. It may be nil.
	OnDialFailure func(address string, err error)
	// OnIdleFailure is called when an idle connection has failed, other than by its end in
	// order. It may be nil.
	OnIdleFailure func(address string)
	// StartRequest returns the request that asks a server when its process started, before req is
	// sent to it, and DecodeStart the answer in Unix milliseconds. If they are nil,
	// Request.StartedUnixMS is ignored.
	StartRequest func(req *Request) *Request
	DecodeStart  func(status int, body []byte) (unixMS int64, err error)
	// Admit is called before each request, those of StartRequest too, when its connection is open
	// and nothing has been written. With an error the request is not sent. Otherwise done is
	// called once: with the head of the response, or nil if none arrives. Admit may be nil.
	Admit func(address string, req *Request) (done func(*Head), err error)
	// Dial opens a TCP connection; nil: that of net.Dialer.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Head is the status and the headers of a response, as told to the Admit function of Options.
type Head struct {
	Status int
	Header http.Header
	SentAt time.Time // when the request was sent
}

// Client sends requests to backend servers and keeps idle connections per address. It is
// safe for concurrent use.
type Client struct {
	opts      Options
	mu        sync.Mutex           // guards pools and their content
	pools     map[string]*idlePool // by address (host:port)
	openConns atomic.Int64         // open connections, idle or in use
	lastConn  atomic.Uint64        // number of the newest connection
}

// idlePool holds the idle connections to one address.
type idlePool struct {
	idle []*conn // most recently used last
}

// New returns a Client without connections.
func New(opts Options) *Client {
	if opts.DialTimeout <= 0 {
		opts.DialTimeout = 300 * time.Millisecond
	}
	if opts.TCPUserTimeout <= 0 {
		opts.TCPUserTimeout = 2500 * time.Millisecond
	}
	if opts.DefaultIdleTimeout <= 0 {
		opts.DefaultIdleTimeout = 3 * time.Second
	}
	if opts.RequestID == nil {
		opts.RequestID = func(http.Header) string { return "" }
	}
	if opts.Admit == nil {
		opts.Admit = func(string, *Request) (func(*Head), error) { return func(*Head) {}, nil }
	}
	if opts.Dial == nil {
		opts.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}
	}
	return &Client{opts: opts, pools: map[string]*idlePool{}}
}

// OpenConnections returns the number of open connections, idle or in use.
func (c *Client) OpenConnections() int64 { return c.openConns.Load() }

// conn is a connection to a backend server.
type conn struct {
	client      *Client
	number      uint64 // counts the connections of the client
	address     string // host:port of the server
	tcp         *net.TCPConn
	out         *httpresponse.Conn // writes to tcp
	head        *headReader        // reads from out
	reader      *bufio.Reader      // reads from head
	responses   int                // responses received on the connection
	requestIDs  requestIDs         // of the requests sent on the connection
	startedAt   int64              // start of the process at its other end, in Unix milliseconds; 0: not asked for
	idleSince   time.Time          // start of the current idle period
	idleTimeout time.Duration      // after which an idle connection is not used any more
	closed      atomic.Bool        // set by close
}

// close closes the connection. Further calls have no effect.
func (k *conn) close() {
	if k.closed.CompareAndSwap(false, true) {
		k.client.openConns.Add(-1)
		_ = k.tcp.Close()
	}
}

// takeIdle removes and returns an idle connection that is still usable and has not carried the
// request ID, or nil if there is none.
func (c *Client) takeIdle(address, requestID string) *conn {
	for {
		k := c.removeIdle(address, requestID)
		if k == nil || time.Since(k.idleSince) < k.idleTimeout && k.idleState() == idleOpen {
			return k
		}
		k.close()
	}
}

// removeIdle removes and returns the most recently used idle connection that has not carried the
// request ID, or nil if there is none.
func (c *Client) removeIdle(address, requestID string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[address]
	if p == nil {
		return nil
	}
	for i, k := range slices.Backward(p.idle) {
		if !k.requestIDs.contains(requestID) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return k
		}
	}
	return nil
}

// putIdle keeps a connection for the next request to its address.
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

// CloseIdle closes the idle connections to an address, for example after a failure of its
// server.
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

// CloseExpired closes connections whose idle timeout has passed, and those that have ended or
// failed. It has to be called periodically.
func (c *Client) CloseExpired() {
	now := time.Now()
	var expired []*conn
	failed := map[string]bool{}
	c.mu.Lock()
	for address, p := range c.pools {
		kept := p.idle[:0]
		for _, k := range p.idle {
			state := k.idleState()
			if state == idleOpen && now.Sub(k.idleSince) < k.idleTimeout {
				kept = append(kept, k)
				continue
			}
			expired = append(expired, k)
			if state == idleFailed {
				failed[address] = true
			}
		}
		p.idle = kept
		if len(kept) == 0 {
			delete(c.pools, address)
		}
	}
	c.mu.Unlock()
	for _, k := range expired {
		k.close()
	}
	if c.opts.OnIdleFailure == nil {
		return
	}
	for address := range failed {
		c.opts.OnIdleFailure(address)
	}
}

// dial opens a connection to address within DialTimeout.
func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, c.opts.DialTimeout)
	defer cancel()
	netConn, err := c.opts.Dial(dialCtx, address)
	if err != nil {
		if c.opts.OnDialFailure != nil && ctx.Err() == nil {
			c.opts.OnDialFailure(address, err)
		}
		return nil, err
	}
	tcpConn := netConn.(*net.TCPConn)
	if err := setTimeouts(tcpConn, c.opts.TCPUserTimeout); err != nil {
		_ = netConn.Close()
		return nil, err
	}
	c.openConns.Add(1)
	if c.opts.OnConnect != nil {
		c.opts.OnConnect(address)
	}
	stream := httpresponse.NewConn(tcpConn)
	head := &headReader{conn: stream}
	return &conn{client: c, number: c.lastConn.Add(1), address: address, tcp: tcpConn, out: stream, head: head, reader: bufio.NewReaderSize(head, 4096)}, nil
}

// Probe opens a connection to a server's address (host:port) and keeps it for the next
// request. The error is that of the attempt to connect; syscall.ECONNREFUSED in its chain
// proves that no process listens there.
func (c *Client) Probe(ctx context.Context, address string) error {
	k, err := c.dial(ctx, address)
	if err != nil {
		return err
	}
	k.idleTimeout = c.opts.DefaultIdleTimeout
	c.putIdle(k)
	return nil
}

// Do sends a request to a server's address (host:port) and returns once the response headers
// have arrived, whatever their status. An error is always an *Error. When ctx ends, the request
// is interrupted, also while the body is read.
func (c *Client) Do(ctx context.Context, address string, req *Request) (*Response, error) {
	k := c.takeIdle(address, c.opts.RequestID(req.Header))
	reused := k != nil
	if k == nil {
		var err error
		if k, err = c.dial(ctx, address); err != nil {
			return nil, &Error{DialFailed: true, Cause: err}
		}
	}
	// A pending read can only be interrupted by a deadline of the connection.
	stopCancel := context.AfterFunc(ctx, func() { _ = k.tcp.SetDeadline(time.Unix(1, 0)) })
	if err := c.checkProcess(k, req); err != nil {
		return nil, c.endUnsent(k, stopCancel, &Error{ReusedConn: reused, Withheld: errors.Is(err, errWithheld), Cause: err})
	}
	resp, body, err := c.roundTrip(k, req)
	if errors.Is(err, errWithheld) {
		return nil, c.endUnsent(k, stopCancel, &Error{ReusedConn: reused, Withheld: true, Cause: err})
	}
	if err != nil {
		stopCancel()
		k.close()
		if ctx.Err() != nil {
			err = fmt.Errorf("%w: %w", ctx.Err(), err)
		}
		return nil, &Error{Sent: true, ReusedConn: reused, Cause: err}
	}
	body.stopCancel, resp.ReusedConn = stopCancel, reused
	return resp, nil
}

// errWithheld means that Options.Admit did not admit a request.
var errWithheld = errors.New("the request is withheld")

// endUnsent ends a connection on which a request was not sent, for the cause that it returns. The
// connection stays open if the request was only withheld.
func (c *Client) endUnsent(k *conn, stopCancel func() bool, cause *Error) *Error {
	if notInterrupted := stopCancel(); !notInterrupted || !cause.Withheld {
		k.close()
		return cause
	}
	if k.idleTimeout == 0 {
		k.idleTimeout = c.opts.DefaultIdleTimeout
	}
	c.putIdle(k)
	return cause
}

// roundTrip sends a request that Options.Admit admits, and reads the response headers.
func (c *Client) roundTrip(k *conn, req *Request) (*Response, *connBody, error) {
	done, err := c.opts.Admit(k.address, req)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", errWithheld, err)
	}
	sentAt := time.Now()
	resp, body, err := c.exchange(k, req)
	if err != nil {
		done(nil)
		return nil, nil, err
	}
	done(&Head{Status: resp.Status, Header: resp.Header, SentAt: sentAt})
	return resp, body, nil
}

// exchange writes a request to the connection and reads the response headers.
func (c *Client) exchange(k *conn, req *Request) (*Response, *connBody, error) {
	httpReq := &http.Request{
		Method: req.Method, Host: req.Host, Header: req.Header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL: opaqueURL(req.URI),
	}
	if _, ok := httpReq.Header["User-Agent"]; !ok {
		httpReq.Header["User-Agent"] = nil // prevents net/http from adding its own
	}
	head, err := encodeHead(httpReq, req)
	if err != nil {
		return nil, nil, fmt.Errorf("write request: %w", err)
	}
	k.requestIDs.add(c.opts.RequestID(req.Header))
	writeResult := k.write(head, req)
	httpResp, err := k.readHead(httpReq)
	if err != nil {
		return nil, nil, err
	}
	k.responses++
	body := &connBody{conn: k, body: httpResp.Body, writeResult: writeResult}
	resp := &Response{
		Status: httpResp.StatusCode, Header: httpResp.Header, BodyEnd: bodyEnd(httpResp), ContentLength: httpResp.ContentLength, Body: body,
		ConnNumber: k.number, ConnPosition: k.responses,
	}
	body.keepAlive = !httpResp.Close && resp.BodyEnd != EndByClose
	k.idleTimeout = c.opts.DefaultIdleTimeout
	if c.opts.ServerIdleTimeout != nil {
		if timeout := c.opts.ServerIdleTimeout(httpResp.Header); timeout > 0 {
			// A request must not be sent while the server closes the connection. The
			// server specifies whole seconds, and the request takes time to arrive.
			k.idleTimeout = max(timeout-time.Second, timeout/2)
		}
	}
	return resp, body, nil
}
