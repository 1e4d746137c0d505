// Package serverpath chooses the way on which a request reaches a backend server: on a connection
// of this host or, while the host is cut off from all servers, by way of another entry host that
// carries it. Only the way differs. The host that has the request goes on choosing servers,
// counting attempts and keeping limits, quarantines, regions and deadlines; the carrier sends each
// attempt once and passes on what the server answers, or that nothing was sent.
package serverpath

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"syscall"
	"time"

	"bilberrydale/connection/httpresponse"
	"bilberrydale/connection/upstream"
	"bilberrydale/process/clock"
	"bilberrydale/process/peer"
	"bilberrydale/process/reach"
)

// Errors of Client.
var (
	// ErrNoCarrier means that this host is cut off and no other host could send the request.
	// Nothing was sent.
	ErrNoCarrier = errors.New("serverpath: cut off from all servers, and no host carries the request")
	// errNotConfirmed means that a server refuses connections of this host only, or that no
	// other host could tell. It does not show that the server's process has ended.
	errNotConfirmed = errors.New("serverpath: the server refuses connections, which no other host confirms")
)

// Options configures a Client. All fields but Admit are required.
type Options struct {
	Direct *upstream.Client
	Reach  *reach.Tracker
	Link   peer.Link
	Clock  clock.Clock
	// Place returns where the server at an address (host:port) is; empty: not listed.
	Place func(address string) Place
	// Latency returns the one-way network latency between two failure domains.
	Latency func(a, b string) time.Duration
	// Admit is that of upstream.Options, for requests that are carried: the server then answers
	// the carrier, but on behalf of this host.
	Admit func(address string, req *upstream.Request) (done func(*upstream.Head), err error)
}

// Place is the failure domain and the region of a host or server.
type Place struct{ Domain, Region string }

// Client sends requests to backend servers, on its own connections or by way of carriers. It is
// safe for concurrent use.
type Client struct {
	opts     Options
	carriers *carriers
}

// New returns a Client. Run has to be called.
func New(opts Options) *Client {
	if opts.Admit == nil {
		opts.Admit = func(string, *upstream.Request) (func(*upstream.Head), error) { return func(*upstream.Head) {}, nil }
	}
	return &Client{opts: opts, carriers: newCarriers(opts)}
}

// Run looks for carriers while the host is cut off, until ctx ends. It returns nil.
func (c *Client) Run(ctx context.Context) error { return c.carriers.run(ctx) }

// Served reports whether requests can reach servers: directly, or by a carrier.
func (c *Client) Served() bool { return !c.opts.Reach.CutOff() || c.carriers.any() }

// Do sends a request to a server's address (host:port) and returns once the response headers have
// arrived, like upstream.Client.Do.
func (c *Client) Do(ctx context.Context, address string, req *upstream.Request) (*upstream.Response, error) {
	if !c.opts.Reach.CutOff() {
		response, err := c.opts.Direct.Do(ctx, address, req)
		var upstreamErr *upstream.Error
		if !errors.As(err, &upstreamErr) || !upstreamErr.DialFailed || ctx.Err() != nil || !c.opts.Reach.Check(ctx) {
			return response, err
		}
	}
	return c.doByCarrier(ctx, address, req)
}

// maxCarriersAsked is the number of carriers that are asked in turn to send a request or to
// confirm that a server refuses connections.
const maxCarriersAsked = 3

// doByCarrier sends a request by way of the first carrier that takes it.
func (c *Client) doByCarrier(ctx context.Context, address string, req *upstream.Request) (*upstream.Response, error) {
	cause := ErrNoCarrier
	for _, host := range c.carriers.choose(ctx, c.opts.Place(address), req.WithinRegions, maxCarriersAsked) {
		response, err := c.carryAdmitted(ctx, host, address, req)
		if !errors.Is(err, errDeclined) {
			return response, err
		}
		c.carriers.drop(host)
		cause = fmt.Errorf("%w: %w", ErrNoCarrier, err)
	}
	return nil, &upstream.Error{DialFailed: true, PathFailed: true, Cause: cause}
}

// Probe opens a connection to a server's address (host:port). syscall.ECONNREFUSED in the chain of
// the error proves that no process listens there: another host confirms it, or this host
// reaches other servers and no host can tell.
func (c *Client) Probe(ctx context.Context, address string) error {
	var err error
	if !c.opts.Reach.CutOff() {
		if err = c.opts.Direct.Probe(ctx, address); !errors.Is(err, syscall.ECONNREFUSED) {
			return err
		}
	}
	for _, host := range c.carriers.nearest(maxCarriersAsked) {
		switch r := c.askToProbe(ctx, host, address); {
		case r.Accepted:
			c.opts.Reach.Suspect()
			return fmt.Errorf("%w: %s accepts them from %s", errNotConfirmed, address, host)
		case r.Refused:
			return fmt.Errorf("%w: %s, confirmed by %s", syscall.ECONNREFUSED, address, host)
		}
	}
	if err != nil && !c.opts.Reach.Check(ctx) {
		return err
	}
	return fmt.Errorf("%w: %s", errNotConfirmed, address)
}

// ProbeProcess returns nil if the process that a request is for responds to this host or, if it
// reaches no server, to another one. An error proves nothing.
func (c *Client) ProbeProcess(ctx context.Context, address string, req *upstream.Request) error {
	if !c.opts.Reach.CutOff() {
		return c.opts.Direct.ProbeProcess(ctx, address, req)
	}
	for _, host := range c.carriers.nearest(maxCarriersAsked) {
		var runs bool
		// A host that does not respond, or is of a build without the method, proves nothing.
		if c.opts.Link.Call(ctx, host, methodProbeProcess, probeProcessRequest{address, req.Header, req.StartedUnixMS}, &runs) == nil && runs {
			return nil
		}
	}
	return fmt.Errorf("%w: %s", errNotConfirmed, address)
}

// probeTimeout bounds the question whether a server accepts connections from another host.
const probeTimeout = 500 * time.Millisecond

// askToProbe asks a host whether a server accepts a connection. Without an answer nothing is set.
func (c *Client) askToProbe(ctx context.Context, host, address string) probeResponse {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var r probeResponse
	if err := c.opts.Link.Call(ctx, host, methodProbe, probeRequest{address}, &r); err != nil || !r.Usable {
		return probeResponse{}
	}
	return r
}

// CloseIdle closes the idle connections to an address after a failure of its server that a cut may
// have caused, too.
func (c *Client) CloseIdle(address string) {
	c.opts.Direct.CloseIdle(address)
	c.opts.Reach.Suspect()
}

// errDeclined means that a carrier did not send a request. Another one may.
var errDeclined = errors.New("serverpath: the host does not carry the request")

// carryAdmitted is carry for a request that Admit admits.
func (c *Client) carryAdmitted(ctx context.Context, host, address string, req *upstream.Request) (*upstream.Response, error) {
	done, err := c.opts.Admit(address, req)
	if err != nil {
		return nil, &upstream.Error{Withheld: true, Cause: err}
	}
	sentAt := c.opts.Clock.Now()
	response, err := c.carry(ctx, host, address, req)
	var withheld *withheldByCarrier
	switch {
	case errors.As(err, &withheld):
		done(&upstream.Head{Status: http.StatusServiceUnavailable, Header: withheld.header, SentAt: sentAt})
	case err != nil:
		done(nil)
	default:
		done(&upstream.Head{Status: response.Status, Header: response.Header, SentAt: sentAt})
	}
	return response, err
}

// withheldByCarrier is the error of a request that a carrier has not sent, as the server wants none
// of the carrier now. Another carrier is not asked: that would turn what the server asks of one host
// into requests of all.
type withheldByCarrier struct {
	host   string
	header http.Header // says for how long
}

// Error implements error.
func (e *withheldByCarrier) Error() string {
	return fmt.Sprintf("serverpath: the server wants no requests of %s", e.host)
}

// carry sends a request by way of a host. Its error is errDeclined or an *upstream.Error.
func (c *Client) carry(ctx context.Context, host, address string, req *upstream.Request) (*upstream.Response, error) {
	id := c.carriers.lastID.Add(1)
	r, err := c.callCarrier(ctx, host, sendRequest{
		ID: id, Address: address, TimeoutMillis: timeoutMillis(ctx), Method: req.Method, URI: req.URI, Host: req.Host,
		Header: req.Header, Body: slices.Concat(req.Body...), HasBody: req.HasBody, DropWhenLeaves: req.NewWork,
	}, req.StartedUnixMS)
	switch {
	case peer.NotHandled(err):
		return nil, fmt.Errorf("%w: %w", errDeclined, err)
	case err != nil:
		c.cancelExchange(host, id)
		cause := carrierError(host, err)
		if ctx.Err() != nil {
			cause = fmt.Errorf("%w: %w", ctx.Err(), cause)
		}
		return nil, &upstream.Error{Sent: true, Cause: cause}
	}
	cause := fmt.Errorf("carried by %s: %s", host, r.Error)
	switch {
	case r.Outcome == answered:
		if err := httpresponse.CheckHead(r.Status, r.Header); err != nil { // older builds carry any head
			c.cancelExchange(host, id)
			return nil, &upstream.Error{Sent: true, ReusedConn: r.ReusedConn, Cause: fmt.Errorf("carried by %s: %w", host, err)}
		}
		return newResponse(&carriedBody{client: c, ctx: ctx, host: host, id: id}, &r), nil
	case r.Outcome == declined && r.Status == http.StatusServiceUnavailable:
		return nil, &upstream.Error{Withheld: true, Cause: &withheldByCarrier{host, r.Header}}
	case r.Outcome == declined:
		return nil, fmt.Errorf("%w: %w", errDeclined, cause)
	case r.Outcome == notSent:
		if r.Refused {
			cause = fmt.Errorf("%w: %w", syscall.ECONNREFUSED, cause)
		}
		return nil, &upstream.Error{DialFailed: true, Cause: cause}
	default:
		return nil, &upstream.Error{Sent: true, ReusedConn: r.ReusedConn, Cause: brokenBy(r.ServerBroke, cause)}
	}
}

// callCarrier asks a carrier to send a request, to the process of the server that started at a time
// if that is not 0.
func (c *Client) callCarrier(ctx context.Context, host string, s sendRequest, startedUnixMS int64) (r sendResponse, err error) {
	if startedUnixMS == 0 {
		err = c.opts.Link.Call(ctx, host, methodSend, s, &r)
		return r, err
	}
	err = c.opts.Link.Call(ctx, host, methodSendToProcess, sendToProcessRequest{s, startedUnixMS}, &r)
	return r, err
}

// carrierError returns the error of a call to a carrier that may have been received. The causes
// are told as text only: an io.EOF among them is the end of the connection between the hosts, and
// would be taken for the end of the body or of the server's connection.
func carrierError(host string, err error) error {
	return fmt.Errorf("%w: carried by %s: %v", peer.ErrNoResponse, host, err)
}

// brokenBy adds io.ErrUnexpectedEOF to a cause if the server's end broke the connection, as an
// error of a direct connection would have it.
func brokenBy(server bool, cause error) error {
	if server {
		return fmt.Errorf("%w: %w", io.ErrUnexpectedEOF, cause)
	}
	return cause
}

// timeoutMillis returns the time until the deadline of ctx, or maxExchangeTime without one.
func timeoutMillis(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return maxExchangeTime.Milliseconds()
	}
	return max(time.Until(deadline).Milliseconds(), 1)
}

// cancelTimeout bounds the message that ends an exchange early. If it is lost, the carrier ends
// the exchange by itself later.
const cancelTimeout = time.Second

// cancelExchange ends an exchange early, in the background.
func (c *Client) cancelExchange(host string, id uint64) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = c.opts.Link.Call(ctx, host, methodCancel, cancelRequest{id}, nil) // see cancelTimeout
	}()
}
