// Package serverhttp is the transport of HTTP clients for backend servers and the platform's store. All
// requests of a client pass a gate, which also gets the heads of all responses. Heads are bounded, and
// responses keep the rules of package httpresponse.
package serverhttp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
	"time"

	"bilberrydale/connection/httpresponse"
)

const (
	// maxHeadBytes bounds the status line and all header lines, with those of interim responses.
	maxHeadBytes = 64 << 10
	// maxHeadTime bounds the time from the first byte of a head to its end. It is longer than the
	// silences of a second or so in which a server is sound.
	maxHeadTime = 2 * time.Second
)

// Gate decides which requests are sent to a server, by its address (host:port). It is safe for
// concurrent use.
type Gate interface {
	// Admits reports whether a request may be sent now, without counting one. The error says why
	// not.
	Admits(address string) error
	// Admit counts a request that is about to be sent, or returns why it is not. done is called
	// once, with the response or, if none has arrived, with nil.
	Admit(address string) (done func(*http.Response), err error)
}

// WithheldError is the error of a request that was not sent, as a Gate did not admit it.
type WithheldError struct{ Cause error }

// Error implements error.
func (e *WithheldError) Error() string { return fmt.Sprintf("the request is withheld: %v", e.Cause) }

// Unwrap returns the cause.
func (e *WithheldError) Unwrap() error { return e.Cause }

// transport is an http.RoundTripper whose requests pass a Gate.
type transport struct {
	base *http.Transport
	gate Gate // nil: all requests are admitted
}

// New returns a RoundTripper that sends requests by base, which it changes. gate may be nil.
func New(base *http.Transport, gate Gate) http.RoundTripper {
	base.MaxResponseHeaderBytes = maxHeadBytes
	base.DialContext = responseDial(base.DialContext)
	if gate != nil {
		base.DialContext = gatedDial(base.DialContext, gate)
	}
	return &transport{base: base, gate: gate}
}

// responseDial returns a dial function whose connections keep the rules of package httpresponse.
func responseDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return httpresponse.NewConn(conn), nil
	}
}

// gatedDial returns a dial function that asks the gate again when the connection is open, as that may
// have taken as long as a server needs to answer other requests.
func gatedDial(dial func(ctx context.Context, network, address string) (net.Conn, error), gate Gate) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if err := gate.Admits(address); err != nil {
			_ = conn.Close() // nothing was written
			return nil, &WithheldError{err}
		}
		return conn, nil
	}
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(req *http.Request) (*http.Response, error) {
	done := func(*http.Response) {}
	if t.gate != nil {
		var err error
		if done, err = t.gate.Admit(req.URL.Host); err != nil {
			return nil, &WithheldError{err}
		}
	}
	resp, err := t.roundTrip(req)
	if err != nil {
		done(nil)
		return nil, err
	}
	done(resp)
	return resp, nil
}

// CloseIdleConnections is called by that of http.Client.
func (t *transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// roundTrip sends a request, bounds the time of the response's head, and checks it.
func (t *transport) roundTrip(req *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(req.Context())
	var head atomic.Pointer[time.Timer]
	var conn net.Conn
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:        func(info httptrace.GotConnInfo) { conn = info.Conn },
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error { return httpresponse.CheckNames(header) },
		GotFirstResponseByte: func() {
			head.Store(time.AfterFunc(maxHeadTime, func() { cancel(errHeadTooSlow) }))
		},
	})
	resp, err := t.base.RoundTrip(req.WithContext(ctx))
	if timer := head.Load(); timer != nil {
		timer.Stop()
	}
	if err != nil {
		if errors.Is(context.Cause(ctx), errHeadTooSlow) {
			err = fmt.Errorf("%w: %w", errHeadTooSlow, err)
		}
		cancel(nil)
		return nil, err
	}
	if err := httpresponse.Check(resp); err != nil {
		_ = conn.Close() // also if net/http has kept it for the next request
		cancel(nil)
		return nil, err
	}
	resp.Body = &body{resp.Body, func() { cancel(nil) }}
	return resp, nil
}

// errHeadTooSlow means that a head has not ended in time.
var errHeadTooSlow = fmt.Errorf("the head of the answer has not ended %s after its first byte", maxHeadTime)

// body is the body of a response. Close ends the context of its request.
type body struct {
	io.ReadCloser
	end func()
}

// Close implements io.Closer.
func (b *body) Close() error {
	defer b.end()
	return b.ReadCloser.Close()
}
